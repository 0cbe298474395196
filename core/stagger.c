/* Staggers the writes of controllers that plan the same action. */
#include "core/stagger.h"

enum {
    /* Shortest delay is the spread divided by this, so that the watch can
     * deliver a write of another controller first. */
    MIN_DELAY_DIVISOR = 8,
};

static uint64_t
hash_text(uint64_t hash, const char *text)
{
    for (const char *c = text; *c != '\0'; c++) {
        hash = (hash ^ (uint8_t)*c) * 1099511628211ULL;
    }
    return (hash ^ 0xff) * 1099511628211ULL;
}

int64_t
stagger_delay_ms(const char *controller, const char *pool, int64_t spread_ms)
{
    uint64_t hash = hash_text(14695981039346656037ULL, controller);
    hash = hash_text(hash, pool);
    hash ^= hash >> 29;
    int64_t min_delay_ms = spread_ms / MIN_DELAY_DIVISOR;
    return min_delay_ms +
           (int64_t)(hash % (uint64_t)(spread_ms - min_delay_ms + 1));
}
