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
    LEVEL_FIRST = 30,
    LEVEL_UP_LEAST = 10,
    /* A change takes some 100 ms, and a tail is that of the last 500 ms. */
    EFFECT_MS = 650,
    CALM_MS = 300,
    /* Tails change within seconds, so what was too much is soon tried again.
     */
    CEILING_MS = 3000,
};

/* Tails above this share of their bound are too long, in view of noise. */
static const double NEAR = 0.85;
/* Below this share there is room for more. */
static const double CALM = 0.7;
/* What a new cpu_limit_percent aims at. */
static const double AIM = 0.75;
/* Share of the bound that a serving task takes up by its own load: what is
 * above it is laid to the filling tasks, in proportion to their
 * cpu_limit_percent. */
static const double OWN_SHARE = 0.4;
/* A cpu_limit_percent is cut to no less than this at once, and raised to no
 * more. */
static const double CUT_MOST = 0.25;
static const double RAISE_MOST = 2;
/* Further cut while a tail is over its bound: its own share may be larger
 * than taken. */
static const double OVER_BOUND = 0.6;
/* Levels below this do not get on; they only disturb. */
static const int32_t LEVEL_LEAST = 5;
/* Share of the ceiling_percent that is tried while it is remembered. */
static const double UNDER_CEILING = 0.8;

/* Factor that would bring a tail to the aim. */
static double
factor_to_aim(double worst)
{
    double added = MAX(worst - OWN_SHARE, 0.01);
    return CLAMP((AIM - OWN_SHARE) / added, CUT_MOST, RAISE_MOST);
}

static void
lower_level(struct throttle *pace, double worst, int64_t now_ms)
{
    pace->below_target_since_ms = 0;
    if (pace->cpu_limit_percent == 0) {
        return;
    }
    pace->ceiling_percent = pace->cpu_limit_percent;
    pace->ceiling_until_ms = now_ms + CEILING_MS;
    double kept = factor_to_aim(worst) * (worst > 1 ? OVER_BOUND : 1);
    pace->cpu_limit_percent = (int32_t)(pace->cpu_limit_percent * kept);
    if (pace->cpu_limit_percent < LEVEL_LEAST) {
        pace->cpu_limit_percent = 0;
    }
    pace->changed_ms = now_ms;
}

static void
raise_level(struct throttle *pace, double worst, int64_t now_ms)
{
    if (pace->below_target_since_ms == 0) {
        pace->below_target_since_ms = now_ms;
    }
    if (now_ms - pace->below_target_since_ms < CALM_MS) {
        return;
    }
    int32_t most = 100;
    if (pace->ceiling_percent > 0 && now_ms < pace->ceiling_until_ms) {
        most = (int32_t)(pace->ceiling_percent * UNDER_CEILING);
    }
    int32_t next =
        MAX((int32_t)(pace->cpu_limit_percent * factor_to_aim(worst)),
            pace->cpu_limit_percent + LEVEL_UP_LEAST);
    next = MIN(next, most);
    if (next > pace->cpu_limit_percent) {
        pace->cpu_limit_percent = next;
        pace->changed_ms = now_ms;
    }
}

int32_t
throttle_update(struct throttle *pace, double worst, int64_t now_ms)
{
    if (pace->changed_ms == 0) {
        pace->cpu_limit_percent = LEVEL_FIRST;
        pace->changed_ms = now_ms;
        return pace->cpu_limit_percent;
    }
    /* The sample may still show the cpu_limit_percent before. */
    bool in_effect = now_ms - pace->changed_ms >= EFFECT_MS;
    if (worst > NEAR) {
        if (in_effect) {
            lower_level(pace, worst, now_ms);
        }
    }
    else if (worst < CALM && in_effect) {
        raise_level(pace, worst, now_ms);
    }
    else if (worst >= CALM) {
        pace->below_target_since_ms = 0;
    }
    return pace->cpu_limit_percent;
}
