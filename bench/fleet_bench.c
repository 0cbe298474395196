/* Benchmarks of the fleet controller in simulation: roll-out time, moves, idle
 * capacity, loss of a data centre and processor time of planning. Prints one
 * JSON line per measured value; exits with 1 when one misses its bound. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "fleet_sim.h"

enum {
    STEP_DEFAULT_MS = 1000,
    DRAIN_MS = 60000,
    REBOOT_MS = 300000,
    HOST_SLOTS = 8,
    SECONDS_PER_DAY = 86400,
};

static bool all_met = true;

static void
report(const char *name, double value, const char *unit, double bound,
       bool at_most)
{
    bool met = at_most ? value <= bound : value >= bound;
    all_met &= met;
    printf("{\"name\": \"%s\", \"value\": %.4g, \"unit\": \"%s\","
           " \"bound\": %.4g, \"ok\": %s}\n",
           name, value, unit, bound, met ? "true" : "false");
    fflush(stdout);
}

/* Reports a measured value that has no bound. */
static void
report_unbounded(const char *name, double value, const char *unit)
{
    printf("{\"name\": \"%s\", \"value\": %.4g, \"unit\": \"%s\","
           " \"bound\": null, \"ok\": true}\n",
           name, value, unit);
    fflush(stdout);
}

static struct fleet_sim_options
options_for(uint64_t seed, struct config *config)
{
    return (struct fleet_sim_options){
        .seed = seed,
        .config = config,
        .timings = fleet_timings_default(),
        .n_controllers = 1,
        .racks_per_dc = 20,
        .hosts_per_rack = 4,
        .racks_to_pools = true,
        .step_ms = STEP_DEFAULT_MS,
        .reboot_ms = REBOOT_MS,
        .drain_ms = DRAIN_MS,
        .down_ms = 600000,
    };
}

static void
run_seconds(struct fleet_sim *sim, int64_t seconds)
{
    int64_t end_ms = sim->now_ms + seconds * 1000;
    while (sim->now_ms < end_ms) {
        fleet_sim_step(sim);
    }
}

static void
finish_sim(struct fleet_sim *sim)
{
    struct config *config = sim->options.config;
    if (sim->violations > 0) {
        printf("%u violations of availability budgets\n", sim->violations);
        all_met = false;
    }
    fleet_sim_destroy(sim);
    fleet_sim_config_free(config);
}

/* Shortest time in which @hosts pass through drain, reboot and recovery time
 * with @n_concurrent of them at a time. */
static double
roll_out_lower_bound_s(const struct fleet_sim *sim, uint32_t hosts,
                       uint32_t n_concurrent)
{
    double cycle_ms = (double)(sim->options.drain_ms + sim->options.reboot_ms +
                               sim->options.timings.recovery_ms);
    return ceil((double)hosts / n_concurrent) * cycle_ms / 1000;
}

static double
simulate_roll_out_s(struct fleet_sim *sim)
{
    run_seconds(sim, 10);
    uint64_t wave = fleet_sim_start_wave(sim);
    int64_t start_ms = sim->now_ms;
    while (fleet_sim_wave(sim, wave)->state != WAVE_DONE &&
           sim->now_ms - start_ms < (int64_t)SECONDS_PER_DAY * 1000) {
        fleet_sim_step(sim);
    }
    return (double)(sim->now_ms - start_ms) / 1000;
}

enum {
    POOL_HOSTS = 48,
    POOL_MIN_AVAILABLE_HOSTS = 36,
    HOSTS_PER_RACK = 4,
};

/* Four pools of 48 hosts and a spare one. 12 hosts of a pool may be
 * unavailable; 4 of these are reserved for the failure of a rack. */
static void
bench_roll_out(void)
{
    struct config *config = fleet_sim_config(3, 4, POOL_MIN_AVAILABLE_HOSTS);
    struct fleet_sim_options options = options_for(1, config);
    struct fleet_sim *sim = fleet_sim_create(&options);
    double spent_s = simulate_roll_out_s(sim);
    uint32_t slack = POOL_HOSTS - POOL_MIN_AVAILABLE_HOSTS;
    report("rollout_time_per_lower_bound",
           spent_s /
               roll_out_lower_bound_s(sim, POOL_HOSTS, slack - HOSTS_PER_RACK),
           "ratio", 1.25, true);
    report_unbounded("rollout_time_per_bound_without_reserve",
                     spent_s / roll_out_lower_bound_s(sim, POOL_HOSTS, slack),
                     "ratio");
    report_unbounded("store_writes_per_maintained_host",
                     (double)sim->writes / sim->n_hosts, "writes");
    finish_sim(sim);
}

static void
bench_roll_out_with_failures(void)
{
    double worst_ratio = 0;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct config *config =
            fleet_sim_config(3, 4, POOL_MIN_AVAILABLE_HOSTS);
        struct fleet_sim_options options = options_for(seed, config);
        /* 63 host failures per day in 5,700 hosts, and one rack failure per
         * week in 1,425 racks. */
        double fail_ppm = 63.0 / 5700 / SECONDS_PER_DAY * 1e6;
        double rack_ppm = 1.0 / 7 / 1425 / SECONDS_PER_DAY * 1e6;
        /* The probability per second is below one in a million, the unit of
         * the options: use steps of several seconds. */
        options.step_ms = 8000;
        options.host_fail_ppm = (uint32_t)ceil(fail_ppm * 8);
        options.rack_fail_ppm = (uint32_t)ceil(rack_ppm * 8);
        struct fleet_sim *sim = fleet_sim_create(&options);
        double spent_s = simulate_roll_out_s(sim);
        uint32_t n_concurrent =
            POOL_HOSTS - POOL_MIN_AVAILABLE_HOSTS - HOSTS_PER_RACK;
        worst_ratio =
            MAX(worst_ratio, spent_s / roll_out_lower_bound_s(sim, POOL_HOSTS,
                                                              n_concurrent));
        finish_sim(sim);
    }
    report("rollout_time_per_lower_bound_with_failures", worst_ratio, "ratio",
           1.5, true);
}

static void
bench_alternating_demand(void)
{
    struct config *config = fleet_sim_config(3, 4, 4);
    struct fleet_sim_options options = options_for(1, config);
    options.racks_per_dc = 5;
    struct fleet_sim *sim = fleet_sim_create(&options);
    int64_t hours = 8;
    for (int64_t s = 0; s < hours * 3600; s++) {
        for (uint32_t p = 0; p < 4; p++) {
            bool burst = (s + p * 13) % 52 < 10;
            sim->demand_slots[p] = 35.0 * (burst ? 5 : 0.05);
        }
        fleet_sim_step(sim);
    }
    uint32_t moves = 0;
    for (uint32_t p = 0; p < 5; p++) {
        moves += sim->moves[p];
    }
    report("moves_per_pool_hour_alternating", moves / (4.0 * (double)hours),
           "moves", 1, true);
    finish_sim(sim);
}

/** struct pool_work - slot-seconds demanded, served and idle */
struct pool_work {
    double demanded;
    double served;
    double idle;
};

static void
add_work(struct pool_work *work, double demand, double hosts, double step_s)
{
    double slots = hosts * HOST_SLOTS;
    work->demanded += demand * step_s;
    work->served += MIN(demand, slots) * step_s;
    work->idle += MAX(0, slots - demand) * step_s;
}

/* Four pools whose demand peaks at different hours of the day. Compares idle
 * and served slots of managed pools with those of fixed pools that are sized
 * for their own peaks, under the same demand. */
static void
bench_idle_capacity(void)
{
    struct config *config = fleet_sim_config(3, 4, 4);
    struct fleet_sim_options options = options_for(1, config);
    options.racks_per_dc = 7;
    options.step_ms = 10000;
    struct fleet_sim *sim = fleet_sim_create(&options);
    struct pool_work managed = {0};
    struct pool_work fixed = {0};
    double peak_slots = 100;
    double fixed_hosts = ceil(peak_slots / (HOST_SLOTS * 0.85));
    for (int64_t s = 0; s < 2 * SECONDS_PER_DAY; s += 10) {
        for (uint32_t p = 0; p < 4; p++) {
            double phase_days = (double)s / SECONDS_PER_DAY + p / 4.0;
            sim->demand_slots[p] =
                peak_slots * (0.6 + 0.4 * sin(phase_days * 2 * G_PI));
        }
        fleet_sim_step(sim);
        for (uint32_t p = 0; p < 4 && s >= SECONDS_PER_DAY; p++) {
            uint32_t hosts = fleet_sim_available(sim, config->pools[p].name);
            add_work(&managed, sim->demand_slots[p], hosts, 10);
            add_work(&fixed, sim->demand_slots[p], fixed_hosts, 10);
        }
    }
    report("buffer_cost_per_fixed_pools", managed.idle / fixed.idle, "ratio",
           1, true);
    report("buffer_served_per_fixed_pools", managed.served / fixed.served,
           "ratio", 0.99, false);
    report_unbounded("buffer_idle_host_hours_per_day",
                     managed.idle / HOST_SLOTS / 3600, "host-hours");
    finish_sim(sim);
}

/* Available hosts of a fixed pool, which keeps its initial hosts. */
static uint32_t
fixed_available(const struct fleet_sim *sim, const char *pool)
{
    uint32_t available = 0;
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        const struct sim_host *host = &sim->hosts[i];
        bool out_of_service =
            sim->options.config->dcs[0].state == DC_OUT_OF_SERVICE &&
            g_str_equal(host->dc, "d0");
        available += !out_of_service && g_str_equal(host->initial_pool, pool);
    }
    return available;
}

/* Four data centres, five pools of eight hosts and a spare one. The first data
 * centre is out of service for two of the four measured hours. */
static void
bench_data_centre(void)
{
    struct config *config = fleet_sim_config(4, 5, 3);
    struct fleet_sim_options options = options_for(1, config);
    options.racks_per_dc = 3;
    struct fleet_sim *sim = fleet_sim_create(&options);
    struct pool_work managed = {0};
    struct pool_work fixed = {0};
    for (int64_t s = 0; s < 5 * 3600; s++) {
        config->dcs[0].state =
            s >= 2 * 3600 && s < 4 * 3600 ? DC_OUT_OF_SERVICE : DC_IN_SERVICE;
        for (uint32_t p = 0; p < 5; p++) {
            sim->demand_slots[p] = 0.7 * 8 * HOST_SLOTS;
        }
        fleet_sim_step(sim);
        for (uint32_t p = 0; p < 5 && s >= 3600; p++) {
            const char *name = config->pools[p].name;
            add_work(&managed, sim->demand_slots[p],
                     fleet_sim_available(sim, name), 1);
            add_work(&fixed, sim->demand_slots[p], fixed_available(sim, name),
                     1);
        }
    }
    uint32_t moves = 0;
    for (uint32_t p = 0; p < 6; p++) {
        moves += sim->moves[p];
    }
    report("dc_work_per_fixed_pools", managed.served / fixed.served, "ratio",
           1, false);
    report_unbounded("dc_work_per_demand", managed.served / managed.demanded,
                     "ratio");
    report_unbounded("dc_work_per_demand_fixed_pools",
                     fixed.served / fixed.demanded, "ratio");
    report_unbounded("dc_moves", moves, "moves");
    finish_sim(sim);
}

static double
process_cpu_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return left < right ? -1 : left > right;
}

/* Median processor time of a planning pass in the middle of a maintenance
 * wave in which every pool has hosts under maintenance. */
static double
planning_pass_ms(uint32_t racks_per_dc, uint32_t n_pools)
{
    uint32_t hosts = 7 * racks_per_dc * HOSTS_PER_RACK;
    struct config *config =
        fleet_sim_config(7, n_pools, hosts / (n_pools + 1) * 3 / 4);
    struct fleet_sim_options options = options_for(1, config);
    options.racks_per_dc = racks_per_dc;
    options.step_ms = 5000;
    struct fleet_sim *sim = fleet_sim_create(&options);
    run_seconds(sim, 30);
    fleet_sim_start_wave(sim);
    run_seconds(sim, 100);
    double spent_ms[21];
    for (size_t i = 0; i < G_N_ELEMENTS(spent_ms); i++) {
        fleet_sim_step(sim);
        double start_ms = process_cpu_ms();
        fleet_sim_plan(sim);
        spent_ms[i] = process_cpu_ms() - start_ms;
    }
    qsort(spent_ms, G_N_ELEMENTS(spent_ms), sizeof(spent_ms[0]),
          compare_doubles);
    finish_sim(sim);
    return spent_ms[G_N_ELEMENTS(spent_ms) / 2];
}

static void
bench_planning_pass(void)
{
    double small = planning_pass_ms(20, 6);
    double middle = planning_pass_ms(102, 28);
    double large = planning_pass_ms(204, 55);
    report_unbounded("plan_pass_ms_560_hosts_7_pools", small, "ms");
    report_unbounded("plan_pass_ms_2856_hosts_29_pools", middle, "ms");
    report("plan_pass_ms_5712_hosts_56_pools", large, "ms", 20, true);
    report_unbounded("plan_pass_slope_us_per_host",
                     (large - small) * 1e3 / (5712 - 560), "us");
}

/* All 5,712 hosts in one maintenance wave, with 63 host failures per day in
 * 5,700 hosts and with rack failures, which are more frequent than weekly: one
 * in a million per rack and step is the least that the options can express. */
static void
bench_roll_out_at_target(void)
{
    struct config *config = fleet_sim_config(7, 55, 75);
    struct fleet_sim_options options = options_for(1, config);
    options.racks_per_dc = 204;
    options.step_ms = 10000;
    options.host_fail_ppm =
        (uint32_t)ceil(63.0 / 5700 / SECONDS_PER_DAY * 10 * 1e6);
    options.rack_fail_ppm = 1;
    struct fleet_sim *sim = fleet_sim_create(&options);
    double spent_s = simulate_roll_out_s(sim);
    report("rollout_hours_5712_hosts", spent_s / 3600, "hours", 5 * 7 * 24,
           true);
    uint32_t held_out = g_hash_table_size(fleet_sim_wave(sim, 1)->held_out);
    report_unbounded("rollout_held_out_5712_hosts", held_out, "hosts");
    finish_sim(sim);
}

int
main(void)
{
    bench_roll_out();
    bench_roll_out_with_failures();
    bench_alternating_demand();
    bench_idle_capacity();
    bench_data_centre();
    bench_planning_pass();
    bench_roll_out_at_target();
    return all_met ? EXIT_SUCCESS : EXIT_FAILURE;
}
