/* Policy under load and faults, on several dispatchers. */
#include <stdio.h>

#include "../suite.h"
#include "core/outlier.h"
#include "gateway_sim.h"

enum {
    WARM_UP_MS = 15000,
    MEASURED_MS = 60000,
    PHASE_MS = 8000,
    RETURNS = 10,
};

static void
run_measured(struct sim *sim)
{
    sim_run(sim, WARM_UP_MS);
    sim_clear_counts(sim);
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
    .exchange = true,
};

/* Team 0 is urgent and small; the others fill the pool with long tasks. */
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
    double busy = sim_busy_part(sim, MEASURED_MS);
    printf("\n    urgent: done %llu, longest wait %lld ms, busy %.2f ",
           (unsigned long long)urgent->done,
           (long long)urgent->longest_wait_ms, busy);
    CU_ASSERT_EQUAL(urgent->refused_at_once + urgent->refused_later, 0);
    CU_ASSERT(urgent->longest_wait_ms < 5000);
    CU_ASSERT(busy > 0.75);
    sim_destroy(sim);
}

/* For some seconds a team asks five times its mean, then a twentieth. */
static double
alternating(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    bool high = (now_ms / PHASE_MS + team) % 5 == 0;
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
done_under(const struct sim_options *options)
{
    struct sim *sim = sim_create(options);
    run_measured(sim);
    uint64_t done = total_done(sim);
    sim_destroy(sim);
    return done;
}

/* Against one gateway that sees all: the best that the policy can do. */
static void
test_alternating_demand(void)
{
    struct sim_options options = base;
    options.rate = alternating;
    uint64_t spread = done_under(&options);
    options.gateways = 1;
    options.rate = alternating_one_gateway;
    uint64_t alone = done_under(&options);
    double ratio = (double)spread / (double)alone;
    printf("\n    alternating: %llu done, %.3f of one gateway ",
           (unsigned long long)spread, ratio);
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
        refused += sim->teams[i].refused_later;
    }
    CU_ASSERT_EQUAL(refused, 0);
    sim->options.host_fails = NULL;
    sim_run(sim, OUTLIER_EJECTION_MAX_MS);
    sim_clear_counts(sim);
    sim_run(sim, WARM_UP_MS);
    part = (double)sim->host_starts[0] / (double)sim->starts;
    CU_ASSERT(part > 0.05);
    sim_destroy(sim);
}

static bool
all_but_one_fail(uint32_t host, uint32_t team, int64_t now_ms)
{
    return host < 9;
}

/* A wave of failures takes out at most a third of the hosts. */
static void
test_ejection_is_bounded(void)
{
    struct sim_options options = base;
    options.rate = moderate;
    struct sim *sim = sim_create(&options);
    sim_run(sim, WARM_UP_MS);
    sim->options.host_fails = all_but_one_fail;
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
half_fail(uint32_t host, uint32_t team, int64_t now_ms)
{
    return host < 5;
}

/* More hosts fail than may be ejected: the rest of them is passed over. */
static void
test_half_of_the_hosts_fail(void)
{
    struct sim_options options = base;
    options.rate = low;
    options.host_fails = half_fail;
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
    CU_ASSERT(sim->refused_for[REASON_NEVER_RUNS] > 0);
    CU_ASSERT(sim->teams[0].failed <= sim->teams[0].submitted * 3 + 100);
    CU_ASSERT(sim->teams[1].done >= sim->teams[1].submitted * 95 / 100);
    sim_destroy(sim);
}

static bool
all_fail(uint32_t host, uint32_t team, int64_t now_ms)
{
    return true;
}

/* When everything fails, retries stay a small part of all attempts. */
static void
test_retries_are_bounded(void)
{
    struct sim_options options = base;
    options.rate = moderate;
    options.host_fails = all_fail;
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
    sim_clear_counts(sim);
}

static void
test_dc_leaves_and_returns(void)
{
    struct sim_options options = base;
    options.rate = moderate;
    struct sim *sim = sim_create(&options);
    sim_run(sim, WARM_UP_MS);
    CU_ASSERT(starts_in_dc(sim, "dc-1") > 0);
    set_dc(sim, DC_OUT);
    sim_run(sim, WARM_UP_MS);
    CU_ASSERT_EQUAL(starts_in_dc(sim, "dc-1"), 0);
    /* 250 tasks a second of 0.2 s each on 40 slots: all can be served. */
    double while_out = (double)total_done(sim) * 1000 / WARM_UP_MS;
    CU_ASSERT(while_out > 190);
    uint64_t first = 0;
    uint64_t settled = 0;
    for (int i = 0; i < RETURNS; i++) {
        set_dc(sim, DC_OUT);
        sim_run(sim, 2000);
        set_dc(sim, DC_IN);
        sim_run(sim, 500);
        first += starts_in_dc(sim, "dc-1");
        sim_run(sim, 9500);
        sim_clear_counts(sim);
        sim_run(sim, 500);
        settled += starts_in_dc(sim, "dc-1");
    }
    printf("\n    dc out: %.0f tasks/s; starts in half a second: at first "
           "%llu, later %llu ",
           while_out, (unsigned long long)first, (unsigned long long)settled);
    CU_ASSERT(first < settled * 8 / 10);
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
