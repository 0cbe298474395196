/* When capacity will be free, and who may use it until then. */
#ifndef CORE_JOBS_RESERVATION_H
#define CORE_JOBS_RESERVATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/jobs/job.h"

/** RESERVATION_NEVER_MS - not at any time that can be expected */
#define RESERVATION_NEVER_MS INT64_MAX

/**
 * struct run_progress - what is known of a run
 * @estimate_ms: run time as declared by the client
 * @elapsed_ms: how long it is known to have run
 * @first_percent: progress when that time began
 * @percent: reported progress; -1: none
 * @percent_elapsed_ms: how long it had run when @percent was first reported,
 *                      on the backend server's clock
 * @since_percent_ms: time since then
 */
struct run_progress {
    int64_t estimate_ms;
    int64_t elapsed_ms;
    int32_t first_percent;
    int32_t percent;
    int64_t percent_elapsed_ms;
    int64_t since_percent_ms;
};

/**
 * reservation_remaining_ms() - how long a run is expected to go on
 *
 * The reported progress outweighs the estimate. A run that has passed its
 * expected end is expected to go on for a part of the time that it has run.
 */
int64_t
reservation_remaining_ms(const struct run_progress *run);

/**
 * struct expected_end - a run's end
 * @after_ms: time until then, or RESERVATION_NEVER_MS
 * @need: what is free from then on
 */
struct expected_end {
    int64_t after_ms;
    struct resources need;
};

/**
 * reservation_free_after_ms() - time until @need fits on a backend server
 * @capacity: its capacity
 * @ends: ends of all that takes capacity there, sorted by this function
 *
 * Return: 0: it fits now; RESERVATION_NEVER_MS: it is not expected to fit.
 */
int64_t
reservation_free_after_ms(const struct resources *capacity,
                          struct expected_end *ends, size_t n_ends,
                          const struct resources *need);

/**
 * reservation_left_beside() - what is free on a backend server after
 * @after_ms beside @need; negative where that does not fit by then.
 */
struct resources
reservation_left_beside(const struct resources *capacity,
                        const struct expected_end *ends, size_t n_ends,
                        const struct resources *need, int64_t after_ms);

/**
 * reservation_choose() - the backend server on which the capacity is free
 * first
 * @free_after_ms: see reservation_free_after_ms(), of each backend server
 *
 * Return: its index, the first of several; @n if there is none.
 */
size_t
reservation_choose(const int64_t *free_after_ms, size_t n);

/**
 * struct reserved_start - a start time that is reserved on a backend server
 * @after_ms: time until then; not above 0: it has passed
 * @beside: what is free at that time beside the reserved need
 */
struct reserved_start {
    int64_t after_ms;
    struct resources beside;
};

/** reservation_ends_before() - whether a task that starts now is expected to
 * have ended by the reserved start. */
bool
reservation_ends_before(const struct reserved_start *start,
                        int64_t estimate_ms);

/** reservation_may_backfill() - whether a task may start now without moving
 * the reserved start. */
bool
reservation_may_backfill(const struct reserved_start *start,
                         const struct resources *need, int64_t estimate_ms);

/**
 * reservation_should_move() - whether another backend server is better by more
 * than the error of estimates
 * @here_ms: time until the capacity is free where it is reserved
 * @there_ms: the same on the other backend server
 */
bool
reservation_should_move(int64_t here_ms, int64_t there_ms);

#endif
