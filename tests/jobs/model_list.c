/* Backend servers of the model that leave the list while they are cut off. */
#include "model_state.h"

enum {
    /* Leases have to expire meanwhile, so that the record is deleted. */
    ABSENCE_MIN_MS = 3300,
    ABSENCE_MAX_MS = 5500,
};

#define ABSENCE_CHANCE 0.1

bool
is_away(const struct sim *sim, int backend)
{
    return sim->now_ms < sim->away_until_ms[backend];
}

/* A leader that can't reach the store reads no list. */
static void
update_list(struct leader *leader)
{
    struct sim *sim = leader->sim;
    for (int i = 0; i < BACKEND_COUNT; i++) {
        const struct backend *backend =
            scheduler_find_backend(leader->sched, sim->backends[i].id);
        bool listed = backend != NULL && backend->listed;
        if (is_away(sim, i)) {
            scheduler_backend_removed(leader->sched, sim->backends[i].id);
        }
        else if (!listed) {
            struct backend_entry entry;
            fill_entry(&entry, sim, i, sim->lives[i].start_ms);
            scheduler_backend_updated(leader->sched, &entry);
        }
    }
}

void
inject_absences(struct sim *sim)
{
    if (!sim->faults.late_writes) {
        return;
    }
    for (int i = 0; i < BACKEND_COUNT; i++) {
        if (!is_away(sim, i) && faults_active(sim) &&
            chance(sim, ABSENCE_CHANCE)) {
            sim->away_until_ms[i] =
                sim->now_ms +
                g_rand_int_range(sim->random, ABSENCE_MIN_MS, ABSENCE_MAX_MS);
        }
    }
    if (!sim->current->cut_from_store) {
        update_list(sim->current);
    }
}
