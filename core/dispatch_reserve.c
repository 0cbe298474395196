/* Computes how many slots of a pool are kept free for urgent tasks, if the
 * pool has both urgent and normal queues. */
#include <math.h>

#include "dispatch_state.h"

enum {
    ARRIVAL_WINDOW_MS = 30000,
    RESERVE_MAX_PERCENT = 25,
};

/* The reserve covers load peaks of this many standard deviations. */
static const double RESERVE_DEVIATIONS = 2.0;

static void
decay_arrivals(const struct dispatch *dispatch, struct pool *pool)
{
    double dt_ms = (double)(dispatch->now_ms - pool->urgent_since_ms);
    pool->urgent_since_ms = dispatch->now_ms;
    pool->urgent_arrivals *= exp(-dt_ms / ARRIVAL_WINDOW_MS);
}

void
reserve_count_arrival(struct dispatch *dispatch, struct pool *pool)
{
    decay_arrivals(dispatch, pool);
    pool->urgent_arrivals += 1;
}

/* Slots that urgent tasks of this gateway need, with a margin for random
 * peaks of the load. */
static double
urgent_load(const struct dispatch *dispatch, const struct pool *pool)
{
    double run_ms = estimate_mean_ms(&pool->run[1]);
    double load = pool->urgent_arrivals * run_ms / ARRIVAL_WINDOW_MS;
    double load_min = 1.0 / live_gateways(dispatch);
    return MAX(load + RESERVE_DEVIATIONS * sqrt(load), load_min);
}

/* Slots that normal tasks of this gateway are expected to free within half of
 * the shortest start deadline of the urgent queues, less a margin for random
 * variation. */
static double
expected_freed_slots(const struct pool *pool)
{
    double run_ms = estimate_mean_ms(&pool->run[0]);
    if (!estimate_ready(&pool->run[0])) {
        return 0;
    }
    uint32_t normal = pool->running - pool->urgent_running;
    double freed =
        normal * (double)pool->urgent_deadline_ms / 2 / MAX(run_ms, 1);
    return MAX(freed - RESERVE_DEVIATIONS * sqrt(freed), 0);
}

void
reserve_plan(struct dispatch *dispatch, struct pool *pool)
{
    pool->reserve = 0;
    if (!pool->has_queue[0] || !pool->has_queue[1]) {
        return;
    }
    decay_arrivals(dispatch, pool);
    double reserve_max = pool->slots * RESERVE_MAX_PERCENT / 100.0;
    double need = urgent_load(dispatch, pool) - expected_freed_slots(pool);
    need = CLAMP(need, 0, reserve_max);
    pool->reserve = MAX(need - pool->urgent_running, 0);
}
