/* Reservations for large tasks beside an endless stream of small ones, which
 * would take each piece of capacity that becomes free. */
#include "../suite.h"
#include "load_world.h"

#include <stdio.h>
#include <string.h>

enum {
    /* The large task's own work is then a twentieth of the pool's in a second,
     * so that what reservations add to the small tasks' wait shows. */
    BACKEND_COUNT = 16,
    /* One backend server may be reserved at a time. */
    FEW_COUNT = 4,
    LARGE_MS = 1000,
    LARGE_COUNT = 4,
    LOAD_PERCENT = 110,
    /* The pool is full by then. */
    WARM_UP_MS = 3000,
    /* Observed: a large task does not start in this time. */
    SPAN_MS = 22000,
    START_OBJECTIVES_MAX = 3,
    /* Until the large task has a reservation, and before that is used. */
    RESERVED_BY_MS = 450,
    /* Reports of all backend servers are read and stops of the previous leader
     * have taken effect. */
    TAKEOVER_MS = 1500,
    MOVES_MAX = 2,
};

static const double WAIT_RATIO_MAX = 1.1;

static const struct sched_policy off = {0};
static const struct sched_policy on = {.reservations = true};
static struct load_world world;
static struct load_world world_off;

static int64_t
waited_ms(const struct load_world *w, uint32_t job)
{
    return w->jobs[job].started_ms == 0
               ? INT64_MAX
               : w->jobs[job].started_ms - w->jobs[job].accepted_ms;
}

static void
check_started(const struct load_world *w, uint32_t job, int64_t further_ms)
{
    int64_t bound_ms =
        START_OBJECTIVES_MAX * world_objective_ms(&w->jobs[job]);
    if (waited_ms(w, job) > bound_ms + further_ms) {
        printf("job %u started after %ld ms\n", job, (long)waited_ms(w, job));
    }
    CU_ASSERT(waited_ms(w, job) <= bound_ms + further_ms);
}

static double
replay(struct load_world *w, const struct sched_policy *policy,
       uint32_t n_backends, int32_t estimate_percent, uint32_t *large)
{
    world_init(w, n_backends, estimate_percent, policy);
    world_run(w, WARM_UP_MS, LOAD_PERCENT);
    int64_t from_ms = w->fixture.now_ms;
    *large = world_add_job(w, WORLD_FULL_CPU_MILLI, LARGE_MS);
    world_run(w, SPAN_MS, LOAD_PERCENT);
    return world_small_wait_ms(w, from_ms, w->fixture.now_ms);
}

static void
check_load(int32_t estimate_percent)
{
    uint32_t large;
    double wait_off_ms =
        replay(&world_off, &off, BACKEND_COUNT, estimate_percent, &large);
    CU_ASSERT_EQUAL(waited_ms(&world_off, large), INT64_MAX);
    double wait_ms =
        replay(&world, &on, BACKEND_COUNT, estimate_percent, &large);
    check_started(&world, large, 0);
    printf("estimates %d %%: large task after %ld ms, small tasks wait "
           "%.0f ms, without reservations %.0f ms\n",
           estimate_percent, (long)waited_ms(&world, large), wait_ms,
           wait_off_ms);
    CU_ASSERT(wait_ms <= WAIT_RATIO_MAX * wait_off_ms);
    CU_ASSERT_EQUAL(world.refused, world_off.refused);
    world_clear(&world);
    world_clear(&world_off);
}

/* Guards against a large task that is overtaken for ever, and against small
 * tasks that pay for it. */
static void
test_load(void)
{
    check_load(100);
}

/* Guards against the same with rough estimates. */
static void
test_load_estimates(void)
{
    check_load(200);
    check_load(50);
}

/* Guards against large tasks that wait for one another, or for one with less
 * work. */
static void
test_several(void)
{
    uint32_t jobs[LARGE_COUNT];
    world_init(&world, FEW_COUNT, 100, &on);
    world_run(&world, WARM_UP_MS, LOAD_PERCENT);
    for (uint32_t i = 0; i < LARGE_COUNT; i++) {
        jobs[i] = world_add_job(&world, WORLD_FULL_CPU_MILLI,
                                LARGE_MS + (int64_t)i * 100);
    }
    world_run(&world, SPAN_MS, LOAD_PERCENT);
    for (uint32_t i = 0; i < LARGE_COUNT; i++) {
        check_started(&world, jobs[i], 0);
    }
    world_clear(&world);
}

/* Guards against a task that others of three quarters of its size overtake for
 * ever, since they have less work and reservations of their own. */
static void
test_stream_of_large(void)
{
    world_init(&world, FEW_COUNT, 100, &on);
    world_run(&world, WARM_UP_MS, LOAD_PERCENT);
    uint32_t full = world_add_job(&world, WORLD_FULL_CPU_MILLI, LARGE_MS);
    for (int64_t ms = 0; ms < SPAN_MS; ms += 500) {
        world_add_job(&world, WORLD_FULL_CPU_MILLI * 3 / 4, LARGE_MS / 2);
        world_run(&world, 500, LOAD_PERCENT);
    }
    check_started(&world, full, 0);
    world_clear(&world);
}

/* Guards against a task of half a backend server that smaller ones overtake
 * for ever. */
static void
test_medium(void)
{
    world_init(&world, FEW_COUNT, 100, &on);
    world_run(&world, WARM_UP_MS, LOAD_PERCENT);
    uint32_t medium =
        world_add_job(&world, WORLD_FULL_CPU_MILLI / 2, LARGE_MS);
    world_run(&world, SPAN_MS, LOAD_PERCENT);
    check_started(&world, medium, 0);
    world_clear(&world);
}

/* Guards against a reservation that outlives its backend server. */
static void
test_lost(void)
{
    world_init(&world, FEW_COUNT, 100, &on);
    world_run(&world, WARM_UP_MS, LOAD_PERCENT);
    uint32_t large = world_add_job(&world, WORLD_FULL_CPU_MILLI, LARGE_MS);
    world_run(&world, RESERVED_BY_MS, LOAD_PERCENT);
    const char *reserved = world_reserved(&world);
    CU_ASSERT_PTR_NOT_NULL_FATAL(reserved);
    world_lose(&world, reserved);
    world_run(&world, SPAN_MS, LOAD_PERCENT);
    check_started(&world, large, 0);
    CU_ASSERT_STRING_NOT_EQUAL(world.jobs[large].started_on, reserved);
    world_clear(&world);
}

/* Guards against a reservation on a backend server that is about to leave. */
static void
test_drained(void)
{
    world_init(&world, FEW_COUNT, 100, &on);
    world_run(&world, WARM_UP_MS, LOAD_PERCENT);
    uint32_t large = world_add_job(&world, WORLD_FULL_CPU_MILLI, LARGE_MS);
    world_run(&world, RESERVED_BY_MS, LOAD_PERCENT);
    const char *reserved = world_reserved(&world);
    CU_ASSERT_PTR_NOT_NULL_FATAL(reserved);
    fixture_drain_backend(&world.fixture, reserved, "p", reserved);
    world_run(&world, SPAN_MS, LOAD_PERCENT);
    check_started(&world, large, 0);
    CU_ASSERT_STRING_NOT_EQUAL(world.jobs[large].started_on, reserved);
    world_clear(&world);
}

/* Guards against a reservation that is lost with its leader: the next one
 * learns the runs from reports and makes another. */
static void
test_takeover(void)
{
    world_init(&world, FEW_COUNT, 100, &on);
    world_run(&world, WARM_UP_MS, LOAD_PERCENT);
    uint32_t large = world_add_job(&world, WORLD_FULL_CPU_MILLI, LARGE_MS);
    world_run(&world, RESERVED_BY_MS, LOAD_PERCENT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(world_reserved(&world));
    CU_ASSERT_EQUAL(waited_ms(&world, large), INT64_MAX);
    world_take_over(&world);
    CU_ASSERT_PTR_NULL(world_reserved(&world));
    world_run(&world, SPAN_MS, LOAD_PERCENT);
    check_started(&world, large, TAKEOVER_MS);
    world_clear(&world);
}

static void
check_moves(int32_t estimate_percent, bool random_progress, bool take_over)
{
    world_init(&world, BACKEND_COUNT, estimate_percent, &on);
    world.small_ms = LARGE_MS;
    world.random_progress = random_progress;
    world_run(&world, WARM_UP_MS * 2, LOAD_PERCENT);
    uint32_t large = world_add_job(&world, WORLD_FULL_CPU_MILLI, LARGE_MS);
    world_run(&world, RESERVED_BY_MS, LOAD_PERCENT);
    CU_ASSERT_EQUAL(waited_ms(&world, large), INT64_MAX);
    if (take_over) {
        world_take_over(&world);
    }
    world_run(&world, SPAN_MS, LOAD_PERCENT);
    check_started(&world, large, take_over ? TAKEOVER_MS : 0);
    struct sched_stats stats;
    scheduler_stats(world.fixture.sched, &stats);
    CU_ASSERT(stats.reservations_moved <= MOVES_MAX);
    world_clear(&world);
}

/* Guards against a reservation that moves on and on, and so never gets a
 * backend server empty, since the errors of its expectations make another one
 * look better each time: with estimates of half the true value, and with
 * reported progress that says nothing. */
static void
test_moves(void)
{
    check_moves(50, false, false);
    check_moves(50, false, true);
    check_moves(100, true, false);
    check_moves(100, true, true);
}

/* Guards against a reservation that keeps its backend server after its job was
 * cancelled. */
static void
test_cancelled(void)
{
    world_init(&world, FEW_COUNT, 100, &on);
    world_run(&world, WARM_UP_MS, LOAD_PERCENT);
    uint32_t large = world_add_job(&world, WORLD_FULL_CPU_MILLI, LARGE_MS);
    world_run(&world, RESERVED_BY_MS, LOAD_PERCENT);
    CU_ASSERT_PTR_NOT_NULL(world_reserved(&world));
    scheduler_cancel(world.fixture.sched, world.jobs[large].id);
    world_run(&world, 200, LOAD_PERCENT);
    CU_ASSERT_PTR_NULL(world_reserved(&world));
    world_clear(&world);
}

/* Guards against a reservation that keeps a backend server idle although a
 * short task ends before the start time, or that lets a longer one in. */
static void
test_backfill_replay(void)
{
    world_init(&world, 1, 100, &on);
    world_add_job(&world, WORLD_SMALL_CPU_MILLI, 3000);
    world_run(&world, 50, 0);
    uint32_t large = world_add_job(&world, WORLD_FULL_CPU_MILLI, LARGE_MS);
    world_run(&world, 600, 0);
    CU_ASSERT_PTR_NOT_NULL(world_reserved(&world));
    uint32_t longer = world_add_job(&world, WORLD_SMALL_CPU_MILLI, 2900);
    uint32_t shorter = world_add_job(&world, WORLD_SMALL_CPU_MILLI, 1000);
    world_run(&world, 100, 0);
    CU_ASSERT_EQUAL(waited_ms(&world, longer), INT64_MAX);
    CU_ASSERT(waited_ms(&world, shorter) <= 100);
    world_run(&world, 6000, 0);
    CU_ASSERT(world.jobs[large].started_ms <= 100000 + 3200);
    CU_ASSERT(world.jobs[longer].started_ms >= world.jobs[large].ended_ms);
    struct sched_stats stats;
    scheduler_stats(world.fixture.sched, &stats);
    CU_ASSERT_EQUAL(stats.backfilled, 1);
    CU_ASSERT_EQUAL(stats.reservations_used, 1);
    CU_ASSERT_EQUAL(stats.reservations, 0);
    world_clear(&world);
}

/* One backend server, of which a task of queue "p" has reserved all, and queue
 * "q" of a higher priority in the same pool. */
static uint32_t
init_priorities(void)
{
    static const struct sched_policy both = {.reservations = true,
                                             .queue_priorities = true};
    world_init(&world, 1, 100, &both);
    struct queue_config *queue =
        g_ptr_array_index(world.fixture.config->queues, 0);
    queue->priority = 1;
    struct queue_config *urgent =
        g_ptr_array_index(world.fixture.config->queues, 1);
    g_free(urgent->pool);
    urgent->pool = g_strdup("p");
    scheduler_configure(world.fixture.sched, world.fixture.config);
    world_add_job(&world, WORLD_SMALL_CPU_MILLI, 3000);
    world_run(&world, 50, 0);
    uint32_t large = world_add_job(&world, WORLD_FULL_CPU_MILLI, LARGE_MS);
    world_run(&world, 600, 0);
    CU_ASSERT_PTR_NOT_NULL(world_reserved(&world));
    return large;
}

static const struct job *
add_urgent(const char *steps)
{
    struct job *job =
        fixture_create_job(&world.fixture, "00000000000000ff", "q", steps);
    g_free(job->pool);
    job->pool = g_strdup("p");
    scheduler_add_job(world.fixture.sched, job);
    job_unref(job);
    return job;
}

/* Guards against a reservation that delays a job of a higher priority. */
static void
test_priority(void)
{
    init_priorities();
    add_urgent("[{\"count\":1,\"cpu\":4000,\"mem_mb\":10,"
               "\"estimate_ms\":9000}]");
    fixture_tick(&world.fixture, world.fixture.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&world.fixture, COMMAND_START, NULL), 2);
    world_clear(&world);
}

/* Guards against one that keeps a job of a higher priority from a reservation
 * of its own. */
static void
test_priority_reserves(void)
{
    uint32_t large = init_priorities();
    const struct job *urgent =
        add_urgent("[{\"count\":1,\"cpu\":16000,\"mem_mb\":10,"
                   "\"estimate_ms\":1000}]");
    const struct job *job =
        scheduler_find_job(world.fixture.sched, world.jobs[large].id);
    CU_ASSERT_EQUAL(job->reservations, 1);
    world_run(&world, 600, 0);
    CU_ASSERT_EQUAL(job->reservations, 0);
    CU_ASSERT_EQUAL(urgent->reservations, 1);
    world_clear(&world);
}

/* Guards against gangs, services and tasks that fit well anywhere that get a
 * reservation. */
static void
test_none(void)
{
    world_init(&world, FEW_COUNT, 100, &on);
    world_run(&world, WARM_UP_MS, LOAD_PERCENT);
    fixture_add_job(&world.fixture, "00000000000000f1", "p",
                    "[{\"count\":1,\"cpu\":16000,\"mem_mb\":10,"
                    "\"estimate_ms\":900,\"gang\":true}]");
    fixture_add_job(&world.fixture, "00000000000000f2", "p",
                    "[{\"count\":1,\"cpu\":16001,\"mem_mb\":10,"
                    "\"estimate_ms\":900}]");
    world_run(&world, 3000, LOAD_PERCENT);
    struct sched_stats stats;
    scheduler_stats(world.fixture.sched, &stats);
    CU_ASSERT_EQUAL(stats.reservations_made, 0);
    world_clear(&world);
}

/* Guards against a change of what is done without the feature: the commands of
 * this replay are those of commit a714e11, before it, whose checksum is
 * given here. */
static void
test_off(void)
{
    static const char before[] =
        "7032d496e37c48a96da4bf9cf61bce67d40421f10a3a928ec6e27240126eecb6";
    uint32_t large;
    replay(&world_off, &off, FEW_COUNT, 100, &large);
    char *checksum = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
                                                   world_off.log->str, -1);
    CU_ASSERT_STRING_EQUAL(checksum, before);
    if (strcmp(checksum, before) != 0) {
        printf("%s\n", checksum);
    }
    g_free(checksum);
    world_clear(&world_off);
}

/* Guards against a change of what is done where no task needs a reservation.
 */
static void
test_not_needed(void)
{
    world_init(&world, FEW_COUNT, 100, &on);
    world_init(&world_off, FEW_COUNT, 100, &off);
    world_run(&world, SPAN_MS, LOAD_PERCENT);
    world_run(&world_off, SPAN_MS, LOAD_PERCENT);
    CU_ASSERT_STRING_EQUAL(world.log->str, world_off.log->str);
    world_clear(&world);
    world_clear(&world_off);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a large task starts beside small ones", test_load},
        {"the same with rough estimates", test_load_estimates},
        {"several large tasks start", test_several},
        {"the largest of several sizes starts", test_stream_of_large},
        {"a task of half a backend server starts", test_medium},
        {"a reserved backend server is lost", test_lost},
        {"a reserved backend server drains", test_drained},
        {"takeover", test_takeover},
        {"a reservation is not moved without end", test_moves},
        {"the job is cancelled", test_cancelled},
        {"backfill", test_backfill_replay},
        {"a higher priority is not delayed", test_priority},
        {"a higher priority takes the place of a reservation",
         test_priority_reserves},
        {"no reservation for gangs and what fits nowhere", test_none},
        {"without the feature nothing changes", test_off},
        {"without need nothing changes", test_not_needed},
    };
    return suite_main("jobs reservations", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
