/* Millisecond clock, passed to all code that reads the time. */
#ifndef COMMON_MS_CLOCK_H
#define COMMON_MS_CLOCK_H

#include <stdint.h>

/**
 * struct ms_clock - source of monotonic time
 * @now: returns milliseconds since an arbitrary start; never decreases
 * @ctx: passed to @now
 */
struct ms_clock {
    int64_t (*now)(void *ctx);
    void *ctx;
};

/** ms_clock_now() - current monotonic time in milliseconds. */
int64_t
ms_clock_now(const struct ms_clock *clock);

/** ms_clock_system() - clock backed by the kernel's monotonic clock. */
struct ms_clock
ms_clock_system(void);

/** ms_clock_manual() - clock that returns *@now_ms, for tests. */
struct ms_clock
ms_clock_manual(int64_t *now_ms);

#endif
