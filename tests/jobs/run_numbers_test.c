/* Numbers of runs over long terms, and starts that are refused again and
 * again. */
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000a1"
#define JOB_B "00000000000000b1"

enum {
    TERM = 3,
    /* Numbers of one term. */
    RANGE = 1000,
    GANG_PASSES = 3000,
    RESTARTS = 5000,
    PASS_MS = 10,
    /* Numbers that leaders of an earlier version have used. */
    USED_BEFORE = 90000,
    REFUSED_MS = 60000,
    /* One each second. */
    REFUSALS_MAX = REFUSED_MS / 1000,
};

static const char service[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"long_running\":true}]";

static void
init_fleet(struct fleet_fixture *f)
{
    static const char *const pools[] = {"p", "p", NULL};
    fixture_init(f, TERM);
    fixture_add_hosts(f, pools);
    fixture_reconcile(f);
}

/* Guards against a gang that uses up the numbers of its leader while it looks
 * for capacity, so that the next leader numbers lower and is refused. */
static void
test_waiting_gang(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_add_job(&f, JOB_A, "p", service);
    fixture_tick(&f, f.now_ms + PASS_MS);
    fixture_accept_starts(&f);
    /* One member finds capacity, the other one doesn't. */
    struct job *gang = fixture_add_job(
        &f, JOB_B, "p",
        "[{\"count\":2,\"cpu\":15500,\"mem_mb\":10,\"gang\":true}]");
    char *id = g_strdup(fixture_last(&f, COMMAND_START)->target);
    for (int i = 0; i < GANG_PASSES; i++) {
        struct reported_run running = {.task = JOB_A ".0.0.0",
                                       .number = TERM * RANGE + 1,
                                       .saved = "",
                                       .percent = 100};
        fixture_tick(&f, f.now_ms + PASS_MS);
        fixture_report(&f, id, &running, 1, NULL, 0);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    CU_ASSERT_EQUAL(job_step_progress(gang, 0, 0)->tasks[0].run_number, 0);
    scheduler_cancel(f.sched, JOB_A);
    struct run_completion end = {.number = 1,
                                 .task = JOB_A ".0.0.0",
                                 .run = TERM * RANGE + 1,
                                 .reason = END_STOPPED,
                                 .saved = ""};
    fixture_report(&f, id, NULL, 0, &end, 1);
    g_free(id);
    fixture_tick(&f, f.now_ms + PASS_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 3);
    CU_ASSERT_EQUAL(fixture_last(&f, COMMAND_START)->number, TERM * RANGE + 1);
    fixture_clear(&f);
}

/* Ends each run of a service at once; returns the highest number sent. */
static uint32_t
restart_often(struct fleet_fixture *f)
{
    struct job *job = fixture_add_job(f, JOB_A, "p", service);
    uint32_t highest = 0;
    for (int i = 0; i < RESTARTS; i++) {
        fixture_tick(f, f->now_ms + PASS_MS);
        const struct run *run = job_step_progress(job, 0, 0)->tasks[0].run;
        if (run == NULL) {
            continue;
        }
        CU_ASSERT(run->number > highest);
        highest = run->number;
        scheduler_on_start(f->sched, run->handle, START_DONE, 0);
        struct run_completion end = {.number = i + 1,
                                     .task = JOB_A ".0.0.0",
                                     .run = run->number,
                                     .reason = END_FAILED,
                                     .saved = ""};
        char *id = g_strdup(run->backend->entry.id);
        fixture_report(f, id, NULL, 0, &end, 1);
        g_free(id);
        g_ptr_array_set_size(f->commands, 0);
    }
    return highest;
}

/* Guards against a leader that uses numbers of the terms after its own, which
 * the next leader would use again: it uses only what it has reserved. */
static void
test_often_restarted(void)
{
    for (int withheld = 0; withheld <= 1; withheld++) {
        struct fleet_fixture f;
        init_fleet(&f);
        f.withhold_run_numbers = withheld;
        uint32_t highest = restart_often(&f);
        if (withheld) {
            CU_ASSERT_EQUAL(highest, (TERM + 1) * RANGE);
        }
        else {
            CU_ASSERT_EQUAL(highest, TERM * RANGE + RESTARTS);
        }
        fixture_clear(&f);
    }
}

/* Answers each start, until @duration_ms have passed or one is carried out: by
 * its number for START_STALE_RUN_NUMBER, else as @answer. Returns the number
 * of refused starts. */
static uint32_t
refuse_starts(struct fleet_fixture *f, enum start_answer answer,
              int64_t duration_ms)
{
    uint32_t refused = 0;
    int64_t until_ms = f->now_ms + duration_ms;
    while (f->now_ms < until_ms) {
        fixture_tick(f, f->now_ms + PASS_MS);
        const struct recorded_command *start = fixture_last(f, COMMAND_START);
        if (start == NULL) {
            continue;
        }
        uint64_t handle = start->handle;
        bool accepted =
            answer == START_STALE_RUN_NUMBER && start->number > USED_BEFORE;
        g_ptr_array_set_size(f->commands, 0);
        scheduler_on_start(f->sched, handle, accepted ? START_DONE : answer,
                           0);
        if (accepted) {
            break;
        }
        refused++;
    }
    return refused;
}

/* Guards against starts that are refused thousands of times, each with a
 * number that is higher by one. */
static void
test_stale_number(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_add_job(&f, JOB_A, "p", service);
    int64_t begin_ms = f.now_ms;
    CU_ASSERT(refuse_starts(&f, START_STALE_RUN_NUMBER, REFUSED_MS) < 10);
    CU_ASSERT(f.now_ms - begin_ms < 1000);
    struct sched_stats stats;
    scheduler_stats(f.sched, &stats);
    CU_ASSERT(stats.stale_numbers > 0);
    CU_ASSERT_EQUAL(stats.runs, 1);
    fixture_clear(&f);
}

/* Guards against a loop of starts of one task, whatever the reason that it is
 * refused for. */
static void
test_refused_again_and_again(void)
{
    static const enum start_answer answers[] = {
        START_REFUSED, START_NO_CAPACITY, START_NO_TICKET};
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        struct fleet_fixture f;
        init_fleet(&f);
        fixture_add_job(&f, JOB_A, "p", service);
        uint32_t refused = refuse_starts(&f, answers[i], REFUSED_MS);
        CU_ASSERT(refused > 0);
        CU_ASSERT(refused <= REFUSALS_MAX);
        fixture_clear(&f);
    }
    /* A run of the task that nobody knows of stays where it is. */
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_add_job(&f, JOB_A, "p", service);
    uint32_t refused = 0;
    for (int64_t until_ms = f.now_ms + REFUSED_MS; f.now_ms < until_ms;) {
        fixture_tick(&f, f.now_ms + PASS_MS);
        const struct recorded_command *start = fixture_last(&f, COMMAND_START);
        if (start != NULL) {
            uint64_t handle = start->handle;
            g_ptr_array_set_size(f.commands, 0);
            scheduler_on_start(f.sched, handle, START_STALE_RUN_NUMBER, 0);
            refused++;
        }
    }
    CU_ASSERT(refused <= REFUSALS_MAX);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a gang that waits for capacity", test_waiting_gang},
        {"a service that is restarted often", test_often_restarted},
        {"a number that is known already", test_stale_number},
        {"starts that are refused again and again",
         test_refused_again_and_again},
    };
    return suite_main("jobs run numbers", tests, G_N_ELEMENTS(tests));
}
