/* Publishes the status of the pools in the store, for operators. */
#include "egretfleetd/status_publisher.h"

#include <json-glib/json-glib.h>

#include "common/json_write.h"
#include "core/stagger.h"
#include "egretfleetd/fleet_status.h"
#include "store/store_keys.h"

enum {
    PUBLISH_INTERVAL_MS = 30000,
};

/**
 * struct status_publisher - state of publishing
 * @pools: pools as published last by this controller, NULL after a failure
 * @version: version of the stored status, as last seen
 * @next_ms: earliest time of the next write
 * @busy: a write is in progress
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
    struct status_publisher *publisher = g_new0(struct status_publisher, 1);
    publisher->options = *options;
    return publisher;
}

void
status_publisher_destroy(struct status_publisher *publisher)
{
    if (publisher == NULL) {
        return;
    }
    g_free(publisher->pools);
    g_free(publisher);
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

/* Controllers use different intervals. When another one has published in the
 * meantime, the compare-and-swap fails because of the newer version, and the
 * next attempt follows after another interval. */
static void
schedule_next(struct status_publisher *publisher)
{
    int64_t delay_ms = PUBLISH_INTERVAL_MS +
                       stagger_delay_ms(publisher->options.settings->name,
                                        "status", PUBLISH_INTERVAL_MS);
    publisher->next_ms = ms_clock_now(&publisher->options.clock) + delay_ms;
}

static void
on_written(void *ctx, const struct store_result *result)
{
    struct status_publisher *publisher = ctx;
    publisher->busy = false;
    if (result->n_entries > 0) {
        publisher->version = result->entries[0].version;
    }
    if (!status_ok(&result->status)) {
        g_clear_pointer(&publisher->pools, g_free);
    }
}

void
status_publisher_update(struct status_publisher *publisher,
                        const struct fleet_plan *plan)
{
    int64_t now_ms = ms_clock_now(&publisher->options.clock);
    if (publisher->busy || now_ms < publisher->next_ms) {
        return;
    }
    char *pools = render_pools(plan);
    if (g_strcmp0(pools, publisher->pools) == 0) {
        g_free(pools);
        return;
    }
    char *text =
        g_strdup_printf("{\"write\":\"%s:%" G_GINT64_FORMAT
                        "\",\"at_s\":%" G_GINT64_FORMAT ",\"pools\":%s}",
                        publisher->options.settings->name, g_get_real_time(),
                        g_get_real_time() / G_USEC_PER_SEC, pools);
    g_free(publisher->pools);
    publisher->pools = pools;
    publisher->busy = true;
    schedule_next(publisher);
    store_cas(publisher->options.store, STORE_KEY_FLEET_STATUS, text,
              strlen(text), publisher->version,
              (struct store_callback){.done = on_written, .ctx = publisher});
    g_free(text);
}
