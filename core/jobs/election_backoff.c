#include "core/jobs/election_backoff.h"

#include <glib.h>

enum {
    /* Claims of equal hosts are spread over this time. */
    ELECTION_SPREAD_MS = 100,
    /* Longest extra delay of a host with little processor capacity where a
     * strong one is known. Reading the records of a large fleet takes a weak
     * host ten seconds, and a strong one under a second. */
    WEAK_HOST_DELAY_MAX_MS = 1500,
    /* The same where no other host is known. */
    WEAK_HOST_DELAY_ALONE_MS = 500,
    /* What makes a host slow for seconds is often not over when it has handed
     * its leadership over. */
    SLOW_HOST_MS = 15000,
    /* Covers a lease that runs out by itself and the claim of a weak host;
     * after that nobody else can lead. */
    SLOW_HOST_YIELD_MS = 3000,
};

/* Enough to run the scheduler of a fleet of full size. */
static const double STRONG_HOST_MIN_CORES = 0.5;

static int64_t
weak_host_delay_ms(double cores, double strongest_cores)
{
    double reference = strongest_cores > 0
                           ? MIN(strongest_cores, STRONG_HOST_MIN_CORES)
                           : STRONG_HOST_MIN_CORES;
    double shortfall = 1 - MIN(cores / reference, 1);
    return (int64_t)(shortfall * (strongest_cores > 0
                                      ? WEAK_HOST_DELAY_MAX_MS
                                      : WEAK_HOST_DELAY_ALONE_MS));
}

enum election_action
election_backoff_next(struct election_backoff *backoff, bool vacant,
                      double cores, double strongest_cores,
                      double random_fraction, int64_t *delay_ms)
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
    *delay_ms = weak_host_delay_ms(cores, strongest_cores) +
                (int64_t)(random_fraction * ELECTION_SPREAD_MS);
    return ELECTION_WAIT;
}

void
election_backoff_slow(struct election_backoff *backoff, int64_t now_ms)
{
    backoff->slow_until_ms = now_ms + SLOW_HOST_MS;
}

bool
election_backoff_is_slow(const struct election_backoff *backoff,
                         int64_t now_ms)
{
    return now_ms < backoff->slow_until_ms;
}

bool
election_backoff_yields(struct election_backoff *backoff, bool vacant,
                        int64_t now_ms)
{
    if (!vacant || !election_backoff_is_slow(backoff, now_ms)) {
        backoff->yield_until_ms = 0;
        return false;
    }
    if (backoff->yield_until_ms == 0) {
        backoff->yield_until_ms = now_ms + SLOW_HOST_YIELD_MS;
    }
    return now_ms < backoff->yield_until_ms;
}
