/*
 * Load pattern: more commands than a slow link or a twentieth of a core
 * carries. Answers come late, commands time out and are repeated, and the
 * repeats take what is left. So start commands are limited by what is
 * answered, and work is shed in the order of what it costs callers.
 */
#include "core/jobs/overload.h"

#include <glib.h>

enum {
    INTERVAL_MS = 200,
    /* A start command is answered within some milliseconds; several to one
     * backend server wait for one another. */
    ANSWER_LATE_MS = 120,
    LOOP_LATE_MS = 80,
    /* The store answers within milliseconds, or a few tenths of a second when
     * it is slow. */
    RENEWAL_LATE_MS = 500,
    /* Fewer answers say more about their backend servers than about us. */
    LATE_COUNT_MIN = 4,
    WINDOW_FIRST = 32,
    WINDOW_MIN = 8,
    WINDOW_MAX = 4096,
    /* Calm time after which one level less is shed. */
    CALM_MS = 600,
    REPORT_GAP_MS = 15,
    REPORT_GAP_LATE_MS = 30,
    REPORT_GAP_SHED_MS = 300,
    PATIENCE_PER_LEVEL_MS = 500,
    /* A level more or less takes about this long, so an earlier return would
     * be refused again. */
    RETRY_AFTER_MS = 1000,
};

static const double WINDOW_DECREASE = 0.6;
static const double WINDOW_INCREASE = 1.5;

void
overload_init(struct overload *overload)
{
    *overload = (struct overload){.window = WINDOW_FIRST};
}

void
overload_sent(struct overload *overload)
{
    overload->in_flight++;
    overload->most_in_flight =
        MAX(overload->most_in_flight, overload->in_flight);
}

void
overload_not_sent(struct overload *overload)
{
    if (overload->in_flight > 0) {
        overload->in_flight--;
    }
}

void
overload_answered(struct overload *overload, int64_t delay_ms)
{
    overload_not_sent(overload);
    if (delay_ms < 0) {
        overload->missed++;
        return;
    }
    overload->answered++;
    if (delay_ms > ANSWER_LATE_MS) {
        overload->late++;
    }
}

void
overload_loop_lag(struct overload *overload, int64_t lag_ms)
{
    overload->worst_lag_ms = MAX(overload->worst_lag_ms, lag_ms);
}

void
overload_renewal_delay(struct overload *overload, int64_t delay_ms)
{
    overload->renewal_late =
        overload->renewal_late || delay_ms > RENEWAL_LATE_MS;
}

static bool
interval_late(const struct overload *overload)
{
    /* A rack that has gone dark answers nothing, while all others answer in
     * time. */
    bool none_in_time = overload->late == overload->answered;
    return overload->worst_lag_ms > LOOP_LATE_MS || overload->renewal_late ||
           (overload->late >= LATE_COUNT_MIN &&
            2 * overload->late > overload->answered) ||
           (overload->missed >= LATE_COUNT_MIN && none_in_time);
}

static void
adjust_window(struct overload *overload, bool late)
{
    if (late) {
        overload->window =
            MAX((uint32_t)(overload->window * WINDOW_DECREASE), WINDOW_MIN);
    }
    /* A window that was not used says nothing about what fits. */
    else if (overload->most_in_flight * 2 > overload->window) {
        overload->window =
            MIN((uint32_t)(overload->window * WINDOW_INCREASE), WINDOW_MAX);
    }
}

/* A leader that is merely at its limit has a large window. */
static void
update_exhausted(struct overload *overload)
{
    if (overload->level < SHED_REPORTS) {
        overload->exhausted = false;
    }
    else if (overload->level == SHED_JOBS &&
             overload->window <= WINDOW_FIRST) {
        overload->exhausted = true;
    }
}

bool
overload_update(struct overload *overload, int64_t now_ms)
{
    if (overload->begin_ms == 0) {
        overload->begin_ms = now_ms;
    }
    if (now_ms - overload->begin_ms < INTERVAL_MS) {
        return false;
    }
    enum shed_level before = overload->level;
    bool late = interval_late(overload);
    adjust_window(overload, late);
    if (late) {
        overload->calm_since_ms = now_ms;
        overload->level = MIN(overload->level + 1, SHED_JOBS);
    }
    else if (overload->level > SHED_NOTHING &&
             now_ms - overload->calm_since_ms >= CALM_MS) {
        overload->calm_since_ms = now_ms;
        overload->level--;
    }
    update_exhausted(overload);
    overload->begin_ms = now_ms;
    overload->most_in_flight = overload->in_flight;
    overload->answered = 0;
    overload->late = 0;
    overload->missed = 0;
    overload->worst_lag_ms = 0;
    overload->renewal_late = false;
    return overload->level != before;
}

bool
overload_exhausted(const struct overload *overload)
{
    return overload->exhausted;
}

bool
overload_may_start(const struct overload *overload)
{
    return overload->in_flight < overload->window;
}

int64_t
overload_report_gap_ms(const struct overload *overload)
{
    if (overload->level >= SHED_REPORTS) {
        return REPORT_GAP_SHED_MS;
    }
    return overload->level == SHED_NOTHING ? REPORT_GAP_MS
                                           : REPORT_GAP_LATE_MS;
}

int64_t
overload_patience_ms(const struct overload *overload)
{
    return overload->level * PATIENCE_PER_LEVEL_MS;
}

int64_t
overload_retry_after_ms(const struct overload *overload)
{
    (void)overload;
    return RETRY_AFTER_MS;
}

const char *
shed_level_name(enum shed_level level)
{
    static const char *const names[] = {
        [SHED_NOTHING] = "nothing",       [SHED_HOST_MOVES] = "host moves",
        [SHED_THROTTLING] = "throttling", [SHED_REPORTS] = "reports",
        [SHED_JOBS] = "new jobs",
    };
    return names[level];
}
