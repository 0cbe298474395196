#include "core/outlier.h"

#include <glib.h>
#include <math.h>

enum {
    /* Outcomes after which all are halved. */
    POOL_FADE_OUTCOMES = 1024,
    MAX_DOUBLINGS = 5,
    MAX_FAILURES = 50,
};

/* Probability up to which failures in a row are taken for chance. */
static const double CHANCE = 1e-6;

static void
fade(struct outlier_pool *pool)
{
    if (pool->succeeded + pool->failed >= POOL_FADE_OUTCOMES) {
        pool->succeeded /= 2;
        pool->failed /= 2;
    }
}

void
outlier_succeeded(struct outlier *host, struct outlier_pool *pool)
{
    pool->succeeded += 1;
    fade(pool);
    host->failures_in_row = 0;
    if (host->state == OUTLIER_PROBING) {
        outlier_reinstate(host, pool);
        host->ejections = 0;
    }
}

static int64_t
eject(struct outlier *host)
{
    uint32_t doublings = MIN(host->ejections, MAX_DOUBLINGS);
    host->state = OUTLIER_EJECTED;
    host->ejections++;
    return MIN((int64_t)OUTLIER_EJECTION_MIN_MS << doublings,
               OUTLIER_EJECTION_MAX_MS);
}

static float
others_failed(const struct outlier *host, const struct outlier_pool *pool)
{
    return MAX(pool->failed - (float)host->failures_in_row, 0);
}

/* Failures in a row that chance alone would hardly give a host that is like
 * the others of its pool. */
static uint32_t
failures_needed(const struct outlier *host, const struct outlier_pool *pool)
{
    double failed = others_failed(host, pool);
    double part = failed / MAX(failed + pool->succeeded, 1);
    if (part <= 0) {
        return OUTLIER_FAILURES_MIN;
    }
    double needed = MIN(log(CHANCE) / log(MIN(part, 0.9)), MAX_FAILURES);
    return MAX((uint32_t)ceil(needed), OUTLIER_FAILURES_MIN);
}

static bool
stands_out(const struct outlier *host, const struct outlier_pool *pool)
{
    return pool->succeeded > others_failed(host, pool) &&
           host->failures_in_row >= failures_needed(host, pool);
}

int64_t
outlier_failed(struct outlier *host, struct outlier_pool *pool)
{
    pool->failed += 1;
    fade(pool);
    host->failures_in_row++;
    if (host->state == OUTLIER_PROBING) {
        return eject(host);
    }
    if (host->state == OUTLIER_EJECTED ||
        host->failures_in_row < OUTLIER_FAILURES_MIN ||
        !stands_out(host, pool) || pool->ejected >= pool->hosts / 3) {
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
