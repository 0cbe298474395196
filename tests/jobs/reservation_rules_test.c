/* Expected ends of runs, and who may start beside a reservation. */
#include "../suite.h"
#include "core/jobs/reservation.h"

static struct resources
cpu(int64_t cpu_milli)
{
    return (struct resources){.cpu_milli = cpu_milli, .mem_mb = 10};
}

static const struct resources server = {.cpu_milli = 16000, .mem_mb = 64000};

/* Guards against expected ends that trust the estimate where the reported
 * progress shows another pace, that lie in the past, or that trust the pace of
 * a run whose start the leader has not seen. */
static void
test_remaining(void)
{
    struct run_progress run = {
        .estimate_ms = 1000, .elapsed_ms = 300, .percent = -1};
    CU_ASSERT_EQUAL(reservation_remaining_ms(&run), 700);
    run.elapsed_ms = 1200;
    CU_ASSERT_EQUAL(reservation_remaining_ms(&run), 300);
    /* Twice as long as estimated. */
    run = (struct run_progress){.estimate_ms = 1000,
                                .elapsed_ms = 600,
                                .percent = 25,
                                .percent_elapsed_ms = 500,
                                .since_percent_ms = 100};
    CU_ASSERT_EQUAL(reservation_remaining_ms(&run), 1400);
    /* Half as long. */
    run.percent = 80;
    run.percent_elapsed_ms = 400;
    run.since_percent_ms = 0;
    CU_ASSERT_EQUAL(reservation_remaining_ms(&run), 100);
    /* Adopted at 40 percent after a takeover, half as long as estimated. */
    run.first_percent = 40;
    run.percent_elapsed_ms = 200;
    CU_ASSERT_EQUAL(reservation_remaining_ms(&run), 100);
    /* A pace that cannot be. */
    run.percent_elapsed_ms = 10;
    CU_ASSERT_EQUAL(reservation_remaining_ms(&run), 200);
    run.percent = 100;
    CU_ASSERT_EQUAL(reservation_remaining_ms(&run), 150);
    run.elapsed_ms = 0;
    CU_ASSERT(reservation_remaining_ms(&run) > 0);
}

/* Guards against a start time before the last of the needed ends, for each
 * resource, and against one on a backend server that never has the capacity.
 */
static void
test_free_after(void)
{
    struct expected_end ends[] = {
        {300, {.cpu_milli = 4000, .mem_mb = 40000}},
        {100, {.cpu_milli = 8000, .mem_mb = 10}},
        {200, {.cpu_milli = 4000, .mem_mb = 10}},
    };
    struct resources need = cpu(8000);
    CU_ASSERT_EQUAL(reservation_free_after_ms(&server, ends, 3, &need), 100);
    need = cpu(12000);
    CU_ASSERT_EQUAL(reservation_free_after_ms(&server, ends, 3, &need), 200);
    need.mem_mb = 30000;
    CU_ASSERT_EQUAL(reservation_free_after_ms(&server, ends, 3, &need), 300);
    need.gpus = 1;
    CU_ASSERT_EQUAL(reservation_free_after_ms(&server, ends, 3, &need),
                    RESERVATION_NEVER_MS);
    need = cpu(16000);
    CU_ASSERT_EQUAL(reservation_free_after_ms(&server, ends, 0, &need), 0);
    struct expected_end service = {RESERVATION_NEVER_MS, {.cpu_milli = 1}};
    CU_ASSERT_EQUAL(reservation_free_after_ms(&server, &service, 1, &need),
                    RESERVATION_NEVER_MS);
    int64_t free_after_ms[] = {RESERVATION_NEVER_MS, 200, 100, 100};
    CU_ASSERT_EQUAL(reservation_choose(free_after_ms, 4), 2);
    CU_ASSERT_EQUAL(reservation_choose(free_after_ms, 1), 1);
}

/* Guards against small tasks that move the reserved start, and against
 * capacity that they may not use although they don't. */
static void
test_backfill(void)
{
    struct expected_end ends[] = {
        {100, {.cpu_milli = 8000}},
        {900, {.cpu_milli = 2000}},
    };
    struct resources reserved = cpu(10000);
    struct reserved_start start = {
        .after_ms = 500,
        .beside = reservation_left_beside(&server, ends, 2, &reserved, 500),
    };
    CU_ASSERT_EQUAL(start.beside.cpu_milli, 4000);
    struct resources fits = cpu(4000);
    struct resources large = cpu(5000);
    CU_ASSERT_TRUE(reservation_may_backfill(&start, &fits, 9000));
    CU_ASSERT_FALSE(reservation_may_backfill(&start, &large, 9000));
    CU_ASSERT_TRUE(reservation_may_backfill(&start, &large, 500));
    CU_ASSERT_FALSE(reservation_may_backfill(&start, &large, 501));
    /* No estimate. */
    CU_ASSERT_FALSE(reservation_may_backfill(&start, &large, 0));
    start.after_ms = 0;
    CU_ASSERT_FALSE(reservation_may_backfill(&start, &fits, 1));
}

/* Guards against reservations that move to and fro with the error of
 * estimates. */
static void
test_move(void)
{
    CU_ASSERT_FALSE(reservation_should_move(200, 101));
    CU_ASSERT_TRUE(reservation_should_move(200, 100));
    CU_ASSERT_FALSE(reservation_should_move(2000, 1100));
    CU_ASSERT_TRUE(reservation_should_move(2000, 1000));
    CU_ASSERT_FALSE(reservation_should_move(100, 1));
    CU_ASSERT_TRUE(reservation_should_move(RESERVATION_NEVER_MS, 500));
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"expected end of a run", test_remaining},
        {"time until enough is free", test_free_after},
        {"who may start beside a reservation", test_backfill},
        {"no move for a small gain", test_move},
    };
    return suite_main("jobs reservation rules", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
