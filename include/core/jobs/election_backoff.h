/*
 * When a process claims a vacant duty. Answers many processes that see the
 * vacancy at once: those on strong hosts go first, equals one by one.
 */
#ifndef CORE_JOBS_ELECTION_BACKOFF_H
#define CORE_JOBS_ELECTION_BACKOFF_H

#include <stdbool.h>
#include <stdint.h>

/** enum election_action - what to do about the duty now */
enum election_action {
    ELECTION_NONE,
    ELECTION_WAIT,
    ELECTION_CAMPAIGN,
};

/** struct election_backoff - @waited: the wait for the present vacancy is over
 */
struct election_backoff {
    bool waited;
};

/**
 * election_backoff_next() - step for a duty that is vacant, or not
 * @cores: processor of this host, in cores
 * @chance: random number from 0 to 1
 * @delay_ms: receives how long to wait, for ELECTION_WAIT
 */
enum election_action
election_backoff_next(struct election_backoff *turn, bool vacant, double cores,
                      double chance, int64_t *delay_ms);

#endif
