#include "egretfleetd/status_publisher.h"

#include <json-glib/json-glib.h>

#include "common/json_write.h"
#include "core/stagger.h"
#include "egretfleetd/fleet_status.h"
#include "store/store_keys.h"

enum {
    INTERVAL_MS = 30000,
};

/**
 * struct status_publisher - what was published last, by whomever
 * @pools: its pools as text
 * @version: its version
 * @next_ms: earliest time of the next read and write
 */
struct status_publisher {
    struct status_publisher_options options;
    char *pools;
    uint64_t version;
    uint64_t writes;
    int64_t next_ms;
    bool busy;
};

struct status_publisher *
status_publisher_create(const struct status_publisher_options *options)
{
    struct status_publisher *record = g_new0(struct status_publisher, 1);
    record->options = *options;
    return record;
}

void
status_publisher_destroy(struct status_publisher *record)
{
    if (record == NULL) {
        return;
    }
    g_free(record->pools);
    g_free(record);
}

static char *
render_pools(const struct fleet_plan *plan)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    for (guint i = 0; i < plan->reports->len; i++) {
        const struct fleet_pool_report *report =
            &g_array_index(plan->reports, struct fleet_pool_report, i);
        json_builder_set_member_name(builder, report->pool);
        json_builder_begin_object(builder);
        fleet_status_add_pool(builder, report);
        json_builder_end_object(builder);
    }
    json_builder_end_object(builder);
    size_t size_bytes = 0;
    return json_write_finish(builder, &size_bytes);
}

/* Controllers publish at different moments; who comes second finds that the
 * version has moved on and waits for another interval. */
static void
wait_interval(struct status_publisher *record)
{
    int64_t delay_ms =
        INTERVAL_MS + stagger_delay_ms(record->options.settings->name,
                                       "status", INTERVAL_MS);
    record->next_ms = ms_clock_now(&record->options.clock) + delay_ms;
}

static void
written(void *ctx, const struct store_result *result)
{
    struct status_publisher *record = ctx;
    record->busy = false;
    if (result->n_entries > 0) {
        record->version = result->entries[0].version;
    }
    if (!status_ok(&result->status)) {
        g_clear_pointer(&record->pools, g_free);
    }
}

void
status_publisher_update(struct status_publisher *record,
                        const struct fleet_plan *plan)
{
    int64_t now_ms = ms_clock_now(&record->options.clock);
    if (record->busy || now_ms < record->next_ms) {
        return;
    }
    char *pools = render_pools(plan);
    if (g_strcmp0(pools, record->pools) == 0) {
        g_free(pools);
        return;
    }
    char *text =
        g_strdup_printf("{\"write\":\"%s:%" G_GINT64_FORMAT
                        "\",\"at_s\":%" G_GINT64_FORMAT ",\"pools\":%s}",
                        record->options.settings->name, g_get_real_time(),
                        g_get_real_time() / G_USEC_PER_SEC, pools);
    g_free(record->pools);
    record->pools = pools;
    record->busy = true;
    wait_interval(record);
    store_cas(record->options.store, STORE_KEY_FLEET_STATUS, text,
              strlen(text), record->version,
              (struct store_callback){.done = written, .ctx = record});
    g_free(text);
}
