/*
 * Leases of a backend server that has started again under the same id without
 * being noticed. The end of a lease is a time on the clock of the incarnation
 * that is known. On that of a later one, which begins anew, it is far ahead,
 * so a later one that carries out a start holds the longest lease that it
 * accepts.
 */
#include "scheduler_state.h"

void
sched_start_unseen(struct scheduler *sched, struct backend *backend)
{
    backend->unseen_ms = sched_now(sched);
    sched_longer_lease(
        sched,
        sched_lease_over_ms(backend->unseen_ms, sched->lease_accepted_max_ms));
}

void
sched_clock_behind(struct scheduler *sched, struct backend *backend,
                   int64_t clock_ms, int64_t expected_ms)
{
    sched_log_event(sched, "backend_clock_behind",
                    "\"backend\":\"%s\",\"started\":%" G_GINT64_FORMAT
                    ",\"clock_ms\":%" G_GINT64_FORMAT
                    ",\"expected_ms\":%" G_GINT64_FORMAT,
                    backend->entry.id, backend->entry.incarnation_start_ms,
                    clock_ms, expected_ms);
    sched_start_unseen(sched, backend);
    /* Nothing more starts there until a report shows the incarnation. */
    backend->report_received = false;
    sched_backend_changed(sched, backend);
    sched_report_at_once(sched, backend);
}

void
sched_incarnation_shown(struct backend *backend, int64_t requested_ms)
{
    if (requested_ms >= backend->unseen_ms) {
        backend->unseen_ms = 0;
    }
}

int64_t
sched_unseen_lease_left_ms(const struct scheduler *sched,
                           const struct backend *backend)
{
    if (backend->unseen_ms == 0) {
        return 0;
    }
    /* A request to renew the lease may have reached it as well. */
    int64_t over_ms =
        sched_lease_over_ms(MAX(backend->granted_ms, backend->unseen_ms),
                            sched->lease_accepted_max_ms);
    return MAX(over_ms - sched_now(sched), 0);
}

bool
sched_start_may_be_unseen(const struct backend *backend)
{
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (run->start_in_flight && !run->known_connection) {
            return true;
        }
    }
    return false;
}

bool
sched_leases_over(const struct scheduler *sched, const struct backend *backend)
{
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (run->start_in_flight) {
            return false;
        }
    }
    return sched_unseen_lease_left_ms(sched, backend) == 0 &&
           backend_leases_expired(backend, sched_now(sched));
}
