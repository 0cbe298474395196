/*
 * Placement of waiting tasks. Packs tasks onto the fullest backend server with
 * enough free capacity, so that the others become empty and their hosts can be
 * moved or rebooted without stopping anything.
 */
#include "core/jobs/scheduler.h"

#include <string.h>

#include "scheduler_state.h"

/* Service tasks of one step are moved one after the other when a host is
 * emptied, so they are spread: each task of the step that a backend server
 * runs lowers its score as much as a fifth of its capacity in use raises it.
 */
static const double SPREAD_WEIGHT = 0.2;
/* By weight; each outweighs all that follow and how full a backend server is:
 * the server of the last failure, a suspect one, one near the step's data, one
 * where best-effort and latency-sensitive tasks would mix. */
static const double AVOIDED_SCORE = 40;
static const double SUSPECT_SCORE = 20;
static const double DATA_RACK_SCORE = 10;
static const double MIXED_SCORE = 5;
/* Below that of any backend server with runs. */
static const double EMPTY_SCORE = -1;

enum {
    /* Tasks that may crash their backend servers take at most these quarters
     * of a pool: fewer if others find no capacity, still fewer where runs
     * would be lost. */
    ISOLATED_IDLE_QUARTERS = 3,
    ISOLATED_EMPTY_QUARTERS = 2,
    ISOLATED_SHARED_QUARTERS = 1,
    /* Some passes; renewed as long as the task waits. */
    ISOLATION_RESERVED_MS = 250,
    /* A tenth of the time in which a crashed backend server is back, with all
     * that it could run meanwhile. */
    ISOLATION_WAIT_MS = 300,
};

/**
 * struct placer - one pass over the waiting tasks of a pool
 * @pool: the pool
 * @failed_need: no backend server has the capacity for this; valid if
 *               @need_failed
 * @isolation_failed: there is no backend server for a task that may crash it
 */
struct placer {
    struct scheduler *sched;
    int64_t now_ms;
    int64_t unix_ms;
    struct pool_load *pool;
    bool need_failed;
    struct resources failed_need;
    bool isolation_failed;
};

/**
 * struct placement_request - what a task requires of its backend server
 * @avoid: backend server of its last failure, or NULL
 * @rack: only backend servers in this rack, NULL: any
 * @data_rack: rack of its data, NULL: none
 * @isolated: the task, to find the backend server that is kept for it
 */
struct placement_request {
    const struct job *job;
    const struct job_step *step;
    uint32_t occurrence;
    uint32_t step_index;
    const char *avoid;
    const GPtrArray *rack;
    const GPtrArray *data_rack;
    bool needs_advice;
    const struct step_advice *advice;
    const struct job_task *isolated;
};

/** struct candidate - best backend server so far, NULL: none */
struct candidate {
    struct backend *backend;
    double score;
};

static uint32_t
count_of_step(const struct backend *backend,
              const struct placement_request *request)
{
    uint32_t count = 0;
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (run->job == request->job && run->step == request->step_index &&
            run->occurrence == request->occurrence) {
            count++;
        }
    }
    return count;
}

static bool
all_of_step(const struct backend *backend,
            const struct placement_request *request)
{
    return count_of_step(backend, request) == backend->runs->len;
}

/* Whether best-effort and latency-sensitive tasks would share the server. */
static bool
would_mix_workloads(const struct backend *backend, const struct job_step *step)
{
    return (step->best_effort && backend->latency_sensitive_runs > 0) ||
           (step->tail_latency_target_ms > 0 && backend->best_effort_runs > 0);
}

static bool
has_capacity(const struct backend *backend, const struct job_step *step)
{
    struct resources need = job_step_backend_need(step);
    struct resources available = backend->entry.capacity;
    resources_add(&available, &backend->used, -1);
    return resources_fit(&available, &need);
}

/* Whether @backend satisfies the constraints of the task, regardless of its
 * capacity. */
static bool
suitable(const struct placer *placer, const struct backend *backend,
         const struct placement_request *request)
{
    const struct job_step *step = request->step;
    if (backend->suspect_until_ms > placer->now_ms && backend->runs->len > 0) {
        return false;
    }
    if (backend->isolated_runs > 0 &&
        !(step->gang && all_of_step(backend, request))) {
        return false;
    }
    if (step->required_label != NULL &&
        !backend_has_label(backend, step->required_label)) {
        return false;
    }
    if (step->max_per_backend > 0 &&
        count_of_step(backend, request) >= step->max_per_backend) {
        return false;
    }
    return !request->needs_advice ||
           step_advice_status(request->advice, backend->entry.id,
                              backend->entry.incarnation_start_ms,
                              placer->now_ms) == ADVICE_GRANTED;
}

static bool
place_allowed(const struct placer *placer, const struct backend *backend,
              const struct placement_request *request)
{
    return (request->step->long_running ||
            (!sched_backend_reserved(placer->sched, backend) &&
             backend->isolation_until_ms <= placer->now_ms)) &&
           has_capacity(backend, request->step) &&
           suitable(placer, backend, request);
}

/* Packs tasks onto the fullest backend server, and takes one without runs
 * last. Best-effort tasks and service tasks go by the fraction in use. */
static double
fullness_score(const struct placer *placer, const struct backend *backend,
               const struct placement_request *request)
{
    int64_t capacity_milli = MAX(backend->entry.capacity.cpu_milli, 1);
    if (request->step->long_running) {
        return (double)backend->used.cpu_milli / (double)capacity_milli -
               SPREAD_WEIGHT * count_of_step(backend, request);
    }
    if (backend->pool_slot == POOL_EMPTY_SLOT + 1) {
        return EMPTY_SCORE;
    }
    return 1 - (double)(capacity_milli - backend->used.cpu_milli) /
                   (double)placer->pool->index.largest_milli;
}

/* Higher is better. */
static double
place_score(const struct placer *placer, const struct backend *backend,
            const struct placement_request *request)
{
    double score = fullness_score(placer, backend, request);
    if (request->data_rack != NULL && backend->rack == request->data_rack) {
        score += DATA_RACK_SCORE;
    }
    if (request->avoid != NULL &&
        strcmp(request->avoid, backend->entry.id) == 0) {
        score -= AVOIDED_SCORE;
    }
    if (backend->suspect_until_ms > placer->now_ms) {
        score -= SUSPECT_SCORE;
    }
    if (would_mix_workloads(backend, request->step)) {
        score -= MIXED_SCORE;
    }
    return score;
}

static void
consider(const struct placer *placer, struct backend *backend,
         const struct placement_request *request, struct candidate *best)
{
    if (backend->pool != placer->pool || backend->pool_slot == 0 ||
        !sched_backend_usable(placer->sched, backend) ||
        !place_allowed(placer, backend, request)) {
        return;
    }
    double score = place_score(placer, backend, request);
    if (best->backend == NULL || score > best->score) {
        best->backend = backend;
        best->score = score;
    }
}

static void
consider_all(const struct placer *placer, const GPtrArray *backends,
             const struct placement_request *request, struct candidate *best)
{
    for (guint i = 0; i < backends->len; i++) {
        consider(placer, g_ptr_array_index(backends, i), request, best);
    }
}

/* Best score that a backend server in @slot can have away from the data. */
static double
slot_score_max(uint32_t slot)
{
    return slot == POOL_EMPTY_SLOT ? EMPTY_SCORE
                                   : 1 - (double)slot / POOL_FREE_SLOT_COUNT;
}

/* Looks at the fullest backend servers with enough free capacity first, and
 * ends as soon as no other can be better. */
static void
consider_by_fullness(const struct placer *placer,
                     const struct placement_request *request,
                     struct candidate *best)
{
    const struct pool_index *index = &placer->pool->index;
    struct resources need = job_step_backend_need(request->step);
    for (uint32_t slot = pool_index_slot(index, need.cpu_milli);
         slot < POOL_SLOT_COUNT; slot++) {
        const GPtrArray *backends = index->slots[slot];
        double most = slot_score_max(slot);
        for (guint i = 0; i < backends->len; i++) {
            if (best->backend != NULL && best->score >= most) {
                return;
            }
            consider(placer, g_ptr_array_index(backends, i), request, best);
        }
    }
}

/* A pool at its peak has many waiting jobs and no capacity. Once a task that
 * any backend server may run has found none, larger ones needn't look.
 * Capacity only shrinks during a pass. */
static bool
known_to_fail(const struct placer *placer, const struct resources *need)
{
    return placer->need_failed && resources_fit(need, &placer->failed_need);
}

/* Whether more than its capacity tells if a backend server may run it. */
static bool
has_constraints(const struct placement_request *request)
{
    return request->rack != NULL || request->step->required_label != NULL ||
           request->step->max_per_backend > 0 || request->needs_advice;
}

static void
remember_failure(struct placer *placer,
                 const struct placement_request *request)
{
    const struct job_step *step = request->step;
    if (has_constraints(request)) {
        return;
    }
    struct resources need = job_step_backend_need(step);
    if (!placer->need_failed || resources_fit(&placer->failed_need, &need)) {
        placer->need_failed = true;
        placer->failed_need = need;
    }
}

static struct backend *
choose_backend(const struct placer *placer,
               const struct placement_request *request)
{
    struct candidate best = {0};
    if (request->rack != NULL) {
        consider_all(placer, request->rack, request, &best);
        return best.backend;
    }
    if (request->step->long_running) {
        for (int slot = 0; slot < POOL_SLOT_COUNT; slot++) {
            consider_all(placer, placer->pool->index.slots[slot], request,
                         &best);
        }
        return best.backend;
    }
    if (request->data_rack != NULL) {
        consider_all(placer, request->data_rack, request, &best);
    }
    consider_by_fullness(placer, request, &best);
    return best.backend;
}

/* Whether each run that the crash of @backend could be laid to is one of the
 * gang of @request. */
static bool
crash_would_be_proof(const struct backend *backend,
                     const struct placement_request *request)
{
    if (backend->strays->len > 0) {
        return false;
    }
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        bool of_gang = request->step->gang && run->job == request->job &&
                       run->occurrence == request->occurrence &&
                       run->step == request->step_index;
        if (crash_role_of(run->age_ms) == CRASH_FRESH && !of_gang) {
            return false;
        }
    }
    return true;
}

/* Whether runs that are isolated, or have crashed their backend servers a
 * moment ago, take the part of the pool that they may. The task that has
 * waited longest comes first. */
static bool
isolation_exhausted(const struct placer *placer,
                    const struct placement_request *request, uint32_t quarters)
{
    const struct pool_load *pool = placer->pool;
    uint32_t taken =
        pool->isolated_runs + sched_crashed_isolated(placer->sched, pool);
    uint32_t size = taken;
    for (int slot = 0; slot < POOL_SLOT_COUNT; slot++) {
        const GPtrArray *backends = pool->index.slots[slot];
        for (guint i = 0; i < backends->len; i++) {
            const struct backend *backend = g_ptr_array_index(backends, i);
            size += backend->isolated_runs == 0;
        }
    }
    bool others = pool->isolation_first != NULL &&
                  pool->isolation_first != request->isolated;
    return taken + others >= MAX(size * quarters / 4, (uint32_t)1);
}

/* Keeps track of the task that has waited longest. */
static void
isolation_waits(struct placer *placer, const struct job_task *task)
{
    struct pool_load *pool = placer->pool;
    if (pool->isolation_pass != placer->sched->pass) {
        bool recent = pool->isolation_pass + 1 == placer->sched->pass;
        pool->isolation_first = recent ? pool->isolation_next : NULL;
        pool->isolation_next = NULL;
        pool->isolation_pass = placer->sched->pass;
    }
    if (pool->isolation_next == NULL ||
        task->isolation_since_ms < pool->isolation_next_ms) {
        pool->isolation_next = task;
        pool->isolation_next_ms = task->isolation_since_ms;
    }
}

/* Backend server with the fewest runs that a crash would take along, one where
 * a crash would be proof if there is any. */
static struct backend *
find_isolated(const struct placer *placer,
              const struct placement_request *request, bool *ready)
{
    const struct pool_load *pool = placer->pool;
    struct backend *best = NULL;
    *ready = false;
    for (int slot = 0; slot < POOL_SLOT_COUNT; slot++) {
        const GPtrArray *backends = pool->index.slots[slot];
        for (guint i = 0; i < backends->len; i++) {
            struct backend *backend = g_ptr_array_index(backends, i);
            if (!sched_backend_usable(placer->sched, backend) ||
                !has_capacity(backend, request->step) ||
                !suitable(placer, backend, request) ||
                (backend->isolation_owner != NULL &&
                 backend->isolation_owner != request->isolated &&
                 backend->isolation_until_ms > placer->now_ms)) {
                continue;
            }
            bool proof = crash_would_be_proof(backend, request);
            if (best == NULL || (proof && !*ready) ||
                (proof == *ready && backend->runs->len < best->runs->len) ||
                (proof && backend->runs->len == best->runs->len &&
                 backend->isolation_owner == request->isolated)) {
                best = backend;
                *ready = proof;
            }
        }
    }
    return best;
}

/* A backend server without runs is worth a short wait, and one on which others
 * have just started has to wait for a run report. */
static struct backend *
choose_isolated(struct placer *placer, const struct placement_request *request,
                int64_t waits_ms)
{
    /* A gang starts whole, and a service task may not be away for long. */
    bool at_once = request->step->gang || request->step->long_running;
    uint32_t quarters =
        placer->need_failed ? ISOLATED_EMPTY_QUARTERS : ISOLATED_IDLE_QUARTERS;
    bool first = placer->pool->isolation_first == request->isolated;
    if (!at_once && ((placer->isolation_failed && !first) ||
                     isolation_exhausted(placer, request, quarters))) {
        return NULL;
    }
    bool ready;
    struct backend *best = find_isolated(placer, request, &ready);
    if (best == NULL) {
        /* Another one may find a backend server. */
        if (first) {
            placer->pool->isolation_first = NULL;
        }
        return NULL;
    }
    bool wait =
        best->runs->len > 0 && !at_once &&
        (waits_ms < ISOLATION_WAIT_MS ||
         isolation_exhausted(placer, request, ISOLATED_SHARED_QUARTERS));
    if (ready && !wait) {
        return best;
    }
    best->isolation_until_ms = placer->now_ms + ISOLATION_RESERVED_MS;
    best->isolation_owner = NULL;
    return NULL;
}

bool
sched_backend_can_run(struct scheduler *sched, const struct backend *backend,
                      const struct job *job, uint32_t occurrence,
                      uint32_t step)
{
    struct placer placer = {.sched = sched, .now_ms = sched_now(sched)};
    struct placement_request request = {
        .job = job,
        .step = &job->steps[step],
        .occurrence = occurrence,
        .step_index = step,
    };
    return sched_backend_usable(sched, backend) &&
           place_allowed(&placer, backend, &request);
}

bool
sched_fits_elsewhere(struct scheduler *sched, const struct run *run)
{
    const struct pool_index *index = &run->backend->pool->index;
    for (int slot = 0; slot < POOL_SLOT_COUNT; slot++) {
        for (guint i = 0; i < index->slots[slot]->len; i++) {
            const struct backend *backend =
                g_ptr_array_index(index->slots[slot], i);
            if (backend != run->backend &&
                sched_backend_can_run(sched, backend, run->job,
                                      run->occurrence, run->step)) {
                return true;
            }
        }
    }
    return false;
}

static bool
team_allows(struct scheduler *sched, const struct job *job,
            const struct resources *need)
{
    const struct team_config *team = sched_team_config(sched, job->refs.team);
    if (team == NULL) {
        return true;
    }
    const struct resources *used = &job->refs.team->used;
    const struct resources *maximum = &team->maximum;
    return (maximum->cpu_milli == 0 ||
            used->cpu_milli + need->cpu_milli <= maximum->cpu_milli) &&
           (maximum->mem_mb == 0 ||
            used->mem_mb + need->mem_mb <= maximum->mem_mb) &&
           (maximum->gpus == 0 || used->gpus + need->gpus <= maximum->gpus);
}

static void
send_start(struct scheduler *sched, struct run *run)
{
    struct backend *backend = run->backend;
    sched->stats.started++;
    overload_sent(&sched->overload);
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
    sched->ops.start(sched->ops.ctx, &command);
}

static uint32_t
next_number(const struct scheduler *sched, const struct job_task *task)
{
    return MAX(task->run_number, sched->term * TERM_RUN_NUMBERS_MAX) + 1;
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
                !suitable(placer, backend, request)) {
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

/* Starts a task that may crash its backend server. */
static struct run *
place_isolated(struct placer *placer, struct job *job,
               const struct placement_request *request, uint32_t index,
               uint32_t number)
{
    struct scheduler *sched = placer->sched;
    struct job_task *task =
        &job_step_progress(job, request->occurrence, request->step_index)
             ->tasks[index];
    if (!sched_crash_settle_inherited(sched, job, request->occurrence,
                                      request->step_index, index)) {
        return NULL;
    }
    if (task->isolation_since_ms == 0) {
        task->isolation_since_ms = placer->now_ms;
    }
    isolation_waits(placer, task);
    struct backend *backend = choose_isolated(
        placer, request, placer->now_ms - task->isolation_since_ms);
    if (backend == NULL) {
        placer->isolation_failed =
            placer->isolation_failed || !has_constraints(request);
        return NULL;
    }
    if (!sched_start_recorded(sched, job, task, backend->entry.id)) {
        backend->isolation_until_ms = placer->now_ms + ISOLATION_RESERVED_MS;
        backend->isolation_owner = task;
        return NULL;
    }
    task->isolation_since_ms = 0;
    backend->isolation_until_ms = 0;
    return sched_run_create(sched, job, request->occurrence,
                            request->step_index, index, number, backend);
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
    if (!overload_may_start(&sched->overload) ||
        known_to_fail(placer, &need) ||
        !team_allows(sched, job, &request->step->need)) {
        return NULL;
    }
    request->avoid = task->avoid;
    request->isolated = task;
    if (crash_isolated(&task->crash) &&
        !(task->isolation_since_ms != 0 &&
          crash_may_join(&task->crash,
                         placer->now_ms - task->isolation_since_ms))) {
        return place_isolated(placer, job, request, index, number);
    }
    struct backend *backend = choose_backend(placer, request);
    if (backend == NULL) {
        remember_failure(placer, request);
        if (request->step->long_running) {
            reserve_for_service(placer, request);
        }
        return NULL;
    }
    task->isolation_since_ms = 0;
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
        number = MAX(number, next_number(placer->sched, &progress->tasks[t]));
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

/* Returns whether nothing is left to place. */
static bool
place_gang(struct placer *placer, struct job *job,
           struct placement_request *request)
{
    struct step_progress *progress =
        job_step_progress(job, request->occurrence, request->step_index);
    bool all_run = true;
    for (uint32_t t = 0; t < request->step->task_count; t++) {
        const struct job_task *task = &progress->tasks[t];
        all_run = all_run && (task->run != NULL || task->done);
        if (!task_is_waiting(placer, task)) {
            return all_run && t + 1 == request->step->task_count;
        }
    }
    return (request->step->same_rack &&
            place_gang_in_a_rack(placer, job, request)) ||
           place_gang_in(placer, job, request);
}

/* Returns whether nothing is left to place. */
static bool
place_tasks(struct placer *placer, struct job *job,
            struct placement_request *request)
{
    struct step_progress *progress =
        job_step_progress(job, request->occurrence, request->step_index);
    bool complete = true;
    for (uint32_t t = 0; t < request->step->task_count; t++) {
        struct job_task *task = &progress->tasks[t];
        if (task->run != NULL || task->done) {
            continue;
        }
        if (!task_is_waiting(placer, task)) {
            complete = false;
            continue;
        }
        struct run *run = place_task(placer, job, request, t,
                                     next_number(placer->sched, task));
        if (job->state != JOB_ACTIVE) {
            /* Given up for what is known of this task. */
            return true;
        }
        if (run == NULL && crash_isolated(&task->crash)) {
            complete = false;
            continue;
        }
        if (run == NULL) {
            return false;
        }
        send_start(placer->sched, run);
    }
    return complete;
}

/* Returns whether nothing is left to place. */
static bool
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
        return true;
    }
    if (request.step->data_rack != NULL && placer->sched->racks != NULL) {
        request.data_rack =
            g_hash_table_lookup(placer->sched->racks, request.step->data_rack);
    }
    return request.step->gang ? place_gang(placer, job, &request)
                              : place_tasks(placer, job, &request);
}

/* Whether runs of a previous leader may be in progress. If its queue has moved
 * since, they may be in any pool. */
static bool
inherited_runs_open(const struct placer *placer, const struct job *job)
{
    if (!job->inherited) {
        return false;
    }
    return g_strcmp0(job->pool, placer->pool->pool) == 0
               ? placer->pool->unreconciled
               : placer->sched->maybe_unreconciled;
}

/* Returns whether nothing is left to place until the job changes. */
static bool
place_job(struct placer *placer, struct job *job)
{
    if (inherited_runs_open(placer, job) ||
        known_to_fail(placer, &job->remaining.least_need)) {
        return false;
    }
    bool complete = true;
    for (uint32_t k = 0; k < job->n_occurrences; k++) {
        if (job_due_ms(job, k) > placer->unix_ms) {
            return false;
        }
        for (uint32_t s = 0; s < job->n_steps; s++) {
            if (job->state == JOB_ACTIVE && job_step_ready(job, k, s)) {
                complete = place_step(placer, job, k, s) && complete;
            }
        }
    }
    return complete;
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
        job_order_rank(g_ptr_array_index(jobs, i), placer->unix_ms);
    }
    job_order_sort(jobs);
}

/* Places the jobs of the pool that are services, or those that are not. */
static void
place_pool(struct placer *placer, bool services)
{
    GPtrArray *jobs = placer->pool->unplaced;
    guint kept = 0;
    for (guint i = 0; i < jobs->len; i++) {
        struct job *job = g_ptr_array_index(jobs, i);
        bool is_service = job->rank.urgency == URGENCY_SERVICE;
        if (is_service != services && job->state == JOB_ACTIVE) {
            g_ptr_array_index(jobs, kept++) = job;
            continue;
        }
        if (!overload_may_start(&placer->sched->overload)) {
            placer->sched->start_waits = true;
            g_ptr_array_index(jobs, kept++) = job;
            continue;
        }
        if (job->state != JOB_ACTIVE || place_job(placer, job)) {
            job->unplaced = false;
            job_unref(job);
        }
        else {
            g_ptr_array_index(jobs, kept++) = job;
        }
    }
    g_ptr_array_set_size(jobs, (int)kept);
}

/* Services of all pools come before the other jobs. */
void
sched_place_tasks(struct scheduler *sched)
{
    update_unreconciled(sched);
    sched->start_waits = false;
    sched->pass++;
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
            }
            place_pool(&placer, services);
        }
    }
}
