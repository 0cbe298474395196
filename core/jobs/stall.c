#include "core/jobs/stall.h"

#include <glib.h>

enum {
    /* A report is read several times in this time. */
    BOUND_MIN_MS = 2500,
    /* Progress is reported in whole percent. */
    PERCENT = 100,
    /* Data on another rack doubles a task's time, and estimates are rough. */
    PACE_FACTOR = 4,
    /* Beyond a month. */
    DOUBLINGS_MAX = 20,
};

int64_t
stall_bound_ms(int64_t estimate_ms, int64_t longest_pause_ms,
               uint32_t findings)
{
    int64_t pause_ms = MAX(longest_pause_ms, estimate_ms / PERCENT);
    int64_t bound_ms = MAX(pause_ms * PACE_FACTOR, BOUND_MIN_MS);
    return bound_ms << MIN(findings, DOUBLINGS_MAX);
}
