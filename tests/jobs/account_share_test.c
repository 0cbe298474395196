/* Shares of client accounts in a full pool, replayed against the scheduler. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "core/jobs/account_share.h"
#include "share_world.h"

enum {
    BACKLOG_JOBS = 40,
    WARM_UP_MS = 3000,
    MEASURED_MS = 15000,
};

static const struct sched_policy shares = {.account_shares = true};
static const struct sched_policy off = {0};

static const struct world_load small = {
    .count = 4, .cpu_milli = 2000, .mem_mb = 100, .estimate_ms = 500};

/* Runs for @duration_ms; each account keeps a backlog of jobs of its load. */
static void
run_backlogged(struct share_world *world, const struct world_load *loads,
               int64_t duration_ms)
{
    int64_t end_ms = world->f.now_ms + duration_ms;
    while (world->f.now_ms < end_ms) {
        /* In turn, so that the accounts' jobs alternate in their order. */
        for (uint32_t n = 1; n <= BACKLOG_JOBS; n++) {
            for (size_t a = 0; a < world->n_accounts; a++) {
                share_world_fill(world, a, n, &loads[a]);
            }
        }
        share_world_step(world);
    }
}

/* Use of the first account by that of the second; the pool is kept busy. */
static double
use_ratio(const struct share_world *world, int64_t duration_ms)
{
    double first = world->accounts[0].used_millicore_ms;
    double second = world->accounts[1].used_millicore_ms;
    double busy =
        (first + second) / ((double)WORLD_MILLI * (double)duration_ms);
    printf("%.2f to 1, %.2f busy ", first / second, busy);
    return first / second;
}

static void
check_three_to_one(double ratio)
{
    CU_ASSERT(ratio >= 3 * 0.8);
    CU_ASSERT(ratio <= 3 * 1.2);
}

static double
measure_ratio(const struct sched_policy *policy, int64_t first_weight,
              int64_t second_weight, const struct world_load *loads)
{
    struct world_account accounts[] = {
        {.name = "a", .weight = first_weight},
        {.name = "b", .weight = second_weight},
    };
    struct share_world world;
    share_world_init(&world, policy, accounts, G_N_ELEMENTS(accounts));
    run_backlogged(&world, loads, WARM_UP_MS);
    share_world_forget_use(&world);
    run_backlogged(&world, loads, MEASURED_MS);
    double ratio = use_ratio(&world, MEASURED_MS);
    share_world_clear(&world);
    return ratio;
}

/* Failure: weights 30 and 10 with equal backlogs gave 1 to 1. */
static void
test_three_to_one(void)
{
    const struct world_load loads[] = {small, small};
    check_three_to_one(measure_ratio(&shares, 30, 10, loads));
    check_three_to_one(1 / measure_ratio(&shares, 10, 30, loads));
    /* The case without shares, which shows that the load tells them apart. */
    CU_ASSERT(measure_ratio(&off, 30, 10, loads) < 2);
}

/* Failure: by the number of jobs or tasks an account with larger or longer
 * tasks gets more capacity; the order within an account prefers small jobs. */
static void
test_uneven_tasks(void)
{
    const struct world_load large = {
        .count = 3, .cpu_milli = 5000, .mem_mb = 100, .estimate_ms = 1700};
    const struct world_load first_large[] = {large, small};
    check_three_to_one(measure_ratio(&shares, 30, 10, first_large));
    const struct world_load second_large[] = {small, large};
    check_three_to_one(measure_ratio(&shares, 30, 10, second_large));
}

/* Jobs that have started come first, but their accounts pay for it. */
static void
test_jobs_of_steps(void)
{
    const struct world_load chain = {.count = 4,
                                     .cpu_milli = 2000,
                                     .mem_mb = 100,
                                     .estimate_ms = 300,
                                     .steps = 4};
    const struct world_load both[] = {chain, chain};
    check_three_to_one(measure_ratio(&shares, 30, 10, both));
    const struct world_load second[] = {small, chain};
    check_three_to_one(measure_ratio(&shares, 30, 10, second));
    const struct world_load first[] = {chain, small};
    check_three_to_one(measure_ratio(&shares, 30, 10, first));
}

/* Jobs end one by one, and passes come more often than the list of jobs that
 * are tried first is made: shares decide about each bit that becomes free. */
static void
test_spread_run_times(void)
{
    const struct world_load spread = {.count = 2,
                                      .cpu_milli = 4000,
                                      .mem_mb = 100,
                                      .estimate_ms = 500,
                                      .spread_ms = 300};
    const struct world_load loads[] = {spread, spread};
    struct world_account accounts[] = {
        {.name = "a", .weight = 30},
        {.name = "b", .weight = 10},
    };
    struct share_world world;
    share_world_init(&world, &shares, accounts, 2);
    world.step_ms = 5;
    run_backlogged(&world, loads, WARM_UP_MS);
    share_world_forget_use(&world);
    run_backlogged(&world, loads, MEASURED_MS);
    check_three_to_one(use_ratio(&world, MEASURED_MS));
    share_world_clear(&world);
}

/* Failure: shares by declared run times favour an account that declares too
 * little. */
static void
test_wrong_estimates(void)
{
    const struct world_load under = {.count = 4,
                                     .cpu_milli = 2000,
                                     .mem_mb = 100,
                                     .estimate_ms = 250,
                                     .actual_ms = 500};
    const struct world_load loads[] = {small, under};
    check_three_to_one(measure_ratio(&shares, 30, 10, loads));
}

/* The dominant resource of the second account is memory. */
static void
test_dominant_resource(void)
{
    const struct world_load memory = {
        .count = 4, .cpu_milli = 500, .mem_mb = 8000, .estimate_ms = 500};
    struct world_account accounts[] = {
        {.name = "a", .weight = 10},
        {.name = "b", .weight = 10},
    };
    const struct world_load loads[] = {small, memory};
    struct share_world world;
    share_world_init(&world, &shares, accounts, 2);
    run_backlogged(&world, loads, WARM_UP_MS);
    share_world_forget_use(&world);
    run_backlogged(&world, loads, MEASURED_MS);
    double cpu = accounts[0].used_millicore_ms / WORLD_MILLI;
    double mem = accounts[1].used_millicore_ms / 500 * 8000 /
                 (WORLD_BACKENDS * 64000.0);
    printf("%.2f of the processors, %.2f of the memory ", cpu / MEASURED_MS,
           mem / MEASURED_MS);
    /* Both can have more than half, and neither is starved. */
    CU_ASSERT(cpu / MEASURED_MS > 0.5);
    CU_ASSERT(mem / MEASURED_MS > 0.5);
    share_world_clear(&world);
}

/* Failure: a new leader that doesn't know the use before the takeover divides
 * the pool anew, or by the order of reports. */
static void
test_takeover(void)
{
    struct world_account accounts[] = {
        {.name = "a", .weight = 30},
        {.name = "b", .weight = 10},
    };
    const struct world_load loads[] = {small, small};
    struct share_world world;
    share_world_init(&world, &shares, accounts, 2);
    run_backlogged(&world, loads, WARM_UP_MS);
    share_world_forget_use(&world);
    run_backlogged(&world, loads, MEASURED_MS / 2);
    share_world_take_over(&world);
    run_backlogged(&world, loads, MEASURED_MS / 2);
    check_three_to_one(use_ratio(&world, MEASURED_MS));
    share_world_clear(&world);
}

/* The store is away: the leadership isn't renewed for a while, and nothing
 * starts meanwhile. */
static void
test_leadership_invalid(void)
{
    struct world_account accounts[] = {
        {.name = "a", .weight = 30},
        {.name = "b", .weight = 10},
    };
    const struct world_load loads[] = {small, small};
    struct share_world world;
    share_world_init(&world, &shares, accounts, 2);
    run_backlogged(&world, loads, WARM_UP_MS);
    share_world_forget_use(&world);
    for (int i = 0; i < 5; i++) {
        scheduler_set_outage(world.f.sched, true);
        scheduler_set_leadership_valid(world.f.sched, false);
        run_backlogged(&world, loads, MEASURED_MS / 50);
        scheduler_set_outage(world.f.sched, false);
        scheduler_set_leadership_valid(world.f.sched, true);
        run_backlogged(&world, loads, MEASURED_MS / 5);
    }
    check_three_to_one(use_ratio(&world, MEASURED_MS));
    share_world_clear(&world);
}

/* Failure: capacity is kept for an account that has nothing waiting, or one
 * that comes back gets everything until its use has caught up. */
static void
test_work_conserving(void)
{
    struct world_account accounts[] = {
        {.name = "a", .weight = 30},
        {.name = "b", .weight = 10},
    };
    const struct world_load loads[] = {small, small};
    struct share_world world;
    share_world_init(&world, &shares, accounts, 2);
    int64_t end_ms = world.f.now_ms + WARM_UP_MS + MEASURED_MS;
    int64_t begin_ms = world.f.now_ms + WARM_UP_MS;
    while (world.f.now_ms < end_ms) {
        share_world_fill(&world, 1, BACKLOG_JOBS, &small);
        share_world_step(&world);
        if (world.f.now_ms == begin_ms) {
            share_world_forget_use(&world);
        }
    }
    double alone = accounts[1].used_millicore_ms / WORLD_MILLI / MEASURED_MS;
    printf("alone %.2f of the pool, ", alone);
    CU_ASSERT(alone > 0.9);
    /* Until its use has caught up the first one has a claim to more than its
     * share, but the other one still gets something. */
    share_world_forget_use(&world);
    run_backlogged(&world, loads, WARM_UP_MS);
    CU_ASSERT(accounts[1].used_millicore_ms > 0);
    run_backlogged(&world, loads, MEASURED_MS);
    share_world_forget_use(&world);
    run_backlogged(&world, loads, MEASURED_MS);
    check_three_to_one(use_ratio(&world, MEASURED_MS));
    share_world_clear(&world);
}

/* An account without a weight among weighted ones counts as weight 1. */
static void
test_without_weight_among_weighted(void)
{
    const struct world_load loads[] = {small, small};
    check_three_to_one(measure_ratio(&shares, 3, 0, loads));
}

static void
submit_mix(struct share_world *world)
{
    const struct world_load large = {
        .count = 3, .cpu_milli = 5000, .mem_mb = 100, .estimate_ms = 1700};
    for (int i = 0; i < 3; i++) {
        share_world_submit(world, 0, &small);
        share_world_submit(world, 1, &large);
    }
    share_world_submit(world, 1, &small);
}

/* Without any weight the policy changes neither the order of starts nor any
 * refusal. */
static void
test_no_weights(void)
{
    struct share_world worlds[2];
    struct world_account accounts[2][2] = {
        {{.name = "a"}, {.name = "b"}},
        {{.name = "a"}, {.name = "b"}},
    };
    for (int w = 0; w < 2; w++) {
        share_world_init(&worlds[w], w == 0 ? &off : &shares, accounts[w], 2);
        for (int i = 0; i < 600; i++) {
            if (i % 5 == 0) {
                submit_mix(&worlds[w]);
            }
            share_world_step(&worlds[w]);
        }
    }
    printf("%u starts, %u and %u refused ", worlds[0].starts->len,
           accounts[0][0].refused, accounts[0][1].refused);
    CU_ASSERT(accounts[0][0].refused + accounts[0][1].refused > 0);
    CU_ASSERT_EQUAL(accounts[0][0].refused, accounts[1][0].refused);
    CU_ASSERT_EQUAL(accounts[0][1].refused, accounts[1][1].refused);
    CU_ASSERT_EQUAL_FATAL(worlds[0].starts->len, worlds[1].starts->len);
    for (guint i = 0; i < worlds[0].starts->len; i++) {
        CU_ASSERT_STRING_EQUAL(g_ptr_array_index(worlds[0].starts, i),
                               g_ptr_array_index(worlds[1].starts, i));
    }
    share_world_clear(&worlds[0]);
    share_world_clear(&worlds[1]);
}

/* Failure: one pass over an empty pool gave it all to the account whose jobs
 * come first. */
static void
test_one_pass(void)
{
    struct world_account accounts[] = {
        {.name = "a", .weight = 30},
        {.name = "b", .weight = 10},
    };
    const struct world_load single = {
        .count = 1, .cpu_milli = 4000, .mem_mb = 100, .estimate_ms = 9000};
    struct share_world world;
    share_world_init(&world, &shares, accounts, 2);
    share_world_fill(&world, 1, BACKLOG_JOBS, &single);
    share_world_fill(&world, 0, BACKLOG_JOBS, &single);
    for (int i = 0; i < 5; i++) {
        share_world_step(&world);
    }
    CU_ASSERT_EQUAL(accounts[0].waiting, BACKLOG_JOBS - 12);
    CU_ASSERT_EQUAL(accounts[1].waiting, BACKLOG_JOBS - 4);
    share_world_clear(&world);
}

/* Failure: jobs that the maximum of their account keeps waiting are charged to
 * its share, and the others are no longer ordered. */
static void
test_account_at_its_maximum(void)
{
    struct world_account accounts[] = {
        {.name = "a", .weight = 30},
        {.name = "b", .weight = 10},
        {.name = "c", .weight = 1000},
    };
    const struct world_load loads[] = {small, small, small};
    struct share_world world;
    share_world_init(&world, &shares, accounts, 3);
    struct team_config *team =
        (struct team_config *)fleet_config_team(world.f.config, "c");
    team->maximum.cpu_milli = 4000;
    run_backlogged(&world, loads, WARM_UP_MS);
    share_world_forget_use(&world);
    run_backlogged(&world, loads, MEASURED_MS);
    check_three_to_one(use_ratio(&world, MEASURED_MS));
    CU_ASSERT(accounts[2].used_millicore_ms <= 4000.0 * MEASURED_MS);
    CU_ASSERT(accounts[2].used_millicore_ms >= 0.8 * 4000.0 * MEASURED_MS);
    share_world_clear(&world);
}

/* The order alone: priorities first, then the least use by weight, and the
 * given order within an account. */
static void
test_order(void)
{
    struct share_order order = {0};
    for (int round = 0; round < 2; round++) {
        share_order_reset(&order, 8);
        CU_ASSERT_EQUAL(share_order_add_account(&order, 30, 0), 0);
        CU_ASSERT_EQUAL(share_order_add_account(&order, 10, 0), 1);
        for (int i = 0; i < 8; i++) {
            share_order_add_job(&order, i < 4 ? 1 : 0, i == 3 ? 0 : 1, false);
        }
        static const uint32_t expected[] = {3, 4, 5, 6, 0, 7, 1, 2};
        uint32_t job;
        for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
            CU_ASSERT_FATAL(share_order_peek(&order, &job));
            CU_ASSERT_EQUAL(job, expected[i]);
            share_order_take(&order, 0.1, false);
        }
        CU_ASSERT_FALSE(share_order_peek(&order, &job));
    }
    share_order_clear(&order);
}

/* Failure: a job that has started waits for its next step until all other
 * accounts have had their turn. */
static void
test_started_first(void)
{
    struct share_order order = {0};
    share_order_reset(&order, 4);
    share_order_add_account(&order, 10, 0.3);
    share_order_add_account(&order, 10, 0.2);
    share_order_add_account(&order, 10, 0.1);
    share_order_add_job(&order, 1, 0, false);
    share_order_add_job(&order, 0, 0, true);
    share_order_add_job(&order, 0, 0, false);
    share_order_add_job(&order, 2, 0, false);
    static const uint32_t expected[] = {3, 1, 0, 2};
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        uint32_t job;
        CU_ASSERT_FATAL(share_order_peek(&order, &job));
        CU_ASSERT_EQUAL(job, expected[i]);
        share_order_take(&order, 0.1, false);
    }
    share_order_clear(&order);
}

static void
test_use(void)
{
    const struct resources need = {.cpu_milli = 1000, .mem_mb = 10};
    const struct resources capacity = {.cpu_milli = 10000, .mem_mb = 1000};
    struct share_use use = {0};
    share_use_add(&use, &need, 1, 1000, 10000);
    CU_ASSERT_DOUBLE_EQUAL(share_use_fraction(&use, &capacity, 1000, 10000),
                           0.1, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(share_use_fraction(&use, &capacity, 1000000, 10000),
                           0.2, 1e-9);
    share_use_add(&use, &need, -1, 1000000, 10000);
    CU_ASSERT_DOUBLE_EQUAL(share_use_fraction(&use, &capacity, 1010000, 10000),
                           0.1 * exp(-1), 1e-9);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"the order of jobs", test_order},
        {"a job that has started", test_started_first},
        {"the use of an account", test_use},
        {"weights 30 and 10", test_three_to_one},
        {"uneven tasks", test_uneven_tasks},
        {"jobs of several steps", test_jobs_of_steps},
        {"run times that differ", test_spread_run_times},
        {"wrong estimates", test_wrong_estimates},
        {"the dominant resource", test_dominant_resource},
        {"across a takeover", test_takeover},
        {"leadership invalid for a while", test_leadership_invalid},
        {"an account with nothing waiting", test_work_conserving},
        {"an account without a weight", test_without_weight_among_weighted},
        {"no weights", test_no_weights},
        {"one pass over an empty pool", test_one_pass},
        {"an account at its maximum", test_account_at_its_maximum},
    };
    return suite_main("jobs account share", tests, G_N_ELEMENTS(tests));
}
