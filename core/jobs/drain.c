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
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct backend *backend = value;
        if (backend->entry.draining && backend->listed &&
            !backend->unresponsive) {
            empty_backend(sched, backend);
        }
    }
}
