/* Where suspects start, as the store knows it, and what the next leader makes
 * of it. */
#include "core/jobs/crash_blame.h"
#include "core/jobs/scheduler.h"

#include "crash_state.h"

void
sched_crash_record_attempt(struct scheduler *sched, struct job *job,
                           struct job_task *task, const char *backend_id,
                           bool shared)
{
    if (g_strcmp0(task->crash_backend, backend_id) == 0 &&
        task->crash_shared == shared) {
        return;
    }
    g_free(task->crash_backend);
    task->crash_backend = g_strdup(backend_id);
    task->crash_shared = shared;
    sched_mark_dirty(sched, job);
    task->crash_version = job->version;
}

static bool
count_inherited(struct job_task *task)
{
    return task->crash_shared
               ? crash_record_crash(&task->crash, CRASH_FRESH, false, false)
               : crash_record_inherited(&task->crash);
}

bool
sched_crash_settle_inherited(struct scheduler *sched, struct job *job,
                             uint32_t occurrence, uint32_t step,
                             uint32_t index)
{
    struct job_task *task =
        &job_step_progress(job, occurrence, step)->tasks[index];
    bool service = job->steps[step].long_running;
    if (service && task->crash_version == 0 &&
        sched_now(sched) <
            sched->takeover_ms + crash_service_backoff_ms(&task->crash)) {
        return false;
    }
    if (task->crash_backend == NULL || task->crash_version != 0) {
        return true;
    }
    bool crashed =
        g_hash_table_contains(sched->crashed_ids, task->crash_backend);
    const struct backend *backend =
        scheduler_find_backend(sched, task->crash_backend);
    bool lives =
        backend != NULL && backend->report_received && !backend->unresponsive;
    if (!crashed && !lives && !service &&
        sched_now(sched) - sched->takeover_ms < CRASH_INHERITED_MAX_MS) {
        return false;
    }
    if (crashed && count_inherited(task) && !service) {
        sched_finish_job(sched, job, JOB_FAILED);
        return false;
    }
    if (lives && !crashed && task->crash_shared && task->crash.crashes == 0 &&
        task->crash.alone == 0) {
        task->crash.suspect = false;
    }
    sched_crash_record_attempt(sched, job, task, NULL, false);
    return true;
}

bool
sched_start_recorded(struct scheduler *sched, struct job *job,
                     struct job_task *task, const char *backend_id)
{
    if (sched->outage) {
        return true;
    }
    /* It was cleared a moment ago. */
    if (!crash_isolated(&task->crash)) {
        return true;
    }
    sched_crash_record_attempt(sched, job, task, backend_id, false);
    return job->stored_version >= task->crash_version;
}
