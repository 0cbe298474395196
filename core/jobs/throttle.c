/*
 * CPU limit of best-effort tasks beside latency-sensitive ones, whose tail
 * latencies change within seconds, by an amount that differs by program and
 * isn't known in advance. The latency above a task's own fraction is
 * attributed to the best-effort tasks, in proportion to their CPU limit. The
 * limit is lowered at once, and raised after a time of low latencies.
 */
#include "core/jobs/throttle.h"

#include <glib.h>
#include <stdbool.h>

enum {
    LIMIT_INITIAL_PERCENT = 30,
    RAISE_MIN_PERCENT = 10,
    /* A new limit takes about 100 ms to apply, and the reported tail latency
     * covers the last 500 ms. */
    EFFECT_DELAY_MS = 650,
    RAISE_DELAY_MS = 300,
    /* Latencies change within seconds, so a limit that was too high is soon
     * tried again. */
    CEILING_RETENTION_MS = 3000,
};

/* Tail latencies above this fraction of their target are too long; it leaves a
 * margin for noise. */
static const double LATENCY_HIGH_FRACTION = 0.85;
/* Below this fraction the limit may rise. */
static const double LATENCY_LOW_FRACTION = 0.7;
/* Fraction that a new limit aims at. */
static const double LATENCY_AIM_FRACTION = 0.75;
/* Fraction of the target that a latency-sensitive task is assumed to cause by
 * itself. Latency above it is attributed to the best-effort tasks, in
 * proportion to their limit. */
static const double OWN_LATENCY_FRACTION = 0.4;
/* Bounds of one change of the limit. */
static const double CUT_MIN_FACTOR = 0.25;
static const double RAISE_MAX_FACTOR = 2;
/* Further reduction while a tail latency exceeds its target: the task's own
 * fraction may be larger than assumed. */
static const double OVER_TARGET_FACTOR = 0.6;
/* Below this limit best-effort tasks make no progress and only disturb. */
static const int32_t LIMIT_MIN_PERCENT = 5;
/* Fraction of the ceiling that may be used until the ceiling expires. */
static const double CEILING_RETRY_FRACTION = 0.8;

/* Factor on the limit that would bring the worst latency to the aim. */
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
    double factor = factor_to_aim(worst_ratio) *
                    (worst_ratio > 1 ? OVER_TARGET_FACTOR : 1);
    throttle->cpu_limit_percent =
        (int32_t)(throttle->cpu_limit_percent * factor);
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
    int32_t maximum = 100;
    if (throttle->ceiling_percent > 0 && now_ms < throttle->ceiling_until_ms) {
        maximum =
            (int32_t)(throttle->ceiling_percent * CEILING_RETRY_FRACTION);
    }
    int32_t next = MAX(
        (int32_t)(throttle->cpu_limit_percent * factor_to_aim(worst_ratio)),
        throttle->cpu_limit_percent + RAISE_MIN_PERCENT);
    next = MIN(next, maximum);
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
    /* The sample may still show the effect of the previous limit. */
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
