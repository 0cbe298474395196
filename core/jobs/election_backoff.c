#include "core/jobs/election_backoff.h"

#include <glib.h>

enum {
    /* Claims of equal hosts are spread over this time. */
    ELECTION_SPREAD_MS = 100,
    /* Longest extra delay of a host with little processor capacity. */
    WEAK_HOST_DELAY_MAX_MS = 500,
};

/* Enough to run the scheduler of a fleet of full size. */
static const double STRONG_HOST_MIN_CORES = 0.5;

enum election_action
election_backoff_next(struct election_backoff *backoff, bool vacant,
                      double cores, double random_fraction, int64_t *delay_ms)
{
    if (!vacant) {
        backoff->waited = false;
        return ELECTION_NONE;
    }
    if (backoff->waited) {
        backoff->waited = false;
        return ELECTION_CAMPAIGN;
    }
    backoff->waited = true;
    double shortfall = 1 - MIN(cores / STRONG_HOST_MIN_CORES, 1);
    *delay_ms = (int64_t)(shortfall * WEAK_HOST_DELAY_MAX_MS +
                          random_fraction * ELECTION_SPREAD_MS);
    return ELECTION_WAIT;
}
