/* Cancels that are acknowledged while their job is on its way to the store, or
 * while no leader has read them. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "process_fixture.h"

enum {
    /* A suspended leader has lost its lease, and another one has taken over.
     */
    TAKEOVER_MS = 5000,
    /* Above the time in which the process retries, and starts would come. */
    RETRY_MS = 3000,
};

static int
call_job(int entry, const char *method, const char *path, const char *body)
{
    return http_call_sync(fixture.base, fixture.frontends[entry], method, path,
                          "key-skela", body, NULL);
}

/* An entry host holds a job that it could not store, then is suspended, and
 * the cancel is acknowledged elsewhere. When it goes on it stored the job
 * after all, and the job ran. @leader: that host was the leader. @restart: the
 * others restart meanwhile. */
static void
cancel_unstored(bool leader, bool restart)
{
    static const char path[] = "/draft/00000000000000c1";
    run_for(1000, false);
    int led = find_leader();
    CU_ASSERT_FATAL(led >= 0);
    int held = leader ? led : (led + 1) % ENTRY_HOST_COUNT;
    int other = (held + 1) % ENTRY_HOST_COUNT;
    send_request(fixture.admin, "POST", "/store/silent");
    if (!leader) {
        /* Else it would get the job too. */
        end_process(&fixture.entry_pids[led], SIGKILL);
    }
    int status = call_job(held, "POST", path, job_body);
    printf("submitted: %d\n", status);
    CU_ASSERT_EQUAL(status, 504);
    kill(fixture.entry_pids[held], SIGSTOP);
    send_request(fixture.admin, "POST", "/store/up");
    if (!leader) {
        start_entry_host(led);
        wait_ready(led);
    }
    run_for(TAKEOVER_MS, false);
    status = call_job(other, "DELETE", path, NULL);
    printf("cancelled: %d\n", status);
    CU_ASSERT_EQUAL(status, 410);
    for (int i = 0; restart && i < ENTRY_HOST_COUNT; i++) {
        if (i != held) {
            end_process(&fixture.entry_pids[i], SIGKILL);
            start_entry_host(i);
            wait_ready(i);
        }
    }
    kill(fixture.entry_pids[held], SIGCONT);
    run_for(RETRY_MS, false);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        CU_ASSERT_EQUAL(call_job(i, "GET", path, NULL), 410);
        /* A late repetition of the request. */
        CU_ASSERT_EQUAL(call_job(i, "POST", path, job_body), 410);
        CU_ASSERT_EQUAL(call_job(i, "DELETE", path, NULL), 410);
    }
    run_for(RETRY_MS, false);
    /* No task has started. */
    CU_ASSERT_EQUAL(emulator_stat("checks"), 0);
    /* The next leaders read the tombstone, and schedule other jobs. */
    int killed = find_leader();
    CU_ASSERT_FATAL(killed >= 0);
    end_process(&fixture.entry_pids[killed], SIGKILL);
    start_entry_host(killed);
    wait_ready(killed);
    run_for(TAKEOVER_MS, true);
    run_until_finished();
    check_invariants();
}

static void
test_unstored(void)
{
    cancel_unstored(false, false);
}

static void
test_unstored_at_leader(void)
{
    cancel_unstored(true, false);
}

static void
test_unstored_restart(void)
{
    cancel_unstored(false, true);
}

/* A cancel was acknowledged, and all entry hosts restart before the leader has
 * read it. The next leader must not start the job first. */
static void
test_unread(void)
{
    run_for(1000, false);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        end_process(&fixture.entry_pids[i], SIGKILL);
    }
    char *record = g_strdup_printf(
        "{\"queue\":\"draft-notice\",\"pool\":\"notices\","
        "\"team\":\"skela\",\"attempts\":3,"
        "\"accepted_unix_ms\":%" G_GINT64_FORMAT ","
        "\"body\":\"{\\\"spec\\\":\\\"ms=200\\\",\\\"steps\\\":"
        "[{\\\"count\\\":2,\\\"cpu\\\":900,\\\"estimate_ms\\\":200}]}\"}",
        g_get_real_time() / 1000);
    for (int i = 0; i < 20; i++) {
        char *job = g_strdup_printf("/put/eg/job/00000000000000%02x", i);
        char *message = g_strdup_printf("/put/eg/inbox/00000000000000%02x", i);
        http_call_sync(fixture.base, fixture.admin, "POST", job, NULL, record,
                       NULL);
        http_call_sync(fixture.base, fixture.admin, "POST", message, NULL,
                       "cancel", NULL);
        g_free(job);
        g_free(message);
    }
    g_free(record);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        start_entry_host(i);
    }
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        wait_ready(i);
    }
    run_for(TAKEOVER_MS, false);
    CU_ASSERT_EQUAL(emulator_stat("checks"), 0);
    run_for(1000, true);
    run_until_finished();
    check_invariants();
}

static const struct scenario scenarios[] = {
    {"cancel-unstored", test_unstored},
    {"cancel-unstored-leader", test_unstored_at_leader},
    {"cancel-unstored-restart", test_unstored_restart},
    {"cancel-unread", test_unread},
};

int
main(int argc, char **argv)
{
    return scenario_main(argc, argv, scenarios, G_N_ELEMENTS(scenarios));
}
