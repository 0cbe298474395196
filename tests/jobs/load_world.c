#include "load_world.h"

#include <stdio.h>
#include <string.h>

enum {
    STEP_MS = 10,
    REPORT_WAIT_MS = 800,
    SMALL_MS = 500,
    SMALL_SPREAD_PERCENT = 30,
    PERCENT = 100,
    /* As in fleet_fixture.c. */
    STRETCH_PERCENT = 160,
    OBJECTIVE_MS = 600,
    TERM_STEP = 1000,
};

struct world_run {
    char task[JOB_ID_CHARS + 16];
    struct world_job *job;
    uint32_t number;
    int64_t started_ms;
};

static uint64_t
next_random(struct load_world *world)
{
    world->seed = world->seed * UINT64_C(6364136223846793005) +
                  UINT64_C(1442695040888963407);
    return world->seed >> 33;
}

static void
begin_term(struct load_world *world, int64_t now_ms)
{
    fixture_init_at(&world->fixture, world->term, now_ms);
    scheduler_set_policy(world->fixture.sched, &world->policy);
    world->commands_seen = 0;
}

static struct world_backend *
find_backend(struct load_world *world, const char *id)
{
    for (uint32_t i = 0; i < world->n_backends; i++) {
        if (strcmp(world->backends[i].id, id) == 0) {
            return &world->backends[i];
        }
    }
    return NULL;
}

static int32_t
progress(struct load_world *world, const struct world_run *run)
{
    if (world->random_progress) {
        return (int32_t)(next_random(world) % PERCENT);
    }
    return (int32_t)(PERCENT * (world->fixture.now_ms - run->started_ms) /
                     run->job->true_ms);
}

static void
answer_report(struct load_world *world, struct world_backend *backend)
{
    struct fleet_fixture *f = &world->fixture;
    struct reported_run *running =
        g_new0(struct reported_run, backend->runs->len + 1);
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct world_run *run = g_ptr_array_index(backend->runs, i);
        running[i] = (struct reported_run){
            .task = run->task,
            .number = run->number,
            .saved = (char *)"",
            .percent = progress(world, run),
        };
    }
    backend->report_due_ms = 0;
    guint n_ends = backend->ends->len;
    struct run_completion *ends =
        (struct run_completion *)g_array_free(backend->ends, FALSE);
    backend->ends = g_array_new(FALSE, FALSE, sizeof(struct run_completion));
    fixture_report(f, backend->id, running, backend->runs->len, ends, n_ends);
    for (guint i = 0; i < n_ends; i++) {
        g_free((void *)ends[i].task);
    }
    g_free(ends);
    g_free(running);
}

static struct world_job *
find_job(struct load_world *world, const char *task)
{
    for (uint32_t i = 0; i < world->n_jobs; i++) {
        if (strncmp(world->jobs[i].id, task, JOB_ID_CHARS) == 0) {
            return &world->jobs[i];
        }
    }
    return NULL;
}

static void
carry_out(struct load_world *world, const struct recorded_command *command)
{
    struct fleet_fixture *f = &world->fixture;
    struct world_backend *backend = find_backend(world, command->target);
    if (backend == NULL || backend->lost) {
        return;
    }
    if (command->kind == COMMAND_REQUEST_REPORT) {
        const struct backend *known =
            scheduler_find_backend(f->sched, backend->id);
        bool at_once = backend->ends->len > 0 || known->unreconciled;
        backend->report_due_ms =
            f->now_ms + (at_once ? STEP_MS : REPORT_WAIT_MS);
    }
    else if (command->kind == COMMAND_START) {
        struct world_run *run = g_new0(struct world_run, 1);
        g_strlcpy(run->task, command->task, sizeof(run->task));
        run->job = find_job(world, command->task);
        run->number = command->number;
        run->started_ms = f->now_ms;
        g_ptr_array_add(backend->runs, run);
        run->job->started_ms = f->now_ms;
        g_strlcpy(run->job->started_on, backend->id,
                  sizeof(run->job->started_on));
        g_string_append_printf(world->log, "%ld %s %s\n", (long)f->now_ms,
                               command->task, backend->id);
        scheduler_on_start(f->sched, command->handle, START_DONE,
                           f->now_ms + FIXTURE_CLOCK_AHEAD_MS);
    }
    else if (command->kind == COMMAND_STOP) {
        scheduler_on_stop(f->sched, command->handle, command->attempt, true);
    }
}

static void
end_runs(struct load_world *world, struct world_backend *backend)
{
    for (guint i = backend->runs->len; i > 0; i--) {
        struct world_run *run = g_ptr_array_index(backend->runs, i - 1);
        if (world->fixture.now_ms - run->started_ms < run->job->true_ms) {
            continue;
        }
        run->job->ended_ms = world->fixture.now_ms;
        struct run_completion end = {
            .number = ++backend->next_completion,
            .task = g_strdup(run->task),
            .run = run->number,
            .reason = END_DONE,
            .saved = (char *)"",
        };
        g_array_append_val(backend->ends, end);
        g_ptr_array_remove_index_fast(backend->runs, i - 1);
        if (backend->report_due_ms != 0) {
            backend->report_due_ms = world->fixture.now_ms;
        }
    }
}

static struct job *
create_job(struct load_world *world, const struct world_job *job)
{
    char *steps = g_strdup_printf(
        "[{\"count\":1,\"cpu\":%d,\"mem_mb\":10,\"estimate_ms\":%ld}]",
        (int)job->cpu_milli, (long)job->estimate_ms);
    struct job *created =
        fixture_create_job(&world->fixture, job->id, "p", steps);
    created->accepted_unix_ms += job->accepted_ms - world->fixture.now_ms;
    g_free(steps);
    return created;
}

static struct world_job *
new_job(struct load_world *world, int64_t cpu_milli, int64_t true_ms)
{
    struct world_job *job = &world->jobs[world->n_jobs];
    *job = (struct world_job){
        .cpu_milli = cpu_milli,
        .true_ms = true_ms,
        .estimate_ms = true_ms * world->estimate_percent / PERCENT,
        .accepted_ms = world->fixture.now_ms,
    };
    snprintf(job->id, sizeof(job->id), "%016x", world->n_jobs + 1);
    return job;
}

uint32_t
world_add_job(struct load_world *world, int64_t cpu_milli, int64_t true_ms)
{
    struct world_job *job = new_job(world, cpu_milli, true_ms);
    struct job *created = create_job(world, job);
    scheduler_add_job(world->fixture.sched, created);
    job_unref(created);
    return world->n_jobs++;
}

static void
arrive(struct load_world *world, int32_t load_percent)
{
    world->credit += (double)world->n_backends * WORLD_FULL_CPU_MILLI *
                     STEP_MS * load_percent / PERCENT;
    while (world->credit > 0 && load_percent > 0) {
        int64_t spread_ms = world->small_ms * SMALL_SPREAD_PERCENT / PERCENT;
        int64_t true_ms =
            world->small_ms - spread_ms +
            (int64_t)(next_random(world) % (uint64_t)(2 * spread_ms + 1));
        world->credit -= (double)true_ms * WORLD_SMALL_CPU_MILLI;
        struct world_job *job = new_job(world, WORLD_SMALL_CPU_MILLI, true_ms);
        struct job *created = create_job(world, job);
        if (scheduler_refusal_ms(world->fixture.sched, "p", created) > 0) {
            world->refused++;
        }
        else {
            scheduler_add_job(world->fixture.sched, created);
            world->n_jobs++;
        }
        job_unref(created);
    }
}

static void
step(struct load_world *world, int32_t load_percent)
{
    struct fleet_fixture *f = &world->fixture;
    f->now_ms += STEP_MS;
    for (uint32_t i = 0; i < world->n_backends; i++) {
        struct world_backend *backend = &world->backends[i];
        if (backend->lost) {
            continue;
        }
        end_runs(world, backend);
        if (backend->report_due_ms != 0 &&
            f->now_ms >= backend->report_due_ms) {
            answer_report(world, backend);
        }
    }
    arrive(world, load_percent);
    fixture_tick(f, f->now_ms);
    for (; world->commands_seen < f->commands->len; world->commands_seen++) {
        carry_out(world, g_ptr_array_index(f->commands, world->commands_seen));
    }
}

void
world_run(struct load_world *world, int64_t duration_ms, int32_t load_percent)
{
    int64_t end_ms = world->fixture.now_ms + duration_ms;
    while (world->fixture.now_ms < end_ms) {
        step(world, load_percent);
    }
}

void
world_init(struct load_world *world, uint32_t n_backends,
           int32_t estimate_percent, const struct sched_policy *policy)
{
    *world = (struct load_world){
        .policy = *policy,
        .n_backends = n_backends,
        .estimate_percent = estimate_percent,
        .seed = 1,
        .small_ms = SMALL_MS,
        .log = g_string_new(NULL),
    };
    begin_term(world, 100000);
    for (uint32_t i = 0; i < n_backends; i++) {
        struct world_backend *backend = &world->backends[i];
        snprintf(backend->id, sizeof(backend->id), "b%u", i);
        backend->runs = g_ptr_array_new_with_free_func(g_free);
        backend->ends =
            g_array_new(FALSE, FALSE, sizeof(struct run_completion));
        fixture_add_backend(&world->fixture, backend->id, "p", backend->id);
    }
    fixture_reconcile(&world->fixture);
    world->commands_seen = 0;
}

void
world_clear(struct load_world *world)
{
    fixture_clear(&world->fixture);
    for (uint32_t i = 0; i < world->n_backends; i++) {
        struct world_backend *backend = &world->backends[i];
        for (guint e = 0; e < backend->ends->len; e++) {
            g_free(
                (void *)g_array_index(backend->ends, struct run_completion, e)
                    .task);
        }
        g_array_unref(backend->ends);
        g_ptr_array_unref(backend->runs);
    }
    g_string_free(world->log, TRUE);
}

void
world_lose(struct load_world *world, const char *id)
{
    struct world_backend *backend = find_backend(world, id);
    backend->lost = true;
    backend->report_due_ms = 0;
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct world_run *run = g_ptr_array_index(backend->runs, i);
        run->job->started_ms = 0;
    }
    g_ptr_array_set_size(backend->runs, 0);
    fixture_answer(&world->fixture, id,
                   (struct run_report){.outcome = REPORT_NO_ANSWER});
    scheduler_backend_removed(world->fixture.sched, id);
}

void
world_take_over(struct load_world *world)
{
    int64_t now_ms = world->fixture.now_ms;
    fixture_clear(&world->fixture);
    world->term += TERM_STEP;
    begin_term(world, now_ms);
    for (uint32_t i = 0; i < world->n_backends; i++) {
        struct world_backend *backend = &world->backends[i];
        if (backend->lost) {
            continue;
        }
        fixture_add_backend(&world->fixture, backend->id, "p", backend->id);
        const struct backend *known =
            scheduler_find_backend(world->fixture.sched, backend->id);
        struct backend_entry *entry = backend_entry_copy(&known->entry);
        scheduler_backend_inherited(world->fixture.sched, entry, 3000);
        backend_entry_destroy(entry);
    }
    for (uint32_t i = 0; i < world->n_jobs; i++) {
        struct world_job *job = &world->jobs[i];
        if (job->ended_ms != 0) {
            continue;
        }
        struct job *created = create_job(world, job);
        created->inherited = true;
        scheduler_add_job(world->fixture.sched, created);
        job_unref(created);
    }
}

int64_t
world_objective_ms(const struct world_job *job)
{
    return job->estimate_ms * STRETCH_PERCENT / PERCENT + OBJECTIVE_MS;
}

double
world_small_wait_ms(const struct load_world *world, int64_t from_ms,
                    int64_t until_ms)
{
    double sum_ms = 0;
    uint32_t count = 0;
    for (uint32_t i = 0; i < world->n_jobs; i++) {
        const struct world_job *job = &world->jobs[i];
        if (job->cpu_milli != WORLD_SMALL_CPU_MILLI ||
            job->accepted_ms < from_ms || job->accepted_ms >= until_ms) {
            continue;
        }
        int64_t until_start_ms =
            job->started_ms == 0 ? world->fixture.now_ms : job->started_ms;
        sum_ms += (double)(until_start_ms - job->accepted_ms);
        count++;
    }
    return count == 0 ? 0 : sum_ms / count;
}

const char *
world_reserved(const struct load_world *world)
{
    for (uint32_t i = 0; i < world->n_backends; i++) {
        const struct backend *backend = scheduler_find_backend(
            world->fixture.sched, world->backends[i].id);
        if (backend != NULL && backend->reservation != NULL) {
            return world->backends[i].id;
        }
    }
    return NULL;
}
