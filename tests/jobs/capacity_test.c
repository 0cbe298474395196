/* A backend server whose capacity shrinks while it runs, in a pool whose
 * backend servers start whatever they are told to. */
#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

static const char eight_cores[] =
    "[{\"count\":1,\"cpu\":8000,\"mem_mb\":10,\"estimate_ms\":9000}]";
static const char four_cores[] =
    "[{\"count\":1,\"cpu\":4000,\"mem_mb\":10,\"estimate_ms\":9000}]";

static void
init(struct fleet_fixture *f)
{
    fixture_init(f, 0);
    fixture_set_enforced(f, "p", false);
    fixture_add_backend(f, "b1", "p", "m1");
    fixture_reconcile(f);
}

static void
test_shrunk_capacity_is_not_exceeded(void)
{
    struct fleet_fixture f;
    init(&f);
    fixture_add_job(&f, JOB_A, "p", eight_cores);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_accept_starts(&f);
    fixture_resize_backend(&f, "b1", "p", "m1", 10000);
    fixture_add_job(&f, JOB_B, "p", four_cores);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_resize_backend(&f, "b1", "p", "m1", 16000);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* What is being stopped still takes its capacity. */
static void
test_stopping_run_counts(void)
{
    struct fleet_fixture f;
    init(&f);
    fixture_add_job(&f, JOB_A, "p", eight_cores);
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    scheduler_cancel(f.sched, JOB_A);
    fixture_resize_backend(&f, "b1", "p", "m1", 10000);
    fixture_add_job(&f, JOB_B, "p", four_cores);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 1);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A start that still waits to be sent was decided by the old capacity. */
static void
test_queued_start_is_not_sent(void)
{
    struct fleet_fixture f;
    init(&f);
    fixture_add_job(&f, JOB_A, "p", eight_cores);
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    fixture_add_job(&f, JOB_B, "p", four_cores);
    fixture_tick(&f, f.now_ms + 10);
    const struct recorded_command *start = fixture_last(&f, COMMAND_START);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 2);
    CU_ASSERT_TRUE(scheduler_may_start(f.sched, start->handle));
    fixture_resize_backend(&f, "b1", "p", "m1", 10000);
    CU_ASSERT_FALSE(scheduler_may_start(f.sched, start->handle));
    fixture_resize_backend(&f, "b1", "p", "m1", 12000);
    CU_ASSERT_TRUE(scheduler_may_start(f.sched, start->handle));
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a capacity that has shrunk is not exceeded",
         test_shrunk_capacity_is_not_exceeded},
        {"a run that is being stopped counts", test_stopping_run_counts},
        {"a queued start does not exceed a capacity that has shrunk",
         test_queued_start_is_not_sent},
    };
    return suite_main("jobs capacity", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
