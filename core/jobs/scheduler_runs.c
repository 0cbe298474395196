/* Life cycle of runs. A run is created by a start command or found in a
 * report, and is removed only with proof that it has ended. */
#include "core/jobs/scheduler.h"

#include <stdio.h>
#include <string.h>

#include "common/text.h"
#include "core/jobs/gang.h"
#include "core/jobs/stall.h"
#include "scheduler_state.h"

enum {
    /* Samples of one clock that were taken up to the time-out of an answer
     * apart, read backwards, differ by less. */
    CLOCK_MARGIN_MS = 300,
    /* A start command that waits this long for a connection is logged. */
    START_LATE_MS = 300,
};

void
sched_log_run(struct scheduler *sched, const char *event,
              const struct run *run)
{
    static const char *const states[] = {
        [RUN_STARTING] = "starting",
        [RUN_UNCERTAIN] = "uncertain",
        [RUN_WORKING] = "working",
        [RUN_STOPPING] = "stopping",
    };
    sched_log_event(sched, event,
                    "\"task\":\"%s.%u.%u.%u\",\"run\":%u,\"backend\":\"%s\","
                    "\"state\":\"%s\",\"start_answered\":%s",
                    run->job->id, run->occurrence, run->step, run->index,
                    run->number, run->backend->entry.id, states[run->state],
                    run->confirmed_ms == 0 ? "false" : "true");
}

static void
account_run(struct scheduler *sched, struct run *run, int64_t factor)
{
    const struct job_step *step = run_step(run);
    struct resources need = job_step_backend_need(step);
    resources_add(&run->backend->used, &need, factor);
    resources_add(&run->job->refs.team->used, &step->need, factor);
    sched_share_count_run(sched, run, factor);
    if (step->tail_latency_target_ms > 0) {
        run->backend->latency_sensitive_runs += (uint32_t)factor;
    }
    if (step->best_effort) {
        run->backend->best_effort_runs += (uint32_t)factor;
    }
    sched_backend_changed(sched, run->backend);
}

struct run *
sched_run_create(struct scheduler *sched, struct job *job, uint32_t occurrence,
                 uint32_t step, uint32_t index, uint32_t number,
                 struct backend *backend)
{
    struct run *run = g_new0(struct run, 1);
    sched_job_refs(sched, job);
    run->handle = sched->next_handle++;
    run->job = job_ref(job);
    run->occurrence = occurrence;
    run->step = step;
    run->index = index;
    run->number = number;
    run->backend = backend;
    run->incarnation = backend->incarnation;
    run->started_ms = sched_now(sched);
    run->percent = -1;
    run->cpu_limit_percent = 100;
    run->saved_seen_ms = -1;
    g_hash_table_insert(sched->runs, &run->handle, run);
    g_ptr_array_add(backend->runs, run);
    struct job_task *task = run_task(run);
    task->run = run;
    sched_run_isolate(run);
    account_run(sched, run, 1);
    sched_schedule_report(sched, backend);
    return run;
}

void
sched_run_free(struct scheduler *sched, struct run *run)
{
    if (run->start_in_flight) {
        overload_not_sent(&sched->overload);
    }
    sched_run_end_isolation(run);
    struct job_task *task = run_task(run);
    if (task->run == run) {
        task->run = NULL;
    }
    if (!task->done) {
        sched_job_unplaced(sched, run->job);
    }
    if (task->done || run->job->state != JOB_ACTIVE) {
        sched_job_closing(sched, run->job);
    }
    g_ptr_array_remove_fast(run->backend->runs, run);
    if (run->backend->runs->len == 0) {
        run->backend->empty_since_ms = sched_now(sched);
    }
    account_run(sched, run, -1);
    g_hash_table_remove(sched->runs, &run->handle);
}

void
sched_send_stop(struct scheduler *sched, struct run *run)
{
    char name[JOB_ID_CHARS + 48];
    snprintf(name, sizeof(name), "%s.%u.%u.%u", run->job->id, run->occurrence,
             run->step, run->index);
    run->stop_sent_ms = sched_now(sched);
    run->stop_pending = true;
    run->stop_count++;
    struct stop_command command = {
        .backend = run->backend,
        .handle = run->handle,
        .attempt = run->stop_count,
        .task = name,
        .number = run->number,
    };
    sched->ops.stop(sched->ops.ctx, &command);
}

void
sched_run_stop(struct scheduler *sched, struct run *run)
{
    if (run->state == RUN_STOPPING) {
        return;
    }
    run->state = RUN_STOPPING;
    run->stop_acked_ms = 0;
    if (sched->leadership_valid && !sched->fenced) {
        sched_send_stop(sched, run);
    }
}

void
scheduler_on_stop(struct scheduler *sched, uint64_t handle, uint32_t attempt,
                  bool acked)
{
    struct run *run = g_hash_table_lookup(sched->runs, &handle);
    if (run == NULL) {
        sched_stray_stop_answered(sched, handle, attempt, acked);
        return;
    }
    if (attempt <= run->stop_count_before) {
        return;
    }
    if (attempt == run->stop_count) {
        run->stop_pending = false;
    }
    if (acked) {
        run->state = RUN_STOPPING;
        run->stop_acked_ms = sched_now(sched);
        /* This report shows the completion, or its absence. */
        sched_report_at_once(sched, run->backend);
    }
}

/* Counts a failed run against its task and its backend server. */
static void
record_failure(struct scheduler *sched, struct run *run)
{
    struct job_task *task = run_task(run);
    struct job *job = run->job;
    struct backend *backend = run->backend;
    sched->stats.failed++;
    sched_log_event(sched, "task_failed",
                    "\"task\":\"%s.%u.%u.%u\",\"run\":%u,\"backend\":\"%s\"",
                    job->id, run->occurrence, run->step, run->index,
                    run->number, backend->entry.id);
    g_free(task->avoid);
    task->avoid = g_strdup(backend->entry.id);
    if (run_step(run)->long_running) {
        return;
    }
    if (!job_task_record_failure(task, run->number)) {
        return;
    }
    backend->failures++;
    if (backend->failures >= SUSPECT_FAILURE_COUNT) {
        backend->suspect_until_ms = sched_now(sched) + SUSPECT_DURATION_MS;
        sched_log_event(sched, "backend_suspect",
                        "\"backend\":\"%s\",\"failures\":%u",
                        backend->entry.id, backend->failures);
    }
    sched_mark_dirty(sched, job);
}

static bool
attempts_exhausted(struct job *job, uint32_t occurrence, uint32_t step_index,
                   uint32_t index)
{
    const struct queue_config *queue = job->refs.queue;
    uint32_t attempts = queue == NULL ? job->attempts : queue->attempts;
    const struct job_step *step = &job->steps[step_index];
    const struct step_progress *progress =
        job_step_progress(job, occurrence, step_index);
    uint32_t failures = step->gang ? gang_failures(progress, step->task_count)
                                   : progress->tasks[index].failures;
    return !step->long_running && failures >= attempts;
}

void
sched_untracked_failure(struct scheduler *sched, struct job *job,
                        uint32_t occurrence, uint32_t step, uint32_t index,
                        uint32_t number)
{
    struct job_task *task =
        &job_step_progress(job, occurrence, step)->tasks[index];
    if (job->state != JOB_ACTIVE || task->done ||
        job->steps[step].long_running ||
        !job_task_record_failure(task, number)) {
        return;
    }
    sched_mark_dirty(sched, job);
    if (attempts_exhausted(job, occurrence, step, index)) {
        sched_finish_job(sched, job, JOB_FAILED);
    }
}

static void
task_done(struct scheduler *sched, struct job *job, uint32_t occurrence,
          uint32_t step, uint32_t index)
{
    if (job_occurrence_finished(job, occurrence) ||
        !job_task_finish(job, occurrence, step, index)) {
        return;
    }
    const struct step_progress *progress =
        job_step_progress(job, occurrence, step);
    const struct job_task *task = &progress->tasks[index];
    job->started = true;
    sched->stats.done++;
    sched_mark_dirty(sched, job);
    if (progress->done >= job->steps[step].task_count) {
        /* Later steps may be ready now. */
        sched_job_unplaced(sched, job);
        sched_job_closing(sched, job);
    }
    if (task->run != NULL) {
        sched_run_stop(sched, task->run);
    }
    if (job_all_done(job)) {
        sched_finish_job(sched, job, JOB_COMPLETED);
    }
}

void
sched_task_done(struct scheduler *sched, struct job *job, uint32_t occurrence,
                uint32_t step, uint32_t index)
{
    if (job->steps[step].long_running) {
        job->started = true;
        sched_log_event(sched, "service_task_ended",
                        "\"task\":\"%s.%u.%u.%u\"", job->id, occurrence, step,
                        index);
        return;
    }
    if (!job->steps[step].gang) {
        task_done(sched, job, occurrence, step, index);
        return;
    }
    for (uint32_t t = 0; t < job->steps[step].task_count; t++) {
        task_done(sched, job, occurrence, step, t);
    }
}

void
sched_run_end(struct scheduler *sched, struct run *run,
              enum completion_reason reason, const char *saved)
{
    struct job *job = job_ref(run->job);
    job->started = true;
    struct job_task *task = run_task(run);
    bool was_stopping = run->state == RUN_STOPPING;
    if (job_save_checkpoint(job_step_progress(job, run->occurrence, run->step),
                            run->index, saved) &&
        job->state == JOB_ACTIVE) {
        sched_mark_dirty(sched, job);
    }
    bool failed = reason == END_FAILED;
    if (failed) {
        record_failure(sched, run);
    }
    bool job_failed = failed && attempts_exhausted(job, run->occurrence,
                                                   run->step, run->index);
    bool service = run_step(run)->long_running;
    /* Failures of service tasks aren't counted either. */
    if (reason == END_DONE && !service) {
        run->backend->failures = 0;
        run->backend->suspect_until_ms = 0;
    }
    uint32_t occurrence = run->occurrence;
    uint32_t step_index = run->step;
    uint32_t index = run->index;
    sched_run_free(sched, run);
    if (reason == END_DONE) {
        sched_task_done(sched, job, occurrence, step_index, index);
    }
    else if (job_failed) {
        sched_finish_job(sched, job, JOB_FAILED);
    }
    else if (!was_stopping && reason == END_GANG_INCOMPLETE) {
        task->wait_until_ms = sched_now(sched) + START_RETRY_MS;
    }
    job_unref(job);
}

void
sched_backend_lost(struct scheduler *sched, struct backend *backend,
                   const char *why)
{
    if (backend->runs->len > 0) {
        int64_t now_ms = sched_now(sched);
        sched_log_event(
            sched, "runs_lost",
            "\"backend\":\"%s\",\"why\":\"%s\",\"runs\":%u,"
            "\"incarnation\":%u,\"started\":%" G_GINT64_FORMAT
            ",\"granted_until_ms\":%" G_GINT64_FORMAT
            ",\"clock_at_least_ms\":%" G_GINT64_FORMAT
            ",\"granted_ms_ago\":%" G_GINT64_FORMAT
            ",\"answered_ms_ago\":%" G_GINT64_FORMAT,
            backend->entry.id, why, backend->runs->len, backend->incarnation,
            backend->entry.incarnation_start_ms, backend->granted_until_ms,
            backend_clock_at_least_ms(backend, now_ms),
            now_ms - backend->granted_ms, now_ms - backend->report_read_ms);
    }
    sched_crash_suspected(sched, backend);
    sched_backend_strays_lost(sched, backend);
    while (backend->runs->len > 0) {
        struct run *run = g_ptr_array_index(backend->runs, 0);
        sched_log_run(sched, "run_lost", run);
        sched->stats.lost++;
        sched_run_free(sched, run);
    }
}

static int64_t
stall_bound_of(const struct run *run)
{
    return stall_bound_ms(run_step(run)->estimate_ms, run->longest_pause_ms,
                          run_task(run)->stalls);
}

/* Whether progress has stopped because of the backend server; a throttled run
 * may stop because of our own command. */
static bool
run_stalled(const struct run *run)
{
    return run->state == RUN_WORKING && run->percent >= 0 &&
           run->percent < 100 && run->cpu_limit_percent == 100 &&
           !run->backend->unresponsive &&
           run->unchanged_ms > stall_bound_of(run);
}

/* Starts the task elsewhere. */
static void
stop_stalled_run(struct scheduler *sched, struct run *run)
{
    struct job_task *task = run_task(run);
    sched_log_event(
        sched, "run_stalled",
        "\"job\":\"%s\",\"step\":%u,\"task\":%u,\"backend\":\"%s\","
        "\"percent\":%d,\"unchanged_ms\":%" G_GINT64_FORMAT
        ",\"bound_ms\":%" G_GINT64_FORMAT
        ",\"longest_pause_ms\":%" G_GINT64_FORMAT ",\"stalls\":%u"
        ",\"report_age_ms\":%" G_GINT64_FORMAT,
        run->job->id, run->step, run->index, run->backend->entry.id,
        run->percent, run->unchanged_ms, stall_bound_of(run),
        run->longest_pause_ms, task->stalls,
        sched_now(sched) - run->confirmed_ms);
    task->stalls++;
    g_free(task->avoid);
    task->avoid = g_strdup(run->backend->entry.id);
    sched_run_stop(sched, run);
}

static bool
unanswered(enum start_answer answer)
{
    return answer == START_NO_ANSWER || answer == START_NO_ANSWER_KNOWN;
}

/* Counts the first answer to a start command. */
static void
command_answered(struct scheduler *sched, struct run *run,
                 enum start_answer answer, int64_t now_ms)
{
    if (!run->start_in_flight) {
        return;
    }
    run->start_in_flight = false;
    if (answer == START_NOT_SENT) {
        overload_not_sent(&sched->overload);
        return;
    }
    overload_answered(&sched->overload,
                      unanswered(answer) ? -1 : now_ms - run->started_ms);
}

/* Treats commands whose answer never came as unanswered. */
static void
expire_overdue_calls(struct scheduler *sched, struct run *run, int64_t now_ms)
{
    if (run->state == RUN_STARTING &&
        now_ms - run->started_ms > ANSWER_TIMEOUT_MS) {
        run->state = RUN_UNCERTAIN;
        run->answer_missed_ms = now_ms;
    }
    if (run->start_in_flight && now_ms - run->started_ms > ANSWER_TIMEOUT_MS) {
        command_answered(sched, run, START_NO_ANSWER, now_ms);
        if (!run->known_connection) {
            sched_start_unseen(sched, run->backend);
        }
    }
    if (run->stop_pending && now_ms - run->stop_sent_ms > ANSWER_TIMEOUT_MS) {
        run->stop_pending = false;
    }
    if (run->throttle_pending &&
        now_ms - run->throttle_sent_ms > ANSWER_TIMEOUT_MS) {
        run->throttle_pending = false;
        run->cpu_limit_percent = -1;
    }
}

/* Repeats unanswered stop commands, and stops stalled runs and runs whose
 * start command got no answer. */
void
sched_watch_runs(struct scheduler *sched)
{
    int64_t now_ms = sched_now(sched);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct run *run = value;
        expire_overdue_calls(sched, run, now_ms);
        if (run->state == RUN_UNCERTAIN) {
            /* A service task is stopped only by a report without it: it may
             * work, and others of its step may be away. */
            if (!run_step(run)->long_running &&
                now_ms - run->answer_missed_ms > UNCERTAIN_START_MS) {
                sched_run_stop(sched, run);
            }
        }
        else if (run->state == RUN_STOPPING) {
            if (!sched_stop_needs_report(run) &&
                sched_stop_repeat_due(sched, run)) {
                sched_send_stop(sched, run);
            }
        }
        else if (run_stalled(run)) {
            stop_stalled_run(sched, run);
        }
    }
}

/* Stops the other members of a gang of which one did not start. */
static void
stop_incomplete_gang(struct scheduler *sched, const struct run *missing)
{
    const struct job_step *step = run_step(missing);
    const struct step_progress *progress =
        job_step_progress(missing->job, missing->occurrence, missing->step);
    for (uint32_t t = 0; step->gang && t < step->task_count; t++) {
        struct run *run = progress->tasks[t].run;
        if (run != NULL && run != missing && run->number == missing->number) {
            sched_run_stop(sched, run);
        }
    }
}

/* Delay after a start that was refused. */
static int64_t
refusal_delay_ms(const struct job_task *task)
{
    uint32_t more =
        task->refusals > REFUSALS_FREE ? task->refusals - REFUSALS_FREE : 0;
    return (int64_t)START_RETRY_MS
           << MIN(more, (uint32_t)REFUSAL_DOUBLINGS_MAX);
}

bool
scheduler_start_waits(const struct scheduler *sched)
{
    return sched->start_waits;
}

void
scheduler_start_sent(struct scheduler *sched, uint64_t handle, bool known)
{
    struct run *run = g_hash_table_lookup(sched->runs, &handle);
    if (run == NULL) {
        return;
    }
    run->known_connection = known;
    int64_t waited_ms = sched_now(sched) - run->started_ms;
    if (waited_ms >= START_LATE_MS) {
        sched_log_event(sched, "start_sent_late",
                        "\"job\":\"%s\",\"backend\":%s,"
                        "\"after_ms\":%" G_GINT64_FORMAT,
                        run->job->id, text_quote(run->backend->entry.id),
                        waited_ms);
    }
}

bool
scheduler_may_start(const struct scheduler *sched, uint64_t handle)
{
    const struct run *run = g_hash_table_lookup(sched->runs, &handle);
    /* The capacity may have shrunk since the start was decided. */
    return run != NULL && run->state == RUN_STARTING &&
           resources_fit(&run->backend->entry.capacity, &run->backend->used) &&
           run->job->state == JOB_ACTIVE && sched_starts_allowed(sched) &&
           sched_backend_usable(sched, run->backend) &&
           sched_now(sched) - run->started_ms <= START_AGE_MAX_MS;
}

void
scheduler_on_start(struct scheduler *sched, uint64_t handle,
                   enum start_answer answer, int64_t clock_ms)
{
    struct run *run = g_hash_table_lookup(sched->runs, &handle);
    if (answer == START_FENCED) {
        sched->fenced = true;
        return;
    }
    if (run == NULL) {
        return;
    }
    struct backend *backend = run->backend;
    int64_t now_ms = sched_now(sched);
    command_answered(sched, run, answer, now_ms);
    if (answer == START_NOT_SENT) {
        stop_incomplete_gang(sched, run);
        sched_run_free(sched, run);
        return;
    }
    if (clock_ms != 0 && run->incarnation == backend->incarnation &&
        backend->clock_sampled_ms != 0 &&
        clock_ms + CLOCK_MARGIN_MS <
            backend_clock_at_least_ms(backend, run->started_ms)) {
        run->other_clock = true;
        sched_clock_behind(
            sched, backend, clock_ms,
            backend_clock_at_least_ms(backend, run->started_ms));
    }
    if (clock_ms != 0 && run->incarnation == backend->incarnation) {
        backend_clock_sampled(backend, clock_ms, now_ms);
    }
    if (answer == START_DONE) {
        run_task(run)->refusals = 0;
        run->confirmed_ms = now_ms;
        sched_run_worked_until(sched, run, clock_ms);
        run->job->started = true;
        if (run->state == RUN_STARTING) {
            run->state = RUN_WORKING;
        }
        return;
    }
    if (unanswered(answer)) {
        if (answer == START_NO_ANSWER) {
            sched_start_unseen(sched, backend);
        }
        if (run->state == RUN_STARTING) {
            run->state = RUN_UNCERTAIN;
            run->answer_missed_ms = now_ms;
            sched_report_at_once(sched, backend);
        }
        sched_log_event(
            sched, "start_unanswered",
            "\"job\":\"%s\",\"step\":%u,\"task\":%u,\"backend\":\"%s\","
            "\"same_connection\":%s",
            run->job->id, run->step, run->index, backend->entry.id,
            answer == START_NO_ANSWER ? "false" : "true");
        return;
    }
    sched_log_event(
        sched, "start_refused",
        "\"job\":\"%s\",\"step\":%u,\"task\":%u,\"backend\":\"%s\","
        "\"answer\":%d,\"run\":%u,\"refusals\":%u",
        run->job->id, run->step, run->index, backend->entry.id, answer,
        run->number, run_task(run)->refusals + 1);
    struct job_task *task = run_task(run);
    bool renumbered = answer == START_STALE_RUN_NUMBER &&
                      sched_run_number_stale(sched, task);
    task->refusals++;
    task->wait_until_ms = renumbered ? 0 : now_ms + refusal_delay_ms(task);
    if (answer == START_NO_TICKET) {
        struct step_advice *advice =
            job_step_progress(run->job, run->occurrence, run->step)->advice;
        if (advice != NULL) {
            step_advice_forget(advice, backend->entry.id);
        }
    }
    if (answer == START_REFUSED || answer == START_NO_CAPACITY) {
        g_free(task->avoid);
        task->avoid = g_strdup(backend->entry.id);
    }
    stop_incomplete_gang(sched, run);
    sched_crash_not_caused(sched, run);
    sched_run_free(sched, run);
    if (answer == START_OTHER_INCARNATION) {
        sched_backend_silent(sched, backend, "another incarnation answers");
    }
}
