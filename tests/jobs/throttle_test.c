/* Best-effort tasks beside latency-sensitive ones; the tests replay tail
 * latencies that change. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "core/jobs/throttle.h"
#include "fleet_fixture.h"

#define LATENCY_SENSITIVE_JOB "00000000000000aa"
#define BEST_EFFORT_JOB "00000000000000bb"

enum {
    STEP_MS = 50,
    SAMPLE_MS = 300,
    /* A new CPU limit takes effect after this time; tail latency is measured
     * over the window that follows. */
    EFFECT_MS = 100,
    WINDOW_MS = 500,
    TRACE_MS = 60000,
    TARGET_MS = 100,
    /* Half of the longest time that the tail latency may exceed its target
     * without a break. */
    ABOVE_TARGET_MAX_MS = 2000,
};

/**
 * struct latency_trace - tail latency of a latency-sensitive task
 * @alone_ms: its tail latency without best-effort tasks
 * @added_ms: what best-effort tasks without a CPU limit add to it
 * @change_interval_ms: interval at which both are drawn anew; 0: never
 */
struct latency_trace {
    double alone_ms;
    double added_ms;
    int64_t change_interval_ms;
};

/**
 * struct replay - result of a trace
 * @above_target_ms: longest time above the target without a break, while
 *                   best-effort tasks ran
 * @mean_limit: mean CPU limit in percent
 * @mean_ideal_limit: mean of the highest limit that meets the target
 */
struct replay {
    int64_t above_target_ms;
    double mean_limit;
    double mean_ideal_limit;
};

static double
mean_limit_at(const int32_t *limits, int64_t now_ms)
{
    double sum = 0;
    int count = 0;
    for (int64_t t = now_ms - WINDOW_MS; t < now_ms; t += STEP_MS) {
        int64_t in_effect_ms = MAX(t - EFFECT_MS, 0);
        int64_t slot = in_effect_ms / STEP_MS;
        sum += limits[slot];
        count++;
    }
    return sum / count;
}

static struct replay
replay_trace(struct latency_trace trace, uint32_t seed)
{
    GRand *rng = g_rand_new_with_seed(seed);
    int32_t *limits = g_new0(int32_t, TRACE_MS / STEP_MS + 1);
    struct throttle throttle = {0};
    struct replay replay = {0};
    int64_t above_since_ms = 0;
    int samples = 0;
    int32_t limit = 100;
    for (int64_t now_ms = STEP_MS; now_ms < TRACE_MS; now_ms += STEP_MS) {
        if (trace.change_interval_ms > 0 &&
            now_ms % trace.change_interval_ms == 0) {
            trace.alone_ms = g_rand_double_range(rng, 20, 70);
            trace.added_ms = g_rand_double_range(rng, 0, 300);
        }
        double noise = g_rand_double_range(rng, 0.92, 1.08);
        double tail_latency_ms =
            (trace.alone_ms +
             trace.added_ms * mean_limit_at(limits, now_ms) / 100) *
            noise;
        if (now_ms % SAMPLE_MS == 0) {
            limit = throttle_update(&throttle, tail_latency_ms / TARGET_MS,
                                    now_ms + 1000);
        }
        limits[now_ms / STEP_MS] = limit;
        if (tail_latency_ms <= TARGET_MS || limit == 0) {
            above_since_ms = 0;
        }
        else if (above_since_ms == 0) {
            above_since_ms = now_ms;
        }
        if (above_since_ms != 0) {
            replay.above_target_ms =
                MAX(replay.above_target_ms, now_ms - above_since_ms);
        }
        double headroom_ms = TARGET_MS - trace.alone_ms;
        replay.mean_limit += limit;
        replay.mean_ideal_limit += trace.added_ms <= headroom_ms
                                       ? 100
                                       : 100 * headroom_ms / trace.added_ms;
        samples++;
    }
    replay.mean_limit /= samples;
    replay.mean_ideal_limit /= samples;
    g_rand_free(rng);
    g_free(limits);
    return replay;
}

/* Tail latencies that change every few seconds are never above the target for
 * long, and the best-effort tasks still make progress. */
static void
test_changing_latencies(void)
{
    for (uint32_t seed = 1; seed <= 50; seed++) {
        struct replay replay =
            replay_trace((struct latency_trace){.alone_ms = 40,
                                                .added_ms = 100,
                                                .change_interval_ms =
                                                    3000 + 500 * (seed % 7)},
                         seed);
        CU_ASSERT(replay.above_target_ms < ABOVE_TARGET_MAX_MS);
        CU_ASSERT(replay.mean_limit > 0.3 * replay.mean_ideal_limit);
    }
}

/* Best-effort tasks that hardly add latency run without a limit. They don't
 * run where the target is missed even without them. */
static void
test_steady_latencies(void)
{
    struct replay harmless = replay_trace(
        (struct latency_trace){.alone_ms = 30, .added_ms = 10}, 1);
    CU_ASSERT(harmless.mean_limit > 80);
    struct replay heavy = replay_trace(
        (struct latency_trace){.alone_ms = 50, .added_ms = 400}, 1);
    CU_ASSERT(heavy.above_target_ms < ABOVE_TARGET_MAX_MS);
    struct replay overloaded = replay_trace(
        (struct latency_trace){.alone_ms = 150, .added_ms = 50}, 1);
    CU_ASSERT(overloaded.mean_limit < 10);
}

static struct reported_run both_running[] = {
    {.task = LATENCY_SENSITIVE_JOB ".0.0.0",
     .number = 1,
     .saved = "",
     .percent = 100,
     .load_metric = 300},
    {.task = BEST_EFFORT_JOB ".0.0.0", .number = 1, .saved = "", .percent = 3},
};

static void
init_with_both(struct fleet_fixture *f)
{
    fixture_init(f, 0);
    fixture_add_backend(f, "b1", "p", "m1");
    fixture_reconcile(f);
    fixture_add_job(f, LATENCY_SENSITIVE_JOB, "p",
                    "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,"
                    "\"long_running\":true,\"target_ms\":100}]");
    fixture_add_job(f, BEST_EFFORT_JOB, "p",
                    "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,\"fills\":true,"
                    "\"estimate_ms\":60000}]");
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, "b1"), 2);
    fixture_accept_starts(f);
}

/* The latency-sensitive task ends, so the other needs no limit. */
static void
end_latency_sensitive(struct fleet_fixture *f)
{
    struct run_completion completion = {.number = 1,
                                        .task = LATENCY_SENSITIVE_JOB ".0.0.0",
                                        .run = 1,
                                        .reason = END_STOPPED};
    scheduler_cancel(f->sched, LATENCY_SENSITIVE_JOB);
    fixture_report(f, "b1", &both_running[1], 1, &completion, 1);
    fixture_tick(f, f->now_ms + 400);
}

/* A best-effort task beside a latency-sensitive one over its target is
 * throttled, is not taken for stalled, and runs without a limit again once it
 * is alone. */
static void
test_limit_is_applied(void)
{
    struct fleet_fixture f;
    init_with_both(&f);
    for (int i = 0; i < 40; i++) {
        fixture_report(&f, "b1", both_running, 2, NULL, 0);
        fixture_tick(&f, f.now_ms + 100);
        const struct recorded_command *last =
            fixture_last(&f, COMMAND_THROTTLE);
        if (last != NULL) {
            scheduler_on_throttle(f.sched, last->handle, (int32_t)last->number,
                                  true);
        }
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture_last(&f, COMMAND_THROTTLE));
    CU_ASSERT_STRING_EQUAL(fixture_last(&f, COMMAND_THROTTLE)->task,
                           BEST_EFFORT_JOB ".0.0.0");
    CU_ASSERT_EQUAL(fixture_last(&f, COMMAND_THROTTLE)->number, 0);
    /* It has made no progress for four seconds because of the limit. */
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    end_latency_sensitive(&f);
    CU_ASSERT_EQUAL(fixture_last(&f, COMMAND_THROTTLE)->number, 100);
    fixture_clear(&f);
}

/* Lets the scheduler send a limit below 100. */
static struct recorded_command
wait_for_limit(struct fleet_fixture *f)
{
    for (int i = 0; i < 40 && fixture_count(f, COMMAND_THROTTLE, "b1") == 0;
         i++) {
        fixture_report(f, "b1", both_running, 2, NULL, 0);
        fixture_tick(f, f->now_ms + 100);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture_last(f, COMMAND_THROTTLE));
    struct recorded_command sent = *fixture_last(f, COMMAND_THROTTLE);
    CU_ASSERT_FATAL(sent.number < 100);
    return sent;
}

/* A limit that got no answer may have been set. It was taken for not set, and
 * the task kept it for good once it needed none. */
static void
test_limit_without_an_answer(void)
{
    struct fleet_fixture f;
    init_with_both(&f);
    struct recorded_command sent = wait_for_limit(&f);
    scheduler_on_throttle(f.sched, sent.handle, (int32_t)sent.number, false);
    end_latency_sensitive(&f);
    CU_ASSERT_EQUAL(fixture_last(&f, COMMAND_THROTTLE)->number, 100);
    fixture_clear(&f);
}

/* The answer to a limit that was given up arrives after that to the next one.
 * It was taken for the limit that is set. */
static void
test_overtaken_limit(void)
{
    struct fleet_fixture f;
    init_with_both(&f);
    struct recorded_command sent = wait_for_limit(&f);
    fixture_tick(&f, f.now_ms + 5300);
    end_latency_sensitive(&f);
    struct recorded_command last = *fixture_last(&f, COMMAND_THROTTLE);
    CU_ASSERT_EQUAL_FATAL(last.number, 100);
    scheduler_on_throttle(f.sched, last.handle, 100, true);
    scheduler_on_throttle(f.sched, sent.handle, (int32_t)sent.number, true);
    const struct backend *backend = scheduler_find_backend(f.sched, "b1");
    const struct run *run = g_ptr_array_index(backend->runs, 0);
    CU_ASSERT_EQUAL(run->cpu_limit_percent, -1);
    fixture_clear(&f);
}

/* A new leader does not know the limits set before and sets its own. */
static void
test_limit_after_a_takeover(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_add_job(&f, BEST_EFFORT_JOB, "p",
                    "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,\"fills\":true,"
                    "\"estimate_ms\":60000}]");
    struct reported_run running = {.task = BEST_EFFORT_JOB ".0.0.0",
                                   .number = 1,
                                   .saved = "",
                                   .percent = 3};
    fixture_report(&f, "b1", &running, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_THROTTLE, "b1"), 1);
    CU_ASSERT_EQUAL(fixture_last(&f, COMMAND_THROTTLE)->number, 100);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"changing tail latencies", test_changing_latencies},
        {"steady tail latencies", test_steady_latencies},
        {"the limit is applied", test_limit_is_applied},
        {"a limit without an answer", test_limit_without_an_answer},
        {"an overtaken limit", test_overtaken_limit},
        {"the limit after a takeover", test_limit_after_a_takeover},
    };
    return suite_main("jobs throttle", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
