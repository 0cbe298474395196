/* Scheduling policy under load and faults, with several simulated gateways. */
#include <stdio.h>

#include "../suite.h"
#include "core/outlier.h"
#include "gateway_sim.h"

enum {
    WARM_UP_MS = 15000,
    MEASURED_MS = 60000,
    DEMAND_PHASE_MS = 8000,
    DC_RETURN_COUNT = 10,
};

static void
run_measured(struct sim *sim)
{
    sim_run(sim, WARM_UP_MS);
    sim_reset_counters(sim);
    sim_run(sim, MEASURED_MS);
}

static const struct sim_options base = {
    .seed = 3,
    .gateways = 7,
    .teams = 6,
    .hosts = 10,
    .slots = 8,
    .unit = SERVICE_UNIT_SLOT_TIME,
    .share_permille = {200, 200, 200, 200, 100, 100},
    .run_ms = {200, 200, 200, 200, 200, 200},
    .exchange_usage = true,
};

/* Team 0 has a few urgent tasks; the others fill the pool with tasks of 30 s,
 * which must not delay the urgent ones until their deadline. */
static double
urgent_beside_long(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    return team == 0 ? 0.5 : 1.0;
}

static void
test_urgent_starts_in_time(void)
{
    struct sim_options options = base;
    options.rate = urgent_beside_long;
    options.urgent[0] = true;
    for (uint32_t i = 1; i < options.teams; i++) {
        options.run_ms[i] = 30000;
    }
    struct sim *sim = sim_create(&options);
    run_measured(sim);
    const struct sim_team *urgent = &sim->teams[0];
    double utilization = sim_utilization(sim, MEASURED_MS);
    printf("\n    urgent: done %llu, longest wait %lld ms, utilization %.2f ",
           (unsigned long long)urgent->done, (long long)urgent->wait_max_ms,
           utilization);
    CU_ASSERT_EQUAL(urgent->refused_on_submit + urgent->refused_in_queue, 0);
    CU_ASSERT(urgent->wait_max_ms < 5000);
    CU_ASSERT(utilization > 0.75);
    sim_destroy(sim);
}

/* Demand of a team at a gateway: five times 9 tasks/s in one phase of five, a
 * twentieth of 9 tasks/s in the others. The teams' peaks come one after
 * another. */
static double
alternating(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    bool high = (now_ms / DEMAND_PHASE_MS + team) % 5 == 0;
    return 9.0 * (high ? 5.0 : 0.05);
}

static double
alternating_one_gateway(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    return 7.0 * alternating(team, gateway, now_ms);
}

static uint64_t
total_done(const struct sim *sim)
{
    uint64_t done = 0;
    for (uint32_t i = 0; i < sim->options.teams; i++) {
        done += sim->teams[i].done;
    }
    return done;
}

static uint64_t
count_done(const struct sim_options *options)
{
    struct sim *sim = sim_create(options);
    run_measured(sim);
    uint64_t done = total_done(sim);
    sim_destroy(sim);
    return done;
}

/* Compares seven gateways with a single one, which knows all demand and so
 * does the best that the policy can do. Gateways that learn of changed demand
 * late would leave slots unused. */
static void
test_alternating_demand(void)
{
    struct sim_options options = base;
    options.rate = alternating;
    uint64_t done_by_all = count_done(&options);
    options.gateways = 1;
    options.rate = alternating_one_gateway;
    uint64_t done_by_one = count_done(&options);
    double ratio = (double)done_by_all / (double)done_by_one;
    printf("\n    alternating: %llu done, %.3f of a single gateway ",
           (unsigned long long)done_by_all, ratio);
    CU_ASSERT(ratio > 0.95);
}

static double
moderate(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    return 6.0;
}

static bool
host_0_fails(uint32_t host, uint32_t team, int64_t now_ms)
{
    return host == 0;
}

/* A host that fails tasks quickly always has free slots and would attract ever
 * more of them. It has to be ejected, and used again once it works. */
static void
test_host_that_fails_everything(void)
{
    struct sim_options options = base;
    options.rate = moderate;
    options.host_fails = host_0_fails;
    struct sim *sim = sim_create(&options);
    run_measured(sim);
    double part = (double)sim->host_starts[0] / (double)sim->starts;
    printf("\n    failing host: %.4f of starts ", part);
    CU_ASSERT(part < 0.005);
    uint64_t refused = 0;
    for (uint32_t i = 0; i < options.teams; i++) {
        refused += sim->teams[i].refused_in_queue;
    }
    CU_ASSERT_EQUAL(refused, 0);
    sim->options.host_fails = NULL;
    sim_run(sim, OUTLIER_EJECTION_MAX_MS);
    sim_reset_counters(sim);
    sim_run(sim, WARM_UP_MS);
    part = (double)sim->host_starts[0] / (double)sim->starts;
    CU_ASSERT(part > 0.05);
    sim_destroy(sim);
}

static bool
hosts_0_to_8_fail(uint32_t host, uint32_t team, int64_t now_ms)
{
    return host < 9;
}

/* Even when most hosts fail, at most a third of the hosts is ejected. */
static void
test_ejection_is_bounded(void)
{
    struct sim_options options = base;
    options.rate = moderate;
    struct sim *sim = sim_create(&options);
    sim_run(sim, WARM_UP_MS);
    sim->options.host_fails = hosts_0_to_8_fail;
    sim_run(sim, WARM_UP_MS);
    for (uint32_t i = 0; i < options.gateways; i++) {
        struct dispatch_explanation explanation;
        CU_ASSERT(dispatch_explain(sim->dispatch[i], "queue-0", sim->now_ms,
                                   &explanation));
        CU_ASSERT(explanation.hosts_ejected <= 3);
    }
    sim_destroy(sim);
}

static double
low(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    return 2.0;
}

static bool
hosts_0_to_4_fail(uint32_t host, uint32_t team, int64_t now_ms)
{
    return host < 5;
}

/* More hosts fail than may be ejected. Failing hosts that are not
 * ejected have to be avoided, and failed tasks have to succeed elsewhere. */
static void
test_half_of_the_hosts_fail(void)
{
    struct sim_options options = base;
    options.rate = low;
    options.host_fails = hosts_0_to_4_fail;
    struct sim *sim = sim_create(&options);
    run_measured(sim);
    uint64_t submitted = 0;
    for (uint32_t i = 0; i < options.teams; i++) {
        submitted += sim->teams[i].submitted;
    }
    double part = (double)total_done(sim) / (double)submitted;
    printf("\n    half of the hosts fail: %.3f done ", part);
    CU_ASSERT(part > 0.98);
    sim_destroy(sim);
}

static bool
team_0_fails(uint32_t host, uint32_t team, int64_t now_ms)
{
    return team == 0;
}

/* One team's tasks fail everywhere. They are refused after three attempts,
 * eject no host and don't affect the other teams. */
static void
test_tasks_that_never_run(void)
{
    struct sim_options options = base;
    options.rate = moderate;
    options.host_fails = team_0_fails;
    struct sim *sim = sim_create(&options);
    run_measured(sim);
    uint32_t ejected = 0;
    for (uint32_t i = 0; i < options.gateways; i++) {
        struct dispatch_explanation explanation;
        CU_ASSERT(dispatch_explain(sim->dispatch[i], "queue-0", sim->now_ms,
                                   &explanation));
        ejected += explanation.hosts_ejected;
    }
    CU_ASSERT_EQUAL(ejected, 0);
    CU_ASSERT_EQUAL(sim->teams[0].done, 0);
    CU_ASSERT(sim->refused_by_reason[REASON_NEVER_RUNS] > 0);
    CU_ASSERT(sim->teams[0].failed <= sim->teams[0].submitted * 3 + 100);
    CU_ASSERT(sim->teams[1].done >= sim->teams[1].submitted * 95 / 100);
    sim_destroy(sim);
}

static bool
all_hosts_fail(uint32_t host, uint32_t team, int64_t now_ms)
{
    return true;
}

/* When everything fails, retries would multiply the load; the retry budget
 * keeps them to a small part of all attempts. */
static void
test_retries_are_bounded(void)
{
    struct sim_options options = base;
    options.rate = moderate;
    options.host_fails = all_hosts_fail;
    struct sim *sim = sim_create(&options);
    run_measured(sim);
    uint64_t failed = 0;
    uint64_t submitted = 0;
    for (uint32_t i = 0; i < options.teams; i++) {
        failed += sim->teams[i].failed;
        submitted += sim->teams[i].submitted;
    }
    double attempts = (double)failed / (double)submitted;
    printf("\n    everything fails: %.2f attempts a task ", attempts);
    CU_ASSERT(attempts < 1.25);
    sim_destroy(sim);
}

static uint64_t
starts_in_dc(const struct sim *sim, const char *dc)
{
    uint64_t starts = 0;
    for (uint32_t i = 0; i < sim->options.hosts; i++) {
        if (g_str_equal(sim->fixture->hosts[i].dc, dc)) {
            starts += sim->host_starts[i];
        }
    }
    return starts;
}

static void
set_dc(struct sim *sim, enum dc_state state)
{
    sim->fixture->config.dcs[1].state = state;
    for (uint32_t i = 0; i < sim->options.gateways; i++) {
        dispatch_set_config(sim->dispatch[i], &sim->fixture->config);
    }
    sim_reset_counters(sim);
}

/* A data centre that is taken out of service gets no starts; the other one
 * carries nearly all of the load. On its return its idle hosts must not get a
 * burst of starts: the first half second has fewer than the steady state. */
static void
test_dc_leaves_and_returns(void)
{
    struct sim_options options = base;
    options.rate = moderate;
    struct sim *sim = sim_create(&options);
    sim_run(sim, WARM_UP_MS);
    CU_ASSERT(starts_in_dc(sim, "dc-1") > 0);
    set_dc(sim, DC_OUT_OF_SERVICE);
    sim_run(sim, WARM_UP_MS);
    CU_ASSERT_EQUAL(starts_in_dc(sim, "dc-1"), 0);
    /* 250 tasks a second of 0.2 s each need 50 slots. The 6 hosts that are
     * left have 48, for 240 tasks a second. */
    double done_per_s = (double)total_done(sim) * 1000 / WARM_UP_MS;
    CU_ASSERT(done_per_s > 190);
    uint64_t first = 0;
    uint64_t steady = 0;
    for (int i = 0; i < DC_RETURN_COUNT; i++) {
        set_dc(sim, DC_OUT_OF_SERVICE);
        sim_run(sim, 2000);
        set_dc(sim, DC_IN_SERVICE);
        sim_run(sim, 500);
        first += starts_in_dc(sim, "dc-1");
        sim_run(sim, 9500);
        sim_reset_counters(sim);
        sim_run(sim, 500);
        steady += starts_in_dc(sim, "dc-1");
    }
    printf("\n    dc out: %.0f tasks/s; starts in half a second: at first "
           "%llu, later %llu ",
           done_per_s, (unsigned long long)first, (unsigned long long)steady);
    CU_ASSERT(first < steady * 8 / 10);
    sim_destroy(sim);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"urgent work starts in time", test_urgent_starts_in_time},
        {"alternating demand", test_alternating_demand},
        {"host that fails everything", test_host_that_fails_everything},
        {"ejection is bounded", test_ejection_is_bounded},
        {"half of the hosts fail", test_half_of_the_hosts_fail},
        {"tasks that never run", test_tasks_that_never_run},
        {"retries are bounded", test_retries_are_bounded},
        {"data centre leaves and returns", test_dc_leaves_and_returns},
    };
    return suite_main("policy", tests, G_N_ELEMENTS(tests));
}
