/* Which waiting tasks are due for a reservation, in which order. */
#include "core/jobs/scheduler.h"

#include "reserve_ahead.h"

enum {
    /* Of tasks that need more than this part of a backend server, no two fit
     * on one, so each has to wait until one is nearly empty. */
    LARGE_DIVISOR = 2,
    /* Within about the length of the shortest tasks a large one may find a
     * place by chance, without one. */
    WAIT_MIN_MS = 300,
    /* A late task has been overtaken if others wait that need at most half of
     * what it does, */
    OVERTAKEN_FACTOR = 2,
    /* and it needs more than this part of a backend server, which is a core of
     * sixteen: less is left in many places. */
    SMALL_DIVISOR = 16,
};

int64_t
reserve_queue_priority(const struct scheduler *sched, const struct job *job)
{
    if (!sched->policy.queue_priorities) {
        return 0;
    }
    return job->refs.queue == NULL ? INT64_MAX : job->refs.queue->priority;
}

/* Tasks of the step that could start now, at most RESERVED_MAX. */
uint32_t
reserve_startable_tasks(const struct placer *placer, struct job *job,
                        uint32_t occurrence, uint32_t step)
{
    const struct job_step *wanted = &job->steps[step];
    const struct queue_config *queue = job->refs.queue;
    if (job->state != JOB_ACTIVE || wanted->long_running || wanted->gang ||
        wanted->same_rack || (queue != NULL && queue->needs_advice) ||
        job_find_occurrence(job, occurrence) == NULL ||
        job_due_ms(job, occurrence) > placer->unix_ms ||
        !job_step_ready(job, occurrence, step) ||
        sched_inherited_runs_open(placer->sched, placer->pool, job) ||
        !sched_team_allows(placer->sched, job, &wanted->need)) {
        return 0;
    }
    const struct step_progress *progress =
        job_step_progress(job, occurrence, step);
    uint32_t count = 0;
    for (uint32_t t = 0; t < wanted->task_count && count < RESERVED_MAX; t++) {
        const struct job_task *task = &progress->tasks[t];
        count += task->run == NULL && !task->done && task->strays == 0 &&
                 task->wait_until_ms <= placer->now_ms &&
                 !crash_isolated(&task->crash);
    }
    return count;
}

/* Whether @need takes more than a @divisor'th of the largest host. */
static bool
exceeds_part(const struct resources *need, const struct resources *host,
             int64_t divisor)
{
    return need->cpu_milli * divisor > host->cpu_milli ||
           need->mem_mb * divisor > host->mem_mb ||
           (need->gpus > 0 && need->gpus * divisor > host->gpus);
}

/* Whether what others leave of one resource is often too little. */
static bool
seldom_fits(int64_t need, int64_t least, int64_t host)
{
    return need * SMALL_DIVISOR > host && need >= least * OVERTAKEN_FACTOR;
}

static bool
was_overtaken(const struct placer *placer, const struct resources *need)
{
    const struct resources *least = &placer->pool->reservations->least;
    const struct resources *host = &placer->pool->largest_host;
    return seldom_fits(need->cpu_milli, least->cpu_milli, host->cpu_milli) ||
           seldom_fits(need->mem_mb, least->mem_mb, host->mem_mb) ||
           seldom_fits(need->gpus, least->gpus, host->gpus);
}

uint32_t
reserve_entries_for(const struct pool_reservations *reservations,
                    const struct job *job, uint32_t occurrence, uint32_t step)
{
    uint32_t count = 0;
    for (guint i = 0; i < reservations->entries->len; i++) {
        const struct reservation *entry =
            g_ptr_array_index(reservations->entries, i);
        count += entry->job == job && entry->occurrence == occurrence &&
                 entry->step == step;
    }
    return count;
}

static bool
step_is_due(const struct placer *placer, struct job *job, uint32_t occurrence,
            uint32_t step, bool late)
{
    struct resources need = job_step_backend_need(&job->steps[step]);
    const struct resources *host = &placer->pool->largest_host;
    if (!resources_fit(host, &need) ||
        !(exceeds_part(&need, host, LARGE_DIVISOR) ||
          (late && was_overtaken(placer, &need)))) {
        return false;
    }
    int64_t since_ms = MAX(job->accepted_unix_ms, job_due_ms(job, occurrence));
    if (placer->unix_ms - since_ms < WAIT_MIN_MS) {
        return false;
    }
    uint32_t held = job->reservations == 0
                        ? 0
                        : reserve_entries_for(placer->pool->reservations, job,
                                              occurrence, step);
    return reserve_startable_tasks(placer, job, occurrence, step) > held;
}

/* Late jobs come first, the oldest before all others: the order of the waiting
 * jobs would put those with the most work last for ever. */
static bool
comes_before(const struct candidate *a, const struct candidate *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    if (a->late != b->late) {
        return a->late;
    }
    return a->late && a->job->accepted_unix_ms < b->job->accepted_unix_ms;
}

/* Inserts @candidate behind those that are not after it. */
static void
insert_candidate(GArray *found, const struct candidate *candidate)
{
    guint at = found->len;
    while (at > 0 &&
           comes_before(candidate,
                        &g_array_index(found, struct candidate, at - 1))) {
        at--;
    }
    if (at < RESERVED_MAX) {
        g_array_insert_val(found, at, *candidate);
        g_array_set_size(found, MIN(found->len, (guint)RESERVED_MAX));
    }
}

/* The steps that come first among those due for a reservation. */
GArray *
reserve_find_candidates(struct placer *placer)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    const GPtrArray *jobs = placer->pool->unplaced;
    struct resources least = RESERVE_NOTHING_WAITS;
    for (guint i = 0; i < jobs->len; i++) {
        struct job *job = g_ptr_array_index(jobs, i);
        if (job->state != JOB_ACTIVE || job->rank.urgency == URGENCY_SERVICE) {
            continue;
        }
        const struct resources *job_least = &job->remaining.least_need;
        least.cpu_milli = MIN(least.cpu_milli, job_least->cpu_milli);
        least.mem_mb = MIN(least.mem_mb, job_least->mem_mb);
        least.gpus = MIN(least.gpus, job_least->gpus);
        struct candidate candidate = {
            .job = job,
            .priority = reserve_queue_priority(placer->sched, job),
            .late = placer->unix_ms > job->remaining.attainable_until_ms,
        };
        for (guint o = 0; o < job->open->len; o++) {
            const struct job_occurrence *occurrence =
                g_ptr_array_index(job->open, o);
            for (uint32_t s = 0; s < job->n_steps; s++) {
                candidate.occurrence = occurrence->number;
                candidate.step = s;
                if (step_is_due(placer, job, occurrence->number, s,
                                candidate.late)) {
                    insert_candidate(found, &candidate);
                }
            }
        }
    }
    placer->pool->reservations->least = least;
    return found;
}
