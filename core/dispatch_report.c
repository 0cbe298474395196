/* Collects what the gateway reports to the fleet controller. */
#include "core/dispatch_report.h"

#include "dispatch_state.h"

static int64_t
shortest_deadline(const struct dispatch *dispatch, const struct pool *pool)
{
    int64_t shortest_ms = 0;
    const struct config *config = dispatch->config;
    for (size_t i = 0; i < config->n_queues; i++) {
        int64_t deadline_ms = config->queues[i].start_deadline_ms;
        if (g_str_equal(config->queues[i].pool, pool->name) &&
            (shortest_ms == 0 || deadline_ms < shortest_ms)) {
            shortest_ms = deadline_ms;
        }
    }
    return shortest_ms;
}

void
dispatch_report_pools(const struct dispatch *dispatch,
                      void (*each)(void *ctx,
                                   const struct dispatch_pool_report *report),
                      void *ctx)
{
    GHashTableIter iter;
    void *entry;
    if (dispatch->config == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, dispatch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        const struct pool *pool = entry;
        struct dispatch_pool_report report = {
            .pool = pool->name,
            .busy_slots = pool->running,
            .queued = pool->queued,
            .mean_run_ms = (int64_t)pool->mean_run_ms,
            .min_start_deadline_ms = shortest_deadline(dispatch, pool),
        };
        if (pool->configured) {
            each(ctx, &report);
        }
    }
}

void
dispatch_report_suspect_hosts(const struct dispatch *dispatch,
                              void (*each)(void *ctx, const char *host,
                                           uint32_t failures),
                              void *ctx)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        const struct host *host = entry;
        if (host->outlier.state != OUTLIER_ROUTED) {
            each(ctx, host->name, host->outlier.failures_in_row);
        }
    }
}

uint32_t
dispatch_report_host_attempts(const struct dispatch *dispatch,
                              const char *host_name)
{
    const struct host *host = g_hash_table_lookup(dispatch->hosts, host_name);
    return host == NULL ? 0 : host->outstanding;
}
