/* A scheduler whose commands are recorded, for tests of its decisions. */
#ifndef TESTS_JOBS_FLEET_FIXTURE_H
#define TESTS_JOBS_FLEET_FIXTURE_H

#include <glib.h>

#include "core/jobs/scheduler.h"

/** enum command_kind - kind of a recorded command */
enum command_kind {
    COMMAND_START,
    COMMAND_STOP,
    COMMAND_REQUEST_REPORT,
    COMMAND_MOVE,
    COMMAND_REBOOT,
    COMMAND_REQUEST_ADVICE,
    COMMAND_THROTTLE,
};

enum {
    /* Clocks of backend servers are ahead of the scheduler's by this. */
    FIXTURE_CLOCK_AHEAD_MS = 5000,
};

/**
 * struct recorded_command - a command of the scheduler; owns its strings
 * @target: backend server or host; for a request for advice the ids of the
 *          backend servers, separated by spaces
 * @task: task, pool of a move, or the step that advice is requested for
 * @ticket: ticket of a start, or NULL
 * @number: number of the run, wave of a reboot, or CPU limit in percent
 * @attempt: of a stop
 * @acked_completion: of a request for a report
 * @request: of a request for a report, its identity
 * @token: fencing token of a start, a stop or a request for a report
 * @at_ms: when it was sent, on the fixture's clock
 */
struct recorded_command {
    enum command_kind kind;
    uint64_t handle;
    char *target;
    char *task;
    char *ticket;
    uint32_t number;
    uint32_t attempt;
    int64_t acked_completion;
    struct report_request request;
    int64_t token;
    int64_t at_ms;
};

/**
 * struct fleet_fixture - a scheduler and its recorded commands
 * @now_ms: the scheduler's clock
 * @incarnation_start_ms: Unix time at which every backend server started
 * @refuse_starts: each start is answered at once: it was not sent
 * @starts_end_leadership: the leadership is over when a start is to be sent
 * @withhold_run_numbers: run numbers aren't reserved
 * @commands: struct recorded_command, oldest first
 * @last_event: last event that the scheduler logged, with its fields
 */
struct fleet_fixture {
    struct scheduler *sched;
    struct fleet_config *config;
    int64_t now_ms;
    int64_t incarnation_start_ms;
    bool refuse_starts;
    bool starts_end_leadership;
    bool withhold_run_numbers;
    GPtrArray *commands;
    char *last_event;
};

/** fixture_init() - create two pools "p" and "q" with queues of the same
 * names, a spare pool "s", and a client account "t". */
void
fixture_init(struct fleet_fixture *fixture, uint32_t term);
/** fixture_init_at() - the same, with the scheduler's clock at @now_ms. */
void
fixture_init_at(struct fleet_fixture *fixture, uint32_t term, int64_t now_ms);
void
fixture_clear(struct fleet_fixture *fixture);

/** fixture_set_enforced() - whether backend servers of @pool refuse tasks that
 * exceed their capacity; they do unless set. */
void
fixture_set_enforced(struct fleet_fixture *fixture, const char *pool,
                     bool enforced);

/** fixture_set_queue_priorities() - switch that feature on or off. */
void
fixture_set_queue_priorities(struct fleet_fixture *fixture, bool on);

/** fixture_add_queue() - add a queue of @pool with a priority; those of
 * fixture_init() have the highest, 0. */
void
fixture_add_queue(struct fleet_fixture *fixture, const char *name,
                  const char *pool, int64_t priority);

/** fixture_add_team() - configure a further client account; for jobs of it set
 * the team of a fixture_create_job(). */
void
fixture_add_team(struct fleet_fixture *fixture, const char *name,
                 int64_t weight);

/** fixture_add_backend() - list a backend server with 16 cores. */
void
fixture_add_backend(struct fleet_fixture *fixture, const char *id,
                    const char *pool, const char *host);

/** fixture_resize_backend() - list a backend server with another capacity. */
void
fixture_resize_backend(struct fleet_fixture *fixture, const char *id,
                       const char *pool, const char *host, int64_t cpu_milli);

/** fixture_drain_backend() - list a backend server as draining. */
void
fixture_drain_backend(struct fleet_fixture *fixture, const char *id,
                      const char *pool, const char *host);

/** fixture_add_hosts() - list hosts m0, m1, ... of these pools,
 * NULL-terminated, with backend servers b0, b1, ... */
void
fixture_add_hosts(struct fleet_fixture *fixture, const char *const *pools);

/** fixture_reconcile() - store the registration of backend servers and answer
 * their first report requests with no runs. */
void
fixture_reconcile(struct fleet_fixture *fixture);

/** fixture_create_job() - a job of queue @pool that the scheduler does not
 * know yet; @steps is JSON. */
struct job *
fixture_create_job(struct fleet_fixture *fixture, const char *id,
                   const char *pool, const char *steps);

/** fixture_create_queue_job() - the same, of a queue of another name. */
struct job *
fixture_create_queue_job(struct fleet_fixture *fixture, const char *id,
                         const char *queue, const char *pool,
                         const char *steps);

/** fixture_add_job() - add a job of queue @pool; @steps is JSON. */
struct job *
fixture_add_job(struct fleet_fixture *fixture, const char *id,
                const char *pool, const char *steps);

/** fixture_tick() - advance the clock to @now_ms, let the scheduler decide and
 * store its changes at once. */
void
fixture_tick(struct fleet_fixture *fixture, int64_t now_ms);

/** fixture_answer() - deliver @report as the answer to the latest report
 * request to backend server @id. */
void
fixture_answer(struct fleet_fixture *fixture, const char *id,
               struct run_report report);

/** fixture_report() - deliver a run report of backend server @id as the answer
 * to the latest request. */
void
fixture_report(struct fleet_fixture *fixture, const char *id,
               struct reported_run *running, size_t n_running,
               struct run_completion *completions, size_t n_completions);

/** fixture_answer_stop() - answer the last stop command. */
void
fixture_answer_stop(struct fleet_fixture *fixture, bool acked);

/** fixture_count() - number of commands of a kind, to @target if not NULL. */
uint32_t
fixture_count(const struct fleet_fixture *fixture, enum command_kind kind,
              const char *target);

/** fixture_last() - last command of a kind, or NULL. */
const struct recorded_command *
fixture_last(const struct fleet_fixture *fixture, enum command_kind kind);

/** fixture_accept_starts() - acknowledge every recorded start. */
void
fixture_accept_starts(struct fleet_fixture *fixture);

#endif
