#include "core/stagger.h"

enum {
    /* Nobody else's step may still be on its way within this part. */
    LEAST_PART = 8,
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
    int64_t least_ms = spread_ms / LEAST_PART;
    return least_ms + (int64_t)(hash % (uint64_t)(spread_ms - least_ms + 1));
}
