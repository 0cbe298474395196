/* Life cycle of attempts: start, last check before sending, end, lease. */
#include "dispatch_state.h"

static void
attempt_count(struct dispatch *dispatch, const struct attempt *attempt,
              int change)
{
    struct pool_team *pool_team = attempt->pool_team;
    struct pool *pool = pool_team->pool;
    pool_team_advance(dispatch, pool_team);
    attempt->queue->running += change;
    pool_team->running += change;
    pool->running += change;
    pool->urgent_running += attempt->urgent ? change : 0;
    pool_team->team->running += change;
    attempt->host->outstanding += change;
    if (attempt->host->rack != NULL) {
        attempt->host->rack->outstanding += change;
    }
    host_update(dispatch, attempt->host);
    pool_team_update(dispatch, pool_team);
    team_update(dispatch, pool_team->team);
    pool_wake(dispatch, pool);
}

struct attempt *
attempt_start(struct dispatch *dispatch, struct task *task, struct host *host,
              bool probe)
{
    struct attempt *attempt = g_new0(struct attempt, 1);
    attempt->id = ++dispatch->last_attempt;
    attempt->task = task;
    attempt->queue = task->lane->queue;
    attempt->pool_team = task->lane->pool_team;
    attempt->urgent = attempt->queue->urgent;
    attempt->host = host;
    attempt->probe = probe;
    attempt->started_ms = dispatch->now_ms;
    attempt->lease_ms = attempt->queue->max_run_ms;
    attempt->lease_expiry.owner = attempt;
    g_hash_table_insert(dispatch->attempts, &attempt->id, attempt);
    lane_remove(dispatch, task);
    deadline_heap_remove(dispatch->deadlines, &task->deadline);
    task->state = TASK_IN_ATTEMPT;
    task->attempt = attempt->id;
    attempt_count(dispatch, attempt, 1);
    return attempt;
}

void
attempt_destroy(void *data)
{
    g_free(data);
}

static struct attempt *
attempt_find(const struct dispatch *dispatch, uint64_t id)
{
    return g_hash_table_lookup(dispatch->attempts, &id);
}

static void
attempt_release(struct dispatch *dispatch, struct attempt *attempt)
{
    struct host *host = attempt->host;
    deadline_heap_remove(dispatch->leases, &attempt->lease_expiry);
    attempt_count(dispatch, attempt, -1);
    if (attempt->ran) {
        host_freed(dispatch, host);
    }
    g_hash_table_remove(dispatch->attempts, &attempt->id);
    if (!host->listed && host->outstanding == 0) {
        host_destroy(host);
    }
}

void
attempts_expire(struct dispatch *dispatch)
{
    struct attempt *attempt;
    while ((attempt = deadline_heap_pop(dispatch->leases, dispatch->now_ms)) !=
           NULL) {
        attempt_release(dispatch, attempt);
    }
}

void
dispatch_attempt_resolved(struct dispatch *dispatch, uint64_t attempt_id,
                          int64_t now_ms)
{
    dispatch_advance_clock(dispatch, now_ms);
    struct attempt *attempt = attempt_find(dispatch, attempt_id);
    if (attempt != NULL && attempt->lost) {
        attempt_release(dispatch, attempt);
    }
}

/* The backend server counts the lease from the arrival of the request, which
 * is no later than the end of the attempt's connection. So the attempt can't
 * run longer than one lease from now. */
static void
attempt_lost(struct dispatch *dispatch, struct attempt *attempt)
{
    attempt->lost = true;
    attempt->task = NULL;
    deadline_heap_set(dispatch->leases, &attempt->lease_expiry,
                      dispatch->now_ms + attempt->lease_ms + LEASE_MARGIN_MS);
}

enum reason
attempt_allowed(const struct dispatch *dispatch, const struct attempt *attempt,
                int64_t now_ms)
{
    if (now_ms >= dispatch->quorum_lease_expires_ms) {
        return REASON_NO_QUORUM_LEASE;
    }
    enum reason reason = task_allowed(dispatch, attempt->task);
    if (reason != REASON_NONE) {
        return reason;
    }
    if (attempt->host->dc != NULL && attempt->host->dc->out_of_service) {
        return REASON_DC_OUT_OF_SERVICE;
    }
    if (!host_usable(attempt->host)) {
        return REASON_NO_HOST;
    }
    const struct team *team = attempt->pool_team->team;
    return team->running > team->permits ? REASON_TEAM_LIMIT : REASON_NONE;
}

enum reason
dispatch_may_send(const struct dispatch *dispatch, uint64_t attempt_id,
                  int64_t now_ms)
{
    const struct attempt *attempt = attempt_find(dispatch, attempt_id);
    if (attempt == NULL || attempt->task == NULL || attempt->sent ||
        attempt->task->cancelled) {
        return REASON_CANCELLED;
    }
    return attempt_allowed(dispatch, attempt, now_ms);
}

void
dispatch_sent(struct dispatch *dispatch, uint64_t attempt_id, int64_t now_ms)
{
    struct attempt *attempt = attempt_find(dispatch, attempt_id);
    if (attempt != NULL) {
        attempt->sent = true;
    }
}

/* Updates the statistics of run times, service and host health. */
static void
attempt_observe(struct dispatch *dispatch, const struct attempt *attempt,
                enum attempt_result result)
{
    struct pool_team *pool_team = attempt->pool_team;
    int64_t run_ms = MAX(dispatch->now_ms - attempt->started_ms, 0);
    bool done = result == ATTEMPT_DONE;
    if (!done && result != ATTEMPT_FAILED && result != ATTEMPT_LOST) {
        return;
    }
    if (dispatch->unit == SERVICE_UNIT_SLOT_TIME) {
        pool_team->served_milli += (uint64_t)run_ms;
    }
    else {
        pool_team->served_milli += done ? 1000 : 0;
    }
    pool_team->served_ms = dispatch->now_ms;
    pool_team->completed += done;
    if (done) {
        estimate_add(&attempt->queue->run, run_ms);
        estimate_add(&pool_team->pool->run[attempt->urgent], run_ms);
        retry_budget_earn(&attempt->queue->retries);
        outlier_succeeded(&attempt->host->outlier, &pool_team->pool->outlier);
    }
}

bool
dispatch_attempt_ended(struct dispatch *dispatch, uint64_t attempt_id,
                       enum attempt_result result, int64_t now_ms)
{
    dispatch_advance_clock(dispatch, now_ms);
    struct attempt *attempt = attempt_find(dispatch, attempt_id);
    if (attempt == NULL || attempt->lost) {
        return false;
    }
    struct task *task = attempt->task;
    attempt_observe(dispatch, attempt, result);
    bool over = task_attempt_ended(dispatch, task, attempt, result);
    attempt->ran = result == ATTEMPT_DONE || result == ATTEMPT_FAILED;
    if (result == ATTEMPT_LOST) {
        attempt_lost(dispatch, attempt);
    }
    else {
        attempt_release(dispatch, attempt);
    }
    return over;
}
