/* Cost of one task's decisions: submit, start, end. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "../tests/core/config_fixture.h"
#include "common/random.h"

enum {
    ROUNDS = 6,
    MAX_SIZES = 3,
    TASKS_PER_ROUND = 20000,
    GATEWAYS = 7,
    EXCHANGE_MS = 500,
    BATCH = 100,
    COLD_TASKS = 1500,
    CANCELLED = 1000,
    EVICT_BYTES = 4 * 1024 * 1024,
    CACHE_LINE_BYTES = 64,
};

static const double BOUND_US = 10.0;
static const double COLD_BOUND_US = 15.0;
/* Growth as that of log n, and what a busy machine adds to the ratio. */
static const double GROWTH_BOUND = 1.0 + 0.25;

struct bench_size {
    uint32_t hosts;
    uint32_t pools;
    uint32_t teams;
};

/* Attempts out and waiting tasks, as parts of this gateway's slots. */
struct bench_load {
    const char *name;
    uint32_t out_percent;
    uint32_t backlog_percent;
};

struct bench {
    struct bench_size size;
    struct fixture *fixture;
    struct dispatch *dispatch;
    struct random random;
    GArray *out;
    uint64_t submitted;
    uint64_t started;
    double now_ms;
    double step_ms;
    double exchanged_ms;
    uint8_t *other;
};

static double
seconds(void)
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
    bench->out = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    bench->other = g_malloc0(EVICT_BYTES);
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
    g_free(bench->other);
    g_array_unref(bench->out);
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
            g_array_append_val(bench->out, action.attempt);
            bench->started++;
        }
    }
}

static void
end_one(struct bench *bench)
{
    if (bench->out->len == 0) {
        return;
    }
    guint i = random_below(&bench->random, bench->out->len);
    uint64_t attempt = g_array_index(bench->out, uint64_t, i);
    g_array_remove_index_fast(bench->out, i);
    dispatch_attempt_ended(bench->dispatch, attempt, ATTEMPT_DONE,
                           (int64_t)bench->now_ms);
}

/* Peers use the pools as this gateway does. */
static void
exchange(struct bench *bench)
{
    bench->exchanged_ms = bench->now_ms;
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

/* As many tasks pass as at the rate at which the slots of this gateway turn
 * over with run times of a second. */
static void
pass_task(struct bench *bench, double step_ms)
{
    bench->now_ms += step_ms;
    submit(bench);
    run_actions(bench);
    end_one(bench);
    run_actions(bench);
}

static double
measure_round(struct bench *bench, double step_ms)
{
    uint64_t started = bench->started;
    double spent = 0;
    for (uint32_t i = 0; i < TASKS_PER_ROUND; i += BATCH) {
        double begin = seconds();
        for (uint32_t j = 0; j < BATCH; j++) {
            pass_task(bench, step_ms);
        }
        spent += seconds() - begin;
        if (bench->now_ms - bench->exchanged_ms >= EXCHANGE_MS) {
            exchange(bench);
        }
    }
    uint64_t passed = bench->started - started;
    return passed > 0 ? spent * 1e6 / (double)passed : INFINITY;
}

/* Fills the processor's own caches with other things. */
static void
evict(struct bench *bench)
{
    for (size_t i = 0; i < EVICT_BYTES; i += CACHE_LINE_BYTES) {
        bench->other[i]++;
    }
}

/* As between requests of a busy process: nothing is cached, at any size. */
static double
measure_cold(struct bench *bench, double step_ms)
{
    uint64_t started = bench->started;
    double spent = 0;
    for (uint32_t i = 0; i < COLD_TASKS; i++) {
        evict(bench);
        double begin = seconds();
        pass_task(bench, step_ms);
        spent += seconds() - begin;
        if (bench->now_ms - bench->exchanged_ms >= EXCHANGE_MS) {
            exchange(bench);
        }
    }
    uint64_t passed = bench->started - started;
    return passed > 0 ? spent * 1e6 / (double)passed : INFINITY;
}

/* Attempts out on this gateway's part of the slots, then work that waits. */
static void
fill(struct bench *bench, uint32_t out, uint32_t backlog)
{
    while (bench->out->len < out) {
        submit(bench);
        run_actions(bench);
    }
    exchange(bench);
    for (uint32_t i = 0; i < backlog; i++) {
        submit(bench);
        run_actions(bench);
    }
}

/* Lowest costs of several rounds, in us per task. */
struct bench_cost {
    double warm;
    double cold;
};

static struct bench *
bench_filled(const struct bench_size *size, const struct bench_load *load)
{
    struct bench *bench = bench_create(size);
    double slots = size->hosts * 8.0 / GATEWAYS;
    uint32_t out = (uint32_t)(slots * load->out_percent / 100);
    bench->step_ms = 1000.0 / out;
    fill(bench, out, (uint32_t)slots * load->backlog_percent / 100);
    return bench;
}

static void
measure(struct bench *bench, struct bench_cost *cost)
{
    cost->warm = fmin(cost->warm, measure_round(bench, bench->step_ms));
    cost->cold = fmin(cost->cold, measure_cold(bench, bench->step_ms));
}

/* Sizes take turns, so that what else the machine does falls on all. */
static void
measure_sizes(const struct bench_size *sizes, size_t n_sizes,
              const struct bench_load *load, struct bench_cost *costs)
{
    struct bench *benches[MAX_SIZES];
    for (size_t i = 0; i < n_sizes; i++) {
        benches[i] = bench_filled(&sizes[i], load);
        costs[i] = (struct bench_cost){.warm = INFINITY, .cold = INFINITY};
    }
    for (size_t i = 0; i < ROUNDS * n_sizes; i++) {
        measure(benches[i % n_sizes], &costs[i % n_sizes]);
    }
    for (size_t i = 0; i < n_sizes; i++) {
        if (load->backlog_percent > 0 &&
            benches[i]->submitted == benches[i]->started) {
            /* Nothing waited: not the cost of a contended pool. */
            costs[i].warm = INFINITY;
        }
        bench_destroy(benches[i]);
    }
}

static bool
report(const char *name, double value, const char *unit, double bound)
{
    bool ok = value <= bound;
    printf("{\"name\": \"%s\", \"value\": %.3f, \"unit\": \"%s\", "
           "\"bound\": %.3f, \"ok\": %s}\n",
           name, value, unit, bound, ok ? "true" : "false");
    return ok;
}

static bool
report_sizes(const struct bench_load *load, const struct bench_cost *costs,
             const struct bench_size *sizes, size_t n_sizes)
{
    bool ok = true;
    for (size_t i = 0; i < n_sizes; i++) {
        const struct bench_size *size = &sizes[i];
        char *name =
            g_strdup_printf("decision_%s_%u_hosts_%u_pools_%u_teams",
                            load->name, size->hosts, size->pools, size->teams);
        char *cold = g_strconcat(name, "_cold", NULL);
        ok = report(name, costs[i].warm, "us", BOUND_US) && ok;
        ok = report(cold, costs[i].cold, "us", COLD_BOUND_US) && ok;
        g_free(name);
        g_free(cold);
    }
    return ok;
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
    bool ok = report_sizes(load, costs, sizes, G_N_ELEMENTS(sizes));
    /* Growth with nothing cached, over growth of log n; 1 is as log n. With
     * warm caches it would tell what fits into them. */
    double growth = costs[2].cold / costs[0].cold;
    double log_growth = log(sizes[2].hosts) / log(sizes[0].hosts);
    char *name = g_strdup_printf("decision_%s_growth_over_log", load->name);
    ok = report(name, growth / log_growth, "ratio", GROWTH_BOUND) && ok;
    g_free(name);
    return ok;
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
    double begin = seconds();
    for (uint32_t i = 0; i < CANCELLED; i++) {
        uint64_t attempt;
        uint64_t task = 1 + (uint64_t)i * (waiting / CANCELLED);
        dispatch_cancel(bench->dispatch, task, &attempt, 0);
    }
    double cost = (seconds() - begin) * 1e6 / CANCELLED;
    char *name = g_strdup_printf("cancel_1000_of_%u", waiting);
    bool ok = report(name, cost, "us", BOUND_US);
    g_free(name);
    bench_destroy(bench);
    return ok;
}

int
main(void)
{
    static const struct bench_load loads[] = {
        {.name = "quiet", .out_percent = 80},
        {.name = "contended", .out_percent = 100, .backlog_percent = 50},
    };
    bool ok = true;
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        ok = bench_load_run(&loads[i]) && ok;
    }
    ok = bench_cancel(10000) && ok;
    ok = bench_cancel(100000) && ok;
    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
