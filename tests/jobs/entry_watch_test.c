/* Changes of backend servers' entries that pile up while answers take long. */
#include "core/jobs/entry_watch.h"
#include "../suite.h"
#include "fleet_fixture.h"

#include <glib.h>

enum {
    /* Of the large site: 1,100 backend servers, each every 1.5 s, and what
     * changes beside that. */
    CHANGES_PER_S = 730,
    ANSWER_CHANGES_MAX = 500,
    /* A peak in which answers take over a second each. */
    PEAK_MS = 6000,
    PEAK_ANSWER_MS = 1200,
    CALM_ANSWER_MS = 30,
    /* What of the 4 s until a drain must be known may pass after the peak. */
    CAUGHT_UP_MS = 500,
    REPLAY_MS = 20000,
    /* Of the fixture. */
    DRAIN_MS = 4000,
};

/* Guards against a drain that becomes known seconds after the leader has
 * capacity again, since it pauses between answers that are full. */
static void
test_catches_up_after_a_peak(void)
{
    double made = 0;
    double read = 0;
    int64_t caught_up_ms = 0;
    int64_t now_ms = 0;
    while (now_ms < REPLAY_MS) {
        int64_t took_ms = now_ms < PEAK_MS ? PEAK_ANSWER_MS : CALM_ANSWER_MS;
        double n = MIN(made - read, ANSWER_CHANGES_MAX);
        int64_t gap_ms = entry_watch_gap_ms((size_t)n);
        read += n;
        now_ms += took_ms + gap_ms;
        made = (double)now_ms * CHANGES_PER_S / 1000;
        if (now_ms > PEAK_MS && caught_up_ms == 0 &&
            made - read < ANSWER_CHANGES_MAX) {
            caught_up_ms = now_ms;
        }
    }
    CU_ASSERT(caught_up_ms > 0);
    CU_ASSERT(caught_up_ms < PEAK_MS + PEAK_ANSWER_MS + CAUGHT_UP_MS);
}

/* Calls to the store are counted; at rest some changes share one. */
static void
test_pauses_at_rest(void)
{
    CU_ASSERT(entry_watch_gap_ms(0) >= 100);
    CU_ASSERT(entry_watch_gap_ms(150) >= 100);
}

/* A leader at a peak: answers are full and take long, and it keeps writing. */
static void
test_knows_how_far_it_is_behind(void)
{
    struct entry_watch watch;
    entry_watch_init(&watch);
    CU_ASSERT_EQUAL(entry_watch_unread_since_ms(&watch), 0);
    for (int64_t ms = 1000; ms <= 5000; ms += 10) {
        entry_watch_written(&watch, ms, ms);
    }
    /* Nothing is waiting behind an answer that has all there was. */
    entry_watch_answered(&watch, 1500, 100);
    CU_ASSERT_EQUAL(entry_watch_unread_since_ms(&watch), 0);
    entry_watch_answered(&watch, 2000, ANSWER_CHANGES_MAX);
    int64_t since_ms = entry_watch_unread_since_ms(&watch);
    CU_ASSERT(since_ms > 2000);
    CU_ASSERT(since_ms < 2200);
    /* Whatever is written meanwhile, it is as far behind. */
    entry_watch_written(&watch, 6000, 6000);
    CU_ASSERT_EQUAL(entry_watch_unread_since_ms(&watch), since_ms);
    entry_watch_answered(&watch, 7000, ANSWER_CHANGES_MAX);
    CU_ASSERT_EQUAL(entry_watch_unread_since_ms(&watch), 0);
    entry_watch_clear(&watch);
}

/* Guards against starts on a backend server that has been draining for longer
 * than allowed, while the change that says so waits unread. */
static void
test_starts_nothing_while_too_far_behind(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    int64_t since_ms = f.now_ms;
    scheduler_entries_unread(f.sched, since_ms);
    fixture_add_job(&f, "00000000000000aa", "p",
                    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"
                    "\"estimate_ms\":500}]");
    f.now_ms = since_ms + DRAIN_MS;
    fixture_tick(&f, f.now_ms);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    scheduler_entries_unread(f.sched, f.now_ms - 100);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"catches up after a peak", test_catches_up_after_a_peak},
        {"pauses at rest", test_pauses_at_rest},
        {"knows how far it is behind", test_knows_how_far_it_is_behind},
        {"starts nothing while too far behind",
         test_starts_nothing_while_too_far_behind},
    };
    return suite_main("jobs entry watch", tests, G_N_ELEMENTS(tests));
}
