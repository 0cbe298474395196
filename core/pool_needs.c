#include <math.h>

#include "core/fleet_pass.h"

enum {
    /* A pool grows when demand fills more than the first part of its slots,
     * and gives hosts back when it would still fill less than the second. */
    GROW_PERCENT = 85,
    SHRINK_PERCENT = 60,
    /* Hosts beyond a budget, so that maintenance can go on. */
    HEADROOM_HOSTS = 1,
};

static void
smooth(struct fleet_pass *pass, struct pass_pool *pool)
{
    struct pool_history *memory = pool->history;
    int64_t now_ms = pass->snapshot->now_ms;
    if (!pool->info->demand_known) {
        memory->demand_known_ms = 0;
        return;
    }
    if (memory->demand_known_ms == 0) {
        memory->smoothed_slots = pool->info->demand_slots;
        memory->sampled_ms = now_ms;
        memory->demand_known_ms = 1;
        return;
    }
    int64_t step_ms = now_ms - memory->sampled_ms;
    double weight =
        1 - exp(-(double)step_ms / (double)pass->timings->smooth_ms);
    memory->smoothed_slots +=
        weight * (pool->info->demand_slots - memory->smoothed_slots);
    memory->sampled_ms = now_ms;
    memory->demand_known_ms += step_ms;
}

static uint32_t
budget_need(const struct fleet_pass *pass, const struct config_pool *config)
{
    uint32_t dcs = 0;
    for (guint i = 0; i < pass->dc_in_service->len; i++) {
        dcs += g_array_index(pass->dc_in_service, bool, i);
    }
    uint32_t need = config->min_hosts;
    if (config->min_available_hosts > 0) {
        need = MAX(need, config->min_available_hosts + HEADROOM_HOSTS);
    }
    uint32_t per_dc = config->min_available_per_dc_hosts;
    if (per_dc > 0) {
        need = MAX(need, dcs * (per_dc + HEADROOM_HOSTS));
    }
    return need;
}

static uint32_t
demand_hosts(const struct pass_pool *pool, uint32_t percent)
{
    if (!pool->demand_reliable || pool->config->host_slots == 0) {
        return 0;
    }
    double hosts = pool->history->smoothed_slots * 100 /
                   ((double)pool->config->host_slots * percent);
    return (uint32_t)ceil(hosts);
}

static uint32_t
capped(const struct config_pool *config, uint32_t hosts)
{
    return config->max_hosts > 0 ? MIN(hosts, config->max_hosts) : hosts;
}

static void
set_need(struct fleet_pass *pass, struct pass_pool *pool)
{
    const struct config_pool *config = pool->config;
    if (config == NULL || config->spare) {
        pool->needed = config != NULL ? config->min_hosts : 0;
        pool->shrink_threshold = pool->needed;
        return;
    }
    uint32_t budget = budget_need(pass, config);
    pool->needed =
        capped(config, MAX(budget, demand_hosts(pool, GROW_PERCENT)));
    pool->shrink_threshold = UINT32_MAX;
    if (pool->demand_reliable) {
        pool->shrink_threshold = capped(
            config, MAX(budget, demand_hosts(pool, SHRINK_PERCENT)) + 1);
    }
}

/* A move under way starts the time anew. */
static void
note_surplus(struct fleet_pass *pass, struct pass_pool *pool)
{
    struct pool_history *memory = pool->history;
    if (pool->usable + pool->incoming <= pool->shrink_threshold ||
        pool->incoming > 0 || pool->outgoing > 0) {
        memory->surplus_since_ms = INT64_MIN;
    }
    else if (memory->surplus_since_ms == INT64_MIN) {
        memory->surplus_since_ms = pass->snapshot->now_ms;
    }
}

void
pool_needs_update(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        struct pass_pool *pool = &pass->pools[i];
        smooth(pass, pool);
        pool->demand_reliable =
            pool->history->demand_known_ms >= pass->timings->smooth_ms;
        set_need(pass, pool);
        note_surplus(pass, pool);
    }
}
