/* Which backend server is the current incarnation of a host: entries may be
 * outdated, of another writer, or have a start time by a wrong clock. */
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}]";

enum {
    EARLIER_START_MS = 1000000,
    KNOWN_START_MS = 2000000,
    LATER_START_MS = 3000000,
};

static void
add_started(struct fleet_fixture *f, const char *id, const char *host,
            int64_t start_ms)
{
    f->incarnation_start_ms = start_ms;
    fixture_add_backend(f, id, "p", host);
    f->incarnation_start_ms = KNOWN_START_MS;
}

static void
report_started(struct fleet_fixture *f, const char *id, int64_t start_ms)
{
    f->incarnation_start_ms = start_ms;
    fixture_report(f, id, NULL, 0, NULL, 0);
    f->incarnation_start_ms = KNOWN_START_MS;
}

static void
no_answer(struct fleet_fixture *f, const char *id)
{
    fixture_answer(f, id, (struct run_report){.outcome = REPORT_NO_ANSWER});
}

/* b0 on host m0 runs the only task; b1 could take it over. */
static void
init_with_run(struct fleet_fixture *f)
{
    fixture_init(f, 0);
    f->incarnation_start_ms = KNOWN_START_MS;
    fixture_add_backend(f, "b0", "p", "m0");
    fixture_reconcile(f);
    fixture_add_job(f, JOB_A, "p", one_task);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, "b0"), 1);
    fixture_accept_starts(f);
    fixture_add_backend(f, "b1", "p", "m1");
    fixture_tick(f, f->now_ms + 10);
    fixture_report(f, "b1", NULL, 0, NULL, 0);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, NULL), 1);
}

/* A task that was lost with its backend server starts once its record is
 * stored. */
static void
decide(struct fleet_fixture *f)
{
    for (int i = 0; i < 3; i++) {
        fixture_tick(f, f->now_ms + 10);
    }
}

/* b0 works on and answers. */
static void
work_on(struct fleet_fixture *f, int64_t duration_ms)
{
    int64_t end_ms = f->now_ms + duration_ms;
    for (int32_t percent = 1; f->now_ms < end_ms; percent++) {
        struct reported_run running = {.task = JOB_A ".0.0.0",
                                       .number = 1,
                                       .saved = "",
                                       .percent = percent};
        fixture_tick(f, f->now_ms + 100);
        fixture_report(f, "b0", &running, 1, NULL, 0);
    }
}

/* The entry of another writer names the host of a backend server that works,
 * with a later start. Nothing answers to it, and the run there was given up
 * and started a second time. */
static void
test_unanswered_entry_ends_no_run(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    add_started(&f, "odd", "m0", LATER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    no_answer(&f, "odd");
    work_on(&f, 2000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    /* Neither once it is silent for less than its lease. */
    for (int i = 0; i < 10; i++) {
        add_started(&f, "odd", "m0", LATER_START_MS);
        fixture_tick(&f, f.now_ms + 100);
        no_answer(&f, "b0");
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* Nor is its capacity lost. */
static void
test_unanswered_entry_takes_no_capacity(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    f.incarnation_start_ms = KNOWN_START_MS;
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    fixture_tick(&f, f.now_ms + 10);
    add_started(&f, "odd", "m0", LATER_START_MS);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    /* It may have ended: nothing starts before it has answered. */
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    fixture_report(&f, "b0", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 1);
    fixture_clear(&f);
}

/* After a takeover such an entry must not settle what the previous leader runs
 * there. */
static void
test_unanswered_entry_settles_nothing_inherited(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    f.incarnation_start_ms = KNOWN_START_MS;
    struct backend_entry entry = {
        .id = (char *)"b0",
        .incarnation_start_ms = KNOWN_START_MS,
        .pool = (char *)"p",
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
        .host = (char *)"m0",
    };
    scheduler_backend_inherited(f.sched, &entry, 3000);
    struct job *job = fixture_create_job(&f, JOB_A, "p", one_task);
    job->inherited = true;
    scheduler_add_job(f.sched, job);
    job_unref(job);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_add_backend(&f, "b1", "p", "m1");
    add_started(&f, "odd", "m0", LATER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    no_answer(&f, "odd");
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 50);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    work_on(&f, 2000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    fixture_clear(&f);
}

/* The entry of a backend server on another host is written over with that of
 * this one. */
static void
test_backend_stays_on_its_host(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    fixture_drain_backend(&f, "b1", "p", "m0");
    fixture_add_backend(&f, "b2", "p", "m2");
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "b2", NULL, 0, NULL, 0);
    decide(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A host restarts after its backend server has fallen silent: its runs start
 * elsewhere as soon as the entry is read. */
static void
test_silent_one_ends_with_the_entry(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    no_answer(&f, "b0");
    add_started(&f, "c0", "m0", LATER_START_MS);
    decide(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    fixture_clear(&f);
}

/* The same before its silence is noticed: as soon as the new one answers. */
static void
test_unnoticed_one_ends_with_the_answer(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    add_started(&f, "c0", "m0", LATER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REQUEST_REPORT, "c0"), 1);
    report_started(&f, "c0", LATER_START_MS);
    decide(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* The same, where the earlier one falls silent first. */
static void
test_unnoticed_one_ends_with_its_silence(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    add_started(&f, "c0", "m0", LATER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    no_answer(&f, "b0");
    decide(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* Both were asked in the moment in which the entry was read, and the one
 * before took nothing for good. */
static void
test_answer_of_the_same_moment(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    f.incarnation_start_ms = KNOWN_START_MS;
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    fixture_tick(&f, f.now_ms + 10);
    add_started(&f, "odd", "m0", LATER_START_MS);
    fixture_tick(&f, f.now_ms);
    fixture_report(&f, "b0", NULL, 0, NULL, 0);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 1);
    fixture_clear(&f);
}

/* A host restarts after its clock was set back by more than that takes: the
 * start time of the new incarnation is earlier, and it took no work. */
static void
test_clock_set_back(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    f.incarnation_start_ms = KNOWN_START_MS;
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    fixture_tick(&f, f.now_ms + 1000);
    add_started(&f, "c0", "m0", EARLIER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    no_answer(&f, "b0");
    report_started(&f, "c0", EARLIER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    /* A late read shows the entry of the earlier one again. */
    add_started(&f, "b0", "m0", KNOWN_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "c0"), 1);
    fixture_clear(&f);
}

/* The same with a run on the earlier one, which starts elsewhere once the new
 * one has answered. Once it works there, the entry of the earlier one ends
 * nothing, also while the new one gives no answer. */
static void
test_clock_set_back_with_run(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    fixture_drain_backend(&f, "b1", "p", "m1");
    add_started(&f, "c0", "m0", EARLIER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    report_started(&f, "c0", EARLIER_START_MS);
    decide(&f);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, "c0"), 1);
    fixture_accept_starts(&f);
    fixture_add_backend(&f, "b1", "p", "m1");
    decide(&f);
    no_answer(&f, "c0");
    for (int i = 0; i < 10; i++) {
        add_started(&f, "b0", "m0", KNOWN_START_MS);
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* The entry of the earlier incarnation stays in the list for a while: the one
 * that answers is not disturbed, and the earlier one is not asked. */
static void
test_entry_of_earlier_one_lingers(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    no_answer(&f, "b0");
    add_started(&f, "c0", "m0", LATER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    report_started(&f, "c0", LATER_START_MS);
    decide(&f);
    uint32_t asked = fixture_count(&f, COMMAND_REQUEST_REPORT, "b0");
    uint32_t answers = fixture_count(&f, COMMAND_REQUEST_REPORT, "c0");
    for (int i = 0; i < 20; i++) {
        add_started(&f, "b0", "m0", KNOWN_START_MS);
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REQUEST_REPORT, "b0"), asked);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REQUEST_REPORT, "c0"), answers);
    fixture_clear(&f);
}

/* The entry of a backend server is written over without host and start time.
 * Its restart was not noticed then: commands to the earlier incarnation could
 * be carried out by the next one, and its host had none. */
static void
test_entry_without_host_and_start(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    int64_t token = fixture_last(&f, COMMAND_START)->token;
    add_started(&f, "b0", NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    work_on(&f, 500);
    add_started(&f, "b0", "m0", LATER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    report_started(&f, "b0", LATER_START_MS);
    decide(&f);
    const struct recorded_command *request =
        fixture_last(&f, COMMAND_REQUEST_REPORT);
    CU_ASSERT_STRING_EQUAL(request->target, "b0");
    CU_ASSERT(request->token > token);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    fixture_clear(&f);
}

/* What the ended incarnation answered before arrives late: its runs counted as
 * working there, and started again only once it was silent for good. */
static void
test_late_answer_of_ended_one(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    CU_ASSERT_TRUE_FATAL(
        scheduler_find_backend(f.sched, "b0")->report_in_flight);
    add_started(&f, "c0", "m0", LATER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    report_started(&f, "c0", LATER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    struct reported_run running = {
        .task = JOB_A ".0.0.0", .number = 1, .saved = "", .percent = 5};
    fixture_report(&f, "b0", &running, 1, NULL, 0);
    decide(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    CU_ASSERT_EQUAL(scheduler_find_backend(f.sched, "b0") == NULL
                        ? 0
                        : scheduler_find_backend(f.sched, "b0")->runs->len,
                    0);
    fixture_clear(&f);
}

/* The writer of such an entry takes the host out of it: the leader ended. */
static void
test_claim_loses_its_host(void)
{
    struct fleet_fixture f;
    init_with_run(&f);
    add_started(&f, "odd", "m0", LATER_START_MS);
    fixture_tick(&f, f.now_ms + 10);
    add_started(&f, "odd", NULL, LATER_START_MS + 1);
    work_on(&f, 1000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* An entry of another writer, to which nothing answers, was stored as holding
 * runs: the inherited jobs of its pool waited for it after each takeover. */
static void
test_unanswered_entry_is_not_stored(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    f.incarnation_start_ms = KNOWN_START_MS;
    add_started(&f, "odd", NULL, LATER_START_MS);
    for (int i = 0; i < 60; i++) {
        fixture_tick(&f, f.now_ms + 200);
        no_answer(&f, "odd");
    }
    fixture_tick(&f, f.now_ms + 200);
    fixture_tick(&f, f.now_ms + 200);
    CU_ASSERT_EQUAL(scheduler_backend_record(f.sched, "odd"), 0);
    /* It was a backend server after all. */
    report_started(&f, "odd", LATER_START_MS);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 200);
    fixture_tick(&f, f.now_ms + 200);
    CU_ASSERT_NOT_EQUAL(scheduler_backend_record(f.sched, "odd"), 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "odd"), 1);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"an entry without an answer ends no run",
         test_unanswered_entry_ends_no_run},
        {"an entry without an answer takes no capacity",
         test_unanswered_entry_takes_no_capacity},
        {"an entry without an answer settles nothing inherited",
         test_unanswered_entry_settles_nothing_inherited},
        {"a backend server stays on its host", test_backend_stays_on_its_host},
        {"a silent incarnation ends with the entry of the next one",
         test_silent_one_ends_with_the_entry},
        {"an incarnation ends with the answer of the next one",
         test_unnoticed_one_ends_with_the_answer},
        {"an answer in the moment of the entry",
         test_answer_of_the_same_moment},
        {"a clock that was set back", test_clock_set_back},
        {"a clock that was set back, with a run",
         test_clock_set_back_with_run},
        {"the entry of an earlier incarnation lingers",
         test_entry_of_earlier_one_lingers},
        {"an entry without host and start time",
         test_entry_without_host_and_start},
        {"a late answer of an ended incarnation",
         test_late_answer_of_ended_one},
        {"an entry without an answer is not stored",
         test_unanswered_entry_is_not_stored},
        {"a claim that loses its host", test_claim_loses_its_host},
        {"an incarnation ends with its silence",
         test_unnoticed_one_ends_with_its_silence},
    };
    return suite_main("jobs incarnation", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
