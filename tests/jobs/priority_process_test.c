/* A job of a high priority in a pool full of long tasks of a lower one, while
 * the leader changes. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "process_fixture.h"

enum {
    LOW_JOBS = 8,
    STEP_MS = 200,
    /* Starts come in for longer apart than this only if hosts are moved. */
    QUIET_MS = 2500,
    FILL_MAX_MS = 20000,
    /* Four hosts with two tasks each at least. */
    FILLED_MIN = 8,
    ACCEPT_MAX_MS = 10000,
    /* A takeover takes 5 s; by then the tasks are far from their end. */
    COMPLETE_MAX_MS = 30000,
    /* Preempted tasks and those that found no place run after the others. */
    FINISH_ROUNDS = 4,
};

/* At most seven hosts of 16 cores, of which two tasks of one take 14. */
static const char low_body[] =
    "{\"spec\":\"ms=12000\",\"steps\":[{\"count\":2,\"cpu\":7000,"
    "\"mem_mb\":900,\"estimate_ms\":12000}]}";
static const char high_body[] =
    "{\"spec\":\"ms=500\",\"steps\":[{\"count\":1,\"cpu\":4000,"
    "\"mem_mb\":900,\"estimate_ms\":500}]}";

/* Before the suite runs. */
static void
fail(const char *message)
{
    fprintf(stderr, "%s\n", message);
    exit(EXIT_FAILURE);
}

/* Replaces the only @from in @text. */
static void
replace(char **text, const char *from, const char *to)
{
    char **parts = g_strsplit(*text, from, -1);
    if (g_strv_length(parts) != 2) {
        fail("the configuration of the examples has changed");
    }
    g_free(*text);
    *text = g_strjoinv(to, parts);
    g_strfreev(parts);
}

/* The configuration of the examples with few hosts, and the queue of the
 * service with priority 1. */
static char *
write_config(const char *directory)
{
    char *example =
        g_build_filename(build_root, "..", "examples", "jobs.json", NULL);
    char *text = NULL;
    if (!g_file_get_contents(example, &text, NULL, NULL)) {
        fail("no examples/jobs.json");
    }
    replace(&text, "\"plans\": 4, \"labels\": 4, \"spare\": 4",
            "\"plans\": 1, \"labels\": 1, \"spare\": 1");
    replace(&text, "\"target_latency_ms\": 2500, \"priority\": 0",
            "\"target_latency_ms\": 2500, \"priority\": 1");
    char *path = g_build_filename(directory, "jobs.json", NULL);
    g_file_set_contents(path, text, -1, NULL);
    g_free(example);
    g_free(text);
    return path;
}

static uint32_t
count_log_lines(const char *event)
{
    uint32_t count = 0;
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        char *path = g_strdup_printf("%s/entry-%d.log", fixture.directory, i);
        char *text = NULL;
        g_file_get_contents(path, &text, NULL, NULL);
        for (const char *at = text; at != NULL && (at = strstr(at, event));) {
            count++;
            at += strlen(event);
        }
        g_free(text);
        g_free(path);
    }
    return count;
}

/* Runs until nothing more starts. */
static void
fill_pool(void)
{
    for (int i = 0; i < LOW_JOBS; i++) {
        job_caller_submit(fixture.caller, &fixture.service, low_body);
    }
    int64_t started = 0;
    int64_t quiet_ms = 0;
    for (int64_t passed_ms = 0; passed_ms < FILL_MAX_MS &&
                                (quiet_ms < QUIET_MS || started < FILLED_MIN);
         passed_ms += STEP_MS) {
        run_for(STEP_MS, false);
        int64_t now_started = emulator_stat("checks");
        quiet_ms = now_started == started ? quiet_ms + STEP_MS : 0;
        started = now_started;
    }
    printf("%ld tasks run\n", (long)started);
    CU_ASSERT(started >= FILLED_MIN);
    CU_ASSERT_EQUAL(fixture.service.accepted, LOW_JOBS);
}

/* The job is accepted, and the leader gets a signal. */
static void
change_leader(int signal_number)
{
    fill_pool();
    job_caller_submit(fixture.caller, &fixture.quick, high_body);
    for (int64_t passed_ms = 0;
         passed_ms < ACCEPT_MAX_MS && fixture.quick.accepted == 0;
         passed_ms += 10) {
        run_for(10, false);
    }
    CU_ASSERT_EQUAL(fixture.quick.accepted, 1);
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    end_process(&fixture.entry_pids[leader], signal_number);
    for (int64_t passed_ms = 0;
         passed_ms < COMPLETE_MAX_MS && fixture.quick.completed == 0;
         passed_ms += STEP_MS) {
        run_for(STEP_MS, false);
    }
    printf("high job: %u completed; low jobs: %u completed, %u preempted\n",
           fixture.quick.completed, fixture.service.completed,
           count_log_lines("\"run_preempted\""));
    CU_ASSERT_EQUAL(fixture.quick.completed, 1);
    CU_ASSERT_EQUAL(fixture.service.completed, 0);
    start_entry_host(leader);
    wait_ready(leader);
    for (int i = 0; i < FINISH_ROUNDS; i++) {
        run_until_finished();
    }
    CU_ASSERT_EQUAL(fixture.service.completed, LOW_JOBS);
    CU_ASSERT_EQUAL(fixture.service.failed, 0);
    CU_ASSERT_EQUAL(count_log_lines("\"task_failed\""), 0);
    check_invariants();
}

/* Guards against a job of priority 0 that waits for runs of priority 1 after a
 * takeover, and against tasks that are lost, or run twice, since they were
 * preempted by one leader or the next. The leases of some runs are over before
 * the next leader has taken over, so it may find room without preemption. */
static void
test_kill(void)
{
    change_leader(SIGKILL);
}

/* The same where the next leader follows at once and finds the pool full: it
 * preempts runs that it knows from reports only. */
static void
test_handover(void)
{
    change_leader(SIGTERM);
    CU_ASSERT(count_log_lines("\"run_preempted\"") >= 1);
}

static const struct scenario scenarios[] = {
    {"preempts-at-kill", test_kill},
    {"preempts-at-handover", test_handover},
};

int
main(int argc, char **argv)
{
    if (argc < 2) {
        return EXIT_FAILURE;
    }
    build_root = argv[1];
    char *directory = g_dir_make_tmp("jobs-priority-XXXXXX", NULL);
    char *config = write_config(directory);
    fixture_set_config(config);
    fixture_set_scheduling("{\"queue_priorities\":true}");
    int status = scenario_main(argc, argv, scenarios, G_N_ELEMENTS(scenarios));
    g_free(config);
    g_free(directory);
    return status;
}
