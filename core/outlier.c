/* Ejects hosts whose failures in a row are too many to be chance. */
#include "core/outlier.h"

#include <glib.h>
#include <math.h>

enum {
    /* At this many outcomes the counts are halved, so that old ones fade. */
    DECAY_OUTCOMES = 1024,
    DOUBLINGS_MAX = 5,
    FAILURES_MAX = 50,
};

/* A host is an outlier if its failures in a row would happen by chance with at
 * most this probability. */
static const double CHANCE_PROBABILITY_MAX = 1e-6;

static void
decay(struct outlier_pool *pool)
{
    if (pool->succeeded + pool->failed >= DECAY_OUTCOMES) {
        pool->succeeded /= 2;
        pool->failed /= 2;
    }
}

void
outlier_succeeded(struct outlier *host, struct outlier_pool *pool)
{
    pool->succeeded += 1;
    decay(pool);
    host->failures_in_row = 0;
    if (host->state == OUTLIER_PROBING) {
        outlier_reinstate(host, pool);
        host->ejections = 0;
    }
}

static int64_t
eject(struct outlier *host)
{
    uint32_t doublings = MIN(host->ejections, DOUBLINGS_MAX);
    host->state = OUTLIER_EJECTED;
    host->ejections++;
    return MIN((int64_t)OUTLIER_EJECTION_MIN_MS << doublings,
               OUTLIER_EJECTION_MAX_MS);
}

static float
failures_of_others(const struct outlier *host, const struct outlier_pool *pool)
{
    return MAX(pool->failed - (float)host->failures_in_row, 0);
}

/* Number of failures in a row that a host with the failure rate of the other
 * hosts has with a probability of at most CHANCE_PROBABILITY_MAX. */
static uint32_t
failures_needed(const struct outlier *host, const struct outlier_pool *pool)
{
    double failed = failures_of_others(host, pool);
    double failure_rate = failed / MAX(failed + pool->succeeded, 1);
    if (failure_rate <= 0) {
        return OUTLIER_FAILURES_MIN;
    }
    double needed =
        MIN(log(CHANCE_PROBABILITY_MAX) / log(MIN(failure_rate, 0.9)),
            FAILURES_MAX);
    return MAX((uint32_t)ceil(needed), OUTLIER_FAILURES_MIN);
}

static bool
is_outlier(const struct outlier *host, const struct outlier_pool *pool)
{
    return pool->succeeded > failures_of_others(host, pool) &&
           host->failures_in_row >= failures_needed(host, pool);
}

int64_t
outlier_failed(struct outlier *host, struct outlier_pool *pool)
{
    pool->failed += 1;
    decay(pool);
    host->failures_in_row++;
    if (host->state == OUTLIER_PROBING) {
        return eject(host);
    }
    if (host->state == OUTLIER_EJECTED ||
        host->failures_in_row < OUTLIER_FAILURES_MIN ||
        !is_outlier(host, pool) || pool->ejected >= pool->hosts / 3) {
        return 0;
    }
    pool->ejected++;
    return eject(host);
}

void
outlier_discount_failure(struct outlier *host)
{
    if (host->failures_in_row > 0) {
        host->failures_in_row--;
    }
}

void
outlier_probe(struct outlier *host)
{
    host->state = OUTLIER_PROBING;
    host->failures_in_row = 0;
}

void
outlier_reinstate(struct outlier *host, struct outlier_pool *pool)
{
    if (host->state != OUTLIER_ROUTED) {
        pool->ejected--;
        host->state = OUTLIER_ROUTED;
    }
}
