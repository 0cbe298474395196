/* Shares of the teams when several gateways serve one overloaded pool: the
 * service of each team has to follow its configured share within 5 %, with the
 * slots in use and few attempts refused by full hosts. */
#include <math.h>
#include <stdio.h>

#include "../suite.h"
#include "core/share_plan.h"
#include "gateway_sim.h"

enum {
    WARM_UP_MS = 15000,
    MEASURED_MS = 180000,
    SEED_COUNT = 3,
};

static const double SHARE_ERROR_MAX = 0.05;
static const double UTILIZATION_MIN = 0.95;
static const double REFUSED_FRACTION_MAX = 0.25;

static void
test_share_plan(void)
{
    struct share_claim claims[] = {
        {.weight = 1, .demand = 100, .limit = 100},
        {.weight = 3, .demand = 100, .limit = 20},
        {.weight = 6, .demand = 5, .limit = 100},
    };
    share_plan(claims, 3, 60);
    double given = 0;
    for (int i = 0; i < 3; i++) {
        given += claims[i].allocated;
        double want = claims[i].weight == 1   ? 35
                      : claims[i].weight == 3 ? 20
                                              : 5;
        CU_ASSERT_DOUBLE_EQUAL(claims[i].allocated, want, 1e-6);
    }
    CU_ASSERT_DOUBLE_EQUAL(given, 60, 1e-6);
}

/* All requests of a team arrive at one gateway, and each team alone asks for
 * as much as the pool can serve (400 tasks/s of 0.2 s on 80 slots). */
static double
one_gateway_per_team(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    return team == gateway ? 400 : 0;
}

/* Most of a team's requests arrive at one or two gateways. */
static double
uneven(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    return (team + gateway) % 5 == 0 ? 150 : 15;
}

static double
one_gateway_slow_tasks(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    return team == gateway ? 40 : 0;
}

static const struct sim_options full_pool = {
    .gateways = 7,
    .teams = 6,
    .hosts = 10,
    .slots = 8,
    .unit = SERVICE_UNIT_SLOT_TIME,
    .share_permille = {400, 250, 150, 100, 60, 40},
    .run_ms = {200, 200, 200, 200, 200, 200},
    .exchange_usage = true,
    .rate = one_gateway_per_team,
};

static double
run_seed(const char *name, const struct sim_options *options)
{
    struct sim *sim = sim_create(options);
    sim_run(sim, WARM_UP_MS);
    sim_reset_counters(sim);
    sim_run(sim, MEASURED_MS);
    double error = sim_share_error(sim);
    double utilization = sim_utilization(sim, MEASURED_MS);
    double refused = (double)sim->host_refusals / (double)sim->starts;
    printf("\n    %-28s share error %.3f utilization %.3f refused %.3f ", name,
           error, utilization, refused);
    CU_ASSERT(utilization >= UTILIZATION_MIN);
    CU_ASSERT(refused <= REFUSED_FRACTION_MAX);
    sim_destroy(sim);
    return error;
}

/* Largest share error over several seeds. */
static double
max_share_error(const char *name, const struct sim_options *options)
{
    struct sim_options seeded = *options;
    double worst = 0;
    for (seeded.seed = 1; seeded.seed <= SEED_COUNT; seeded.seed++) {
        worst = fmax(worst, run_seed(name, &seeded));
    }
    return worst;
}

static void
test_one_gateway_per_team(void)
{
    struct sim_options options = full_pool;
    CU_ASSERT(max_share_error("one gateway per team", &options) <=
              SHARE_ERROR_MAX);
}

static void
test_uneven(void)
{
    struct sim_options options = full_pool;
    options.rate = uneven;
    CU_ASSERT(max_share_error("uneven", &options) <= SHARE_ERROR_MAX);
}

static void
test_run_times_differ(void)
{
    struct sim_options options = full_pool;
    options.run_ms[0] = 1000;
    options.run_ms[2] = 50;
    options.run_ms[5] = 800;
    CU_ASSERT(max_share_error("run times differ", &options) <=
              SHARE_ERROR_MAX);
}

static void
test_tasks_counted(void)
{
    struct sim_options options = full_pool;
    options.unit = SERVICE_UNIT_TASK;
    options.run_ms[0] = 1000;
    options.run_ms[2] = 50;
    options.run_ms[5] = 800;
    CU_ASSERT(max_share_error("tasks counted", &options) <= SHARE_ERROR_MAX);
}

static void
test_slow_tasks(void)
{
    struct sim_options options = full_pool;
    options.rate = one_gateway_slow_tasks;
    for (uint32_t i = 0; i < options.teams; i++) {
        options.run_ms[i] = 2000;
    }
    CU_ASSERT(max_share_error("slow tasks", &options) <= SHARE_ERROR_MAX);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"share plan", test_share_plan},
        {"one gateway per team", test_one_gateway_per_team},
        {"uneven arrival", test_uneven},
        {"run times differ", test_run_times_differ},
        {"tasks counted", test_tasks_counted},
        {"slow tasks", test_slow_tasks},
    };
    return suite_main("shares", tests, G_N_ELEMENTS(tests));
}
