/* Chooses the next action: refusals first, then starts, then forwards. */
#include "dispatch_state.h"

static void
fill_refusal(const struct task *task, struct dispatch_action *action)
{
    *action = (struct dispatch_action){
        .type = DISPATCH_REFUSE,
        .task = task->id,
        .outcome = task->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
        .reason = task->reason,
        .retry_after_ms = task->retry_after_ms,
    };
}

static bool
next_refusal(struct dispatch *dispatch, struct dispatch_action *action)
{
    struct task *task = g_queue_peek_head(&dispatch->refused);
    if (task == NULL) {
        return false;
    }
    fill_refusal(task, action);
    task_end(dispatch, task);
    return true;
}

/* Returns why the waiting tasks of @lane have not started. */
enum reason
lane_waits_for(const struct dispatch *dispatch, const struct lane *lane,
               int64_t now_ms)
{
    const struct pool *pool = lane->pool_team->pool;
    const struct team *team = lane->pool_team->team;
    if (now_ms >= dispatch->quorum_lease_expires_ms) {
        return REASON_NO_QUORUM_LEASE;
    }
    if (team->running >= team->permits) {
        return REASON_TEAM_LIMIT;
    }
    if (pool->hosts_accepting == 0) {
        return pool->hosts_dc_out_of_service > 0 ? REASON_DC_OUT_OF_SERVICE
                                                 : REASON_NO_HOST;
    }
    return REASON_NO_CAPACITY;
}

static void
expire_waiting(struct dispatch *dispatch)
{
    struct task *task;
    while ((task = deadline_heap_pop(dispatch->deadlines, dispatch->now_ms)) !=
           NULL) {
        enum reason reason =
            lane_waits_for(dispatch, task->lane, dispatch->now_ms);
        task_refuse(dispatch, task,
                    reason == REASON_NO_CAPACITY ? REASON_DEADLINE : reason);
    }
}

static void
start(struct dispatch *dispatch, struct task *task, struct host *host,
      bool probe, struct dispatch_action *action)
{
    struct attempt *attempt = attempt_start(dispatch, task, host, probe);
    *action = (struct dispatch_action){
        .type = DISPATCH_START,
        .task = task->id,
        .attempt = attempt->id,
        .host = host->name,
        .address = host->address,
        .lease_ms = attempt->lease_ms,
    };
}

static bool
start_from_pool(struct dispatch *dispatch, struct pool *pool,
                struct dispatch_action *action)
{
    for (int i = 0; i < LANES_PER_START; i++) {
        struct lane *lane = pool_next_lane(dispatch, pool);
        if (lane == NULL) {
            return false;
        }
        bool probe;
        struct task *task = g_queue_peek_head(&lane->tasks);
        struct host *host = host_choose(dispatch, pool, task, &probe);
        if (host != NULL) {
            start(dispatch, task, host, probe, action);
            return true;
        }
        if (pool->open_hosts->len == 0) {
            break;
        }
    }
    if (!pool->contended) {
        pool_plan_shares_soon(dispatch, pool);
    }
    pool_wake_later(dispatch, pool);
    return false;
}

static bool
next_start(struct dispatch *dispatch, struct dispatch_action *action)
{
    if (dispatch->now_ms >= dispatch->quorum_lease_expires_ms) {
        return false;
    }
    struct pool *pool;
    while ((pool = g_queue_peek_head(&dispatch->active_pools)) != NULL) {
        if (start_from_pool(dispatch, pool, action)) {
            return true;
        }
        pool_sleep(dispatch, pool);
    }
    return false;
}

static void
run_timers(struct dispatch *dispatch)
{
    attempts_expire(dispatch);
    ejections_end(dispatch);
    peers_drop_stale(dispatch);
    plans_run(dispatch);
    expire_waiting(dispatch);
    struct pool *pool;
    while ((pool = deadline_heap_pop(dispatch->wakes, dispatch->now_ms)) !=
           NULL) {
        pool_wake(dispatch, pool);
    }
}

static void
refuse_drained(struct dispatch *dispatch)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        struct task *task = entry;
        if (task->state == TASK_QUEUED) {
            task_refuse(dispatch, task, REASON_SHUTDOWN);
        }
    }
}

bool
dispatch_next(struct dispatch *dispatch, int64_t now_ms,
              struct dispatch_action *action)
{
    dispatch_advance_clock(dispatch, now_ms);
    run_timers(dispatch);
    if (next_refusal(dispatch, action) || next_start(dispatch, action) ||
        next_forward(dispatch, action)) {
        return true;
    }
    if (!dispatch->draining) {
        return false;
    }
    refuse_drained(dispatch);
    return next_refusal(dispatch, action);
}

int64_t
dispatch_wake_ms(const struct dispatch *dispatch, int64_t now_ms)
{
    const struct deadline_heap *const heaps[] = {
        dispatch->deadlines, dispatch->leases,    dispatch->plans,
        dispatch->unblocks,  dispatch->ejections, dispatch->wakes,
    };
    int64_t first_ms = INT64_MAX;
    for (size_t i = 0; i < G_N_ELEMENTS(heaps); i++) {
        first_ms = MIN(first_ms, deadline_heap_first_ms(heaps[i]));
    }
    return first_ms;
}
