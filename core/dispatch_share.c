/* Divides the slots of each pool among teams and gateways by weighted max-min
 * fairness, and decides whether a team may start a task under its share. */
#include "core/share_plan.h"
#include "dispatch_state.h"

enum {
    PLAN_INTERVAL_MS = 200,
    PLAN_SOON_MS = 20,
    PLAN_QUIET_INTERVAL_MS = 1000,
    /* The interval grows by 1 ms for every this many teams, which bounds the
     * time spent on planning. */
    PLAN_TEAMS_PER_MS = 1,
    /* Minimum time over which a lag is compensated. */
    CATCH_UP_MIN_MS = 100,
    /* A lag changes a team's share by at most this many slots. */
    LAG_MAX_SLOTS = 4,
    /* Window of past service that the lag takes into account: the longer of
     * this time and this many mean run times. */
    SERVICE_WINDOW_MS = 10000,
    SERVICE_WINDOW_RUNS = 10,
    RUN_WINDOW_MS = 30000,
    /* Fraction of a contended pool that is not divided, so that gateways
     * below their share find free slots when others release some. */
    UNDIVIDED_PERCENT = 1,
    /* With fewer completed tasks, the pool's mean run time is used in place
     * of the team's. */
    MEAN_RUN_TASKS_MIN = 10,
};

static const double WEIGHT_MIN = 0.001;

static double
reserved(const struct pool *pool)
{
    return pool->reserve + pool->peers_aggregate.reserve_milli / 1000.0;
}

static double
catch_up_ms(const struct pool *pool)
{
    return MAX(pool->mean_run_ms, CATCH_UP_MIN_MS);
}

static double
service_window_ms(const struct pool *pool)
{
    return MAX(pool->mean_run_ms * SERVICE_WINDOW_RUNS, SERVICE_WINDOW_MS);
}

void
pool_team_advance(struct dispatch *dispatch, struct pool_team *pool_team)
{
    const struct pool *pool = pool_team->pool;
    double dt_ms = (double)(dispatch->now_ms - pool_team->advanced_ms);
    pool_team->advanced_ms = dispatch->now_ms;
    pool_team->busy_ms += pool_team->running * dt_ms;
    if (!pool->contended || dt_ms > SERVICE_WINDOW_MS) {
        pool_team->lag_ms = 0;
        return;
    }
    double decay_factor = 1.0 - MIN(dt_ms / service_window_ms(pool), 1.0);
    double limit = LAG_MAX_SLOTS * catch_up_ms(pool);
    pool_team->lag_ms *= decay_factor;
    pool_team->lag_ms += (pool_team->due_slots - pool_team->running) * dt_ms;
    pool_team->lag_ms = CLAMP(pool_team->lag_ms, -limit, limit);
    if (pool_team->queued == 0) {
        pool_team->lag_ms = MIN(pool_team->lag_ms, 0);
    }
}

/* Whether the team may start a task under its share. Its lag raises or lowers
 * its due slots, so that earlier deviations are compensated within about
 * catch_up_ms(). While the team runs fewer than its due slots its lag grows;
 * if it may not start yet, the time from which it may is scheduled. */
bool
pool_team_may_start(struct dispatch *dispatch, struct pool_team *pool_team)
{
    if (!pool_team->pool->contended) {
        return true;
    }
    pool_team_advance(dispatch, pool_team);
    double tau_ms = catch_up_ms(pool_team->pool);
    double over = pool_team->running - pool_team->due_slots;
    if (over < pool_team->lag_ms / tau_ms) {
        return true;
    }
    if (over >= 0) {
        deadline_heap_remove(dispatch->unblocks, &pool_team->unblock);
        return false;
    }
    double wait_ms = (over * tau_ms - pool_team->lag_ms) / -over;
    deadline_heap_set(dispatch->unblocks, &pool_team->unblock,
                      dispatch->now_ms + 1 + (int64_t)wait_ms);
    return false;
}

static double
mean_run_ms(const struct pool_team *pool_team)
{
    return pool_team->completed >= MEAN_RUN_TASKS_MIN
               ? pool_team->busy_ms / pool_team->completed
               : pool_team->pool->mean_run_ms;
}

static void
decay_run(struct dispatch *dispatch, struct pool_team *pool_team)
{
    pool_team_advance(dispatch, pool_team);
    double dt_ms = (double)(dispatch->now_ms - pool_team->decayed_ms);
    double decay_factor = 1.0 - MIN(dt_ms / RUN_WINDOW_MS, 1.0);
    pool_team->decayed_ms = dispatch->now_ms;
    pool_team->busy_ms *= decay_factor;
    pool_team->completed *= decay_factor;
}

static void
decay_runs(struct dispatch *dispatch, struct pool *pool)
{
    double busy_ms = 0;
    double completed = 0;
    for (guint i = 0; i < pool->in_use->len; i++) {
        struct pool_team *pool_team = g_ptr_array_index(pool->in_use, i);
        decay_run(dispatch, pool_team);
        busy_ms += pool_team->busy_ms;
        completed += pool_team->completed;
    }
    pool->planned_ms = dispatch->now_ms;
    pool->mean_run_ms = completed > 0 ? busy_ms / completed : 0;
}

static uint32_t
own_demand(const struct pool_team *pool_team)
{
    return pool_team->running + pool_team->queued;
}

static uint32_t
fleet_demand(const struct pool_team *pool_team)
{
    return own_demand(pool_team) + pool_team->peers_running +
           pool_team->peers_queued;
}

static double
claim_weight(const struct dispatch *dispatch,
             const struct pool_team *pool_team)
{
    double weight = MAX(pool_team->team->share_permille, WEIGHT_MIN);
    if (dispatch->unit == SERVICE_UNIT_TASK) {
        weight *= MAX(mean_run_ms(pool_team), 1);
    }
    return weight;
}

static void
add_claim(struct dispatch *dispatch, struct pool_team *pool_team)
{
    struct share_claim claim = {
        .weight = claim_weight(dispatch, pool_team),
        .demand = fleet_demand(pool_team),
        .limit = pool_team->team->max_running,
        .owner = pool_team,
    };
    g_array_append_val(dispatch->claims, claim);
}

void
pool_team_join(struct dispatch *dispatch, struct pool_team *pool_team)
{
    double demand = fleet_demand(pool_team);
    double due =
        pool_team->pool->fill_level * claim_weight(dispatch, pool_team);
    pool_team_advance(dispatch, pool_team);
    pool_team->due_slots =
        MIN(due, demand) * own_demand(pool_team) / MAX(demand, 1);
}

static void
drop_idle(struct pool *pool)
{
    for (guint i = 0; i < pool->in_use->len;) {
        struct pool_team *pool_team = g_ptr_array_index(pool->in_use, i);
        if (fleet_demand(pool_team) > 0) {
            i++;
            continue;
        }
        pool_team->due_slots = 0;
        pool_team->in_use = false;
        g_ptr_array_remove_index_fast(pool->in_use, i);
    }
}

static double
collect_claims(struct dispatch *dispatch, const struct pool *pool)
{
    double wanted =
        pool->peers_aggregate.running + pool->peers_aggregate.queued;
    g_array_set_size(dispatch->claims, 0);
    for (guint i = 0; i < pool->in_use->len; i++) {
        add_claim(dispatch, g_ptr_array_index(pool->in_use, i));
    }
    for (guint i = 0; i < dispatch->claims->len; i++) {
        const struct share_claim *claim =
            &g_array_index(dispatch->claims, struct share_claim, i);
        wanted += MIN(claim->demand, claim->limit);
    }
    return wanted;
}

/* Each gateway gets the same fraction of a team's slots as it has of the
 * team's demand. */
static void
set_due_slots(struct dispatch *dispatch, struct pool *pool)
{
    struct share_claim *claims =
        (struct share_claim *)(void *)dispatch->claims->data;
    pool->fill_level = 0;
    for (guint i = 0; i < dispatch->claims->len; i++) {
        struct pool_team *pool_team = claims[i].owner;
        pool_team->due_slots =
            claims[i].allocated * own_demand(pool_team) / claims[i].demand;
        pool->fill_level =
            MAX(pool->fill_level, claims[i].allocated / claims[i].weight);
    }
}

static double
own_fraction(const struct pool *pool, double wanted)
{
    return wanted > 0 ? MIN((pool->running + pool->queued) / wanted, 1) : 1;
}

static void
update_teams(struct dispatch *dispatch, struct pool *pool)
{
    for (guint i = 0; i < pool->in_use->len; i++) {
        struct pool_team *pool_team = g_ptr_array_index(pool->in_use, i);
        if (pool_team->queued > 0) {
            pool_team_update(dispatch, pool_team);
        }
    }
}

static void
schedule_next_plan(struct dispatch *dispatch, struct pool *pool)
{
    bool quiet = !pool->contended && pool->queued == 0;
    if (quiet && pool->running == 0) {
        return;
    }
    int64_t interval_ms = quiet ? PLAN_QUIET_INTERVAL_MS : PLAN_INTERVAL_MS;
    interval_ms += pool->in_use->len / PLAN_TEAMS_PER_MS;
    deadline_heap_set(dispatch->plans, &pool->plan,
                      dispatch->now_ms + interval_ms);
}

void
pool_plan_shares(struct dispatch *dispatch, struct pool *pool)
{
    drop_idle(pool);
    decay_runs(dispatch, pool);
    reserve_plan(dispatch, pool);
    double reserved_slots = reserved(pool);
    pool->slots_planned = MAX(pool->slots - reserved_slots, 0);
    double wanted = collect_claims(dispatch, pool);
    pool->own_fraction = own_fraction(pool, wanted);
    pool->contended = wanted > pool->slots_planned;
    if (pool->contended) {
        double slots = pool->slots_planned * (100 - UNDIVIDED_PERCENT) / 100;
        share_plan((struct share_claim *)(void *)dispatch->claims->data,
                   dispatch->claims->len,
                   MAX(slots - pool->peers_aggregate.running, 0));
        set_due_slots(dispatch, pool);
    }
    update_teams(dispatch, pool);
    schedule_next_plan(dispatch, pool);
}

void
pool_plan_shares_soon(struct dispatch *dispatch, struct pool *pool)
{
    int64_t soon_ms = MAX(pool->planned_ms, dispatch->now_ms) + PLAN_SOON_MS;
    if (pool->plan.index == 0 || pool->plan.at_ms > soon_ms) {
        deadline_heap_set(dispatch->plans, &pool->plan, soon_ms);
    }
}

void
plans_run(struct dispatch *dispatch)
{
    struct pool *pool;
    while ((pool = deadline_heap_pop(dispatch->plans, dispatch->now_ms)) !=
           NULL) {
        pool_plan_shares(dispatch, pool);
    }
    struct pool_team *pool_team;
    while ((pool_team = deadline_heap_pop(dispatch->unblocks,
                                          dispatch->now_ms)) != NULL) {
        pool_team_update(dispatch, pool_team);
    }
}

bool
pool_team_behind(const struct pool_team *pool_team)
{
    const struct pool *pool = pool_team->pool;
    return pool->contended && pool_team->lag_ms > catch_up_ms(pool) / 2;
}

bool
pool_has_normal_capacity(const struct pool *pool)
{
    if (reserved(pool) <= 0) {
        return true;
    }
    return pool->running + pool->peers_running + 1 <= pool->slots_planned;
}
