/* Admission control: refuses tasks on arrival when the estimated wait exceeds
 * the start deadline of their queue. */
#include "dispatch_state.h"

enum {
    RETRY_AFTER_MIN_MS = 1000,
};

static const double SLOTS_MIN = 0.05;

/* Tasks whose estimated wait exceeds this fraction of the start deadline are
 * refused; the rest is a margin for errors of the estimate. */
static const double ADMIT_DEADLINE_FRACTION = 0.85;

/* Estimated time until a new task starts: @ahead tasks wait before it for
 * @slots slots, of which @busy are in use. */
static double
wait_ms(double ahead, double slots, double busy, double run_ms)
{
    double idle = MAX(slots - busy, 0);
    return MAX(ahead + 1 - idle, 0) * run_ms / MAX(slots, SLOTS_MIN);
}

/* While the team is below its limit over all gateways, this gateway can still
 * get more permits, so no wait is assumed. */
static double
wait_for_permit_ms(const struct pool_team *pool_team, double run_ms)
{
    const struct team *team = pool_team->team;
    if (team->permits == 0 ||
        team->running + team->peers_running < team->max_running) {
        return 0;
    }
    return wait_ms(team->queued, team->permits, team->running, run_ms);
}

static double
wait_for_slot_ms(const struct lane *lane, double run_ms)
{
    const struct pool_team *pool_team = lane->pool_team;
    const struct pool *pool = pool_team->pool;
    if (!pool->contended) {
        return 0;
    }
    if (lane->queue->urgent) {
        double slots = pool->slots * pool->own_fraction;
        return wait_ms(pool->urgent_queued, slots, pool->running, run_ms);
    }
    if (pool_team->due_slots <= 0) {
        return 0;
    }
    return wait_ms(pool_team->queued, pool_team->due_slots, pool_team->running,
                   run_ms);
}

enum reason
lane_admit(const struct dispatch *dispatch, const struct lane *lane,
           int64_t *retry_after_ms)
{
    const struct queue *queue = lane->queue;
    const struct pool *pool = lane->pool_team->pool;
    if (lane->tasks.length >= queue->max_queued) {
        *retry_after_ms = queue->start_deadline_ms;
        return REASON_QUEUE_FULL;
    }
    if (!estimate_ready(&queue->run)) {
        return REASON_NONE;
    }
    double run_ms = estimate_mean_ms(&pool->run[queue->urgent]);
    double permit_ms = wait_for_permit_ms(lane->pool_team, run_ms);
    double slot_ms = wait_for_slot_ms(lane, run_ms);
    double longest_ms = MAX(permit_ms, slot_ms);
    if (longest_ms <=
        ADMIT_DEADLINE_FRACTION * (double)queue->start_deadline_ms) {
        return REASON_NONE;
    }
    *retry_after_ms = MAX((int64_t)longest_ms - queue->start_deadline_ms,
                          RETRY_AFTER_MIN_MS);
    return permit_ms >= slot_ms ? REASON_TEAM_LIMIT : REASON_NO_CAPACITY;
}
