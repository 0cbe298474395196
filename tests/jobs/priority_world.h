/* Simulated backend servers of one pool with queues of three priorities, for
 * replays of loads in which tasks preempt runs. */
#ifndef TESTS_JOBS_PRIORITY_WORLD_H
#define TESTS_JOBS_PRIORITY_WORLD_H

#include "fleet_fixture.h"

/* Ids of jobs. */
#define HIGH_JOB "00000000000000a0"
#define LOW_JOB "00000000000000b0"

enum {
    PASS_MS = 20,
    /* Shorter than the bound that the scheduler knows, 500 ms. */
    STOP_TAKES_MS = 150,
    BACKEND_COUNT = 4,
    REPORTS_MAX = 64,
    /* As the objective of a queue of the fixture. */
    OBJECTIVE_MS = 600,
    /* Longer than every job of a test that is not blocked. */
    LONG_MS = 90000,
};

/** struct sim_run - a run on a simulated backend server */
struct sim_run {
    uint32_t backend;
    char task[JOB_ID_CHARS + 48];
    uint32_t number;
    int64_t started_ms;
    int64_t ends_ms;
    int64_t stops_ms;
    char saved[16];
    bool ended;
};

/**
 * struct world - simulated backend servers b0, b1, ...
 * @seen: commands that were carried out
 * @completions: number of the last completion of each
 * @true_percent: true run time, in percent of the estimate
 * @reports_percent: reports show progress
 * @refused: job whose next start is refused; NULL: none
 * @stopped: runs that ended by a stop
 * @done: runs that ended by themselves
 */
struct world {
    struct fleet_fixture f;
    guint seen;
    GArray *runs;
    int64_t completions[BACKEND_COUNT];
    int64_t true_percent;
    bool reports_percent;
    const char *refused;
    uint32_t stopped;
    uint32_t done;
};

/** world_add_queues() - add the queues "high", "low" and "lowest" of pool "p"
 * and switch queue priorities on or off. */
void
world_add_queues(struct fleet_fixture *f, bool priorities);

/** world_init() - four backend servers of 16 cores, reconciled. */
void
world_init(struct world *world, bool priorities);

void
world_clear(struct world *world);

/** world_add_job() - add a job of @queue; @steps is JSON. */
struct job *
world_add_job(struct world *world, const char *id, const char *queue,
              const char *steps);

/** world_find_run() - a run that has not ended, or NULL. */
struct sim_run *
world_find_run(const struct world *world, const char *task, uint32_t number);

/** world_pass() - let PASS_MS pass: the scheduler decides, its commands are
 * carried out, and all backend servers report. */
void
world_pass(struct world *world);

/** world_run_for() - passes for @duration_ms. */
void
world_run_for(struct world *world, int64_t duration_ms);

/** world_starts_of() - number of starts of tasks whose names begin with @id.
 */
uint32_t
world_starts_of(const struct world *world, const char *id);

/** world_stops() - number of stop commands. */
uint32_t
world_stops(const struct world *world);

/** world_wait_for_start() - passes until @count tasks of job @id have started,
 * at most for @most_ms; returns how long that took, or -1. */
int64_t
world_wait_for_start(struct world *world, const char *id, uint32_t count,
                     int64_t most_ms);

/** world_fill() - fill all backend servers with sixteen tasks of four cores;
 * @options: further members of the step, each after a comma. */
struct job *
world_fill(struct world *world, const char *id, const char *queue,
           const char *options);

extern const char four_cores[];
extern const char whole_backend[];

#endif
