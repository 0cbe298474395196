/* Admission where client accounts share a pool, replayed against the
 * scheduler. */
#include <stdio.h>

#include "../suite.h"
#include "core/jobs/account_share.h"
#include "share_world.h"

enum {
    FLOOD_MS = 40000,
    SMALL_EVERY_MS = 500,
    RETRIES_MAX = 64,
};

static const struct sched_policy shares = {.account_shares = true};

static const struct world_load small = {
    .count = 2, .cpu_milli = 1000, .mem_mb = 100, .estimate_ms = 500};
static const struct world_load flood = {
    .count = 8, .cpu_milli = 2000, .mem_mb = 100, .estimate_ms = 2000};

/* Work of one job that comes before it or beside it, in closed form. */
static void
test_delay(void)
{
    int a;
    int b;
    struct share_backlog backlogs[] = {
        {.account = &a,
         .weight = 30,
         .attainable_millicore_ms = 900,
         .late_millicore_ms = 50},
        {.account = &b, .weight = 10, .attainable_millicore_ms = 100},
    };
    struct share_backlog job = {.account = &a, .weight = 30};
    /* One account alone waits for its backlog. */
    CU_ASSERT_DOUBLE_EQUAL(share_delay_millicore_ms(backlogs, 1, &job, 30),
                           900, 1e-9);
    /* The other account is done before. */
    CU_ASSERT_DOUBLE_EQUAL(share_delay_millicore_ms(backlogs, 2, &job, 30),
                           1000, 1e-9);
    /* A job of the other one waits for three times its work and backlog. */
    job = (struct share_backlog){.account = &b, .weight = 10};
    CU_ASSERT_DOUBLE_EQUAL(share_delay_millicore_ms(backlogs, 2, &job, 20),
                           100 + 3 * 120, 1e-9);
    /* Work of higher priorities comes first, also late work. */
    job.priority = 1;
    CU_ASSERT_DOUBLE_EQUAL(share_delay_millicore_ms(backlogs, 2, &job, 20),
                           1050, 1e-9);
    /* An account without weight counts as weight 1. */
    backlogs[1].weight = 0;
    job = (struct share_backlog){.account = &b};
    CU_ASSERT_DOUBLE_EQUAL(share_delay_millicore_ms(backlogs, 2, &job, -90),
                           100 + 30 * 10, 1e-9);
    /* The share of a third one is free. */
    job.account = NULL;
    CU_ASSERT_DOUBLE_EQUAL(share_delay_millicore_ms(backlogs, 2, &job, 20), 0,
                           1e-9);
}

/**
 * struct caller - callers of the flooding account that return when told
 * @due_ms: when each refused job is sent again
 * @again: jobs that were sent again
 * @again_refused: those that were refused once more
 */
struct caller {
    int64_t due_ms[RETRIES_MAX];
    size_t n_due;
    uint32_t again;
    uint32_t again_refused;
};

static void
come_back(struct share_world *world, struct caller *caller)
{
    for (size_t i = 0; i < caller->n_due;) {
        if (caller->due_ms[i] > world->f.now_ms) {
            i++;
            continue;
        }
        caller->due_ms[i] = caller->due_ms[--caller->n_due];
        caller->again++;
        caller->again_refused += share_world_submit(world, 0, &flood) > 0;
    }
}

/* Failure: the pool's whole backlog counted for every job, so the small jobs
 * of another account were refused while one account flooded the pool. */
static void
test_flood(void)
{
    struct world_account accounts[] = {
        {.name = "flood", .weight = 10},
        {.name = "small", .weight = 10},
    };
    struct share_world world;
    struct caller caller = {0};
    share_world_init(&world, &shares, accounts, 2);
    int64_t begin_ms = world.f.now_ms;
    while (world.f.now_ms < begin_ms + FLOOD_MS) {
        int64_t since_ms = world.f.now_ms - begin_ms;
        come_back(&world, &caller);
        /* New jobs of it come as long as none waits to come back, so that one
         * which does meets the backlog that was foreseen. */
        while (caller.n_due == 0) {
            int64_t retry_after_ms = share_world_submit(&world, 0, &flood);
            if (retry_after_ms > 0) {
                CU_ASSERT(retry_after_ms >= 1000);
                CU_ASSERT(retry_after_ms <= 30000);
                caller.due_ms[caller.n_due++] =
                    world.f.now_ms + retry_after_ms;
            }
        }
        if (since_ms % SMALL_EVERY_MS == 0) {
            share_world_submit(&world, 1, &small);
        }
        share_world_step(&world);
    }
    struct sched_stats stats;
    scheduler_stats(world.f.sched, &stats);
    printf("flood: %u refused, %u of %u refused again, %u finished, %u late; "
           "small: %u refused, %u finished, first start within %d ms ",
           accounts[0].refused, caller.again_refused, caller.again,
           accounts[0].finished, accounts[0].late, accounts[1].refused,
           accounts[1].finished, (int)accounts[1].longest_start_ms);
    CU_ASSERT(accounts[0].refused > 0);
    CU_ASSERT(caller.again > 0);
    CU_ASSERT_EQUAL(caller.again_refused, 0);
    CU_ASSERT_EQUAL(accounts[1].refused, 0);
    CU_ASSERT(accounts[1].finished + 4 >= FLOOD_MS / SMALL_EVERY_MS);
    /* Objective of the small jobs: 1.6 times 500 ms and 600 ms. */
    CU_ASSERT(accounts[1].longest_start_ms <= 1400 - 500);
    CU_ASSERT_EQUAL(accounts[1].late, 0);
    CU_ASSERT(stats.share_accepted > 0);
    share_world_clear(&world);
}

/* Failure: an account with a smaller weight was accepted by the backlog of the
 * whole pool and then starved by the share of another one. */
static void
test_smaller_weight(void)
{
    struct world_account accounts[] = {
        {.name = "a", .weight = 30},
        {.name = "b", .weight = 5},
    };
    struct share_world world;
    share_world_init(&world, &shares, accounts, 2);
    for (int i = 0; i < 3000; i++) {
        /* The second account comes to a pool that the first one floods. */
        for (size_t a = 0; a < (i < 50 ? 1 : 2); a++) {
            for (int j = 0; j < 4 && i % 10 == 0; j++) {
                share_world_submit(&world, a, &flood);
            }
        }
        share_world_step(&world);
    }
    for (size_t a = 0; a < 2; a++) {
        printf("%s: %u refused, %u finished, %u late; ", accounts[a].name,
               accounts[a].refused, accounts[a].finished, accounts[a].late);
        CU_ASSERT(accounts[a].refused > 0);
        CU_ASSERT(accounts[a].finished > 0);
        CU_ASSERT(accounts[a].late * 20 <= accounts[a].finished);
    }
    share_world_clear(&world);
}

/* Failure: a job was refused though its account had nothing else in the pool,
 * since another account's backlog was long. */
static void
test_free_share(void)
{
    struct world_account accounts[] = {
        {.name = "a", .weight = 30},
        {.name = "b", .weight = 1},
    };
    struct share_world world;
    share_world_init(&world, &shares, accounts, 2);
    for (int i = 0; i < 200; i++) {
        share_world_add(&world, 0, &flood);
    }
    share_world_step(&world);
    CU_ASSERT(share_world_submit(&world, 0, &flood) > 0);
    CU_ASSERT_EQUAL(share_world_submit(&world, 1, &flood), 0);
    /* It counts at once, before the next plan. */
    CU_ASSERT(share_world_submit(&world, 1, &flood) > 0);
    share_world_clear(&world);
}

/* Services and jobs with a schedule are never refused. */
static void
test_exempt(void)
{
    struct world_account accounts[] = {{.name = "a", .weight = 10}};
    struct share_world world;
    share_world_init(&world, &shares, accounts, 1);
    for (int i = 0; i < 200; i++) {
        share_world_add(&world, 0, &flood);
    }
    share_world_step(&world);
    struct job *service = fixture_create_job(&world.f, "00000000000000bb", "p",
                                             "[{\"count\":1,\"cpu\":100,"
                                             "\"long_running\":true}]");
    struct job *timed =
        fixture_create_job(&world.f, "00000000000000bc", "p",
                           "[{\"count\":8,\"cpu\":2000,\"estimate_ms\":500}]");
    g_free(timed->team);
    timed->team = g_strdup("a");
    CU_ASSERT(scheduler_refusal_ms(world.f.sched, "p", timed) > 0);
    timed->first_ms = 1;
    CU_ASSERT_EQUAL(scheduler_refusal_ms(world.f.sched, "p", service), 0);
    CU_ASSERT_EQUAL(scheduler_refusal_ms(world.f.sched, "p", timed), 0);
    job_unref(service);
    job_unref(timed);
    share_world_clear(&world);
}

/* A leader that takes over stores new jobs before it has read the
 * configuration. Guards against a crash then, and against jobs that are not
 * placed once the configuration is there. */
static void
test_without_configuration(void)
{
    static const char steps[] =
        "[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":500}]";
    struct fleet_fixture f;
    const struct sched_policy policy = {.account_shares = true,
                                        .queue_priorities = true,
                                        .reservations = true,
                                        .demand_forecast = true};
    fixture_init(&f, 1);
    scheduler_set_policy(f.sched, &policy);
    scheduler_configure(f.sched, NULL);
    fixture_add_job(&f, "00000000000000aa", "p", steps);
    CU_ASSERT_EQUAL(
        scheduler_refusal_ms(f.sched, "p",
                             scheduler_find_job(f.sched, "00000000000000aa")),
        0);
    fixture_tick(&f, f.now_ms + 100);
    scheduler_configure(f.sched, f.config);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"the fluid model", test_delay},
        {"one account floods the pool", test_flood},
        {"a smaller weight", test_smaller_weight},
        {"an account whose share is free", test_free_share},
        {"services and timed jobs", test_exempt},
        {"no configuration yet", test_without_configuration},
    };
    return suite_main("jobs share admission", tests, G_N_ELEMENTS(tests));
}
