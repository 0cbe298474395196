/* One pass over the waiting tasks of a pool; shared by the files that place
 * them. */
#ifndef CORE_JOBS_PLACER_H
#define CORE_JOBS_PLACER_H

#include "scheduler_state.h"

/**
 * struct placer - one pass over the waiting tasks of a pool
 * @pool: the pool
 * @failed_need: no backend server has the capacity for this; valid if
 *               @need_failed
 * @failed_estimate_ms: nor, because of reservations, for a task that takes at
 *                      least this long; shorter ones may find a place
 * @reserved: the pool has reservations
 * @left: some task of the job that is being placed is known to have found no
 *        place; a shortcut, as sched_job_is_unplaced() tells it of any job
 * @isolation_failed: there is no backend server for a task that may crash it
 */
struct placer {
    struct scheduler *sched;
    int64_t now_ms;
    int64_t unix_ms;
    struct pool_load *pool;
    bool need_failed;
    struct resources failed_need;
    int64_t failed_estimate_ms;
    bool reserved;
    bool left;
    bool isolation_failed;
};

/**
 * struct placement_request - what a task requires of its backend server
 * @avoid: backend server of its last failure, or NULL
 * @rack: only backend servers in this rack, NULL: any
 * @data_rack: rack of its data, NULL: none
 * @isolated: the task, to find the backend server that is kept for it
 */
struct placement_request {
    const struct job *job;
    const struct job_step *step;
    uint32_t occurrence;
    uint32_t step_index;
    const char *avoid;
    const GPtrArray *rack;
    const GPtrArray *data_rack;
    bool needs_advice;
    const struct step_advice *advice;
    const struct job_task *isolated;
};

/** placer_has_capacity() - whether a task of @step fits what is free there. */
bool
placer_has_capacity(const struct backend *backend,
                    const struct job_step *step);

/**
 * placer_suitable() - whether @backend satisfies the constraints of the task,
 * regardless of its capacity.
 */
bool
placer_suitable(const struct placer *placer, const struct backend *backend,
                const struct placement_request *request);

/**
 * placer_has_constraints() - whether more than its capacity tells if a backend
 * server may run the task.
 */
bool
placer_has_constraints(const struct placement_request *request);

/** placer_choose_backend() - best backend server for a task, or NULL. */
struct backend *
placer_choose_backend(const struct placer *placer,
                      const struct placement_request *request);

/** placer_has_priority() - with queue priorities, whether a task of @job may
 * find a place where none of the same size did: room is kept for it, or it may
 * preempt runs. */
bool
placer_has_priority(const struct placer *placer, const struct job *job);

/**
 * placer_known_to_fail() - whether no backend server can have a place for a
 * task of @job that takes at least @need for at least @estimate_ms
 *
 * A pool at its peak has many waiting jobs and no capacity. Once a task that
 * any backend server may run has found none, larger ones needn't look.
 * Capacity only shrinks during a pass. What is reserved for @job is kept from
 * the others, so they say nothing about it; nor do they of one that may
 * preempt runs.
 */
static inline bool
placer_known_to_fail(const struct placer *placer, const struct job *job,
                     const struct resources *need, int64_t estimate_ms)
{
    return placer->need_failed && resources_fit(need, &placer->failed_need) &&
           (!placer->reserved || (estimate_ms >= placer->failed_estimate_ms &&
                                  job->reservations == 0)) &&
           !(placer->sched->policy.queue_priorities &&
             placer_has_priority(placer, job));
}

/** placer_remember_failure() - a task found no place; @by_reservation: on some
 * backend server only because of a reservation. */
void
placer_remember_failure(struct placer *placer,
                        const struct placement_request *request,
                        bool by_reservation);

/** placer_reserve_ahead() - update the reservations of the pool, if that is
 * due, before its ranked jobs are placed. */
void
placer_reserve_ahead(struct placer *placer);

/** placer_reservation_allows() - whether reservations of others on @backend
 * leave room for a task. */
bool
placer_reservation_allows(const struct placer *placer,
                          const struct backend *backend,
                          const struct placement_request *request);

/** placer_reservation_used() - a task starts on @backend: free its
 * reservation, and account for it where others are reserved. */
void
placer_reservation_used(struct placer *placer, const struct backend *backend,
                        const struct placement_request *request);

/** placer_preempt() - a task found no place: stop runs of a lower priority,
 * if that is due. */
void
placer_preempt(struct placer *placer, const struct placement_request *request);

/**
 * placer_place_isolated() - start a task that may crash its backend server
 *
 * Return: its run, the start of which is not sent yet, or NULL if it waits.
 */
struct run *
placer_place_isolated(struct placer *placer, struct job *job,
                      const struct placement_request *request, uint32_t index,
                      uint32_t number);

#endif
