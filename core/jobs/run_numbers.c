/*
 * Numbers of runs. A backend server refuses a run that isn't numbered higher
 * than those of its task that ended or were stopped there, and a leader knows
 * few of the numbers that its predecessors have used. So it takes them from
 * ranges that are its own: that of its term, and further ones that it has
 * reserved in the store before it uses them.
 */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

enum {
    /* Numbers of one term. */
    RANGE = 1000,
    /* A task that uses one each 30 ms gets by during 15 s without the store.
     */
    RESERVE_AHEAD = 500,
    /* Ranges reserved at once; 32 bits suffice for 500,000 times as many. */
    RESERVED_RANGES = 8,
    /* A leader of an earlier version may have used numbers of later terms. The
     * first refusal skips one range, each further one twice as many. */
    SKIPS_MAX = 10,
};

static uint32_t
last_of_term(uint32_t term)
{
    return (term + 1) * RANGE;
}

static void
want_numbers(struct scheduler *sched, uint32_t number)
{
    if (number > last_of_term(sched->reserved_term) - RESERVE_AHEAD) {
        sched->wanted_term =
            MAX(sched->wanted_term, number / RANGE + RESERVED_RANGES);
    }
}

uint32_t
sched_next_run_number(struct scheduler *sched, const struct job_task *task)
{
    uint32_t number = MAX(task->run_number, sched->term * RANGE) + 1;
    want_numbers(sched, number);
    return number <= last_of_term(sched->reserved_term) ? number : 0;
}

bool
sched_run_number_stale(struct scheduler *sched, struct job_task *task)
{
    sched->stats.stale_numbers++;
    if (task->refusals >= SKIPS_MAX) {
        /* It isn't the number: a run of the task is still there. */
        return false;
    }
    task->run_number += (uint32_t)RANGE << task->refusals;
    want_numbers(sched, task->run_number + 1);
    return true;
}

uint32_t
scheduler_term_wanted(const struct scheduler *sched)
{
    return sched->wanted_term > sched->reserved_term ? sched->wanted_term : 0;
}

void
scheduler_term_reserved(struct scheduler *sched, uint32_t term)
{
    sched->reserved_term = MAX(sched->reserved_term, term);
    sched_log_event(sched, "run_numbers_reserved", "\"term\":%u", term);
}
