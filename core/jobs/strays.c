/*
 * Strays: runs that a backend server reports and that no task wants, such as
 * those of a job that was cancelled during a takeover. They are stopped. Until
 * one has certainly ended it takes its capacity, and its task doesn't start
 * again.
 */
#include "core/jobs/scheduler.h"

#include <stdio.h>
#include <string.h>

#include "common/text.h"
#include "scheduler_state.h"

static struct job_task *
stray_task(const struct stray *stray)
{
    return &job_step_progress(stray->job, stray->occurrence, stray->step)
                ->tasks[stray->index];
}

static void
account_stray(struct scheduler *sched, const struct stray *stray,
              int64_t factor)
{
    struct backend *backend = stray->backend;
    if (stray->job == NULL) {
        backend->unknown_strays += (uint32_t)factor;
        sched_backend_changed(sched, backend);
        return;
    }
    const struct job_step *step = &stray->job->steps[stray->step];
    struct resources need = job_step_backend_need(step);
    resources_add(&backend->used, &need, factor);
    resources_add(&stray->job->refs.team->used, &step->need, factor);
    stray_task(stray)->strays += (uint32_t)factor;
    sched_backend_changed(sched, backend);
}

static void
stray_free(struct scheduler *sched, struct stray *stray)
{
    g_ptr_array_remove_fast(stray->backend->strays, stray);
    account_stray(sched, stray, -1);
    if (stray->job != NULL) {
        sched_job_closing(sched, stray->job);
    }
    g_hash_table_remove(sched->strays, &stray->handle);
    job_unref(stray->job);
    g_free(stray->name);
    g_free(stray);
}

static void
send_stop(struct scheduler *sched, struct stray *stray)
{
    stray->stop_sent_ms = sched_now(sched);
    stray->stop_pending = true;
    stray->stop_count++;
    struct stop_command command = {
        .backend = stray->backend,
        .handle = stray->handle,
        .attempt = stray->stop_count,
        .task = stray->name,
        .number = stray->number,
    };
    sched->ops.stop(sched->ops.ctx, &command);
}

static bool
may_stop(const struct scheduler *sched)
{
    return sched->leadership_valid && !sched->fenced;
}

struct stray *
sched_find_stray(const struct backend *backend, const char *name,
                 uint32_t number)
{
    for (guint i = 0; i < backend->strays->len; i++) {
        struct stray *stray = g_ptr_array_index(backend->strays, i);
        if (stray->number == number && strcmp(stray->name, name) == 0) {
            return stray;
        }
    }
    return NULL;
}

void
sched_stray_reported(struct scheduler *sched, struct backend *backend,
                     const struct reported_run *reported, struct job *job,
                     const struct task_name *name)
{
    struct stray *stray =
        sched_find_stray(backend, reported->task, reported->number);
    if (stray != NULL) {
        stray->reported_ms = sched_now(sched);
        return;
    }
    stray = g_new0(struct stray, 1);
    stray->handle = sched->next_handle++;
    stray->backend = backend;
    stray->name = g_strdup(reported->task);
    stray->number = reported->number;
    stray->reported_ms = sched_now(sched);
    if (job != NULL) {
        sched_job_refs(sched, job);
        stray->job = job_ref(job);
        stray->occurrence = name->occurrence;
        stray->step = name->step;
        stray->index = name->index;
    }
    g_ptr_array_add(backend->strays, stray);
    g_hash_table_insert(sched->strays, &stray->handle, stray);
    account_stray(sched, stray, 1);
    sched_schedule_report(sched, backend);
    const struct run *other = job == NULL ? NULL : stray_task(stray)->run;
    sched_log_event(sched, "stray_stopped",
                    "\"task\":%s,\"run\":%u,\"backend\":\"%s\","
                    "\"other_run\":%u,\"other_backend\":\"%s\"",
                    text_quote(reported->task), reported->number,
                    backend->entry.id, other == NULL ? 0 : other->number,
                    other == NULL ? "" : other->backend->entry.id);
    if (may_stop(sched)) {
        send_stop(sched, stray);
    }
}

void
sched_stray_completed(struct scheduler *sched, struct backend *backend,
                      const char *name, uint32_t number)
{
    struct stray *stray = sched_find_stray(backend, name, number);
    if (stray != NULL) {
        stray_free(sched, stray);
    }
}

bool
sched_stray_stop_answered(struct scheduler *sched, uint64_t handle,
                          uint32_t attempt, bool acked)
{
    struct stray *stray = g_hash_table_lookup(sched->strays, &handle);
    if (stray == NULL) {
        return false;
    }
    if (attempt == stray->stop_count) {
        stray->stop_pending = false;
    }
    if (acked) {
        stray->stop_acked_ms = sched_now(sched);
        sched_report_at_once(sched, stray->backend);
    }
    return true;
}

/* A stray is gone if it is missing from a report that was requested, at
 * @requested_ms, after its stop must have taken effect. */
void
sched_drop_absent_strays(struct scheduler *sched, struct backend *backend,
                         int64_t requested_ms)
{
    int64_t now_ms = sched_now(sched);
    for (guint i = backend->strays->len; i > 0; i--) {
        struct stray *stray = g_ptr_array_index(backend->strays, i - 1);
        if (stray->reported_ms != now_ms && stray->stop_acked_ms != 0 &&
            stray->stop_acked_ms + sched_stop_visible_after_ms(sched) <
                requested_ms) {
            stray_free(sched, stray);
        }
    }
}

void
sched_backend_strays_lost(struct scheduler *sched, struct backend *backend)
{
    for (guint i = backend->strays->len; i > 0; i--) {
        stray_free(sched, g_ptr_array_index(backend->strays, i - 1));
    }
}

/* Whether the stop has to be sent again: it got no answer, or the run is still
 * reported long after it was acknowledged. */
static bool
stop_overdue(const struct scheduler *sched, const struct stray *stray,
             int64_t now_ms)
{
    if (stray->stop_pending &&
        now_ms - stray->stop_sent_ms <= ANSWER_TIMEOUT_MS) {
        return false;
    }
    if (stray->stop_acked_ms != 0) {
        return stray->reported_ms >
               stray->stop_acked_ms + 2 * sched_stop_visible_after_ms(sched);
    }
    return now_ms - stray->stop_sent_ms >=
           sched_stop_retry_ms(stray->stop_count);
}

void
sched_watch_strays(struct scheduler *sched)
{
    int64_t now_ms = sched_now(sched);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->strays);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct stray *stray = value;
        if (may_stop(sched) && stop_overdue(sched, stray, now_ms)) {
            stray->stop_acked_ms = 0;
            send_stop(sched, stray);
        }
    }
}

void
sched_strays_clear(struct scheduler *sched)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->strays);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct stray *stray = value;
        job_unref(stray->job);
        g_free(stray->name);
        g_free(stray);
    }
    g_hash_table_unref(sched->strays);
}
