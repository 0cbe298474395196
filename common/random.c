#include "common/random.h"

struct random
random_seeded(uint64_t seed)
{
    uint64_t mixed = (seed + 1) * UINT64_C(0x9E3779B97F4A7C15);
    return (struct random){.state = mixed == 0 ? 1 : mixed};
}

uint64_t
random_next(struct random *random)
{
    random->state ^= random->state >> 12;
    random->state ^= random->state << 25;
    random->state ^= random->state >> 27;
    return random->state * UINT64_C(0x2545F4914F6CDD1D);
}

uint32_t
random_below(struct random *random, uint32_t bound)
{
    if (bound == 0) {
        return 0;
    }
    return (uint32_t)((random_next(random) >> 32) * bound >> 32);
}
