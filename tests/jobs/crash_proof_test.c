/* Which losses of a backend server count as crashes under a task. */
#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "platform/kv.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"

enum {
    /* The fixture's backend servers' clocks are this far ahead. */
    CLOCK_OFFSET_MS = 5000,
};

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}]";
static const char service[] = "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"
                              "\"estimate_ms\":500,\"long_running\":true}]";

static struct job_task *
first_task(struct job *job)
{
    return &job_step_progress(job, 0, 0)->tasks[0];
}

static void
list(struct fleet_fixture *f, const char *id, const char *host,
     int64_t incarnation_start_ms)
{
    f->incarnation_start_ms = incarnation_start_ms;
    fixture_add_backend(f, id, "p", host);
}

static void
accept_start(struct fleet_fixture *f, int64_t clock_ms)
{
    scheduler_on_start(f->sched, fixture_last(f, COMMAND_START)->handle,
                       START_DONE, clock_ms);
}

static void
give_no_answer(struct fleet_fixture *f, const char *id)
{
    struct run_report none = {.outcome = REPORT_NO_ANSWER};
    fixture_answer(f, id, none);
}

static void
run_passes(struct fleet_fixture *f, int n_passes)
{
    for (int i = 0; i < n_passes; i++) {
        fixture_tick(f, f->now_ms + 50);
    }
}

static struct job *
init_with_start(struct fleet_fixture *f)
{
    fixture_init(f, 0);
    list(f, "b1", "m1", 10);
    fixture_reconcile(f);
    struct job *job = fixture_add_job(f, JOB_A, "p", one_task);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, "b1"), 1);
    return job;
}

static void
test_one_run_is_counted_once(void)
{
    struct fleet_fixture f;
    struct job *job = init_with_start(&f);
    accept_start(&f, f.now_ms + CLOCK_OFFSET_MS);
    list(&f, "b1", "m1", 20);
    fixture_tick(&f, f.now_ms + 100);
    list(&f, "b1", "m1", 30);
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    CU_ASSERT(first_task(job)->crash.crashes <= 1);
    fixture_clear(&f);
}

/* Loses the backend server of the task while three others, on which nothing
 * has just started, fall silent for @silent_ms. Returns the crashes counted.
 */
static uint32_t
crashes_beside_silence(int64_t silent_ms, bool drained)
{
    static const char *const others[] = {"b2", "b3", "b4"};
    struct fleet_fixture f;
    struct job *job = init_with_start(&f);
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        char host[] = {'m', (char)('2' + i), 0};
        list(&f, others[i], host, 10);
    }
    fixture_reconcile(&f);
    accept_start(&f, f.now_ms + CLOCK_OFFSET_MS);
    give_no_answer(&f, "b1");
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        if (drained) {
            char host[] = {'m', (char)('2' + i), 0};
            fixture_drain_backend(&f, others[i], "p", host);
        }
        give_no_answer(&f, others[i]);
    }
    fixture_tick(&f, f.now_ms + silent_ms);
    f.incarnation_start_ms = 10;
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        fixture_report(&f, others[i], NULL, 0, NULL, 0);
    }
    list(&f, "b1", "m1", 20);
    uint32_t crashes = first_task(job)->crash.crashes;
    fixture_clear(&f);
    return crashes;
}

/* Answers get lost, so that some servers miss one at any moment. */
static void
test_lost_answers_are_no_outage(void)
{
    CU_ASSERT_EQUAL(crashes_beside_silence(300, false), 1);
}

static void
test_drained_servers_are_no_outage(void)
{
    CU_ASSERT_EQUAL(crashes_beside_silence(2000, true), 1);
}

static void
test_outage_is_no_crash(void)
{
    CU_ASSERT_EQUAL(crashes_beside_silence(2000, false), 0);
}

static void
test_drained_server_has_not_crashed(void)
{
    struct fleet_fixture f;
    struct job *job = init_with_start(&f);
    accept_start(&f, f.now_ms + CLOCK_OFFSET_MS);
    fixture_drain_backend(&f, "b1", "p", "m1");
    fixture_tick(&f, f.now_ms + 100);
    list(&f, "b1", "m1", 20);
    CU_ASSERT_EQUAL(first_task(job)->crash.crashes, 0);
    fixture_clear(&f);
}

static void
test_moved_server_has_not_crashed(void)
{
    struct fleet_fixture f;
    struct job *job = init_with_start(&f);
    accept_start(&f, f.now_ms + CLOCK_OFFSET_MS);
    f.incarnation_start_ms = 20;
    fixture_add_backend(&f, "b1", "q", "m1");
    CU_ASSERT_EQUAL(first_task(job)->crash.crashes, 0);
    fixture_clear(&f);
}

/* The clock in the answer is that of the next incarnation, of which no entry
 * or report was read yet. */
static void
test_started_after_the_crash(void)
{
    struct fleet_fixture f;
    struct job *job = init_with_start(&f);
    accept_start(&f, 50);
    list(&f, "b1", "m1", 20);
    CU_ASSERT_EQUAL(first_task(job)->crash.crashes, 0);
    fixture_clear(&f);
}

static void
test_earlier_entry_proves_no_crash(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    list(&f, "b1", "m1", 10);
    list(&f, "b2", "m1", 20);
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, "b2"), 1);
    accept_start(&f, f.now_ms + CLOCK_OFFSET_MS);
    for (int i = 0; i < 40 && first_task(job)->run != NULL; i++) {
        fixture_tick(&f, f.now_ms + 100);
        give_no_answer(&f, "b2");
    }
    CU_ASSERT_PTR_NULL(first_task(job)->run);
    list(&f, "b1", "m1", 10);
    CU_ASSERT_EQUAL(first_task(job)->crash.crashes, 0);
    fixture_clear(&f);
}

static struct job *
inherit_job(struct fleet_fixture *f, const char *record, const char *steps)
{
    struct job *job = fixture_create_job(f, JOB_A, "p", steps);
    job->inherited = true;
    CU_ASSERT_TRUE(record_progress_apply(job, record, strlen(record)));
    scheduler_add_job(f->sched, job);
    job_unref(job);
    return job;
}

static void
inherit_backend(struct fleet_fixture *f, const char *id, const char *host)
{
    struct backend_entry entry = {.id = (char *)id,
                                  .incarnation_start_ms = 10,
                                  .pool = (char *)"p",
                                  .address = (char *)"127.0.0.1:1",
                                  .data_centre = (char *)"dc",
                                  .host = (char *)host};
    scheduler_backend_inherited(f->sched, &entry, 3000);
}

/* The previous leader recorded where the suspect would start, and may not have
 * sent the start. With one crash that is not proof. */
static void
test_recorded_start_was_not_sent(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct job *job =
        inherit_job(&f,
                    "{\"state\":\"active\",\"parts\":[\".\"],\"tasks\":[],"
                    "\"crashes\":[[0,0,0,0,1,\"b1\"]]}",
                    one_task);
    inherit_backend(&f, "b1", "m1");
    list(&f, "b1x", "m1", 20);
    list(&f, "b2", "m2", 20);
    fixture_reconcile(&f);
    for (int i = 0; i < 60 && fixture_count(&f, COMMAND_START, NULL) == 0;
         i++) {
        run_passes(&f, 1);
    }
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 1);
    accept_start(&f, f.now_ms + CLOCK_OFFSET_MS);
    bool on_b2 = strcmp(fixture_last(&f, COMMAND_START)->target, "b2") == 0;
    give_no_answer(&f, on_b2 ? "b2" : "b1x");
    list(&f, "new", on_b2 ? "m2" : "m1", 30);
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    fixture_clear(&f);
}

static void
test_crash_is_counted_once_over_a_takeover(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    struct job *job = fixture_create_job(&f, JOB_A, "p", one_task);
    first_task(job)->crash.suspect = true;
    scheduler_add_job(f.sched, job);
    job_unref(job);
    list(&f, "b1", "m1", 10);
    fixture_reconcile(&f);
    run_passes(&f, 4);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    accept_start(&f, f.now_ms + CLOCK_OFFSET_MS);
    give_no_answer(&f, "b1");
    list(&f, "b1x", "m1", 20);
    CU_ASSERT_EQUAL(first_task(job)->crash.crashes, 1);
    char *record = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
    struct fleet_fixture next;
    fixture_init_at(&next, 1, f.now_ms);
    job = inherit_job(&next, record, one_task);
    inherit_backend(&next, "b1", "m1");
    list(&next, "b1x", "m1", 20);
    fixture_reconcile(&next);
    run_passes(&next, 30);
    CU_ASSERT_EQUAL(first_task(job)->crash.crashes, 1);
    g_free(record);
    fixture_clear(&next);
    fixture_clear(&f);
}

static void
test_crash_under_the_same_id_over_a_takeover(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct job *job =
        inherit_job(&f,
                    "{\"state\":\"active\",\"parts\":[\".\"],\"tasks\":[],"
                    "\"crashes\":[[0,0,0,0,1,\"b1\"]]}",
                    one_task);
    inherit_backend(&f, "b1", "m1");
    list(&f, "b1", "m1", 20);
    fixture_reconcile(&f);
    for (int i = 0; i < 8; i++) {
        run_passes(&f, 4);
        f.incarnation_start_ms = 20;
        fixture_report(&f, "b1", NULL, 0, NULL, 0);
    }
    CU_ASSERT_EQUAL(first_task(job)->crash.alone, 1);
    fixture_clear(&f);
}

/* The backend server where a service task started last is gone for good. */
static void
test_inherited_service_does_not_wait(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    inherit_job(&f,
                "{\"state\":\"active\",\"parts\":[\".\"],\"tasks\":[],"
                "\"crashes\":[[0,0,1,0,1,\"gone\"]]}",
                service);
    int64_t taken_over_ms = f.now_ms;
    list(&f, "b2", "m2", 20);
    list(&f, "b3", "m3", 20);
    fixture_reconcile(&f);
    for (int i = 0; i < 400 && fixture_count(&f, COMMAND_START, NULL) == 0;
         i++) {
        run_passes(&f, 1);
    }
    CU_ASSERT(f.now_ms - taken_over_ms < 3000);
    fixture_clear(&f);
}

/* The host never comes back, so its loss is never proved; the job that ran
 * there still leaves the store and the memory after its retention time. */
static void
test_lost_host_keeps_no_job(void)
{
    struct fleet_fixture f;
    struct job *job = init_with_start(&f);
    accept_start(&f, f.now_ms + CLOCK_OFFSET_MS);
    scheduler_backend_removed(f.sched, "b1");
    for (int i = 0; i < 60; i++) {
        fixture_tick(&f, f.now_ms + 100);
        give_no_answer(&f, "b1");
    }
    CU_ASSERT_PTR_NULL(first_task(job)->run);
    scheduler_cancel(f.sched, JOB_A);
    fixture_tick(&f, f.now_ms + 2000000);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_PTR_NULL(scheduler_find_job(f.sched, JOB_A));
    fixture_clear(&f);
}

/* The job is given up in the middle of a pass over its tasks. */
static void
test_given_up_job_starts_nothing(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    inherit_backend(&f, "b1", "m1");
    list(&f, "b1x", "m1", 20);
    list(&f, "b2", "m2", 20);
    fixture_reconcile(&f);
    run_passes(&f, 10);
    struct job *job =
        inherit_job(&f,
                    "{\"state\":\"active\",\"parts\":[\"..\"],\"tasks\":[],"
                    "\"crashes\":[[0,0,2,2,1,\"b1\"]]}",
                    "[{\"count\":2,\"cpu\":1000,\"mem_mb\":10,"
                    "\"estimate_ms\":9000}]");
    run_passes(&f, 10);
    CU_ASSERT_EQUAL(job->state, JOB_FAILED);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"one run is counted once", test_one_run_is_counted_once},
        {"lost answers are no outage", test_lost_answers_are_no_outage},
        {"drained servers are no outage", test_drained_servers_are_no_outage},
        {"an outage is no crash", test_outage_is_no_crash},
        {"a drained server has not crashed",
         test_drained_server_has_not_crashed},
        {"a moved server has not crashed", test_moved_server_has_not_crashed},
        {"a run that started after the crash", test_started_after_the_crash},
        {"an earlier entry proves no crash",
         test_earlier_entry_proves_no_crash},
        {"a recorded start that was not sent",
         test_recorded_start_was_not_sent},
        {"a crash is counted once over a takeover",
         test_crash_is_counted_once_over_a_takeover},
        {"a crash under the same id over a takeover",
         test_crash_under_the_same_id_over_a_takeover},
        {"an inherited service task does not wait",
         test_inherited_service_does_not_wait},
        {"a lost host keeps no job", test_lost_host_keeps_no_job},
        {"a job that is given up starts nothing",
         test_given_up_job_starts_nothing},
    };
    return suite_main("jobs crash proof", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
