/* A pool that is filled with runs of a lower priority: tasks of a higher one
 * preempt them, and get their capacity. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "core/jobs/preemption.h"
#include "priority_world.h"

/* Guards against a job of priority 0 that waits until runs of priority 1 end,
 * beyond its objective, and against more stops than it needs. */
static void
test_full_pool(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    int64_t waited_ms = world_wait_for_start(&world, HIGH_JOB, 1, LONG_MS);
    printf("started after %" G_GINT64_FORMAT " ms\n", waited_ms);
    CU_ASSERT(waited_ms >= 0 && waited_ms <= OBJECTIVE_MS);
    CU_ASSERT_EQUAL(world_stops(&world), 1);
    world_add_job(&world, "00000000000000a1", "high", whole_backend);
    waited_ms = world_wait_for_start(&world, "00000000000000a1", 1, LONG_MS);
    printf("a whole backend server: %" G_GINT64_FORMAT " ms\n", waited_ms);
    CU_ASSERT(waited_ms >= 0 && waited_ms <= OBJECTIVE_MS);
    world_clear(&world);
}

/* Guards against tasks of one job that are placed one stop after the other. */
static void
test_many_tasks(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, HIGH_JOB, "high",
                  "[{\"count\":8,\"cpu\":2000,\"mem_mb\":10,"
                  "\"estimate_ms\":1000}]");
    int64_t waited_ms = world_wait_for_start(&world, HIGH_JOB, 8, LONG_MS);
    printf("eight tasks after %" G_GINT64_FORMAT " ms, %u stops\n", waited_ms,
           world_stops(&world));
    CU_ASSERT(waited_ms >= 0 && waited_ms <= OBJECTIVE_MS);
    /* Each stop makes room for two tasks. */
    CU_ASSERT(world_stops(&world) <= 8);
    world_clear(&world);
}

/* Guards against small tasks, also of the same priority, that take the freed
 * capacity bit by bit while the preempted runs end one after the other. */
static void
test_held(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, HIGH_JOB, "high", whole_backend);
    world_run_for(&world, 60);
    CU_ASSERT_EQUAL_FATAL(world_stops(&world), 4);
    const char *target = fixture_last(&world.f, COMMAND_STOP)->target;
    uint32_t delay_ms = 0;
    for (guint i = 0; i < world.runs->len; i++) {
        struct sim_run *run = &g_array_index(world.runs, struct sim_run, i);
        if (run->stops_ms != 0) {
            run->stops_ms += delay_ms;
            delay_ms += 100;
        }
    }
    /* Least work, so they come first in the order of the same priority. */
    for (int i = 1; i < 8; i++) {
        char id[JOB_ID_CHARS + 1];
        snprintf(id, sizeof(id), "00000000000000a%d", i);
        world_add_job(&world, id, i % 2 == 0 ? "high" : "low",
                      "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"
                      "\"estimate_ms\":500}]");
    }
    CU_ASSERT(world_wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    guint others = 0;
    for (guint i = 0; i < world.f.commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(world.f.commands, i);
        others +=
            command->kind == COMMAND_START &&
            strcmp(command->target, target) == 0 &&
            command->at_ms > fixture_last(&world.f, COMMAND_STOP)->at_ms &&
            !g_str_has_prefix(command->task, HIGH_JOB);
    }
    CU_ASSERT_EQUAL(others, 0);
    world_clear(&world);
}

/* Guards against a task that never gets done since each run of it is
 * preempted. */
static void
test_bounded(void)
{
    struct world world;
    world_init(&world, true);
    struct job *low = world_fill(&world, LOW_JOB, "low", "");
    /* One after the other, each as long as the last one needs. */
    for (int i = 0; i < 60; i++) {
        char id[JOB_ID_CHARS + 1];
        snprintf(id, sizeof(id), "00000000000001%02x", i);
        world_add_job(&world, id, "high", four_cores);
        world_run_for(&world, 1500);
    }
    uint32_t most = 0;
    for (uint32_t t = 0; t < 16; t++) {
        most = MAX(most, job_step_progress(low, 0, 0)->tasks[t].preemptions);
    }
    printf("%u stops, %u of one task\n", world.stopped, most);
    CU_ASSERT_EQUAL(most, PREEMPTIONS_PER_TASK_MAX);
    CU_ASSERT(world.stopped <= 16 * PREEMPTIONS_PER_TASK_MAX);
    world_run_for(&world, 70000);
    CU_ASSERT_EQUAL(low->state, JOB_COMPLETED);
    world_clear(&world);
}

/* Guards against more preemption at a time than a part of the pool. */
static void
test_pool_part(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, HIGH_JOB, "high",
                  "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":5000}]");
    world_run_for(&world, PASS_MS);
    CU_ASSERT_EQUAL(world_stops(&world), 4);
    int64_t waited_ms = world_wait_for_start(&world, HIGH_JOB, 16, LONG_MS);
    printf("the whole pool after %" G_GINT64_FORMAT " ms\n", waited_ms);
    CU_ASSERT(waited_ms >= 0 && waited_ms < 4000);
    world_clear(&world);
}

/* @stopped: the leader is lost right after it has stopped a run, else before.
 */
static void
check_takeover(bool stopped)
{
    struct world world;
    world_init(&world, true);
    const char steps[] = "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
                         "\"estimate_ms\":60000}]";
    world_fill(&world, LOW_JOB, "low", "");
    if (stopped) {
        world_add_job(&world, HIGH_JOB, "high", four_cores);
        world_run_for(&world, PASS_MS);
        CU_ASSERT_EQUAL(world_stops(&world), 1);
    }
    struct fleet_fixture before = world.f;
    fixture_init_at(&world.f, 1, before.now_ms + 3000);
    world.seen = 0;
    world_add_queues(&world.f, true);
    struct job *jobs[] = {
        fixture_create_queue_job(&world.f, LOW_JOB, "low", "p", steps),
        fixture_create_queue_job(&world.f, HIGH_JOB, "high", "p", four_cores),
    };
    for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i]->inherited = true;
        scheduler_add_job(world.f.sched, jobs[i]);
        job_unref(jobs[i]);
    }
    GPtrArray *ids = scheduler_backend_ids(before.sched);
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        scheduler_backend_inherited(
            world.f.sched, &scheduler_find_backend(before.sched, id)->entry,
            3000);
        fixture_add_backend(&world.f, id, "p", NULL);
    }
    g_ptr_array_unref(ids);
    int64_t waited_ms = world_wait_for_start(&world, HIGH_JOB, 1, LONG_MS);
    printf("after a takeover %" G_GINT64_FORMAT " ms\n", waited_ms);
    /* Reports requested after the longest stop, 600 ms, have to be read before
     * an inherited job is placed. */
    CU_ASSERT(waited_ms >= 0 && waited_ms <= 600 + OBJECTIVE_MS);
    CU_ASSERT_EQUAL(world_stops(&world), stopped ? 0 : 1);
    /* A job that arrives at the new leader. */
    world_run_for(&world, 3000);
    world_add_job(&world, "00000000000000a1", "high", whole_backend);
    waited_ms = world_wait_for_start(&world, "00000000000000a1", 1, LONG_MS);
    printf("next job %" G_GINT64_FORMAT " ms, %u stops\n", waited_ms,
           world_stops(&world));
    CU_ASSERT(waited_ms >= 0 && waited_ms <= OBJECTIVE_MS);
    fixture_clear(&before);
    world_clear(&world);
}

/* Guards against a new leader that doesn't preempt runs which it knows from
 * reports only, or preempts more for a task for which runs were stopped. */
static void
test_takeover(void)
{
    check_takeover(false);
    check_takeover(true);
}

/* Guards against commands while the leadership is not valid. */
static void
test_no_leadership(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    scheduler_set_leadership_valid(world.f.sched, false);
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    world_run_for(&world, 1000);
    CU_ASSERT_EQUAL(world_stops(&world), 0);
    scheduler_set_leadership_valid(world.f.sched, true);
    CU_ASSERT(world_wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    world_clear(&world);
}

/* Guards against room that counts before the end is listed, in a pool whose
 * backend servers start whatever they are told to. */
static void
test_not_enforced(void)
{
    struct world world;
    world_init(&world, true);
    fixture_set_enforced(&world.f, "p", false);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    CU_ASSERT(world_wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    CU_ASSERT_EQUAL(world.stopped, 1);
    world_clear(&world);
}

/* Guards against capacity that stays reserved for a task that is not wanted
 * any more, or cannot get it. */
static void
test_given_up(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    world_run_for(&world, PASS_MS);
    CU_ASSERT_EQUAL(world_stops(&world), 1);
    scheduler_cancel(world.f.sched, HIGH_JOB);
    world_run_for(&world, 1000);
    /* The preempted task itself takes it. */
    CU_ASSERT_EQUAL(world_starts_of(&world, LOW_JOB), 17);
    struct sched_stats stats;
    scheduler_stats(world.f.sched, &stats);
    CU_ASSERT_EQUAL(stats.holds, 0);
    world_clear(&world);
}

/* Guards against others that take the freed capacity after the start was
 * refused once, and against a second preemption for it. */
static void
test_refused(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    world_add_job(&world, "00000000000000b1", "low", four_cores);
    world.refused = HIGH_JOB;
    CU_ASSERT(world_wait_for_start(&world, HIGH_JOB, 2, OBJECTIVE_MS) >= 0);
    CU_ASSERT_PTR_NULL(world.refused);
    CU_ASSERT_EQUAL(world_stops(&world), 1);
    CU_ASSERT_EQUAL(world_starts_of(&world, "00000000000000b1"), 0);
    world_clear(&world);
}

/* Guards against a wait for capacity of a backend server that is about to
 * leave, and of one that is removed. */
static void
test_backend_leaves(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    world_run_for(&world, PASS_MS);
    CU_ASSERT_EQUAL_FATAL(world_stops(&world), 1);
    char *first = g_strdup(fixture_last(&world.f, COMMAND_STOP)->target);
    char host[] = "m0";
    host[1] = first[1];
    fixture_drain_backend(&world.f, first, "p", host);
    CU_ASSERT(world_wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    CU_ASSERT_STRING_NOT_EQUAL(fixture_last(&world.f, COMMAND_START)->target,
                               first);
    scheduler_backend_removed(world.f.sched, first);
    world_run_for(&world, 1000);
    g_free(first);
    world_clear(&world);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a job of priority 0 starts in a full pool", test_full_pool},
        {"many tasks start at once", test_many_tasks},
        {"others do not take the freed capacity", test_held},
        {"a task is preempted a few times only", test_bounded},
        {"a part of the pool is preempted at a time", test_pool_part},
        {"a new leader preempts", test_takeover},
        {"nothing is stopped without leadership", test_no_leadership},
        {"room counts when the end is listed", test_not_enforced},
        {"capacity is given up with the job", test_given_up},
        {"capacity stays kept after a refused start", test_refused},
        {"another backend server is chosen when one leaves",
         test_backend_leaves},
    };
    return suite_main("jobs preemption", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
