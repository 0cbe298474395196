/* What becomes of a task when an attempt has ended. */
#include "dispatch_state.h"

enum {
    /* Refusals after which a task needs the budget to be tried again; until
     * then it waits in its queue like the others. */
    REFUSALS_WITHOUT_BUDGET = 3,
    /* Failures in a row up to which a host is taken to do well. */
    DOES_WELL_MAX_FAILURES = 2,
};

static bool
retry_allowed(struct dispatch *dispatch, const struct task *task)
{
    return retry_budget_spend(&task->lane->queue->retries, dispatch->now_ms);
}

static bool
does_well(const struct host *host)
{
    return host->outlier.state == OUTLIER_ROUTED &&
           host->outlier.failures_in_row <= DOES_WELL_MAX_FAILURES;
}

/* A host that does well with others and fails a task that failed elsewhere
 * shows that the fault is the task's. */
static void
blame(struct dispatch *dispatch, struct task *task, struct host *host)
{
    if (task->n_failed == 0 || !does_well(host)) {
        host_fail(dispatch, host);
    }
    else {
        hosts_absolve(dispatch, task);
    }
    if (task->n_failed < TASK_MAX_FAILED_HOSTS) {
        task->failed_on[task->n_failed++] = host->serial;
    }
}

static void
after_success(struct dispatch *dispatch, struct task *task,
              const struct attempt *attempt)
{
    if (attempt->probe) {
        attempt->pool_team->pool->probe_pause_ms = PROBE_PAUSE_MIN_MS;
    }
    if (task->absolved) {
        hosts_blame(dispatch, task);
    }
    task_over(dispatch, task);
}

/* Whether there is a host left for a task that failed, or was lost, on
 * others, and budget for it. */
static bool
can_retry(struct dispatch *dispatch, const struct task *task)
{
    const struct pool *pool = task->lane->pool_team->pool;
    return task->idempotent && !task->cancelled &&
           task->n_failed < pool->hosts_accepting &&
           retry_allowed(dispatch, task);
}

static void
retry_elsewhere(struct dispatch *dispatch, struct task *task)
{
    task->deadline.at_ms =
        dispatch->now_ms + task->lane->queue->start_deadline_ms;
    task_requeue(dispatch, task);
}

/* A task that is not tried again ends with the whole answer there is. */
static bool
after_failure(struct dispatch *dispatch, struct task *task, struct host *host)
{
    blame(dispatch, task, host);
    task->may_have_run = true;
    if (task->n_failed >= TASK_MAX_FAILED_HOSTS) {
        task_refuse(dispatch, task, REASON_NEVER_RUNS);
        return false;
    }
    if (!can_retry(dispatch, task)) {
        task_over(dispatch, task);
        return true;
    }
    retry_elsewhere(dispatch, task);
    return false;
}

static void
after_loss(struct dispatch *dispatch, struct task *task, struct host *host)
{
    blame(dispatch, task, host);
    task->may_have_run = true;
    if (task->n_failed >= TASK_MAX_FAILED_HOSTS) {
        task_refuse(dispatch, task, REASON_NEVER_RUNS);
    }
    else if (!can_retry(dispatch, task)) {
        task_refuse(dispatch, task, REASON_BACKEND_LOST);
    }
    else {
        retry_elsewhere(dispatch, task);
    }
}

/* The task did not run: back to its queue, unless this goes on. */
static void
retry_not_run(struct dispatch *dispatch, struct task *task,
              const struct attempt *attempt)
{
    task->refused_by = attempt->host->serial;
    task->refusals++;
    bool denied = !attempt->probe && !retry_allowed(dispatch, task);
    if (task->refusals >= TASK_MAX_REFUSALS) {
        task_refuse(dispatch, task, REASON_BACKEND_REFUSED);
    }
    else if (denied && task->refusals > REFUSALS_WITHOUT_BUDGET) {
        task_refuse(dispatch, task, REASON_RETRY_BUDGET);
    }
    else {
        task_requeue(dispatch, task);
    }
}

static void
after_refusal(struct dispatch *dispatch, struct task *task,
              const struct attempt *attempt)
{
    struct host *host = attempt->host;
    struct pool *pool = attempt->pool_team->pool;
    uint32_t others = host->slots - MIN(host->slots, host->outstanding - 1);
    host->reported_others = others;
    host->reported_ms = dispatch->now_ms;
    host->refused_ms = dispatch->now_ms;
    if (attempt->probe) {
        pool->probe_pause_ms =
            MIN(pool->probe_pause_ms * 2, PROBE_PAUSE_MAX_MS);
    }
    retry_not_run(dispatch, task, attempt);
}

static void
after_not_sent(struct dispatch *dispatch, struct task *task,
               const struct attempt *attempt)
{
    if (attempt_allowed(dispatch, attempt, dispatch->now_ms) != REASON_NONE) {
        /* Held back by the last check: no fault of the host. */
        task_requeue(dispatch, task);
        return;
    }
    host_fail(dispatch, attempt->host);
    retry_not_run(dispatch, task, attempt);
}

bool
task_attempt_ended(struct dispatch *dispatch, struct task *task,
                   const struct attempt *attempt, enum attempt_result result)
{
    switch (result) {
    case ATTEMPT_DONE:
        after_success(dispatch, task, attempt);
        return true;
    case ATTEMPT_FAILED:
        return after_failure(dispatch, task, attempt->host);
    case ATTEMPT_LOST:
        after_loss(dispatch, task, attempt->host);
        return false;
    case ATTEMPT_STOPPED:
        task->may_have_run = true;
        task_refuse(dispatch, task, REASON_CANCELLED);
        return false;
    case ATTEMPT_REFUSED:
        after_refusal(dispatch, task, attempt);
        return false;
    case ATTEMPT_NOT_SENT:
        after_not_sent(dispatch, task, attempt);
        return false;
    }
    return false;
}
