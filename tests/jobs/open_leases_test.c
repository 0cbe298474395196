/* Leases that run when several leaders follow one another: each knows what is
 * left on a backend server that has answered none of them. */
#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000a1"

enum {
    PASS_MS = 100,
    LEASE_MS = 5000,
    /* Longer than a brief silence. */
    LED_MS = 2000,
    LEADER_COUNT = 4,
    TOKEN = 7,
};

static const char service[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"long_running\":true}]";

/* A leader that inherits b1, which gives no answer until told, and its job. */
static void
take_over(struct fleet_fixture *f, int64_t now_ms, const char *record)
{
    struct backend_entry gone = {.id = (char *)"b1",
                                 .incarnation_start_ms = 1,
                                 .pool = (char *)"p",
                                 .address = (char *)"127.0.0.1:1",
                                 .data_centre = (char *)"dc",
                                 .capacity = {16000, 64000, 0}};
    fixture_init_at(f, 1, now_ms);
    scheduler_backend_inherited(f->sched, &gone, LEASE_MS);
    if (record != NULL) {
        GHashTable *left_ms =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        int64_t longest_ms = 0;
        CU_ASSERT_EQUAL(record_leases_decode(record, &longest_ms, left_ms),
                        TOKEN);
        const int64_t *left = g_hash_table_lookup(left_ms, "b1");
        CU_ASSERT_PTR_NOT_NULL_FATAL(left);
        scheduler_lease_left(f->sched, "b1", *left);
        g_hash_table_unref(left_ms);
    }
    fixture_add_backend(f, "b2", "p", "m2");
    struct job *job = fixture_create_job(f, JOB_A, "p", service);
    job->inherited = true;
    scheduler_add_job(f->sched, job);
    job_unref(job);
}

/* The record that it stores if it is due, or NULL; g_free(). */
static char *
take_record(struct fleet_fixture *f, bool last)
{
    if (!last && !scheduler_open_leases_due(f->sched)) {
        return NULL;
    }
    struct open_leases *leases = scheduler_open_leases(f->sched, last);
    char *record = record_leases_encode(TOKEN, leases);
    open_leases_destroy(leases);
    return record;
}

/* Passes in which b1 gives no answer, and lists are stored; returns the last
 * one. */
static char *
pass_silently(struct fleet_fixture *f, int64_t duration_ms)
{
    const struct run_report no_answer = {.outcome = REPORT_NO_ANSWER};
    char *stored = NULL;
    for (int64_t until_ms = f->now_ms + duration_ms; f->now_ms < until_ms;) {
        fixture_tick(f, f->now_ms + PASS_MS);
        fixture_answer(f, "b1", no_answer);
        fixture_report(f, "b2", NULL, 0, NULL, 0);
        char *record = take_record(f, false);
        if (record != NULL) {
            g_free(stored);
            stored = record;
            scheduler_open_leases_stored(f->sched);
        }
    }
    return stored;
}

/* Guards against service tasks that are away for longer with each takeover,
 * since each leader waits for the whole lease of a lost backend server.
 * @handed_over: leaders end in order. */
static void
check_takeovers(bool handed_over)
{
    int64_t begin_ms = 100000;
    int64_t now_ms = begin_ms;
    char *record = NULL;
    for (int i = 0; i < LEADER_COUNT; i++) {
        struct fleet_fixture f;
        take_over(&f, now_ms, record);
        g_free(record);
        record = pass_silently(&f, LED_MS);
        if (handed_over) {
            g_free(record);
            record = take_record(&f, true);
        }
        now_ms = f.now_ms;
        bool started = fixture_count(&f, COMMAND_START, "b2") > 0;
        /* What is left is stored again each 0.7 s, and a leader counts from
         * its own takeover. */
        if (now_ms - begin_ms < LEASE_MS) {
            CU_ASSERT(!started);
        }
        if (now_ms - begin_ms > LEASE_MS * 102 / 100 + 100 + 3 * 700 + 500) {
            CU_ASSERT(started);
        }
        fixture_clear(&f);
        if (started) {
            break;
        }
        CU_ASSERT_PTR_NOT_NULL_FATAL(record);
    }
    CU_ASSERT(now_ms - begin_ms <= LEASE_MS + 3000);
    g_free(record);
}

static void
test_several_takeovers(void)
{
    check_takeovers(false);
    check_takeovers(true);
}

/* Guards against two runs of a task: one that is named as without leases of
 * this leader gets none, nor a start, before a list without it is stored. */
static void
test_answers_again(void)
{
    struct fleet_fixture f;
    take_over(&f, 100000, NULL);
    char *record = pass_silently(&f, LED_MS);
    CU_ASSERT_PTR_NOT_NULL_FATAL(record);
    CU_ASSERT_PTR_NOT_NULL(strstr(record, " b1:"));
    g_free(record);
    fixture_add_backend(&f, "b1", "p", "m1");
    const struct backend *backend = scheduler_find_backend(f.sched, "b1");
    struct reported_run run = {
        .task = JOB_A ".0.0.0", .number = 5, .saved = "", .percent = 100};
    for (int i = 0; i < 10; i++) {
        fixture_tick(&f, f.now_ms + PASS_MS);
        fixture_report(&f, "b1", &run, 1, NULL, 0);
        fixture_add_job(&f, "00000000000000b1", "p", service);
        CU_ASSERT_EQUAL(backend->granted_until_ms, 0);
        CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 0);
    }
    CU_ASSERT(scheduler_open_leases_due(f.sched));
    record = take_record(&f, false);
    CU_ASSERT_PTR_NULL(strstr(record, "b1"));
    g_free(record);
    /* Without the answer it may not be stored. */
    fixture_tick(&f, f.now_ms + PASS_MS);
    fixture_report(&f, "b1", &run, 1, NULL, 0);
    CU_ASSERT_EQUAL(backend->granted_until_ms, 0);
    scheduler_open_leases_stored(f.sched);
    fixture_tick(&f, f.now_ms + PASS_MS);
    fixture_report(&f, "b1", &run, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + PASS_MS);
    CU_ASSERT(backend->granted_until_ms > 0);
    CU_ASSERT(!scheduler_open_leases_due(f.sched));
    fixture_clear(&f);
}

/* The same where it was forgotten in between: its leases had run out, and it
 * was in no list of hosts (model, late writes, seed 501524). */
static void
test_forgotten_meanwhile(void)
{
    const struct run_report no_answer = {.outcome = REPORT_NO_ANSWER};
    struct fleet_fixture f;
    take_over(&f, 100000, NULL);
    g_free(pass_silently(&f, LED_MS));
    for (int i = 0; i < 2 * LEASE_MS / PASS_MS; i++) {
        fixture_tick(&f, f.now_ms + PASS_MS);
        fixture_answer(&f, "b1", no_answer);
    }
    CU_ASSERT_PTR_NULL(scheduler_find_backend(f.sched, "b1"));
    fixture_drain_backend(&f, "b2", "p", "m2");
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_add_job(&f, "00000000000000b1", "p", service);
    for (int i = 0; i < 10; i++) {
        fixture_tick(&f, f.now_ms + PASS_MS);
        fixture_report(&f, "b1", NULL, 0, NULL, 0);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 0);
    CU_ASSERT_FATAL(scheduler_open_leases_due(f.sched));
    g_free(take_record(&f, false));
    scheduler_open_leases_stored(f.sched);
    fixture_tick(&f, f.now_ms + PASS_MS);
    CU_ASSERT(fixture_count(&f, COMMAND_START, "b1") > 0);
    fixture_clear(&f);
}

/* A leader with shorter leases than earlier ones says so once these are over.
 */
static void
test_longer_leases(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    scheduler_longer_leases(f.sched, LEASE_MS);
    fixture_tick(&f, f.now_ms + 9000);
    CU_ASSERT(!scheduler_open_leases_due(f.sched));
    fixture_clear(&f);
    fixture_init(&f, 1);
    scheduler_longer_leases(f.sched, 8500);
    fixture_tick(&f, f.now_ms + 8500);
    CU_ASSERT(!scheduler_open_leases_due(f.sched));
    fixture_tick(&f, f.now_ms + 500);
    CU_ASSERT(scheduler_open_leases_due(f.sched));
    char *record = take_record(&f, false);
    CU_ASSERT_STRING_EQUAL(record, "7 5000");
    g_free(record);
    scheduler_open_leases_stored(f.sched);
    fixture_tick(&f, f.now_ms + 1000);
    CU_ASSERT(!scheduler_open_leases_due(f.sched));
    fixture_clear(&f);
}

static void
test_records(void)
{
    GHashTable *left_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    int64_t longest_ms = 0;
    /* Of the landed version. */
    CU_ASSERT_EQUAL(record_leases_decode("42 3000", &longest_ms, left_ms), 42);
    CU_ASSERT_EQUAL(longest_ms, 3000);
    CU_ASSERT_EQUAL(g_hash_table_size(left_ms), 0);
    CU_ASSERT_EQUAL(record_leases_decode("43 5000 i-1:2:700 odd x: :5 y:-1",
                                         &longest_ms, left_ms),
                    43);
    const int64_t *left = g_hash_table_lookup(left_ms, "i-1:2");
    CU_ASSERT_FATAL(left != NULL);
    CU_ASSERT_EQUAL(*left, 700);
    CU_ASSERT_PTR_NULL(g_hash_table_lookup(left_ms, "x"));
    CU_ASSERT_PTR_NULL(g_hash_table_lookup(left_ms, "y"));
    CU_ASSERT_EQUAL(record_leases_decode("", &longest_ms, left_ms), 0);
    g_hash_table_unref(left_ms);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"several takeovers", test_several_takeovers},
        {"a named backend server answers", test_answers_again},
        {"a named backend server was forgotten", test_forgotten_meanwhile},
        {"longer leases of earlier leaders", test_longer_leases},
        {"records of open leases", test_records},
    };
    return suite_main("jobs open leases", tests, G_N_ELEMENTS(tests));
}
