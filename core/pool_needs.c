/* Sizes of pools: hosts needed for the budget and for the smoothed demand. */
#include <math.h>

#include "core/fleet_pass.h"

enum {
    /* Demand as a share of the pool's slots: above the first a pool gets
     * hosts; while it would stay below the second, it gives hosts back. */
    GROW_PERCENT = 85,
    SHRINK_PERCENT = 60,
    /* Hosts beyond the disruption budget, so that maintenance is possible. */
    HEADROOM_HOSTS = 1,
};

static void
smooth_demand(struct fleet_pass *pass, struct pass_pool *pool)
{
    struct pool_history *history = pool->history;
    int64_t now_ms = pass->snapshot->now_ms;
    if (!pool->info->demand_known) {
        history->demand_known_ms = 0;
        return;
    }
    if (history->demand_known_ms == 0) {
        history->smoothed_slots = pool->info->demand_slots;
        history->sampled_ms = now_ms;
        history->demand_known_ms = 1;
        return;
    }
    int64_t step_ms = now_ms - history->sampled_ms;
    double weight =
        1 - exp(-(double)step_ms / (double)pass->timings->demand_smoothing_ms);
    history->smoothed_slots +=
        weight * (pool->info->demand_slots - history->smoothed_slots);
    history->sampled_ms = now_ms;
    history->demand_known_ms += step_ms;
}

static uint32_t
hosts_for_budget(const struct fleet_pass *pass,
                 const struct config_pool *config)
{
    uint32_t dcs = 0;
    for (guint i = 0; i < pass->dc_in_service->len; i++) {
        dcs += g_array_index(pass->dc_in_service, bool, i);
    }
    uint32_t hosts = config->min_hosts;
    if (config->min_available_hosts > 0) {
        hosts = MAX(hosts, config->min_available_hosts + HEADROOM_HOSTS);
    }
    uint32_t per_dc = config->min_available_per_dc_hosts;
    if (per_dc > 0) {
        hosts = MAX(hosts, dcs * (per_dc + HEADROOM_HOSTS));
    }
    return hosts;
}

static uint32_t
hosts_for_demand(const struct pass_pool *pool, uint32_t percent)
{
    if (!pool->demand_reliable || pool->config->host_slots == 0) {
        return 0;
    }
    double hosts = pool->history->smoothed_slots * 100 /
                   ((double)pool->config->host_slots * percent);
    return (uint32_t)ceil(hosts);
}

static uint32_t
cap_hosts(const struct config_pool *config, uint32_t hosts)
{
    return config->max_hosts > 0 ? MIN(hosts, config->max_hosts) : hosts;
}

static void
set_targets(struct fleet_pass *pass, struct pass_pool *pool)
{
    const struct config_pool *config = pool->config;
    if (config == NULL || config->spare) {
        pool->needed = config != NULL ? config->min_hosts : 0;
        pool->shrink_threshold = pool->needed;
        return;
    }
    uint32_t budget = hosts_for_budget(pass, config);
    pool->needed =
        cap_hosts(config, MAX(budget, hosts_for_demand(pool, GROW_PERCENT)));
    pool->shrink_threshold = UINT32_MAX;
    if (pool->demand_reliable) {
        pool->shrink_threshold = cap_hosts(
            config, MAX(budget, hosts_for_demand(pool, SHRINK_PERCENT)) + 1);
    }
}

/* A move in progress resets the time, since it changes the count of hosts. */
static void
track_surplus(struct fleet_pass *pass, struct pass_pool *pool)
{
    struct pool_history *history = pool->history;
    if (pool->usable + pool->incoming <= pool->shrink_threshold ||
        pool->incoming > 0 || pool->outgoing > 0) {
        history->surplus_since_ms = INT64_MIN;
    }
    else if (history->surplus_since_ms == INT64_MIN) {
        history->surplus_since_ms = pass->snapshot->now_ms;
    }
}

void
pool_needs_update(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        struct pass_pool *pool = &pass->pools[i];
        smooth_demand(pass, pool);
        pool->demand_reliable = pool->history->demand_known_ms >=
                                pass->timings->demand_smoothing_ms;
        set_targets(pass, pool);
        track_surplus(pass, pool);
    }
}
