/*
 * Delay before a process claims vacant leadership, for vacancies that many
 * processes see at once: processes on strong hosts claim first, and a random
 * delay spreads those on equal hosts. A host that was slow lately leaves the
 * claim to others for some seconds.
 */
#ifndef CORE_JOBS_ELECTION_BACKOFF_H
#define CORE_JOBS_ELECTION_BACKOFF_H

#include <stdbool.h>
#include <stdint.h>

/** enum election_action - what to do about leadership now */
enum election_action {
    ELECTION_NONE,
    ELECTION_WAIT,
    ELECTION_CAMPAIGN,
};

/**
 * struct election_backoff - state of the back-off
 * @waited: ELECTION_WAIT was returned for the current vacancy
 * @slow_until_ms: until when this host counts as slow
 * @yield_until_ms: until when a slow host leaves the current vacancy to
 * others; 0: it isn't doing so
 */
struct election_backoff {
    bool waited;
    int64_t slow_until_ms;
    int64_t yield_until_ms;
};

/**
 * election_backoff_next() - next action
 * @vacant: leadership may be claimed
 * @cores: processor capacity of this host, in cores
 * @strongest_cores: that of the strongest host known; 0: none is known
 * @random_fraction: random number from 0 to 1
 * @delay_ms: receives the delay, for ELECTION_WAIT
 */
enum election_action
election_backoff_next(struct election_backoff *backoff, bool vacant,
                      double cores, double strongest_cores,
                      double random_fraction, int64_t *delay_ms);

/** election_backoff_slow() - this host led and has handed over, as it is too
 * slow. */
void
election_backoff_slow(struct election_backoff *backoff, int64_t now_ms);

/** election_backoff_is_slow() - whether it was found to be so lately. */
bool
election_backoff_is_slow(const struct election_backoff *backoff,
                         int64_t now_ms);

/**
 * election_backoff_yields() - whether this host leaves the claim to others now
 * @vacant: leadership may be claimed
 */
bool
election_backoff_yields(struct election_backoff *backoff, bool vacant,
                        int64_t now_ms);

#endif
