/* Decides, when an attempt has ended, whether its task is finished, retried
 * or refused, and whether the host or the task caused a failure. */
#include "dispatch_state.h"

enum {
    /* Up to this many refusals a task is queued again even if the retry
     * budget is empty. */
    REFUSALS_WITHOUT_BUDGET = 3,
    /* Up to this many failures in a row a host counts as healthy. */
    HEALTHY_FAILURES_MAX = 2,
};

static bool
retry_allowed(struct dispatch *dispatch, const struct task *task)
{
    return retry_budget_spend(&task->lane->queue->retries, dispatch->now_ms);
}

static bool
is_healthy(const struct host *host)
{
    return host->outlier.state == OUTLIER_ROUTED &&
           host->outlier.failures_in_row <= HEALTHY_FAILURES_MAX;
}

/* If a task that failed elsewhere also fails on a healthy host, the task is
 * the cause, and no host counts its failures. */
static void
attribute_failure(struct dispatch *dispatch, struct task *task,
                  struct host *host)
{
    if (task->n_failed == 0 || !is_healthy(host)) {
        host_fail(dispatch, host);
    }
    else {
        hosts_discount_failures(dispatch, task);
    }
    if (task->n_failed < TASK_FAILED_HOSTS_MAX) {
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
    if (task->failures_discounted) {
        hosts_restore_failures(dispatch, task);
    }
    task_end(dispatch, task);
}

/* Whether a task that failed or was lost may run again, there is a host on
 * which it has not failed yet, and the retry budget allows it. */
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

/* Without a retry, the caller gets the complete answer of the failed run. */
static bool
after_failure(struct dispatch *dispatch, struct task *task, struct host *host)
{
    attribute_failure(dispatch, task, host);
    task->may_have_run = true;
    if (task->n_failed >= TASK_FAILED_HOSTS_MAX) {
        task_refuse(dispatch, task, REASON_NEVER_RUNS);
        return false;
    }
    if (!can_retry(dispatch, task)) {
        task_end(dispatch, task);
        return true;
    }
    retry_elsewhere(dispatch, task);
    return false;
}

static void
after_loss(struct dispatch *dispatch, struct task *task, struct host *host)
{
    attribute_failure(dispatch, task, host);
    task->may_have_run = true;
    if (task->n_failed >= TASK_FAILED_HOSTS_MAX) {
        task_refuse(dispatch, task, REASON_NEVER_RUNS);
    }
    else if (!can_retry(dispatch, task)) {
        task_refuse(dispatch, task, REASON_BACKEND_LOST);
    }
    else {
        retry_elsewhere(dispatch, task);
    }
}

/* The task did not run: queues it again, or refuses it after too many
 * refusals or without retry budget. */
static void
retry_not_run(struct dispatch *dispatch, struct task *task,
              const struct attempt *attempt)
{
    task->refused_by = attempt->host->serial;
    task->refusals++;
    bool denied = !attempt->probe && !retry_allowed(dispatch, task);
    if (task->refusals >= TASK_REFUSALS_MAX) {
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
        /* dispatch_may_send() stopped it, so the host has not failed. */
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
