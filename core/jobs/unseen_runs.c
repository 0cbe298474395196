/*
 * Runs that a previous leader may have started and that no report has shown
 * yet. Until every backend server on record is reconciled, the limit of a
 * client account counts the most that they may take.
 */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

enum {
    /* The times of day of two hosts may differ by as much. */
    CLOCK_DIFFERENCE_MS = 5000,
    /* Between two measurements runs that a report shows count twice, which is
     * on the safe side. */
    MEASURE_INTERVAL_MS = 100,
};

/**
 * struct unseen_tasks - tasks of a client account that may run unseen
 * @reserving: what they take of their backend servers
 * @best_effort: what those take in addition that reserve no processor time
 */
struct unseen_tasks {
    struct resources reserving;
    struct resources best_effort;
};

static void
add_tasks(struct unseen_tasks *tasks, const struct job_step *step,
          int64_t count)
{
    struct resources need = job_step_backend_need(step);
    struct resources rest = step->need;
    resources_add(&rest, &need, -1);
    resources_add(&tasks->reserving, &need, count);
    resources_add(&tasks->best_effort, &rest, count);
}

static bool
limited(const struct team_config *team)
{
    return team != NULL &&
           (team->maximum.cpu_milli != 0 || team->maximum.mem_mb != 0 ||
            team->maximum.gpus != 0);
}

/* Whether stops of its runs may not have taken effect yet. */
static bool
ended_recently(const struct scheduler *sched, const struct job *job)
{
    int64_t ended_ms = ms_clock_now(&sched->unix_clock) - job->ended_unix_ms;
    return job->ended_unix_ms == 0 ||
           ended_ms < sched->lease_accepted_max_ms * 102 / 100 +
                          LATE_COMMAND_MS + CLOCK_DIFFERENCE_MS;
}

/* What its tasks may take that are not known to run or to be done. */
static void
measure_job(const struct scheduler *sched, const struct job *job,
            struct unseen_tasks *tasks)
{
    int64_t unix_ms = ms_clock_now(&sched->unix_clock);
    /* The record of a job that has ended names no tasks. */
    bool active = job->state == JOB_ACTIVE;
    uint32_t unopened = job_due_unopened(job, unix_ms);
    for (uint32_t s = 0; s < job->n_steps; s++) {
        const struct job_step *step = &job->steps[s];
        int64_t count = 0;
        for (guint i = 0; i < job->open->len; i++) {
            const struct job_occurrence *occurrence =
                g_ptr_array_index(job->open, i);
            if (active && !job_step_ready(job, occurrence->number, s)) {
                continue;
            }
            const struct job_task *task = occurrence->steps[s].tasks;
            for (uint32_t t = 0; t < step->task_count; t++) {
                count += task[t].run == NULL && task[t].strays == 0 &&
                         !task[t].done;
            }
        }
        if (!active || step->n_after == 0) {
            count += (int64_t)unopened * step->task_count;
        }
        add_tasks(tasks, step, count);
    }
}

/* Tasks by pool, NULL for those that may run in any; created if missing. */
static struct unseen_tasks *
tasks_in_pool(struct team_usage *team, struct pool_load *pool)
{
    if (team->unseen_by_pool == NULL) {
        team->unseen_by_pool = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    }
    struct unseen_tasks *tasks =
        g_hash_table_lookup(team->unseen_by_pool, pool);
    if (tasks == NULL) {
        tasks = g_new0(struct unseen_tasks, 1);
        g_hash_table_insert(team->unseen_by_pool, pool, tasks);
    }
    return tasks;
}

static void
measure_jobs(struct scheduler *sched)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct job *job = value;
        if (!job->inherited || job->state == JOB_COMPLETED ||
            (job->state != JOB_ACTIVE && !ended_recently(sched, job))) {
            continue;
        }
        sched_job_refs(sched, job);
        struct team_usage *team = job->refs.team;
        if (!limited(sched_team_config(sched, team))) {
            continue;
        }
        struct pool_load *pool =
            sched_runs_in_pool(job, job->refs.pool) ? job->refs.pool : NULL;
        if (pool == NULL || pool->unreconciled) {
            measure_job(sched, job, tasks_in_pool(team, pool));
        }
    }
}

static void
add_capacity(struct unseen_capacity *sum, const struct backend *backend)
{
    const struct resources *capacity = &backend->entry.capacity;
    sum->unknown = sum->unknown || capacity->cpu_milli == 0;
    sum->free.cpu_milli +=
        MAX(capacity->cpu_milli - backend->used.cpu_milli, 0);
    sum->free.mem_mb += MAX(capacity->mem_mb - backend->used.mem_mb, 0);
    sum->free.gpus += MAX(capacity->gpus - backend->used.gpus, 0);
}

/* Capacity by pool. Returns that of all pools. */
static struct unseen_capacity
measure_capacity(struct scheduler *sched)
{
    struct unseen_capacity total = {0};
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct pool_load *)value)->unseen = (struct unseen_capacity){0};
    }
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct backend *backend = value;
        if (backend->unreconciled) {
            add_capacity(&backend->pool->unseen, backend);
            add_capacity(&total, backend);
        }
    }
    return total;
}

static void
add_to_team(struct team_usage *team, const struct unseen_capacity *capacity,
            const struct unseen_tasks *tasks)
{
    struct resources reserving = tasks->reserving;
    if (!capacity->unknown) {
        reserving.cpu_milli =
            MIN(reserving.cpu_milli, capacity->free.cpu_milli);
        reserving.mem_mb = MIN(reserving.mem_mb, capacity->free.mem_mb);
        reserving.gpus = MIN(reserving.gpus, capacity->free.gpus);
    }
    resources_add(&team->unseen, &reserving, 1);
    resources_add(&team->unseen, &tasks->best_effort, 1);
}

static void
sum_up(struct team_usage *team, const struct unseen_capacity *total)
{
    if (team->unseen_by_pool == NULL) {
        return;
    }
    GHashTableIter iter;
    void *key;
    void *tasks;
    g_hash_table_iter_init(&iter, team->unseen_by_pool);
    while (g_hash_table_iter_next(&iter, &key, &tasks)) {
        const struct pool_load *pool = key;
        add_to_team(team, pool == NULL ? total : &pool->unseen, tasks);
    }
}

void
sched_measure_unseen(struct scheduler *sched)
{
    int64_t now_ms = sched_now(sched);
    if (!sched->maybe_unreconciled && sched->unseen_measured_ms == 0) {
        return;
    }
    if (sched->maybe_unreconciled && sched->unseen_measured_ms != 0 &&
        now_ms - sched->unseen_measured_ms < MEASURE_INTERVAL_MS) {
        return;
    }
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->team_usage);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct team_usage *team = value;
        team->unseen = (struct resources){0};
        g_clear_pointer(&team->unseen_by_pool, g_hash_table_unref);
    }
    sched->unseen_measured_ms = sched->maybe_unreconciled ? now_ms : 0;
    if (!sched->maybe_unreconciled) {
        return;
    }
    struct unseen_capacity total = measure_capacity(sched);
    measure_jobs(sched);
    g_hash_table_iter_init(&iter, sched->team_usage);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sum_up(value, &total);
    }
}
