#include "share_world.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

enum {
    TASK_CHARS = JOB_ID_CHARS + 48,
    /* Prime, so that successive jobs differ. */
    SPREAD_FACTOR = 7919,
    REPORT_WAIT_MS = 600,
    /* Backend servers are known and a plan was made by then. */
    SETTLE_MS = 200,
    LEASE_MS = 3000,
    /* Of the fixture's queue: 1.6 times the path and 600 ms; a job is of use
     * within three of them, and a quarter more is accepted. */
    OBJECTIVE_MS = 600,
};

/**
 * struct world_job - a job as its caller and the store know it
 * @done: its tasks that are done, one bit each
 */
struct world_job {
    char id[JOB_ID_CHARS + 1];
    size_t account;
    struct world_load load;
    int64_t accepted_ms;
    int64_t accepted_unix_ms;
    bool started;
    uint32_t n_done;
    uint64_t done;
};

struct world_run {
    char task[TASK_CHARS];
    uint32_t number;
    int64_t started_ms;
    struct world_job *job;
    uint32_t index;
};

struct world_end {
    int64_t number;
    char task[TASK_CHARS];
    uint32_t run;
};

struct world_backend {
    char id[8];
    GArray *runs;
    GArray *ends;
    int64_t last_end;
    bool report_open;
    int64_t report_since_ms;
};

static void
backend_free(void *data)
{
    struct world_backend *backend = data;
    g_array_unref(backend->runs);
    g_array_unref(backend->ends);
    g_free(backend);
}

static void
configure(struct share_world *world)
{
    static const char *const pools[WORLD_BACKENDS + 1] = {"p", "p", "p", "p"};
    for (size_t a = 0; a < world->n_accounts; a++) {
        fixture_add_team(&world->f, world->accounts[a].name,
                         world->accounts[a].weight);
    }
    scheduler_configure(world->f.sched, world->f.config);
    scheduler_set_policy(world->f.sched, &world->policy);
    fixture_add_hosts(&world->f, pools);
}

void
share_world_init(struct share_world *world, const struct sched_policy *policy,
                 struct world_account *accounts, size_t n_accounts)
{
    *world = (struct share_world){.policy = *policy,
                                  .accounts = accounts,
                                  .n_accounts = n_accounts,
                                  .step_ms = WORLD_STEP_MS};
    world->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    world->backends = g_ptr_array_new_with_free_func(backend_free);
    world->starts = g_ptr_array_new_with_free_func(g_free);
    fixture_init(&world->f, 0);
    configure(world);
    for (int i = 0; i < WORLD_BACKENDS; i++) {
        struct world_backend *backend = g_new0(struct world_backend, 1);
        g_snprintf(backend->id, sizeof(backend->id), "b%d", i);
        backend->runs = g_array_new(FALSE, FALSE, sizeof(struct world_run));
        backend->ends = g_array_new(FALSE, FALSE, sizeof(struct world_end));
        g_ptr_array_add(world->backends, backend);
    }
    for (int i = 0; i < SETTLE_MS / WORLD_STEP_MS; i++) {
        share_world_step(world);
    }
}

void
share_world_clear(struct share_world *world)
{
    fixture_clear(&world->f);
    g_ptr_array_unref(world->backends);
    g_ptr_array_unref(world->starts);
    g_hash_table_unref(world->jobs);
}

static struct job *
create_job(struct share_world *world, const struct world_job *known)
{
    GString *steps = g_string_new("[");
    for (uint32_t s = 0; s < MAX(known->load.steps, 1); s++) {
        g_string_append_printf(steps,
                               "%s{\"count\":%u,\"cpu\":%" G_GINT64_FORMAT
                               ",\"mem_mb\":%" G_GINT64_FORMAT
                               ",\"estimate_ms\":%" G_GINT64_FORMAT,
                               s > 0 ? "," : "", known->load.count,
                               known->load.cpu_milli, known->load.mem_mb,
                               known->load.estimate_ms);
        if (s > 0) {
            g_string_append_printf(steps, ",\"after\":[%u]", s - 1);
        }
        g_string_append_c(steps, '}');
    }
    g_string_append_c(steps, ']');
    struct job *job =
        fixture_create_job(&world->f, known->id, "p", steps->str);
    g_string_free(steps, TRUE);
    g_free(job->team);
    job->team = g_strdup(world->accounts[known->account].name);
    return job;
}

static struct world_job *
new_job(struct share_world *world, size_t account,
        const struct world_load *load)
{
    struct world_job *known = g_new0(struct world_job, 1);
    g_snprintf(known->id, sizeof(known->id), "%016" G_GINT64_MODIFIER "x",
               ++world->next_job);
    known->account = account;
    known->load = *load;
    if (load->spread_ms > 0) {
        known->load.actual_ms =
            load->estimate_ms + (int64_t)(world->next_job * SPREAD_FACTOR %
                                          (uint64_t)load->spread_ms);
    }
    known->accepted_ms = world->f.now_ms;
    return known;
}

static void
accept_job(struct share_world *world, struct world_job *known, struct job *job)
{
    known->accepted_unix_ms = job->accepted_unix_ms;
    g_hash_table_insert(world->jobs, known->id, known);
    world->accounts[known->account].waiting++;
    scheduler_add_job(world->f.sched, job);
}

int64_t
share_world_submit(struct share_world *world, size_t account,
                   const struct world_load *load)
{
    struct world_job *known = new_job(world, account, load);
    struct job *job = create_job(world, known);
    int64_t retry_after_ms =
        scheduler_pool_behind(world->f.sched, "p")
            ? scheduler_refusal_ms(world->f.sched, "p", job)
            : 0;
    if (retry_after_ms == 0) {
        accept_job(world, known, job);
    }
    else {
        world->accounts[account].refused++;
        g_free(known);
    }
    job_unref(job);
    return retry_after_ms;
}

void
share_world_add(struct share_world *world, size_t account,
                const struct world_load *load)
{
    struct world_job *known = new_job(world, account, load);
    struct job *job = create_job(world, known);
    accept_job(world, known, job);
    job_unref(job);
}

void
share_world_fill(struct share_world *world, size_t account, uint32_t n_waiting,
                 const struct world_load *load)
{
    while (world->accounts[account].waiting < n_waiting) {
        share_world_add(world, account, load);
    }
}

static struct world_backend *
find_backend(const struct share_world *world, const char *id)
{
    for (guint i = 0; i < world->backends->len; i++) {
        struct world_backend *backend = g_ptr_array_index(world->backends, i);
        if (strcmp(backend->id, id) == 0) {
            return backend;
        }
    }
    return NULL;
}

/* Position of a task JOB.OCCURRENCE.STEP.INDEX among those of its job. */
static uint32_t
task_bit(const char *task, const struct world_load *load)
{
    const char *index = strrchr(task, '.');
    const char *step = g_strrstr_len(task, index - task, ".");
    return (uint32_t)atoi(step + 1) * load->count + (uint32_t)atoi(index + 1);
}

static void
start_run(struct share_world *world, const struct recorded_command *command)
{
    struct world_run run = {.number = command->number,
                            .started_ms = world->f.now_ms};
    g_strlcpy(run.task, command->task, sizeof(run.task));
    char id[JOB_ID_CHARS + 1];
    g_strlcpy(id, command->task, sizeof(id));
    run.job = g_hash_table_lookup(world->jobs, id);
    if (run.job == NULL) {
        CU_FAIL("start of an unknown job");
        return;
    }
    run.index = task_bit(command->task, &run.job->load);
    struct world_account *account = &world->accounts[run.job->account];
    if (!run.job->started) {
        run.job->started = true;
        account->waiting--;
        account->longest_start_ms = MAX(
            account->longest_start_ms, world->f.now_ms - run.job->accepted_ms);
    }
    g_ptr_array_add(world->starts, g_strdup(command->task));
    g_array_append_val(find_backend(world, command->target)->runs, run);
}

static void
drop_acked(struct world_backend *backend, int64_t acked)
{
    while (backend->ends->len > 0 &&
           g_array_index(backend->ends, struct world_end, 0).number <= acked) {
        g_array_remove_index(backend->ends, 0);
    }
}

static void
carry_out_commands(struct share_world *world)
{
    GPtrArray *commands = world->f.commands;
    for (guint i = 0; i < commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(commands, i);
        if (command->kind == COMMAND_START) {
            start_run(world, command);
            scheduler_on_start(world->f.sched, command->handle, START_DONE,
                               world->f.now_ms + FIXTURE_CLOCK_AHEAD_MS);
        }
        else if (command->kind == COMMAND_REQUEST_REPORT) {
            struct world_backend *backend =
                find_backend(world, command->target);
            backend->report_open = true;
            backend->report_since_ms = world->f.now_ms;
            drop_acked(backend, command->acked_completion);
        }
    }
    g_ptr_array_set_size(commands, 0);
}

static uint32_t
n_tasks(const struct world_load *load)
{
    return load->count * MAX(load->steps, 1);
}

static void
finish_task(struct share_world *world, struct world_job *job, uint32_t index)
{
    struct world_account *account = &world->accounts[job->account];
    job->done |= 1ULL << index;
    job->n_done++;
    if (job->n_done == n_tasks(&job->load)) {
        account->finished++;
        int64_t path_ms =
            job->load.estimate_ms * (int64_t)MAX(job->load.steps, 1);
        int64_t objective_ms = (int64_t)(1.6 * (double)path_ms) + OBJECTIVE_MS;
        account->late += world->f.now_ms - job->accepted_ms >
                         objective_ms * 3 * 5 / 4 + 2 * WORLD_STEP_MS;
    }
}

static void
work(struct share_world *world, struct world_backend *backend)
{
    for (guint i = 0; i < backend->runs->len;) {
        const struct world_run run =
            g_array_index(backend->runs, struct world_run, i);
        const struct world_load *load = &run.job->load;
        int64_t run_ms =
            load->actual_ms > 0 ? load->actual_ms : load->estimate_ms;
        world->accounts[run.job->account].used_millicore_ms +=
            (double)load->cpu_milli * (double)world->step_ms;
        if (world->f.now_ms - run.started_ms < run_ms) {
            i++;
            continue;
        }
        struct world_end end = {.number = ++backend->last_end,
                                .run = run.number};
        g_strlcpy(end.task, run.task, sizeof(end.task));
        g_array_append_val(backend->ends, end);
        finish_task(world, run.job, run.index);
        g_array_remove_index(backend->runs, i);
    }
}

static void
report(struct share_world *world, struct world_backend *backend)
{
    if (!backend->report_open ||
        (backend->ends->len == 0 &&
         world->f.now_ms - backend->report_since_ms < REPORT_WAIT_MS &&
         scheduler_find_backend(world->f.sched, backend->id)
             ->report_received)) {
        return;
    }
    backend->report_open = false;
    struct reported_run *running =
        g_new0(struct reported_run, backend->runs->len + 1);
    struct run_completion *completions =
        g_new0(struct run_completion, backend->ends->len + 1);
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct world_run *run =
            &g_array_index(backend->runs, struct world_run, i);
        running[i] = (struct reported_run){.task = run->task,
                                           .number = run->number,
                                           .saved = "",
                                           .percent = 1};
    }
    for (guint i = 0; i < backend->ends->len; i++) {
        const struct world_end *end =
            &g_array_index(backend->ends, struct world_end, i);
        completions[i] = (struct run_completion){.number = end->number,
                                                 .task = end->task,
                                                 .run = end->run,
                                                 .reason = END_DONE,
                                                 .saved = ""};
    }
    fixture_report(&world->f, backend->id, running, backend->runs->len,
                   completions, backend->ends->len);
    g_free(running);
    g_free(completions);
}

void
share_world_step(struct share_world *world)
{
    world->f.now_ms += world->step_ms;
    for (guint i = 0; i < world->backends->len; i++) {
        struct world_backend *backend = g_ptr_array_index(world->backends, i);
        work(world, backend);
        report(world, backend);
    }
    fixture_tick(&world->f, world->f.now_ms);
    carry_out_commands(world);
}

static void
inherit_job(struct share_world *world, const struct world_job *known)
{
    struct job *job = create_job(world, known);
    job->accepted_unix_ms = known->accepted_unix_ms;
    job->inherited = true;
    for (uint32_t t = 0; t < n_tasks(&known->load); t++) {
        if ((known->done & (1ULL << t)) != 0) {
            job_task_finish(job, 0, t / known->load.count,
                            t % known->load.count);
        }
    }
    scheduler_add_job(world->f.sched, job);
    job_unref(job);
}

void
share_world_take_over(struct share_world *world)
{
    int64_t now_ms = world->f.now_ms;
    fixture_clear(&world->f);
    fixture_init_at(&world->f, ++world->term, now_ms);
    for (guint i = 0; i < world->backends->len; i++) {
        struct world_backend *backend = g_ptr_array_index(world->backends, i);
        struct backend_entry entry = {
            .id = backend->id,
            .incarnation_start_ms = 1,
            .pool = (char *)"p",
            .address = (char *)"127.0.0.1:1",
            .data_centre = (char *)"dc",
            .capacity = {.cpu_milli = 16000, .mem_mb = 64000},
        };
        backend->report_open = false;
        scheduler_backend_inherited(world->f.sched, &entry, LEASE_MS);
    }
    configure(world);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, world->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct world_job *known = value;
        if (known->n_done < n_tasks(&known->load)) {
            inherit_job(world, known);
        }
    }
}

void
share_world_forget_use(struct share_world *world)
{
    for (size_t a = 0; a < world->n_accounts; a++) {
        world->accounts[a].used_millicore_ms = 0;
    }
}
