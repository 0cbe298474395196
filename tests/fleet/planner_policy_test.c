/* Decisions of the fleet planner on a simulated fleet: maintenance waves,
 * moves between pools, failures and suspect hosts. */
#include <stdio.h>

#include "../suite.h"
#include "fleet_sim.h"

static struct fleet_sim_options
options_for(uint64_t seed, struct config *config)
{
    struct fleet_timings timings = fleet_timings_default();
    timings.drain_margin_ms = 2000;
    timings.fail_after_ms = 20000;
    timings.recovery_ms = 5000;
    timings.reboot_timeout_ms = 120000;
    timings.suspect_hold_ms = 60000;
    timings.wave_skip_ms = 30000;
    return (struct fleet_sim_options){
        .seed = seed,
        .config = config,
        .timings = timings,
        .n_controllers = 1,
        .racks_per_dc = 3,
        .hosts_per_rack = 4,
        .step_ms = 1000,
        .reboot_ms = 20000,
        .drain_ms = 3000,
        .down_ms = 600000,
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
    uint32_t i = 0;
    while (i++ < n && fleet_sim_wave(sim, wave)->state != WAVE_DONE) {
        fleet_sim_step(sim);
    }
    return fleet_sim_wave(sim, wave)->state == WAVE_DONE;
}

static void
check_and_destroy(struct fleet_sim *sim)
{
    CU_ASSERT_EQUAL(sim->violations, 0);
    struct config *config = sim->options.config;
    fleet_sim_destroy(sim);
    fleet_sim_config_free(config);
}

static const struct fleet_pool_report *
find_report(const struct fleet_plan *plan, const char *pool)
{
    for (guint i = 0; i < plan->reports->len; i++) {
        const struct fleet_pool_report *report =
            &g_array_index(plan->reports, struct fleet_pool_report, i);
        if (g_str_equal(report->pool, pool)) {
            return report;
        }
    }
    return NULL;
}

/* Number of hosts that are up and recorded in @state; @pool NULL for any. */
static uint32_t
count_state(struct fleet_sim *sim, const char *pool, enum host_state state)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        const struct host_record *record =
            fleet_sim_host_record(sim, sim->hosts[i].name);
        count += record != NULL && record->state == state &&
                 sim->hosts[i].up &&
                 (pool == NULL || g_str_equal(record->pool, pool));
    }
    return count;
}

/* 18 hosts in each pool, in 9 racks of 4. A rack lost at any moment of a wave
 * must not take the pool below its budget of 9: the wave has to keep a reserve
 * for it. */
static void
test_rack_lost_during_wave(void)
{
    uint32_t min_available = UINT32_MAX;
    for (uint64_t seed = 1; seed <= 60; seed++) {
        struct config *config = fleet_sim_config(3, 1, 9);
        struct fleet_sim_options options = options_for(seed, config);
        struct fleet_sim *sim = fleet_sim_create(&options);
        run_steps(sim, 5);
        fleet_sim_start_wave(sim);
        run_steps(sim, (uint32_t)seed * 2);
        char rack[8];
        g_snprintf(rack, sizeof(rack), "r%u", (unsigned)(seed % 3));
        fleet_sim_fail_rack(sim, seed % 2 == 0 ? "d0" : "d1", rack);
        for (uint32_t i = 0; i < 120; i++) {
            fleet_sim_step(sim);
            min_available = MIN(min_available, fleet_sim_available(sim, "p0"));
        }
        CU_ASSERT(sim->reboots > 0);
        check_and_destroy(sim);
    }
    printf("lowest availability %u ", min_available);
    CU_ASSERT(min_available >= 9);
}

/* Hosts fail while others drain for a long time. Drains that would break the
 * budget when they finish have to be cancelled. */
static void
test_failure_cancels_drains(void)
{
    struct config *config = fleet_sim_config(3, 1, 12);
    struct fleet_sim_options options = options_for(1, config);
    options.drain_ms = 600000;
    struct fleet_sim *sim = fleet_sim_create(&options);
    run_steps(sim, 5);
    fleet_sim_start_wave(sim);
    run_steps(sim, 10);
    uint32_t draining = count_state(sim, "p0", HOST_DRAINING);
    CU_ASSERT(draining > 0);
    fleet_sim_fail_rack(sim, "d0", "r0");
    fleet_sim_fail_rack(sim, "d1", "r0");
    run_steps(sim, 10);
    CU_ASSERT_EQUAL(count_state(sim, "p0", HOST_DRAINING), 0);
    CU_ASSERT(fleet_sim_available(sim, "p0") >= 12);
    check_and_destroy(sim);
}

/* A wave must not wait forever for a host that stays down; it has to end and
 * record that host as held out. */
static void
test_wave_ends_without_dead_host(void)
{
    struct config *config = fleet_sim_config(2, 2, 6);
    struct fleet_sim_options options = options_for(1, config);
    struct fleet_sim *sim = fleet_sim_create(&options);
    run_steps(sim, 5);
    uint64_t wave = fleet_sim_start_wave(sim);
    sim->hosts[0].up = false;
    sim->hosts[0].up_at_ms = INT64_MAX;
    CU_ASSERT(run_until_wave_done(sim, wave, 900));
    const struct wave_record *record = fleet_sim_wave(sim, wave);
    CU_ASSERT(g_hash_table_contains(record->held_out, sim->hosts[0].name));
    CU_ASSERT_EQUAL(sim->reboots, sim->n_hosts - 1);
    check_and_destroy(sim);
}

static uint32_t
count_rebooted_by_wave(struct fleet_sim *sim, uint64_t wave)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        const struct host_record *record =
            fleet_sim_host_record(sim, sim->hosts[i].name);
        count += record != NULL && record->wave == wave;
    }
    return count;
}

/* The second wave begins when the first has ended, and reboots only the hosts
 * that the first had rebooted before the second was started: those rebooted
 * later are up to date for both. */
static void
test_waves_run_one_after_another(void)
{
    struct config *config = fleet_sim_config(2, 1, 8);
    struct fleet_sim_options options = options_for(1, config);
    options.n_controllers = 3;
    struct fleet_sim *sim = fleet_sim_create(&options);
    config->pools[1].min_available_hosts = 8;
    run_steps(sim, 5);
    uint64_t first = fleet_sim_start_wave(sim);
    run_steps(sim, 100);
    uint32_t rebooted_by_first = sim->reboots;
    uint64_t second = fleet_sim_start_wave(sim);
    while (count_rebooted_by_wave(sim, 0) > 0 && sim->now_ms < 900000) {
        fleet_sim_step(sim);
        CU_ASSERT(count_rebooted_by_wave(sim, 0) == 0 ||
                  count_rebooted_by_wave(sim, second) == 0);
    }
    CU_ASSERT(run_until_wave_done(sim, first, 900));
    CU_ASSERT(run_until_wave_done(sim, second, 900));
    CU_ASSERT(rebooted_by_first > 0 && rebooted_by_first < sim->n_hosts);
    CU_ASSERT(sim->reboots >= sim->n_hosts + rebooted_by_first - 4);
    CU_ASSERT(sim->reboots <= sim->n_hosts + rebooted_by_first);
    check_and_destroy(sim);
}

/* Drains take half a minute. A pause cancels them and returns all hosts to
 * service; after a stop no further host is rebooted. */
static void
test_pause_and_stop(void)
{
    struct config *config = fleet_sim_config(2, 2, 5);
    struct fleet_sim_options options = options_for(1, config);
    options.drain_ms = 30000;
    struct fleet_sim *sim = fleet_sim_create(&options);
    run_steps(sim, 5);
    uint64_t wave = fleet_sim_start_wave(sim);
    run_steps(sim, 10);
    CU_ASSERT(count_state(sim, NULL, HOST_DRAINING) > 0);
    uint32_t reboots = sim->reboots;
    fleet_sim_wave(sim, wave)->state = WAVE_PAUSED;
    run_steps(sim, 60);
    CU_ASSERT_EQUAL(sim->reboots, reboots);
    CU_ASSERT_EQUAL(count_state(sim, NULL, HOST_SERVING), sim->n_hosts);
    fleet_sim_wave(sim, wave)->state = WAVE_RUNNING;
    run_steps(sim, 60);
    CU_ASSERT(sim->reboots > reboots);
    reboots = sim->reboots;
    fleet_sim_wave(sim, wave)->state = WAVE_STOPPED;
    run_steps(sim, 60);
    CU_ASSERT_EQUAL(sim->reboots, reboots);
    CU_ASSERT(reboots < sim->n_hosts);
    check_and_destroy(sim);
}

/* While demand needs all 64 slots of a pool, a wave waits with its hosts. */
static void
test_wave_waits_for_low_demand(void)
{
    struct config *config = fleet_sim_config(2, 2, 2);
    struct fleet_sim_options options = options_for(1, config);
    struct fleet_sim *sim = fleet_sim_create(&options);
    sim->demand_slots[0] = 8 * 8;
    sim->demand_slots[1] = 10;
    run_steps(sim, 5);
    uint64_t wave = fleet_sim_start_wave(sim);
    run_steps(sim, 300);
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        const struct host_record *record =
            fleet_sim_host_record(sim, sim->hosts[i].name);
        CU_ASSERT(!g_str_equal(record->pool, "p0") || record->wave == 0);
    }
    sim->demand_slots[0] = 10;
    CU_ASSERT(run_until_wave_done(sim, wave, 3000));
    check_and_destroy(sim);
}

/* Hosts move in to replace those of a data centre out of service. After its
 * return they are given back, but not at once, and not moved again. */
static void
test_dc_out_and_back(void)
{
    struct config *config = fleet_sim_config(3, 2, 9);
    struct fleet_sim_options options = options_for(1, config);
    struct fleet_sim *sim = fleet_sim_create(&options);
    sim->demand_slots[0] = 20;
    sim->demand_slots[1] = 20;
    run_steps(sim, 700);
    CU_ASSERT_EQUAL(sim->moves[0] + sim->moves[1], 0);
    config->dcs[0].state = DC_OUT_OF_SERVICE;
    run_steps(sim, 60);
    CU_ASSERT(fleet_sim_available(sim, "p0") > 9);
    CU_ASSERT(fleet_sim_available(sim, "p1") > 9);
    uint32_t moved = sim->moves[0] + sim->moves[1];
    config->dcs[0].state = DC_IN_SERVICE;
    run_steps(sim, 3300);
    CU_ASSERT_EQUAL(sim->moves[2], 0);
    run_steps(sim, 8 * 3600);
    printf("%u moved, %u given back ", moved, sim->moves[2]);
    CU_ASSERT(sim->moves[2] > 0);
    CU_ASSERT(sim->moves[2] <= 2 * 8);
    CU_ASSERT_EQUAL(sim->moves[0] + sim->moves[1], moved);
    check_and_destroy(sim);
}

/* Demand in short bursts of five times the mean, with a twentieth in between:
 * a planner that follows it would move hosts all the time. */
static void
test_alternating_demand_moves_nothing(void)
{
    struct config *config = fleet_sim_config(3, 2, 4);
    struct fleet_sim_options options = options_for(1, config);
    struct fleet_sim *sim = fleet_sim_create(&options);
    double mean = 30;
    for (uint32_t i = 0; i < 2 * 3600; i++) {
        bool burst = i % 52 < 10;
        sim->demand_slots[0] = burst ? mean * 5 : mean / 20;
        sim->demand_slots[1] =
            i % 52 > 26 && i % 52 < 37 ? mean * 5 : mean / 20;
        fleet_sim_step(sim);
    }
    uint32_t moves = sim->moves[0] + sim->moves[1] + sim->moves[2];
    printf("%u moves ", moves);
    CU_ASSERT(moves <= 2 * 2);
    check_and_destroy(sim);
}

/* Demand that changes by a fifth every half hour must not move hosts back and
 * forth. */
static void
test_oscillating_demand_moves_few(void)
{
    struct config *config = fleet_sim_config(3, 1, 4);
    struct fleet_sim_options options = options_for(1, config);
    options.timings.surplus_hold_ms = 300000;
    struct fleet_sim *sim = fleet_sim_create(&options);
    for (uint32_t i = 0; i < 6 * 3600; i++) {
        sim->demand_slots[0] = i / 1800 % 2 == 0 ? 110 : 130;
        fleet_sim_step(sim);
    }
    printf("%u moves ", sim->moves[0] + sim->moves[1]);
    CU_ASSERT(sim->moves[0] + sim->moves[1] <= 3);
    check_and_destroy(sim);
}

/* Demand that stays higher brings enough hosts into a pool. */
static void
test_pool_follows_sustained_demand(void)
{
    struct config *config = fleet_sim_config(3, 2, 4);
    struct fleet_sim_options options = options_for(1, config);
    struct fleet_sim *sim = fleet_sim_create(&options);
    sim->demand_slots[0] = 110;
    sim->demand_slots[1] = 40;
    run_steps(sim, 2400);
    CU_ASSERT(fleet_sim_available(sim, "p0") * 8 >= 110);
    CU_ASSERT(fleet_sim_available(sim, "p1") * 8 >= 40);
    check_and_destroy(sim);
}

/* All hosts fail their tasks: they are rebooted, but only as many at a time as
 * the budgets allow. */
static void
test_suspect_hosts_are_rebooted(void)
{
    struct config *config = fleet_sim_config(2, 2, 5);
    struct fleet_sim_options options = options_for(1, config);
    struct fleet_sim *sim = fleet_sim_create(&options);
    run_steps(sim, 5);
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        sim->hosts[i].fails_all_tasks = true;
    }
    run_steps(sim, 10);
    CU_ASSERT(count_state(sim, NULL, HOST_SERVING) < sim->n_hosts);
    CU_ASSERT(fleet_sim_available(sim, "p0") >= 5);
    run_steps(sim, 600);
    CU_ASSERT_EQUAL(count_state(sim, NULL, HOST_SERVING), sim->n_hosts);
    CU_ASSERT_EQUAL(sim->reboots, sim->n_hosts);
    /* A host whose tasks fail again right after its return is out of service
     * for suspect_hold_ms before its next reboot. */
    sim->hosts[0].fails_all_tasks = true;
    while (count_state(sim, NULL, HOST_RETURNING) == 0) {
        fleet_sim_step(sim);
    }
    sim->hosts[0].fails_all_tasks = true;
    run_steps(sim, 30);
    CU_ASSERT_EQUAL(count_state(sim, NULL, HOST_FAILED), 1);
    run_steps(sim, 120);
    CU_ASSERT_EQUAL(count_state(sim, NULL, HOST_SERVING), sim->n_hosts);
    check_and_destroy(sim);
}

/* Targets that can't be met and a pool that is not configured have to be
 * reported. No action is planned for a host with a damaged record; a host with
 * an unknown initial pool joins the spare pool. */
static void
test_bad_targets_are_reported(void)
{
    struct config *config = fleet_sim_config(1, 2, 5);
    config->pools[0].max_hosts = 5;
    config->pools[1].min_available_hosts = 50;
    struct host_record record = {
        .pool = "gone",
        .dc = "d0",
        .rack = "r0",
        .state = HOST_SERVING,
    };
    const struct fleet_host hosts[] = {
        {.name = "w0", .record = &record, .listed = true, .live = true},
        {.name = "w1", .damaged = true, .listed = true, .live = true},
        {.name = "w2",
         .listed = true,
         .live = true,
         .dc = "d0",
         .rack = "r0",
         .initial_pool = "nowhere"},
    };
    const struct fleet_pool_info pools[] = {
        {.name = "p0", .host_records_current = true},
        {.name = "p1", .host_records_current = true},
        {.name = "spare", .host_records_current = true},
        {.name = "gone", .host_records_current = true},
    };
    struct fleet_snapshot snapshot = {
        .host_list_fresh = true,
        .config = config,
        .hosts = hosts,
        .n_hosts = G_N_ELEMENTS(hosts),
        .pools = pools,
        .n_pools = G_N_ELEMENTS(pools),
    };
    struct fleet_timings timings = fleet_timings_default();
    struct fleet_planner *planner = fleet_planner_create(&timings);
    struct fleet_plan *plan = fleet_planner_pass(planner, &snapshot);
    for (size_t i = 0; i < G_N_ELEMENTS(pools); i++) {
        const char *finding = find_report(plan, pools[i].name)->finding;
        CU_ASSERT((finding[0] != '\0') == (i != 2));
    }
    bool adopted = false;
    for (guint i = 0; i < plan->actions->len; i++) {
        const struct fleet_action *action =
            g_ptr_array_index(plan->actions, i);
        CU_ASSERT_STRING_NOT_EQUAL(action->host, "w1");
        adopted |= g_str_equal(action->host, "w2") &&
                   g_str_equal(action->record->pool, "spare");
    }
    CU_ASSERT(adopted);
    fleet_plan_destroy(plan);
    fleet_planner_destroy(planner);
    fleet_sim_config_free(config);
}

/* Another controller has written the first records of the hosts in p0, but
 * they have not been read yet. The pool must not be taken for empty and filled
 * from the spare pool. */
static void
test_missing_records_move_nothing(void)
{
    struct config *config = fleet_sim_config(1, 1, 2);
    struct host_record record = {
        .pool = "spare",
        .dc = "d0",
        .rack = "r0",
        .state = HOST_SERVING,
    };
    struct fleet_host hosts[8];
    char names[G_N_ELEMENTS(hosts)][8];
    for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
        g_snprintf(names[i], sizeof(names[i]), "w%u", (unsigned)i);
        hosts[i] = (struct fleet_host){
            .name = names[i],
            .record = i % 2 == 0 ? &record : NULL,
            .listed = true,
            .live = true,
            .dc = "d0",
            .rack = "r0",
            .initial_pool = "p0",
        };
    }
    const struct fleet_pool_info pools[] = {
        {.name = "p0", .host_records_current = true},
        {.name = "spare", .host_records_current = true},
    };
    struct fleet_snapshot snapshot = {
        .host_list_fresh = true,
        .config = config,
        .hosts = hosts,
        .n_hosts = G_N_ELEMENTS(hosts),
        .pools = pools,
        .n_pools = G_N_ELEMENTS(pools),
    };
    struct fleet_timings timings = fleet_timings_default();
    struct fleet_planner *planner = fleet_planner_create(&timings);
    struct fleet_plan *plan = fleet_planner_pass(planner, &snapshot);
    CU_ASSERT_EQUAL(plan->actions->len, G_N_ELEMENTS(hosts) / 2);
    for (guint i = 0; i < plan->actions->len; i++) {
        const struct fleet_action *action =
            g_ptr_array_index(plan->actions, i);
        CU_ASSERT_EQUAL(action->kind, FLEET_WRITE_HOST);
    }
    fleet_plan_destroy(plan);
    fleet_planner_destroy(planner);
    fleet_sim_config_free(config);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"rack lost during wave", test_rack_lost_during_wave},
        {"failure cancels drains", test_failure_cancels_drains},
        {"wave ends without dead host", test_wave_ends_without_dead_host},
        {"waves run one after another", test_waves_run_one_after_another},
        {"pause and stop", test_pause_and_stop},
        {"wave waits for low demand", test_wave_waits_for_low_demand},
        {"data centre out and back", test_dc_out_and_back},
        {"alternating demand", test_alternating_demand_moves_nothing},
        {"oscillating demand", test_oscillating_demand_moves_few},
        {"sustained demand", test_pool_follows_sustained_demand},
        {"suspect hosts are rebooted", test_suspect_hosts_are_rebooted},
        {"bad targets are reported", test_bad_targets_are_reported},
        {"missing records", test_missing_records_move_nothing},
    };
    return suite_main("planner-policy", tests, G_N_ELEMENTS(tests));
}
