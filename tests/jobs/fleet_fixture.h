/* A scheduler with recorded orders, for tests of single decisions. */
#ifndef TESTS_JOBS_FLEET_FIXTURE_H
#define TESTS_JOBS_FLEET_FIXTURE_H

#include <glib.h>

#include "core/jobs/scheduler.h"

/** enum command_kind - kind of a recorded order */
enum command_kind {
    COMMAND_START,
    COMMAND_STOP,
    COMMAND_REQUEST_REPORT,
    COMMAND_MOVE,
    COMMAND_REBOOT,
    COMMAND_REQUEST_ADVICE,
    COMMAND_THROTTLE,
};

/**
 * struct order - an order that the scheduler gave; texts are owned
 * @target: backend server or host; for a question about advice the ids of
 *          the backend servers, separated by spaces
 * @task: task, pool, or the step that advice is asked for
 * @ticket: ticket of a start, or NULL
 * @number: number of the run, wave of a reboot, or percent of a pace
 */
struct recorded_command {
    enum command_kind kind;
    uint64_t handle;
    char *target;
    char *task;
    char *ticket;
    uint32_t number;
    int64_t at_ms;
};

/**
 * struct fleet_fixture - the scheduler and what it ordered
 * @now_ms: its clock
 * @incarnation_start_ms: Unix time at which every backend server started
 * @commands: struct order, oldest first
 */
struct fleet_fixture {
    struct scheduler *sched;
    struct fleet_config *config;
    int64_t now_ms;
    int64_t incarnation_start_ms;
    GPtrArray *commands;
};

/** fixture_init() - two pools "p" and "q" with queues of the same names, a
 * spare pool "s", and a client account "t". */
void
fixture_init(struct fleet_fixture *fixture, uint32_t term);
void
fixture_clear(struct fleet_fixture *fixture);

/** fixture_add_backend() - a backend server with 16 cores is listed. */
void
fixture_add_backend(struct fleet_fixture *fixture, const char *id,
                    const char *pool, const char *host);

/** fixture_drain_backend() - it says that it leaves soon. */
void
fixture_drain_backend(struct fleet_fixture *fixture, const char *id,
                      const char *pool, const char *host);

/** fixture_add_hosts() - hosts m0, m1, ... of these pools, NULL-terminated,
 * with backend servers b0, b1, ...; the list of hosts is read. */
void
fixture_add_hosts(struct fleet_fixture *fixture, const char *const *pools);

/** fixture_reconcile() - register backend servers and answer first lists. */
void
fixture_reconcile(struct fleet_fixture *fixture);

/** fixture_add_job() - a job of queue @pool from its steps as JSON. */
struct job *
fixture_add_job(struct fleet_fixture *fixture, const char *id,
                const char *pool, const char *steps);

/** fixture_tick() - advance to @now_ms and decide; stores at once. */
void
fixture_tick(struct fleet_fixture *fixture, int64_t now_ms);

/** fixture_report() - answer of a backend server with these runs and ends */
void
fixture_report(struct fleet_fixture *fixture, const char *id,
               struct reported_run *running, size_t n_running,
               struct run_completion *completions, size_t n_completions);

/** fixture_count() - orders of a kind, to @target if not NULL. */
uint32_t
fixture_count(const struct fleet_fixture *fixture, enum command_kind kind,
              const char *target);

/** fixture_last() - last order of a kind, or NULL. */
const struct recorded_command *
fixture_last(const struct fleet_fixture *fixture, enum command_kind kind);

/** fixture_accept_starts() - acknowledge every start that is open. */
void
fixture_accept_starts(struct fleet_fixture *fixture);

#endif
