/* Requests and processes run reports: renews leases, handles completions, and
 * adopts runs of a previous leader. */
#include "core/jobs/scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler_state.h"

enum {
    /* Most completions in one report; a report with this many may be
     * incomplete. */
    COMPLETIONS_PER_REPORT_MAX = 500,
    /* For a backend server's clock that is 2 % slow, and for the transit time
     * of the stop command. */
    STOP_MARGIN_MS = 100,
};

static bool
parse_task_name(const char *text, struct task_name *name)
{
    const char *dot = strchr(text, '.');
    if (dot == NULL || (size_t)(dot - text) != JOB_ID_CHARS) {
        return false;
    }
    memcpy(name->job_id, text, JOB_ID_CHARS);
    name->job_id[JOB_ID_CHARS] = '\0';
    uint32_t *parts[] = {&name->occurrence, &name->step, &name->index};
    for (size_t i = 0; i < 3; i++) {
        if (*dot != '.') {
            return false;
        }
        char *end = NULL;
        *parts[i] = (uint32_t)strtoul(dot + 1, &end, 10);
        if (end == dot + 1) {
            return false;
        }
        dot = end;
    }
    return *dot == '\0';
}

/* Job of a reported task, or NULL if no known job has such a task. */
static struct job *
find_task(struct scheduler *sched, const char *text, struct task_name *name)
{
    if (!parse_task_name(text, name)) {
        return NULL;
    }
    struct job *job = scheduler_find_job(sched, name->job_id);
    if (job == NULL || name->occurrence >= job->n_occurrences ||
        name->step >= job->n_steps ||
        name->index >= job->steps[name->step].task_count) {
        return NULL;
    }
    return job;
}

/* A stall is measured between reports on their own clock: between two that
 * come late or are read late, the run has made progress unseen. */
static void
update_progress(struct run *run, int32_t percent, int64_t clock_ms)
{
    if (run->percent != percent || run->percent_clock_ms == 0 ||
        clock_ms < run->percent_clock_ms) {
        run->percent = percent;
        run->percent_clock_ms = clock_ms;
    }
    run->unchanged_ms = clock_ms - run->percent_clock_ms;
}

static void
update_run(struct scheduler *sched, struct run *run,
           const struct reported_run *reported, int64_t clock_ms)
{
    int64_t now_ms = sched_now(sched);
    run->confirmed_ms = now_ms;
    run->incarnation = run->backend->incarnation;
    run->reported = true;
    run->other_clock = false;
    sched_run_worked_until(sched, run, clock_ms);
    run->job->started = true;
    run->load_metric = reported->load_metric;
    update_progress(run, reported->percent, clock_ms);
    if (run->state == RUN_STARTING || run->state == RUN_UNCERTAIN ||
        sched_stop_needs_report(run)) {
        run->state = RUN_WORKING;
        run->stop_unconfirmed = false;
    }
    struct job_task *task = run_task(run);
    if (reported->saved != NULL && reported->saved[0] != '\0' &&
        g_strcmp0(task->saved, reported->saved) != 0) {
        g_free(task->saved);
        task->saved = g_strdup(reported->saved);
    }
}

static void
process_reported_run(struct scheduler *sched, struct backend *backend,
                     const struct reported_run *reported, int64_t clock_ms)
{
    struct task_name name;
    struct job *job = find_task(sched, reported->task, &name);
    if (job == NULL) {
        sched_stray_reported(sched, backend, reported, NULL, &name);
        return;
    }
    struct job_task *task =
        &job_step_progress(job, name.occurrence, name.step)->tasks[name.index];
    task->run_number = MAX(task->run_number, reported->number);
    if (task->run != NULL && task->run->backend == backend &&
        task->run->number == reported->number) {
        update_run(sched, task->run, reported, clock_ms);
        return;
    }
    if (task->run != NULL || task->done || job->state != JOB_ACTIVE ||
        sched_find_stray(backend, reported->task, reported->number) != NULL) {
        sched_stray_reported(sched, backend, reported, job, &name);
        return;
    }
    struct run *run = sched_run_create(sched, job, name.occurrence, name.step,
                                       name.index, reported->number, backend);
    run->state = RUN_WORKING;
    /* The previous leader may have throttled it. */
    run->cpu_limit_percent = -1;
    update_run(sched, run, reported, clock_ms);
    sched_log_event(sched, "run_adopted", "\"task\":\"%s\",\"backend\":\"%s\"",
                    reported->task, backend->entry.id);
}

static void
queue_completion(struct backend *backend, int64_t number, struct job *job)
{
    struct pending_completion *completion =
        g_new0(struct pending_completion, 1);
    completion->number = number;
    if (job != NULL) {
        completion->job = job_ref(job);
        completion->version = job->version;
    }
    g_queue_push_tail(&backend->completions, completion);
    backend->last_completion = number;
}

static void
process_completion(struct scheduler *sched, struct backend *backend,
                   const struct run_completion *completion)
{
    if (completion->number <= backend->last_completion) {
        return;
    }
    sched_stray_completed(sched, backend, completion->task, completion->run);
    struct task_name name;
    struct job *job = find_task(sched, completion->task, &name);
    if (job == NULL) {
        queue_completion(backend, completion->number, NULL);
        return;
    }
    struct job_task *task =
        &job_step_progress(job, name.occurrence, name.step)->tasks[name.index];
    task->run_number = MAX(task->run_number, completion->run);
    struct run *run = task->run;
    if (run != NULL && run->backend == backend &&
        run->number == completion->run) {
        sched_run_end(sched, run, completion->reason, completion->saved);
    }
    else if (completion->reason == END_DONE && job->state == JOB_ACTIVE) {
        sched_task_done(sched, job, name.occurrence, name.step, name.index);
    }
    else if (completion->reason == END_FAILED) {
        sched_untracked_failure(sched, job, name.occurrence, name.step,
                                name.index, completion->run);
    }
    queue_completion(backend, completion->number, job);
}

int64_t
sched_stop_visible_after_ms(const struct scheduler *sched)
{
    return sched->timings.stop_ms + STOP_MARGIN_MS;
}

void
sched_report_at_once(struct scheduler *sched, struct backend *backend)
{
    backend->report_due_ms = 0;
    sched_schedule_report(sched, backend);
}

/* Whether a report without @run proves that it is gone: the report was
 * requested after the run was confirmed, or after its stop took effect. */
static bool
absence_is_end(const struct scheduler *sched, const struct backend *backend,
               const struct run *run)
{
    /* A run that is being stopped may be missing from both the runs and the
     * completions of a report. */
    if (run->incarnation != backend->incarnation) {
        return run->state != RUN_STOPPING ||
               backend->report_requested_ms >= backend->settled_ms;
    }
    if (run->state != RUN_STOPPING) {
        return run->confirmed_ms != 0 &&
               run->confirmed_ms < backend->report_requested_ms;
    }
    return run->stop_acked_ms != 0 &&
           run->stop_acked_ms + sched_stop_visible_after_ms(sched) <
               backend->report_requested_ms;
}

static void
drop_absent(struct scheduler *sched, struct backend *backend,
            const struct run_report *report)
{
    if (report->n_completions >= COMPLETIONS_PER_REPORT_MAX) {
        return;
    }
    sched_drop_absent_strays(sched, backend);
    int64_t now_ms = sched_now(sched);
    for (guint i = backend->runs->len; i > 0; i--) {
        struct run *run = g_ptr_array_index(backend->runs, i - 1);
        bool reported_now = run->confirmed_ms == now_ms;
        if (reported_now || !absence_is_end(sched, backend, run)) {
            continue;
        }
        sched_log_run(sched, "run_absent", run);
        sched->stats.lost++;
        sched_run_free(sched, run);
    }
}

static void
other_incarnation(struct scheduler *sched, struct backend *backend)
{
    sched_log_event(sched, "backend_other_incarnation", "\"backend\":\"%s\"",
                    backend->entry.id);
    backend->unresponsive = true;
    backend->report_due_ms = sched_now(sched) + REPORT_RETRY_MS;
}

/* A run that a previous leader is stopping may be missing from both the runs
 * and the completions of a report. Until its stop must have taken effect, the
 * backend server stays unreconciled and no inherited job of its pool gets new
 * runs. */
static void
update_reconciliation(struct scheduler *sched, struct backend *backend)
{
    if (!backend->unreconciled) {
        return;
    }
    if (backend->reconcile_due_ms == 0) {
        backend->reconcile_due_ms =
            sched_now(sched) + sched_stop_visible_after_ms(sched);
    }
    else if (backend->report_requested_ms >= backend->reconcile_due_ms) {
        backend->unreconciled = false;
        return;
    }
    if (backend->runs->len == 0) {
        backend->report_due_ms = backend->reconcile_due_ms;
    }
}

/* Whether the report shows an incarnation that the host list doesn't have
 * yet. */
static bool
newer_incarnation(const struct backend *backend,
                  const struct run_report *report)
{
    return backend->entry.incarnation_start_ms != 0 &&
           report->incarnation_start_ms > backend->entry.incarnation_start_ms;
}

static void
on_newer_incarnation(struct scheduler *sched, struct backend *backend,
                     const struct run_report *report)
{
    struct backend_entry *entry = backend_entry_copy(&backend->entry);
    entry->incarnation_start_ms = report->incarnation_start_ms;
    bool listed = backend->listed;
    scheduler_backend_updated(sched, entry);
    backend->listed = listed;
    backend_entry_destroy(entry);
    backend->report_due_ms = 0;
}

static void
process_report(struct scheduler *sched, struct backend *backend,
               const struct run_report *report)
{
    int64_t now_ms = sched_now(sched);
    backend->report_in_flight = false;
    backend->report_due_ms = now_ms + overload_report_gap_ms(&sched->overload);
    if (newer_incarnation(backend, report)) {
        on_newer_incarnation(sched, backend, report);
        return;
    }
    if (backend->report_incarnation != backend->incarnation) {
        /* What was meant for the earlier incarnation may still be carried out
         * after this report was made. */
        backend->report_due_ms = 0;
        return;
    }
    if (report->outcome == REPORT_FENCED) {
        sched->fenced = true;
        return;
    }
    if (report->outcome == REPORT_OTHER_INCARNATION) {
        other_incarnation(sched, backend);
        return;
    }
    if (report->outcome == REPORT_NO_ANSWER) {
        if (!backend->unresponsive) {
            sched_log_event(
                sched, "backend_silent",
                "\"backend\":\"%s\",\"reason\":\"%s\"", backend->entry.id,
                report->error == NULL ? "no answer" : report->error);
            sched_crash_backend_silent(sched, backend);
        }
        backend->unresponsive = true;
        backend->report_due_ms = now_ms + REPORT_RETRY_MS;
        return;
    }
    if (report->incarnation_start_ms != 0 &&
        report->incarnation_start_ms < backend->entry.incarnation_start_ms) {
        return;
    }
    if (backend->unresponsive) {
        sched_log_event(sched, "backend_answers", "\"backend\":\"%s\"",
                        backend->entry.id);
        sched_crash_backend_answers(sched, backend);
    }
    backend->unresponsive = false;
    backend_clock_sampled(backend, report->clock_ms, now_ms);
    for (size_t i = 0; i < report->n_completions; i++) {
        process_completion(sched, backend, &report->completions[i]);
    }
    for (size_t i = 0; i < report->n_running; i++) {
        process_reported_run(sched, backend, &report->running[i],
                             report->clock_ms);
    }
    backend->acked_answered = backend->acked_sent;
    if (backend->settled_ms == 0) {
        backend->settled_ms = now_ms + sched_stop_visible_after_ms(sched);
    }
    drop_absent(sched, backend, report);
    sched_stop_unconfirmed(sched, backend);
    backend->report_read_ms = now_ms;
    backend->report_received = true;
    update_reconciliation(sched, backend);
}

void
scheduler_on_report(struct scheduler *sched, const char *backend_id,
                    const struct run_report *report)
{
    struct backend *backend = scheduler_find_backend(sched, backend_id);
    if (backend == NULL) {
        return;
    }
    process_report(sched, backend, report);
    sched_backend_changed(sched, backend);
    sched_schedule_report(sched, backend);
    if (sched->leadership_valid && !sched->fenced &&
        report->outcome == REPORT_READ) {
        sched_throttle_backend(sched, backend);
    }
}

static bool
report_needed(const struct scheduler *sched, const struct backend *backend)
{
    if (backend->runs->len > 0 || backend->strays->len > 0 ||
        backend->unreconciled) {
        return true;
    }
    if (!g_queue_is_empty((GQueue *)&backend->completions) ||
        backend->acked_sent < backend->acked_completion) {
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
    if (sched->leadership_valid && !first && backend->runs->len > 0) {
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
    backend->report_in_flight = true;
    backend->report_requested_ms = now_ms;
    backend->report_incarnation = backend->incarnation;
    /* An incarnation that has started again unnoticed would forget completions
     * that it listed to nobody. So after a call without an answer the next
     * report shows the incarnation first, and no number is repeated. */
    backend->acked_sent =
        first ? backend->acked_answered : backend->acked_completion;
    int64_t acked_now = backend->acked_sent > backend->acked_answered
                            ? backend->acked_sent
                            : 0;
    sched->ops.request_report(sched->ops.ctx, backend, until_ms, acked_now,
                              wait_ms);
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
            now_ms - backend->report_requested_ms > ANSWER_TIMEOUT_MS) {
            backend->report_in_flight = false;
            backend->unresponsive = true;
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
