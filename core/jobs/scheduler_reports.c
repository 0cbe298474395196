/* Processes run reports: handles completions, adopts runs of a previous
 * leader, and finds runs that have ended. */
#include "core/jobs/scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/text.h"
#include "scheduler_state.h"

enum {
    /* Most completions in one report; a report with this many may be
     * incomplete. */
    COMPLETIONS_PER_REPORT_MAX = 500,
    /* For a backend server's clock that is 2 % slow, and for the transit time
     * of the stop command. */
    STOP_MARGIN_MS = 100,
};

/* Reads a number as task names have it, without sign, spaces or leading zeros,
 * and returns its end; NULL if there is none. */
static const char *
parse_number(const char *text, uint32_t *number)
{
    char *end = NULL;
    guint64 value = g_ascii_strtoull(text, &end, 10);
    if (!g_ascii_isdigit(text[0]) || value > UINT32_MAX ||
        (text[0] == '0' && end != text + 1)) {
        return NULL;
    }
    *number = (uint32_t)value;
    return end;
}

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
        dot = parse_number(dot + 1, parts[i]);
        if (dot == NULL) {
            return false;
        }
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

/* Whether @report answers the latest request. A later answer to an earlier one
 * shows what was once there, and nothing of the present. */
static bool
answers_latest(const struct backend *backend, const struct run_report *report)
{
    return report->request.number == backend->report_request.number;
}

/* A stall is measured between reports on their own clock: between two that
 * come late or are read late, the run has made progress unseen. */
static void
update_progress(struct run *run, int32_t percent, int64_t clock_ms)
{
    if (run->percent != percent || run->percent_clock_ms == 0 ||
        clock_ms < run->percent_clock_ms) {
        run->longest_pause_ms = MAX(run->longest_pause_ms, run->unchanged_ms);
        run->percent = percent;
        run->percent_clock_ms = clock_ms;
    }
    run->unchanged_ms = clock_ms - run->percent_clock_ms;
}

static void
update_run(struct scheduler *sched, struct run *run,
           const struct reported_run *reported,
           const struct run_report *report)
{
    int64_t now_ms = sched_now(sched);
    run->confirmed_ms = now_ms;
    run->incarnation = run->backend->incarnation;
    run->reported = true;
    run->other_clock = false;
    sched_run_worked_until(sched, run, report->clock_ms);
    run->job->started = true;
    if (run->state == RUN_STARTING || run->state == RUN_UNCERTAIN ||
        sched_stop_needs_report(run)) {
        run->state = RUN_WORKING;
        run->stop_unconfirmed = false;
    }
    if (!answers_latest(run->backend, report)) {
        return;
    }
    run->load_metric = reported->load_metric;
    update_progress(run, reported->percent, report->clock_ms);
    if (job_save_checkpoint(
            job_step_progress(run->job, run->occurrence, run->step),
            run->index, reported->saved)) {
        run->saved_seen_ms = run->age_ms;
    }
}

static void
process_reported_run(struct scheduler *sched, struct backend *backend,
                     const struct reported_run *reported,
                     const struct run_report *report)
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
        update_run(sched, task->run, reported, report);
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
    run->adopted = true;
    job_open_occurrence(job, name.occurrence)->started = true;
    /* The previous leader may have throttled it. */
    run->cpu_limit_percent = -1;
    run->first_percent = MAX(reported->percent, 0);
    update_run(sched, run, reported, report);
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
    sched_job_closing(sched, job);
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

/* Whether a report without @run proves that it is gone: the report was
 * requested, at @requested_ms, after the run was confirmed, or after its stop
 * took effect. */
static bool
absence_is_end(const struct scheduler *sched, const struct backend *backend,
               const struct run *run, int64_t requested_ms)
{
    /* A run that is being stopped may be missing from both the runs and the
     * completions of a report. */
    if (run->incarnation != backend->incarnation) {
        return run->state != RUN_STOPPING ||
               requested_ms >= backend->settled_ms;
    }
    if (run->state != RUN_STOPPING) {
        return run->confirmed_ms != 0 && run->confirmed_ms < requested_ms;
    }
    return run->stop_acked_ms != 0 &&
           run->stop_acked_ms + sched_stop_visible_after_ms(sched) <
               requested_ms;
}

static void
drop_absent(struct scheduler *sched, struct backend *backend,
            const struct run_report *report)
{
    if (report->n_completions >= COMPLETIONS_PER_REPORT_MAX) {
        return;
    }
    int64_t requested_ms = report->request.sent_ms;
    sched_drop_absent_strays(sched, backend, requested_ms);
    int64_t now_ms = sched_now(sched);
    for (guint i = backend->runs->len; i > 0; i--) {
        struct run *run = g_ptr_array_index(backend->runs, i - 1);
        bool reported_now = run->confirmed_ms == now_ms;
        if (reported_now ||
            !absence_is_end(sched, backend, run, requested_ms)) {
            continue;
        }
        if (sched_stop_recalled(run)) {
            sched_run_stop(sched, run);
            continue;
        }
        sched_log_run(sched, "run_absent", run);
        sched->stats.lost++;
        sched_run_free(sched, run);
    }
}

void
sched_backend_silent(struct scheduler *sched, struct backend *backend,
                     const char *reason)
{
    if (!backend->unresponsive) {
        sched_log_event(sched, "backend_silent",
                        "\"backend\":\"%s\",\"reason\":%s", backend->entry.id,
                        text_quote(reason));
        sched_crash_backend_silent(sched, backend);
    }
    backend->unresponsive = true;
}

static void
other_incarnation(struct scheduler *sched, struct backend *backend)
{
    sched_log_event(sched, "backend_other_incarnation", "\"backend\":\"%s\"",
                    backend->entry.id);
    sched_backend_silent(sched, backend, "another incarnation answers");
    backend->report_due_ms = sched_now(sched) + REPORT_RETRY_MS;
}

/* A run that a previous leader is stopping may be missing from both the runs
 * and the completions of a report. Until its stop must have taken effect, the
 * backend server stays unreconciled and no inherited job of its pool gets new
 * runs. */
static void
update_reconciliation(struct scheduler *sched, struct backend *backend,
                      int64_t requested_ms)
{
    if (!backend->unreconciled) {
        return;
    }
    if (backend->reconcile_due_ms == 0) {
        backend->reconcile_due_ms =
            sched_now(sched) + sched_stop_visible_after_ms(sched);
    }
    else if (requested_ms >= backend->reconcile_due_ms) {
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
           report->incarnation_start_ms >
               backend->entry.incarnation_start_ms &&
           report->incarnation_start_ms != backend->previous_start_ms;
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
no_answer(struct scheduler *sched, struct backend *backend,
          const struct run_report *report)
{
    sched_backend_silent(sched, backend,
                         report->error == NULL ? "no answer" : report->error);
    backend->report_due_ms = sched_now(sched) + REPORT_RETRY_MS;
}

static void
answers_again(struct scheduler *sched, struct backend *backend)
{
    if (backend->unresponsive) {
        sched_log_event(sched, "backend_answers", "\"backend\":\"%s\"",
                        backend->entry.id);
        sched_crash_backend_answers(sched, backend);
    }
    backend->unresponsive = false;
    backend->report_read_ms = sched_now(sched);
}

static void
process_report(struct scheduler *sched, struct backend *backend,
               const struct run_report *report)
{
    const struct report_request *request = &report->request;
    bool latest = answers_latest(backend, report);
    int64_t now_ms = sched_now(sched);
    if (latest) {
        backend->report_in_flight = false;
        backend->report_due_ms =
            now_ms + overload_report_gap_ms(&sched->overload);
    }
    if (newer_incarnation(backend, report)) {
        on_newer_incarnation(sched, backend, report);
        return;
    }
    if (request->incarnation != backend->incarnation) {
        /* What was meant for the earlier incarnation may still be carried out
         * after this report was made. */
        backend->report_due_ms = 0;
        return;
    }
    if (report->outcome == REPORT_FENCED) {
        sched->fenced = true;
        return;
    }
    if (!latest && report->outcome != REPORT_READ) {
        return;
    }
    if (report->outcome == REPORT_OTHER_INCARNATION) {
        other_incarnation(sched, backend);
        return;
    }
    if (report->outcome == REPORT_NO_ANSWER) {
        no_answer(sched, backend, report);
        return;
    }
    if (sched_report_outdated(backend, report)) {
        if (sched_clock_set_back(backend, report)) {
            on_newer_incarnation(sched, backend, report);
        }
        return;
    }
    backend->earlier_start_ms = 0;
    bool ended =
        backend->ended_ms != 0 && request->sent_ms <= backend->ended_ms;
    if (latest && !ended) {
        answers_again(sched, backend);
    }
    backend_clock_sampled(backend, report->clock_ms, now_ms);
    for (size_t i = 0; i < report->n_completions; i++) {
        process_completion(sched, backend, &report->completions[i]);
    }
    if (ended) {
        /* It has no runs any more, whatever it had when it answered. */
        return;
    }
    for (size_t i = 0; i < report->n_running; i++) {
        process_reported_run(sched, backend, &report->running[i], report);
    }
    backend->acked_answered = MAX(backend->acked_answered, request->acked);
    if (backend->settled_ms == 0) {
        backend->settled_ms = now_ms + sched_stop_visible_after_ms(sched);
    }
    drop_absent(sched, backend, report);
    sched_stop_unconfirmed(sched, backend, request->sent_ms);
    backend->answered_request_ms =
        MAX(backend->answered_request_ms, request->sent_ms);
    backend->report_received = true;
    sched_incarnation_shown(backend, request->sent_ms);
    update_reconciliation(sched, backend, request->sent_ms);
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
        report->outcome == REPORT_READ && answers_latest(backend, report)) {
        sched_throttle_backend(sched, backend);
    }
}
