/* Changes of backend servers' entries that pile up while answers take long. */
#include "core/jobs/entry_watch.h"
#include "../suite.h"

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

int
main(void)
{
    static const struct suite_test tests[] = {
        {"catches up after a peak", test_catches_up_after_a_peak},
        {"pauses at rest", test_pauses_at_rest},
    };
    return suite_main("jobs entry watch", tests, G_N_ELEMENTS(tests));
}
