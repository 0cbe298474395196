/*
 * Pace of filling tasks beside serving ones. Answers tails that change within
 * seconds, by an amount that differs by program and is not known before: what
 * a tail is above a serving task's own share is taken to come from the
 * filling ones, in proportion to their level, and the level follows at once
 * down and after a calm time up.
 */
#include "core/jobs/pace.h"

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
/* What a new level aims at. */
static const double AIM = 0.75;
/* Share of the bound that a serving task takes up by its own load: what is
 * above it is laid to the filling tasks, in proportion to their level. */
static const double OWN_SHARE = 0.4;
/* A level is cut to no less than this at once, and raised to no more. */
static const double CUT_MOST = 0.25;
static const double RAISE_MOST = 2;
/* Further cut while a tail is over its bound: its own share may be larger
 * than taken. */
static const double OVER_BOUND = 0.6;
/* Levels below this do not get on; they only disturb. */
static const int32_t LEVEL_LEAST = 5;
/* Share of the ceiling that is tried while it is remembered. */
static const double UNDER_CEILING = 0.8;

/* Factor that would bring a tail to the aim. */
static double
factor_to_aim(double worst)
{
    double added = MAX(worst - OWN_SHARE, 0.01);
    return CLAMP((AIM - OWN_SHARE) / added, CUT_MOST, RAISE_MOST);
}

static void
lower_level(struct pace *pace, double worst, int64_t now_ms)
{
    pace->calm_since_ms = 0;
    if (pace->level == 0) {
        return;
    }
    pace->ceiling = pace->level;
    pace->ceiling_until_ms = now_ms + CEILING_MS;
    double kept = factor_to_aim(worst) * (worst > 1 ? OVER_BOUND : 1);
    pace->level = (int32_t)(pace->level * kept);
    if (pace->level < LEVEL_LEAST) {
        pace->level = 0;
    }
    pace->changed_ms = now_ms;
}

static void
raise_level(struct pace *pace, double worst, int64_t now_ms)
{
    if (pace->calm_since_ms == 0) {
        pace->calm_since_ms = now_ms;
    }
    if (now_ms - pace->calm_since_ms < CALM_MS) {
        return;
    }
    int32_t most = 100;
    if (pace->ceiling > 0 && now_ms < pace->ceiling_until_ms) {
        most = (int32_t)(pace->ceiling * UNDER_CEILING);
    }
    int32_t next = MAX((int32_t)(pace->level * factor_to_aim(worst)),
                       pace->level + LEVEL_UP_LEAST);
    next = MIN(next, most);
    if (next > pace->level) {
        pace->level = next;
        pace->changed_ms = now_ms;
    }
}

int32_t
pace_step(struct pace *pace, double worst, int64_t now_ms)
{
    if (pace->changed_ms == 0) {
        pace->level = LEVEL_FIRST;
        pace->changed_ms = now_ms;
        return pace->level;
    }
    /* The sample may still show the level before. */
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
        pace->calm_since_ms = 0;
    }
    return pace->level;
}
