/*
 * Order of waiting jobs, for queues that at their peak request several times
 * the capacity of their pool. Jobs that can still meet their objective come
 * first, so that the pool isn't spent on late ones; within each class the job
 * with the least remaining work comes first.
 */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

/* Declared run time of the longest chain of steps that are not done. */
static int64_t
remaining_critical_path_ms(const struct job *job)
{
    int64_t end_ms[JOB_STEPS_MAX] = {0};
    int64_t longest_ms = 0;
    uint32_t last = job->n_occurrences - 1;
    for (uint32_t i = 0; i < job->n_steps; i++) {
        const struct job_step *step = &job->steps[i];
        int64_t start_ms = 0;
        for (uint32_t a = 0; a < step->n_after; a++) {
            start_ms = MAX(start_ms, end_ms[step->after[a]]);
        }
        bool done = job_step_progress(job, last, i)->done >= step->task_count;
        end_ms[i] = start_ms + (done ? 0 : step->estimate_ms);
        longest_ms = MAX(longest_ms, end_ms[i]);
    }
    return longest_ms;
}

/* Declared work that remains, in thousandths of a core times ms. */
static int64_t
remaining_millicore_ms(const struct job *job)
{
    int64_t sum = 0;
    uint32_t n_progress = job->n_occurrences * job->n_steps;
    for (uint32_t p = 0; p < n_progress; p++) {
        const struct job_step *step = &job->steps[p % job->n_steps];
        sum += (step->task_count - job->progress[p].done) *
               step->need.cpu_milli * step->estimate_ms;
    }
    return sum;
}

static struct job_rank
rank_job(const struct scheduler *sched, const struct job *job, int64_t unix_ms)
{
    if (job_is_service(job)) {
        return (struct job_rank){URGENCY_SERVICE, job->accepted_unix_ms};
    }
    const struct queue_config *queue =
        fleet_config_queue(sched->config, job->queue);
    double deadline_factor = queue == NULL ? 1 : queue->deadline_factor;
    int64_t objective_ms = queue == NULL ? 0 : queue->objective_ms;
    int64_t from_ms =
        job->first_ms > 0 ? job->first_ms : job->accepted_unix_ms;
    int64_t by_ms = from_ms +
                    (int64_t)(deadline_factor * job_critical_path_ms(job)) +
                    objective_ms;
    int64_t slack_ms = by_ms - unix_ms - remaining_critical_path_ms(job);
    if (slack_ms >= 0) {
        return (struct job_rank){URGENCY_ATTAINABLE,
                                 remaining_millicore_ms(job)};
    }
    return (struct job_rank){URGENCY_LATE, remaining_millicore_ms(job)};
}

void
job_order_rank(const struct scheduler *sched, struct job *job, int64_t unix_ms)
{
    job->rank = rank_job(sched, job, unix_ms);
}

int
job_order_compare(const struct job *a, const struct job *b)
{
    if (a->rank.urgency != b->rank.urgency) {
        return a->rank.urgency < b->rank.urgency ? -1 : 1;
    }
    if (a->rank.key != b->rank.key) {
        return a->rank.key < b->rank.key ? -1 : 1;
    }
    return 0;
}
