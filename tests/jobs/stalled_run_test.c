/* Runs without progress: one that its backend server shows as stalled is
 * started elsewhere; one of which nothing was heard is not. */
#include <stdio.h>

#include "../suite.h"
#include "core/jobs/stall.h"
#include "fleet_fixture.h"

#define SERVICE_JOB "00000000000000aa"

enum {
    REPORT_INTERVAL_MS = 500,
    /* Longer than a run may go without progress, shorter than a report request
     * waits for its answer. */
    SILENCE_MS = 4000,
    /* Beside the work of a replay. */
    REPLAY_MARGIN_MS = 60000,
    REPORTS_MAX = 1800,
};

static struct reported_run service_run = {
    .task = SERVICE_JOB ".0.0.0",
    .number = 1,
    .saved = "",
};

/* A service task on the only backend server that gets ready. */
static void
start_service(struct fleet_fixture *f)
{
    fixture_init(f, 0);
    fixture_add_backend(f, "b1", "p", "m1");
    fixture_reconcile(f);
    fixture_add_job(f, SERVICE_JOB, "p",
                    "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,"
                    "\"long_running\":true,\"may_miss\":1}]");
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, "b1"), 1);
    fixture_accept_starts(f);
    service_run.percent = 87;
    fixture_report(f, "b1", &service_run, 1, NULL, 0);
}

/* The answer to a report request is late. The service task got ready right
 * after the last report, and nothing says that it has stalled. */
static void
test_late_report(void)
{
    struct fleet_fixture f;
    start_service(&f);
    for (int64_t end_ms = f.now_ms + SILENCE_MS; f.now_ms < end_ms;) {
        fixture_tick(&f, f.now_ms + REPORT_INTERVAL_MS);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    service_run.percent = 100;
    fixture_report(&f, "b1", &service_run, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + SILENCE_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    fixture_clear(&f);
}

/* The scheduler has stood still. The report that it reads next was made right
 * after the one before. */
static void
test_report_read_late(void)
{
    struct fleet_fixture f;
    start_service(&f);
    int64_t made_ms = f.now_ms;
    f.now_ms += SILENCE_MS;
    struct run_report report = {
        .outcome = REPORT_READ,
        .incarnation_start_ms = f.incarnation_start_ms,
        .clock_ms = made_ms + REPORT_INTERVAL_MS + FIXTURE_CLOCK_AHEAD_MS,
        .running = &service_run,
        .n_running = 1,
    };
    fixture_answer(&f, "b1", report);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    fixture_clear(&f);
}

/* Reports show the run without progress: it is stopped. */
static void
test_stalled(void)
{
    struct fleet_fixture f;
    start_service(&f);
    for (int64_t end_ms = f.now_ms + SILENCE_MS; f.now_ms < end_ms;) {
        fixture_tick(&f, f.now_ms + REPORT_INTERVAL_MS);
        fixture_report(&f, "b1", &service_run, 1, NULL, 0);
    }
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 1);
    fixture_clear(&f);
}

/* The run of a task that takes @run_ms, as its backend server reports it while
 * no trouble is near, until the task is done.
 *
 * Returns: the number of stops */
static uint32_t
replay_long_task(int64_t run_ms, int64_t estimate_ms, bool checkpointing)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    char *steps = g_strdup_printf("[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,"
                                  "\"estimate_ms\":%" G_GINT64_FORMAT "}]",
                                  estimate_ms);
    struct job *job = fixture_add_job(&f, SERVICE_JOB, "p", steps);
    job_ref(job);
    g_free(steps);
    uint32_t number = 0;
    uint32_t n_ends = 0;
    int64_t worked_ms = 0;
    /* Fewer reports of the longest tasks keep the replay short. */
    int64_t interval_ms =
        MAX((int64_t)REPORT_INTERVAL_MS, run_ms / REPORTS_MAX);
    int64_t end_ms = f.now_ms + 4 * run_ms + REPLAY_MARGIN_MS;
    while (job->state == JOB_ACTIVE && f.now_ms < end_ms) {
        fixture_tick(&f, f.now_ms + interval_ms);
        fixture_accept_starts(&f);
        const struct recorded_command *start = fixture_last(&f, COMMAND_START);
        const struct recorded_command *stop = fixture_last(&f, COMMAND_STOP);
        if (start != NULL && start->number != number) {
            number = start->number;
            worked_ms = checkpointing ? worked_ms : 0;
        }
        worked_ms += interval_ms;
        bool stopped = stop != NULL && stop->number == number;
        bool done = worked_ms >= run_ms;
        struct reported_run running = {
            .task = SERVICE_JOB ".0.0.0",
            .number = number,
            .saved = "",
            .percent = (int32_t)(worked_ms * 100 / run_ms),
        };
        struct run_completion end = {
            .number = n_ends + 1,
            .task = SERVICE_JOB ".0.0.0",
            .run = number,
            .reason = stopped ? END_STOPPED : END_DONE,
            .saved = "",
        };
        if (stopped) {
            fixture_answer_stop(&f, true);
        }
        bool ended = stopped || done;
        n_ends += ended ? 1 : 0;
        fixture_report(&f, "b1", &running, ended ? 0 : 1, &end, ended ? 1 : 0);
    }
    CU_ASSERT_EQUAL(job->state, JOB_COMPLETED);
    job_unref(job);
    uint32_t stops = fixture_count(&f, COMMAND_STOP, NULL);
    fixture_clear(&f);
    return stops;
}

/* Guards against a task that is stopped again and again, and never ends, since
 * its whole percent changes less often than every few seconds. */
static void
test_long_tasks_end(void)
{
    static const int64_t run_times_ms[] = {
        200, 10000, 300000, 900000, INT64_C(86400000),
    };
    for (size_t i = 0; i < G_N_ELEMENTS(run_times_ms); i++) {
        int64_t run_ms = run_times_ms[i];
        CU_ASSERT_EQUAL(replay_long_task(run_ms, run_ms, false), 0);
        /* Rough estimates. */
        CU_ASSERT_EQUAL(replay_long_task(run_ms, run_ms / 3, false), 0);
        CU_ASSERT_EQUAL(replay_long_task(run_ms, run_ms * 3, false), 0);
    }
}

/* An estimate that is missing or far off costs some restarts, and little of
 * the work. */
static void
test_wrong_findings_are_few(void)
{
    CU_ASSERT(replay_long_task(900000, 0, false) <= 3);
    CU_ASSERT(replay_long_task(900000, 300, true) <= 3);
    CU_ASSERT(replay_long_task(INT64_C(86400000), 0, false) <= 10);
}

static void
test_bound(void)
{
    /* As fast as before for short tasks. */
    CU_ASSERT_EQUAL(stall_bound_ms(0, 0, 0), 2500);
    CU_ASSERT_EQUAL(stall_bound_ms(15000, 600, 0), 2500);
    /* A run that has paused for longer and went on has its own pace. */
    CU_ASSERT(stall_bound_ms(0, 9000, 0) > 18000);
    CU_ASSERT(stall_bound_ms(900000, 0, 0) > 18000);
    /* What was found wrong isn't found again at the same bound. */
    CU_ASSERT(stall_bound_ms(0, 0, 1) > stall_bound_ms(0, 0, 0));
    CU_ASSERT(stall_bound_ms(INT32_MAX, INT64_C(259200000), UINT32_MAX) > 0);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a run of which nothing was heard has not stalled", test_late_report},
        {"a report that is read late shows no stall", test_report_read_late},
        {"a run without progress in its reports is stopped", test_stalled},
        {"tasks of up to a day end", test_long_tasks_end},
        {"wrong findings are few", test_wrong_findings_are_few},
        {"bound by pace", test_bound},
    };
    return suite_main("jobs stalled run", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
