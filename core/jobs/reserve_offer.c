/* When capacity is expected to be free, and on which backend server first. */
#include "core/jobs/scheduler.h"

#include "core/jobs/reservation.h"
#include "reserve_ahead.h"

enum {
    /* Backend servers that one search looks at, which bounds its cost at any
     * size of a pool. Those with the most free capacity come first; among this
     * many, some are about to be free. */
    EXAMINED_MAX = 64,
};

static int64_t
run_remaining_ms(const struct placer *placer, const struct run *run)
{
    const struct job_step *step = run_step(run);
    if (run->state == RUN_STOPPING) {
        return placer->sched->timings.stop_ms;
    }
    if (step->long_running) {
        return RESERVATION_NEVER_MS;
    }
    struct run_progress progress = {
        .estimate_ms = step->estimate_ms,
        .elapsed_ms = MAX(placer->now_ms - run->started_ms, run->age_ms),
        .first_percent = run->first_percent,
        .percent = run->percent,
        .percent_elapsed_ms = run->percent_clock_ms - run->first_clock_ms,
        .since_percent_ms =
            run->unchanged_ms + placer->now_ms - run->confirmed_ms,
    };
    return reservation_remaining_ms(&progress);
}

/* Ends of all that takes capacity of @backend; g_free(). */
static struct expected_end *
expected_ends(const struct placer *placer, const struct backend *backend,
              size_t *n_ends)
{
    struct expected_end *ends =
        g_new0(struct expected_end, backend->runs->len + 1);
    /* What no run takes is that of strays, which are being stopped. */
    struct resources strays = backend->used;
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        ends[i] = (struct expected_end){
            .after_ms = run_remaining_ms(placer, run),
            .need = job_step_backend_need(run_step(run)),
        };
        resources_add(&strays, &ends[i].need, -1);
    }
    *n_ends = backend->runs->len;
    if (backend->strays->len > 0) {
        ends[(*n_ends)++] = (struct expected_end){
            .after_ms = placer->sched->timings.stop_ms,
            .need = strays,
        };
    }
    return ends;
}

/* Whether capacity of @backend may be reserved for a task. */
bool
reserve_may_use(const struct placer *placer, const struct backend *backend,
                const struct placement_request *request)
{
    return backend->pool == placer->pool &&
           sched_backend_usable(placer->sched, backend) &&
           !backend->unreconciled && backend->unknown_strays == 0 &&
           backend->isolation_until_ms <= placer->now_ms &&
           !sched_backend_reserved(placer->sched, backend) &&
           placer_suitable(placer, backend, request);
}

static int64_t
later_ms(int64_t now_ms, int64_t after_ms)
{
    return after_ms == RESERVATION_NEVER_MS ? after_ms : now_ms + after_ms;
}

/* Sets when @need is free on the backend server of @offer, and what is free
 * beside it by @start_ms, or by then if that is 0. */
void
reserve_measure_offer(const struct placer *placer,
                      const struct resources *need, int64_t start_ms,
                      struct offer *offer)
{
    const struct backend *backend = offer->backend;
    size_t n_ends = 0;
    struct expected_end *ends = expected_ends(placer, backend, &n_ends);
    int64_t free_after_ms = reservation_free_after_ms(&backend->entry.capacity,
                                                      ends, n_ends, need);
    offer->free_ms = later_ms(placer->now_ms, free_after_ms);
    offer->beside = reservation_left_beside(
        &backend->entry.capacity, ends, n_ends, need,
        start_ms == 0 ? free_after_ms : start_ms - placer->now_ms);
    g_free(ends);
}

/* Whether a reservation of @priority may not take the place of another on
 * @backend. */
static bool
reserved_as_high(const struct backend *backend, int64_t priority)
{
    return sched_reserved_ahead(backend) &&
           backend->reservation->priority <= priority;
}

bool
reserve_find_offer(const struct placer *placer,
                   const struct placement_request *request, int64_t priority,
                   struct offer *best)
{
    struct resources need = job_step_backend_need(request->step);
    struct offer offers[EXAMINED_MAX];
    int64_t free_after_ms[EXAMINED_MAX];
    size_t n = 0;
    for (int slot = POOL_SLOT_COUNT - 1; slot >= 0; slot--) {
        const GPtrArray *backends = placer->pool->index.slots[slot];
        for (guint i = 0; i < backends->len && n < EXAMINED_MAX; i++) {
            struct backend *backend = g_ptr_array_index(backends, i);
            if (reserved_as_high(backend, priority) ||
                !reserve_may_use(placer, backend, request)) {
                continue;
            }
            offers[n].backend = backend;
            reserve_measure_offer(placer, &need, 0, &offers[n]);
            free_after_ms[n] = offers[n].free_ms;
            n++;
        }
    }
    size_t chosen = reservation_choose(free_after_ms, n);
    if (chosen < n) {
        *best = offers[chosen];
    }
    return chosen < n;
}
