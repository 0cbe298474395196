/* A leader that learns late of jobs and cancels that other entry hosts stored
 * for it, since the store or its own process is slow. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#include "platform/json_text.h"
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
    /* A slowed process runs for a twentieth of the time. */
    SLICE_RUN_MS = 5,
    SLICE_STOP_MS = 95,
    HEALTHY_MS = 5000,
    SLOW_MS = 20000,
    /* Two expiries of the lease. */
    SLOW_LEADS_MAX_MS = 6000,
    LEADER_CHANGES_MAX = 3,
    SLOW_END_MS = 10000,
    SLOW_SUBMIT_INTERVAL_MS = 100,
    /* The bound of the entry hosts' default settings. */
    CANCEL_MS = 3000,
    /* More than the leader reads in all passes until the cancel binds. */
    CANCEL_FILLER_JOBS = 300,
    CANCEL_STORE_DELAY_MS = 100,
    /* In each direction. A claim's calls have 900 ms, a renewal 2.8 s. */
    SLOW_STORE_DELAY_MS = 300,
    SLOWER_STORE_DELAY_MS = 600,
    /* Passes over the messages go on meanwhile. */
    CANCEL_WATCH_MS = 3000,
};

#define CANCELLED_ID "ffffffffffffff01"

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

/* A job whose cancel the emulator counts as acknowledged now. */
static void
store_cancelled_job(void)
{
    store_job(CANCELLED_ID, "draft-notice", "notices", quick_body, "cancel");
    send_request(fixture.admin, "POST", "/cancelled/" CANCELLED_ID);
}

/* The leader learns of the cancelled job from a late repetition of its
 * request and must not start it. */
static void
repeat_cancelled_job(int leader)
{
    int64_t starts = emulator_stat("checks");
    int status = http_call_sync(fixture.base, fixture.frontends[leader],
                                "POST", "/draft/" CANCELLED_ID, "key-skela",
                                "{\"spec\":\"ms=200\",\"steps\":[{\"count\":2,"
                                "\"cpu\":900,\"estimate_ms\":200}]}",
                                NULL);
    run_for(CANCEL_WATCH_MS, false);
    printf("submitted again: %d, %ld starts ", status,
           (long)(emulator_stat("checks") - starts));
    /* Nothing else can start. */
    CU_ASSERT_EQUAL(emulator_stat("checks"), starts);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* The cancel takes effect once its message and its job can be read. */
static void
check_cancelled(int leader)
{
    char *body = NULL;
    run_for(CANCEL_WATCH_MS, false);
    http_call_sync(fixture.base, fixture.frontends[leader], "GET",
                   "/draft/" CANCELLED_ID, "key-skela", NULL, &body);
    CU_ASSERT(body != NULL && strstr(body, "cancelled") != NULL);
    g_free(body);
}

/* Jobs have run, so that the backend servers have their records; returns the
 * leader. */
static int
prepare_cancel(void)
{
    run_for(2000, true);
    run_until_finished();
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    return leader;
}

/* Passes list the message of a cancel, but have no room to read its job. */
static void
test_cancel_left_out(void)
{
    int leader = prepare_cancel();
    delay_store(CANCEL_STORE_DELAY_MS);
    store_waiting_jobs(CANCEL_FILLER_JOBS, "job");
    store_cancelled_job();
    run_for(CANCEL_MS + 100, false);
    repeat_cancelled_job(leader);
    delay_store(0);
    check_cancelled(leader);
}

/* Passes list the message of a cancel, but the reads of its job fail. */
static void
test_cancel_unfetched(void)
{
    int leader = prepare_cancel();
    send_request(fixture.admin, "POST", "/unreadable/eg/job/" CANCELLED_ID);
    store_cancelled_job();
    run_for(CANCEL_MS + 100, false);
    repeat_cancelled_job(leader);
    send_request(fixture.admin, "POST", "/unreadable/none");
    check_cancelled(leader);
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

/**
 * struct leader_record - the leader as the store has it
 * @revision: changes with each claim; -1: the leadership is vacant
 * @node: name of the leader's host, to be freed with g_free()
 */
struct leader_record {
    int64_t revision;
    char *node;
};

static struct leader_record
read_leader_record(void)
{
    struct leader_record record = {.revision = -1};
    char *store = g_strdup_printf("127.0.0.1:%d", fixture.first_port);
    char *body = NULL;
    if (http_call_sync(fixture.base, store, "GET",
                       "/v1/kv-key?key=eg/duty/scheduler", NULL, NULL,
                       &body) == 200) {
        cJSON *row = json_document_read(body, strlen(body), NULL);
        gsize bytes = 0;
        char *text =
            (char *)g_base64_decode(json_text_get(row, "value"), &bytes);
        cJSON *value = json_document_read(text, bytes, NULL);
        record.revision = json_int_get(row, "revision", -1);
        record.node = g_strdup(json_text_get(value, "node"));
        cJSON_Delete(value);
        g_free(text);
        cJSON_Delete(row);
    }
    g_free(body);
    g_free(store);
    return record;
}

/* Stops and continues a process in turns until it is killed itself. */
static pid_t
slow_down(pid_t slowed)
{
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        while (kill(slowed, SIGSTOP) == 0) {
            g_usleep(SLICE_STOP_MS * 1000);
            kill(slowed, SIGCONT);
            g_usleep(SLICE_RUN_MS * 1000);
        }
        _exit(EXIT_SUCCESS);
    }
    return pid;
}

/**
 * struct leader_watch - claims of the leadership while jobs were submitted
 * @changes: how many there were
 * @replaced_ms: from the begin until another host led; -1: none did
 */
struct leader_watch {
    int changes;
    int64_t replaced_ms;
};

/* Submits jobs with @caller for @duration_ms. */
static struct leader_watch
watch_leader(struct job_caller *caller, int64_t duration_ms)
{
    struct leader_watch watch = {.replaced_ms = -1};
    int64_t begin_ms = g_get_monotonic_time() / 1000;
    struct leader_record first = read_leader_record();
    int64_t last_revision = first.revision;
    int64_t now_ms = begin_ms;
    while (now_ms < begin_ms + duration_ms) {
        job_caller_submit(caller, &fixture.quick, job_body);
        run_for(SLOW_SUBMIT_INTERVAL_MS, false);
        now_ms = g_get_monotonic_time() / 1000;
        struct leader_record record = read_leader_record();
        if (record.revision >= 0 && record.revision != last_revision) {
            last_revision = record.revision;
            watch.changes++;
            if (watch.replaced_ms < 0 &&
                g_strcmp0(record.node, first.node) != 0) {
                watch.replaced_ms = now_ms - begin_ms;
            }
        }
        g_free(record.node);
    }
    g_free(first.node);
    printf("%d changes, replaced after %ld ms, ", watch.changes,
           (long)watch.replaced_ms);
    return watch;
}

/* The leader's process gets too little time to schedule, but enough to renew
 * its lease. It kept the leadership. */
static void
test_slow_leader(void)
{
    run_for(1000, false);
    int slow = find_leader();
    CU_ASSERT_FATAL(slow >= 0);
    const char *others[] = {fixture.frontends[(slow + 1) % ENTRY_HOST_COUNT],
                            fixture.frontends[(slow + 2) % ENTRY_HOST_COUNT],
                            NULL};
    struct job_caller *caller = job_caller_create(fixture.base, others);
    struct leader_watch watch = watch_leader(caller, HEALTHY_MS);
    CU_ASSERT_EQUAL(watch.changes, 0);
    pid_t slicer = slow_down(fixture.entry_pids[slow]);
    watch = watch_leader(caller, SLOW_MS);
    end_process(&slicer, SIGKILL);
    kill(fixture.entry_pids[slow], SIGCONT);
    CU_ASSERT(watch.replaced_ms >= 0 &&
              watch.replaced_ms <= SLOW_LEADS_MAX_MS);
    CU_ASSERT(watch.changes <= LEADER_CHANGES_MAX);
    for (int passed_ms = 0;
         passed_ms < SLOW_END_MS && job_caller_pending(caller) > 0;
         passed_ms += 100) {
        run_for(100, false);
    }
    CU_ASSERT_EQUAL(job_caller_pending(caller), 0);
    job_caller_destroy(caller);
    CU_ASSERT_EQUAL(fixture.quick.completed, fixture.quick.accepted);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

/* The store answers each call late, the leader's host is fast. Another leader
 * would be no better off. */
static void
check_slow_store(int delay_ms)
{
    run_for(1000, false);
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    struct leader_record first = read_leader_record();
    delay_store(delay_ms);
    int changes = 0;
    int vacant = 0;
    int64_t last_revision = first.revision;
    for (int passed_ms = 0; passed_ms < SLOW_MS;
         passed_ms += SLOW_SUBMIT_INTERVAL_MS) {
        run_for(SLOW_SUBMIT_INTERVAL_MS, false);
        struct leader_record record = read_leader_record();
        vacant += record.revision < 0;
        if (record.revision >= 0 && record.revision != last_revision) {
            last_revision = record.revision;
            changes++;
        }
        g_free(record.node);
    }
    g_free(first.node);
    delay_store(0);
    printf("%d changes, vacant in %d of %d looks ", changes, vacant,
           SLOW_MS / SLOW_SUBMIT_INTERVAL_MS);
    CU_ASSERT_EQUAL(changes, 0);
    CU_ASSERT_EQUAL(vacant, 0);
}

static void
test_slow_store(void)
{
    check_slow_store(SLOW_STORE_DELAY_MS);
}

static void
test_slower_store(void)
{
    check_slow_store(SLOWER_STORE_DELAY_MS);
}

/* A cancel of a job whose record this version can't read stays for a leader
 * that can. */
static void
test_unreadable_cancel_stays(void)
{
    static const char id[] = "00000000000000e2";
    run_for(1000, false);
    CU_ASSERT_FATAL(find_leader() >= 0);
    put_key("eg/job/", id, "{\"format\":9}");
    put_key("eg/inbox/", id, "cancel");
    run_for(CANCEL_WATCH_MS, false);
    char *store = g_strdup_printf("127.0.0.1:%d", fixture.first_port);
    int job_status = http_call_sync(fixture.base, store, "GET",
                                    "/v1/kv-key?key=eg/job/00000000000000e2",
                                    NULL, NULL, NULL);
    int status = http_call_sync(fixture.base, store, "GET",
                                "/v1/kv-key?key=eg/inbox/00000000000000e2",
                                NULL, NULL, NULL);
    printf("job %d, message %d ", job_status, status);
    CU_ASSERT_EQUAL(job_status, 200);
    CU_ASSERT_EQUAL(status, 200);
    g_free(store);
}

static const struct scenario scenarios[] = {
    {"slow-store-keeps-leader", test_slow_store, .proxied = true},
    {"slower-store-keeps-leader", test_slower_store, .proxied = true},
    {"unreadable-cancel-stays", test_unreadable_cancel_stays},
    {"queue-length-unread", test_queue_length_unread, .proxied = true},
    {"cancel-left-out", test_cancel_left_out, .proxied = true},
    {"queue-length-recorded", test_queue_length_recorded, .proxied = true},
    {"unknown-job-elsewhere", test_unknown_job_elsewhere, .proxied = true},
    {"message-outlives-job", test_message_outlives_job},
    {"queue-length-takeover", test_queue_length_takeover, .proxied = true},
    {"cancel-unfetched", test_cancel_unfetched},
    {"slow-leader-keeps-leading", test_slow_leader},
};

int
main(int argc, char **argv)
{
    return scenario_main(argc, argv, scenarios, G_N_ELEMENTS(scenarios));
}
