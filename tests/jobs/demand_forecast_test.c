/* Hosts that pools get before a demand peak that recurs. The replays have
 * hosts that move within 1.5 s and tasks that end. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../suite.h"
#include "core/jobs/demand_cycle.h"
#include "fleet_fixture.h"

enum {
    HOST_COUNT = 40,
    TICK_MS = 100,
    MOVE_MS = 1500,
    TASK_MS = 800,
    PERIOD_MS = 30000,
    PEAK_MS = 5000,
    JOBS_PER_TICK = 4,
    RUNS_PER_BACKEND_MAX = 64,
};

/* Four cores for 0.8 s; 40 of them a second take 8 hosts. */
static const char one_step[] =
    "[{\"count\":2,\"cpu\":2000,\"mem_mb\":100,\"estimate_ms\":800}]";

/**
 * struct world_host - a host and its backend server
 * @id: its backend server, empty while it is off or moves
 * @moves_until_ms: when it joins @pool; 0: it has
 */
struct world_host {
    char name[16];
    char pool[4];
    char id[24];
    int64_t moves_until_ms;
    uint32_t incarnations;
    int64_t completions;
};

/** struct world_run - a run and the host that it runs on */
struct world_run {
    char task[48];
    uint32_t number;
    int host;
    int64_t ends_ms;
};

/**
 * struct world - hosts and what runs there
 * @commands_seen: commands of the scheduler that were carried out
 * @arrived_ms: int64_t, when each job arrived; index is its id
 * @waits_ms: int64_t, how long it waited for its first start; -1: it waits
 * @pool_host_ms: time that hosts were in pool "p" or on their way there
 */
struct world {
    struct fleet_fixture f;
    struct world_host hosts[HOST_COUNT];
    GArray *runs;
    guint commands_seen;
    GArray *arrived_ms;
    GArray *waits_ms;
    int64_t pool_host_ms;
};

static int
find_host(const struct world *world, const char *name, bool by_id)
{
    for (int i = 0; i < HOST_COUNT; i++) {
        const struct world_host *host = &world->hosts[i];
        if (strcmp(by_id ? host->id : host->name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static void
list_hosts(struct world *world)
{
    struct host_info infos[HOST_COUNT];
    for (int i = 0; i < HOST_COUNT; i++) {
        const struct world_host *host = &world->hosts[i];
        infos[i] = (struct host_info){
            .host = host->name,
            .pool = host->pool,
            .backend_id = host->id[0] == '\0' ? NULL : host->id,
            .data_centre = "dc",
            .up = host->moves_until_ms == 0,
        };
    }
    scheduler_hosts_read(world->f.sched, infos, HOST_COUNT, world->f.now_ms);
}

static void
host_join(struct world *world, int index)
{
    struct world_host *host = &world->hosts[index];
    host->moves_until_ms = 0;
    if (strcmp(host->pool, "s") == 0) {
        return;
    }
    host->completions = 0;
    snprintf(host->id, sizeof(host->id), "b%d-%u", index,
             ++host->incarnations);
    world->f.incarnation_start_ms = 1 + world->f.now_ms;
    fixture_add_backend(&world->f, host->id, host->pool, host->name);
}

static void
host_move(struct world *world, int index, const char *pool)
{
    struct world_host *host = &world->hosts[index];
    scheduler_on_host_command(world->f.sched, host->name, 0,
                              HOST_COMMAND_DONE);
    if (host->id[0] != '\0') {
        scheduler_backend_removed(world->f.sched, host->id);
        host->id[0] = '\0';
    }
    g_strlcpy(host->pool, pool, sizeof(host->pool));
    host->moves_until_ms = world->f.now_ms + MOVE_MS;
}

static void
note_start(struct world *world, const char *task)
{
    guint job = (guint)strtoul(task, NULL, 16);
    int64_t *wait_ms = &g_array_index(world->waits_ms, int64_t, job);
    if (*wait_ms < 0) {
        *wait_ms =
            world->f.now_ms - g_array_index(world->arrived_ms, int64_t, job);
    }
}

static void
carry_out(struct world *world)
{
    for (; world->commands_seen < world->f.commands->len;
         world->commands_seen++) {
        const struct recorded_command *command =
            g_ptr_array_index(world->f.commands, world->commands_seen);
        if (command->kind == COMMAND_MOVE) {
            host_move(world, find_host(world, command->target, false),
                      command->task);
        }
        else if (command->kind == COMMAND_START) {
            struct world_run run = {
                .number = command->number,
                .host = find_host(world, command->target, true),
                .ends_ms = world->f.now_ms + TASK_MS,
            };
            g_strlcpy(run.task, command->task, sizeof(run.task));
            g_array_append_val(world->runs, run);
            note_start(world, run.task);
            scheduler_on_start(world->f.sched, command->handle, START_DONE, 0);
        }
    }
}

static void
report(struct world *world, int index)
{
    struct world_host *host = &world->hosts[index];
    struct reported_run running[RUNS_PER_BACKEND_MAX] = {0};
    struct run_completion done[RUNS_PER_BACKEND_MAX] = {0};
    char names[RUNS_PER_BACKEND_MAX][48];
    size_t n_running = 0;
    size_t n_done = 0;
    for (guint i = 0; i < world->runs->len;) {
        struct world_run *run =
            &g_array_index(world->runs, struct world_run, i);
        if (run->host != index) {
            i++;
            continue;
        }
        if (run->ends_ms > world->f.now_ms) {
            running[n_running++] = (struct reported_run){
                .task = run->task, .number = run->number, .saved = ""};
            i++;
            continue;
        }
        g_strlcpy(names[n_done], run->task, sizeof(names[0]));
        done[n_done] = (struct run_completion){
            .number = ++host->completions,
            .task = names[n_done],
            .run = run->number,
            .reason = END_DONE,
            .saved = "",
        };
        n_done++;
        g_array_remove_index_fast(world->runs, i);
    }
    fixture_report(&world->f, host->id, running, n_running, done, n_done);
}

static void
world_step(struct world *world, int n_jobs)
{
    for (int i = 0; i < n_jobs; i++) {
        char id[JOB_ID_CHARS + 1];
        int64_t waits = -1;
        snprintf(id, sizeof(id), "%016x", world->arrived_ms->len);
        g_array_append_val(world->arrived_ms, world->f.now_ms);
        g_array_append_val(world->waits_ms, waits);
        fixture_add_job(&world->f, id, "p", one_step);
    }
    for (int i = 0; i < HOST_COUNT; i++) {
        struct world_host *host = &world->hosts[i];
        if (strcmp(host->pool, "p") == 0) {
            world->pool_host_ms += TICK_MS;
        }
        if (host->moves_until_ms != 0 &&
            host->moves_until_ms <= world->f.now_ms) {
            host_join(world, i);
        }
        if (host->id[0] != '\0') {
            report(world, i);
        }
    }
    list_hosts(world);
    fixture_tick(&world->f, world->f.now_ms + TICK_MS);
    carry_out(world);
}

static void
world_init(struct world *world, bool forecast)
{
    *world = (struct world){
        .runs = g_array_new(FALSE, FALSE, sizeof(struct world_run)),
        .arrived_ms = g_array_new(FALSE, FALSE, sizeof(int64_t)),
        .waits_ms = g_array_new(FALSE, FALSE, sizeof(int64_t)),
    };
    fixture_init(&world->f, 0);
    struct sched_policy policy = {.demand_forecast = forecast};
    scheduler_set_policy(world->f.sched, &policy);
    for (int i = 0; i < HOST_COUNT; i++) {
        struct world_host *host = &world->hosts[i];
        snprintf(host->name, sizeof(host->name), "m%d", i);
        g_strlcpy(host->pool, i == 0 ? "p" : "s", sizeof(host->pool));
        if (i == 0) {
            host_join(world, i);
        }
    }
    list_hosts(world);
    for (int i = 0; i < 40; i++) {
        world_step(world, 0);
    }
}

static void
world_clear(struct world *world)
{
    fixture_clear(&world->f);
    g_array_unref(world->runs);
    g_array_unref(world->arrived_ms);
    g_array_unref(world->waits_ms);
}

/* Mean wait of the jobs of the last of @n_peaks peaks. */
static double
mean_wait_of_last_peak(struct world *world, int n_peaks)
{
    guint first = 0;
    for (int peak = 0; peak < n_peaks; peak++) {
        first = world->arrived_ms->len;
        for (int t = 0; t < PERIOD_MS; t += TICK_MS) {
            world_step(world, t < PEAK_MS ? JOBS_PER_TICK : 0);
        }
    }
    double sum_ms = 0;
    for (guint i = first; i < world->waits_ms->len; i++) {
        int64_t wait_ms = g_array_index(world->waits_ms, int64_t, i);
        CU_ASSERT(wait_ms >= 0);
        sum_ms += (double)wait_ms;
    }
    return sum_ms / (world->waits_ms->len - first);
}

/* Load: a queue peaks each 30 s for 5 s. Guards against hosts that come only
 * after the first jobs of each peak have waited for a move. */
static void
test_recurring_peak_finds_its_hosts(void)
{
    struct world world;
    struct sched_stats stats;
    world_init(&world, false);
    double without_ms = mean_wait_of_last_peak(&world, 4);
    int64_t without_host_ms = world.pool_host_ms;
    world_clear(&world);
    world_init(&world, true);
    double with_ms = mean_wait_of_last_peak(&world, 4);
    scheduler_stats(world.f.sched, &stats);
    CU_ASSERT(stats.forecasts >= 2);
    CU_ASSERT_EQUAL(stats.forecasts_missed, 0);
    int64_t with_host_ms = world.pool_host_ms;
    world_clear(&world);
    printf("mean wait %.0f ms without, %.0f ms with forecast; host seconds "
           "%.0f and %.0f; ",
           without_ms, with_ms, (double)without_host_ms / 1000,
           (double)with_host_ms / 1000);
    CU_ASSERT(with_ms < without_ms / 2);
    /* Hosts that come a move and a report ahead add at most that to the time
     * of a peak of 5 s. */
    CU_ASSERT((double)with_host_ms < 1.5 * (double)without_host_ms);
}

/* A peak that doesn't come again must not bring its hosts back for ever. */
static void
test_missed_peaks_end_the_forecast(void)
{
    struct world world;
    struct sched_stats stats;
    world_init(&world, true);
    mean_wait_of_last_peak(&world, 3);
    for (int t = 0; t < 5 * PERIOD_MS; t += TICK_MS) {
        world_step(&world, 0);
    }
    scheduler_stats(world.f.sched, &stats);
    CU_ASSERT(stats.forecasts_missed >= 1);
    CU_ASSERT(stats.forecasts_missed <= 2);
    guint in_pool = 0;
    for (int i = 0; i < HOST_COUNT; i++) {
        in_pool += strcmp(world.hosts[i].pool, "p") == 0;
    }
    CU_ASSERT(in_pool <= 2);
    world_clear(&world);
}

/* Replays peaks of 20 hosts that last 5 s and begin at @starts_ms. */
static int64_t
period_of(const int64_t *starts_ms, size_t n_starts)
{
    struct demand_cycle cycle = {0};
    const struct demand_cycle *cycles[] = {&cycle};
    int64_t end_ms = starts_ms[n_starts - 1] + PEAK_MS;
    for (int64_t t = TICK_MS; t < end_ms; t += TICK_MS) {
        int64_t hosts = 2;
        for (size_t i = 0; i < n_starts; i++) {
            if (t >= starts_ms[i] && t < starts_ms[i] + PEAK_MS) {
                hosts = 20;
            }
        }
        demand_cycle_observe(&cycle, hosts, t);
    }
    return demand_period_ms(cycles, 1);
}

/* Irregular peaks must not be taken for a period. */
static void
test_irregular_peaks_have_no_period(void)
{
    static const int64_t regular[] = {20000, 50000, 80500, 110000};
    static const int64_t irregular[] = {20000, 50000, 62000, 130000, 145000};
    static const int64_t once[] = {20000};
    CU_ASSERT_EQUAL(period_of(regular, G_N_ELEMENTS(regular)), 30000);
    CU_ASSERT_EQUAL(period_of(irregular, G_N_ELEMENTS(irregular)), 0);
    CU_ASSERT_EQUAL(period_of(once, G_N_ELEMENTS(once)), 0);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a recurring peak finds its hosts",
         test_recurring_peak_finds_its_hosts},
        {"peaks that don't come end the forecast",
         test_missed_peaks_end_the_forecast},
        {"irregular peaks have no period",
         test_irregular_peaks_have_no_period},
    };
    return suite_main("jobs demand forecast", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
