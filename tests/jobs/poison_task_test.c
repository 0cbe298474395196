/* Tasks that crash each backend server that starts them, and crashes that no
 * task has caused. */
#include "../suite.h"
#include "crash_world.h"

enum {
    INNOCENT_JOBS = 24,
    POISON_JOBS = 4,
    /* Starts after the third crash that break the rule. */
    STARTS_AFTER_THIRD_CRASH_MAX = 2,
    /* A service task may be away this long. */
    SERVICE_AWAY_MAX_MS = 6000,
    /* The lease of a lost run, and two seconds for all suspects. */
    AWAY_MAX_MS = 5200,
};

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":500}]";
static const char gang[] = "[{\"count\":4,\"cpu\":1000,\"mem_mb\":10,"
                           "\"estimate_ms\":500,\"gang\":true}]";
static const char service[] = "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"
                              "\"estimate_ms\":500,\"long_running\":true}]";

/* Jobs that come one after the other, so that some have just started when a
 * backend server crashes. */
static void
add_innocent_jobs(struct world *world, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        world_add_job(world, one_task, false, 1500);
        world_run(world, 40);
    }
}

static void
check_poison(const struct world *world)
{
    for (uint32_t i = 0; i < world->n_jobs; i++) {
        const struct world_job *job = &world->jobs[i];
        if (job->poison) {
            CU_ASSERT(job->starts_after_third_crash <=
                      STARTS_AFTER_THIRD_CRASH_MAX);
            CU_ASSERT_EQUAL(job->job->state, JOB_FAILED);
        }
    }
}

static void
check_innocent(const struct world *world)
{
    for (uint32_t i = 0; i < world->n_jobs; i++) {
        if (!world->jobs[i].poison) {
            CU_ASSERT_EQUAL(world->jobs[i].job->state, JOB_COMPLETED);
        }
    }
}

static void
test_not_started_again_and_again(void)
{
    struct world world;
    world_init(&world, 6);
    world_add_job(&world, one_task, true, 0);
    world_run(&world, 60000);
    check_poison(&world);
    world_clear(&world);
}

static void
test_not_started_across_takeover(void)
{
    struct world world;
    world_init(&world, 6);
    const struct world_job *job = world_add_job(&world, one_task, true, 0);
    while (job->crashes < 2) {
        world_run(&world, 100);
    }
    /* The first crash is known and stored by now, the second is not. */
    world_take_over(&world);
    world_run(&world, 30000);
    world_take_over(&world);
    world_run(&world, 30000);
    check_poison(&world);
    world_clear(&world);
}

/* The tasks that start together with it are lost with it, and start together
 * again. */
static void
test_tasks_beside_it_complete(void)
{
    struct world world;
    world_init(&world, 8);
    for (uint32_t i = 0; i < POISON_JOBS; i++) {
        add_innocent_jobs(&world, INNOCENT_JOBS / POISON_JOBS / 2);
        world_add_job(&world, one_task, true, 0);
        add_innocent_jobs(&world, INNOCENT_JOBS / POISON_JOBS / 2);
    }
    world_run(&world, 40000);
    check_poison(&world);
    check_innocent(&world);
    for (uint32_t i = 0; i < world.n_jobs; i++) {
        if (!world.jobs[i].poison) {
            CU_ASSERT(world.jobs[i].crashes <= 2);
            CU_ASSERT(world.jobs[i].longest_away_ms <= AWAY_MAX_MS);
        }
    }
    world_clear(&world);
}

/* It crashes its backend server some time after its start. */
static void
test_late_crash(void)
{
    struct world world;
    world_init(&world, 8);
    world.crash_delay_ms = 1200;
    add_innocent_jobs(&world, INNOCENT_JOBS / 2);
    world_add_job(&world, one_task, true, 0);
    add_innocent_jobs(&world, INNOCENT_JOBS / 2);
    world_run(&world, 60000);
    check_poison(&world);
    check_innocent(&world);
    world_clear(&world);
}

static void
test_gang(void)
{
    struct world world;
    world_init(&world, 6);
    world_add_job(&world, gang, true, 0);
    add_innocent_jobs(&world, INNOCENT_JOBS);
    world_run(&world, 60000);
    check_poison(&world);
    check_innocent(&world);
    world_clear(&world);
}

/* Several at once: the other backend servers of the pool go on. */
static void
test_pool_goes_on(void)
{
    struct world world;
    world_init(&world, 12);
    for (uint32_t i = 0; i < POISON_JOBS * 2; i++) {
        world_add_job(&world, one_task, true, 0);
    }
    world_run(&world, 5000);
    /* What comes while they are isolated starts at once. */
    for (uint32_t i = 0; i < INNOCENT_JOBS; i++) {
        struct world_job *job = world_add_job(&world, one_task, false, 1500);
        world_run(&world, 100);
        CU_ASSERT_EQUAL(job->starts, 1);
    }
    world_run(&world, 60000);
    check_poison(&world);
    check_innocent(&world);
    CU_ASSERT(world.down_most <= world.n_backends * 3 / 4);
    world_clear(&world);
}

/* All backend servers of a data centre crash twice, with runs that have just
 * started. */
static void
test_outage_gives_up_nothing(void)
{
    struct world world;
    world_init(&world, 8);
    for (uint32_t outage = 0; outage < 2; outage++) {
        add_innocent_jobs(&world, INNOCENT_JOBS);
        for (uint32_t i = 0; i < 5; i++) {
            world_crash(&world, i);
        }
        world_run(&world, 8000);
    }
    world_run(&world, 20000);
    check_innocent(&world);
    world_clear(&world);
}

static uint32_t
starts_of(const struct world *world, uint32_t first)
{
    uint32_t starts = 0;
    for (uint32_t i = first; i < world->n_jobs; i++) {
        starts += world->jobs[i].starts;
    }
    return starts;
}

/* The second outage comes just as the lost runs are started again, each alone.
 * Backend servers on which nothing has just started are lost at the same time.
 */
static void
test_outage_of_isolated_runs(void)
{
    struct world world;
    world_init(&world, 10);
    for (uint32_t i = 0; i < 10; i++) {
        world_add_job(&world, service, false, 0);
    }
    world_run(&world, 6000);
    add_innocent_jobs(&world, INNOCENT_JOBS);
    uint32_t n_jobs = world.n_jobs;
    for (uint32_t outage = 0; outage < 3; outage++) {
        for (uint32_t i = 0; i < world.n_backends; i++) {
            if (world.backends[i].down_until_ms == 0) {
                world_crash(&world, i);
            }
        }
        uint32_t before = starts_of(&world, 10);
        for (uint32_t i = 0; i < 400 && starts_of(&world, 10) == before; i++) {
            world_run(&world, 20);
        }
    }
    world_run(&world, 30000);
    for (uint32_t i = 10; i < n_jobs; i++) {
        CU_ASSERT_EQUAL(world.jobs[i].job->state, JOB_COMPLETED);
    }
    world_clear(&world);
}

/* Runs whose leases expire behind a cut have not crashed anything. */
static void
test_cut_gives_up_nothing(void)
{
    struct world world;
    world_init(&world, 2);
    struct world_job *job = world_add_job(&world, one_task, false, 20000);
    for (uint32_t cut = 0; cut < 4; cut++) {
        world_run(&world, 60);
        for (uint32_t i = 0; i < 2; i++) {
            world.backends[i].cut_until_ms = world.f.now_ms + 4000;
        }
        world_run(&world, 6000);
    }
    CU_ASSERT_EQUAL(job->job->state, JOB_ACTIVE);
    world_run(&world, 30000);
    check_innocent(&world);
    world_clear(&world);
}

static void
test_service_is_never_given_up(void)
{
    struct world world;
    world_init(&world, 6);
    const struct world_job *job = world_add_job(&world, service, true, 0);
    world_run(&world, 60000);
    CU_ASSERT_EQUAL(job->job->state, JOB_ACTIVE);
    CU_ASSERT(job->starts >= 4);
    CU_ASSERT(job->starts_after_third_crash <= STARTS_AFTER_THIRD_CRASH_MAX);
    world_clear(&world);
}

/* Its backend servers crash under it, but not by its doing. */
static void
test_service_is_restarted_at_once(void)
{
    struct world world;
    world_init(&world, 6);
    const struct world_job *job = world_add_job(&world, service, false, 0);
    for (uint32_t crash = 0; crash < 4; crash++) {
        world_run(&world, 8000);
        for (uint32_t i = 0; i < world.n_backends; i++) {
            if (world.backends[i].runs->len > 0) {
                world_crash(&world, i);
            }
        }
    }
    world_run(&world, 8000);
    CU_ASSERT_EQUAL(job->job->state, JOB_ACTIVE);
    CU_ASSERT_EQUAL(job->starts, 5);
    CU_ASSERT(job->longest_away_ms <= SERVICE_AWAY_MAX_MS);
    world_clear(&world);
}

/* A start that got no answer need not have been carried out: the crash before
 * which it was sent is not its doing. */
static void
test_unanswered_start_is_not_blamed(void)
{
    struct world world;
    world_init(&world, 4);
    for (uint32_t i = 0; i < world.n_backends; i++) {
        world_crash(&world, i);
    }
    struct world_job *job = world_add_job(&world, one_task, false, 1500);
    world_run(&world, 3800);
    CU_ASSERT_EQUAL(job->crashes, 0);
    for (uint32_t i = 0; i < world.n_backends; i++) {
        if (world.backends[i].runs->len > 0) {
            world_crash(&world, i);
        }
    }
    world_run(&world, 20000);
    check_innocent(&world);
    CU_ASSERT_EQUAL(job->crashes, 1);
    world_clear(&world);
}

static void
expect_few_starts(struct world *world, const char *steps)
{
    const struct world_job *job = world_add_job(world, steps, true, 0);
    world_run(world, 60000);
    CU_ASSERT(job->crashes >= 2);
    CU_ASSERT(job->starts_after_third_crash <= STARTS_AFTER_THIRD_CRASH_MAX);
    world_clear(world);
}

/* The run that is kept over a restart under the same id, since the new
 * incarnation may have carried out its start, hid the crash. */
static void
test_restart_under_the_same_id(void)
{
    struct world world;
    world_init(&world, 6);
    world.same_id = true;
    expect_few_starts(&world, service);
    world_init(&world, 6);
    world.same_id = true;
    world.restart_ms = 2000;
    expect_few_starts(&world, service);
}

/* The service task has started again before the crash is proved. */
static void
test_service_with_late_proof(void)
{
    struct world world;
    world_init(&world, 6);
    world.restart_ms = 5600;
    expect_few_starts(&world, service);
}

/* The backend server crashes before it answers the start. */
static void
test_crash_before_the_answer(void)
{
    struct world world;
    world_init(&world, 6);
    world.crash_delay_ms = 0;
    world.answers_lost = true;
    expect_few_starts(&world, one_task);
}

static void
test_service_over_takeovers(void)
{
    struct world world;
    world_init(&world, 6);
    const struct world_job *job = world_add_job(&world, service, true, 0);
    for (int i = 0; i < 600 && job->crashes < 3; i++) {
        world_run(&world, 100);
    }
    world_run(&world, 6000);
    for (int i = 0; i < 4; i++) {
        world_take_over(&world);
        world_run(&world, 9000);
    }
    CU_ASSERT(job->starts_after_third_crash <= STARTS_AFTER_THIRD_CRASH_MAX);
    world_clear(&world);
}

/* Each backend server crashes 2 s after the service task has started there, as
 * servers do that go down and up by turns. */
static void
test_service_on_crashing_servers(void)
{
    struct world world;
    world_init(&world, 6);
    const struct world_job *job = world_add_job(&world, service, false, 0);
    for (uint32_t crash = 0; crash < 6; crash++) {
        uint32_t starts = job->starts;
        for (int i = 0; i < 300 && (crash > 0 && job->starts == starts); i++) {
            world_run(&world, 100);
        }
        world_run(&world, 2000);
        for (uint32_t i = 0; i < world.n_backends; i++) {
            if (world.backends[i].runs->len > 0) {
                world_crash(&world, i);
            }
        }
    }
    world_run(&world, 8000);
    CU_ASSERT_EQUAL(job->job->state, JOB_ACTIVE);
    CU_ASSERT_EQUAL(job->starts, 7);
    CU_ASSERT(job->longest_away_ms <= SERVICE_AWAY_MAX_MS);
    world_clear(&world);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a task that crashes three backend servers is not started three "
         "times more",
         test_not_started_again_and_again},
        {"also across a takeover", test_not_started_across_takeover},
        {"tasks that ran beside it are not given up",
         test_tasks_beside_it_complete},
        {"a crash some time after the start", test_late_crash},
        {"a gang with such a task", test_gang},
        {"several of them do not take the pool down", test_pool_goes_on},
        {"an outage of a data centre gives up nothing",
         test_outage_gives_up_nothing},
        {"an outage that meets isolated runs gives up nothing",
         test_outage_of_isolated_runs},
        {"a cut-off backend server gives up nothing",
         test_cut_gives_up_nothing},
        {"a service task is never given up", test_service_is_never_given_up},
        {"a service task is restarted at once",
         test_service_is_restarted_at_once},
        {"a restart under the same id hides no crash",
         test_restart_under_the_same_id},
        {"a service task with late proof", test_service_with_late_proof},
        {"a crash before the start is answered", test_crash_before_the_answer},
        {"a service task over takeovers", test_service_over_takeovers},
        {"a service task on servers that crash in turn",
         test_service_on_crashing_servers},
        {"a start without an answer is not blamed",
         test_unanswered_start_is_not_blamed},
    };
    return suite_main("jobs poison task", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
