#include "egretd/demand.h"

#include <json-glib/json-glib.h>

#include "common/json_write.h"
#include "core/dispatch_report.h"
#include "store/store_keys.h"

enum {
    SAMPLE_INTERVAL_MS = 500,
    SAMPLES_PER_RECORD = 20,
};

/* Sums over the samples of one record; the run time and the deadline are those
 * of the last sample. */
struct pool_sum {
    double busy_slots;
    double queued;
    int64_t run_ms;
    int64_t deadline_ms;
};

struct demand {
    struct demand_options options;
    char *key;
    GHashTable *pools;
    uint32_t n_samples;
    uint64_t n_writes;
    uint64_t version;
    bool writing;
    guint timer;
};

static void
add_sample(void *ctx, const struct dispatch_pool_report *report)
{
    struct demand *demand = ctx;
    struct pool_sum *sum = g_hash_table_lookup(demand->pools, report->pool);
    if (sum == NULL) {
        sum = g_new0(struct pool_sum, 1);
        g_hash_table_insert(demand->pools, g_strdup(report->pool), sum);
    }
    sum->busy_slots += report->busy_slots;
    sum->queued += report->queued;
    sum->run_ms = report->mean_run_ms;
    sum->deadline_ms = report->min_start_deadline_ms;
}

static void
add_pools(struct demand *demand, JsonBuilder *builder)
{
    GHashTableIter iter;
    void *name;
    void *value;
    json_builder_set_member_name(builder, "pools");
    json_builder_begin_object(builder);
    g_hash_table_iter_init(&iter, demand->pools);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct pool_sum *sum = value;
        json_builder_set_member_name(builder, name);
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "busy_slots");
        json_builder_add_double_value(builder,
                                      sum->busy_slots / demand->n_samples);
        json_builder_set_member_name(builder, "queued");
        json_builder_add_double_value(builder,
                                      sum->queued / demand->n_samples);
        json_builder_set_member_name(builder, "run_ms");
        json_builder_add_int_value(builder, sum->run_ms);
        json_builder_set_member_name(builder, "deadline_ms");
        json_builder_add_int_value(builder, sum->deadline_ms);
        json_builder_end_object(builder);
    }
    json_builder_end_object(builder);
}

struct draining_context {
    struct demand *demand;
    JsonBuilder *builder;
};

static void
add_draining_host(void *ctx, const char *host)
{
    struct draining_context *draining = ctx;
    json_builder_set_member_name(draining->builder, host);
    json_builder_add_int_value(
        draining->builder,
        dispatch_report_host_attempts(
            engine_dispatch(draining->demand->options.engine), host));
}

static void
add_draining(struct demand *demand, JsonBuilder *builder)
{
    struct draining_context draining = {demand, builder};
    json_builder_set_member_name(builder, "draining");
    json_builder_begin_object(builder);
    host_view_each_draining(demand->options.hosts, add_draining_host,
                            &draining);
    json_builder_end_object(builder);
}

static void
add_suspect(void *ctx, const char *host, uint32_t failures)
{
    JsonBuilder *builder = ctx;
    json_builder_set_member_name(builder, host);
    json_builder_add_int_value(builder, failures);
}

static void
add_suspects(struct demand *demand, JsonBuilder *builder)
{
    json_builder_set_member_name(builder, "suspects");
    json_builder_begin_object(builder);
    dispatch_report_suspect_hosts(engine_dispatch(demand->options.engine),
                                  add_suspect, builder);
    json_builder_end_object(builder);
}

static char *
build_record(struct demand *demand)
{
    JsonBuilder *builder = json_builder_new();
    char *write = g_strdup_printf("%s:%" G_GUINT64_FORMAT,
                                  engine_incarnation(demand->options.engine),
                                  ++demand->n_writes);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "write");
    json_builder_add_string_value(builder, write);
    add_pools(demand, builder);
    add_draining(demand, builder);
    add_suspects(demand, builder);
    json_builder_end_object(builder);
    char *text = json_write_finish(builder, NULL);
    g_free(write);
    return text;
}

static void
on_written(void *ctx, const struct store_result *result)
{
    struct demand *demand = ctx;
    demand->writing = false;
    if (result->n_entries > 0) {
        demand->version = result->entries[0].version;
    }
    else if (result->status.code == STATUS_CONFLICT) {
        demand->version = STORE_VERSION_ABSENT;
    }
}

static void
publish(struct demand *demand)
{
    char *text = build_record(demand);
    demand->writing = true;
    store_cas(demand->options.store, demand->key, text, strlen(text),
              demand->version,
              (struct store_callback){.done = on_written, .ctx = demand});
    g_free(text);
    g_hash_table_remove_all(demand->pools);
    demand->n_samples = 0;
}

static gboolean
on_sample(void *data)
{
    struct demand *demand = data;
    dispatch_report_pools(engine_dispatch(demand->options.engine), add_sample,
                          demand);
    demand->n_samples++;
    if (demand->n_samples >= SAMPLES_PER_RECORD && !demand->writing) {
        publish(demand);
    }
    return G_SOURCE_CONTINUE;
}

struct demand *
demand_create(const struct demand_options *options)
{
    struct demand *demand = g_new0(struct demand, 1);
    demand->options = *options;
    demand->key = g_strconcat(STORE_KEY_DEMAND, options->settings->name, NULL);
    demand->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    demand->timer = g_timeout_add(SAMPLE_INTERVAL_MS, on_sample, demand);
    return demand;
}

void
demand_destroy(struct demand *demand)
{
    if (demand == NULL) {
        return;
    }
    g_source_remove(demand->timer);
    g_hash_table_unref(demand->pools);
    g_free(demand->key);
    g_free(demand);
}
