/*
 * Order of waiting jobs, for queues that at their peak request several times
 * the capacity of their pool. Jobs that can still meet their objective come
 * first, so that the pool isn't spent on late ones; within each class the job
 * with the least remaining work comes first. With queue priorities, the
 * priority of the job's queue comes before both.
 */
#include "core/jobs/scheduler.h"

#include <string.h>

#include "scheduler_state.h"

/* Far above any real job; a caller may declare more. */
#define MILLICORE_MS_MAX 1e18

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
        bool done = job_step_done(job, last, i) >= step->task_count;
        end_ms[i] = start_ms + (done ? 0 : step->estimate_ms);
        longest_ms = MAX(longest_ms, end_ms[i]);
    }
    return longest_ms;
}

/* Tasks of a step that are not done, in all occurrences. */
static int64_t
remaining_tasks(const struct job *job, uint32_t step)
{
    int64_t done = 0;
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        if (!job_occurrence_finished(job, occurrence->number)) {
            done += occurrence->steps[step].done;
        }
    }
    return (int64_t)(job->n_occurrences - job->n_finished) *
               job->steps[step].task_count -
           done;
}

/* Declared work that remains, in thousandths of a core times ms. */
static int64_t
remaining_millicore_ms(const struct job *job)
{
    double sum = 0;
    for (uint32_t s = 0; s < job->n_steps; s++) {
        const struct job_step *step = &job->steps[s];
        sum += (double)remaining_tasks(job, s) * (double)step->need.cpu_milli *
               (double)step->estimate_ms;
    }
    return (int64_t)MIN(sum, MILLICORE_MS_MAX);
}

static int64_t
attainable_until_ms(const struct job *job)
{
    const struct queue_config *queue = job->refs.queue;
    double deadline_factor = queue == NULL ? 1 : queue->deadline_factor;
    int64_t objective_ms = queue == NULL ? 0 : queue->objective_ms;
    int64_t from_ms =
        job->first_ms > 0 ? job->first_ms : job->accepted_unix_ms;
    return from_ms + (int64_t)(deadline_factor * job_critical_path_ms(job)) +
           objective_ms - remaining_critical_path_ms(job);
}

static struct resources
least_need(const struct job *job)
{
    struct resources least = {INT64_MAX, INT64_MAX, INT64_MAX};
    for (uint32_t s = 0; s < job->n_steps; s++) {
        const struct job_step *step = &job->steps[s];
        if (remaining_tasks(job, s) > 0) {
            struct resources need = job_step_backend_need(step);
            least.cpu_milli = MIN(least.cpu_milli, need.cpu_milli);
            least.mem_mb = MIN(least.mem_mb, need.mem_mb);
            least.gpus = MIN(least.gpus, need.gpus);
        }
    }
    return least;
}

const struct job_remaining *
job_remaining(struct job *job)
{
    struct job_remaining *remaining = &job->remaining;
    if (remaining->version != job->version + 1 ||
        remaining->generation != job->refs.generation) {
        *remaining = (struct job_remaining){
            .version = job->version + 1,
            .generation = job->refs.generation,
            .service = job_is_service(job),
            .attainable_until_ms = attainable_until_ms(job),
            .millicore_ms = remaining_millicore_ms(job),
            .least_need = least_need(job),
        };
    }
    return remaining;
}

int64_t
job_priority(const struct job *job)
{
    return job->refs.queue == NULL ? INT64_MAX : job->refs.queue->priority;
}

void
job_order_rank(struct job *job, int64_t unix_ms, bool by_priority)
{
    const struct job_remaining *remaining = job_remaining(job);
    if (remaining->service) {
        job->rank = (struct job_rank){
            .urgency = URGENCY_SERVICE,
            .key = job->accepted_unix_ms,
        };
        return;
    }
    job->rank = (struct job_rank){
        .priority = by_priority ? job_priority(job) : 0,
        .urgency = unix_ms <= remaining->attainable_until_ms
                       ? URGENCY_ATTAINABLE
                       : URGENCY_LATE,
        .key = remaining->millicore_ms,
    };
}

int
job_order_compare(const struct job *a, const struct job *b)
{
    if (a->rank.priority != b->rank.priority &&
        a->rank.urgency != URGENCY_SERVICE &&
        b->rank.urgency != URGENCY_SERVICE) {
        return a->rank.priority < b->rank.priority ? -1 : 1;
    }
    if (a->rank.urgency != b->rank.urgency) {
        return a->rank.urgency < b->rank.urgency ? -1 : 1;
    }
    if (a->rank.key != b->rank.key) {
        return a->rank.key < b->rank.key ? -1 : 1;
    }
    return 0;
}

static void
insert_sorted(GPtrArray *jobs, guint i)
{
    struct job *job = g_ptr_array_index(jobs, i);
    guint low = 0;
    guint high = i;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        if (job_order_compare(g_ptr_array_index(jobs, middle), job) <= 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    memmove(&g_ptr_array_index(jobs, low + 1), &g_ptr_array_index(jobs, low),
            (i - low) * sizeof(gpointer));
    g_ptr_array_index(jobs, low) = job;
}

void
job_order_sort(GPtrArray *jobs)
{
    for (guint i = 1; i < jobs->len; i++) {
        if (job_order_compare(g_ptr_array_index(jobs, i - 1),
                              g_ptr_array_index(jobs, i)) > 0) {
            insert_sorted(jobs, i);
        }
    }
}
