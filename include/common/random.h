/* Seeded random numbers, passed to all code that needs randomness. */
#ifndef COMMON_RANDOM_H
#define COMMON_RANDOM_H

#include <stdint.h>

/** struct random - state of one xorshift64* generator. */
struct random {
    uint64_t state;
};

/** random_seeded() - generator whose sequence depends on @seed alone. */
struct random
random_seeded(uint64_t seed);

/** random_next() - next 64-bit number. */
uint64_t
random_next(struct random *random);

/** random_below() - uniform number in [0, @bound); 0 when @bound is 0. */
uint32_t
random_below(struct random *random, uint32_t bound);

#endif
