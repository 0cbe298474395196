/* A small simulated pool under load: runs that end after their true duration,
 * and reports with their progress. */
#ifndef TESTS_JOBS_LOAD_WORLD_H
#define TESTS_JOBS_LOAD_WORLD_H

#include "fleet_fixture.h"

enum {
    WORLD_BACKENDS_MAX = 32,
    WORLD_JOBS_MAX = 8000,
    WORLD_SMALL_CPU_MILLI = 4000,
    WORLD_FULL_CPU_MILLI = 16000,
};

/**
 * struct world_backend - a backend server of the pool
 * @runs: struct world_run
 * @ends: struct run_completion of the runs that ended since the last report
 * @report_due_ms: when the open request for a report is answered; 0: none is
 * @lost: it does not answer any more
 */
struct world_backend {
    char id[16];
    GPtrArray *runs;
    GArray *ends;
    int64_t next_completion;
    int64_t report_due_ms;
    bool lost;
};

/** struct world_job - a job of one task; times are 0 before they are known */
struct world_job {
    char id[JOB_ID_CHARS + 1];
    int64_t cpu_milli;
    int64_t estimate_ms;
    int64_t true_ms;
    int64_t accepted_ms;
    int64_t started_ms;
    int64_t ended_ms;
    char started_on[8];
};

/**
 * struct load_world - the scheduler and what it commands
 * @estimate_percent: estimates as a part of the true durations
 * @small_ms: mean true duration of small tasks
 * @seed: state of the generator of arrivals
 * @random_progress: reports show any progress
 * @credit: work that is to arrive, in thousandths of a core times ms
 * @refused: small jobs that were not accepted
 * @commands_seen: commands that were carried out
 * @log: starts so far, to compare two replays
 */
struct load_world {
    struct fleet_fixture fixture;
    struct sched_policy policy;
    uint32_t n_backends;
    struct world_backend backends[WORLD_BACKENDS_MAX];
    uint32_t n_jobs;
    struct world_job jobs[WORLD_JOBS_MAX];
    int32_t estimate_percent;
    int64_t small_ms;
    uint64_t seed;
    bool random_progress;
    double credit;
    uint32_t refused;
    guint commands_seen;
    GString *log;
    uint32_t term;
};

/** world_init() - a pool "p" of @n_backends backend servers of 16 cores. */
void
world_init(struct load_world *world, uint32_t n_backends,
           int32_t estimate_percent, const struct sched_policy *policy);
void
world_clear(struct load_world *world);

/** world_run() - let @duration_ms pass, with small tasks arriving at
 * @load_percent of the pool's capacity. */
void
world_run(struct load_world *world, int64_t duration_ms, int32_t load_percent);

/** world_add_job() - a job of one task that runs for @true_ms, which is
 * accepted whatever the load is; returns its index. */
uint32_t
world_add_job(struct load_world *world, int64_t cpu_milli, int64_t true_ms);

/** world_lose() - a backend server is gone from now on. */
void
world_lose(struct load_world *world, const char *id);

/** world_take_over() - another scheduler learns all from records and reports.
 */
void
world_take_over(struct load_world *world);

/** world_objective_ms() - objective of a job, from its estimate. */
int64_t
world_objective_ms(const struct world_job *job);

/** world_small_wait_ms() - mean time from acceptance to start, or to now, of
 * the small jobs that were accepted in an interval of the fixture's clock. */
double
world_small_wait_ms(const struct load_world *world, int64_t from_ms,
                    int64_t until_ms);

/** world_reserved() - a backend server with a reservation, or NULL. */
const char *
world_reserved(const struct load_world *world);

#endif
