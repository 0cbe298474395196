/* A scheduler with recorded orders, for tests of single decisions. */
#ifndef TESTS_JOBS_FLEET_FIXTURE_H
#define TESTS_JOBS_FLEET_FIXTURE_H

#include <glib.h>

#include "core/jobs/scheduler.h"

/** enum order_kind - kind of a recorded order */
enum order_kind {
    ORDER_START,
    ORDER_STOP,
    ORDER_LIST,
    ORDER_MOVE,
    ORDER_REBOOT,
    ORDER_ADVISE,
    ORDER_PACE,
};

/**
 * struct order - an order that the scheduler gave; texts are owned
 * @target: backend server or host; for a question about advice the ids of
 *          the backend servers, separated by spaces
 * @task: task, pool, or the step that advice is asked for
 * @ticket: ticket of a start, or NULL
 * @number: number of the run, wave of a reboot, or percent of a pace
 */
struct order {
    enum order_kind kind;
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
 * @born_ms: Unix time at which every backend server started
 * @orders: struct order, oldest first
 */
struct fleet_fixture {
    struct scheduler *sched;
    struct fleet_config *config;
    int64_t now_ms;
    int64_t born_ms;
    GPtrArray *orders;
};

/** fixture_init() - two pools "p" and "q" with queues of the same names, a
 * spare pool "s", and a client account "t". */
void
fixture_init(struct fleet_fixture *fixture, uint32_t term);
void
fixture_clear(struct fleet_fixture *fixture);

/** fixture_backend() - a backend server with 16 cores is listed. */
void
fixture_backend(struct fleet_fixture *fixture, const char *id,
                const char *pool, const char *host);

/** fixture_backend_drains() - it says that it leaves soon. */
void
fixture_backend_drains(struct fleet_fixture *fixture, const char *id,
                       const char *pool, const char *host);

/** fixture_hosts() - hosts m0, m1, ... of these pools, NULL-terminated, with
 * backend servers b0, b1, ...; the list of hosts is read. */
void
fixture_hosts(struct fleet_fixture *fixture, const char *const *pools);

/** fixture_settle() - register backend servers and answer first lists. */
void
fixture_settle(struct fleet_fixture *fixture);

/** fixture_job() - a job of queue @pool from its steps as JSON. */
struct job *
fixture_job(struct fleet_fixture *fixture, const char *id, const char *pool,
            const char *steps);

/** fixture_tick() - advance to @now_ms and decide; stores at once. */
void
fixture_tick(struct fleet_fixture *fixture, int64_t now_ms);

/** fixture_lists() - answer of a backend server with these runs and ends */
void
fixture_lists(struct fleet_fixture *fixture, const char *id,
              struct reported_run *running, size_t n_running,
              struct run_completion *ends, size_t n_completions);

/** fixture_count() - orders of a kind, to @target if not NULL. */
uint32_t
fixture_count(const struct fleet_fixture *fixture, enum order_kind kind,
              const char *target);

/** fixture_last() - last order of a kind, or NULL. */
const struct order *
fixture_last(const struct fleet_fixture *fixture, enum order_kind kind);

/** fixture_accept_starts() - acknowledge every start that is open. */
void
fixture_accept_starts(struct fleet_fixture *fixture);

#endif
