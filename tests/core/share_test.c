/* Shares of teams when several gateways serve one pool that is full. */
#include <math.h>
#include <stdio.h>

#include "../suite.h"
#include "core/share_plan.h"
#include "gateway_sim.h"

enum {
    WARM_UP_MS = 15000,
    MEASURED_MS = 180000,
    SEEDS = 3,
};

static const double SHARE_ERROR_MAX = 0.05;
static const double BUSY_MIN = 0.95;
static const double REFUSED_MAX = 0.25;

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

/* All requests of a team land on one gateway, twice what the pool holds. */
static double
one_gateway_per_team(uint32_t team, uint32_t gateway, int64_t now_ms)
{
    return team == gateway ? 400 : 0;
}

/* A team's requests land mostly, but not only, on one gateway. */
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
    .exchange = true,
    .rate = one_gateway_per_team,
};

static double
measure_seed(const char *name, const struct sim_options *options)
{
    struct sim *sim = sim_create(options);
    sim_run(sim, WARM_UP_MS);
    sim_clear_counts(sim);
    sim_run(sim, MEASURED_MS);
    double error = sim_share_error(sim);
    double busy = sim_busy_part(sim, MEASURED_MS);
    double refused = (double)sim->refusals / (double)sim->starts;
    printf("\n    %-28s share error %.3f busy %.3f refused %.3f ", name, error,
           busy, refused);
    CU_ASSERT(busy >= BUSY_MIN);
    CU_ASSERT(refused <= REFUSED_MAX);
    sim_destroy(sim);
    return error;
}

/* Largest error of several seeds. */
static double
measure(const char *name, const struct sim_options *options)
{
    struct sim_options seeded = *options;
    double worst = 0;
    for (seeded.seed = 1; seeded.seed <= SEEDS; seeded.seed++) {
        worst = fmax(worst, measure_seed(name, &seeded));
    }
    return worst;
}

static void
test_one_gateway_per_team(void)
{
    struct sim_options options = full_pool;
    CU_ASSERT(measure("one gateway per team", &options) <= SHARE_ERROR_MAX);
}

static void
test_uneven(void)
{
    struct sim_options options = full_pool;
    options.rate = uneven;
    CU_ASSERT(measure("uneven", &options) <= SHARE_ERROR_MAX);
}

static void
test_run_times_differ(void)
{
    struct sim_options options = full_pool;
    options.run_ms[0] = 1000;
    options.run_ms[2] = 50;
    options.run_ms[5] = 800;
    CU_ASSERT(measure("run times differ", &options) <= SHARE_ERROR_MAX);
}

static void
test_tasks_counted(void)
{
    struct sim_options options = full_pool;
    options.unit = SERVICE_UNIT_TASK;
    options.run_ms[0] = 1000;
    options.run_ms[2] = 50;
    options.run_ms[5] = 800;
    CU_ASSERT(measure("tasks counted", &options) <= SHARE_ERROR_MAX);
}

static void
test_slow_tasks(void)
{
    struct sim_options options = full_pool;
    options.rate = one_gateway_slow_tasks;
    for (uint32_t i = 0; i < options.teams; i++) {
        options.run_ms[i] = 2000;
    }
    CU_ASSERT(measure("slow tasks", &options) <= SHARE_ERROR_MAX);
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
