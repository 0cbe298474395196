/* Which runs a task of a higher priority preempts, and when it waits instead.
 */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "core/jobs/preemption.h"
#include "priority_world.h"

/* Guards against the stop of a run that has worked for long where another has
 * just begun. */
static void
test_youngest(void)
{
    struct world world;
    world_init(&world, true);
    world_add_job(&world, LOW_JOB, "low",
                  "[{\"count\":15,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":60000}]");
    world_run_for(&world, 5000);
    world_add_job(&world, "00000000000000b1", "low",
                  "[{\"count\":1,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":60000}]");
    world_run_for(&world, 1000);
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    CU_ASSERT(world_wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    CU_ASSERT_EQUAL_FATAL(world_stops(&world), 1);
    CU_ASSERT_STRING_EQUAL(fixture_last(&world.f, COMMAND_STOP)->task,
                           "00000000000000b1.0.0.0");
    world_clear(&world);
}

/* Guards against the loss of work that is not saved where another run has
 * saved a moment ago, and of a checkpoint. */
static void
test_checkpoint(void)
{
    struct world world;
    world_init(&world, true);
    struct job *low =
        world_fill(&world, LOW_JOB, "low", ",\"checkpointing\":true");
    world_run_for(&world, 5000);
    struct sim_run *saver = world_find_run(&world, LOW_JOB ".0.0.7", 1);
    CU_ASSERT_FATAL(saver != NULL);
    g_strlcpy(saver->saved, "at-5000", sizeof(saver->saved));
    world_run_for(&world, 200);
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    CU_ASSERT(world_wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    CU_ASSERT_EQUAL_FATAL(world_stops(&world), 1);
    CU_ASSERT_STRING_EQUAL(fixture_last(&world.f, COMMAND_STOP)->task,
                           LOW_JOB ".0.0.7");
    /* Its task goes on from there, and nothing has failed. */
    world_run_for(&world, 2000);
    CU_ASSERT_EQUAL(world_starts_of(&world, LOW_JOB ".0.0.7"), 2);
    const struct job_task *task = &job_step_progress(low, 0, 0)->tasks[7];
    CU_ASSERT_STRING_EQUAL(task->saved, "at-5000");
    CU_ASSERT_EQUAL(task->failures, 0);
    struct sched_stats stats;
    scheduler_stats(world.f.sched, &stats);
    CU_ASSERT_EQUAL(stats.failed, 0);
    CU_ASSERT_EQUAL(stats.lost, 0);
    CU_ASSERT_EQUAL(stats.preempted, 1);
    CU_ASSERT_EQUAL(stats.preemptions, 1);
    CU_ASSERT_EQUAL(stats.holds, 0);
    world_clear(&world);
}

/* Guards against stops where runs are expected to end in time, also where the
 * estimate is twice the true run time and only the progress says so. */
static void
test_ends_in_time(void)
{
    struct world world;
    world_init(&world, true);
    world.true_percent = 50;
    world_add_job(&world, LOW_JOB, "low",
                  "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":4000}]");
    world_run_for(&world, 1900);
    /* The runs end in 100 ms; by the estimate in 2,100 ms. */
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    CU_ASSERT(world_wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    CU_ASSERT_EQUAL(world_stops(&world), 0);
    world_clear(&world);
}

/* Guards against a wait for runs that take twice their estimate. */
static void
test_overdue(void)
{
    struct world world;
    world_init(&world, true);
    world.true_percent = 200;
    world.reports_percent = false;
    world_add_job(&world, LOW_JOB, "low",
                  "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":8000}]");
    world_run_for(&world, 7900);
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    int64_t waited_ms = world_wait_for_start(&world, HIGH_JOB, 1, LONG_MS);
    printf("beside overdue runs after %" G_GINT64_FORMAT " ms\n", waited_ms);
    CU_ASSERT(waited_ms >= 0 && waited_ms <= 1600);
    world_clear(&world);
}

/* Guards against a large task that preempts nothing since a smaller one, which
 * can wait until runs end, was first to find no place. */
static void
test_larger_task(void)
{
    struct world world;
    world_init(&world, true);
    world_add_job(&world, LOW_JOB, "low",
                  "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":5000}]");
    world_run_for(&world, 2500);
    CU_ASSERT_EQUAL_FATAL(world_starts_of(&world, LOW_JOB), 16);
    world_add_job(&world, "00000000000000a1", "high",
                  "[{\"count\":1,\"cpu\":100,\"mem_mb\":10,"
                  "\"estimate_ms\":5000}]");
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    int64_t waited_ms = world_wait_for_start(&world, HIGH_JOB, 1, LONG_MS);
    printf("after %" G_GINT64_FORMAT " ms\n", waited_ms);
    CU_ASSERT(waited_ms >= 0 && waited_ms <= OBJECTIVE_MS);
    CU_ASSERT_EQUAL(world_stops(&world), 1);
    CU_ASSERT_EQUAL(world_starts_of(&world, "00000000000000a1"), 0);
    world_clear(&world);
}

/* Guards against a stop where a host could be moved to the pool in time, and
 * against a job that misses its objective since none is. */
static void
test_spare_host(void)
{
    static const char *const pools[] = {"p", "p", "p", "s", NULL};
    struct world world;
    world_init(&world, true);
    fixture_add_hosts(&world.f, pools);
    world_run_for(&world, 200);
    world_add_job(&world, LOW_JOB, "low",
                  "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":60000}]");
    world_run_for(&world, 1000);
    CU_ASSERT_EQUAL(world_starts_of(&world, LOW_JOB), 12);
    CU_ASSERT(fixture_count(&world.f, COMMAND_MOVE, "m3") >= 1);
    world_add_job(&world, HIGH_JOB, "high",
                  "[{\"count\":1,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":10000}]");
    world_run_for(&world, 1000);
    CU_ASSERT_EQUAL(world_stops(&world), 0);
    /* The move gets no answer. The objective is 16,600 ms. */
    int64_t waited_ms = world_wait_for_start(&world, HIGH_JOB, 1, LONG_MS);
    printf("after %" G_GINT64_FORMAT " ms\n", 1000 + waited_ms);
    CU_ASSERT(waited_ms >= 0 && 1000 + waited_ms <= 6600);
    world_clear(&world);
}

/* Guards against the stop of service tasks and gangs. */
static void
test_never(void)
{
    static const char *const options[] = {
        ",\"long_running\":true",
        ",\"long_running\":true,\"may_miss\":1",
        ",\"gang\":true",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
        struct world world;
        world_init(&world, true);
        world_fill(&world, LOW_JOB, "low", options[i]);
        world_add_job(&world, HIGH_JOB, "high", four_cores);
        world_run_for(&world, 3000);
        CU_ASSERT_EQUAL(world_stops(&world), 0);
        CU_ASSERT_EQUAL(world_starts_of(&world, HIGH_JOB), 0);
        world_clear(&world);
    }
}

/* Guards against the stop of runs that are isolated, and of those beside
 * them. */
static void
test_isolated(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    for (uint32_t i = 0; i < BACKEND_COUNT; i++) {
        char id[8];
        snprintf(id, sizeof(id), "b%u", i);
        scheduler_find_backend(world.f.sched, id)->isolated_runs = 1;
    }
    world_add_job(&world, HIGH_JOB, "high", four_cores);
    world_run_for(&world, 1000);
    CU_ASSERT_EQUAL(world_stops(&world), 0);
    for (uint32_t i = 0; i < BACKEND_COUNT; i++) {
        char id[8];
        snprintf(id, sizeof(id), "b%u", i);
        scheduler_find_backend(world.f.sched, id)->isolated_runs = 0;
    }
    CU_ASSERT(world_wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    world_clear(&world);
}

/* Guards against a choice that loses more work than needed, or stops more. */
static void
test_choice(void)
{
    struct preemption_request request = {
        .need = {.cpu_milli = 8000, .mem_mb = 100},
        .priority = 1,
        .wait_ms = 300,
        .stop_ms = 600,
    };
    struct preemption_run runs[] = {
        {{4000, 50, 0}, 2, true, 100, 9000},
        {{4000, 50, 0}, 2, true, 200, 9000},
        {{8000, 100, 0}, 2, true, 250, 9000},
        {{4000, 50, 0}, 1, true, 0, 9000},
        {{4000, 50, 0}, 2, false, 0, 9000},
        {{4000, 50, 0}, 2, true, 0, 600},
    };
    struct resources none = {0};
    struct preemption_choice choice =
        preemption_choose(&request, &none, runs, G_N_ELEMENTS(runs));
    /* The last one ends in time, and makes room for half of it. */
    CU_ASSERT_FATAL(choice.found);
    CU_ASSERT_EQUAL(choice.n_runs, 1);
    CU_ASSERT_EQUAL(choice.runs[0], 0);
    CU_ASSERT_EQUAL(
        preemption_room_in_time(&request, &none, runs, G_N_ELEMENTS(runs)), 0);
    /* Without it, one run loses less than two. */
    choice = preemption_choose(&request, &none, runs, 5);
    CU_ASSERT_FATAL(choice.found);
    CU_ASSERT_EQUAL(choice.n_runs, 1);
    CU_ASSERT_EQUAL(choice.runs[0], 2);
    /* Without either, nothing is left that may be stopped. */
    runs[2].may_stop = false;
    runs[1].priority = 1;
    CU_ASSERT_FALSE(preemption_choose(&request, &none, runs, 5).found);
    runs[5].ends_ms = 0;
    runs[4].ends_ms = 600;
    CU_ASSERT_EQUAL(
        preemption_room_in_time(&request, &none, runs, G_N_ELEMENTS(runs)), 1);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"the youngest run is stopped", test_youngest},
        {"a run that has just saved is stopped", test_checkpoint},
        {"runs that end in time are not stopped", test_ends_in_time},
        {"overdue runs are stopped", test_overdue},
        {"a larger task than one that waits preempts", test_larger_task},
        {"a host that is moved in time is waited for", test_spare_host},
        {"service tasks and gangs are not stopped", test_never},
        {"nothing is stopped beside isolated runs", test_isolated},
        {"the least work is lost", test_choice},
    };
    return suite_main("jobs preemption choice", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
