/* Service tasks whose start command got no answer and is carried out late:
 * stops follow what reports show, so that none ends a task that works. */
#include <stdio.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define SERVICE_JOB "00000000000000aa"

enum {
    /* Longer than a service task may take to show in a report. */
    NOT_SHOWN_MS = 3000,
    /* Longer than the pause before a stop is repeated. */
    REPEAT_MS = 2000,
};

static struct reported_run service_run = {
    .task = SERVICE_JOB ".0.0.0",
    .number = 1,
    .saved = "",
    .percent = 100,
};

/* Reports don't show the service task, so it is stopped. */
static void
stop_sent(struct fleet_fixture *f)
{
    fixture_init(f, 0);
    fixture_add_backend(f, "b1", "p", "m1");
    fixture_reconcile(f);
    fixture_add_job(f, SERVICE_JOB, "p",
                    "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,"
                    "\"long_running\":true,\"may_miss\":1}]");
    fixture_tick(f, f->now_ms + 10);
    const struct recorded_command *start = fixture_last(f, COMMAND_START);
    CU_ASSERT_PTR_NOT_NULL_FATAL(start);
    scheduler_on_start(f->sched, start->handle, START_NO_ANSWER, 0);
    fixture_tick(f, f->now_ms + NOT_SHOWN_MS);
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    fixture_tick(f, f->now_ms + 10);
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_STOP, "b1"), 1);
}

/* The stop gets no answer either. */
static void
stop_unanswered(struct fleet_fixture *f)
{
    stop_sent(f);
    fixture_answer_stop(f, false);
}

/* The start is carried out between the stop and its repetition. */
static void
test_started_after_stop(void)
{
    struct fleet_fixture f;
    stop_unanswered(&f);
    fixture_tick(&f, f.now_ms + REPEAT_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 1);
    fixture_report(&f, "b1", &service_run, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + REPEAT_MS);
    fixture_report(&f, "b1", &service_run, 1, NULL, 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 1);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A stop takes a while, and meanwhile reports show neither the run nor its
 * end: the task starts anew only once it must have ended. */
static void
expect_stop_proved(struct fleet_fixture *f)
{
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(f, COMMAND_START, NULL), 1);
    fixture_answer_stop(f, true);
    fixture_tick(f, f->now_ms + 10);
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(f, COMMAND_START, NULL), 1);
    fixture_tick(f, f->now_ms + REPEAT_MS);
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    fixture_tick(f, f->now_ms + REPEAT_MS);
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(f, COMMAND_START, NULL), 2);
}

/* The stop without an answer is carried out after a report has recalled it:
 * the task was started a second time while the first run was being stopped. */
static void
test_recalled_stop_carried_out(void)
{
    struct fleet_fixture f;
    stop_unanswered(&f);
    fixture_tick(&f, f.now_ms + REPEAT_MS);
    fixture_report(&f, "b1", &service_run, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 1);
    expect_stop_proved(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 2);
    fixture_clear(&f);
}

/* The same with the acknowledgement of the stop after such a report. */
static void
test_recalled_stop_acknowledged(void)
{
    struct fleet_fixture f;
    stop_sent(&f);
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "b1", &service_run, 1, NULL, 0);
    fixture_answer_stop(&f, true);
    fixture_tick(&f, f.now_ms + 10);
    expect_stop_proved(&f);
    fixture_clear(&f);
}

/* A leader whose leadership is in doubt sends nothing: the next one may know
 * the task to work. */
static void
test_not_repeated_without_leadership(void)
{
    struct fleet_fixture f;
    stop_unanswered(&f);
    scheduler_set_leadership_valid(f.sched, false);
    fixture_tick(&f, f.now_ms + REPEAT_MS);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 1);
    scheduler_set_leadership_valid(f.sched, true);
    fixture_tick(&f, f.now_ms + 100);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 2);
    fixture_clear(&f);
}

/* As long as reports don't show it, it is stopped again, and starts anew once
 * that is acknowledged. */
static void
test_not_started(void)
{
    struct fleet_fixture f;
    stop_unanswered(&f);
    fixture_tick(&f, f.now_ms + REPEAT_MS);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 2);
    fixture_answer_stop(&f, true);
    fixture_tick(&f, f.now_ms + REPEAT_MS);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + REPEAT_MS);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* Its job is cancelled: the stop is repeated whatever reports show. */
static void
test_cancelled(void)
{
    struct fleet_fixture f;
    stop_unanswered(&f);
    scheduler_cancel(f.sched, SERVICE_JOB);
    fixture_tick(&f, f.now_ms + REPEAT_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 2);
    fixture_answer_stop(&f, false);
    fixture_report(&f, "b1", &service_run, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 2 * REPEAT_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 3);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a service task that started after its stop goes on",
         test_started_after_stop},
        {"one that reports don't show is stopped again", test_not_started},
        {"one of a cancelled job is stopped again", test_cancelled},
        {"a recalled stop that is carried out",
         test_recalled_stop_carried_out},
        {"a recalled stop that is acknowledged",
         test_recalled_stop_acknowledged},
        {"no stop is repeated without leadership",
         test_not_repeated_without_leadership},
    };
    return suite_main("jobs late start", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
