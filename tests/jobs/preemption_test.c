/* Queues with priorities in a pool that is filled with runs of a lower one,
 * replayed against simulated backend servers. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "core/jobs/preemption.h"
#include "fleet_fixture.h"

/* Ids of jobs begin with it; the rest is the number of the job. */
#define HIGH_JOB "00000000000000a0"

enum {
    PASS_MS = 20,
    /* Shorter than the bound that the scheduler knows, 500 ms. */
    STOP_TAKES_MS = 150,
    BACKEND_COUNT = 4,
    REPORTS_MAX = 64,
    /* As the objective of a queue of the fixture. */
    OBJECTIVE_MS = 600,
    /* Longer than every job of a test that is not blocked. */
    LONG_MS = 90000,
};

/** struct sim_run - a run on a simulated backend server */
struct sim_run {
    uint32_t backend;
    char task[JOB_ID_CHARS + 48];
    uint32_t number;
    int64_t started_ms;
    int64_t ends_ms;
    int64_t stops_ms;
    char saved[16];
    bool ended;
};

/**
 * struct world - simulated backend servers b0, b1, ...
 * @seen: commands that were carried out
 * @completions: number of the last completion of each
 * @true_percent: true run time, in percent of the estimate
 * @reports_percent: reports show progress
 * @refused: job whose next start is refused; NULL: none
 * @stopped: runs that ended by a stop
 * @done: runs that ended by themselves
 */
struct world {
    struct fleet_fixture f;
    guint seen;
    GArray *runs;
    int64_t completions[BACKEND_COUNT];
    int64_t true_percent;
    bool reports_percent;
    const char *refused;
    uint32_t stopped;
    uint32_t done;
};

static void
add_queues(struct fleet_fixture *f, bool priorities)
{
    fixture_add_queue(f, "high", "p", 0);
    fixture_add_queue(f, "low", "p", 1);
    fixture_add_queue(f, "lowest", "p", 2);
    fixture_set_queue_priorities(f, priorities);
}

static void
world_init(struct world *world, bool priorities)
{
    static const char *const pools[] = {"p", "p", "p", "p", NULL};
    *world = (struct world){.true_percent = 100, .reports_percent = true};
    world->runs = g_array_new(FALSE, TRUE, sizeof(struct sim_run));
    fixture_init(&world->f, 0);
    add_queues(&world->f, priorities);
    fixture_add_hosts(&world->f, pools);
    fixture_reconcile(&world->f);
}

static void
world_clear(struct world *world)
{
    g_array_unref(world->runs);
    fixture_clear(&world->f);
}

static struct job *
add_job(struct world *world, const char *id, const char *queue,
        const char *steps)
{
    struct job *job =
        fixture_create_queue_job(&world->f, id, queue, "p", steps);
    scheduler_add_job(world->f.sched, job);
    job_unref(job);
    return job;
}

static int64_t
estimate_of(const struct world *world, const char *task)
{
    char id[JOB_ID_CHARS + 1];
    g_strlcpy(id, task, sizeof(id));
    const struct job *job = scheduler_find_job(world->f.sched, id);
    return job->steps[0].estimate_ms;
}

static struct sim_run *
find_run(const struct world *world, const char *task, uint32_t number)
{
    for (guint i = 0; i < world->runs->len; i++) {
        struct sim_run *run = &g_array_index(world->runs, struct sim_run, i);
        if (strcmp(run->task, task) == 0 && run->number == number &&
            !run->ended) {
            return run;
        }
    }
    return NULL;
}

/* Carries out the commands since the last time. */
static void
carry_out(struct world *world)
{
    for (; world->seen < world->f.commands->len; world->seen++) {
        const struct recorded_command *command =
            g_ptr_array_index(world->f.commands, world->seen);
        if (command->kind == COMMAND_START && world->refused != NULL &&
            g_str_has_prefix(command->task, world->refused)) {
            world->refused = NULL;
            scheduler_on_start(world->f.sched, command->handle,
                               START_NO_CAPACITY, 0);
        }
        else if (command->kind == COMMAND_START) {
            struct sim_run run = {
                .backend = (uint32_t)(command->target[1] - '0'),
                .number = command->number,
                .started_ms = world->f.now_ms,
                .ends_ms =
                    world->f.now_ms + estimate_of(world, command->task) *
                                          world->true_percent / 100,
            };
            g_strlcpy(run.task, command->task, sizeof(run.task));
            g_array_append_val(world->runs, run);
            scheduler_on_start(world->f.sched, command->handle, START_DONE,
                               world->f.now_ms + FIXTURE_CLOCK_AHEAD_MS);
        }
        else if (command->kind == COMMAND_STOP) {
            struct sim_run *run =
                find_run(world, command->task, command->number);
            if (run != NULL && run->stops_ms == 0) {
                run->stops_ms = world->f.now_ms + STOP_TAKES_MS;
            }
            scheduler_on_stop(world->f.sched, command->handle,
                              command->attempt, true);
        }
    }
}

static void
report(struct world *world, uint32_t backend)
{
    struct reported_run running[REPORTS_MAX] = {0};
    struct run_completion completions[REPORTS_MAX] = {0};
    size_t n_running = 0;
    size_t n_completions = 0;
    int64_t now_ms = world->f.now_ms;
    for (guint i = 0; i < world->runs->len; i++) {
        struct sim_run *run = &g_array_index(world->runs, struct sim_run, i);
        if (run->backend != backend || run->ended) {
            continue;
        }
        bool done = run->ends_ms <= now_ms;
        if (done || (run->stops_ms != 0 && run->stops_ms <= now_ms)) {
            run->ended = true;
            world->done += done;
            world->stopped += !done;
            completions[n_completions++] = (struct run_completion){
                .number = ++world->completions[backend],
                .task = run->task,
                .run = run->number,
                .reason = done ? END_DONE : END_STOPPED,
                .saved = run->saved,
            };
            continue;
        }
        running[n_running++] = (struct reported_run){
            .task = run->task,
            .number = run->number,
            .saved = run->saved,
            .percent = world->reports_percent
                           ? (int32_t)(100 * (now_ms - run->started_ms) /
                                       (run->ends_ms - run->started_ms))
                           : -1,
        };
    }
    char id[8];
    snprintf(id, sizeof(id), "b%u", backend);
    fixture_report(&world->f, id, running, n_running, completions,
                   n_completions);
}

static void
pass(struct world *world)
{
    fixture_tick(&world->f, world->f.now_ms + PASS_MS);
    carry_out(world);
    for (uint32_t i = 0; i < BACKEND_COUNT; i++) {
        report(world, i);
    }
}

static void
run_for(struct world *world, int64_t duration_ms)
{
    for (int64_t end_ms = world->f.now_ms + duration_ms;
         world->f.now_ms < end_ms;) {
        pass(world);
    }
}

/* Number of starts of tasks of that job. */
static uint32_t
starts_of(const struct world *world, const char *id)
{
    uint32_t count = 0;
    for (guint i = 0; i < world->f.commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(world->f.commands, i);
        count += command->kind == COMMAND_START &&
                 g_str_has_prefix(command->task, id);
    }
    return count;
}

static uint32_t
stops(const struct world *world)
{
    return fixture_count(&world->f, COMMAND_STOP, NULL);
}

/* Passes until a task of job @id has started, at most until @most_ms; returns
 * how long that took, or -1. */
static int64_t
wait_for_start(struct world *world, const char *id, uint32_t count,
               int64_t most_ms)
{
    int64_t begin_ms = world->f.now_ms;
    while (world->f.now_ms < begin_ms + most_ms) {
        if (starts_of(world, id) >= count) {
            return world->f.now_ms - begin_ms;
        }
        pass(world);
    }
    return -1;
}

/* Fills all four backend servers with sixteen tasks of four cores. */
static struct job *
fill(struct world *world, const char *id, const char *queue,
     const char *options)
{
    char *steps = g_strdup_printf("[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
                                  "\"estimate_ms\":60000%s}]",
                                  options);
    struct job *job = add_job(world, id, queue, steps);
    g_free(steps);
    run_for(world, 1000);
    CU_ASSERT_EQUAL_FATAL(starts_of(world, id), 16);
    return job;
}

static const char four_cores[] =
    "[{\"count\":1,\"cpu\":4000,\"mem_mb\":10,\"estimate_ms\":1000}]";
static const char whole_backend[] =
    "[{\"count\":1,\"cpu\":16000,\"mem_mb\":10,\"estimate_ms\":1000}]";

/* Guards against a job of priority 0 that waits until runs of priority 1 end,
 * beyond its objective, and against more stops than it needs. */
static void
test_full_pool(void)
{
    struct world world;
    world_init(&world, true);
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, HIGH_JOB, "high", four_cores);
    int64_t waited_ms = wait_for_start(&world, HIGH_JOB, 1, LONG_MS);
    printf("started after %" G_GINT64_FORMAT " ms\n", waited_ms);
    CU_ASSERT(waited_ms >= 0 && waited_ms <= OBJECTIVE_MS);
    CU_ASSERT_EQUAL(stops(&world), 1);
    add_job(&world, "00000000000000a1", "high", whole_backend);
    waited_ms = wait_for_start(&world, "00000000000000a1", 1, LONG_MS);
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
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, HIGH_JOB, "high",
            "[{\"count\":8,\"cpu\":2000,\"mem_mb\":10,"
            "\"estimate_ms\":1000}]");
    int64_t waited_ms = wait_for_start(&world, HIGH_JOB, 8, LONG_MS);
    printf("eight tasks after %" G_GINT64_FORMAT " ms, %u stops\n", waited_ms,
           stops(&world));
    CU_ASSERT(waited_ms >= 0 && waited_ms <= OBJECTIVE_MS);
    /* Each stop makes room for two tasks. */
    CU_ASSERT(stops(&world) <= 8);
    world_clear(&world);
}

/* Guards against preemption among equals, and of a higher priority. */
static void
test_equals(void)
{
    struct world world;
    world_init(&world, true);
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, "00000000000000b1", "low", four_cores);
    add_job(&world, "00000000000000c1", "lowest", four_cores);
    run_for(&world, 5000);
    CU_ASSERT_EQUAL(stops(&world), 0);
    CU_ASSERT_EQUAL(starts_of(&world, "00000000000000b1"), 0);
    CU_ASSERT_EQUAL(starts_of(&world, "00000000000000c1"), 0);
    world_clear(&world);
}

/* Guards against a job whose queue was removed, and has no priority, that
 * stops runs. */
static void
test_unknown_queue(void)
{
    struct world world;
    world_init(&world, true);
    fill(&world, "00000000000000b0", "lowest", "");
    add_job(&world, "00000000000000d0", "removed", four_cores);
    run_for(&world, 3000);
    CU_ASSERT_EQUAL(stops(&world), 0);
    world_clear(&world);
}

/* All commands of a replay with jobs of two queues, as text; g_free(). */
static char *
replay_off(const char *high, const char *low)
{
    struct world world;
    world_init(&world, false);
    fill(&world, "00000000000000b0", low, "");
    for (int i = 0; i < 16; i++) {
        char id[JOB_ID_CHARS + 1];
        snprintf(id, sizeof(id), "00000000000001%02x", i);
        add_job(&world, id, i % 2 == 0 ? high : low, four_cores);
        run_for(&world, 5000);
    }
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < world.f.commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(world.f.commands, i);
        g_string_append_printf(text, "%d %s %s %u %" G_GINT64_FORMAT "\n",
                               (int)command->kind, command->target,
                               command->task == NULL ? "" : command->task,
                               command->number, command->at_ms);
    }
    world_clear(&world);
    return g_string_free(text, FALSE);
}

/* Guards against changes by the priorities of queues where the feature is off.
 */
static void
test_off(void)
{
    char *ranked = replay_off("high", "lowest");
    char *equal = replay_off("high", "high");
    CU_ASSERT_STRING_EQUAL(ranked, equal);
    g_free(ranked);
    g_free(equal);
    struct world world;
    world_init(&world, false);
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, "00000000000000b1", "low", four_cores);
    run_for(&world, 100);
    add_job(&world, HIGH_JOB, "high",
            "[{\"count\":1,\"cpu\":4000,\"mem_mb\":10,"
            "\"estimate_ms\":1100}]");
    run_for(&world, 5000);
    CU_ASSERT_EQUAL(stops(&world), 0);
    run_for(&world, 60000);
    CU_ASSERT_EQUAL(stops(&world), 0);
    /* The least work first, whatever the queue. */
    CU_ASSERT_EQUAL(starts_of(&world, "00000000000000b1"), 1);
    CU_ASSERT_EQUAL(starts_of(&world, HIGH_JOB), 1);
    world_clear(&world);
}

/* Guards against small jobs of a lower priority that come first since they
 * have the least work. */
static void
test_order(void)
{
    struct world world;
    world_init(&world, true);
    /* Equal priorities of all that runs: nothing is preempted. */
    fill(&world, "00000000000000a1", "high", "");
    for (int i = 0; i < 8; i++) {
        char id[JOB_ID_CHARS + 1];
        snprintf(id, sizeof(id), "00000000000000b%d", i);
        add_job(&world, id, "low",
                "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"
                "\"estimate_ms\":500}]");
    }
    add_job(&world, HIGH_JOB, "high",
            "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
            "\"estimate_ms\":5000}]");
    run_for(&world, 60000);
    CU_ASSERT_EQUAL(starts_of(&world, HIGH_JOB), 16);
    CU_ASSERT_EQUAL(starts_of(&world, "00000000000000b0"), 0);
    CU_ASSERT_EQUAL(stops(&world), 0);
    run_for(&world, 6000);
    CU_ASSERT_EQUAL(starts_of(&world, "00000000000000b0"), 1);
    world_clear(&world);
}

/* Guards against the stop of a run that has worked for long where another has
 * just begun. */
static void
test_youngest(void)
{
    struct world world;
    world_init(&world, true);
    add_job(&world, "00000000000000b0", "low",
            "[{\"count\":15,\"cpu\":4000,\"mem_mb\":10,"
            "\"estimate_ms\":60000}]");
    run_for(&world, 5000);
    add_job(&world, "00000000000000b1", "low",
            "[{\"count\":1,\"cpu\":4000,\"mem_mb\":10,"
            "\"estimate_ms\":60000}]");
    run_for(&world, 1000);
    add_job(&world, HIGH_JOB, "high", four_cores);
    CU_ASSERT(wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    CU_ASSERT_EQUAL_FATAL(stops(&world), 1);
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
        fill(&world, "00000000000000b0", "low", ",\"checkpointing\":true");
    run_for(&world, 5000);
    struct sim_run *saver = find_run(&world, "00000000000000b0.0.0.7", 1);
    CU_ASSERT_FATAL(saver != NULL);
    g_strlcpy(saver->saved, "at-5000", sizeof(saver->saved));
    run_for(&world, 200);
    add_job(&world, HIGH_JOB, "high", four_cores);
    CU_ASSERT(wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    CU_ASSERT_EQUAL_FATAL(stops(&world), 1);
    CU_ASSERT_STRING_EQUAL(fixture_last(&world.f, COMMAND_STOP)->task,
                           "00000000000000b0.0.0.7");
    /* Its task goes on from there, and nothing has failed. */
    run_for(&world, 2000);
    CU_ASSERT_EQUAL(starts_of(&world, "00000000000000b0.0.0.7"), 2);
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
    add_job(&world, "00000000000000b0", "low",
            "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
            "\"estimate_ms\":4000}]");
    run_for(&world, 1900);
    /* The runs end in 100 ms; by the estimate in 2,100 ms. */
    add_job(&world, HIGH_JOB, "high", four_cores);
    CU_ASSERT(wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    CU_ASSERT_EQUAL(stops(&world), 0);
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
    add_job(&world, "00000000000000b0", "low",
            "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
            "\"estimate_ms\":8000}]");
    run_for(&world, 7900);
    add_job(&world, HIGH_JOB, "high", four_cores);
    int64_t waited_ms = wait_for_start(&world, HIGH_JOB, 1, LONG_MS);
    printf("beside overdue runs after %" G_GINT64_FORMAT " ms\n", waited_ms);
    CU_ASSERT(waited_ms >= 0 && waited_ms <= 1600);
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
        fill(&world, "00000000000000b0", "low", options[i]);
        add_job(&world, HIGH_JOB, "high", four_cores);
        run_for(&world, 3000);
        CU_ASSERT_EQUAL(stops(&world), 0);
        CU_ASSERT_EQUAL(starts_of(&world, HIGH_JOB), 0);
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
    fill(&world, "00000000000000b0", "low", "");
    for (uint32_t i = 0; i < BACKEND_COUNT; i++) {
        char id[8];
        snprintf(id, sizeof(id), "b%u", i);
        scheduler_find_backend(world.f.sched, id)->isolated_runs = 1;
    }
    add_job(&world, HIGH_JOB, "high", four_cores);
    run_for(&world, 1000);
    CU_ASSERT_EQUAL(stops(&world), 0);
    for (uint32_t i = 0; i < BACKEND_COUNT; i++) {
        char id[8];
        snprintf(id, sizeof(id), "b%u", i);
        scheduler_find_backend(world.f.sched, id)->isolated_runs = 0;
    }
    CU_ASSERT(wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    world_clear(&world);
}

/* Guards against small tasks, also of the same priority, that take the freed
 * capacity bit by bit while the preempted runs end one after the other. */
static void
test_held(void)
{
    struct world world;
    world_init(&world, true);
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, HIGH_JOB, "high", whole_backend);
    run_for(&world, 60);
    CU_ASSERT_EQUAL_FATAL(stops(&world), 4);
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
        add_job(&world, id, i % 2 == 0 ? "high" : "low",
                "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"
                "\"estimate_ms\":500}]");
    }
    CU_ASSERT(wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
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
    struct job *low = fill(&world, "00000000000000b0", "low", "");
    /* One after the other, each as long as the last one needs. */
    for (int i = 0; i < 60; i++) {
        char id[JOB_ID_CHARS + 1];
        snprintf(id, sizeof(id), "00000000000001%02x", i);
        add_job(&world, id, "high", four_cores);
        run_for(&world, 1500);
    }
    uint32_t most = 0;
    for (uint32_t t = 0; t < 16; t++) {
        most = MAX(most, job_step_progress(low, 0, 0)->tasks[t].preemptions);
    }
    printf("%u stops, %u of one task\n", world.stopped, most);
    CU_ASSERT_EQUAL(most, PREEMPTIONS_PER_TASK_MAX);
    CU_ASSERT(world.stopped <= 16 * PREEMPTIONS_PER_TASK_MAX);
    run_for(&world, 70000);
    CU_ASSERT_EQUAL(low->state, JOB_COMPLETED);
    world_clear(&world);
}

/* Guards against more preemption at a time than a part of the pool. */
static void
test_pool_part(void)
{
    struct world world;
    world_init(&world, true);
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, HIGH_JOB, "high",
            "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
            "\"estimate_ms\":5000}]");
    run_for(&world, PASS_MS);
    CU_ASSERT_EQUAL(stops(&world), 4);
    int64_t waited_ms = wait_for_start(&world, HIGH_JOB, 16, LONG_MS);
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
    fill(&world, "00000000000000b0", "low", "");
    if (stopped) {
        add_job(&world, HIGH_JOB, "high", four_cores);
        run_for(&world, PASS_MS);
        CU_ASSERT_EQUAL(stops(&world), 1);
    }
    struct fleet_fixture before = world.f;
    fixture_init_at(&world.f, 1, before.now_ms + 3000);
    world.seen = 0;
    add_queues(&world.f, true);
    struct job *jobs[] = {
        fixture_create_queue_job(&world.f, "00000000000000b0", "low", "p",
                                 steps),
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
    int64_t waited_ms = wait_for_start(&world, HIGH_JOB, 1, LONG_MS);
    printf("after a takeover %" G_GINT64_FORMAT " ms\n", waited_ms);
    /* Reports requested after the longest stop, 600 ms, have to be read before
     * an inherited job is placed. */
    CU_ASSERT(waited_ms >= 0 && waited_ms <= 600 + OBJECTIVE_MS);
    CU_ASSERT_EQUAL(stops(&world), stopped ? 0 : 1);
    /* A job that arrives at the new leader. */
    run_for(&world, 3000);
    add_job(&world, "00000000000000a1", "high", whole_backend);
    waited_ms = wait_for_start(&world, "00000000000000a1", 1, LONG_MS);
    printf("next job %" G_GINT64_FORMAT " ms, %u stops\n", waited_ms,
           stops(&world));
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

/* Guards against a large task that preempts nothing since a smaller one, which
 * can wait until runs end, was first to find no place. */
static void
test_larger_task(void)
{
    struct world world;
    world_init(&world, true);
    add_job(&world, "00000000000000b0", "low",
            "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
            "\"estimate_ms\":5000}]");
    run_for(&world, 2500);
    CU_ASSERT_EQUAL_FATAL(starts_of(&world, "00000000000000b0"), 16);
    add_job(&world, "00000000000000a1", "high",
            "[{\"count\":1,\"cpu\":100,\"mem_mb\":10,"
            "\"estimate_ms\":5000}]");
    add_job(&world, HIGH_JOB, "high", four_cores);
    int64_t waited_ms = wait_for_start(&world, HIGH_JOB, 1, LONG_MS);
    printf("after %" G_GINT64_FORMAT " ms\n", waited_ms);
    CU_ASSERT(waited_ms >= 0 && waited_ms <= OBJECTIVE_MS);
    CU_ASSERT_EQUAL(stops(&world), 1);
    CU_ASSERT_EQUAL(starts_of(&world, "00000000000000a1"), 0);
    world_clear(&world);
}

/* Guards against commands while the leadership is not valid. */
static void
test_no_leadership(void)
{
    struct world world;
    world_init(&world, true);
    fill(&world, "00000000000000b0", "low", "");
    scheduler_set_leadership_valid(world.f.sched, false);
    add_job(&world, HIGH_JOB, "high", four_cores);
    run_for(&world, 1000);
    CU_ASSERT_EQUAL(stops(&world), 0);
    scheduler_set_leadership_valid(world.f.sched, true);
    CU_ASSERT(wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
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
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, HIGH_JOB, "high", four_cores);
    CU_ASSERT(wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
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
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, HIGH_JOB, "high", four_cores);
    run_for(&world, PASS_MS);
    CU_ASSERT_EQUAL(stops(&world), 1);
    scheduler_cancel(world.f.sched, HIGH_JOB);
    run_for(&world, 1000);
    /* The preempted task itself takes it. */
    CU_ASSERT_EQUAL(starts_of(&world, "00000000000000b0"), 17);
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
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, HIGH_JOB, "high", four_cores);
    add_job(&world, "00000000000000b1", "low", four_cores);
    world.refused = HIGH_JOB;
    CU_ASSERT(wait_for_start(&world, HIGH_JOB, 2, OBJECTIVE_MS) >= 0);
    CU_ASSERT_PTR_NULL(world.refused);
    CU_ASSERT_EQUAL(stops(&world), 1);
    CU_ASSERT_EQUAL(starts_of(&world, "00000000000000b1"), 0);
    world_clear(&world);
}

/* Guards against a wait for capacity of a backend server that is about to
 * leave, and of one that is removed. */
static void
test_backend_leaves(void)
{
    struct world world;
    world_init(&world, true);
    fill(&world, "00000000000000b0", "low", "");
    add_job(&world, HIGH_JOB, "high", four_cores);
    run_for(&world, PASS_MS);
    CU_ASSERT_EQUAL_FATAL(stops(&world), 1);
    char *first = g_strdup(fixture_last(&world.f, COMMAND_STOP)->target);
    char host[] = "m0";
    host[1] = first[1];
    fixture_drain_backend(&world.f, first, "p", host);
    CU_ASSERT(wait_for_start(&world, HIGH_JOB, 1, OBJECTIVE_MS) >= 0);
    CU_ASSERT_STRING_NOT_EQUAL(fixture_last(&world.f, COMMAND_START)->target,
                               first);
    scheduler_backend_removed(world.f.sched, first);
    run_for(&world, 1000);
    g_free(first);
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
        {"a job of priority 0 starts in a full pool", test_full_pool},
        {"many tasks start at once", test_many_tasks},
        {"nothing is preempted among equals", test_equals},
        {"a job of an unknown queue preempts nothing", test_unknown_queue},
        {"off, nothing is preempted", test_off},
        {"the priority comes first in the order", test_order},
        {"the youngest run is stopped", test_youngest},
        {"a run that has just saved is stopped", test_checkpoint},
        {"runs that end in time are not stopped", test_ends_in_time},
        {"overdue runs are stopped", test_overdue},
        {"service tasks and gangs are not stopped", test_never},
        {"nothing is stopped beside isolated runs", test_isolated},
        {"others do not take the freed capacity", test_held},
        {"a task is preempted a few times only", test_bounded},
        {"a part of the pool is preempted at a time", test_pool_part},
        {"a new leader preempts", test_takeover},
        {"a larger task than one that waits preempts", test_larger_task},
        {"nothing is stopped without leadership", test_no_leadership},
        {"room counts when the end is listed", test_not_enforced},
        {"capacity is given up with the job", test_given_up},
        {"capacity stays kept after a refused start", test_refused},
        {"another backend server is chosen when one leaves",
         test_backend_leaves},
        {"the least work is lost", test_choice},
    };
    return suite_main("jobs preemption", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
