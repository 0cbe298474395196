/* Measures the processor time of the dispatcher's decisions on one task:
 * submit, start and end. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "../tests/core/config_fixture.h"
#include "common/random.h"

enum {
    ROUNDS = 6,
    SIZES_MAX = 3,
    TASKS_PER_ROUND = 20000,
    GATEWAYS = 7,
    EXCHANGE_INTERVAL_MS = 500,
    BATCH_TASKS = 100,
    COLD_TASKS_PER_ROUND = 1500,
    CANCELLED_TASKS = 1000,
    EVICT_BYTES = 4 * 1024 * 1024,
    CACHE_LINE_BYTES = 64,
};

static const double DECISION_BOUND_US = 10.0;
static const double COLD_BOUND_US = 15.0;
/* Growth proportional to log n, plus a margin for noise on a busy machine. */
static const double GROWTH_BOUND_RATIO = 1.0 + 0.25;

struct bench_size {
    uint32_t hosts;
    uint32_t pools;
    uint32_t teams;
};

/* Attempts in flight and waiting tasks, relative to this gateway's fraction of
 * the slots. */
struct bench_load {
    const char *name;
    uint32_t in_flight_percent;
    uint32_t backlog_percent;
};

/**
 * struct bench - a dispatcher under load
 * @in_flight: ids of the running attempts
 * @now_ms: simulated time
 * @step_ms: simulated time between tasks
 * @last_exchange_ms: simulated time of the last exchange of usage with peers
 * @eviction_buffer: memory to write over in order to evict the caches
 */
struct bench {
    struct bench_size size;
    struct fixture *fixture;
    struct dispatch *dispatch;
    struct random random;
    GArray *in_flight;
    uint64_t submitted;
    uint64_t started;
    double now_ms;
    double step_ms;
    double last_exchange_ms;
    uint8_t *eviction_buffer;
};

static double
cpu_seconds(void)
{
    struct timespec time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static struct bench *
bench_create(const struct bench_size *size)
{
    struct bench *bench = g_new0(struct bench, 1);
    bench->size = *size;
    bench->random = random_seeded(1);
    bench->in_flight = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    bench->eviction_buffer = g_malloc0(EVICT_BYTES);
    bench->fixture = fixture_create(&(struct fixture_size){
        .dcs = 7,
        .pools = size->pools,
        .teams = size->teams,
        .hosts = size->hosts,
        .slots = 8,
    });
    for (uint32_t i = 0; i < size->pools; i++) {
        bench->fixture->config.queues[i].start_deadline_ms = 600000;
        bench->fixture->config.queues[i].max_queued = 100000;
    }
    bench->dispatch =
        dispatch_create(&(struct dispatch_options){.seed = 1, .dc = "dc-0"});
    dispatch_set_config(bench->dispatch, &bench->fixture->config);
    dispatch_set_hosts(bench->dispatch, bench->fixture->hosts,
                       bench->fixture->n_hosts);
    dispatch_set_quorum_lease(bench->dispatch, INT64_MAX);
    for (uint32_t i = 0; i < size->teams; i++) {
        dispatch_set_permits(bench->dispatch,
                             bench->fixture->config.teams[i].name, 100000);
    }
    return bench;
}

static void
bench_destroy(struct bench *bench)
{
    dispatch_destroy(bench->dispatch);
    fixture_destroy(bench->fixture);
    g_free(bench->eviction_buffer);
    g_array_unref(bench->in_flight);
    g_free(bench);
}

static void
submit(struct bench *bench)
{
    uint32_t team = random_below(&bench->random, bench->size.teams);
    uint32_t queue = random_below(&bench->random, bench->size.pools);
    struct dispatch_task task =
        fixture_task(bench->fixture, team, queue, ++bench->submitted);
    int64_t retry_after_ms;
    dispatch_submit(bench->dispatch, &task, (int64_t)bench->now_ms,
                    &retry_after_ms);
}

static void
run_actions(struct bench *bench)
{
    struct dispatch_action action;
    int64_t now_ms = (int64_t)bench->now_ms;
    while (dispatch_next(bench->dispatch, now_ms, &action)) {
        if (action.type == DISPATCH_START) {
            dispatch_may_send(bench->dispatch, action.attempt, now_ms);
            dispatch_sent(bench->dispatch, action.attempt, now_ms);
            g_array_append_val(bench->in_flight, action.attempt);
            bench->started++;
        }
    }
}

static void
end_random_attempt(struct bench *bench)
{
    if (bench->in_flight->len == 0) {
        return;
    }
    guint i = random_below(&bench->random, bench->in_flight->len);
    uint64_t attempt = g_array_index(bench->in_flight, uint64_t, i);
    g_array_remove_index_fast(bench->in_flight, i);
    dispatch_attempt_ended(bench->dispatch, attempt, ATTEMPT_DONE,
                           (int64_t)bench->now_ms);
}

/* Reports this gateway's usage of the pools as that of each peer, too. */
static void
exchange_usage(struct bench *bench)
{
    bench->last_exchange_ms = bench->now_ms;
    const struct dispatch_usage *entries;
    size_t n =
        dispatch_usage_get(bench->dispatch, &entries, (int64_t)bench->now_ms);
    for (int i = 1; i < GATEWAYS; i++) {
        char *name = fixture_name("gateway", (uint32_t)i);
        dispatch_peer_usage(bench->dispatch, name, entries, n,
                            (int64_t)bench->now_ms);
        g_free(name);
    }
}

/* Submits and starts one task and ends a running one. With @step_ms between
 * tasks, tasks arrive as fast as this gateway's slots become free at run times
 * of one second. */
static void
run_task(struct bench *bench, double step_ms)
{
    bench->now_ms += step_ms;
    submit(bench);
    run_actions(bench);
    end_random_attempt(bench);
    run_actions(bench);
}

static double
measure_round(struct bench *bench, double step_ms)
{
    uint64_t started = bench->started;
    double spent_s = 0;
    for (uint32_t i = 0; i < TASKS_PER_ROUND; i += BATCH_TASKS) {
        double begin_s = cpu_seconds();
        for (uint32_t j = 0; j < BATCH_TASKS; j++) {
            run_task(bench, step_ms);
        }
        spent_s += cpu_seconds() - begin_s;
        if (bench->now_ms - bench->last_exchange_ms >= EXCHANGE_INTERVAL_MS) {
            exchange_usage(bench);
        }
    }
    uint64_t n_started = bench->started - started;
    return n_started > 0 ? spent_s * 1e6 / (double)n_started : INFINITY;
}

/* Evicts the data of the dispatcher from the caches of the processor core. */
static void
evict_caches(struct bench *bench)
{
    for (size_t i = 0; i < EVICT_BYTES; i += CACHE_LINE_BYTES) {
        bench->eviction_buffer[i]++;
    }
}

/* Cost with cold caches, as between the requests of a busy process; without
 * eviction a small fleet would fit into the caches and a large one not. */
static double
measure_cold(struct bench *bench, double step_ms)
{
    uint64_t started = bench->started;
    double spent_s = 0;
    for (uint32_t i = 0; i < COLD_TASKS_PER_ROUND; i++) {
        evict_caches(bench);
        double begin_s = cpu_seconds();
        run_task(bench, step_ms);
        spent_s += cpu_seconds() - begin_s;
        if (bench->now_ms - bench->last_exchange_ms >= EXCHANGE_INTERVAL_MS) {
            exchange_usage(bench);
        }
    }
    uint64_t n_started = bench->started - started;
    return n_started > 0 ? spent_s * 1e6 / (double)n_started : INFINITY;
}

/* Starts attempts on this gateway's fraction of the slots, then adds waiting
 * tasks. */
static void
fill_slots(struct bench *bench, uint32_t in_flight, uint32_t backlog)
{
    while (bench->in_flight->len < in_flight) {
        submit(bench);
        run_actions(bench);
    }
    exchange_usage(bench);
    for (uint32_t i = 0; i < backlog; i++) {
        submit(bench);
        run_actions(bench);
    }
}

/* Lowest cost of several rounds, in microseconds per task. */
struct bench_cost {
    double warm_us;
    double cold_us;
};

static struct bench *
bench_create_filled(const struct bench_size *size,
                    const struct bench_load *load)
{
    struct bench *bench = bench_create(size);
    double slots = size->hosts * 8.0 / GATEWAYS;
    uint32_t in_flight = (uint32_t)(slots * load->in_flight_percent / 100);
    bench->step_ms = 1000.0 / in_flight;
    fill_slots(bench, in_flight,
               (uint32_t)slots * load->backlog_percent / 100);
    return bench;
}

static void
measure(struct bench *bench, struct bench_cost *cost)
{
    cost->warm_us = fmin(cost->warm_us, measure_round(bench, bench->step_ms));
    cost->cold_us = fmin(cost->cold_us, measure_cold(bench, bench->step_ms));
}

/* Alternates between the sizes, so that other load on the machine affects all
 * of them alike. */
static void
measure_sizes(const struct bench_size *sizes, size_t n_sizes,
              const struct bench_load *load, struct bench_cost *costs)
{
    struct bench *benches[SIZES_MAX];
    for (size_t i = 0; i < n_sizes; i++) {
        benches[i] = bench_create_filled(&sizes[i], load);
        costs[i] =
            (struct bench_cost){.warm_us = INFINITY, .cold_us = INFINITY};
    }
    for (size_t i = 0; i < ROUNDS * n_sizes; i++) {
        measure(benches[i % n_sizes], &costs[i % n_sizes]);
    }
    for (size_t i = 0; i < n_sizes; i++) {
        if (load->backlog_percent > 0 &&
            benches[i]->submitted == benches[i]->started) {
            /* No task waited, so this is not the cost in a contended pool:
             * fail the benchmark. */
            costs[i].warm_us = INFINITY;
        }
        bench_destroy(benches[i]);
    }
}

static bool
report(const char *name, double value, const char *unit, double bound)
{
    bool met = value <= bound;
    printf("{\"name\": \"%s\", \"value\": %.3f, \"unit\": \"%s\", "
           "\"bound\": %.3f, \"ok\": %s}\n",
           name, value, unit, bound, met ? "true" : "false");
    return met;
}

static bool
report_sizes(const struct bench_load *load, const struct bench_cost *costs,
             const struct bench_size *sizes, size_t n_sizes)
{
    bool met = true;
    for (size_t i = 0; i < n_sizes; i++) {
        const struct bench_size *size = &sizes[i];
        char *name =
            g_strdup_printf("decision_%s_%u_hosts_%u_pools_%u_teams",
                            load->name, size->hosts, size->pools, size->teams);
        char *cold = g_strconcat(name, "_cold", NULL);
        met = report(name, costs[i].warm_us, "us", DECISION_BOUND_US) && met;
        met = report(cold, costs[i].cold_us, "us", COLD_BOUND_US) && met;
        g_free(name);
        g_free(cold);
    }
    return met;
}

static bool
bench_load_run(const struct bench_load *load)
{
    static const struct bench_size sizes[] = {
        {.hosts = 50, .pools = 5, .teams = 6},
        {.hosts = 500, .pools = 17, .teams = 67},
        {.hosts = 5700, .pools = 56, .teams = 670},
    };
    struct bench_cost costs[G_N_ELEMENTS(sizes)];
    measure_sizes(sizes, G_N_ELEMENTS(sizes), load, costs);
    bool met = report_sizes(load, costs, sizes, G_N_ELEMENTS(sizes));
    /* Growth of the cold cost relative to log n: 1 is proportional to log n.
     * The growth of the warm cost would depend on what fits into the caches.
     */
    double growth = costs[2].cold_us / costs[0].cold_us;
    double log_growth = log(sizes[2].hosts) / log(sizes[0].hosts);
    char *name = g_strdup_printf("decision_%s_growth_over_log", load->name);
    met =
        report(name, growth / log_growth, "ratio", GROWTH_BOUND_RATIO) && met;
    g_free(name);
    return met;
}

static bool
bench_cancel(uint32_t waiting)
{
    struct bench_size size = {.hosts = 50, .pools = 5, .teams = 6};
    struct bench *bench = bench_create(&size);
    dispatch_set_quorum_lease(bench->dispatch, 0);
    while (bench->submitted < waiting) {
        submit(bench);
    }
    double begin_s = cpu_seconds();
    for (uint32_t i = 0; i < CANCELLED_TASKS; i++) {
        uint64_t attempt;
        uint64_t task = 1 + (uint64_t)i * (waiting / CANCELLED_TASKS);
        dispatch_cancel(bench->dispatch, task, &attempt, 0);
    }
    double cost = (cpu_seconds() - begin_s) * 1e6 / CANCELLED_TASKS;
    char *name = g_strdup_printf("cancel_1000_of_%u", waiting);
    bool met = report(name, cost, "us", DECISION_BOUND_US);
    g_free(name);
    bench_destroy(bench);
    return met;
}

int
main(void)
{
    static const struct bench_load loads[] = {
        {.name = "quiet", .in_flight_percent = 80},
        {.name = "contended", .in_flight_percent = 100, .backlog_percent = 50},
    };
    bool met = true;
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        met = bench_load_run(&loads[i]) && met;
    }
    met = bench_cancel(10000) && met;
    met = bench_cancel(100000) && met;
    return met ? EXIT_SUCCESS : EXIT_FAILURE;
}
