/* Backend servers that carry out the scheduler's commands, and that crash. */
#ifndef TESTS_JOBS_CRASH_WORLD_H
#define TESTS_JOBS_CRASH_WORLD_H

#include <glib.h>

#include "fleet_fixture.h"

enum {
    WORLD_BACKENDS_MAX = 12,
    WORLD_JOBS_MAX = 64,
    WORLD_HOST_BYTES = 16,
    WORLD_ID_BYTES = 32,
};

/** struct world_run - a run on a backend server */
struct world_run {
    char *task;
    uint32_t number;
    int64_t started_ms;
};

/**
 * struct world_backend - a host and its current incarnation
 * @down_until_ms: when the next incarnation starts; 0: it runs
 * @cut_until_ms: it gets no commands and its answers are lost until then
 * @crash_ms: when a run that was started here ends it; 0: never
 * @runs: struct world_run
 * @completions: struct run_completion, owning their tasks
 * @report_due_ms: when its report is answered; 0: no request
 * @recorded: id that the store has of it
 * @recorded_start_ms: start of that incarnation
 * @crashed_ms: when its last incarnation ended
 */
struct world_backend {
    char id[WORLD_ID_BYTES];
    char host[WORLD_HOST_BYTES];
    uint32_t incarnation;
    int64_t incarnation_start_ms;
    int64_t down_until_ms;
    int64_t cut_until_ms;
    int64_t crash_ms;
    GPtrArray *runs;
    GArray *completions;
    int64_t report_due_ms;
    char recorded[WORLD_ID_BYTES];
    int64_t recorded_start_ms;
    int64_t crashed_ms;
};

/**
 * struct world_job - a job, and how its tasks behave
 * @poison: its first task crashes each backend server that starts it
 * @run_ms: how long its tasks run; 0: until they are stopped
 * @starts: starts of its first task
 * @crashes: backend servers that crashed under its first task
 * @longest_away_ms: longest time from a crash to the next start
 * @record: what the last leader stored of it, if there is none now
 */
struct world_job {
    char id[JOB_ID_CHARS + 1];
    const char *steps;
    struct job *job;
    bool poison;
    int64_t run_ms;
    uint32_t starts;
    uint32_t crashes;
    uint32_t starts_after_third_crash;
    int64_t last_start_ms;
    int64_t longest_away_ms;
    char *record;
};

/**
 * struct world - a fleet with one pool "p"
 * @processed: commands that were carried out
 * @crash_delay_ms: time between the start of a poison task and the crash
 * @restart_ms: time after which a crashed backend server is back
 * @same_id: it is back under the id that it had
 * @answers_lost: starts of poison tasks get no answer
 */
struct world {
    struct fleet_fixture f;
    struct world_backend backends[WORLD_BACKENDS_MAX];
    uint32_t n_backends;
    struct world_job jobs[WORLD_JOBS_MAX];
    uint32_t n_jobs;
    guint processed;
    uint32_t term;
    int64_t crash_delay_ms;
    int64_t restart_ms;
    bool same_id;
    bool answers_lost;
    uint32_t down_most;
};

void
world_init(struct world *world, uint32_t n_backends);
void
world_clear(struct world *world);

/** world_add_job() - submit a job; if @poison, its first task crashes each
 * backend server that starts it. */
struct world_job *
world_add_job(struct world *world, const char *steps, bool poison,
              int64_t run_ms);

/** world_run() - let @duration_ms pass. */
void
world_run(struct world *world, int64_t duration_ms);

/** world_crash() - end the incarnation of backend server @index. */
void
world_crash(struct world *world, uint32_t index);

/** world_run_without_leader() - let @duration_ms pass after the leader has
 * ended; a takeover has to follow. */
void
world_run_without_leader(struct world *world, int64_t duration_ms);

/** world_take_over() - a new leader that knows the stored records only. */
void
world_take_over(struct world *world);

#endif
