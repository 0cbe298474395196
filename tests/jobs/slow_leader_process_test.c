/* A leader that learns late of jobs and cancels that other entry hosts stored
 * for it, since the store is slow. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "process_fixture.h"

enum {
    /* A queue's length counts jobs that were accepted this long before: the
     * time after which callers can see a job, and the age of an answer. */
    COUNTED_AFTER_MS = 3000 + 2000,
    WAITING_JOBS = 300,
    WAITING_STORE_DELAY_MS = 150,
    WAITING_WATCH_MS = 4000,
    /* Records of progress that a new leader reads for seconds, page after
     * page. */
    TAKEOVER_RECORDS = 4000,
    TAKEOVER_STORE_DELAY_MS = 250,
    /* Expiry of the lease, and the claim on a slow store. */
    TAKEOVER_MS = 8000,
    /* The claim is followed by the first reads. */
    TAKEOVER_READS_BEGIN_MS = 1000,
    TAKEOVER_WATCH_MS = 10000,
    /* Longer than the record of a job that has ended is kept. */
    OUTLIVED_MS = 200000,
    /* The bound of the entry hosts' default settings. */
    CANCEL_MS = 3000,
    /* More than the leader reads in all passes until the cancel binds. */
    CANCEL_FILLER_JOBS = 300,
    CANCEL_STORE_DELAY_MS = 100,
    /* Passes over the messages go on meanwhile. */
    CANCEL_WATCH_MS = 3000,
};

/* A task that no backend server may run. */
static const char waiting_body[] =
    "{\\\"spec\\\":\\\"ms=200\\\",\\\"steps\\\":[{\\\"count\\\":1,"
    "\\\"cpu\\\":900,\\\"estimate_ms\\\":200,\\\"requires\\\":\\\"none\\\"}]}";
static const char quick_body[] =
    "{\\\"spec\\\":\\\"ms=200\\\",\\\"steps\\\":[{\\\"count\\\":2,"
    "\\\"cpu\\\":900,\\\"estimate_ms\\\":200}]}";

static void
put_key(const char *prefix, const char *id, const char *value)
{
    char *path = g_strdup_printf("/put/%s%s", prefix, id);
    http_call_sync(fixture.base, fixture.admin, "POST", path, NULL, value,
                   NULL);
    g_free(path);
}

/* Record of a job; g_free(). @body: escaped as part of a JSON text */
static char *
job_record(const char *queue, const char *pool, const char *body,
           int64_t accepted_unix_ms)
{
    return g_strdup_printf(
        "{\"queue\":\"%s\",\"pool\":\"%s\",\"team\":\"skela\","
        "\"attempts\":3,\"accepted_unix_ms\":%" G_GINT64_FORMAT
        ",\"body\":\"%s\"}",
        queue, pool, accepted_unix_ms, body);
}

/* Stores a job with a message, as an entry host does that can't reach the
 * leader. @message: NULL: the record */
static void
store_job(const char *id, const char *queue, const char *pool,
          const char *body, const char *message)
{
    char *record = job_record(queue, pool, body, g_get_real_time() / 1000);
    put_key("eg/job/", id, record);
    put_key("eg/inbox/", id, message == NULL ? record : message);
    g_free(record);
}

static void
store_waiting_jobs(int n_jobs, const char *message)
{
    for (int i = 0; i < n_jobs; i++) {
        char *id = g_strdup_printf("%016x", 0x1000 + i);
        store_job(id, "plan-render", "plans", waiting_body, message);
        g_free(id);
    }
}

static void
delay_store(int delay_ms)
{
    char *faults =
        delay_ms == 0
            ? g_strdup("{\"routes\":\"store-*\",\"clear\":true}")
            : g_strdup_printf("{\"routes\":\"store-*\",\"delay_ms\":%d}",
                              delay_ms);
    http_call_sync(fixture.base, fixture.proxy_admin, "POST",
                   "/standin/faults", NULL, faults, NULL);
    g_free(faults);
}

/* Passes list the message of a cancel, but have no room to read its job. The
 * leader learns of the job from a late repetition of its submission and must
 * not start it. */
static void
test_cancel_left_out(void)
{
    static const char id[] = "ffffffffffffff01";
    /* The backend servers get their records. */
    run_for(2000, true);
    run_until_finished();
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    delay_store(CANCEL_STORE_DELAY_MS);
    store_waiting_jobs(CANCEL_FILLER_JOBS, "job");
    store_job(id, "draft-notice", "notices", quick_body, "cancel");
    send_request(fixture.admin, "POST", "/cancelled/ffffffffffffff01");
    run_for(CANCEL_MS + 100, false);
    int64_t starts = emulator_stat("checks");
    int status = http_call_sync(fixture.base, fixture.frontends[leader],
                                "POST", "/draft/ffffffffffffff01", "key-skela",
                                "{\"spec\":\"ms=200\",\"steps\":[{\"count\":2,"
                                "\"cpu\":900,\"estimate_ms\":200}]}",
                                NULL);
    run_for(CANCEL_WATCH_MS, false);
    printf("submitted again: %d, %ld starts ", status,
           (long)(emulator_stat("checks") - starts));
    /* Nothing else can start. */
    CU_ASSERT_EQUAL(emulator_stat("checks"), starts);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
    /* It is known as cancelled once the messages are read. */
    delay_store(0);
    run_for(CANCEL_WATCH_MS, false);
    char *body = NULL;
    http_call_sync(fixture.base, fixture.frontends[leader], "GET",
                   "/draft/ffffffffffffff01", "key-skela", NULL, &body);
    CU_ASSERT(body != NULL && strstr(body, "cancelled") != NULL);
    g_free(body);
}

/* Length of the queue of the waiting jobs as an entry host answers it; -1: it
 * answers that it doesn't know now. */
static int
queue_length(int entry)
{
    char *body = NULL;
    int length = -1;
    int status = http_call_sync(fixture.base, fixture.frontends[entry], "GET",
                                "/plan/", "key-skela", NULL, &body);
    if (status == 200) {
        CU_ASSERT_FATAL(body != NULL &&
                        sscanf(body, "{\"waiting\":%d}", &length) == 1);
    }
    else {
        CU_ASSERT_EQUAL(status, 503);
    }
    g_free(body);
    return length;
}

/* Asks all entry hosts for @duration_ms; returns how many answers leave out
 * more than half of the waiting jobs. */
static int
watch_queue_length(int64_t duration_ms)
{
    int64_t end_ms = g_get_monotonic_time() / 1000 + duration_ms;
    int least = WAITING_JOBS;
    int answers = 0;
    int low = 0;
    while (g_get_monotonic_time() / 1000 < end_ms) {
        for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
            int length = queue_length(i);
            if (length >= 0) {
                answers++;
                low += length < WAITING_JOBS / 2;
                least = MIN(least, length);
            }
        }
        run_for(100, false);
    }
    printf("%d answers, %d too low, least %d ", answers, low, least);
    return low;
}

/* The store is normal again: each entry host answers with the right length in
 * time. */
static void
check_queue_length_returns(void)
{
    int64_t end_ms = g_get_monotonic_time() / 1000 + COUNTED_AFTER_MS;
    int right = 0;
    while (right < ENTRY_HOST_COUNT &&
           g_get_monotonic_time() / 1000 < end_ms) {
        right = 0;
        for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
            right += queue_length(i) == WAITING_JOBS;
        }
        run_for(100, false);
    }
    CU_ASSERT_EQUAL(right, ENTRY_HOST_COUNT);
}

/* Entry hosts have left more jobs in the inbox than the leader reads from a
 * slow store in time. It answered with the length that it knew. */
static void
test_queue_length_unread(void)
{
    run_for(1000, false);
    CU_ASSERT_FATAL(find_leader() >= 0);
    delay_store(WAITING_STORE_DELAY_MS);
    store_waiting_jobs(WAITING_JOBS, "job");
    run_for(COUNTED_AFTER_MS, false);
    CU_ASSERT_EQUAL(watch_queue_length(WAITING_WATCH_MS), 0);
    delay_store(0);
    check_queue_length_returns();
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* Waits until an entry host leads. */
static int
wait_leader(int64_t timeout_ms)
{
    int64_t end_ms = g_get_monotonic_time() / 1000 + timeout_ms;
    int leader = find_leader();
    while (leader < 0 && g_get_monotonic_time() / 1000 < end_ms) {
        run_for(50, false);
        leader = find_leader();
    }
    return leader;
}

/* Entry hosts store jobs while a new leader still reads its records. Its first
 * answers left them out. */
static void
test_queue_length_takeover(void)
{
    run_for(1000, false);
    int killed = find_leader();
    CU_ASSERT_FATAL(killed >= 0);
    for (int i = 0; i < TAKEOVER_RECORDS; i++) {
        char *id = g_strdup_printf("%016x", 0x100000 + i);
        put_key("eg/progress/", id, "{\"state\":\"completed\"}");
        g_free(id);
    }
    delay_store(TAKEOVER_STORE_DELAY_MS);
    end_process(&fixture.entry_pids[killed], SIGKILL);
    CU_ASSERT_FATAL(wait_leader(TAKEOVER_MS) >= 0);
    run_for(TAKEOVER_READS_BEGIN_MS, false);
    store_waiting_jobs(WAITING_JOBS, "job");
    start_entry_host(killed);
    wait_ready(killed);
    run_for(COUNTED_AFTER_MS, false);
    CU_ASSERT_EQUAL(watch_queue_length(TAKEOVER_WATCH_MS), 0);
    delay_store(0);
    check_queue_length_returns();
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* The leader alone reaches the store late. Another entry host reads from the
 * store what the leader doesn't know; it waited for the leader to read it. */
static void
test_unknown_job_elsewhere(void)
{
    run_for(1000, false);
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    char *faults = g_strdup_printf("{\"routes\":\"store-%d\",\"delay_ms\":%d}",
                                   leader, WAITING_STORE_DELAY_MS);
    http_call_sync(fixture.base, fixture.proxy_admin, "POST",
                   "/standin/faults", NULL, faults, NULL);
    g_free(faults);
    int other = (leader + 1) % ENTRY_HOST_COUNT;
    static const char *const methods[] = {"GET", "DELETE"};
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        int64_t sent_ms = g_get_monotonic_time() / 1000;
        int status =
            http_call_sync(fixture.base, fixture.frontends[other], methods[i],
                           "/draft/00000000000000e2", "key-skela", NULL, NULL);
        int64_t took_ms = g_get_monotonic_time() / 1000 - sent_ms;
        printf("%s %d after %ld ms, ", methods[i], status, (long)took_ms);
        CU_ASSERT_EQUAL(status, 410);
        /* One answer of the store to the leader takes longer. */
        CU_ASSERT(took_ms < 2 * WAITING_STORE_DELAY_MS);
    }
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* Entry hosts have left jobs with their records. A leader that read each job
 * from a slow store couldn't tell the queue's length in time. */
static void
test_queue_length_recorded(void)
{
    run_for(1000, false);
    CU_ASSERT_FATAL(find_leader() >= 0);
    delay_store(WAITING_STORE_DELAY_MS);
    store_waiting_jobs(WAITING_JOBS, NULL);
    run_for(COUNTED_AFTER_MS, false);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        CU_ASSERT_EQUAL(queue_length(i), WAITING_JOBS);
    }
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* A message with a record is still there when the job has ended and its own
 * record is deleted. The job must not start again. */
static void
test_message_outlives_job(void)
{
    static const char id[] = "00000000000000e1";
    run_for(2000, true);
    run_until_finished();
    int64_t starts = emulator_stat("checks");
    char *record = job_record("draft-notice", "notices", quick_body,
                              g_get_real_time() / 1000 - OUTLIVED_MS);
    put_key("eg/inbox/", id, record);
    g_free(record);
    run_for(CANCEL_WATCH_MS, false);
    CU_ASSERT_EQUAL(emulator_stat("checks"), starts);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        char *path = g_strdup_printf("/draft/%s", id);
        CU_ASSERT_EQUAL(http_call_sync(fixture.base, fixture.frontends[i],
                                       "GET", path, "key-skela", NULL, NULL),
                        410);
        g_free(path);
    }
    /* Its id can be used again. */
    store_job(id, "draft-notice", "notices", quick_body, "job");
    run_for(CANCEL_WATCH_MS, false);
    CU_ASSERT(emulator_stat("checks") > starts);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

static const struct scenario scenarios[] = {
    {"queue-length-unread", test_queue_length_unread, .proxied = true},
    {"cancel-left-out", test_cancel_left_out, .proxied = true},
    {"queue-length-recorded", test_queue_length_recorded, .proxied = true},
    {"unknown-job-elsewhere", test_unknown_job_elsewhere, .proxied = true},
    {"message-outlives-job", test_message_outlives_job},
    {"queue-length-takeover", test_queue_length_takeover, .proxied = true},
};

int
main(int argc, char **argv)
{
    return scenario_main(argc, argv, scenarios, G_N_ELEMENTS(scenarios));
}
