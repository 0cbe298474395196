/* Reservations of a pool; shared by the files that make them. */
#ifndef CORE_JOBS_RESERVE_AHEAD_H
#define CORE_JOBS_RESERVE_AHEAD_H

#include "placer.h"

enum {
    /* Most reservations of a pool; bounds the work of an update at any size of
     * a pool. */
    RESERVED_MAX = 16,
};

/**
 * struct reservation - capacity reserved for a task of a step
 * @pool: its pool
 * @job: its job, referenced
 * @priority: priority of its queue; 0 without queue priorities
 * @backend_id: backend server whose capacity it is
 * @need: what the task takes
 * @start_ms: when the capacity was expected to be free. It does not become
 *            later, or tasks could start there without end
 * @free_ms: when that is expected now
 * @beside: what others may take beyond @start_ms
 * @taken_ms: when its backend server was chosen
 * @moves: times that it was moved
 */
struct reservation {
    struct pool_load *pool;
    struct job *job;
    uint32_t occurrence;
    uint32_t step;
    int64_t priority;
    char *backend_id;
    struct resources need;
    int64_t start_ms;
    int64_t free_ms;
    struct resources beside;
    int64_t taken_ms;
    uint32_t moves;
};

/**
 * struct pool_reservations - reservations of a pool
 * @entries: struct reservation, oldest first
 * @due_ms: when they are looked at again
 * @least: what no task that waited at the last update takes less of
 * @turn: counts updates
 */
struct pool_reservations {
    GPtrArray *entries;
    int64_t due_ms;
    struct resources least;
    guint turn;
};

/**
 * struct candidate - a step with tasks that are due for a reservation
 * @late: its job can no longer meet its objective
 */
struct candidate {
    struct job *job;
    uint32_t occurrence;
    uint32_t step;
    int64_t priority;
    bool late;
};

/** RESERVE_NOTHING_WAITS - least need of no tasks; half the range, so that it
 * can be multiplied */
#define RESERVE_NOTHING_WAITS                                                 \
    ((struct resources){INT64_MAX / 2, INT64_MAX / 2, INT64_MAX / 2})

/** struct offer - a backend server and when a task fits there */
struct offer {
    struct backend *backend;
    int64_t free_ms;
    struct resources beside;
};

/** reserve_queue_priority() - priority of the job's queue; 0 if queues have
 * none. */
int64_t
reserve_queue_priority(const struct scheduler *sched, const struct job *job);

/** reserve_startable_tasks() - tasks of the step that could start now and may
 * have a reservation, at most RESERVED_MAX. */
uint32_t
reserve_startable_tasks(const struct placer *placer, struct job *job,
                        uint32_t occurrence, uint32_t step);

/** reserve_entries_for() - number of reservations for tasks of the step. */
uint32_t
reserve_entries_for(const struct pool_reservations *reservations,
                    const struct job *job, uint32_t occurrence, uint32_t step);

/** reserve_find_candidates() - the first steps that are due for a reservation,
 * at most RESERVED_MAX of struct candidate; g_array_unref(). */
GArray *
reserve_find_candidates(struct placer *placer);

/** reserve_may_use() - whether capacity of @backend may be reserved for a
 * task. */
bool
reserve_may_use(const struct placer *placer, const struct backend *backend,
                const struct placement_request *request);

/** reserve_measure_offer() - set when @need is free on the backend server of
 * @offer, and what is free beside it at @start_ms; 0: at that time. */
void
reserve_measure_offer(const struct placer *placer,
                      const struct resources *need, int64_t start_ms,
                      struct offer *offer);

/** reserve_find_offer() - the backend server without a reservation of
 * @priority or higher on which a task fits first; false if there is none. */
bool
reserve_find_offer(const struct placer *placer,
                   const struct placement_request *request, int64_t priority,
                   struct offer *best);

#endif
