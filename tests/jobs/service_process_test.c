/* Service tasks that end by themselves, while leaders and the store fail, and
 * in records of earlier versions. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "process_fixture.h"

enum {
    TASK_COUNT = 3,
    /* A killed leader's lease has expired, and another one has taken over. */
    TAKEOVER_MS = 5000,
    /* After it a service task without a run counts as lost. */
    RESTART_MS = 6000,
    CANCEL_AFTER_MS = 18000,
    CANCEL_MS = 3000,
    AT_EACH_TASK = 2,
};

static void
kill_leader(int signal_number)
{
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    end_process(&fixture.entry_pids[leader], signal_number);
    run_for(TAKEOVER_MS, false);
    start_entry_host(leader);
    wait_ready(leader);
}

/* Guards against service tasks that never start again since they have ended as
 * done, under the leader that started them or under the next one, and against
 * a job that is shown as completed for it. */
static void
test_ends(void)
{
    job_caller_report_cancels(fixture.caller, fixture.admin);
    job_caller_submit_to_cancel(fixture.caller, &fixture.service,
                                ending_service_body, CANCEL_AFTER_MS);
    run_for(1500, false);
    kill_leader(SIGKILL);
    send_request(fixture.admin, "POST", "/store/silent");
    run_for(1500, false);
    send_request(fixture.admin, "POST", "/store/up");
    kill_leader(SIGTERM);
    int64_t starts = emulator_stat("checks");
    run_for(RESTART_MS, false);
    CU_ASSERT(emulator_stat("checks") >= starts + AT_EACH_TASK * TASK_COUNT);
    run_until_finished();
    CU_ASSERT_EQUAL(fixture.service.completed, 0);
    CU_ASSERT_EQUAL(fixture.service.cancelled, 1);
    run_for(CANCEL_MS, false);
    starts = emulator_stat("checks");
    kill_leader(SIGKILL);
    CU_ASSERT_EQUAL(emulator_stat("checks"), starts);
    check_invariants();
}

static void
put_record(const char *prefix, const char *id, const char *record)
{
    char *path = g_strconcat("/put/", prefix, id, NULL);
    http_call_sync(fixture.base, fixture.admin, "POST", path, NULL, record,
                   NULL);
    g_free(path);
}

/* Stores a job of three tasks as the last version did. */
static void
put_job(const char *id, bool service, const char *progress)
{
    char *record = g_strdup_printf(
        "{\"queue\":\"archive-keeper\",\"pool\":\"notices\",\"team\":\"\","
        "\"attempts\":4,\"accepted_unix_ms\":%" G_GINT64_FORMAT ","
        "\"body\":\"{\\\"spec\\\":\\\"forever\\\",\\\"steps\\\":"
        "[{\\\"count\\\":3,\\\"cpu\\\":900,\\\"long_running\\\":%s}]}\"}",
        g_get_real_time() / 1000, service ? "true" : "false");
    put_record("eg/job/", id, record);
    put_record("eg/progress/", id, progress);
    g_free(record);
}

static void
check_state(const char *id, const char *state)
{
    char *path = g_strconcat("/archive/", id, NULL);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        char *body = NULL;
        int status = http_call_sync(fixture.base, fixture.frontends[i], "GET",
                                    path, NULL, NULL, &body);
        CU_ASSERT_EQUAL(status, 200);
        CU_ASSERT(body != NULL && strstr(body, state) != NULL);
        g_free(body);
    }
    g_free(path);
}

/* Guards against service tasks that an earlier version has stored as done, and
 * their jobs as completed: the tasks start again, and callers that read the
 * state from the store are told that the job runs. */
static void
test_records(void)
{
    static const char service[] = "00000000000000c1";
    static const char in_part[] = "00000000000000c2";
    static const char finite[] = "00000000000000c3";
    static const char cancelled[] = "00000000000000c4";
    /* Without a message to the leader, entry hosts answer by the record. */
    static const char unread_service[] = "00000000000000c5";
    static const char unread_finite[] = "00000000000000c6";
    char *completed = g_strdup_printf(
        "{\"state\":\"completed\",\"ended_unix_ms\":%" G_GINT64_FORMAT "}",
        g_get_real_time() / 1000);
    char *ended = g_strdup_printf(
        "{\"state\":\"cancelled\",\"ended_unix_ms\":%" G_GINT64_FORMAT "}",
        g_get_real_time() / 1000);
    run_for(1000, false);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        end_process(&fixture.entry_pids[i], SIGKILL);
    }
    put_job(service, true, completed);
    put_job(in_part, true,
            "{\"state\":\"active\",\"occurrences\":[0],\"parts\":[\"dd.\"]}");
    put_job(finite, false, completed);
    put_job(cancelled, true, ended);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        start_entry_host(i);
    }
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        wait_ready(i);
    }
    run_for(TAKEOVER_MS, false);
    CU_ASSERT_EQUAL(emulator_stat("checks"), 2 * TASK_COUNT);
    put_job(unread_service, true, completed);
    put_job(unread_finite, false, completed);
    check_state(service, "running");
    check_state(in_part, "running");
    check_state(finite, "completed");
    check_state(cancelled, "cancelled");
    check_state(unread_service, "running");
    check_state(unread_finite, "completed");
    CU_ASSERT_EQUAL(http_call_sync(fixture.base, fixture.frontends[0],
                                   "DELETE", "/archive/00000000000000c1", NULL,
                                   NULL, NULL),
                    200);
    check_state(service, "cancelled");
    send_request(fixture.admin, "POST", "/cancelled/00000000000000c1");
    kill_leader(SIGKILL);
    check_state(service, "cancelled");
    check_state(in_part, "running");
    check_invariants();
    g_free(completed);
    g_free(ended);
}

static const struct scenario scenarios[] = {
    {"service-ends", test_ends},
    {"service-records", test_records},
};

int
main(int argc, char **argv)
{
    return scenario_main(argc, argv, scenarios, G_N_ELEMENTS(scenarios));
}
