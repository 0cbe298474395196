/*
 * Load pattern: an endless stream of small tasks takes each piece of capacity
 * that becomes free, so a task as large as a backend server never starts.
 * Capacity is reserved for it where it is expected to be free first. Small
 * tasks use it until then, as far as they do not delay that start. Clients'
 * estimates are off by up to a factor of two.
 */
#include "core/jobs/reservation.h"

#include <glib.h>
#include <stdlib.h>

enum {
    PERCENT = 100,
    /* Below this percentage a report that comes late by the usual tenths of a
     * second changes the expected end of a short task too much. */
    PACE_PERCENT_MIN = 10,
    /* Estimates are off by a factor of up to 2. A pace that is off by more
     * than twice that says more about the reported progress. */
    PACE_FACTOR_MAX = 4,
    /* A run beyond its expected end goes on for this part of its time: of
     * tasks that take up to twice their estimate, half as long as the rest
     * that is possible. */
    OVERRUN_DIVISOR = 4,
    /* A move is not worth less: the interval in which reservations are looked
     * at. */
    MOVE_GAIN_MIN_MS = 100,
    /* Estimates are off by a factor of up to 2, which a move must exceed. */
    MOVE_GAIN_DIVISOR = 2,
};

/* Whole run time, by the estimate and the pace so far. */
static int64_t
expected_total_ms(const struct run_progress *run)
{
    int32_t gained = run->percent - run->first_percent;
    if (gained < PACE_PERCENT_MIN) {
        return run->estimate_ms;
    }
    int64_t pace_ms = run->percent_elapsed_ms * PERCENT / gained;
    bool plausible = pace_ms >= run->estimate_ms / PACE_FACTOR_MAX &&
                     pace_ms / PACE_FACTOR_MAX <= run->estimate_ms;
    return plausible ? pace_ms : run->estimate_ms;
}

int64_t
reservation_remaining_ms(const struct run_progress *run)
{
    int64_t remaining_ms = run->estimate_ms - run->elapsed_ms;
    if (run->percent >= 0) {
        int32_t percent = MIN(run->percent, PERCENT);
        remaining_ms = expected_total_ms(run) * (PERCENT - percent) / PERCENT -
                       run->since_percent_ms;
    }
    if (remaining_ms > 0) {
        return remaining_ms;
    }
    return MAX(run->elapsed_ms / OVERRUN_DIVISOR, 1);
}

static int
end_compare(const void *a, const void *b)
{
    const struct expected_end *x = a;
    const struct expected_end *y = b;
    return (x->after_ms > y->after_ms) - (x->after_ms < y->after_ms);
}

int64_t
reservation_free_after_ms(const struct resources *capacity,
                          struct expected_end *ends, size_t n_ends,
                          const struct resources *need)
{
    if (!resources_fit(capacity, need)) {
        return RESERVATION_NEVER_MS;
    }
    struct resources available = *capacity;
    for (size_t i = 0; i < n_ends; i++) {
        resources_add(&available, &ends[i].need, -1);
    }
    if (resources_fit(&available, need)) {
        return 0;
    }
    qsort(ends, n_ends, sizeof(ends[0]), end_compare);
    for (size_t i = 0; i < n_ends; i++) {
        resources_add(&available, &ends[i].need, 1);
        if (resources_fit(&available, need)) {
            return ends[i].after_ms;
        }
    }
    return RESERVATION_NEVER_MS;
}

struct resources
reservation_left_beside(const struct resources *capacity,
                        const struct expected_end *ends, size_t n_ends,
                        const struct resources *need, int64_t after_ms)
{
    struct resources left = *capacity;
    resources_add(&left, need, -1);
    for (size_t i = 0; i < n_ends; i++) {
        if (ends[i].after_ms > after_ms) {
            resources_add(&left, &ends[i].need, -1);
        }
    }
    return left;
}

size_t
reservation_choose(const int64_t *free_after_ms, size_t n)
{
    size_t best = n;
    int64_t best_ms = RESERVATION_NEVER_MS;
    for (size_t i = 0; i < n; i++) {
        if (free_after_ms[i] < best_ms) {
            best = i;
            best_ms = free_after_ms[i];
        }
    }
    return best;
}

bool
reservation_ends_before(const struct reserved_start *start,
                        int64_t estimate_ms)
{
    return estimate_ms > 0 && estimate_ms <= start->after_ms;
}

bool
reservation_may_backfill(const struct reserved_start *start,
                         const struct resources *need, int64_t estimate_ms)
{
    return start->after_ms > 0 &&
           (reservation_ends_before(start, estimate_ms) ||
            resources_fit(&start->beside, need));
}

bool
reservation_should_move(int64_t here_ms, int64_t there_ms)
{
    int64_t gain_ms = MAX(here_ms / MOVE_GAIN_DIVISOR, MOVE_GAIN_MIN_MS);
    return there_ms < here_ms && here_ms - there_ms >= gain_ms;
}
