/* Filling tasks beside serving ones: replays of tails that change. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "core/jobs/throttle.h"
#include "fleet_fixture.h"

#define JOB_SERVES "00000000000000aa"
#define JOB_FILLS "00000000000000bb"

enum {
    STEP_MS = 50,
    SAMPLE_MS = 300,
    /* A change of pace takes effect, then half a second is measured. */
    EFFECT_MS = 100,
    WINDOW_MS = 500,
    SERIES_MS = 60000,
    TARGET_MS = 100,
    /* Half of what the users allow on end. */
    OVER_MOST_MS = 2000,
};

/**
 * struct series - tails of a serving task
 * @alone_ms: its tail without filling tasks
 * @added_ms: what filling tasks at full speed add to it
 * @changes_ms: after how long both are drawn anew; 0: never
 */
struct series {
    double alone_ms;
    double added_ms;
    int64_t changes_ms;
};

/** struct replay - what came of a series */
struct replay {
    int64_t over_ms;
    double mean_level;
    double mean_ideal;
};

static double
level_at(const int32_t *levels, int64_t now_ms)
{
    double sum = 0;
    int count = 0;
    for (int64_t t = now_ms - WINDOW_MS; t < now_ms; t += STEP_MS) {
        int64_t in_effect_ms = MAX(t - EFFECT_MS, 0);
        int64_t slot = in_effect_ms / STEP_MS;
        sum += levels[slot];
        count++;
    }
    return sum / count;
}

static struct replay
play_series(struct series series, uint32_t seed)
{
    GRand *chance = g_rand_new_with_seed(seed);
    int32_t *levels = g_new0(int32_t, SERIES_MS / STEP_MS + 1);
    struct throttle pace = {0};
    struct replay replay = {0};
    int64_t over_since_ms = 0;
    int samples = 0;
    int32_t level = 100;
    for (int64_t now_ms = STEP_MS; now_ms < SERIES_MS; now_ms += STEP_MS) {
        if (series.changes_ms > 0 && now_ms % series.changes_ms == 0) {
            series.alone_ms = g_rand_double_range(chance, 20, 70);
            series.added_ms = g_rand_double_range(chance, 0, 300);
        }
        double noise = g_rand_double_range(chance, 0.92, 1.08);
        double tail_ms = (series.alone_ms +
                          series.added_ms * level_at(levels, now_ms) / 100) *
                         noise;
        if (now_ms % SAMPLE_MS == 0) {
            level = throttle_update(&pace, tail_ms / TARGET_MS, now_ms + 1000);
        }
        levels[now_ms / STEP_MS] = level;
        if (tail_ms <= TARGET_MS || level == 0) {
            over_since_ms = 0;
        }
        else if (over_since_ms == 0) {
            over_since_ms = now_ms;
        }
        if (over_since_ms != 0) {
            replay.over_ms = MAX(replay.over_ms, now_ms - over_since_ms);
        }
        double room_ms = TARGET_MS - series.alone_ms;
        replay.mean_level += level;
        replay.mean_ideal +=
            series.added_ms <= room_ms ? 100 : 100 * room_ms / series.added_ms;
        samples++;
    }
    replay.mean_level /= samples;
    replay.mean_ideal /= samples;
    g_rand_free(chance);
    g_free(levels);
    return replay;
}

/* Tails that change every few seconds: never long over the bound, and not at
 * the price of standing still. */
static void
test_changing_tails(void)
{
    for (uint32_t seed = 1; seed <= 50; seed++) {
        struct replay replay =
            play_series((struct series){.alone_ms = 40,
                                        .added_ms = 100,
                                        .changes_ms = 3000 + 500 * (seed % 7)},
                        seed);
        CU_ASSERT(replay.over_ms < OVER_MOST_MS);
        CU_ASSERT(replay.mean_level > 0.3 * replay.mean_ideal);
    }
}

/* Harmless neighbours get all their speed; hopeless ones none. */
static void
test_steady_tails(void)
{
    struct replay harmless =
        play_series((struct series){.alone_ms = 30, .added_ms = 10}, 1);
    CU_ASSERT(harmless.mean_level > 80);
    struct replay heavy =
        play_series((struct series){.alone_ms = 50, .added_ms = 400}, 1);
    CU_ASSERT(heavy.over_ms < OVER_MOST_MS);
    struct replay overloaded =
        play_series((struct series){.alone_ms = 150, .added_ms = 50}, 1);
    CU_ASSERT(overloaded.mean_level < 10);
}

/* A filling task is slowed down when it comes to stand beside a serving one,
 * is not taken for stalled, and is let go when it stands alone. */
static void
test_pace_is_carried_out(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_backend(&f, "b1", "p", "m1");
    fixture_settle(&f);
    fixture_job(&f, JOB_SERVES, "p",
                "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,"
                "\"long_running\":true,\"target_ms\":100}]");
    fixture_job(&f, JOB_FILLS, "p",
                "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,\"fills\":true,"
                "\"estimate_ms\":60000}]");
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, ORDER_START, "b1"), 2);
    fixture_accept_starts(&f);
    struct reported_run running[] = {
        {.task = JOB_SERVES ".0.0.0",
         .number = 1,
         .saved = "",
         .percent = 100,
         .load_metric = 300},
        {.task = JOB_FILLS ".0.0.0", .number = 1, .saved = "", .percent = 3},
    };
    for (int i = 0; i < 40; i++) {
        fixture_lists(&f, "b1", running, 2, NULL, 0);
        fixture_tick(&f, f.now_ms + 100);
        const struct order *last = fixture_last(&f, ORDER_PACE);
        if (last != NULL) {
            scheduler_on_throttle(f.sched, last->handle, (int32_t)last->number,
                                  true);
        }
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture_last(&f, ORDER_PACE));
    CU_ASSERT_STRING_EQUAL(fixture_last(&f, ORDER_PACE)->task,
                           JOB_FILLS ".0.0.0");
    CU_ASSERT_EQUAL(fixture_last(&f, ORDER_PACE)->number, 0);
    /* Its progress has stood still for four seconds, by our order. */
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_STOP, NULL), 0);
    struct run_completion end = {.number = 1,
                                 .task = JOB_SERVES ".0.0.0",
                                 .run = 1,
                                 .reason = END_STOPPED};
    scheduler_cancel(f.sched, JOB_SERVES);
    fixture_lists(&f, "b1", &running[1], 1, &end, 1);
    fixture_tick(&f, f.now_ms + 400);
    CU_ASSERT_EQUAL(fixture_last(&f, ORDER_PACE)->number, 100);
    fixture_clear(&f);
}

/* A new holder does not know the pace that it finds, and orders its own. */
static void
test_pace_after_a_takeover(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_backend(&f, "b1", "p", "m1");
    fixture_job(&f, JOB_FILLS, "p",
                "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,\"fills\":true,"
                "\"estimate_ms\":60000}]");
    struct reported_run running = {
        .task = JOB_FILLS ".0.0.0", .number = 1, .saved = "", .percent = 3};
    fixture_lists(&f, "b1", &running, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, ORDER_PACE, "b1"), 1);
    CU_ASSERT_EQUAL(fixture_last(&f, ORDER_PACE)->number, 100);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"changing tails", test_changing_tails},
        {"steady tails", test_steady_tails},
        {"the pace is carried out", test_pace_is_carried_out},
        {"the pace after a takeover", test_pace_after_a_takeover},
    };
    return suite_main("jobs pace", tests, sizeof(tests) / sizeof(tests[0]));
}
