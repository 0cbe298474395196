/* What is kept of crashes, and what does not count as one. */
#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "platform/kv.h"
#include "crash_world.h"

#define JOB_A "00000000000000aa"

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":500}]";

/* A backend server that drains ends on purpose. */
static void
test_drained_has_not_crashed(void)
{
    static const char *const pools[] = {"p", "p", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(&f, JOB_A, "p", one_task);
    struct job_task *task = &job_step_progress(job, 0, 0)->tasks[0];
    for (uint32_t order = 0; order < 2; order++) {
        fixture_tick(&f, f.now_ms + 100);
        const struct recorded_command *start = fixture_last(&f, COMMAND_START);
        CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL),
                              order + 1);
        scheduler_on_start(f.sched, start->handle, START_DONE, f.now_ms);
        char *id = g_strdup(start->target);
        fixture_drain_backend(&f, id, "p", id[1] == '0' ? "m0" : "m1");
        fixture_answer(&f, id,
                       (struct run_report){.outcome = REPORT_NO_ANSWER});
        f.incarnation_start_ms = f.now_ms + 1000000000;
        char *next = g_strdup_printf("c%c", id[1]);
        fixture_add_backend(&f, next, "p", id[1] == '0' ? "m0" : "m1");
        f.incarnation_start_ms = 1;
        CU_ASSERT_EQUAL(task->crash.crashes, 0);
        CU_ASSERT_FALSE(task->crash.suspect);
        g_free(next);
        g_free(id);
    }
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    fixture_clear(&f);
}

/* A record that an older version wrote has no crashes. */
static void
test_older_record(void)
{
    static const char older[] =
        "{\"state\":\"active\",\"parts\":[\".\"],\"tasks\":[[0,0,\"s\",1]]}";
    struct fleet_fixture f;
    fixture_init(&f, 0);
    struct job *job = fixture_create_job(&f, JOB_A, "p", one_task);
    CU_ASSERT_TRUE(record_progress_apply(job, older, sizeof(older) - 1));
    struct job_task *task = &job_step_progress(job, 0, 0)->tasks[0];
    CU_ASSERT_EQUAL(task->failures, 1);
    CU_ASSERT_EQUAL(task->crash.crashes, 0);
    CU_ASSERT_FALSE(task->crash.suspect);
    task->crash =
        (struct crash_record){.suspect = true, .crashes = 2, .alone = 1};
    task->crash_backend = g_strdup("b1");
    char *record = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
    job_unref(job);
    job = fixture_create_job(&f, JOB_A, "p", one_task);
    CU_ASSERT_TRUE(record_progress_apply(job, record, strlen(record)));
    task = &job_step_progress(job, 0, 0)->tasks[0];
    CU_ASSERT_EQUAL(task->failures, 1);
    CU_ASSERT_EQUAL(task->crash.crashes, 2);
    CU_ASSERT_EQUAL(task->crash.alone, 1);
    CU_ASSERT_TRUE(task->crash.suspect);
    CU_ASSERT_STRING_EQUAL(task->crash_backend, "b1");
    CU_ASSERT_FALSE(task->crash_shared);
    g_free(record);
    job_unref(job);
    fixture_clear(&f);
}

/* Whose backend server has fallen silent is a suspect for the next leader
 * only. */
static void
test_record_of_silence(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    for (int suspect = 0; suspect < 2; suspect++) {
        struct job *job = fixture_create_job(&f, JOB_A, "p", one_task);
        struct job_task *task = &job_step_progress(job, 0, 0)->tasks[0];
        task->crash.suspect = suspect == 1;
        task->crash_backend = g_strdup("b1");
        task->crash_shared = true;
        char *record = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
        job_unref(job);
        job = fixture_create_job(&f, JOB_A, "p", one_task);
        CU_ASSERT_TRUE(record_progress_apply(job, record, strlen(record)));
        task = &job_step_progress(job, 0, 0)->tasks[0];
        CU_ASSERT_TRUE(task->crash.suspect);
        CU_ASSERT_TRUE(task->crash_shared);
        CU_ASSERT_EQUAL(task->crash.crashes, 0);
        CU_ASSERT_STRING_EQUAL(task->crash_backend, "b1");
        g_free(record);
        job_unref(job);
    }
    fixture_clear(&f);
}

/* Two crashes suffice for a task that had just started and was alone. Others
 * that were lost beside it, or had worked for a while, need more. */
static void
test_crashes_that_prove(void)
{
    struct crash_record alone = {0};
    CU_ASSERT_FALSE(crash_record_crash(&alone, CRASH_FRESH, true, false));
    CU_ASSERT_TRUE(crash_isolated(&alone));
    CU_ASSERT_TRUE(crash_record_crash(&alone, CRASH_FRESH, true, false));
    struct crash_record beside = {0};
    CU_ASSERT_FALSE(crash_record_crash(&beside, CRASH_FRESH, false, false));
    CU_ASSERT_FALSE(crash_record_crash(&beside, CRASH_FRESH, false, false));
    CU_ASSERT_TRUE(crash_record_crash(&beside, CRASH_FRESH, false, false));
    struct crash_record bystander = {0};
    for (uint32_t i = 0; i < 5; i++) {
        CU_ASSERT_FALSE(
            crash_record_crash(&bystander, CRASH_LATE, false, false));
    }
    struct crash_record late = {0};
    CU_ASSERT_FALSE(crash_record_crash(&late, CRASH_LATE, true, false));
    CU_ASSERT_FALSE(crash_isolated(&late));
    CU_ASSERT_FALSE(crash_record_crash(&late, CRASH_LATE, true, false));
    CU_ASSERT_TRUE(crash_isolated(&late));
    CU_ASSERT_TRUE(crash_record_crash(&late, CRASH_LATE, true, false));
    CU_ASSERT_EQUAL(crash_role_of(60000), CRASH_BYSTANDER);
}

/* While backend servers crash by themselves, it may be chance that two did so
 * just after the same task had started. */
static void
test_unexplained_crashes(void)
{
    struct crash_record alone = {0};
    CU_ASSERT_FALSE(crash_record_crash(&alone, CRASH_FRESH, true, false));
    CU_ASSERT_FALSE(crash_record_crash(&alone, CRASH_FRESH, true, true));
    CU_ASSERT_TRUE(crash_isolated(&alone));
    CU_ASSERT_TRUE(crash_record_crash(&alone, CRASH_FRESH, true, true));
    struct crash_record beside = {0};
    CU_ASSERT_FALSE(crash_record_crash(&beside, CRASH_FRESH, false, true));
    CU_ASSERT_FALSE(crash_record_crash(&beside, CRASH_FRESH, true, true));
    CU_ASSERT_TRUE(crash_record_crash(&beside, CRASH_FRESH, true, false));
}

/* Starts without an answer may have gone to servers that had crashed before.
 */
static void
test_unanswered_starts(void)
{
    struct crash_record record = {0};
    CU_ASSERT_FALSE(crash_record_inherited(&record, true));
    CU_ASSERT_FALSE(crash_record_inherited(&record, true));
    struct crash_record calm = record;
    CU_ASSERT_TRUE(crash_record_inherited(&calm, false));
    CU_ASSERT_FALSE(crash_record_inherited(&record, true));
    struct crash_record sure = record;
    CU_ASSERT_TRUE(crash_record_crash(&sure, CRASH_FRESH, true, true));
    CU_ASSERT_TRUE(crash_record_inherited(&record, true));
}

/* Another one was found: only what both were lost in is forgotten. */
static void
test_other_cause(void)
{
    struct crash_record shared = {.suspect = true, .crashes = 1};
    crash_record_other(&shared, false);
    CU_ASSERT_FALSE(crash_isolated(&shared));
    CU_ASSERT_EQUAL(shared.crashes, 1);
    crash_record_other(&shared, true);
    CU_ASSERT_EQUAL(shared.crashes, 0);
    struct crash_record alone = {.suspect = true, .crashes = 1, .alone = 1};
    crash_record_other(&alone, true);
    CU_ASSERT_TRUE(crash_isolated(&alone));
    CU_ASSERT_TRUE(crash_record_crash(&alone, CRASH_FRESH, true, false));
}

/* A suspicion alone doesn't keep a task waiting, a crash alone does. */
static void
test_suspect_may_join(void)
{
    struct crash_record suspect = {.suspect = true, .crashes = 1};
    CU_ASSERT_FALSE(crash_may_join(&suspect, 100));
    CU_ASSERT_TRUE(crash_may_join(&suspect, 60000));
    suspect.alone = 1;
    CU_ASSERT_FALSE(crash_may_join(&suspect, 60000));
}

static void
test_service_backs_off(void)
{
    struct crash_record record = {.crashes = 2};
    CU_ASSERT_EQUAL(crash_service_backoff_ms(&record), 0);
    int64_t before_ms = 0;
    for (record.crashes = 3; record.crashes < 6; record.crashes++) {
        int64_t backoff_ms = crash_service_backoff_ms(&record);
        CU_ASSERT(backoff_ms >= 4 * before_ms && backoff_ms > 0);
        before_ms = backoff_ms;
    }
    record.crashes = 1000;
    CU_ASSERT(crash_service_backoff_ms(&record) < 3600 * 1000);
}

/* Each leader is lost just after it has started the task alone. What it stored
 * before tells the next one which crash that was. */
static void
test_leaders_lost(void)
{
    struct world world;
    world_init(&world, 6);
    const struct world_job *job = world_add_job(&world, one_task, true, 0);
    while (job->crashes < 1) {
        world_run(&world, 20);
    }
    for (uint32_t leader = 0; leader < 6; leader++) {
        uint32_t starts = job->starts;
        for (uint32_t i = 0; i < 1000 && job->starts == starts; i++) {
            world_run(&world, 20);
        }
        world_run(&world, 100);
        world_take_over(&world);
    }
    world_run(&world, 30000);
    CU_ASSERT_EQUAL(job->job->state, JOB_FAILED);
    CU_ASSERT(job->starts <= 4);
    world_clear(&world);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"crashes that prove", test_crashes_that_prove},
        {"crashes that no task has caused", test_unexplained_crashes},
        {"starts without an answer", test_unanswered_starts},
        {"another task was the cause", test_other_cause},
        {"a suspect that waits for long", test_suspect_may_join},
        {"a service task backs off", test_service_backs_off},
        {"leaders lost with the crashes", test_leaders_lost},
        {"a drained backend server has not crashed",
         test_drained_has_not_crashed},
        {"what a silence says is stored", test_record_of_silence},
        {"what crashes say is stored", test_older_record},
    };
    return suite_main("jobs crash record", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
