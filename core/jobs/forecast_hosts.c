/*
 * Hosts that a pool gets before its next demand peak, and when hosts rest in
 * the spare pool between two peaks. Only spare hosts are moved ahead, and only
 * while no pool lacks hosts for work that is there: a forecast never delays a
 * job.
 */
#include "core/jobs/scheduler.h"

#include "common/text.h"
#include "scheduler_state.h"

enum {
    /* From the end of a move until the scheduler has the first report of the
     * new incarnation. */
    JOIN_MS = 800,
    POOLS_MAX = 256,
};

static int64_t
lead_ms(const struct scheduler *sched)
{
    return sched->timings.move_ms + JOIN_MS;
}

static void
forecast_pool(struct scheduler *sched, struct pool_load *load,
              int64_t period_ms, int64_t now_ms)
{
    int64_t before = load->hosts_ahead;
    load->hosts_ahead = demand_cycle_hosts_ahead(&load->cycle, period_ms,
                                                 lead_ms(sched), now_ms);
    load->next_peak_ms = demand_cycle_next_ms(&load->cycle, period_ms, now_ms);
    if (before == 0 && load->hosts_ahead > 0) {
        sched->stats.forecasts++;
        sched_log_event(sched, "demand_forecast",
                        "\"pool\":%s,\"hosts\":%" G_GINT64_FORMAT
                        ",\"in_ms\":%" G_GINT64_FORMAT
                        ",\"period_ms\":%" G_GINT64_FORMAT,
                        text_quote(load->pool), load->hosts_ahead,
                        load->next_peak_ms - now_ms, period_ms);
    }
    else if (before > 0 && load->hosts_ahead == 0 && !load->cycle.peaking) {
        sched->stats.forecasts_missed++;
        sched_log_event(sched, "demand_forecast_missed", "\"pool\":%s",
                        text_quote(load->pool));
    }
}

void
sched_forecast_hosts(struct scheduler *sched, int64_t now_ms)
{
    if (!sched->policy.demand_forecast) {
        return;
    }
    const struct demand_cycle *cycles[POOLS_MAX];
    size_t n = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pool_load *load = value;
        demand_cycle_observe(&load->cycle, load->wanted_hosts, now_ms);
        if (n < POOLS_MAX) {
            cycles[n++] = &load->cycle;
        }
    }
    int64_t period_ms = demand_period_ms(cycles, n);
    g_hash_table_iter_init(&iter, sched->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        forecast_pool(sched, value, period_ms, now_ms);
    }
}

bool
sched_rests_until_peak(const struct scheduler *sched,
                       const struct pool_load *load, int64_t rest_min_ms,
                       int64_t now_ms)
{
    return load->next_peak_ms != 0 && !load->cycle.peaking &&
           load->next_peak_ms - lead_ms(sched) - now_ms >= rest_min_ms;
}
