/* Requests run reports: when they are due, what they acknowledge, and the
 * leases that they renew. */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

void
sched_report_at_once(struct scheduler *sched, struct backend *backend)
{
    backend->report_due_ms = 0;
    sched_schedule_report(sched, backend);
}

static bool
report_needed(const struct scheduler *sched, const struct backend *backend)
{
    if (backend->runs->len > 0 || backend->strays->len > 0 ||
        backend->unreconciled) {
        return true;
    }
    if (!g_queue_is_empty((GQueue *)&backend->completions) ||
        backend->report_request.acked < backend->acked_completion) {
        return true;
    }
    const struct pool_config *pool = sched_pool_config(sched, backend->pool);
    return backend->listed && pool != NULL && !pool->spare &&
           (!backend->report_received || backend->unresponsive);
}

static void
send_report_request(struct scheduler *sched, struct backend *backend)
{
    int64_t now_ms = sched_now(sched);
    backend_ack_completions(backend);
    bool first = !backend->report_received || backend->unresponsive;
    int64_t until_ms = 0;
    if (sched->leadership_valid && !first && !backend->list_stored &&
        backend->runs->len > 0) {
        until_ms = backend_grant_lease(backend, sched_lease_ms(sched), now_ms);
    }
    bool wait = !first && !sched->outage && backend->runs->len > 0;
    int64_t wait_ms = wait ? REPORT_WAIT_MS : 0;
    if (wait && sched_backend_mixed(backend)) {
        wait_ms = REPORT_WAIT_MIXED_MS;
    }
    if (wait && backend->isolated_runs > 0) {
        wait_ms = MIN(wait_ms, (int64_t)REPORT_WAIT_ISOLATED_MS);
    }
    for (guint i = 0; wait && i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (run->state == RUN_UNCERTAIN) {
            wait_ms = 0;
        }
        if (run->state == RUN_STOPPING) {
            wait_ms = MIN(wait_ms, sched->timings.stop_ms / 4 + 50);
        }
    }
    if (!wait && backend->runs->len > 0 && sched->outage) {
        wait_ms = REPORT_WAIT_MS / 4;
    }
    /* An incarnation that has started again unnoticed would forget completions
     * that it listed to nobody. So after a call without an answer the next
     * report shows the incarnation first, and no number is repeated. */
    int64_t acked =
        first ? backend->acked_answered : backend->acked_completion;
    backend->report_in_flight = true;
    backend->report_request = (struct report_request){
        .number = ++sched->next_report_request,
        .sent_ms = now_ms,
        .incarnation = backend->incarnation,
        .acked = acked,
    };
    sched->ops.request_report(
        sched->ops.ctx, backend, &backend->report_request, until_ms,
        acked > backend->acked_answered ? acked : 0, wait_ms);
}

void
sched_schedule_report(struct scheduler *sched, struct backend *backend)
{
    if (backend->report_in_flight || !report_needed(sched, backend)) {
        deadline_heap_remove(sched->report_deadlines,
                             &backend->report_deadline);
        return;
    }
    deadline_heap_set(sched->report_deadlines, &backend->report_deadline,
                      backend->report_due_ms);
}

void
sched_check_reports(struct scheduler *sched)
{
    int64_t now_ms = sched_now(sched);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct backend *backend = value;
        if (backend->report_in_flight &&
            now_ms - backend->report_request.sent_ms > ANSWER_TIMEOUT_MS) {
            backend->report_in_flight = false;
            sched_backend_silent(sched, backend, "its answer is overdue");
        }
        sched_backend_changed(sched, backend);
        sched_schedule_report(sched, backend);
    }
}

/* Whether the only reason for a request, completions to acknowledge, has to
 * wait until their effects are stored. */
static bool
waits_for_store(struct backend *backend)
{
    if (backend->runs->len > 0 || !backend->report_received ||
        backend->unresponsive || g_queue_is_empty(&backend->completions)) {
        return false;
    }
    backend_ack_completions(backend);
    return !g_queue_is_empty(&backend->completions);
}

void
sched_request_reports(struct scheduler *sched)
{
    if (sched->fenced) {
        return;
    }
    int64_t now_ms = sched_now(sched);
    struct backend *backend;
    while ((backend = deadline_heap_pop(sched->report_deadlines, now_ms)) !=
           NULL) {
        if (backend->report_in_flight || !report_needed(sched, backend)) {
            continue;
        }
        if (waits_for_store(backend)) {
            backend->report_due_ms =
                now_ms + overload_report_gap_ms(&sched->overload);
            sched_schedule_report(sched, backend);
            continue;
        }
        send_report_request(sched, backend);
    }
}
