/*
 * Placement of waiting tasks. Packs tasks onto the fullest backend server with
 * enough free capacity, so that the others become empty and their hosts can be
 * moved or rebooted without stopping anything.
 */
#include "core/jobs/scheduler.h"

#include "core/jobs/gang.h"
#include "placer.h"

bool
sched_team_allows(struct scheduler *sched, const struct job *job,
                  const struct resources *need)
{
    const struct team_config *team = sched_team_config(sched, job->refs.team);
    if (team == NULL) {
        return true;
    }
    struct resources used = job->refs.team->used;
    const struct resources *maximum = &team->maximum;
    resources_add(&used, &job->refs.team->unseen, 1);
    return (maximum->cpu_milli == 0 ||
            used.cpu_milli + need->cpu_milli <= maximum->cpu_milli) &&
           (maximum->mem_mb == 0 ||
            used.mem_mb + need->mem_mb <= maximum->mem_mb) &&
           (maximum->gpus == 0 || used.gpus + need->gpus <= maximum->gpus);
}

/* Once a start wasn't sent since none may be, the others of the pass needn't
 * be decided. */
static void
send_start(struct scheduler *sched, struct run *run)
{
    struct backend *backend = run->backend;
    uint64_t handle = run->handle;
    struct job_task *task = run_task(run);
    task->run_number = MAX(task->run_number, run->number);
    sched->stats.started++;
    overload_sent(&sched->overload);
    sched_hold_take(sched, run);
    run->start_in_flight = true;
    struct start_command command = {
        .backend = backend,
        .handle = run->handle,
        .run = run,
        .until_ms = backend_grant_lease(backend, sched_lease_ms(sched),
                                        run->started_ms),
        .ticket = step_advice_ticket(
            job_step_progress(run->job, run->occurrence, run->step)->advice,
            backend->entry.id, run->started_ms),
    };
    job_open_occurrence(run->job, run->occurrence)->started = true;
    /* May answer at once that it wasn't sent, which frees the run. */
    sched->ops.start(sched->ops.ctx, &command);
    if (g_hash_table_lookup(sched->runs, &handle) == NULL &&
        !sched_starts_allowed(sched)) {
        sched->starts_ended_pass = sched->pass;
    }
}

/* Whether the rest of the pass has to wait for a later one. */
static bool
pass_ended(const struct scheduler *sched)
{
    return sched->starts_ended_pass == sched->pass;
}

static bool
task_is_waiting(const struct placer *placer, const struct job_task *task)
{
    return task->run == NULL && !task->done && task->strays == 0 &&
           task->wait_until_ms <= placer->now_ms;
}

/* At a peak each bit of capacity that a short task frees goes to the next one,
 * and a larger service task would wait until the peak is over. The suitable
 * backend server with the most free capacity takes no short tasks until it has
 * enough. */
static void
reserve_for_service(const struct placer *placer,
                    const struct placement_request *request)
{
    const struct pool_index *index = &placer->pool->index;
    struct backend *best = NULL;
    int64_t best_milli = 0;
    for (int slot = 0; slot < POOL_SLOT_COUNT; slot++) {
        for (guint i = 0; i < index->slots[slot]->len; i++) {
            struct backend *backend = g_ptr_array_index(index->slots[slot], i);
            int64_t free_milli =
                backend->entry.capacity.cpu_milli - backend->used.cpu_milli;
            if (sched_backend_reserved(placer->sched, backend) ||
                !resources_fit(&backend->entry.capacity,
                               &request->step->need) ||
                !placer_suitable(placer, backend, request)) {
                continue;
            }
            if (best == NULL || free_milli > best_milli) {
                best = backend;
                best_milli = free_milli;
            }
        }
    }
    if (best != NULL) {
        best->reserved_pass = placer->sched->pass;
    }
}

static struct run *
place_task(struct placer *placer, struct job *job,
           struct placement_request *request, uint32_t index, uint32_t number)
{
    struct scheduler *sched = placer->sched;
    struct job_task *task =
        &job_step_progress(job, request->occurrence, request->step_index)
             ->tasks[index];
    struct resources need = job_step_backend_need(request->step);
    if (number == 0 || !overload_may_start(&sched->overload) ||
        pass_ended(sched) ||
        placer_known_to_fail(placer, job, &need, request->step->estimate_ms) ||
        !sched_team_allows(sched, job, &request->step->need)) {
        return NULL;
    }
    request->avoid = task->avoid;
    request->isolated = task;
    if (crash_isolated(&task->crash) &&
        !(task->isolation_since_ms != 0 &&
          crash_may_join(&task->crash,
                         placer->now_ms - task->isolation_since_ms))) {
        return placer_place_isolated(placer, job, request, index, number);
    }
    uint64_t denials = placer->pool->reservation_denials;
    struct backend *backend = placer_choose_backend(placer, request);
    if (backend == NULL) {
        placer_remember_failure(placer, request,
                                denials != placer->pool->reservation_denials);
        if (request->step->long_running) {
            reserve_for_service(placer, request);
        }
        placer_preempt(placer, request);
        return NULL;
    }
    task->isolation_since_ms = 0;
    if (placer->reserved) {
        placer_reservation_used(placer, backend, request);
    }
    return sched_run_create(sched, job, request->occurrence,
                            request->step_index, index, number, backend);
}

/* Starts all members of a gang, or none of them. */
static bool
place_gang_in(struct placer *placer, struct job *job,
              struct placement_request *request)
{
    struct step_progress *progress =
        job_step_progress(job, request->occurrence, request->step_index);
    uint32_t n_tasks = request->step->task_count;
    uint32_t number = 0;
    for (uint32_t t = 0; t < n_tasks; t++) {
        uint32_t next =
            sched_next_run_number(placer->sched, &progress->tasks[t]);
        if (next == 0) {
            return false;
        }
        number = MAX(number, next);
    }
    GPtrArray *runs = g_ptr_array_new();
    while (runs->len < n_tasks) {
        struct run *run = place_task(placer, job, request, runs->len, number);
        if (run == NULL) {
            break;
        }
        g_ptr_array_add(runs, run);
    }
    bool complete = runs->len == n_tasks;
    if (complete) {
        gang_share_checkpoint(progress, n_tasks);
    }
    for (guint i = 0; i < runs->len; i++) {
        if (complete) {
            send_start(placer->sched, g_ptr_array_index(runs, i));
        }
        else {
            sched_run_free(placer->sched, g_ptr_array_index(runs, i));
            /* Capacity that was taken for it is free again. */
            placer->need_failed = false;
        }
    }
    g_ptr_array_unref(runs);
    return complete;
}

/* Tries every rack of the pool in turn. */
static bool
place_gang_in_a_rack(struct placer *placer, struct job *job,
                     struct placement_request *request)
{
    const struct pool_index *index = &placer->pool->index;
    GHashTable *tried = g_hash_table_new(NULL, NULL);
    bool placed = false;
    for (int slot = 0; slot < POOL_SLOT_COUNT && !placed; slot++) {
        /* Placing moves backend servers between slots. */
        for (guint i = 0; i < index->slots[slot]->len && !placed; i++) {
            const struct backend *backend =
                g_ptr_array_index(index->slots[slot], i);
            if (g_hash_table_add(tried, backend->rack)) {
                request->rack = backend->rack;
                placed = place_gang_in(placer, job, request);
            }
        }
    }
    request->rack = NULL;
    g_hash_table_unref(tried);
    return placed;
}

static void
place_gang(struct placer *placer, struct job *job,
           struct placement_request *request)
{
    struct step_progress *progress =
        job_step_progress(job, request->occurrence, request->step_index);
    for (uint32_t t = 0; t < request->step->task_count; t++) {
        if (!task_is_waiting(placer, &progress->tasks[t])) {
            return;
        }
    }
    if (!request->step->same_rack ||
        !place_gang_in_a_rack(placer, job, request)) {
        place_gang_in(placer, job, request);
    }
}

static void
place_tasks(struct placer *placer, struct job *job,
            struct placement_request *request)
{
    struct step_progress *progress =
        job_step_progress(job, request->occurrence, request->step_index);
    for (uint32_t t = 0; t < request->step->task_count; t++) {
        struct job_task *task = &progress->tasks[t];
        if (!task_is_waiting(placer, task)) {
            continue;
        }
        struct run *run =
            place_task(placer, job, request, t,
                       sched_next_run_number(placer->sched, task));
        if (job->state != JOB_ACTIVE) {
            /* Given up for what is known of this task. */
            return;
        }
        if (run == NULL && crash_isolated(&task->crash)) {
            continue;
        }
        if (run == NULL) {
            placer->left = true;
            return;
        }
        send_start(placer->sched, run);
    }
}

static void
place_step(struct placer *placer, struct job *job, uint32_t occurrence,
           uint32_t step_index)
{
    const struct queue_config *queue = job->refs.queue;
    struct step_progress *progress =
        job_step_progress(job, occurrence, step_index);
    struct placement_request request = {
        .job = job,
        .step = &job->steps[step_index],
        .occurrence = occurrence,
        .step_index = step_index,
        .needs_advice = queue != NULL && queue->needs_advice,
        .advice = progress->advice,
    };
    if (progress->done >= request.step->task_count) {
        return;
    }
    if (request.step->data_rack != NULL && placer->sched->racks != NULL) {
        request.data_rack =
            g_hash_table_lookup(placer->sched->racks, request.step->data_rack);
    }
    if (request.step->gang) {
        place_gang(placer, job, &request);
    }
    else {
        place_tasks(placer, job, &request);
    }
}

bool
sched_runs_in_pool(const struct job *job, const struct pool_load *pool)
{
    return pool != NULL && g_strcmp0(job->pool, pool->pool) == 0 &&
           !job->left_pool;
}

bool
sched_inherited_runs_open(const struct scheduler *sched,
                          const struct pool_load *pool, const struct job *job)
{
    if (!job->inherited) {
        return false;
    }
    return sched_runs_in_pool(job, pool) ? pool->unreconciled
                                         : sched->maybe_unreconciled;
}

/* Whether a leader that takes over would know that tasks of @job are in
 * another pool than its record names, after the queue was moved there and
 * back. */
static bool
pool_recorded(const struct placer *placer, struct job *job)
{
    if (g_strcmp0(job->pool, placer->pool->pool) == 0) {
        return true;
    }
    if (!job->left_pool) {
        job->left_pool = true;
        sched_mark_dirty(placer->sched, job);
        job->left_pool_version = job->version;
    }
    return job->stored_version >= job->left_pool_version;
}

static void
place_occurrence(struct placer *placer, struct job *job, uint32_t number)
{
    for (uint32_t s = 0; s < job->n_steps; s++) {
        if (job->state == JOB_ACTIVE && job_step_ready(job, number, s)) {
            place_step(placer, job, number, s);
        }
    }
}

/* Opens occurrences that are due, one at a time: if one can't start, neither
 * can the next, which needs the same. @waiting: one that is open hasn't
 * started. */
static void
place_next_occurrences(struct placer *placer, struct job *job, bool waiting)
{
    uint32_t next = job_next_occurrence(job, 0);
    while (next < job->n_occurrences && job->state == JOB_ACTIVE) {
        if (waiting || job->open->len >= job_open_max(job) ||
            job_due_ms(job, next) > placer->unix_ms) {
            return;
        }
        const struct job_occurrence *occurrence =
            job_open_occurrence(job, next);
        place_occurrence(placer, job, next);
        waiting = !occurrence->started;
        next = job_next_occurrence(job, next + 1);
    }
}

static void
place_job(struct placer *placer, struct job *job)
{
    if (sched_inherited_runs_open(placer->sched, placer->pool, job) ||
        !pool_recorded(placer, job) ||
        placer_known_to_fail(placer, job, &job->remaining.least_need, 0)) {
        placer->left = true;
        return;
    }
    bool waiting = false;
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        if (job_due_ms(job, occurrence->number) > placer->unix_ms) {
            placer->left = true;
            return;
        }
        place_occurrence(placer, job, occurrence->number);
        waiting = waiting || !occurrence->started;
    }
    place_next_occurrences(placer, job, waiting);
}

/* After a takeover no inherited job of a pool is placed while a backend server
 * of the pool is unreconciled. */
static void
update_unreconciled(struct scheduler *sched)
{
    if (!sched->maybe_unreconciled) {
        return;
    }
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct pool_load *)value)->unreconciled = false;
    }
    sched->maybe_unreconciled = false;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct backend *backend = value;
        if (backend->unreconciled) {
            sched->maybe_unreconciled = true;
            backend->pool->unreconciled = true;
        }
    }
}

static void
rank_pool(struct placer *placer)
{
    GPtrArray *jobs = placer->pool->unplaced;
    for (guint i = 0; i < jobs->len; i++) {
        job_order_rank(g_ptr_array_index(jobs, i), placer->unix_ms,
                       placer->sched->policy.queue_priorities);
    }
    job_order_sort(jobs);
}

/**
 * enum job_list - jobs to place
 * @LIST_SERVICES: the services among the unplaced jobs of a pool
 * @LIST_SHARE_FIRST: jobs that the shares of their accounts put first
 * @LIST_OTHERS: unplaced jobs that are no services
 */
enum job_list {
    LIST_SERVICES,
    LIST_SHARE_FIRST,
    LIST_OTHERS,
};

/* Whether a job that was to be tried first has left the unplaced jobs. */
static bool
is_gone(const struct placer *placer, const struct job *job)
{
    return !job->unplaced || job->state != JOB_ACTIVE ||
           job->refs.pool != placer->pool;
}

/* Places the jobs of a list and leaves those in it that still wait. */
static void
place_list(struct placer *placer, GPtrArray *jobs, enum job_list list)
{
    guint kept = 0;
    for (guint i = 0; i < jobs->len; i++) {
        struct job *job = g_ptr_array_index(jobs, i);
        bool is_service = job->rank.urgency == URGENCY_SERVICE;
        if (is_service != (list == LIST_SERVICES) &&
            job->state == JOB_ACTIVE) {
            g_ptr_array_index(jobs, kept++) = job;
            continue;
        }
        bool may_start = overload_may_start(&placer->sched->overload);
        placer->sched->start_waits = placer->sched->start_waits || !may_start;
        placer->left = !may_start || pass_ended(placer->sched);
        bool gone = list == LIST_SHARE_FIRST && is_gone(placer, job);
        if (job->share_pass == placer->sched->pass) {
            /* Tried before; placing it again may only tell that nothing fits,
             * also of a job without waiting tasks. */
            placer->left = sched_job_is_unplaced(job);
        }
        else if (!placer->left && !gone) {
            place_job(placer, job);
        }
        if (list == LIST_SHARE_FIRST) {
            job->share_pass = placer->sched->pass;
            if (placer->left && !gone) {
                g_ptr_array_index(jobs, kept++) = job;
            }
            else {
                job_unref(job);
            }
        }
        else if (job->state == JOB_ACTIVE &&
                 (placer->left || sched_job_is_unplaced(job))) {
            g_ptr_array_index(jobs, kept++) = job;
        }
        else {
            job->unplaced = false;
            job_unref(job);
        }
    }
    g_ptr_array_set_size(jobs, (int)kept);
}

/* Places the jobs of the pool that are services, or those that are not. */
static void
place_pool(struct placer *placer, bool services)
{
    struct pool_load *pool = placer->pool;
    const GPtrArray *first = pool->shares.first;
    if (!services && first != NULL) {
        place_list(placer, pool->shares.first, LIST_SHARE_FIRST);
        /* What is left belongs to the next jobs by share. */
        uint64_t started = 0;
        while (pool->shares.applied && first->len == 0 &&
               placer->sched->stats.started > started) {
            started = placer->sched->stats.started;
            sched_share_order(placer->sched, pool);
            place_list(placer, pool->shares.first, LIST_SHARE_FIRST);
        }
    }
    place_list(placer, pool->unplaced, services ? LIST_SERVICES : LIST_OTHERS);
}

/* Services of all pools come before the other jobs. */
void
sched_place_tasks(struct scheduler *sched)
{
    update_unreconciled(sched);
    sched_measure_unseen(sched);
    sched->start_waits = false;
    if (sched_cancels_outdated(sched)) {
        return;
    }
    sched->pass++;
    sched_holds_update(sched);
    const GPtrArray *pools = sched->config->pools;
    for (int services = 1; services >= 0; services--) {
        for (guint i = 0; i < pools->len; i++) {
            /* Limits of client accounts hold over all pools, so none is always
             * first. */
            const struct pool_config *config =
                g_ptr_array_index(pools, (i + sched->pass) % pools->len);
            struct placer placer = {
                .sched = sched,
                .now_ms = sched_now(sched),
                .unix_ms = ms_clock_now(&sched->unix_clock),
                .pool = sched_pool_load(sched, config->name),
            };
            if (placer.pool->unplaced->len == 0) {
                continue;
            }
            if (services) {
                rank_pool(&placer);
                sched_share_order(sched, placer.pool);
            }
            else {
                placer_reserve_ahead(&placer);
            }
            place_pool(&placer, services);
        }
    }
}
