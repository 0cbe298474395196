/* Tasks that crash their backend servers beside backend servers that crash by
 * themselves, with takeovers, drawn from a seed.
 *
 * Arguments: kind of jobs, number of seeds, first seed. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "crash_world.h"

enum {
    SEEDS = 300,
    BACKENDS_MIN = 5,
    JOBS = 48,
    /* Starts after the third crash that break the rule. */
    STARTS_AFTER_THIRD_CRASH_MAX = 2,
    /* A job may be given up once this many servers crashed under its tasks. */
    CRASHES_TO_GIVE_UP_MIN = 2,
    RESTART_MIN_MS = 1000,
    RESTART_MAX_MS = 10000,
    STEP_MS = 20,
    SUBMIT_EVERY_MS_MAX = 600,
    /* Each takeover waits for the last leader's leases to end. */
    TAKEOVERS_MAX = 4,
    WITHOUT_LEADER_MAX_MS = 5000,
    /* Backoff of service tasks, and crashes after it. */
    SETTLE_MS = 60000,
};

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":500}]";
static const char service[] = "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"
                              "\"estimate_ms\":500,\"long_running\":true}]";

/**
 * struct soak_kind - what a day consists of
 * @poison_steps: steps of tasks that crash their backend servers
 * @independent: backend servers crash by themselves as well
 * @takeovers: the leader is lost
 */
struct soak_kind {
    const char *name;
    const char *poison_steps;
    bool independent;
    bool takeovers;
};

static const struct soak_kind kinds[] = {
    {"poison", one_task, false, false},
    {"independent", one_task, true, false},
    {"takeovers", one_task, false, true},
    {"all", one_task, true, true},
    {"service", service, true, true},
};

/** struct soak_sums - what was seen over all seeds */
struct soak_sums {
    uint32_t poison;
    uint32_t innocent;
    uint32_t over_budget;
    uint32_t often_lost;
    uint32_t falsely_failed;
    uint32_t failed_after_crashes;
    uint32_t unfinished;
    uint32_t crashes;
};

static const struct soak_kind *kind = &kinds[0];
static uint32_t n_seeds = SEEDS;
static uint32_t first_seed = 1;

static void
step(struct world *world, GRand *rand, bool leader)
{
    /* Each crash has its own time until the restart. */
    world->restart_ms =
        g_rand_int_range(rand, RESTART_MIN_MS, RESTART_MAX_MS + 1);
    if (leader) {
        world_run(world, STEP_MS);
    }
    else {
        world_run_without_leader(world, STEP_MS);
    }
    /* One a few seconds, and at times several at once. */
    if (kind->independent && g_rand_int_range(rand, 0, 150) == 0) {
        uint32_t index = g_rand_int_range(rand, 0, (gint)world->n_backends);
        if (world->backends[index].down_until_ms == 0) {
            world_crash(world, index);
        }
    }
}

static void
run_steps(struct world *world, GRand *rand, int64_t duration_ms, bool leader)
{
    for (int64_t ms = 0; ms < duration_ms; ms += STEP_MS) {
        step(world, rand, leader);
    }
}

static void
take_over(struct world *world, GRand *rand)
{
    run_steps(world, rand, g_rand_int_range(rand, 0, WITHOUT_LEADER_MAX_MS),
              false);
    world_take_over(world);
}

static void
submit_jobs(struct world *world, GRand *rand, bool takeovers)
{
    uint32_t left = takeovers ? TAKEOVERS_MAX : 0;
    for (uint32_t i = 0; i < JOBS; i++) {
        bool poison = g_rand_int_range(rand, 0, 8) == 0;
        if (poison) {
            world_add_job(world, kind->poison_steps, true, 0);
        }
        else {
            world_add_job(world, one_task, false,
                          g_rand_int_range(rand, 100, 2000));
        }
        run_steps(world, rand, g_rand_int_range(rand, 0, SUBMIT_EVERY_MS_MAX),
                  true);
        if (left > 0 && g_rand_int_range(rand, 0, JOBS / TAKEOVERS_MAX) == 0) {
            take_over(world, rand);
            left--;
        }
    }
}

static void
report(uint32_t seed, const struct world_job *job, const char *what)
{
    printf("seed %u: job %s: %s (%s, %u starts, %u crashes, %u starts after "
           "the third)\n",
           seed, job->id, what, job->poison ? "poison" : "innocent",
           job->starts, job->crashes, job->starts_after_third_crash);
}

static void
judge(const struct world *world, uint32_t seed, struct soak_sums *sums)
{
    for (uint32_t i = 0; i < world->n_jobs; i++) {
        const struct world_job *job = &world->jobs[i];
        sums->poison += job->poison;
        sums->innocent += !job->poison;
        bool often =
            job->starts_after_third_crash > STARTS_AFTER_THIRD_CRASH_MAX;
        if (job->poison) {
            sums->crashes += job->crashes;
        }
        if (job->poison && often) {
            sums->over_budget++;
            report(seed, job, "started too often");
        }
        if (job->poison) {
            continue;
        }
        sums->often_lost += often;
        if (job->job->state == JOB_FAILED) {
            sums->failed_after_crashes++;
            if (job->crashes < CRASHES_TO_GIVE_UP_MIN) {
                sums->falsely_failed++;
                report(seed, job, "failed");
            }
        }
        else if (job->job->state != JOB_COMPLETED) {
            sums->unfinished++;
            report(seed, job, "unfinished");
        }
    }
}

static void
play(uint32_t seed, struct soak_sums *sums)
{
    GRand *rand = g_rand_new_with_seed(seed);
    struct world world;
    world_init(&world,
               g_rand_int_range(rand, BACKENDS_MIN, WORLD_BACKENDS_MAX + 1));
    submit_jobs(&world, rand, kind->takeovers);
    world.restart_ms = RESTART_MIN_MS;
    world_run(&world, SETTLE_MS);
    judge(&world, seed, sums);
    world_clear(&world);
    g_rand_free(rand);
}

static void
test_soak(void)
{
    struct soak_sums sums = {0};
    for (uint32_t i = 0; i < n_seeds; i++) {
        play(first_seed + i, &sums);
    }
    printf("%s, %u seeds from %u: %u tasks that crash servers (%u crashes), "
           "%u over the limit; %u other jobs, %u failed, %u of them after "
           "fewer than two crashes, %u lost as often, %u unfinished\n",
           kind->name, n_seeds, first_seed, sums.poison, sums.crashes,
           sums.over_budget, sums.innocent, sums.failed_after_crashes,
           sums.falsely_failed, sums.often_lost, sums.unfinished);
    CU_ASSERT_EQUAL(sums.over_budget, 0);
    CU_ASSERT_EQUAL(sums.falsely_failed, 0);
    CU_ASSERT_EQUAL(sums.unfinished, 0);
}

int
main(int argc, char **argv)
{
    for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(argv[1], kinds[i].name) == 0) {
            kind = &kinds[i];
        }
    }
    if (argc > 1 && strcmp(argv[1], kind->name) != 0) {
        fprintf(stderr, "unknown kind: %s\n", argv[1]);
        return EXIT_FAILURE;
    }
    if (argc > 2) {
        n_seeds = (uint32_t)strtoul(argv[2], NULL, 10);
    }
    if (argc > 3) {
        first_seed = (uint32_t)strtoul(argv[3], NULL, 10);
    }
    static const struct suite_test tests[] = {
        {"tasks that crash servers and servers that crash", test_soak},
    };
    return suite_main("jobs crash soak", tests, 1);
}
