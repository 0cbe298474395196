/*
 * Choice of the runs that a task of a higher priority preempts.
 *
 * Load: a pool is filled with long runs of priority 1 when a job of priority 0
 * arrives. Without preemption that job waits until enough of them end by
 * themselves, far beyond its objective.
 */
#ifndef CORE_JOBS_PREEMPTION_H
#define CORE_JOBS_PREEMPTION_H

#include <stdbool.h>
#include <stdint.h>

#include "core/jobs/job.h"

enum {
    /* Runs that one task may preempt: a task as large as a backend server of
     * 16 cores against runs of one core. */
    PREEMPTION_RUNS_MAX = 16,
    /* Runs of one backend server that are looked at; the others stay. */
    PREEMPTION_CONSIDERED_MAX = 128,
    /* Times that runs of one task may be preempted. From then on it goes on
     * until it is done, so every task is done in the end. */
    PREEMPTIONS_PER_TASK_MAX = 3,
};

/* Expected end of a run that may never end. */
#define PREEMPTION_NEVER_MS INT64_MAX

/**
 * struct preemption_run - a run on the backend server
 * @need: what it takes there
 * @priority: of its queue; smaller is higher
 * @may_stop: nothing but its priority forbids to stop it
 * @lost_millicore_ms: work that a stop would lose, in thousandths of a core
 *                     times ms
 * @ends_ms: time until it is expected to end by itself, or by a stop that is
 *           under way; PREEMPTION_NEVER_MS: unknown
 */
struct preemption_run {
    struct resources need;
    int64_t priority;
    bool may_stop;
    int64_t lost_millicore_ms;
    int64_t ends_ms;
};

/**
 * struct preemption_request - a task that found no place
 * @need: what it takes
 * @priority: of its queue
 * @wait_ms: how long it may wait and still meet its objective
 * @stop_ms: time from a stop until its room is free
 */
struct preemption_request {
    struct resources need;
    int64_t priority;
    int64_t wait_ms;
    int64_t stop_ms;
};

/**
 * struct preemption_choice - runs to stop on one backend server
 * @found: stopping them makes enough room
 * @runs: their positions
 * @lost_millicore_ms: sum of what they lose
 */
struct preemption_choice {
    bool found;
    uint32_t n_runs;
    uint32_t runs[PREEMPTION_RUNS_MAX];
    int64_t lost_millicore_ms;
};

/**
 * preemption_room_in_time() - number of such tasks for which there will be
 * room without any stop, by the time that the task has to start or that a
 * stop would have made room
 * @room: what is free now; may be negative where room is promised to others
 */
uint32_t
preemption_room_in_time(const struct preemption_request *request,
                        const struct resources *room,
                        const struct preemption_run *runs, uint32_t n_runs);

/**
 * preemption_choose() - runs of a strictly lower priority whose stops lose the
 * least work and make enough room, none of which could be left out
 * @room: as for preemption_room_in_time()
 */
struct preemption_choice
preemption_choose(const struct preemption_request *request,
                  const struct resources *room,
                  const struct preemption_run *runs, uint32_t n_runs);

/**
 * struct run_progress - what is known of the progress of a run
 * @worked_ms: how long it is known to have worked; a run that was adopted
 *             after a takeover has worked longer
 * @adopted: it was started by a previous leader
 * @estimate_ms: its declared run time, which may be half or twice the true one
 * @percent: reported progress; below 0: none yet
 * @saved_ago_ms: how long ago its last checkpoint was seen; below 0: none was
 */
struct run_progress {
    int64_t worked_ms;
    bool adopted;
    int64_t estimate_ms;
    int32_t percent;
    int64_t saved_ago_ms;
};

/** preemption_remaining_ms() - expected time until the run ends by itself. */
int64_t
preemption_remaining_ms(const struct run_progress *progress);

/** preemption_lost_ms() - work of the run that a stop would lose, in ms. */
int64_t
preemption_lost_ms(const struct run_progress *progress);

#endif
