/* Choice of a backend server for a waiting task. */
#include "placer.h"

#include <string.h>

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

bool
placer_has_capacity(const struct backend *backend, const struct job_step *step)
{
    struct resources need = job_step_backend_need(step);
    struct resources available = backend->entry.capacity;
    resources_add(&available, &backend->used, -1);
    return resources_fit(&available, &need);
}

bool
placer_suitable(const struct placer *placer, const struct backend *backend,
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

bool
placer_has_constraints(const struct placement_request *request)
{
    return request->rack != NULL || request->step->required_label != NULL ||
           request->step->max_per_backend > 0 || request->needs_advice;
}

/* Whether it fits beside what is kept for other tasks. */
static bool
hold_allows(const struct placer *placer, const struct backend *backend,
            const struct placement_request *request)
{
    struct resources need = job_step_backend_need(request->step);
    struct resources room =
        sched_room_for(placer->sched, backend, request->job,
                       request->occurrence, request->step_index);
    return resources_fit(&room, &need);
}

static bool
place_allowed(const struct placer *placer, const struct backend *backend,
              const struct placement_request *request)
{
    return (request->step->long_running ||
            (!sched_backend_reserved(placer->sched, backend) &&
             backend->isolation_until_ms <= placer->now_ms)) &&
           placer_has_capacity(backend, request->step) &&
           (placer->sched->holds->len == 0 ||
            hold_allows(placer, backend, request)) &&
           placer_reservation_allows(placer, backend, request) &&
           placer_suitable(placer, backend, request);
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

/* Backend server on which room is kept for the step, if it is free. */
static struct backend *
choose_held(const struct placer *placer,
            const struct placement_request *request)
{
    const GPtrArray *holds = placer->sched->holds;
    struct candidate best = {0};
    for (guint i = 0; i < holds->len && best.backend == NULL; i++) {
        const struct hold *hold = g_ptr_array_index(holds, i);
        if (hold->run == 0 && hold->job == request->job &&
            hold->occurrence == request->occurrence &&
            hold->step == request->step_index) {
            consider(placer, hold->backend, request, &best);
        }
    }
    return best.backend;
}

struct backend *
placer_choose_backend(const struct placer *placer,
                      const struct placement_request *request)
{
    struct candidate best = {.backend = choose_held(placer, request)};
    if (best.backend != NULL) {
        return best.backend;
    }
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

void
placer_remember_failure(struct placer *placer,
                        const struct placement_request *request,
                        bool by_reservation)
{
    const struct job_step *step = request->step;
    if (placer_has_constraints(request)) {
        return;
    }
    struct resources need = job_step_backend_need(step);
    /* A task that ends sooner may start before a reserved time. */
    int64_t estimate_ms = by_reservation ? step->estimate_ms : 0;
    if (!placer->need_failed || (resources_fit(&placer->failed_need, &need) &&
                                 estimate_ms <= placer->failed_estimate_ms)) {
        placer->need_failed = true;
        placer->failed_need = need;
        placer->failed_estimate_ms = estimate_ms;
    }
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
