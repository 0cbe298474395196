#include "priority_world.h"

#include <stdio.h>
#include <string.h>

#include "../suite.h"

void
world_add_queues(struct fleet_fixture *f, bool priorities)
{
    fixture_add_queue(f, "high", "p", 0);
    fixture_add_queue(f, "low", "p", 1);
    fixture_add_queue(f, "lowest", "p", 2);
    fixture_set_queue_priorities(f, priorities);
}

void
world_init(struct world *world, bool priorities)
{
    static const char *const pools[] = {"p", "p", "p", "p", NULL};
    *world = (struct world){.true_percent = 100, .reports_percent = true};
    world->runs = g_array_new(FALSE, TRUE, sizeof(struct sim_run));
    fixture_init(&world->f, 0);
    world_add_queues(&world->f, priorities);
    fixture_add_hosts(&world->f, pools);
    fixture_reconcile(&world->f);
}

void
world_clear(struct world *world)
{
    g_array_unref(world->runs);
    fixture_clear(&world->f);
}

struct job *
world_add_job(struct world *world, const char *id, const char *queue,
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

struct sim_run *
world_find_run(const struct world *world, const char *task, uint32_t number)
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
                world_find_run(world, command->task, command->number);
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

void
world_pass(struct world *world)
{
    fixture_tick(&world->f, world->f.now_ms + PASS_MS);
    carry_out(world);
    for (uint32_t i = 0; i < BACKEND_COUNT; i++) {
        report(world, i);
    }
}

void
world_run_for(struct world *world, int64_t duration_ms)
{
    for (int64_t end_ms = world->f.now_ms + duration_ms;
         world->f.now_ms < end_ms;) {
        world_pass(world);
    }
}

uint32_t
world_starts_of(const struct world *world, const char *id)
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

uint32_t
world_stops(const struct world *world)
{
    return fixture_count(&world->f, COMMAND_STOP, NULL);
}

int64_t
world_wait_for_start(struct world *world, const char *id, uint32_t count,
                     int64_t most_ms)
{
    int64_t begin_ms = world->f.now_ms;
    while (world->f.now_ms < begin_ms + most_ms) {
        if (world_starts_of(world, id) >= count) {
            return world->f.now_ms - begin_ms;
        }
        world_pass(world);
    }
    return -1;
}

struct job *
world_fill(struct world *world, const char *id, const char *queue,
           const char *options)
{
    char *steps = g_strdup_printf("[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
                                  "\"estimate_ms\":60000%s}]",
                                  options);
    struct job *job = world_add_job(world, id, queue, steps);
    g_free(steps);
    world_run_for(world, 1000);
    CU_ASSERT_EQUAL_FATAL(world_starts_of(world, id), 16);
    return job;
}

const char four_cores[] =
    "[{\"count\":1,\"cpu\":4000,\"mem_mb\":10,\"estimate_ms\":1000}]";
const char whole_backend[] =
    "[{\"count\":1,\"cpu\":16000,\"mem_mb\":10,\"estimate_ms\":1000}]";
