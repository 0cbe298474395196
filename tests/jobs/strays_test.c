/* Runs that a backend server reports and that no task wants: until they have
 * ended they take capacity, also where nothing but the scheduler guards it. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define JOB_C "00000000000000cc"

/* Half of a backend server. */
static const char half_task[] =
    "[{\"count\":1,\"cpu\":8000,\"mem_mb\":100,\"estimate_ms\":500}]";

static void
report_running(struct fleet_fixture *f, const char *task, uint32_t number)
{
    struct reported_run running = {
        .task = task, .number = number, .saved = "", .percent = 10};
    fixture_report(f, "b1", &running, 1, NULL, 0);
}

/* After a handover a backend server reports a run of a job that was cancelled
 * meanwhile. It is stopped, and still takes its half of the capacity until its
 * completion is reported. */
static void
test_stray_takes_capacity(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_set_enforced(&f, "p", false);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", half_task);
    scheduler_cancel(f.sched, JOB_A);
    report_running(&f, JOB_A ".0.0.0", 7);
    fixture_add_job(&f, JOB_B, "p", half_task);
    fixture_add_job(&f, JOB_C, "p", half_task);
    fixture_tick(&f, f.now_ms + 30);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 1);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    fixture_answer_stop(&f, true);
    fixture_tick(&f, f.now_ms + 30);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    fixture_accept_starts(&f);
    struct run_completion ended = {.number = 1,
                                   .task = JOB_A ".0.0.0",
                                   .run = 7,
                                   .reason = END_STOPPED,
                                   .saved = ""};
    fixture_report(&f, "b1", NULL, 0, &ended, 1);
    fixture_tick(&f, f.now_ms + 30);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 2);
    fixture_clear(&f);
}

/* What a run of an unknown job takes is unknown, so nothing starts beside it
 * where only the scheduler guards the capacity. */
static void
test_unknown_stray_blocks(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_set_enforced(&f, "p", false);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    report_running(&f, JOB_A ".0.0.0", 7);
    fixture_add_job(&f, JOB_B, "p", half_task);
    fixture_tick(&f, f.now_ms + 30);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 0);
    fixture_answer_stop(&f, true);
    report_running(&f, JOB_A ".0.0.0", 7);
    /* Missing from a report that was requested after the longest time of a
     * stop: it has ended. */
    fixture_tick(&f, f.now_ms + 700);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 30);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    fixture_clear(&f);
}

/* Reports that come within milliseconds show the same stray again; its stop is
 * in flight and isn't sent for each of them. */
static void
test_stray_stopped_once(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    for (int i = 0; i < 4; i++) {
        report_running(&f, JOB_A ".0.0.0", 7);
        fixture_tick(&f, f.now_ms + 25);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 1);
    fixture_answer_stop(&f, false);
    fixture_tick(&f, f.now_ms + 500);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b1"), 2);
    fixture_clear(&f);
}

/* A task whose stray run is being stopped doesn't start a second time before
 * that run has ended. */
static void
test_task_waits_for_its_stray(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_add_backend(&f, "b2", "p", "m2");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", half_task);
    fixture_tick(&f, f.now_ms + 10);
    const struct recorded_command *start = fixture_last(&f, COMMAND_START);
    CU_ASSERT_PTR_NOT_NULL_FATAL(start);
    bool on_first = strcmp(start->target, "b1") == 0;
    struct reported_run running = {.task = JOB_A ".0.0.0",
                                   .number = start->number + 1,
                                   .saved = "",
                                   .percent = 10};
    fixture_report(&f, on_first ? "b2" : "b1", &running, 1, NULL, 0);
    /* The tracked run turns out to have never started. */
    scheduler_on_start(f.sched, start->handle, START_REFUSED, 0);
    fixture_tick(&f, f.now_ms + 500);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 1);
    struct run_completion ended = {.number = 1,
                                   .task = JOB_A ".0.0.0",
                                   .run = running.number,
                                   .reason = END_STOPPED,
                                   .saved = ""};
    fixture_report(&f, on_first ? "b2" : "b1", NULL, 0, &ended, 1);
    fixture_tick(&f, f.now_ms + 30);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* The previous leader may be stopping runs that are missing from the first
 * report. Where only the scheduler guards the capacity, also a new job waits
 * until such a stop must have taken effect. */
static void
test_new_job_waits_for_inherited_stops(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_set_enforced(&f, "p", false);
    struct backend_entry entry = {
        .id = (char *)"b1",
        .incarnation_start_ms = 1,
        .pool = (char *)"p",
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
        .capacity = {.cpu_milli = 16000, .mem_mb = 64000},
    };
    scheduler_backend_inherited(f.sched, &entry, 3000);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    fixture_add_job(&f, JOB_B, "p", half_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 0);
    fixture_tick(&f, f.now_ms + 700);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    fixture_clear(&f);
}

/* Guards against a stop, or a line of the log, that names only the start of
 * what a backend server has reported. */
static void
test_stray_is_named_whole(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    char *rest = g_strnfill(2000, 'x');
    char *task = g_strdup_printf(JOB_A ".0.0.0\xC0\x80\"%s", rest);
    char *logged =
        g_strdup_printf("\"task\":\"" JOB_A ".0.0.0\\u0000\\\"%s\",", rest);
    report_running(&f, task, 7);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f.last_event);
    CU_ASSERT_PTR_NOT_NULL(strstr(f.last_event, logged));
    CU_ASSERT(g_str_has_suffix(f.last_event, "\""));
    fixture_tick(&f, f.now_ms + 30);
    const struct recorded_command *stop = fixture_last(&f, COMMAND_STOP);
    CU_ASSERT_PTR_NOT_NULL_FATAL(stop);
    CU_ASSERT_STRING_EQUAL(stop->task, task);
    g_free(rest);
    g_free(task);
    g_free(logged);
    fixture_clear(&f);
}

/* Guards against a run of a task whose name differs from a known one only in
 * how its numbers are written: the run of the known one would be told to stop
 * under a name that its backend server doesn't have. */
static void
test_other_spelling_is_a_stray(void)
{
    static const char *const others[] = {
        JOB_A ".0.0.00", JOB_A ".0.0.+0",         JOB_A ".0. 0.0",
        JOB_A ".0.-0.0", JOB_A ".4294967296.0.0",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        struct fleet_fixture f;
        fixture_init(&f, 1);
        fixture_add_backend(&f, "b1", "p", "m1");
        fixture_add_job(&f, JOB_A, "p", half_task);
        report_running(&f, others[i], 7);
        fixture_tick(&f, f.now_ms + 30);
        const struct recorded_command *stop = fixture_last(&f, COMMAND_STOP);
        CU_ASSERT_PTR_NOT_NULL_FATAL(stop);
        CU_ASSERT_STRING_EQUAL(stop->task, others[i]);
        fixture_clear(&f);
    }
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a stray takes capacity until it has ended",
         test_stray_takes_capacity},
        {"a stray of unknown need blocks its backend server",
         test_unknown_stray_blocks},
        {"a stray's stop is sent once, and again without an answer",
         test_stray_stopped_once},
        {"a task waits for the end of its stray run",
         test_task_waits_for_its_stray},
        {"a new job waits for stops of the previous leader",
         test_new_job_waits_for_inherited_stops},
        {"a stray is named whole", test_stray_is_named_whole},
        {"a task by another spelling is a stray",
         test_other_spelling_is_a_stray},
    };
    return suite_main("jobs strays", tests, sizeof(tests) / sizeof(tests[0]));
}
