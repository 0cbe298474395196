/* Backend servers that start again under the same id: which facts, commands
 * and acknowledgements of the earlier incarnation still count. */
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}]";

enum {
    FIRST_START_MS = 10,
    SECOND_START_MS = 20,
    /* The longest lease in the fixture's timings. */
    LEASE_MAX_MS = 10000,
};

static void
list_b1(struct fleet_fixture *f, int64_t incarnation_start_ms)
{
    f->incarnation_start_ms = incarnation_start_ms;
    fixture_add_backend(f, "b1", "p", "m1");
}

/* The only task was sent to b1; only b2 could run it too. */
static void
init_with_start(struct fleet_fixture *f)
{
    fixture_init(f, 0);
    f->incarnation_start_ms = FIRST_START_MS;
    fixture_drain_backend(f, "b2", "p", "m2");
    list_b1(f, FIRST_START_MS);
    fixture_reconcile(f);
    fixture_add_job(f, JOB_A, "p", one_task);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, "b1"), 1);
    fixture_add_backend(f, "b2", "p", "m2");
}

static void
report_running(struct fleet_fixture *f)
{
    const struct recorded_command *start = fixture_last(f, COMMAND_START);
    struct reported_run running = {.task = start->task,
                                   .number = start->number,
                                   .saved = "",
                                   .percent = 10};
    fixture_report(f, "b1", &running, 1, NULL, 0);
}

static void
tick_twice(struct fleet_fixture *f)
{
    fixture_tick(f, f->now_ms + 100);
    fixture_tick(f, f->now_ms + 100);
}

/* An entry that was read before the restart arrives after it, and ended the
 * incarnation that runs. */
static void
test_earlier_entry(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    fixture_accept_starts(&f);
    fixture_tick(&f, f.now_ms + 100);
    report_running(&f);
    list_b1(&f, FIRST_START_MS - 1);
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    f.incarnation_start_ms = FIRST_START_MS;
    report_running(&f);
    list_b1(&f, FIRST_START_MS);
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A new leader whose only job is inherited: the record of b1 names an earlier
 * incarnation than its entry, and b2 could run the task. */
static void
init_after_takeover(struct fleet_fixture *f)
{
    fixture_init(f, 1);
    struct backend_entry record = {
        .id = (char *)"b1",
        .incarnation_start_ms = FIRST_START_MS,
        .pool = (char *)"p",
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
        .capacity = {.cpu_milli = 16000, .mem_mb = 64000},
    };
    scheduler_backend_inherited(f->sched, &record, 3000);
    f->incarnation_start_ms = FIRST_START_MS;
    fixture_add_backend(f, "b2", "p", "m2");
    list_b1(f, SECOND_START_MS);
    fixture_tick(f, f->now_ms + 10);
    f->incarnation_start_ms = FIRST_START_MS;
    fixture_report(f, "b2", NULL, 0, NULL, 0);
    fixture_add_job(f, JOB_A, "p", one_task)->inherited = true;
}

/* Runs that the previous leader started on the new incarnation weren't waited
 * for, and their tasks started elsewhere. */
static void
test_restart_before_takeover(void)
{
    struct fleet_fixture f;
    init_after_takeover(&f);
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    f.incarnation_start_ms = SECOND_START_MS;
    struct reported_run running = {
        .task = JOB_A ".0.0.0", .number = 7, .saved = "", .percent = 10};
    fixture_report(&f, "b1", &running, 1, NULL, 0);
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    fixture_clear(&f);
}

static void
no_answer(struct fleet_fixture *f)
{
    struct run_report report = {.outcome = REPORT_NO_ANSWER};
    fixture_answer(f, "b1", report);
}

/* The new incarnation is out of reach. It may hold a lease as long as it
 * accepts: it has been granted one on the clock of the earlier incarnation,
 * and its own starts anew. The lease was taken to have ended at once. */
static void
test_lease_of_new_incarnation(void)
{
    struct fleet_fixture f;
    init_after_takeover(&f);
    int64_t restart_seen_ms = f.now_ms;
    for (; f.now_ms < restart_seen_ms + LEASE_MAX_MS;) {
        no_answer(&f);
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    for (; f.now_ms < restart_seen_ms + 3 * LEASE_MAX_MS;) {
        no_answer(&f);
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b2"), 1);
    fixture_clear(&f);
}

/* Answers the request that is in flight, if any, and one that is sent next. */
static void
report_empty_twice(struct fleet_fixture *f)
{
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    fixture_tick(f, f->now_ms + 100);
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    fixture_tick(f, f->now_ms + 100);
}

/* The new incarnation has carried out and acknowledged a start before its
 * entry was read. Its run was released, and the task started elsewhere. */
static void
test_start_acknowledged_by_new_incarnation(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    fixture_accept_starts(&f);
    list_b1(&f, SECOND_START_MS);
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    report_running(&f);
    fixture_tick(&f, f.now_ms + 100);
    report_running(&f);
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A run that a report of the earlier incarnation has shown ended with it; its
 * task starts at once. So does one whose start the new incarnation no longer
 * carries out. */
static void
test_ended_runs_are_released(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    fixture_tick(&f, f.now_ms + 10);
    report_running(&f);
    list_b1(&f, SECOND_START_MS);
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b2"), 1);
    fixture_clear(&f);
    init_with_start(&f);
    fixture_accept_starts(&f);
    list_b1(&f, SECOND_START_MS);
    report_empty_twice(&f);
    /* It may have crashed the earlier incarnation, which is stored first. */
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* A report that was requested before the restart was seen proves no end: the
 * start may be carried out after it was made. */
static void
test_report_requested_before(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    fixture_tick(&f, f.now_ms + 100);
    list_b1(&f, SECOND_START_MS);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A run that was being stopped may be missing from a report of the new
 * incarnation while that carries out the stop. */
static void
test_stop_of_new_incarnation(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    fixture_accept_starts(&f);
    scheduler_cancel(f.sched, JOB_A);
    fixture_answer_stop(&f, true);
    fixture_tick(&f, f.now_ms + 1000);
    list_b1(&f, SECOND_START_MS);
    report_empty_twice(&f);
    struct sched_stats stats;
    scheduler_stats(f.sched, &stats);
    CU_ASSERT_EQUAL(stats.runs, 1);
    for (int i = 0; i < 10; i++) {
        fixture_tick(&f, f.now_ms + 100);
        fixture_report(&f, "b1", NULL, 0, NULL, 0);
    }
    scheduler_stats(f.sched, &stats);
    CU_ASSERT_EQUAL(stats.runs, 0);
    fixture_clear(&f);
}

/* The earlier incarnation has acknowledged a stop, and the answer is read
 * after its restart was seen. It was read as that to the stop that was sent to
 * the new incarnation, which ran the task on and was never told again. */
static void
test_stop_of_earlier_incarnation(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    fixture_accept_starts(&f);
    scheduler_cancel(f.sched, JOB_A);
    struct recorded_command before = *fixture_last(&f, COMMAND_STOP);
    list_b1(&f, SECOND_START_MS);
    tick_twice(&f);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_STOP, "b1"), 2);
    scheduler_on_stop(f.sched, before.handle, before.attempt, true);
    fixture_answer_stop(&f, false);
    report_running(&f);
    for (int i = 0; i < 20; i++) {
        fixture_tick(&f, f.now_ms + 100);
        report_running(&f);
    }
    CU_ASSERT(fixture_count(&f, COMMAND_STOP, "b1") > 2);
    fixture_clear(&f);
}

static const struct recorded_command *
last_request_to_b1(const struct fleet_fixture *f)
{
    const struct recorded_command *last = NULL;
    for (guint i = 0; i < f->commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(f->commands, i);
        if (command->kind == COMMAND_REQUEST_REPORT &&
            strcmp(command->target, "b1") == 0) {
            last = command;
        }
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(last);
    return last;
}

/* Commands to the earlier incarnation that are carried out late started runs
 * on the new one. What is sent to it first, a report request, has a higher
 * token than they have, and a lower one than a later leader's. */
static void
test_token_rises(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    int64_t token = fixture_last(&f, COMMAND_START)->token;
    list_b1(&f, SECOND_START_MS);
    report_empty_twice(&f);
    const struct recorded_command *request = last_request_to_b1(&f);
    CU_ASSERT(request->token > token);
    struct backend *backend = scheduler_find_backend(f.sched, "b1");
    CU_ASSERT(backend_fencing_token(backend, 8) > request->token);
    backend->incarnation = UINT32_MAX;
    CU_ASSERT(backend_fencing_token(backend, 7) <
              backend_fencing_token(scheduler_find_backend(f.sched, "b2"), 8));
    fixture_clear(&f);
}

/* The new incarnation refuses a report request that was sent before its
 * restart was seen. That ended the leadership. */
static void
test_own_earlier_token_refused(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    fixture_tick(&f, f.now_ms + 10);
    list_b1(&f, SECOND_START_MS);
    struct run_report report = {.outcome = REPORT_FENCED};
    fixture_answer(&f, "b1", report);
    CU_ASSERT_FALSE(scheduler_fenced(f.sched));
    fixture_tick(&f, f.now_ms + 10);
    fixture_answer(&f, "b1", report);
    CU_ASSERT_TRUE(scheduler_fenced(f.sched));
    fixture_clear(&f);
}

/* A completion of the earlier incarnation is stored after the restart. Its
 * number was acknowledged to the new one, which forgot its own completions up
 * to there before anybody had read them. */
static void
test_completion_of_earlier_incarnation(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    const struct recorded_command *start = fixture_last(&f, COMMAND_START);
    struct run_completion done = {.number = 57,
                                  .task = start->task,
                                  .run = start->number,
                                  .reason = END_DONE,
                                  .saved = ""};
    fixture_report(&f, "b1", NULL, 0, &done, 1);
    list_b1(&f, SECOND_START_MS);
    report_empty_twice(&f);
    report_empty_twice(&f);
    fixture_tick(&f, f.now_ms + 1000);
    CU_ASSERT_EQUAL(last_request_to_b1(&f)->acked_completion, 0);
    fixture_clear(&f);
}

/* The entry was removed, and the backend server forgotten, before it starts
 * again. The token was the earlier one again. */
static void
test_token_rises_after_removal(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    list_b1(&f, FIRST_START_MS);
    fixture_reconcile(&f);
    int64_t token = last_request_to_b1(&f)->token;
    scheduler_backend_removed(f.sched, "b1");
    tick_twice(&f);
    CU_ASSERT_PTR_NULL(scheduler_find_backend(f.sched, "b1"));
    list_b1(&f, SECOND_START_MS);
    fixture_reconcile(&f);
    CU_ASSERT(last_request_to_b1(&f)->token > token);
    fixture_clear(&f);
}

/* Every request repeated the highest number that is acknowledged. A new
 * incarnation that carried one out before its restart was seen forgot its own
 * completions up to there. */
static void
test_acknowledged_once(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    const struct recorded_command *start = fixture_last(&f, COMMAND_START);
    struct run_completion done = {.number = 57,
                                  .task = start->task,
                                  .run = start->number,
                                  .reason = END_DONE,
                                  .saved = ""};
    fixture_report(&f, "b1", NULL, 0, &done, 1);
    tick_twice(&f);
    CU_ASSERT_EQUAL(last_request_to_b1(&f)->acked_completion, 57);
    /* Without an answer it may have been lost, or the next one may reach a new
     * incarnation. */
    no_answer(&f);
    fixture_tick(&f, f.now_ms + 500);
    CU_ASSERT_EQUAL(last_request_to_b1(&f)->acked_completion, 0);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    tick_twice(&f);
    CU_ASSERT_EQUAL(last_request_to_b1(&f)->acked_completion, 57);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    no_answer(&f);
    int64_t answered_ms = f.now_ms;
    fixture_tick(&f, f.now_ms + 1000);
    CU_ASSERT(last_request_to_b1(&f)->at_ms > answered_ms);
    CU_ASSERT_EQUAL(last_request_to_b1(&f)->acked_completion, 0);
    fixture_clear(&f);
}

static void
report_started(struct fleet_fixture *f, int64_t start_ms)
{
    f->incarnation_start_ms = start_ms;
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    tick_twice(f);
}

/* The host restarts after its clock was set back by more than that takes. All
 * that the new incarnation said counted as late, and its tasks as running. */
static void
test_clock_set_back(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    fixture_accept_starts(&f);
    fixture_tick(&f, f.now_ms + 100);
    report_running(&f);
    fixture_drain_backend(&f, "b2", "p", "m2");
    tick_twice(&f);
    list_b1(&f, FIRST_START_MS - 5);
    for (int i = 0; i < 4; i++) {
        report_started(&f, FIRST_START_MS - 5);
    }
    list_b1(&f, FIRST_START_MS - 5);
    tick_twice(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 2);
    fixture_accept_starts(&f);
    fixture_tick(&f, f.now_ms + 100);
    report_running(&f);
    /* What is late now is what the earlier one said. */
    f.incarnation_start_ms = FIRST_START_MS;
    fixture_add_backend(&f, "b2", "p", "m2");
    list_b1(&f, FIRST_START_MS);
    tick_twice(&f);
    report_started(&f, FIRST_START_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* One report of an earlier incarnation is a late one. */
static void
test_one_earlier_report(void)
{
    struct fleet_fixture f;
    init_with_start(&f);
    fixture_accept_starts(&f);
    fixture_tick(&f, f.now_ms + 100);
    report_running(&f);
    for (int i = 0; i < 3; i++) {
        tick_twice(&f);
        report_started(&f, FIRST_START_MS - 5);
        f.incarnation_start_ms = FIRST_START_MS;
        report_running(&f);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"an earlier entry ends nothing", test_earlier_entry},
        {"a restart before a takeover doesn't reconcile",
         test_restart_before_takeover},
        {"a new incarnation holds a lease to its longest end",
         test_lease_of_new_incarnation},
        {"a start that the new incarnation acknowledged is kept",
         test_start_acknowledged_by_new_incarnation},
        {"runs of the earlier incarnation are released",
         test_ended_runs_are_released},
        {"a report requested before the restart proves nothing",
         test_report_requested_before},
        {"a stop may be under way on the new incarnation",
         test_stop_of_new_incarnation},
        {"a stop that the earlier incarnation acknowledged is repeated",
         test_stop_of_earlier_incarnation},
        {"the fencing token rises with a restart", test_token_rises},
        {"a refusal of an earlier token ends no leadership",
         test_own_earlier_token_refused},
        {"a completion of the earlier incarnation isn't acknowledged",
         test_completion_of_earlier_incarnation},
        {"the fencing token rises also after a removal",
         test_token_rises_after_removal},
        {"a clock that was set back", test_clock_set_back},
        {"one report of an earlier incarnation", test_one_earlier_report},
        {"a completion is acknowledged until that is answered",
         test_acknowledged_once},
    };
    return suite_main("jobs restarted backend", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
