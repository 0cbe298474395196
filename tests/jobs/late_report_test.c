/* Answers to requests for run reports that were given up: a leader that stood
 * still reads them after it has sent the next request. */
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define TASK_A JOB_A ".0.0.0"
#define TASK_B JOB_B ".0.0.0"

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}]";

enum {
    /* Longer than the scheduler waits for an answer to a request. */
    STANDSTILL_MS = 5300,
};

static struct report_request
last_request(const struct fleet_fixture *f)
{
    const struct recorded_command *last =
        fixture_last(f, COMMAND_REQUEST_REPORT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(last);
    CU_ASSERT_STRING_EQUAL(last->target, "b1");
    return last->request;
}

/* Delivers the answer to @request. */
static void
answer(struct fleet_fixture *f, struct report_request request,
       struct reported_run *running, size_t n_running,
       struct run_completion *completions, size_t n_completions)
{
    struct run_report report = {
        .request = request,
        .outcome = REPORT_READ,
        .incarnation_start_ms = f->incarnation_start_ms,
        .clock_ms = request.sent_ms + 5000,
        .running = running,
        .n_running = n_running,
        .completions = completions,
        .n_completions = n_completions,
    };
    scheduler_on_report(f->sched, "b1", &report);
}

static void
answer_without_report(struct fleet_fixture *f, struct report_request request,
                      enum report_outcome outcome)
{
    struct run_report report = {.request = request, .outcome = outcome};
    scheduler_on_report(f->sched, "b1", &report);
}

/* Task A runs on b1, the only backend server, and a request is in flight. */
static struct reported_run
init_with_request(struct fleet_fixture *f)
{
    fixture_init(f, 0);
    fixture_add_backend(f, "b1", "p", "m1");
    fixture_reconcile(f);
    fixture_add_job(f, JOB_A, "p", one_task);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, "b1"), 1);
    fixture_accept_starts(f);
    fixture_tick(f, f->now_ms + 100);
    struct reported_run running = {.task = TASK_A,
                                   .number =
                                       fixture_last(f, COMMAND_START)->number,
                                   .saved = "",
                                   .percent = 10};
    answer(f, last_request(f), &running, 1, NULL, 0);
    fixture_tick(f, f->now_ms + 100);
    return running;
}

/* The leader stands still; then it gives the request up and sends another. */
static struct report_request
stand_still(struct fleet_fixture *f)
{
    struct report_request given_up = last_request(f);
    fixture_tick(f, f->now_ms + STANDSTILL_MS);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_NOT_EQUAL_FATAL(last_request(f).number, given_up.number);
    return given_up;
}

static const struct run *
only_run(const struct fleet_fixture *f)
{
    struct backend *backend = scheduler_find_backend(f->sched, "b1");
    CU_ASSERT_EQUAL_FATAL(backend->runs->len, 1);
    return g_ptr_array_index(backend->runs, 0);
}

/* Task B starts after the report is made, and before the next request is
 * sent. The report was read as the answer to that, and B started twice. */
static void
test_shows_no_later_absence(void)
{
    struct fleet_fixture f;
    struct reported_run running = init_with_request(&f);
    fixture_add_job(&f, JOB_B, "p", one_task);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_accept_starts(&f);
    struct report_request given_up = stand_still(&f);
    struct report_request latest = last_request(&f);
    answer(&f, given_up, &running, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 100);
    struct reported_run both[] = {running, running};
    both[1].task = TASK_B;
    both[1].number = fixture_last(&f, COMMAND_START)->number;
    answer(&f, latest, both, 2, NULL, 0);
    fixture_tick(&f, f.now_ms + 1000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* Task A is being stopped. The report was made before the stop has taken
 * effect, when the run is in neither list, and its absence says nothing. */
static void
test_shows_no_end_of_a_stop(void)
{
    struct fleet_fixture f;
    init_with_request(&f);
    scheduler_cancel(f.sched, JOB_A);
    fixture_answer_stop(&f, true);
    struct report_request given_up = stand_still(&f);
    answer(&f, given_up, NULL, 0, NULL, 0);
    only_run(&f);
    answer(&f, last_request(&f), NULL, 0, NULL, 0);
    CU_ASSERT_EQUAL(scheduler_find_backend(f.sched, "b1")->runs->len, 0);
    fixture_clear(&f);
}

/* A report that was requested before the stops of the previous leader had
 * taken effect reconciles nothing, however late it is read. */
static void
test_does_not_reconcile(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct backend_entry record = {
        .id = (char *)"b1",
        .incarnation_start_ms = 1,
        .pool = (char *)"p",
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
        .capacity = {.cpu_milli = 16000, .mem_mb = 64000},
    };
    scheduler_backend_inherited(f.sched, &record, 10000);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_add_job(&f, JOB_A, "p", one_task)->inherited = true;
    fixture_tick(&f, f.now_ms + 10);
    struct reported_run running = {
        .task = TASK_A, .number = 7, .saved = "", .percent = 10};
    answer(&f, last_request(&f), &running, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 100);
    struct report_request given_up = stand_still(&f);
    const struct backend *backend = scheduler_find_backend(f.sched, "b1");
    answer(&f, given_up, &running, 1, NULL, 0);
    CU_ASSERT_TRUE(backend->unreconciled);
    answer(&f, last_request(&f), &running, 1, NULL, 0);
    CU_ASSERT_FALSE(backend->unreconciled);
    fixture_clear(&f);
}

/* Only its own answer ends the latest request, and only that shows that the
 * backend server answers. */
static void
test_ends_no_later_request(void)
{
    struct fleet_fixture f;
    struct reported_run running = init_with_request(&f);
    struct report_request given_up = stand_still(&f);
    struct report_request latest = last_request(&f);
    struct backend *backend = scheduler_find_backend(f.sched, "b1");
    answer(&f, given_up, &running, 1, NULL, 0);
    CU_ASSERT_TRUE(backend->report_in_flight);
    CU_ASSERT_TRUE(backend->unresponsive);
    fixture_tick(&f, f.now_ms + 500);
    CU_ASSERT_EQUAL(last_request(&f).number, latest.number);
    answer(&f, latest, &running, 1, NULL, 0);
    CU_ASSERT_FALSE(backend->report_in_flight);
    CU_ASSERT_FALSE(backend->unresponsive);
    fixture_clear(&f);
}

/* The time-out of a request that was given up, or an old refusal, says nothing
 * of a backend server that has answered since. */
static void
test_old_failures(void)
{
    static const enum report_outcome outcomes[] = {REPORT_NO_ANSWER,
                                                   REPORT_OTHER_INCARNATION};
    for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
        struct fleet_fixture f;
        struct reported_run running = init_with_request(&f);
        struct report_request given_up = stand_still(&f);
        struct backend *backend = scheduler_find_backend(f.sched, "b1");
        answer(&f, last_request(&f), &running, 1, NULL, 0);
        answer_without_report(&f, given_up, outcomes[i]);
        CU_ASSERT_FALSE(backend->unresponsive);
        fixture_clear(&f);
    }
}

/* A newer leader's token is a fact, however late it is read. */
static void
test_refusal_of_token_counts(void)
{
    struct fleet_fixture f;
    init_with_request(&f);
    answer_without_report(&f, stand_still(&f), REPORT_FENCED);
    CU_ASSERT_TRUE(scheduler_fenced(f.sched));
    fixture_clear(&f);
}

/* An end is a fact, however late it is read. */
static void
test_completion_counts(void)
{
    struct fleet_fixture f;
    struct reported_run running = init_with_request(&f);
    struct run_completion done = {.number = 57,
                                  .task = TASK_A,
                                  .run = running.number,
                                  .reason = END_DONE,
                                  .saved = ""};
    answer(&f, stand_still(&f), NULL, 0, &done, 1);
    CU_ASSERT_EQUAL(scheduler_find_job(f.sched, JOB_A)->state, JOB_COMPLETED);
    fixture_clear(&f);
}

/* A start without an answer was carried out if a report shows its run. */
static void
test_run_counts(void)
{
    struct fleet_fixture f;
    struct reported_run running = init_with_request(&f);
    fixture_add_job(&f, JOB_B, "p", one_task);
    fixture_tick(&f, f.now_ms + 100);
    const struct recorded_command *start = fixture_last(&f, COMMAND_START);
    struct reported_run both[] = {running, running};
    both[1].task = TASK_B;
    both[1].number = start->number;
    answer(&f, stand_still(&f), both, 2, NULL, 0);
    fixture_tick(&f, f.now_ms + 2000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    fixture_clear(&f);
}

/* Progress doesn't go back. */
static void
test_undoes_no_progress(void)
{
    struct fleet_fixture f;
    struct reported_run running = init_with_request(&f);
    struct report_request given_up = stand_still(&f);
    struct reported_run later = running;
    later.percent = 80;
    later.saved = "80";
    answer(&f, last_request(&f), &later, 1, NULL, 0);
    running.percent = 20;
    running.saved = "20";
    answer(&f, given_up, &running, 1, NULL, 0);
    CU_ASSERT_EQUAL(only_run(&f)->percent, 80);
    CU_ASSERT_STRING_EQUAL(run_task(only_run(&f))->saved, "80");
    fixture_clear(&f);
}

/* A number counts as acknowledged once the request that carried it is
 * answered, and only then. */
static void
test_acknowledges_what_it_carried(void)
{
    struct fleet_fixture f;
    struct reported_run running = init_with_request(&f);
    fixture_add_job(&f, JOB_B, "p", one_task);
    fixture_tick(&f, f.now_ms + 100);
    fixture_accept_starts(&f);
    struct run_completion done = {.number = 57,
                                  .task = TASK_B,
                                  .run =
                                      fixture_last(&f, COMMAND_START)->number,
                                  .reason = END_DONE,
                                  .saved = ""};
    answer(&f, last_request(&f), &running, 1, &done, 1);
    fixture_tick(&f, f.now_ms + 100);
    /* Its effect is stored now. */
    answer(&f, last_request(&f), &running, 1, &done, 1);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL_FATAL(
        fixture_last(&f, COMMAND_REQUEST_REPORT)->acked_completion, 57);
    struct backend *backend = scheduler_find_backend(f.sched, "b1");
    struct report_request given_up = stand_still(&f);
    answer(&f, last_request(&f), &running, 1, &done, 1);
    CU_ASSERT_EQUAL(backend->acked_answered, 0);
    answer(&f, given_up, &running, 1, NULL, 0);
    CU_ASSERT_EQUAL(backend->acked_answered, 57);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a late report shows no absence later than its request",
         test_shows_no_later_absence},
        {"nor the end of a stop", test_shows_no_end_of_a_stop},
        {"nor does it reconcile", test_does_not_reconcile},
        {"it ends no later request", test_ends_no_later_request},
        {"old failures say nothing of a backend server that answers",
         test_old_failures},
        {"a refusal of the fencing token counts",
         test_refusal_of_token_counts},
        {"a completion in a late report counts", test_completion_counts},
        {"a run in a late report counts", test_run_counts},
        {"a late report undoes no progress", test_undoes_no_progress},
        {"a late report acknowledges what its request carried",
         test_acknowledges_what_it_carried},
    };
    return suite_main("jobs late report", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
