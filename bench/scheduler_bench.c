/*
 * Measures the processor time of the job scheduler alone, without input or
 * output, under the load of the large site: four pools whose queues peak in
 * turn at five times their mean, service tasks, a client account for every
 * twentieth backend server. Simulated backend servers answer commands and run
 * reports; only the calls into the scheduler are timed. With "priorities"
 * after the number of backend servers, every other job is of a queue with a
 * lower priority and runs longer, so that pools are full and the others
 * preempt its runs; with "two-queues", the load is the same and priorities are
 * off.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/jobs/scheduler.h"

enum {
    SIMULATED_MS = 24000,
    WARM_UP_MS = 4000,
    /* Longer than any delay of an event. */
    RING_MS = 8192,
    PASS_DELAY_MS = 6,
    ANSWER_MS = 2,
    STOP_MS = 100,
    LOW_RUN_FACTOR = 4,
    STORE_MS = 4,
    PEAK_MS = 4500,
    BACKENDS_PER_RACK = 12,
    BACKENDS_PER_TEAM = 18,
    BATCH_CHANGES = 15,
    QUEUE_COUNT = 4,
};

static const double GROWTH_BOUND_RATIO = 1.5;

/**
 * struct queue_load - the load of one queue and its pool
 * @backend_fraction: fraction of the backend servers in its pool
 * @jobs_per_s: mean arrivals per second and backend server of the fleet
 */
struct queue_load {
    const char *name;
    double backend_fraction;
    double jobs_per_s;
    uint32_t tasks;
    int64_t cpu_milli;
    int64_t run_ms;
};

static const struct queue_load queue_loads[QUEUE_COUNT] = {
    {"notices", 0.18, 41.6 / 1100, 8, 2100, 1000},
    {"plans", 0.20, 10.1 / 1100, 8, 4600, 1700},
    {"amendments", 0.22, 52.1 / 1100, 8, 2100, 1000},
    {"elevations", 0.24, 12.3 / 1100, 8, 4600, 1700},
};

enum event_kind {
    EVENT_START_ANSWER,
    EVENT_STOP_ANSWER,
    EVENT_STOPPED,
    EVENT_TASK_END,
    EVENT_REPORT_ANSWER,
    EVENT_STORED,
};

struct sim_run {
    char task[JOB_ID_CHARS + 48];
    uint32_t number;
    int64_t started_ms;
    int64_t run_ms;
    bool service;
    bool stopping;
    bool over;
};

struct sim_end {
    int64_t number;
    char task[JOB_ID_CHARS + 48];
    uint32_t run;
    bool stopped;
};

struct sim_backend {
    char id[16];
    GPtrArray *runs;
    GArray *ends;
    int64_t last_end;
    bool report_open;
    struct report_request report_request;
    uint64_t report_number;
};

struct event {
    enum event_kind kind;
    uint64_t handle;
    uint32_t attempt;
    struct sim_backend *backend;
    struct sim_run *run;
    uint64_t report_number;
    struct store_batch *batch;
    struct event *next;
};

/**
 * struct bench_features - what a measurement switches on
 * @two_queues: each pool serves a second queue of a lower priority, so that it
 *              is always full
 */
struct bench_features {
    struct sched_policy policy;
    bool two_queues;
};

struct timing {
    const char *name;
    double us;
    uint64_t calls;
};

enum {
    TIME_PASS,
    TIME_START,
    TIME_REPORT,
    TIME_JOB,
    TIME_STORE,
    TIME_COUNT
};

struct bench {
    struct scheduler *sched;
    struct fleet_config *config;
    struct sim_backend *backends;
    GHashTable *by_id;
    uint32_t n_backends;
    int64_t now_ms;
    int64_t pass_ms;
    struct event *ring[RING_MS];
    struct timing timings[TIME_COUNT];
    uint64_t started;
    uint64_t completed;
    uint64_t next_job;
    bool storing;
    bool two_queues;
    double arrivals[QUEUE_COUNT];
};

static int64_t
bench_now(void *ctx)
{
    return ((const struct bench *)ctx)->now_ms;
}

static double
monotonic_us(void)
{
    return (double)g_get_monotonic_time();
}

static struct event *
event_add(struct bench *bench, enum event_kind kind, int64_t delay_ms)
{
    struct event *event = g_new0(struct event, 1);
    event->kind = kind;
    struct event **slot = &bench->ring[(bench->now_ms + delay_ms) % RING_MS];
    event->next = *slot;
    *slot = event;
    return event;
}

static void
pass_soon(struct bench *bench)
{
    bench->pass_ms = MIN(bench->pass_ms, bench->now_ms + PASS_DELAY_MS);
}

static void
op_start(void *ctx, const struct start_command *command)
{
    struct bench *bench = ctx;
    bench->started++;
    const struct run *run = command->run;
    struct sim_run *sim_run = g_new0(struct sim_run, 1);
    snprintf(sim_run->task, sizeof(sim_run->task), "%s.%u.%u.%u", run->job->id,
             run->occurrence, run->step, run->index);
    sim_run->number = run->number;
    sim_run->started_ms = bench->now_ms;
    sim_run->service = run_step(run)->long_running;
    sim_run->run_ms = run_step(run)->estimate_ms;
    struct event *event = event_add(bench, EVENT_START_ANSWER, ANSWER_MS);
    event->handle = command->handle;
    event->backend =
        g_hash_table_lookup(bench->by_id, command->backend->entry.id);
    event->run = sim_run;
}

static void
op_stop(void *ctx, const struct stop_command *command)
{
    struct event *event = event_add(ctx, EVENT_STOP_ANSWER, ANSWER_MS);
    event->handle = command->handle;
    event->attempt = command->attempt;
    struct sim_backend *sim = g_hash_table_lookup(((struct bench *)ctx)->by_id,
                                                  command->backend->entry.id);
    for (guint i = 0; i < sim->runs->len; i++) {
        struct sim_run *run = g_ptr_array_index(sim->runs, i);
        if (run->number == command->number && !run->stopping &&
            strcmp(run->task, command->task) == 0) {
            run->stopping = true;
            struct event *stopped = event_add(ctx, EVENT_STOPPED, STOP_MS);
            stopped->backend = sim;
            stopped->run = run;
        }
    }
}

static void
op_request_report(void *ctx, struct backend *backend,
                  const struct report_request *request, int64_t until_ms,
                  int64_t acked_completion, int64_t wait_ms)
{
    (void)until_ms;
    struct bench *bench = ctx;
    struct sim_backend *sim =
        g_hash_table_lookup(bench->by_id, backend->entry.id);
    while (sim->ends->len > 0 &&
           g_array_index(sim->ends, struct sim_end, 0).number <=
               acked_completion) {
        g_array_remove_index(sim->ends, 0);
    }
    sim->report_open = true;
    sim->report_request = *request;
    struct event *event = event_add(
        bench, EVENT_REPORT_ANSWER,
        sim->ends->len > 0 || wait_ms == 0 ? ANSWER_MS : ANSWER_MS + wait_ms);
    event->backend = sim;
    event->report_number = ++sim->report_number;
}

static void
op_store(void *ctx)
{
    pass_soon(ctx);
}

static void
op_move_host(void *ctx, const char *host, const char *pool)
{
    (void)ctx;
    (void)host;
    (void)pool;
}

static void
op_reboot_host(void *ctx, const char *host, int64_t wave)
{
    (void)ctx;
    (void)host;
    (void)wave;
}

static double
begin(void)
{
    return monotonic_us();
}

static void
end(struct bench *bench, int what, double begin_us)
{
    bench->timings[what].us += monotonic_us() - begin_us;
    bench->timings[what].calls++;
}

static void
answer_report(struct bench *bench, struct sim_backend *sim)
{
    struct reported_run *running =
        g_new0(struct reported_run, sim->runs->len + 1);
    struct run_completion *completions =
        g_new0(struct run_completion, sim->ends->len + 1);
    struct run_report report = {
        .request = sim->report_request,
        .outcome = REPORT_READ,
        .incarnation_start_ms = 1,
        .clock_ms = bench->now_ms,
        .running = running,
        .completions = completions,
    };
    for (guint i = 0; i < sim->runs->len; i++) {
        const struct sim_run *run = g_ptr_array_index(sim->runs, i);
        running[report.n_running++] = (struct reported_run){
            .task = run->task,
            .number = run->number,
            .saved = "",
            .percent =
                run->service
                    ? 100
                    : (int32_t)(100 * (bench->now_ms - run->started_ms) /
                                (run->run_ms + 1)),
        };
    }
    for (guint i = 0; i < sim->ends->len; i++) {
        const struct sim_end *sim_end =
            &g_array_index(sim->ends, struct sim_end, i);
        completions[report.n_completions++] = (struct run_completion){
            .number = sim_end->number,
            .task = sim_end->task,
            .run = sim_end->run,
            .reason = sim_end->stopped ? END_STOPPED : END_DONE,
            .saved = "",
        };
    }
    sim->report_open = false;
    double begin_us = begin();
    scheduler_on_report(bench->sched, sim->id, &report);
    end(bench, TIME_REPORT, begin_us);
    g_free(running);
    g_free(completions);
    pass_soon(bench);
}

static void
end_task(struct bench *bench, struct sim_backend *sim, struct sim_run *run)
{
    struct sim_end sim_end = {
        .number = ++sim->last_end,
        .run = run->number,
        .stopped = run->stopping,
    };
    g_strlcpy(sim_end.task, run->task, sizeof(sim_end.task));
    g_array_append_val(sim->ends, sim_end);
    g_ptr_array_remove_fast(sim->runs, run);
    bench->completed += !run->stopping;
    if (sim->report_open) {
        struct event *event = event_add(bench, EVENT_REPORT_ANSWER, ANSWER_MS);
        event->backend = sim;
        event->report_number = ++sim->report_number;
    }
}

/* A run that is stopped has an event for its end by itself too. */
static void
release_run(struct sim_run *run)
{
    if (run->over) {
        g_free(run);
        return;
    }
    run->over = true;
}

static void
event_handle(struct bench *bench, struct event *event)
{
    double begin_us;
    switch (event->kind) {
    case EVENT_START_ANSWER:
        g_ptr_array_add(event->backend->runs, event->run);
        if (!event->run->service) {
            struct event *ended =
                event_add(bench, EVENT_TASK_END, event->run->run_ms);
            ended->backend = event->backend;
            ended->run = event->run;
        }
        begin_us = begin();
        scheduler_on_start(bench->sched, event->handle, START_DONE,
                           bench->now_ms);
        end(bench, TIME_START, begin_us);
        break;
    case EVENT_STOP_ANSWER:
        scheduler_on_stop(bench->sched, event->handle, event->attempt, true);
        break;
    case EVENT_STOPPED:
        end_task(bench, event->backend, event->run);
        release_run(event->run);
        break;
    case EVENT_TASK_END:
        if (event->run->stopping) {
            release_run(event->run);
            break;
        }
        end_task(bench, event->backend, event->run);
        g_free(event->run);
        break;
    case EVENT_REPORT_ANSWER:
        if (event->report_number == event->backend->report_number) {
            answer_report(bench, event->backend);
        }
        break;
    case EVENT_STORED:
        begin_us = begin();
        bench->storing = false;
        scheduler_batch_stored(bench->sched, event->batch, true, 1);
        end(bench, TIME_STORE, begin_us);
        pass_soon(bench);
        break;
    }
}

static struct job *
job_for(struct bench *bench, const struct queue_load *load, bool service)
{
    struct job *job = job_create(service ? 1 : 2);
    g_snprintf(job->id, sizeof(job->id), "%016" G_GINT64_MODIFIER "x",
               bench->next_job);
    uint32_t n_teams = MAX(bench->n_backends / BACKENDS_PER_TEAM, 1);
    bool low = bench->two_queues && !service && bench->next_job % 2 == 1;
    job->queue = g_strconcat(load->name, low ? "-low" : NULL, NULL);
    job->pool = g_strdup(load->name);
    job->team = g_strdup_printf("t%u", (uint32_t)(bench->next_job % n_teams));
    job->text = g_strdup("x");
    job->attempts = 3;
    job->accepted_unix_ms = bench->now_ms;
    bench->next_job++;
    for (uint32_t s = 0; s < job->n_steps; s++) {
        job->steps[s] = (struct job_step){
            .task_count = load->tasks,
            .need = {.cpu_milli = load->cpu_milli, .mem_mb = 512},
            .estimate_ms = load->run_ms * (low ? LOW_RUN_FACTOR : 1),
        };
        if (service) {
            job->steps[s].long_running = true;
            job->steps[s].max_unavailable = 2;
            job->steps[s].need.cpu_milli = 500;
            job->steps[s].tail_latency_target_ms = 50;
        }
        if (s > 0) {
            job->steps[s].after = g_new0(uint32_t, 1);
            job->steps[s].n_after = 1;
        }
    }
    return job;
}

static void
add_job(struct bench *bench, struct job *job)
{
    double begin_us = begin();
    scheduler_add_job(bench->sched, job);
    end(bench, TIME_JOB, begin_us);
    job_unref(job);
    pass_soon(bench);
}

static void
arrive(struct bench *bench)
{
    int64_t turn = bench->now_ms / PEAK_MS % QUEUE_COUNT;
    for (int64_t q = 0; q < QUEUE_COUNT; q++) {
        const struct queue_load *load = &queue_loads[q];
        double factor = turn == q ? 5 : 0.05;
        bench->arrivals[q] +=
            load->jobs_per_s * bench->n_backends * factor / 1000;
        while (bench->arrivals[q] >= 1) {
            bench->arrivals[q] -= 1;
            add_job(bench, job_for(bench, load, false));
        }
    }
}

static void
pass(struct bench *bench)
{
    double begin_us = begin();
    bench->pass_ms = scheduler_tick(bench->sched);
    end(bench, TIME_PASS, begin_us);
    if (bench->storing) {
        return;
    }
    begin_us = begin();
    struct store_batch *batch =
        scheduler_take_batch(bench->sched, BATCH_CHANGES);
    end(bench, TIME_STORE, begin_us);
    if (batch != NULL) {
        bench->storing = true;
        event_add(bench, EVENT_STORED, STORE_MS)->batch = batch;
    }
}

static void
add_queue(struct bench *bench, char *name, const char *pool, int64_t priority)
{
    struct queue_config *queue = g_new0(struct queue_config, 1);
    *queue = (struct queue_config){
        .name = name,
        .host = g_strdup("h"),
        .prefix = g_strdup_printf("/%s/", name),
        .pool = g_strdup(pool),
        .priority = priority,
        .attempts = 3,
        .deadline_factor = 1.6,
        .objective_ms = 600,
    };
    g_ptr_array_add(bench->config->queues, queue);
}

static void
add_pool(struct bench *bench, const char *name, bool spare)
{
    struct pool_config *pool = g_new0(struct pool_config, 1);
    pool->name = g_strdup(name);
    pool->enforces_capacity = true;
    pool->spare = spare;
    g_ptr_array_add(bench->config->pools, pool);
    if (spare) {
        return;
    }
    add_queue(bench, g_strdup(name), name, 0);
    if (bench->two_queues) {
        add_queue(bench, g_strconcat(name, "-low", NULL), name, 1);
    }
}

static void
add_backends(struct bench *bench)
{
    bench->backends = g_new0(struct sim_backend, bench->n_backends);
    bench->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    double limit = 0;
    uint32_t i = 0;
    for (int q = 0; q <= QUEUE_COUNT; q++) {
        limit += q < QUEUE_COUNT ? queue_loads[q].backend_fraction : 1;
        for (; i < bench->n_backends && i < limit * bench->n_backends; i++) {
            struct sim_backend *sim = &bench->backends[i];
            g_snprintf(sim->id, sizeof(sim->id), "b%u", i);
            sim->runs = g_ptr_array_new();
            sim->ends = g_array_new(FALSE, TRUE, sizeof(struct sim_end));
            g_hash_table_insert(bench->by_id, sim->id, sim);
            char host[16];
            char rack[16];
            g_snprintf(host, sizeof(host), "h%u", i);
            g_snprintf(rack, sizeof(rack), "r%u", i / BACKENDS_PER_RACK);
            char *labels[] = {(char *)"kind", rack, NULL};
            struct backend_entry entry = {
                .id = sim->id,
                .incarnation_start_ms = 1,
                .pool =
                    (char *)(q < QUEUE_COUNT ? queue_loads[q].name : "spare"),
                .address = (char *)"127.0.0.1:1",
                .data_centre = (char *)"dc",
                .host = host,
                .labels = labels,
                .capacity = {.cpu_milli = 16000, .mem_mb = 32000},
            };
            scheduler_backend_updated(bench->sched, &entry);
        }
    }
}

static void
bench_init(struct bench *bench, uint32_t n_backends,
           const struct bench_features *features)
{
    *bench = (struct bench){.n_backends = n_backends,
                            .now_ms = 100000,
                            .two_queues = features->two_queues};
    bench->config = fleet_config_create();
    for (int q = 0; q < QUEUE_COUNT; q++) {
        add_pool(bench, queue_loads[q].name, false);
    }
    add_pool(bench, "spare", true);
    uint32_t n_teams = MAX(n_backends / BACKENDS_PER_TEAM, 1);
    for (uint32_t t = 0; t < n_teams; t++) {
        struct team_config *team = g_new0(struct team_config, 1);
        team->name = g_strdup_printf("t%u", t);
        team->maximum.cpu_milli = (int64_t)n_backends * 16000;
        team->weight = 10;
        g_ptr_array_add(bench->config->teams, team);
    }
    struct sched_timings timings = {
        .lease_max_ms = 10000,
        .stop_ms = 200,
        .move_ms = 1500,
        .reboot_ms = 2000,
        .command_gap_ms = 3000,
        .retention_ms = 12000,
        .host_commands_per_s = 64,
    };
    struct sched_ops ops = {
        .start = op_start,
        .stop = op_stop,
        .request_report = op_request_report,
        .store = op_store,
        .move_host = op_move_host,
        .reboot_host = op_reboot_host,
        .ctx = bench,
    };
    struct ms_clock clock = {.now = bench_now, .ctx = bench};
    bench->sched = scheduler_create(&timings, &ops, 0, clock, clock);
    scheduler_set_policy(bench->sched, &features->policy);
    scheduler_configure(bench->sched, bench->config);
    scheduler_set_leadership_valid(bench->sched, true);
    add_backends(bench);
    for (int q = 0; q < QUEUE_COUNT; q++) {
        for (uint32_t i = 0; i < n_backends / 200 + 1; i++) {
            add_job(bench, job_for(bench, &queue_loads[q], true));
        }
    }
}

static void
bench_clear(struct bench *bench)
{
    for (int i = 0; i < RING_MS; i++) {
        while (bench->ring[i] != NULL) {
            struct event *event = bench->ring[i];
            bench->ring[i] = event->next;
            if (event->batch != NULL) {
                scheduler_batch_stored(bench->sched, event->batch, false, 0);
            }
            /* Other runs are among those of their backend server. */
            if (event->kind == EVENT_START_ANSWER ||
                (event->kind == EVENT_TASK_END && event->run->over)) {
                g_free(event->run);
            }
            g_free(event);
        }
    }
    scheduler_destroy(bench->sched);
    fleet_config_destroy(bench->config);
    for (uint32_t i = 0; i < bench->n_backends; i++) {
        for (guint r = 0; r < bench->backends[i].runs->len; r++) {
            g_free(g_ptr_array_index(bench->backends[i].runs, r));
        }
        g_ptr_array_unref(bench->backends[i].runs);
        g_array_unref(bench->backends[i].ends);
    }
    g_hash_table_unref(bench->by_id);
    g_free(bench->backends);
}

static void
bench_advance(struct bench *bench)
{
    struct event *event = bench->ring[bench->now_ms % RING_MS];
    bench->ring[bench->now_ms % RING_MS] = NULL;
    while (event != NULL) {
        struct event *next = event->next;
        event_handle(bench, event);
        g_free(event);
        event = next;
    }
    arrive(bench);
    if (bench->now_ms >= bench->pass_ms) {
        pass(bench);
    }
    bench->now_ms++;
}

static void
print_figure(const char *what, uint32_t size, double value, const char *unit)
{
    printf("{\"name\": \"scheduler_%s_%u_backends\", \"value\": %.3f, "
           "\"unit\": \"%s\"}\n",
           what, size, value, unit);
}

/* Returns the processor time per started task. */
static double
measure(uint32_t size, const struct bench_features *features)
{
    struct bench *bench = g_new0(struct bench, 1);
    bench_init(bench, size, features);
    int64_t begin_ms = bench->now_ms + WARM_UP_MS;
    while (bench->now_ms < begin_ms) {
        bench_advance(bench);
    }
    memset(bench->timings, 0, sizeof(bench->timings));
    uint64_t started = bench->started;
    uint64_t completed = bench->completed;
    while (bench->now_ms < begin_ms + SIMULATED_MS) {
        bench_advance(bench);
    }
    started = bench->started - started;
    completed = bench->completed - completed;
    double total_us = 0;
    for (int i = 0; i < TIME_COUNT; i++) {
        total_us += bench->timings[i].us;
    }
    const struct timing *passes = &bench->timings[TIME_PASS];
    const struct timing *reports = &bench->timings[TIME_REPORT];
    const struct timing *starts = &bench->timings[TIME_START];
    double per_start_us = total_us / (double)MAX(started, 1);
    print_figure("starts", size, (double)started, "count");
    struct sched_stats stats;
    scheduler_stats(bench->sched, &stats);
    print_figure("preempted", size, (double)stats.preempted, "count");
    print_figure("per_started_task", size, per_start_us, "us");
    print_figure("per_completion", size, total_us / (double)MAX(completed, 1),
                 "us");
    print_figure("per_pass", size, passes->us / (double)MAX(passes->calls, 1),
                 "us");
    print_figure("per_report", size,
                 reports->us / (double)MAX(reports->calls, 1), "us");
    print_figure("per_start_answer", size,
                 starts->us / (double)MAX(starts->calls, 1), "us");
    print_figure("core_use", size, total_us / (SIMULATED_MS * 1000.0),
                 "cores");
    bench_clear(bench);
    g_free(bench);
    return per_start_us;
}

static void
read_features(struct bench_features *features, int n_words, char **words)
{
    struct sched_policy *policy = &features->policy;
    for (int i = 0; i < n_words; i++) {
        policy->account_shares |= strcmp(words[i], "shares") == 0;
        policy->queue_priorities |= strcmp(words[i], "priorities") == 0;
        policy->reservations |= strcmp(words[i], "reservations") == 0;
        features->two_queues |= strcmp(words[i], "two-queues") == 0;
    }
    features->two_queues |= policy->queue_priorities;
}

int
main(int argc, char **argv)
{
    static const uint32_t sizes[] = {50, 350, 1100, 3000, 5700};
    struct bench_features features = {0};
    if (argc > 1) {
        /* SIZE and features that are switched on. */
        read_features(&features, argc - 2, argv + 2);
        measure((uint32_t)strtoul(argv[1], NULL, 10), &features);
        return EXIT_SUCCESS;
    }
    double costs_us[G_N_ELEMENTS(sizes)];
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        costs_us[i] = measure(sizes[i], &features);
    }
    double growth = costs_us[4] / costs_us[1];
    bool met = growth <= GROWTH_BOUND_RATIO;
    printf("{\"name\": \"scheduler_growth_350_to_5700\", \"value\": %.3f, "
           "\"unit\": \"ratio\", \"bound\": %.3f, \"ok\": %s}\n",
           growth, GROWTH_BOUND_RATIO, met ? "true" : "false");
    return met ? EXIT_SUCCESS : EXIT_FAILURE;
}
