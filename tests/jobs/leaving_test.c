/* Backend servers that drain or stop answering; each test replays a fault. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"

static const char two_service_tasks[] =
    "[{\"count\":2,\"cpu\":1000,\"mem_mb\":100,\"long_running\":true,"
    "\"may_miss\":1}]";

/* Starts both tasks of a service job on the only backend server, "b1". */
static void
start_two_service_tasks(struct fleet_fixture *f,
                        struct reported_run running[2])
{
    running[0] = (struct reported_run){
        .task = JOB_A ".0.0.0", .number = 1, .saved = "", .percent = 100};
    running[1] = running[0];
    running[1].task = JOB_A ".0.0.1";
    fixture_init(f, 0);
    fixture_add_backend(f, "b1", "p", "m1");
    fixture_reconcile(f);
    fixture_add_job(f, JOB_A, "p", two_service_tasks);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, "b1"), 2);
    fixture_accept_starts(f);
    fixture_report(f, "b1", running, 2, NULL, 0);
}

/* At a scale-in, service tasks must move off a draining backend server one by
 * one. If they stayed until it is gone, all of them would end at once, and if
 * the leader died soon after, none would be replaced for a while. */
static void
test_service_tasks_leave_one_by_one(void)
{
    struct fleet_fixture f;
    struct reported_run running[2];
    start_two_service_tasks(&f, running);
    fixture_add_backend(&f, "b2", "p", "m2");
    fixture_reconcile(&f);
    fixture_report(&f, "b1", running, 2, NULL, 0);
    fixture_drain_backend(&f, "b1", "p", "m1");
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_STOP, "b1"), 1);
    bool second_stopped =
        strcmp(fixture_last(&f, COMMAND_STOP)->task, running[0].task);
    const struct reported_run *stopped = &running[second_stopped ? 1 : 0];
    struct reported_run *remaining = &running[second_stopped ? 0 : 1];
    struct run_completion completion = {
        .number = 1, .task = stopped->task, .run = 1, .reason = END_STOPPED};
    fixture_report(&f, "b1", remaining, 1, &completion, 1);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b2"), 1);
    /* The other task waits until this one runs again. */
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 1);
    fixture_accept_starts(&f);
    struct reported_run moved = *stopped;
    moved.number = fixture_last(&f, COMMAND_START)->number;
    fixture_report(&f, "b2", &moved, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 2);
    fixture_clear(&f);
}

/* Without free capacity elsewhere a service task stays on a draining backend
 * server for as long as the server runs. */
static void
test_service_tasks_stay_without_capacity(void)
{
    struct fleet_fixture f;
    struct reported_run running[2];
    start_two_service_tasks(&f, running);
    fixture_drain_backend(&f, "b1", "p", "m1");
    for (int i = 0; i < 30; i++) {
        fixture_tick(&f, f.now_ms + 100);
        fixture_report(&f, "b1", running, 2, NULL, 0);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 0);
    fixture_clear(&f);
}

/* A backend server became unreachable, then the leader died. The next leader
 * waits until the longest lease that the previous one may have granted has
 * expired, but for less time than callers allow. */
static void
check_wait(int64_t inherited_ms, int64_t lease_ms)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct backend_entry gone = {
        .id = (char *)"b1",
        .pool = (char *)"p",
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
    };
    scheduler_backend_inherited(f.sched, &gone, inherited_ms);
    fixture_add_backend(&f, "b2", "p", "m2");
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(&f, JOB_A, "p", two_service_tasks);
    job->inherited = true;
    int64_t taken_over_ms = f.now_ms;
    struct run_report no_answer = {.outcome = REPORT_NO_ANSWER};
    while (fixture_count(&f, COMMAND_START, NULL) == 0 &&
           f.now_ms < taken_over_ms + 20000) {
        fixture_answer(&f, "b1", no_answer);
        fixture_report(&f, "b2", NULL, 0, NULL, 0);
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT(f.now_ms > taken_over_ms + lease_ms);
    CU_ASSERT(f.now_ms < taken_over_ms + lease_ms + 500);
    fixture_clear(&f);
}

static void
test_wait_for_unreachable_server_is_bounded(void)
{
    const struct sched_timings timings = {.lease_max_ms = 10000};
    int64_t lease_ms = sched_timings_lease_ms(&timings);
    /* A service task may be away for 9 s, of which the leadership of the
     * previous leader and the election take up to 3.5 s. */
    CU_ASSERT(lease_ms + 500 <= 9000 - 3500);
    check_wait(lease_ms, lease_ms);
    /* That of earlier versions. */
    check_wait(8500, 8500);
}

/* A leader of an earlier version that hands over before it has read its
 * records names the longest lease that is accepted, and none granted it. */
static void
test_wait_for_named_lease_is_bounded(void)
{
    check_wait(10000, 8500);
}

int
main(int argc, char **argv)
{
    static const struct suite_test tests[] = {
        {"service tasks leave one by one",
         test_service_tasks_leave_one_by_one},
        {"service tasks stay without free capacity",
         test_service_tasks_stay_without_capacity},
        {"the wait for an unreachable server is bounded",
         test_wait_for_unreachable_server_is_bounded},
    };
    static const struct suite_test named[] = {
        {"the wait for a named lease is bounded",
         test_wait_for_named_lease_is_bounded},
    };
    (void)argv;
    if (argc > 1) {
        return suite_main("jobs leaving", named, 1);
    }
    return suite_main("jobs leaving", tests, sizeof(tests) / sizeof(tests[0]));
}
