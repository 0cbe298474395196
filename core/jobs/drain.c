/*
 * Moves service tasks off backend servers that are draining, such as in a
 * scale-in: one task of a step after the other while the others still serve,
 * instead of all ending at once when the backend server leaves.
 */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

static void
empty_backend(struct scheduler *sched, const struct backend *backend)
{
    for (guint i = 0; i < backend->runs->len; i++) {
        struct run *run = g_ptr_array_index(backend->runs, i);
        if (run->state == RUN_WORKING && run_step(run)->long_running &&
            sched_run_may_stop(run) && sched_fits_elsewhere(sched, run)) {
            sched_run_stop(sched, run);
        }
    }
}

void
sched_move_off_draining(struct scheduler *sched)
{
    for (guint i = 0; i < sched->draining->len; i++) {
        const struct backend *backend = g_ptr_array_index(sched->draining, i);
        if (backend->entry.draining && backend->listed &&
            !backend->unresponsive) {
            empty_backend(sched, backend);
        }
    }
}
