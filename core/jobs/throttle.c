/*
 * Pace of filling tasks beside serving ones. Answers tails that change within
 * seconds, by an amount that differs by program and is not known before: what
 * a tail is above a serving task's own share is taken to come from the
 * filling ones, in proportion to their cpu_limit_percent, and the
 * cpu_limit_percent follows at once down and after a calm time up.
 */
#include "core/jobs/throttle.h"

#include <glib.h>
#include <stdbool.h>

enum {
    LIMIT_INITIAL_PERCENT = 30,
    RAISE_MIN_PERCENT = 10,
    /* A change takes some 100 ms, and a tail is that of the last 500 ms. */
    EFFECT_DELAY_MS = 650,
    RAISE_DELAY_MS = 300,
    /* Tails change within seconds, so what was too much is soon tried again.
     */
    CEILING_RETENTION_MS = 3000,
};

/* Tails above this share of their bound are too long, in view of noise. */
static const double LATENCY_HIGH_FRACTION = 0.85;
/* Below this share there is room for more. */
static const double LATENCY_LOW_FRACTION = 0.7;
/* What a new cpu_limit_percent aims at. */
static const double LATENCY_AIM_FRACTION = 0.75;
/* Share of the bound that a serving task takes up by its own load: what is
 * above it is laid to the filling tasks, in proportion to their
 * cpu_limit_percent. */
static const double OWN_LATENCY_FRACTION = 0.4;
/* A cpu_limit_percent is cut to no less than this at once, and raised to no
 * more. */
static const double CUT_MIN_FACTOR = 0.25;
static const double RAISE_MAX_FACTOR = 2;
/* Further cut while a tail is over its bound: its own share may be larger
 * than taken. */
static const double OVER_TARGET_FACTOR = 0.6;
/* Levels below this do not get on; they only disturb. */
static const int32_t LIMIT_MIN_PERCENT = 5;
/* Share of the ceiling_percent that is tried while it is remembered. */
static const double CEILING_RETRY_FRACTION = 0.8;

/* Factor that would bring a tail to the aim. */
static double
factor_to_aim(double worst_ratio)
{
    double added = MAX(worst_ratio - OWN_LATENCY_FRACTION, 0.01);
    return CLAMP((LATENCY_AIM_FRACTION - OWN_LATENCY_FRACTION) / added,
                 CUT_MIN_FACTOR, RAISE_MAX_FACTOR);
}

static void
lower_limit(struct throttle *throttle, double worst_ratio, int64_t now_ms)
{
    throttle->below_target_since_ms = 0;
    if (throttle->cpu_limit_percent == 0) {
        return;
    }
    throttle->ceiling_percent = throttle->cpu_limit_percent;
    throttle->ceiling_until_ms = now_ms + CEILING_RETENTION_MS;
    double kept = factor_to_aim(worst_ratio) *
                  (worst_ratio > 1 ? OVER_TARGET_FACTOR : 1);
    throttle->cpu_limit_percent =
        (int32_t)(throttle->cpu_limit_percent * kept);
    if (throttle->cpu_limit_percent < LIMIT_MIN_PERCENT) {
        throttle->cpu_limit_percent = 0;
    }
    throttle->changed_ms = now_ms;
}

static void
raise_limit(struct throttle *throttle, double worst_ratio, int64_t now_ms)
{
    if (throttle->below_target_since_ms == 0) {
        throttle->below_target_since_ms = now_ms;
    }
    if (now_ms - throttle->below_target_since_ms < RAISE_DELAY_MS) {
        return;
    }
    int32_t most = 100;
    if (throttle->ceiling_percent > 0 && now_ms < throttle->ceiling_until_ms) {
        most = (int32_t)(throttle->ceiling_percent * CEILING_RETRY_FRACTION);
    }
    int32_t next = MAX(
        (int32_t)(throttle->cpu_limit_percent * factor_to_aim(worst_ratio)),
        throttle->cpu_limit_percent + RAISE_MIN_PERCENT);
    next = MIN(next, most);
    if (next > throttle->cpu_limit_percent) {
        throttle->cpu_limit_percent = next;
        throttle->changed_ms = now_ms;
    }
}

int32_t
throttle_update(struct throttle *throttle, double worst_ratio, int64_t now_ms)
{
    if (throttle->changed_ms == 0) {
        throttle->cpu_limit_percent = LIMIT_INITIAL_PERCENT;
        throttle->changed_ms = now_ms;
        return throttle->cpu_limit_percent;
    }
    /* The sample may still show the cpu_limit_percent before. */
    bool in_effect = now_ms - throttle->changed_ms >= EFFECT_DELAY_MS;
    if (worst_ratio > LATENCY_HIGH_FRACTION) {
        if (in_effect) {
            lower_limit(throttle, worst_ratio, now_ms);
        }
    }
    else if (worst_ratio < LATENCY_LOW_FRACTION && in_effect) {
        raise_limit(throttle, worst_ratio, now_ms);
    }
    else if (worst_ratio >= LATENCY_LOW_FRACTION) {
        throttle->below_target_since_ms = 0;
    }
    return throttle->cpu_limit_percent;
}
