/* Placement of tasks that may crash their backend server, see crash_blame.h.
 */
#include "core/jobs/crash_blame.h"

#include "placer.h"

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
                !placer_has_capacity(backend, request->step) ||
                !placer_reservation_allows(placer, backend, request) ||
                !placer_suitable(placer, backend, request) ||
                sched_backend_held(backend) ||
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

struct run *
placer_place_isolated(struct placer *placer, struct job *job,
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
            placer->isolation_failed || !placer_has_constraints(request);
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
