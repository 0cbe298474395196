/*
 * Reservations of capacity that will be free soon, see reservation.c. The
 * leader keeps them in memory; a new leader makes them again from the runs
 * that reports show.
 */
#include "core/jobs/scheduler.h"

#include "core/jobs/reservation.h"
#include "reserve_ahead.h"

enum {
    /* Expected ends change with run reports, which come some times a second.
     */
    UPDATE_MS = 100,
    /* At most this part of a pool's backend servers is reserved, so that the
     * small tasks keep seven eighths; at least one is. */
    RESERVED_DIVISOR = 8,
    /* Each move gives up the capacity that has become free so far. With more,
     * the errors of expected ends can move a reservation without end. */
    MOVES_MAX = 2,
    /* Beyond the delay that estimates of half the true value explain; some
     * run reports. */
    OVERDUE_MS = 1000,
};

static const char HIGHER_WAITS[] = "a higher priority waits";

static void
reservation_destroy(struct reservation *entry)
{
    entry->job->reservations--;
    job_unref(entry->job);
    g_free(entry->backend_id);
    g_free(entry);
}

void
sched_reservations_destroy(struct pool_load *pool)
{
    if (pool->reservations == NULL) {
        return;
    }
    GPtrArray *entries = pool->reservations->entries;
    for (guint i = 0; i < entries->len; i++) {
        reservation_destroy(g_ptr_array_index(entries, i));
    }
    g_ptr_array_unref(entries);
    g_free(pool->reservations);
}

bool
sched_reserved_ahead(const struct backend *backend)
{
    return backend->reservation != NULL &&
           backend->reservation->pool == backend->pool;
}

static struct backend *
backend_of(struct scheduler *sched, const struct reservation *entry)
{
    struct backend *backend = scheduler_find_backend(sched, entry->backend_id);
    return backend != NULL && backend->reservation == entry ? backend : NULL;
}

/* Frees the backend server of @entry for others. */
static void
release_backend(struct scheduler *sched, const struct reservation *entry)
{
    struct backend *backend = backend_of(sched, entry);
    if (backend != NULL) {
        backend->reservation = NULL;
    }
}

static void
remove_entry(struct scheduler *sched, struct reservation *entry)
{
    release_backend(sched, entry);
    sched->stats.reservations--;
    g_ptr_array_remove(entry->pool->reservations->entries, entry);
    reservation_destroy(entry);
}

static void
drop_entry(struct scheduler *sched, struct reservation *entry, const char *why)
{
    sched_log_event(sched, "reservation_dropped",
                    "\"job\":\"%s\",\"occurrence\":%u,\"step\":%u,"
                    "\"backend\":\"%s\",\"why\":\"%s\"",
                    entry->job->id, entry->occurrence, entry->step,
                    entry->backend_id, why);
    remove_entry(sched, entry);
}

/* Drops the reservation on @backend, whose place one of a higher priority
 * takes; false if there is none. */
static bool
drop_lower(struct scheduler *sched, const struct backend *backend)
{
    bool reserved = sched_reserved_ahead(backend);
    if (reserved) {
        drop_entry(sched, backend->reservation, HIGHER_WAITS);
    }
    return reserved;
}

static struct placement_request
request_for(struct job *job, uint32_t occurrence, uint32_t step)
{
    return (struct placement_request){
        .job = job,
        .step = &job->steps[step],
        .occurrence = occurrence,
        .step_index = step,
    };
}

static void
take_offer(struct reservation *entry, const struct offer *offer,
           int64_t now_ms)
{
    g_free(entry->backend_id);
    entry->backend_id = g_strdup(offer->backend->entry.id);
    entry->start_ms = offer->free_ms;
    entry->free_ms = offer->free_ms;
    entry->beside = offer->beside;
    entry->taken_ms = now_ms;
    offer->backend->reservation = entry;
}

static void
log_entry(struct scheduler *sched, const char *event,
          const struct reservation *entry)
{
    sched_log_event(sched, event,
                    "\"job\":\"%s\",\"occurrence\":%u,\"step\":%u,"
                    "\"backend\":\"%s\",\"start_in_ms\":%" G_GINT64_FORMAT
                    ",\"waited_ms\":%" G_GINT64_FORMAT,
                    entry->job->id, entry->occurrence, entry->step,
                    entry->backend_id, entry->start_ms - sched_now(sched),
                    ms_clock_now(&sched->unix_clock) -
                        entry->job->accepted_unix_ms);
}

/* A run that goes on for much longer than estimates explain may never end. */
static bool
may_move(const struct reservation *entry, int64_t now_ms)
{
    int64_t planned_ms = entry->start_ms - entry->taken_ms;
    return entry->moves < MOVES_MAX ||
           now_ms - entry->start_ms > planned_ms + OVERDUE_MS;
}

/* Moves @entry to the best other backend server, if it is better by enough. */
static void
try_move(struct placer *placer, struct reservation *entry)
{
    struct placement_request request =
        request_for(entry->job, entry->occurrence, entry->step);
    struct offer offer;
    if (!may_move(entry, placer->now_ms) ||
        !reserve_find_offer(placer, &request, entry->priority, &offer) ||
        !reservation_should_move(entry->free_ms - placer->now_ms,
                                 offer.free_ms - placer->now_ms)) {
        return;
    }
    release_backend(placer->sched, entry);
    drop_lower(placer->sched, offer.backend);
    take_offer(entry, &offer, placer->now_ms);
    entry->moves++;
    placer->sched->stats.reservations_moved++;
    log_entry(placer->sched, "reservation_moved", entry);
}

/* Why @entry can't stay, or NULL. */
static const char *
reason_to_drop(const struct placer *placer, const struct reservation *entry)
{
    uint32_t startable = reserve_startable_tasks(
        placer, entry->job, entry->occurrence, entry->step);
    if (startable < reserve_entries_for(placer->pool->reservations, entry->job,
                                        entry->occurrence, entry->step)) {
        return "no task waits for it";
    }
    const struct backend *backend = backend_of(placer->sched, entry);
    struct placement_request request =
        request_for(entry->job, entry->occurrence, entry->step);
    if (backend == NULL || !reserve_may_use(placer, backend, &request)) {
        return "backend server takes no work";
    }
    return NULL;
}

/* Drops what is not valid any more; a task that lost its backend server is
 * among the candidates again. */
static void
update_entries(struct placer *placer)
{
    const GPtrArray *entries = placer->pool->reservations->entries;
    for (guint i = entries->len; i > 0; i--) {
        struct reservation *entry = g_ptr_array_index(entries, i - 1);
        const char *why = reason_to_drop(placer, entry);
        if (why != NULL) {
            drop_entry(placer->sched, entry, why);
            continue;
        }
        entry->priority = reserve_queue_priority(placer->sched, entry->job);
        struct offer here = {.backend = backend_of(placer->sched, entry)};
        reserve_measure_offer(placer, &entry->need, entry->start_ms, &here);
        entry->free_ms = here.free_ms;
        entry->start_ms = MIN(entry->start_ms, here.free_ms);
        entry->beside = here.beside;
    }
}

/* Most reservations that the pool may have. */
static guint
entries_max(const struct pool_load *pool)
{
    guint servers = 0;
    for (int slot = 0; slot < POOL_SLOT_COUNT; slot++) {
        servers += pool->index.slots[slot]->len;
    }
    return CLAMP(servers / RESERVED_DIVISOR, 1, RESERVED_MAX);
}

/* The latest reservation of the lowest priority, if that is below @priority;
 * or NULL. */
static struct reservation *
find_lower(const struct pool_reservations *reservations, int64_t priority)
{
    struct reservation *lowest = NULL;
    for (guint i = 0; i < reservations->entries->len; i++) {
        struct reservation *entry =
            g_ptr_array_index(reservations->entries, i);
        if (entry->priority > priority &&
            (lowest == NULL || entry->priority >= lowest->priority)) {
            lowest = entry;
        }
    }
    return lowest;
}

static void
add_entry(struct placer *placer, const struct candidate *candidate,
          const struct offer *offer)
{
    struct scheduler *sched = placer->sched;
    struct reservation *entry = g_new0(struct reservation, 1);
    *entry = (struct reservation){
        .pool = placer->pool,
        .job = job_ref(candidate->job),
        .occurrence = candidate->occurrence,
        .step = candidate->step,
        .priority = candidate->priority,
        .need = job_step_backend_need(&candidate->job->steps[candidate->step]),
    };
    candidate->job->reservations++;
    take_offer(entry, offer, placer->now_ms);
    g_ptr_array_add(placer->pool->reservations->entries, entry);
    sched->stats.reservations++;
    sched->stats.reservations_made++;
    log_entry(sched, "reservation_made", entry);
}

/* Makes a reservation for the first candidate, if the pool may have one more.
 * A candidate for which there is no backend server doesn't stop the others:
 * every second update looks at another one. Returns whether it has looked for
 * a backend server. */
static bool
reserve_for_one(struct placer *placer, const GArray *candidates)
{
    struct pool_reservations *reservations = placer->pool->reservations;
    if (candidates->len == 0) {
        return false;
    }
    guint turn = reservations->turn;
    guint at = turn % 2 == 0 ? 0 : turn / 2 % candidates->len;
    const struct candidate *candidate =
        &g_array_index(candidates, struct candidate, at);
    struct reservation *lower = find_lower(reservations, candidate->priority);
    bool full = reservations->entries->len >= entries_max(placer->pool);
    if (full && lower == NULL) {
        return false;
    }
    struct placement_request request =
        request_for(candidate->job, candidate->occurrence, candidate->step);
    struct offer offer;
    if (!reserve_find_offer(placer, &request, candidate->priority, &offer)) {
        return true;
    }
    if (!drop_lower(placer->sched, offer.backend) && full) {
        drop_entry(placer->sched, lower, HIGHER_WAITS);
    }
    add_entry(placer, candidate, &offer);
    return true;
}

static void
update_pool(struct placer *placer)
{
    struct pool_reservations *reservations = placer->pool->reservations;
    reservations->due_ms = placer->now_ms + UPDATE_MS;
    reservations->turn++;
    update_entries(placer);
    GArray *candidates = reserve_find_candidates(placer);
    bool searched = reserve_for_one(placer, candidates);
    g_array_unref(candidates);
    if (!searched && reservations->entries->len > 0) {
        guint turn = reservations->turn % reservations->entries->len;
        try_move(placer, g_ptr_array_index(reservations->entries, turn));
    }
}

void
placer_reserve_ahead(struct placer *placer)
{
    struct pool_load *pool = placer->pool;
    if (!placer->sched->policy.reservations) {
        return;
    }
    if (pool->reservations == NULL) {
        pool->reservations = g_new0(struct pool_reservations, 1);
        pool->reservations->entries = g_ptr_array_new();
        pool->reservations->least = RESERVE_NOTHING_WAITS;
    }
    if (placer->now_ms >= pool->reservations->due_ms) {
        update_pool(placer);
    }
    placer->reserved = pool->reservations->entries->len > 0;
}

static bool
is_for(const struct reservation *entry,
       const struct placement_request *request)
{
    return entry->job == request->job &&
           entry->occurrence == request->occurrence &&
           entry->step == request->step_index;
}

static struct reserved_start
reserved_start_of(const struct reservation *entry, int64_t now_ms)
{
    return (struct reserved_start){
        .after_ms = entry->start_ms - now_ms,
        .beside = entry->beside,
    };
}

bool
placer_reservation_allows(const struct placer *placer,
                          const struct backend *backend,
                          const struct placement_request *request)
{
    if (backend->reservation == NULL || !sched_reserved_ahead(backend) ||
        request->step->long_running) {
        return true;
    }
    const struct reservation *entry = backend->reservation;
    if (is_for(entry, request) ||
        reserve_queue_priority(placer->sched, request->job) <
            entry->priority) {
        return true;
    }
    struct reserved_start start = reserved_start_of(entry, placer->now_ms);
    struct resources need = job_step_backend_need(request->step);
    bool allowed =
        reservation_may_backfill(&start, &need, request->step->estimate_ms);
    backend->pool->reservation_denials += !allowed;
    return allowed;
}

/* The reservation of the task that starts on @backend: that of the backend
 * server, or else the latest of its step; NULL if it has none. */
static struct reservation *
find_used(const struct pool_reservations *reservations,
          const struct backend *backend,
          const struct placement_request *request)
{
    struct reservation *used = NULL;
    for (guint i = 0; i < reservations->entries->len; i++) {
        struct reservation *entry =
            g_ptr_array_index(reservations->entries, i);
        if (!is_for(entry, request)) {
            continue;
        }
        if (backend->reservation == entry) {
            return entry;
        }
        if (used == NULL || entry->free_ms > used->free_ms) {
            used = entry;
        }
    }
    return used;
}

void
placer_reservation_used(struct placer *placer, const struct backend *backend,
                        const struct placement_request *request)
{
    struct scheduler *sched = placer->sched;
    if (request->job->reservations > 0) {
        struct reservation *used =
            find_used(placer->pool->reservations, backend, request);
        if (used != NULL) {
            sched->stats.reservations_used++;
            log_entry(sched, "reservation_used", used);
            remove_entry(sched, used);
        }
    }
    if (!sched_reserved_ahead(backend) || request->step->long_running) {
        return;
    }
    struct reservation *entry = backend->reservation;
    struct reserved_start start = reserved_start_of(entry, placer->now_ms);
    if (reserve_queue_priority(sched, request->job) >= entry->priority) {
        sched->stats.backfilled++;
    }
    if (!reservation_ends_before(&start, request->step->estimate_ms)) {
        struct resources need = job_step_backend_need(request->step);
        resources_add(&entry->beside, &need, -1);
    }
}
