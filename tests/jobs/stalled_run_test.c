/* Runs without progress: one that its backend server shows as stalled is
 * started elsewhere; one of which nothing was heard is not. */
#include <stdio.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define SERVICE_JOB "00000000000000aa"

enum {
    REPORT_INTERVAL_MS = 500,
    /* Longer than a run may go without progress, shorter than a report request
     * waits for its answer. */
    SILENCE_MS = 4000,
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

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a run of which nothing was heard has not stalled", test_late_report},
        {"a report that is read late shows no stall", test_report_read_late},
        {"a run without progress in its reports is stopped", test_stalled},
    };
    return suite_main("jobs stalled run", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
