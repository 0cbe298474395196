/* Single decisions of the scheduler; each test replays a fault or a load. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "core/jobs/election_backoff.h"
#include "core/jobs/relay_peer.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

enum {
    /* Strong hosts learn of a vacancy up to a second later than weak ones. */
    WEAK_HOST_HEAD_START_MS = 700,
};

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":500}]";

/* A leader without the store counts failures that it can't store. Their
 * completions are reported again to the next leader, which tracks no run of
 * that task and has to count them all the same. */
static void
test_failures_reported_again(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b1", "p", "m1");
    struct job *job = fixture_add_job(&f, JOB_A, "p", one_task);
    struct run_completion completions[] = {
        {.number = 1, .task = JOB_A ".0.0.0", .run = 1, .reason = END_FAILED},
        {.number = 2, .task = JOB_A ".0.0.0", .run = 2, .reason = END_FAILED},
        {.number = 3, .task = JOB_A ".0.0.0", .run = 3, .reason = END_FAILED},
    };
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "b1", NULL, 0, completions, 3);
    /* Reported once more before the acknowledgement arrives. */
    fixture_report(&f, "b1", NULL, 0, completions, 3);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(job->state, JOB_FAILED);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    fixture_clear(&f);
}

/* A failure that was stored and is reported again counts once. */
static void
test_failure_counts_once(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b1", "p", "m1");
    struct job *job = fixture_add_job(&f, JOB_A, "p", one_task);
    job_task_record_failure(&job_step_progress(job, 0, 0)->tasks[0], 1);
    struct run_completion completions[] = {
        {.number = 1, .task = JOB_A ".0.0.0", .run = 1, .reason = END_FAILED},
        {.number = 2, .task = JOB_A ".0.0.0", .run = 2, .reason = END_FAILED},
    };
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "b1", NULL, 0, completions, 2);
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    CU_ASSERT_EQUAL(job_step_progress(job, 0, 0)->tasks[0].failures, 2);
    fixture_clear(&f);
}

/* A run that is being stopped is neither among the runs nor among the
 * completions of its backend server's report. Its task must not start
 * elsewhere before the longest time of a stop is over. */
static void
test_stopping_run_is_waited_for(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_add_backend(&f, "b2", "p", "m2");
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 1);
    const struct recorded_command *start = fixture_last(&f, COMMAND_START);
    char *where = g_strdup(start->target);
    fixture_report(&f, where, NULL, 0, NULL, 0);
    uint32_t requested = fixture_count(&f, COMMAND_REQUEST_REPORT, where);
    scheduler_on_start(f.sched, start->handle, START_NO_ANSWER, 0);
    /* A report is read first: most such starts were carried out. */
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_REQUEST_REPORT, where),
                          requested + 1);
    fixture_report(&f, where, NULL, 0, NULL, 0);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_STOP, NULL), 1);
    fixture_answer_stop(&f, true);
    fixture_tick(&f, f.now_ms + 20);
    fixture_report(&f, where, NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    /* A report requested after that time proves that the run has ended. */
    fixture_tick(&f, f.now_ms + 700);
    fixture_report(&f, where, NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    g_free(where);
    fixture_clear(&f);
}

/* Starts without an answer on a full link: the report that is read next shows
 * the run, so it goes on and nothing is stopped. */
static void
test_unanswered_start_that_runs(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    const struct recorded_command *start = fixture_last(&f, COMMAND_START);
    CU_ASSERT_PTR_NOT_NULL_FATAL(start);
    struct reported_run running = {.task = JOB_A ".0.0.0",
                                   .number = start->number,
                                   .saved = "",
                                   .percent = 10};
    scheduler_on_start(f.sched, start->handle, START_NO_ANSWER, 0);
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "b1", &running, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 1500);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A pool at its peak: short tasks of one core end one after the other, and
 * each leaves room for the next only. A service task of four cores has to
 * start all the same. */
static void
test_service_task_at_a_peak(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_add_backend(&f, "b2", "p", "m2");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":400,\"cpu\":1000,\"mem_mb\":100,"
                    "\"estimate_ms\":500}]");
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 32);
    struct job *service =
        fixture_add_job(&f, JOB_B, "p",
                        "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,"
                        "\"long_running\":true}]");
    guint next_end = 0;
    int64_t ended[2] = {0};
    for (int i = 0; i < 60 && !service->started; i++) {
        const struct recorded_command *start = NULL;
        while (start == NULL || start->kind != COMMAND_START) {
            start = g_ptr_array_index(f.commands, next_end++);
        }
        struct run_completion completion = {
            .number = ++ended[start->target[1] - '1'],
            .task = start->task,
            .run = start->number,
            .reason = END_DONE,
            .saved = ""};
        fixture_report(&f, start->target, NULL, 0, &completion, 1);
        fixture_tick(&f, f.now_ms + 20);
        fixture_accept_starts(&f);
    }
    CU_ASSERT(service->started);
    fixture_clear(&f);
}

/* One member of a gang does not start. The others would wait for it until they
 * give up; they are stopped, and the gang starts again as a whole. */
static void
test_incomplete_gang(enum start_answer answer)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":3,\"cpu\":1000,\"mem_mb\":100,"
                    "\"estimate_ms\":500,\"gang\":true}]");
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 3);
    uint64_t missing = fixture_last(&f, COMMAND_START)->handle;
    uint32_t number = fixture_last(&f, COMMAND_START)->number;
    fixture_accept_starts(&f);
    scheduler_on_start(f.sched, missing, answer, 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 2);
    struct run_completion ended[] = {
        {.number = 1,
         .task = JOB_A ".0.0.0",
         .run = number,
         .reason = END_STOPPED,
         .saved = ""},
        {.number = 2,
         .task = JOB_A ".0.0.1",
         .run = number,
         .reason = END_STOPPED,
         .saved = ""},
    };
    fixture_report(&f, "b1", NULL, 0, ended, 2);
    fixture_tick(&f, f.now_ms + 300);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 6);
    CU_ASSERT(fixture_last(&f, COMMAND_START)->number > number);
    fixture_clear(&f);
}

static void
test_gang_member_not_sent(void)
{
    test_incomplete_gang(START_NOT_SENT);
}

static void
test_gang_member_refused(void)
{
    test_incomplete_gang(START_REFUSED);
}

/* Stops without an answer are repeated more and more rarely: three in the
 * first 1.5 s, not one each 400 ms. */
static void
test_stops_back_off(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    scheduler_cancel(f.sched, JOB_A);
    int64_t begin_ms = f.now_ms;
    while (f.now_ms < begin_ms + 4000) {
        fixture_answer_stop(&f, false);
        fixture_tick(&f, f.now_ms + 100);
    }
    uint32_t stops = fixture_count(&f, COMMAND_STOP, "b1");
    CU_ASSERT(stops >= 4);
    CU_ASSERT(stops <= 5);
    fixture_clear(&f);
}

/* A service task whose start got no answer is not stopped while a run report
 * may still show it running. */
static void
test_unanswered_start_of_service_task(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":1,\"cpu\":100,\"mem_mb\":10,"
                    "\"long_running\":true,\"may_miss\":1}]");
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 1);
    scheduler_on_start(f.sched, fixture_last(&f, COMMAND_START)->handle,
                       START_NO_ANSWER, 0);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    struct reported_run running = {
        .task = JOB_A ".0.0.0", .number = 1, .saved = "", .percent = 100};
    fixture_report(&f, "b1", &running, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 2600);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    fixture_clear(&f);
}

/* The reports of a backend server come late while the start of a service task
 * has no answer. The task may be at work, so it isn't stopped before a report
 * that was requested late enough doesn't show it. */
static void
test_service_start_without_reports(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":1,\"cpu\":100,\"mem_mb\":10,"
                    "\"long_running\":true,\"may_miss\":1}]");
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 1);
    scheduler_on_start(f.sched, fixture_last(&f, COMMAND_START)->handle,
                       START_NO_ANSWER, 0);
    fixture_tick(&f, f.now_ms + 100);
    /* This request is still open, or was sent too early. */
    fixture_tick(&f, f.now_ms + 3000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    fixture_tick(&f, f.now_ms + 100);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 1);
    fixture_clear(&f);
}

/* After a takeover a host is not taken for empty, and so not rebooted, before
 * the run report of its backend server was read. */
static void
test_unread_host_is_not_empty(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b1", "p", "m1");
    struct host_info infos[] = {{.host = "m1",
                                 .pool = "p",
                                 .backend_id = "b1",
                                 .data_centre = "dc",
                                 .up = true}};
    scheduler_hosts_read(f.sched, infos, 1, f.now_ms);
    char *hosts[] = {(char *)"m1", NULL};
    struct host_wave wave = {.number = 1,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 1000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    for (int i = 0; i < 50; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 0);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 200);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 1);
    fixture_clear(&f);
}

/* After a takeover the entry of an incarnation that ended lingers while its
 * host is unavailable for maintenance; the host still counts as unavailable.
 */
static void
test_lingering_entry_is_unavailable(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct host_info infos[] = {
        {.host = "m1", .pool = "p", .data_centre = "dc", .unavailable = true},
        {.host = "m2",
         .pool = "p",
         .backend_id = "b2",
         .data_centre = "dc",
         .up = true},
    };
    scheduler_hosts_read(f.sched, infos, 2, f.now_ms);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_add_backend(&f, "b2", "p", "m2");
    fixture_reconcile(&f);
    char *hosts[] = {(char *)"m1", (char *)"m2", NULL};
    struct host_wave wave = {.number = 3,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    for (int i = 0; i < 45; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 0);
    fixture_clear(&f);
}

/* After a takeover a wave is not reported complete before the list of hosts
 * was read, even if backend servers name some of the hosts. */
static void
test_wave_needs_the_host_list(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    fixture_add_backend(&f, "b1", "p", "m1");
    char *hosts[] = {(char *)"m1", NULL};
    struct host_wave wave = {.number = 4,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    struct host_info infos[] = {{.host = "m1",
                                 .pool = "p",
                                 .backend_id = "b1",
                                 .data_centre = "dc",
                                 .up = true}};
    scheduler_hosts_read(f.sched, infos, 1, f.now_ms);
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    scheduler_wave_host_started(f.sched, 4, "m1");
    CU_ASSERT_TRUE(scheduler_wave_done(f.sched, 4));
    fixture_clear(&f);
}

/* A host that joined after the last list was requested is named by a wave. */
static void
test_wave_needs_a_list_requested_after_it(void)
{
    static const char *const pools[] = {"p", "p", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    fixture_add_backend(&f, "b2", "p", "m2");
    char *hosts[] = {(char *)"m0", (char *)"m2", NULL};
    struct host_wave wave = {.number = 4,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    scheduler_wave_host_started(f.sched, 4, "m0");
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    /* It has left the fleet before the next lists. */
    struct host_info infos[] = {{.host = "m0",
                                 .pool = "p",
                                 .backend_id = "b0",
                                 .data_centre = "dc",
                                 .up = true}};
    scheduler_hosts_read(f.sched, infos, 1, f.now_ms + 1);
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    scheduler_backend_removed(f.sched, "b2");
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    scheduler_hosts_read(f.sched, infos, 1, f.now_ms + 2);
    CU_ASSERT_TRUE(scheduler_wave_done(f.sched, 4));
    fixture_clear(&f);
}

static int64_t
longest_lease_ms(struct fleet_fixture *f)
{
    struct open_leases *leases = scheduler_open_leases(f->sched, true);
    int64_t longest_ms = leases->longest_ms;
    open_leases_destroy(leases);
    return longest_ms;
}

/* Leaders that are replaced one after the other pass on what is left of the
 * leases that they have inherited; with the whole time each of them would wait
 * anew for a backend server that gives no answer. */
static void
test_inherited_leases_run_out(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct backend_entry entry = {.id = (char *)"b1",
                                  .incarnation_start_ms = 1,
                                  .pool = (char *)"p",
                                  .address = (char *)"127.0.0.1:1",
                                  .data_centre = (char *)"dc"};
    scheduler_backend_inherited(f.sched, &entry, 8500);
    int64_t taken_over_ms = f.now_ms;
    /* On a clock that runs 2 % slow, and with a margin. */
    CU_ASSERT_EQUAL(longest_lease_ms(&f), 8500 * 102 / 100 + 100);
    f.now_ms = taken_over_ms + 4000;
    int64_t left_ms = longest_lease_ms(&f);
    CU_ASSERT(left_ms >= 8500 * 102 / 100 - 4000);
    CU_ASSERT(left_ms < 8500 - 3000);
    /* Its own leases are of the usual duration. */
    f.now_ms = taken_over_ms + 8000;
    CU_ASSERT_EQUAL(longest_lease_ms(&f), 3000);
    fixture_clear(&f);
}

/* The operator moved the queue of an inherited job to another pool. Its runs
 * may still be on a backend server of the earlier pool that gives no answer.
 */
static void
test_takeover_waits_for_earlier_pool(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct queue_config *queue = g_ptr_array_index(f.config->queues, 0);
    g_free(queue->pool);
    queue->pool = g_strdup("q");
    scheduler_configure(f.sched, f.config);
    struct backend_entry unresponsive = {.id = (char *)"b1",
                                         .incarnation_start_ms = 1,
                                         .pool = (char *)"p",
                                         .address = (char *)"127.0.0.1:1",
                                         .data_centre = (char *)"dc"};
    scheduler_backend_inherited(f.sched, &unresponsive, 3000);
    fixture_add_backend(&f, "b2", "q", "m2");
    struct job *job = fixture_add_job(&f, JOB_A, "p",
                                      "[{\"count\":1,\"cpu\":100,"
                                      "\"estimate_ms\":500}]");
    job->inherited = true;
    int64_t taken_over_ms = f.now_ms;
    struct run_report no_answer = {.outcome = REPORT_NO_ANSWER};
    while (fixture_count(&f, COMMAND_START, NULL) == 0 &&
           f.now_ms < taken_over_ms + 10000) {
        fixture_tick(&f, f.now_ms + 100);
        fixture_answer(&f, "b1", no_answer);
        fixture_report(&f, "b2", NULL, 0, NULL, 0);
    }
    CU_ASSERT(f.now_ms > taken_over_ms + 3000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b2"), 1);
    fixture_clear(&f);
}

/* Under overload a job that can still meet its objective goes before a late
 * one, and the smaller of two that can goes first. */
static void
test_job_order_under_overload(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    static const char wide[] =
        "[{\"count\":16,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":1000}]";
    static const char narrow[] =
        "[{\"count\":4,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":1000}]";
    struct job *late = fixture_add_job(&f, JOB_A, "p", narrow);
    late->accepted_unix_ms -= 60000;
    fixture_add_job(&f, JOB_B, "p", wide);
    fixture_add_job(&f, "00000000000000cc", "p", narrow);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 16);
    uint32_t by_job[3] = {0};
    for (guint i = 0; i < f.commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(f.commands, i);
        if (command->kind == COMMAND_START) {
            by_job[command->task[15] - 'a']++;
        }
    }
    CU_ASSERT_EQUAL(by_job[2], 4);
    CU_ASSERT_EQUAL(by_job[1], 12);
    CU_ASSERT_EQUAL(by_job[0], 0);
    fixture_clear(&f);
}

/* The limit of a client account applies to all pools together. */
static void
test_team_limit_over_pools(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    struct team_config *team = g_ptr_array_index(f.config->teams, 0);
    team->maximum.cpu_milli = 5000;
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_add_backend(&f, "b2", "q", "m2");
    fixture_reconcile(&f);
    static const char tasks[] =
        "[{\"count\":4,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":1000}]";
    fixture_add_job(&f, JOB_A, "p", tasks);
    fixture_add_job(&f, JOB_B, "q", tasks);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 5);
    fixture_clear(&f);
}

/* The tasks of a gang start together, with the same run number, or not at
 * all. */
static void
test_gang_starts_whole(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":20,\"cpu\":1000,\"mem_mb\":10,"
                    "\"estimate_ms\":1000,\"gang\":true}]");
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    fixture_add_backend(&f, "b2", "p", "m2");
    fixture_reconcile(&f);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 20);
    fixture_clear(&f);
}

/* Nothing starts while leadership is not valid; then the job goes on. */
static void
test_no_start_without_leadership(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    scheduler_set_leadership_valid(f.sched, false);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    scheduler_set_leadership_valid(f.sched, true);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A data centre that is out of service gets no new tasks. */
static void
test_out_of_service_data_centre(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    static char *out_of_service[] = {(char *)"dc", NULL};
    static char *none[] = {NULL};
    scheduler_set_out_of_service(f.sched, out_of_service);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    scheduler_set_out_of_service(f.sched, none);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* When many hosts see vacant leadership, a weak host waits longer than any
 * strong one, also if it has waited before for a vacancy that another host
 * filled. */
static void
test_weak_host_waits_each_time(void)
{
    struct election_backoff weak = {0};
    struct election_backoff strong = {0};
    for (int vacancy = 0; vacancy < 3; vacancy++) {
        int64_t weak_ms = 0;
        int64_t strong_ms = 0;
        CU_ASSERT_EQUAL(
            election_backoff_next(&weak, true, 0.12, 0.5, 0, &weak_ms),
            ELECTION_WAIT);
        CU_ASSERT_EQUAL(
            election_backoff_next(&strong, true, 0.5, 0.5, 1, &strong_ms),
            ELECTION_WAIT);
        CU_ASSERT(weak_ms > strong_ms + WEAK_HOST_HEAD_START_MS);
        CU_ASSERT_EQUAL(
            election_backoff_next(&strong, true, 0.5, 0.5, 1, &strong_ms),
            ELECTION_CAMPAIGN);
        CU_ASSERT_EQUAL(
            election_backoff_next(&weak, false, 0.12, 0.5, 0, &weak_ms),
            ELECTION_NONE);
    }
}

/* Where all hosts are alike nobody waits for a stronger one, and where none is
 * known a weak host waits half a second at most. */
static void
test_equal_hosts_do_not_wait(void)
{
    struct election_backoff equal = {0};
    struct election_backoff alone = {0};
    int64_t equal_ms = 0;
    int64_t alone_ms = 0;
    election_backoff_next(&equal, true, 0.12, 0.12, 0, &equal_ms);
    election_backoff_next(&alone, true, 0.12, 0, 0, &alone_ms);
    CU_ASSERT_EQUAL(equal_ms, 0);
    CU_ASSERT(alone_ms > 0);
    CU_ASSERT(alone_ms <= 500);
}

/* A leader cut off from the store has many calls open through a peer that is
 * cut off as well. Their late failures must not make it leave the next peer,
 * which works. */
static void
test_late_failures_keep_the_peer(void)
{
    char *peers[] = {(char *)"p1", (char *)"p2", (char *)"p3", NULL};
    struct relay_peer peer = {0};
    relay_peer_choose(&peer, peers);
    CU_ASSERT_STRING_EQUAL(peer.address, "p1");
    for (int i = 0; i < 8; i++) {
        relay_peer_failed(&peer, "p1", peers);
    }
    CU_ASSERT_STRING_EQUAL(peer.address, "p2");
    relay_peer_failed(&peer, "p2", peers);
    CU_ASSERT_STRING_EQUAL(peer.address, "p3");
    relay_peer_choose(&peer, NULL);
    CU_ASSERT_PTR_NULL(peer.address);
    relay_peer_clear(&peer);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a service start without reports",
         test_service_start_without_reports},
        {"equal hosts do not wait", test_equal_hosts_do_not_wait},
        {"an unanswered start that runs goes on",
         test_unanswered_start_that_runs},
        {"stops back off", test_stops_back_off},
        {"a gang member is not sent", test_gang_member_not_sent},
        {"a gang member is refused", test_gang_member_refused},
        {"a service task at a peak", test_service_task_at_a_peak},
        {"failures reported again count", test_failures_reported_again},
        {"a stored failure counts once", test_failure_counts_once},
        {"a stopping run is waited for", test_stopping_run_is_waited_for},
        {"an unanswered start of a service task",
         test_unanswered_start_of_service_task},
        {"a host without a report is not empty",
         test_unread_host_is_not_empty},
        {"a lingering entry is unavailable",
         test_lingering_entry_is_unavailable},
        {"a wave needs the host list", test_wave_needs_the_host_list},
        {"job order under overload", test_job_order_under_overload},
        {"a team's limit applies over pools", test_team_limit_over_pools},
        {"a gang starts whole", test_gang_starts_whole},
        {"no start without leadership", test_no_start_without_leadership},
        {"a data centre out of service", test_out_of_service_data_centre},
        {"a weak host waits each time", test_weak_host_waits_each_time},
        {"inherited leases run out", test_inherited_leases_run_out},
        {"a wave needs a list requested after it",
         test_wave_needs_a_list_requested_after_it},
        {"a takeover waits for the earlier pool of a queue",
         test_takeover_waits_for_earlier_pool},
        {"late failures keep the peer", test_late_failures_keep_the_peer},
    };
    return suite_main("jobs scheduler", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
