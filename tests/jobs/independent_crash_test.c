/* Backend servers that crash by themselves while others crash just after a
 * task has started on them. */
#include "../suite.h"
#include "crash_world.h"

enum {
    BACKENDS = 8,
    /* Less than a crashed one takes to be back. */
    BETWEEN_CRASHES_MS = 700,
    SHARED_JOBS = 3,
    START_WAIT_STEPS = 1000,
    STEP_MS = 20,
};

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":500}]";

static uint32_t
find_idle(const struct world *world)
{
    for (uint32_t i = 0; i < world->n_backends; i++) {
        const struct world_backend *backend = &world->backends[i];
        if (backend->down_until_ms == 0 && backend->runs->len == 0) {
            return i;
        }
    }
    CU_FAIL_FATAL("no idle backend server");
    return 0;
}

/* Crashes the backend server of the next start within milliseconds of it. */
static void
crash_at_start(struct world *world, const struct world_job *job)
{
    uint32_t starts = job->starts;
    for (int i = 0; i < START_WAIT_STEPS && job->starts == starts; i++) {
        world_run(world, STEP_MS);
    }
    CU_ASSERT_EQUAL_FATAL(job->starts, starts + 1);
    for (uint32_t i = 0; i < world->n_backends; i++) {
        if (world->backends[i].runs->len > 0) {
            world_crash(world, i);
        }
    }
}

static void
test_crashes_by_chance_give_up_nothing(void)
{
    struct world world;
    world_init(&world, BACKENDS);
    world_crash(&world, find_idle(&world));
    world_run(&world, BETWEEN_CRASHES_MS);
    const struct world_job *job = world_add_job(&world, one_task, false, 1500);
    crash_at_start(&world, job);
    crash_at_start(&world, job);
    world_run(&world, 20000);
    CU_ASSERT_EQUAL(job->job->state, JOB_COMPLETED);
    CU_ASSERT_EQUAL(job->crashes, 2);
    world_clear(&world);
}

/* Several jobs that start together, and are lost together. */
static struct world_job *
crash_shared(struct world *world)
{
    struct world_job *first = world_add_job(world, one_task, false, 1500);
    for (int i = 1; i < SHARED_JOBS; i++) {
        world_add_job(world, one_task, false, 1500);
    }
    world_run(world, STEP_MS);
    CU_ASSERT_EQUAL_FATAL(first->starts, 1);
    for (uint32_t i = 0; i < world->n_backends; i++) {
        if (world->backends[i].runs->len > 0) {
            CU_ASSERT_EQUAL(world->backends[i].runs->len, SHARED_JOBS);
            world_crash(world, i);
        }
    }
    return first;
}

/* Nobody can say what caused the crash of the others, so it says little that
 * this one was among the runs of its first one. */
static void
test_shared_crash_beside_another(void)
{
    struct world world;
    world_init(&world, BACKENDS);
    const struct world_job *job = crash_shared(&world);
    world_run(&world, BETWEEN_CRASHES_MS);
    crash_shared(&world);
    while (job->starts < 2) {
        world_run(&world, STEP_MS);
    }
    /* The second crash has proved to be one by the time of the third. */
    for (uint32_t i = 0; i < world.n_backends; i++) {
        const struct world_backend *backend = &world.backends[i];
        for (guint r = 0; r < backend->runs->len; r++) {
            const struct world_run *run = g_ptr_array_index(backend->runs, r);
            if (g_str_has_prefix(run->task, job->id)) {
                world_crash(&world, i);
                break;
            }
        }
    }
    world_run(&world, 20000);
    CU_ASSERT_EQUAL(job->crashes, 2);
    for (uint32_t i = 0; i < world.n_jobs; i++) {
        CU_ASSERT_EQUAL(world.jobs[i].job->state, JOB_COMPLETED);
    }
    world_clear(&world);
}

/* The other crash has a cause of its own, which was found. */
static void
test_shared_crash_beside_an_explained_one(void)
{
    struct world world;
    world_init(&world, BACKENDS);
    for (int i = 0; i < 2; i++) {
        const struct world_job *job = world_add_job(&world, one_task, true, 0);
        world_add_job(&world, one_task, false, 1500);
        CU_ASSERT_PTR_NOT_NULL(job);
        world_run(&world, 15000 * (1 - i));
    }
    world_run(&world, 30000);
    for (uint32_t i = 0; i < world.n_jobs; i++) {
        const struct world_job *job = &world.jobs[i];
        CU_ASSERT_EQUAL(job->job->state,
                        job->poison ? JOB_FAILED : JOB_COMPLETED);
        CU_ASSERT_EQUAL(job->crashes, job->poison ? 2 : 1);
    }
    world_clear(&world);
}

/* Its entry expires and it is forgotten before its host is back. */
static void
test_also_where_the_server_was_removed(void)
{
    struct world world;
    world_init(&world, BACKENDS);
    uint32_t idle = find_idle(&world);
    char *id = g_strdup(world.backends[idle].id);
    world.restart_ms = 5600;
    world_crash(&world, idle);
    world.restart_ms = 3200;
    scheduler_backend_removed(world.f.sched, id);
    const struct world_job *job = world_add_job(&world, one_task, false, 1500);
    crash_at_start(&world, job);
    crash_at_start(&world, job);
    CU_ASSERT_PTR_NULL(scheduler_find_backend(world.f.sched, id));
    world_run(&world, 20000);
    CU_ASSERT_EQUAL(job->job->state, JOB_COMPLETED);
    g_free(id);
    world_clear(&world);
}

static void
test_also_under_the_same_id(void)
{
    for (int removed = 0; removed < 2; removed++) {
        struct world world;
        world_init(&world, BACKENDS);
        world.same_id = true;
        uint32_t idle = find_idle(&world);
        world_crash(&world, idle);
        if (removed == 1) {
            scheduler_backend_removed(world.f.sched, world.backends[idle].id);
        }
        const struct world_job *job =
            world_add_job(&world, one_task, false, 1500);
        crash_at_start(&world, job);
        crash_at_start(&world, job);
        world_run(&world, 20000);
        CU_ASSERT_EQUAL(job->job->state, JOB_COMPLETED);
        world_clear(&world);
    }
}

static void
expect_poison_crashes(struct world *world, uint32_t crashes)
{
    const struct world_job *job = world_add_job(world, one_task, true, 0);
    world_run(world, 30000);
    CU_ASSERT_EQUAL(job->job->state, JOB_FAILED);
    CU_ASSERT_EQUAL(job->crashes, crashes);
    CU_ASSERT_EQUAL(job->starts_after_third_crash, 0);
    world_clear(world);
}

/* The third crash of a task gives it up all the same. */
static void
test_poison_beside_independent_crashes(void)
{
    struct world world;
    world_init(&world, BACKENDS);
    world_crash(&world, find_idle(&world));
    world_crash(&world, find_idle(&world));
    world_run(&world, 4000);
    expect_poison_crashes(&world, 3);
}

static void
test_old_crash_says_nothing(void)
{
    struct world world;
    world_init(&world, BACKENDS);
    world_crash(&world, find_idle(&world));
    world_run(&world, 16000);
    expect_poison_crashes(&world, 2);
}

static void
test_drained_server_is_no_crash(void)
{
    struct world world;
    world_init(&world, BACKENDS);
    uint32_t idle = find_idle(&world);
    const struct world_backend *backend = &world.backends[idle];
    world.f.incarnation_start_ms = backend->incarnation_start_ms;
    fixture_drain_backend(&world.f, backend->id, "p", backend->host);
    world_run(&world, 100);
    world_crash(&world, idle);
    expect_poison_crashes(&world, 2);
}

/* The host of the first crash is back too late to prove it; what crashed it is
 * a task nevertheless. */
static void
test_unproved_crash_of_a_task(void)
{
    struct world world;
    world_init(&world, BACKENDS);
    world.restart_ms = 11000;
    const struct world_job *other = world_add_job(&world, one_task, true, 0);
    while (other->crashes == 0) {
        world_run(&world, STEP_MS);
    }
    scheduler_cancel(world.f.sched, other->id);
    world.restart_ms = 3200;
    world_run(&world, 9000);
    expect_poison_crashes(&world, 2);
}

/* Two crashes of the task are enough where all others are explained by tasks
 * as well. */
static void
test_other_poison_tasks(void)
{
    struct world world;
    world_init(&world, BACKENDS);
    for (int i = 0; i < 3; i++) {
        world_add_job(&world, one_task, true, 0);
        world_run(&world, BETWEEN_CRASHES_MS);
    }
    expect_poison_crashes(&world, 2);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"two crashes by chance give up no task while backend servers crash "
         "by themselves",
         test_crashes_by_chance_give_up_nothing},
        {"a shared crash and one alone beside a shared one of others",
         test_shared_crash_beside_another},
        {"the same where that one is explained",
         test_shared_crash_beside_an_explained_one},
        {"also where the server was removed before",
         test_also_where_the_server_was_removed},
        {"also under the same id", test_also_under_the_same_id},
        {"the third crash of a task gives it up",
         test_poison_beside_independent_crashes},
        {"a crash long before says nothing", test_old_crash_says_nothing},
        {"a drained server has not crashed", test_drained_server_is_no_crash},
        {"a task's crash that is not proved is no other's",
         test_unproved_crash_of_a_task},
        {"crashes of other tasks say nothing", test_other_poison_tasks},
    };
    return suite_main("jobs independent crash", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
