/* Runs the main loop until a condition is met. */
#ifndef TESTS_MEMBERSHIP_WAIT_H
#define TESTS_MEMBERSHIP_WAIT_H

#include <glib.h>
#include <stdbool.h>

#include "common/ms_clock.h"

enum {
    WAIT_MAX_MS = 20 * 1000,
};

static gboolean
on_wake_up(void *ctx)
{
    return G_SOURCE_CONTINUE;
}

/* Runs the loop until @is_met returns true; false after WAIT_MAX_MS. */
static bool
wait_until(bool (*is_met)(void *ctx), void *ctx)
{
    struct ms_clock clock = ms_clock_system();
    int64_t end_ms = ms_clock_now(&clock) + WAIT_MAX_MS;
    guint timer = g_timeout_add(5, on_wake_up, NULL);
    bool met = is_met(ctx);
    while (!met && ms_clock_now(&clock) < end_ms) {
        g_main_context_iteration(NULL, TRUE);
        met = is_met(ctx);
    }
    g_source_remove(timer);
    return met;
}

#endif
