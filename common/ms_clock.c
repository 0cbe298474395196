#include "common/ms_clock.h"

#include <glib.h>

static int64_t
system_now(void *ctx)
{
    (void)ctx;
    return g_get_monotonic_time() / 1000;
}

static int64_t
manual_now(void *ctx)
{
    return *(int64_t *)ctx;
}

int64_t
ms_clock_now(const struct ms_clock *clock)
{
    return clock->now(clock->ctx);
}

struct ms_clock
ms_clock_system(void)
{
    return (struct ms_clock){.now = system_now};
}

struct ms_clock
ms_clock_manual(int64_t *now_ms)
{
    return (struct ms_clock){.now = manual_now, .ctx = now_ms};
}
