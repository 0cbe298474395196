/* The store refuses calls, does not answer, is slow, or holds a job that the
 * leader does not know. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "platform/json_text.h"
#include "process_fixture.h"

enum {
    /* Two thirds of a usual caller's deadline. */
    ANSWER_MS = 2000,
    BURST_JOBS = 120,
    BURST_MS = 1500,
    BURST_END_MS = 6000,
    INBOX_JOBS = 40,
    INBOX_MS = 4000,
    INBOX_READS_PER_S_MAX = 60,
};

static void
test_store_refuses(void)
{
    run_for(1500, true);
    send_request(fixture.admin, "POST", "/store/down");
    run_for(2500, true);
    send_request(fixture.admin, "POST", "/store/up");
    run_for(1000, true);
    run_until_finished();
    check_invariants();
}

static void
test_store_unresponsive(void)
{
    run_for(1500, true);
    send_request(fixture.admin, "POST", "/store/silent");
    run_for(4500, true);
    send_request(fixture.admin, "POST", "/store/up");
    run_for(1000, true);
    run_until_finished();
    check_invariants();
}

/* A job that was passed to a leader which is then paused may run later, so its
 * caller must not get an answer that says it never will. */
static void
test_no_false_refusal(void)
{
    run_for(1000, false);
    int paused = find_leader();
    CU_ASSERT_FATAL(paused >= 0);
    const char *frontend = fixture.frontends[(paused + 1) % ENTRY_HOST_COUNT];
    kill(fixture.entry_pids[paused], SIGSTOP);
    send_request(fixture.admin, "POST", "/store/down");
    int status =
        http_call_sync(fixture.base, frontend, "POST",
                       "/draft/00000000000000ad", "key-skela", job_body, NULL);
    printf("status %d\n", status);
    CU_ASSERT_NOT_EQUAL(status, 503);
    CU_ASSERT_NOT_EQUAL(status, 429);
    send_request(fixture.admin, "POST", "/store/up");
    kill(fixture.entry_pids[paused], SIGCONT);
    run_for(6000, false);
    CU_ASSERT(emulator_stat("checks") > 0);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* Record of a job, as an entry host stores it. */
static char *
job_record(void)
{
    return g_strdup_printf(
        "{\"queue\":\"draft-notice\",\"pool\":\"notices\","
        "\"team\":\"skela\",\"attempts\":3,"
        "\"accepted_unix_ms\":%" G_GINT64_FORMAT ","
        "\"body\":\"{\\\"spec\\\":\\\"ms=200\\\",\\\"steps\\\":"
        "[{\\\"count\\\":2,\\\"cpu\\\":900,\\\"estimate_ms\\\":200}]}\"}",
        g_get_real_time() / 1000);
}

/* An entry host finds a job in the store that the leader does not know, and
 * can't reach the leader: the job reaches the leader through its inbox. */
static void
test_stored_unknown(void)
{
    char *record = job_record();
    run_for(1000, false);
    int paused = find_leader();
    CU_ASSERT_FATAL(paused >= 0);
    kill(fixture.entry_pids[paused], SIGSTOP);
    http_call_sync(fixture.base, fixture.admin, "POST",
                   "/put/eg/job/00000000000000ae", NULL, record, NULL);
    g_free(record);
    int status = http_call_sync(
        fixture.base, fixture.frontends[(paused + 1) % ENTRY_HOST_COUNT],
        "POST", "/draft/00000000000000ae", "key-skela", job_body, NULL);
    kill(fixture.entry_pids[paused], SIGCONT);
    CU_ASSERT_EQUAL(status, 200);
    run_for(3000, false);
    char *body = NULL;
    http_call_sync(fixture.base, fixture.frontends[paused], "GET",
                   "/draft/00000000000000ae", "key-skela", NULL, &body);
    CU_ASSERT_PTR_NOT_NULL(strstr(body, "completed"));
    g_free(body);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* A message whose job is no longer stored comes first in the inbox. It must
 * neither hold up the others nor be looked for all the time. */
static void
test_inbox_obsolete(void)
{
    run_for(1000, false);
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    char *record = job_record();
    http_call_sync(fixture.base, fixture.admin, "POST",
                   "/put/eg/inbox/0000000000000001", NULL, "cancel", NULL);
    http_call_sync(fixture.base, fixture.admin, "POST",
                   "/put/eg/job/00000000000000ae", NULL, record, NULL);
    http_call_sync(fixture.base, fixture.admin, "POST",
                   "/put/eg/inbox/00000000000000ae", NULL, "job", NULL);
    g_free(record);
    run_for(2000, false);
    char *body = NULL;
    http_call_sync(fixture.base, fixture.frontends[leader], "GET",
                   "/draft/00000000000000ae", "key-skela", NULL, &body);
    CU_ASSERT(body != NULL && strstr(body, "completed") != NULL);
    g_free(body);
    int64_t reads = emulator_stat("reads");
    run_for(2000, false);
    int64_t reads_per_s = (emulator_stat("reads") - reads) / 2;
    printf("%ld reads a second ", (long)reads_per_s);
    CU_ASSERT(reads_per_s < INBOX_READS_PER_S_MAX);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* Many entry hosts could not reach the leader and left jobs in its inbox while
 * the store is slow. The leader reads them side by side; one after the other
 * would take a quarter of a second each. */
static void
test_inbox_burst(void)
{
    run_for(1000, false);
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    http_call_sync(fixture.base, fixture.proxy_admin, "POST",
                   "/standin/faults", NULL,
                   "{\"routes\":\"store-*\",\"delay_ms\":60}", NULL);
    for (int i = 0; i < INBOX_JOBS; i++) {
        char *record = job_record();
        char *key = g_strdup_printf("/put/eg/job/00000000000001%02x", i);
        char *message = g_strdup_printf("/put/eg/inbox/00000000000001%02x", i);
        http_call_sync(fixture.base, fixture.admin, "POST", key, NULL, record,
                       NULL);
        http_call_sync(fixture.base, fixture.admin, "POST", message, NULL,
                       "job", NULL);
        g_free(record);
        g_free(key);
        g_free(message);
    }
    run_for(INBOX_MS, false);
    int begun = 0;
    for (int i = 0; i < INBOX_JOBS; i++) {
        char *path = g_strdup_printf("/draft/00000000000001%02x", i);
        char *body = NULL;
        http_call_sync(fixture.base, fixture.frontends[leader], "GET", path,
                       "key-skela", NULL, &body);
        begun += body != NULL && strstr(body, "queued") == NULL;
        g_free(body);
        g_free(path);
    }
    printf("%d of %d begun in %d ms ", begun, INBOX_JOBS, INBOX_MS);
    CU_ASSERT_EQUAL(begun, INBOX_JOBS);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* An entry host that gets SIGTERM while a write to the store is unanswered
 * answers the request before it exits. */
static void
test_answers_while_stopping(void)
{
    run_for(1000, false);
    send_request(fixture.admin, "POST", "/store/silent");
    job_caller_submit(fixture.caller, &fixture.quick, job_body);
    run_for(300, false);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        kill(fixture.entry_pids[i], SIGTERM);
    }
    run_for(1800, false);
    /* The caller got an answer; no entry host is left for its retries. */
    CU_ASSERT_EQUAL(fixture.quick.accepted, 0);
    CU_ASSERT(job_caller_answered(fixture.caller) > 0);
}

/* While the store does not answer, callers get an error in time to retry;
 * requests must not be held until the caller's own deadline. */
static void
test_answers_in_outage(void)
{
    run_for(1000, true);
    send_request(fixture.admin, "POST", "/store/silent");
    for (int i = 0; i < 9; i++) {
        char *path = g_strdup_printf("/draft/00000000000000c%d", i);
        int64_t sent_ms = g_get_monotonic_time() / 1000;
        int status = http_call_sync(fixture.base,
                                    fixture.frontends[i % ENTRY_HOST_COUNT],
                                    "POST", path, "key-skela", job_body, NULL);
        int64_t took_ms = g_get_monotonic_time() / 1000 - sent_ms;
        printf("%d after %ld ms\n", status, (long)took_ms);
        CU_ASSERT(status == 503 || status == 504);
        CU_ASSERT(took_ms < ANSWER_MS);
        g_free(path);
    }
    send_request(fixture.admin, "POST", "/store/up");
    run_for(3000, true);
    run_until_finished();
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* The store takes more than 100 ms for each answer while many jobs arrive:
 * transactions have to run side by side, or most jobs would wait. */
static void
test_slow_store(void)
{
    run_for(1000, true);
    http_call_sync(fixture.base, fixture.proxy_admin, "POST",
                   "/standin/faults", NULL,
                   "{\"routes\":\"store-*\",\"delay_ms\":60}", NULL);
    uint32_t before = fixture.quick.accepted;
    /* A caller has at most one open call to each entry host. */
    struct job_caller *callers[BURST_JOBS / ENTRY_HOST_COUNT];
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        callers[i] = job_caller_create(fixture.base,
                                       (const char *const *)fixture.frontends);
        for (int entry = 0; entry < ENTRY_HOST_COUNT; entry++) {
            job_caller_submit(callers[i], &fixture.quick, job_body);
        }
    }
    run_for(BURST_MS, false);
    uint32_t accepted = fixture.quick.accepted - before;
    printf("%u accepted in %d ms ", accepted, BURST_MS);
    CU_ASSERT(accepted >= BURST_JOBS * 9 / 10);
    http_call_sync(fixture.base, fixture.proxy_admin, "POST",
                   "/standin/faults", NULL,
                   "{\"routes\":\"store-*\",\"clear\":true}", NULL);
    run_for(BURST_END_MS, false);
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        CU_ASSERT_EQUAL(job_caller_pending(callers[i]), 0);
        job_caller_destroy(callers[i]);
    }
    check_invariants();
}

/* The leader is dead and the store refuses all calls: the job reached neither,
 * so the caller gets a definite refusal. */
static void
test_refusal_with_dead_leader(void)
{
    run_for(1000, false);
    int killed = find_leader();
    CU_ASSERT_FATAL(killed >= 0);
    end_process(&fixture.entry_pids[killed], SIGKILL);
    send_request(fixture.admin, "POST", "/store/down");
    int status = http_call_sync(
        fixture.base, fixture.frontends[(killed + 1) % ENTRY_HOST_COUNT],
        "POST", "/draft/00000000000000af", "key-skela", job_body, NULL);
    printf("status %d ", status);
    CU_ASSERT_EQUAL(status, 503);
    send_request(fixture.admin, "POST", "/store/up");
    run_for(4000, false);
    CU_ASSERT_EQUAL(emulator_stat("checks"), 0);
}

/* Hourly occurrences for a year, of which one is due. Its progress took a byte
 * for each task of each occurrence: the store rejected every transaction with
 * it, and with it the changes of other jobs, for good. */
static void
test_timed_for_a_year(void)
{
    char *body = g_strdup_printf(
        "{\"spec\":\"ms=200\",\"times\":8760,\"interval_ms\":3600000,"
        "\"first_ms\":%" G_GINT64_FORMAT
        ",\"steps\":[{\"count\":40,\"cpu\":100,\"mem_mb\":10,"
        "\"estimate_ms\":200}]}",
        g_get_real_time() / 1000);
    run_for(1000, true);
    CU_ASSERT_EQUAL(
        submit_job("/draft/00000000000000a1", "key-skela", body, NULL), 200);
    g_free(body);
    run_for(3000, true);
    int killed = find_leader();
    CU_ASSERT_FATAL(killed >= 0);
    end_process(&fixture.entry_pids[killed], SIGKILL);
    run_for(5000, true);
    start_entry_host(killed);
    wait_ready(killed);
    run_until_finished();
    check_invariants();
    CU_ASSERT_EQUAL(emulator_stat("rejected"), 0);
    char *state = NULL;
    http_call_sync(fixture.base, fixture.frontends[killed], "GET",
                   "/draft/00000000000000a1", "key-skela", NULL, &state);
    CU_ASSERT(state != NULL && strstr(state, "running") != NULL);
    g_free(state);
}

/* Steps of 1,000 tasks and a label of @label_bytes; g_free(). */
static char *
large_job(int n_steps, size_t label_bytes)
{
    char *label = g_strnfill(label_bytes, 'l');
    GString *steps = g_string_new(NULL);
    for (int i = 0; i < n_steps; i++) {
        g_string_append_printf(steps,
                               "%s{\"count\":%d,\"cpu\":1,\"requires\":"
                               "\"%s\"}",
                               i == 0 ? "" : ",", label_bytes > 0 ? 1 : 1000,
                               label);
    }
    char *body = g_strdup_printf("{\"spec\":\"\",\"steps\":[%s]}", steps->str);
    g_string_free(steps, TRUE);
    g_free(label);
    return body;
}

/* Jobs whose record, or the record of whose progress, the store never takes:
 * they got 503 again and again, and so did others that were submitted at the
 * same time. */
static void
test_too_large(void)
{
    char *bodies[] = {large_job(64, 0), large_job(64, 900)};
    run_for(1000, true);
    for (int i = 0; i < 6; i++) {
        char *path = g_strdup_printf("/draft/00000000000000a%d", i);
        char *answer = NULL;
        int status = http_call_sync(
            fixture.base, fixture.frontends[i % ENTRY_HOST_COUNT], "POST",
            path, "key-skela", bodies[i % 2], &answer);
        CU_ASSERT_EQUAL(status, 413);
        CU_ASSERT(answer != NULL && strstr(answer, "error") != NULL);
        printf("%d %s\n", status, answer == NULL ? "" : answer);
        CU_ASSERT_EQUAL(http_call_sync(fixture.base, fixture.frontends[0],
                                       "GET", path, "key-skela", NULL, NULL),
                        410);
        g_free(answer);
        g_free(path);
        run_for(300, true);
    }
    run_until_finished();
    check_invariants();
    CU_ASSERT_EQUAL(emulator_stat("rejected"), 0);
    g_free(bodies[0]);
    g_free(bodies[1]);
}

static const struct scenario scenarios[] = {
    {"store-refuses", test_store_refuses},
    {"store-silent", test_store_unresponsive},
    {"leaving-answers", test_answers_while_stopping},
    {"stored-unknown", test_stored_unknown},
    {"answers-in-outage", test_answers_in_outage},
    {"inbox-obsolete", test_inbox_obsolete},
    {"inbox-burst", test_inbox_burst, .proxied = true},
    {"slow-store", test_slow_store, .proxied = true},
    {"refusal-with-dead-holder", test_refusal_with_dead_leader},
    {"no-false-refusal", test_no_false_refusal},
    {"timed-for-a-year", test_timed_for_a_year},
    {"too-large", test_too_large},
};

int
main(int argc, char **argv)
{
    return scenario_main(argc, argv, scenarios, G_N_ELEMENTS(scenarios));
}
