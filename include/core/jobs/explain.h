/* Where a job would be placed now, and why, without adding it. */
#ifndef CORE_JOBS_EXPLAIN_H
#define CORE_JOBS_EXPLAIN_H

#include "core/jobs/scheduler.h"

/**
 * enum wait_reason - why a task would wait
 * @WAIT_NONE: it would start
 * @WAIT_STEPS: earlier steps have to be done first
 * @WAIT_TIME: its first occurrence isn't due yet
 * @WAIT_SUSPENDED: no task starts at the moment; the leadership isn't
 *                  confirmed
 * @WAIT_ADVICE: the queue's policy decides which backend servers may run it
 * @WAIT_MAXIMUM: the client account's maximum
 * @WAIT_NO_SERVER: no backend server of the pool takes work
 * @WAIT_CONSTRAINTS: none that takes work satisfies the step's constraints
 * @WAIT_CAPACITY: none of these has enough free capacity
 * @WAIT_RESERVED: what is free is kept for other tasks
 */
enum wait_reason {
    WAIT_NONE,
    WAIT_STEPS,
    WAIT_TIME,
    WAIT_SUSPENDED,
    WAIT_ADVICE,
    WAIT_MAXIMUM,
    WAIT_NO_SERVER,
    WAIT_CONSTRAINTS,
    WAIT_CAPACITY,
    WAIT_RESERVED,
};

/**
 * struct step_explanation - a task of one step
 * @reason: why it would wait
 * @backend_id: backend server that would get it, NULL: it would wait
 * @servers: backend servers of the pool
 * @usable: those that take work
 * @suitable: those of them that satisfy the step's constraints
 * @fitting: those of them with enough free capacity
 * @allowed: those of them where nothing is kept for other tasks
 * @most_free_milli: most free capacity of a suitable one, in thousandths of a
 *                   core
 */
struct step_explanation {
    enum wait_reason reason;
    const char *backend_id;
    uint32_t servers;
    uint32_t usable;
    uint32_t suitable;
    uint32_t fitting;
    uint32_t allowed;
    int64_t most_free_milli;
};

/**
 * struct job_explanation - what would become of a job
 * @pool: its pool
 * @refusal_ms: it would be refused, and its caller should return after this
 *              time; 0: it would be accepted
 * @waiting: jobs of the queue that wait for their first start
 * @steps: one for each of its steps
 */
struct job_explanation {
    const char *pool;
    int64_t refusal_ms;
    int64_t waiting;
    struct step_explanation steps[JOB_STEPS_MAX];
};

/**
 * scheduler_explain() - explain what would become of @job, which has queue and
 * client account set and isn't known to the scheduler
 *
 * Changes nothing. Of a gang, one member is explained.
 *
 * Return: false if the queue is unknown or there is no configuration.
 */
bool
scheduler_explain(struct scheduler *sched, struct job *job,
                  struct job_explanation *explanation);

/** wait_reason_name() - name of @reason for operators. */
const char *
wait_reason_name(enum wait_reason reason);

#endif
