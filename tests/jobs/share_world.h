/*
 * A replayed load of several client accounts on one pool: the scheduler, and
 * backend servers that run what it starts and report it.
 */
#ifndef TESTS_JOBS_SHARE_WORLD_H
#define TESTS_JOBS_SHARE_WORLD_H

#include "fleet_fixture.h"

enum {
    WORLD_STEP_MS = 20,
    WORLD_ACCOUNTS_MAX = 8,
    WORLD_BACKENDS = 4,
    /* Capacity of the pool. */
    WORLD_MILLI = WORLD_BACKENDS * 16000,
};

/**
 * struct world_account - a client account and what became of its jobs
 * @weight: its weight, 0: none
 * @waiting: accepted jobs without a started task
 * @finished: jobs that ended
 * @refused: jobs that were refused
 * @used_millicore_ms: what its tasks have used
 * @late: jobs that ended after three objectives and the margin that admission
 *        allows
 * @longest_start_ms: longest time from acceptance to the first start
 */
struct world_account {
    const char *name;
    int64_t weight;
    uint32_t waiting;
    uint32_t finished;
    uint32_t refused;
    double used_millicore_ms;
    uint32_t late;
    int64_t longest_start_ms;
};

/**
 * struct world_load - jobs of steps that follow each other
 * @count: tasks of each step
 * @actual_ms: run time of its tasks; 0: as declared
 * @steps: number of steps; 0: one
 * @spread_ms: run times of different jobs differ by as much, in place of
 *             @actual_ms
 */
struct world_load {
    uint32_t count;
    int64_t cpu_milli;
    int64_t mem_mb;
    int64_t estimate_ms;
    int64_t actual_ms;
    uint32_t steps;
    int64_t spread_ms;
};

/**
 * struct share_world - the load and the pool
 * @jobs: struct world_job by id
 * @backends: struct world_backend
 * @step_ms: time between passes, WORLD_STEP_MS unless set
 * @starts: id of each task in the order of their first starts
 */
struct share_world {
    struct fleet_fixture f;
    struct sched_policy policy;
    struct world_account *accounts;
    size_t n_accounts;
    GHashTable *jobs;
    GPtrArray *backends;
    GPtrArray *starts;
    uint64_t next_job;
    uint32_t term;
    int64_t step_ms;
};

/** share_world_init() - a pool of WORLD_BACKENDS backend servers without jobs;
 * @accounts is borrowed. */
void
share_world_init(struct share_world *world, const struct sched_policy *policy,
                 struct world_account *accounts, size_t n_accounts);
void
share_world_clear(struct share_world *world);

/** share_world_submit() - submit a job; returns 0 if it is accepted, otherwise
 * when its caller is to return. */
int64_t
share_world_submit(struct share_world *world, size_t account,
                   const struct world_load *load);

/** share_world_add() - add a job without asking whether it is refused. */
void
share_world_add(struct share_world *world, size_t account,
                const struct world_load *load);

/** share_world_step() - advance by @step_ms. */
void
share_world_step(struct share_world *world);

/** share_world_fill() - add jobs until @account has @n_waiting waiting. */
void
share_world_fill(struct share_world *world, size_t account, uint32_t n_waiting,
                 const struct world_load *load);

/** share_world_take_over() - a new scheduler takes over; it knows the stored
 * jobs and learns of runs by reports. */
void
share_world_take_over(struct share_world *world);

/** share_world_forget_use() - start measuring @used_millicore_ms again. */
void
share_world_forget_use(struct share_world *world);

#endif
