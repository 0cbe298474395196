/*
 * When a process claims a vacant duty. Answers many processes that see the
 * vacancy at once: those on strong hosts go first, equals one by one.
 */
#ifndef CORE_JOBS_CLAIM_TURN_H
#define CORE_JOBS_CLAIM_TURN_H

#include <stdbool.h>
#include <stdint.h>

/** enum claim_step - what to do about the duty now */
enum claim_step {
    CLAIM_LEAVE,
    CLAIM_WAIT,
    CLAIM_NOW,
};

/** struct claim_turn - @waited: the wait for the present vacancy is over */
struct claim_turn {
    bool waited;
};

/**
 * claim_turn_next() - step for a duty that is vacant, or not
 * @cores: processor of this host, in cores
 * @chance: random number from 0 to 1
 * @delay_ms: receives how long to wait, for CLAIM_WAIT
 */
enum claim_step
claim_turn_next(struct claim_turn *turn, bool vacant, double cores,
                double chance, int64_t *delay_ms);

#endif
