/*
 * Load pattern: the leader's host runs at a fraction of its speed, or the load
 * is too much for any host. In the first case another host serves better; in
 * the second each takeover costs callers about a second and gains nothing, so
 * the time to a handover grows with recent takeovers.
 */
#include "core/jobs/leader_fitness.h"

#include <glib.h>

enum {
    /* Entry hosts give up a call to the leader after 700 ms; what is this late
     * is rarely of use. */
    LATE_MS = 500,
    /* Three times the 20 ms at which the loop is looked at: it has work, or no
     * processor, for three quarters of the time. A process that waits for the
     * store or for backend servers has nothing to do meanwhile. */
    IDLE_LATE_MS = 60,
    /* A takeover costs callers about a second, so a shorter lateness costs
     * less than handing over. */
    SUSTAINED_MS = 2000,
    /* A freeze or a long load makes one late sample, and the work that has
     * piled up meanwhile may make another. */
    LATE_SAMPLES_MIN = 3,
    /* A process that runs in short slices handles several renewals in one; the
     * later ones of them are on time. Shorter than a renewal's interval. */
    PERIOD_MIN_MS = 500,
    /* A weak host reads the records of a large fleet for ten seconds after a
     * takeover, and is late meanwhile; this covers several such takeovers. */
    TAKEOVER_MEMORY_MS = 30000,
};

void
leader_fitness_exhausted(struct leader_fitness *fitness, int64_t idle_lag_ms)
{
    fitness->exhausted = fitness->exhausted || idle_lag_ms >= IDLE_LATE_MS;
}

void
leader_fitness_lag(struct leader_fitness *fitness, int64_t now_ms,
                   int64_t lag_ms)
{
    fitness->period_lag_ms = MAX(fitness->period_lag_ms, lag_ms);
    if (now_ms - fitness->period_begin_ms < PERIOD_MIN_MS) {
        return;
    }
    int64_t worst_ms = fitness->period_lag_ms;
    fitness->period_lag_ms = 0;
    fitness->period_begin_ms = now_ms;
    leader_fitness_sample(fitness, now_ms, worst_ms);
}

void
leader_fitness_sample(struct leader_fitness *fitness, int64_t now_ms,
                      int64_t lag_ms)
{
    bool late = lag_ms >= LATE_MS || fitness->exhausted;
    fitness->exhausted = false;
    if (!late) {
        leader_fitness_restart(fitness);
        return;
    }
    if (fitness->late_samples == 0) {
        fitness->late_since_ms = now_ms;
    }
    fitness->late_samples++;
    fitness->worst_lag_ms = MAX(fitness->worst_lag_ms, lag_ms);
}

void
leader_fitness_restart(struct leader_fitness *fitness)
{
    fitness->exhausted = false;
    fitness->late_samples = 0;
    fitness->late_since_ms = 0;
    fitness->worst_lag_ms = 0;
}

void
leader_fitness_term_seen(struct leader_fitness *fitness, int64_t now_ms,
                         int64_t revision)
{
    /* When the first one was written isn't known. */
    if (fitness->term_revision != 0 && fitness->term_revision != revision) {
        fitness
            ->takeovers_ms[fitness->n_takeovers % LEADER_FITNESS_TAKEOVERS] =
            now_ms;
        fitness->n_takeovers++;
    }
    fitness->term_revision = revision;
}

int64_t
leader_fitness_sustained_ms(const struct leader_fitness *fitness,
                            int64_t now_ms)
{
    uint32_t kept = MIN(fitness->n_takeovers, LEADER_FITNESS_TAKEOVERS);
    uint32_t recent = 0;
    for (uint32_t i = 0; i < kept; i++) {
        if (now_ms - fitness->takeovers_ms[i] < TAKEOVER_MEMORY_MS) {
            recent++;
        }
    }
    /* One takeover may have had another reason. */
    return recent <= 1 ? SUSTAINED_MS : (int64_t)SUSTAINED_MS << recent;
}

bool
leader_fitness_hand_over(const struct leader_fitness *fitness, int64_t now_ms)
{
    return leader_fitness_slow(fitness) &&
           now_ms - fitness->late_since_ms >=
               leader_fitness_sustained_ms(fitness, now_ms);
}

bool
leader_fitness_slow(const struct leader_fitness *fitness)
{
    return fitness->late_samples >= LATE_SAMPLES_MIN;
}
