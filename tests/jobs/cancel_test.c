/* Cancels that the scheduler learns of through the store. */
#include <string.h>

#include "../suite.h"
#include "core/jobs/scheduler.h"
#include "egretjobd/records.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

enum {
    PASS_MS = 100,
    /* Twice the time after which a cancel has to bind. */
    UNREAD_MS = 6000,
    /* Longer than the fixture keeps finished jobs. */
    RETENTION_MS = 1100000,
};

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}]";

/* Messages can't be read while the leadership is renewed: a job that may have
 * been cancelled meanwhile started. */
static void
test_unread_cancels(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    scheduler_cancels_read(f.sched, f.now_ms);
    for (int64_t end_ms = f.now_ms + UNREAD_MS; f.now_ms < end_ms;) {
        fixture_tick(&f, f.now_ms + PASS_MS);
        fixture_report(&f, "b0", NULL, 0, NULL, 0);
    }
    struct job *job = fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + PASS_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    scheduler_cancel(f.sched, JOB_A);
    fixture_add_job(&f, JOB_B, "p", one_task);
    scheduler_cancels_read(f.sched, f.now_ms);
    fixture_report(&f, "b0", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + PASS_MS);
    CU_ASSERT_EQUAL(job->state, JOB_CANCELLED);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A tombstone is a cancelled job without tasks; a run that is reported of it
 * is stopped, and its record is deleted in time. */
static void
test_tombstone(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    char *record = record_tombstone_encode("p", "p", "t", f.now_ms + 1000);
    CU_ASSERT(record_is_tombstone(record, strlen(record)));
    struct job *job = record_job_decode(JOB_A, record, strlen(record));
    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    CU_ASSERT_TRUE(job->tombstone);
    job->accepted_unix_ms =
        fixture_add_job(&f, JOB_B, "q", one_task)->accepted_unix_ms;
    scheduler_add_job(f.sched, job);
    job_unref(job);
    struct reported_run run = {.task = JOB_A ".0.0.0", .number = 1};
    fixture_report(&f, "b0", &run, 1, NULL, 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b0"), 1);
    fixture_tick(&f, f.now_ms + PASS_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 0);
    CU_ASSERT_PTR_NOT_NULL(scheduler_find_job(f.sched, JOB_A));
    fixture_tick(&f, f.now_ms + RETENTION_MS);
    CU_ASSERT_PTR_NULL(scheduler_find_job(f.sched, JOB_A));
    g_free(record);
    fixture_clear(&f);
}

/* Each leader in turn ended when it read a record without these fields. */
static void
test_incomplete_record(void)
{
    static const char record[] =
        "{\"queue\":\"p\",\"body\":\"{\\\"spec\\\":\\\"\\\",\\\"steps\\\":"
        "[{\\\"count\\\":1,\\\"cpu\\\":1000}]}\"}";
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    struct job *job = record_job_decode(JOB_A, record, strlen(record));
    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    scheduler_add_job(f.sched, job);
    job_unref(job);
    /* That it starts in another pool than its record names is stored first. */
    fixture_tick(&f, f.now_ms + PASS_MS);
    fixture_tick(&f, f.now_ms + PASS_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 1);
    fixture_clear(&f);
}

int
main(void)
{
    const struct suite_test tests[] = {
        {"nothing starts while cancels are not read", test_unread_cancels},
        {"a tombstone is never scheduled", test_tombstone},
        {"a record without pool and account is read", test_incomplete_record},
    };
    return suite_main("cancels", tests, G_N_ELEMENTS(tests));
}
