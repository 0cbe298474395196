/*
 * Which jobs a pass over a pool looks at: the active ones with a task that has
 * no run and isn't done, in a step that may start, or with an occurrence that
 * isn't open yet. A job leaves the list only when a pass finds that it has no
 * such task, whatever became of the starts that the pass has sent. It gets one
 * again when a run ends without its task being done, or when a step is done
 * that others wait for; both call sched_job_unplaced(), as do new jobs. A new
 * configuration lists all jobs again, since their pools may have changed.
 *
 * What else a task waits for, such as capacity, a time or a report, doesn't
 * matter here: its job stays in the list meanwhile.
 */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

static bool
step_unplaced(const struct job_step *step,
              const struct step_progress *progress)
{
    for (uint32_t t = 0;
         progress->done < step->task_count && t < step->task_count; t++) {
        const struct job_task *task = &progress->tasks[t];
        if (task->run == NULL && !task->done) {
            return true;
        }
    }
    return false;
}

bool
sched_job_is_unplaced(const struct job *job)
{
    if (job->state != JOB_ACTIVE) {
        return false;
    }
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        for (uint32_t s = 0; s < job->n_steps; s++) {
            if (job_step_ready(job, occurrence->number, s) &&
                step_unplaced(&job->steps[s], &occurrence->steps[s])) {
                return true;
            }
        }
    }
    return job_next_occurrence(job, 0) < job->n_occurrences;
}

void
sched_job_unplaced(struct scheduler *sched, struct job *job)
{
    sched_job_refs(sched, job);
    if (job->unplaced || job->state != JOB_ACTIVE || job->refs.pool == NULL) {
        return;
    }
    job->unplaced = true;
    g_ptr_array_add(job->refs.pool->unplaced, job_ref(job));
}
