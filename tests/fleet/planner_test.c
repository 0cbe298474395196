/* The fleet planner under random faults: several controllers that plan from
 * old records must not break a disruption budget together. */
#include <stdio.h>

#include "../suite.h"
#include "fleet_sim.h"

enum {
    SCHEDULE_COUNT = 1500,
    STEPS_WITH_FAULTS = 120,
    STEPS_AFTER_FAULTS_MAX = 900,
};

static struct fleet_timings
short_timings(void)
{
    struct fleet_timings timings = fleet_timings_default();
    timings.drain_margin_ms = 2000;
    timings.fail_after_ms = 20000;
    timings.recovery_ms = 5000;
    timings.reboot_timeout_ms = 120000;
    timings.suspect_hold_ms = 30000;
    timings.wave_skip_ms = 30000;
    timings.surplus_hold_ms = 60000;
    timings.demand_smoothing_ms = 30000;
    return timings;
}

static struct fleet_sim_options
options_for(uint64_t seed, struct config *config)
{
    return (struct fleet_sim_options){
        .seed = seed,
        .config = config,
        .timings = short_timings(),
        .n_controllers = 1,
        .racks_per_dc = 2,
        .hosts_per_rack = 4,
        .step_ms = 1000,
        .reboot_ms = 10000,
        .drain_ms = 3000,
        .down_ms = 40000,
    };
}

static void
run_steps(struct fleet_sim *sim, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        fleet_sim_step(sim);
    }
}

static bool
run_until_wave_done(struct fleet_sim *sim, uint64_t wave, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        if (fleet_sim_wave(sim, wave)->state == WAVE_DONE) {
            return true;
        }
        fleet_sim_step(sim);
    }
    return false;
}

static void
set_faults(struct fleet_sim_options *options, struct random *random)
{
    options->n_controllers = 1 + random_below(random, 3);
    options->host_list_lag_steps = random_below(random, 6);
    options->stale_read_percent = random_below(random, 60);
    options->stale_shard_read_percent = random_below(random, 95);
    options->delayed_write_percent = random_below(random, 30);
    options->lost_write_percent = random_below(random, 20);
    options->pause_percent = random_below(random, 10);
    options->host_fail_ppm = random_below(random, 4000);
    options->rack_fail_ppm = random_below(random, 4000);
}

static void
toggle_dc(struct fleet_sim *sim, struct random *random)
{
    struct config *config = sim->options.config;
    struct config_dc *dc =
        &config->dcs[random_below(random, (uint32_t)config->n_dcs)];
    dc->state = dc->state == DC_IN_SERVICE ? DC_OUT_OF_SERVICE : DC_IN_SERVICE;
}

/* Changes demand, takes a data centre out of service or back, makes the store
 * unreachable or reachable, and makes all tasks fail on a host. */
static void
inject_faults(struct fleet_sim *sim, struct random *random)
{
    struct config *config = sim->options.config;
    if (random_below(random, 20) == 0) {
        sim->demand_slots[random_below(random, (uint32_t)config->n_pools)] =
            random_below(random, 60);
    }
    if (random_below(random, 60) == 0) {
        toggle_dc(sim, random);
    }
    if (random_below(random, 30) == 0) {
        sim->store_down = !sim->store_down;
    }
    if (random_below(random, 60) == 0) {
        sim->hosts[random_below(random, sim->n_hosts)].fails_all_tasks = true;
    }
}

/* Ends failures, outages and pauses; stale reads and lost or delayed writes go
 * on. */
static void
end_faults(struct fleet_sim *sim)
{
    sim->failures_disabled = true;
    sim->options.stale_shard_read_percent = 30;
    sim->options.pause_percent = 0;
    sim->store_down = false;
    for (size_t i = 0; i < sim->options.config->n_dcs; i++) {
        sim->options.config->dcs[i].state = DC_IN_SERVICE;
    }
    for (size_t i = 0; i < sim->options.config->n_pools; i++) {
        sim->demand_slots[i] = 4;
    }
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        sim->hosts[i].fails_all_tasks = false;
    }
}

/* A wave under random faults must break no budget, and must end once the
 * faults have ended. @totals: admissions, conflicts, moves, reboots. */
static void
run_schedule(uint64_t seed, uint32_t totals[4])
{
    struct random random = random_seeded(seed);
    struct config *config =
        fleet_sim_config(3, 2, 1 + random_below(&random, 5));
    config->pools[0].min_available_per_dc_hosts = random_below(&random, 2);
    struct fleet_sim_options options = options_for(seed, config);
    set_faults(&options, &random);
    struct fleet_sim *sim = fleet_sim_create(&options);
    run_steps(sim, 3);
    uint64_t wave = fleet_sim_start_wave(sim);
    for (uint32_t i = 0; i < STEPS_WITH_FAULTS; i++) {
        inject_faults(sim, &random);
        fleet_sim_step(sim);
    }
    uint32_t violations_with_faults = sim->violations;
    end_faults(sim);
    bool done = run_until_wave_done(sim, wave, STEPS_AFTER_FAULTS_MAX);
    if (violations_with_faults > 0 || sim->violations > 0 || !done) {
        printf("seed %u: %u violations, wave %s\n", (unsigned)seed,
               sim->violations, done ? "done" : "not done");
    }
    CU_ASSERT_EQUAL(sim->violations, 0);
    CU_ASSERT(done);
    totals[0] += sim->admissions;
    totals[1] += sim->conflicts;
    totals[2] += sim->moves[0] + sim->moves[1] + sim->moves[2];
    totals[3] += sim->reboots;
    fleet_sim_destroy(sim);
    fleet_sim_config_free(config);
}

static void
test_schedules(void)
{
    uint32_t totals[4] = {0};
    for (uint64_t seed = 1; seed <= SCHEDULE_COUNT; seed++) {
        run_schedule(seed, totals);
    }
    printf("%u admissions, %u conflicts, %u moves, %u reboots\n", totals[0],
           totals[1], totals[2], totals[3]);
    /* Schedules without admissions, conflicts or moves would test nothing. */
    CU_ASSERT(totals[0] > SCHEDULE_COUNT * 10);
    CU_ASSERT(totals[1] > SCHEDULE_COUNT);
    CU_ASSERT(totals[2] > SCHEDULE_COUNT);
}

/* Hosts move out of a pool while the controllers read old host records. A
 * controller that still counts a host that has moved would admit too many of
 * the others to disruptions. */
static void
run_moves_schedule(uint64_t seed, uint32_t *moves)
{
    struct config *config = fleet_sim_config(2, 1, 3);
    struct fleet_sim_options options = options_for(seed, config);
    options.n_controllers = 3;
    options.stale_shard_read_percent = 85;
    options.drain_ms = 1000;
    options.timings.drain_margin_ms = 1000;
    options.timings.surplus_hold_ms = 2000;
    options.timings.demand_smoothing_ms = 2000;
    struct fleet_sim *sim = fleet_sim_create(&options);
    run_steps(sim, 3);
    fleet_sim_start_wave(sim);
    for (uint32_t i = 0; i < 150; i++) {
        sim->demand_slots[0] = i / 40 % 2 == 0 ? 0 : 45;
        fleet_sim_step(sim);
    }
    if (sim->violations > 0) {
        printf("seed %u: %u violations\n", (unsigned)seed, sim->violations);
    }
    CU_ASSERT_EQUAL(sim->violations, 0);
    *moves += sim->moves[1];
    fleet_sim_destroy(sim);
    fleet_sim_config_free(config);
}

static void
test_moves_with_stale_records(void)
{
    uint32_t moves = 0;
    for (uint64_t seed = 1; seed <= 300; seed++) {
        run_moves_schedule(seed, &moves);
    }
    CU_ASSERT(moves > 300);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"random schedules", test_schedules},
        {"moves with stale records", test_moves_with_stale_records},
    };
    return suite_main("planner", tests, G_N_ELEMENTS(tests));
}
