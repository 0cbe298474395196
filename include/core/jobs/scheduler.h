/*
 * Scheduler of jobs: which task runs where, what is stopped, and which host
 * serves which pool. Pure: orders leave through callbacks, answers come back
 * as events, and time is injected.
 */
#ifndef CORE_JOBS_SCHEDULER_H
#define CORE_JOBS_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/ms_clock.h"
#include "core/jobs/backend.h"
#include "core/jobs/fleet_config.h"
#include "core/jobs/job.h"

/**
 * struct sched_timings - bounds given by the platform's settings
 * @lease_max_ms: longest lease that a backend server grants
 * @stop_ms: longest time that a stop takes
 * @move_ms: time that a host is unavailable while it moves
 * @reboot_ms: time that a host is unavailable for maintenance
 * @command_gap_ms: wait after a takeover before orders about hosts
 * @retention_ms: how long a finished job stays readable
 * @host_commands_per_s: orders about hosts that the platform accepts a second
 */
struct sched_timings {
    int64_t lease_max_ms;
    int64_t stop_ms;
    int64_t move_ms;
    int64_t reboot_ms;
    int64_t command_gap_ms;
    int64_t retention_ms;
    double host_commands_per_s;
};

/**
 * struct start_command - a task to start
 * @backend: where
 * @handle: handle of the run, to be given back with the answer
 * @run: the run
 * @until_ms: end of its lease on the backend server's clock
 * @ticket: proof that the queue's policy allows it, or NULL
 */
struct start_command {
    struct backend *backend;
    uint64_t handle;
    const struct run *run;
    int64_t until_ms;
    const char *ticket;
};

/**
 * struct stop_command - a run to stop
 * @backend: where
 * @handle: handle of the run; 0: a run that is not tracked
 * @task: name of the task, JOB.OCCURRENCE.STEP.INDEX
 * @number: number of the run
 */
struct stop_command {
    struct backend *backend;
    uint64_t handle;
    const char *task;
    uint32_t number;
};

/**
 * struct throttle_command - how much of its speed a run may use
 * @percent: 0 to 100
 */
struct throttle_command {
    struct backend *backend;
    uint64_t handle;
    const char *task;
    uint32_t number;
    int32_t percent;
};

/**
 * struct sched_ops - how the scheduler's orders leave; all share @ctx
 * @start: start a task; answer through scheduler_on_start()
 * @stop: stop a run; answer through scheduler_on_stop()
 * @throttle: slow a run down or let it go; answer through
 * scheduler_on_throttle()
 * @request_report: read the lists of a backend server; @until_ms 0 renews
 * nothing; answer through scheduler_on_report()
 * @store: there is something to store, see scheduler_store.h
 * @move_host: move a host to a pool; answer through
 * scheduler_on_host_command()
 * @reboot_host: start a host's maintenance; answer likewise
 * @request_advice: ask which of @backend_ids, NULL-terminated, may run @step,
 * named JOB.OCCURRENCE.STEP; answer through scheduler_on_advice(). NULL:
 *          nobody can be asked
 * @log_event: one decision for the log; @fields is the inside of a JSON object
 */
struct sched_ops {
    void (*start)(void *ctx, const struct start_command *order);
    void (*stop)(void *ctx, const struct stop_command *order);
    void (*throttle)(void *ctx, const struct throttle_command *order);
    void (*request_report)(void *ctx, struct backend *backend,
                           int64_t until_ms, int64_t acked_completion,
                           int64_t wait_ms);
    void (*store)(void *ctx);
    void (*move_host)(void *ctx, const char *host, const char *pool);
    void (*reboot_host)(void *ctx, const char *host, int64_t wave);
    void (*request_advice)(void *ctx, const char *step,
                           const char *const *backend_ids);
    void (*log_event)(void *ctx, const char *event, const char *fields);
    void *ctx;
};

/**
 * enum start_answer - what a backend server said to a start
 * @START_NO_ANSWER: it may be carried out, also later
 * @START_REFUSED: certainly not carried out
 * @START_NO_CAPACITY: refused for want of room
 * @START_NO_TICKET: refused for want of a valid ticket
 * @START_STALE_RUN_NUMBER: refused, a run with this or a higher number ended
 * here
 * @START_FENCED: a newer scheduler gives orders here
 * @START_OTHER_INCARNATION: the addressed incarnation of the backend server is
 * over
 */
enum start_answer {
    START_DONE,
    START_NO_ANSWER,
    START_REFUSED,
    START_NO_CAPACITY,
    START_NO_TICKET,
    START_STALE_RUN_NUMBER,
    START_FENCED,
    START_OTHER_INCARNATION,
};

/** enum completion_reason - how a run ended */
enum completion_reason {
    END_DONE,
    END_FAILED,
    END_STOPPED,
    END_LEASE_EXPIRED,
    END_BROKEN,
    END_GANG_INCOMPLETE,
};

/**
 * struct reported_run - a run that a backend server lists
 * @task: JOB.OCCURRENCE.STEP.INDEX
 * @number: number of the run
 * @saved: last checkpoint, empty if none
 * @percent: progress
 * @load_metric: rough tail in ms of a serving task, else processor in use
 */
struct reported_run {
    const char *task;
    uint32_t number;
    const char *saved;
    int32_t percent;
    int64_t load_metric;
};

/**
 * struct run_completion - an end that a backend server lists
 * @number: number of the end
 * @task: JOB.OCCURRENCE.STEP.INDEX
 * @run: number of the run
 * @reason: how it ended
 * @saved: last checkpoint, empty if none
 */
struct run_completion {
    int64_t number;
    const char *task;
    uint32_t run;
    enum completion_reason reason;
    const char *saved;
};

/** enum report_outcome - result of reading a backend server's lists */
enum report_outcome {
    REPORT_READ,
    REPORT_NO_ANSWER,
    REPORT_FENCED,
    REPORT_OTHER_INCARNATION,
};

/**
 * struct run_report - lists of a backend server
 * @incarnation_start_ms: start of the incarnation that answered; 0: not told
 * @clock_ms: its clock
 */
struct run_report {
    enum report_outcome outcome;
    int64_t incarnation_start_ms;
    int64_t clock_ms;
    struct reported_run *running;
    size_t n_running;
    struct run_completion *completions;
    size_t n_completions;
};

struct scheduler;

/**
 * scheduler_create() - scheduler without jobs or backend servers
 * @term: counts takeovers; keeps run numbers of schedulers apart
 * @clock: time that also counts while the machine is frozen
 * @unix_clock: Unix time in ms
 */
struct scheduler *
scheduler_create(const struct sched_timings *timings,
                 const struct sched_ops *ops, uint32_t term,
                 struct ms_clock clock, struct ms_clock unix_clock);
void
scheduler_destroy(struct scheduler *sched);

/** scheduler_configure() - put a configuration in force; borrowed. */
void
scheduler_configure(struct scheduler *sched,
                    const struct fleet_config *config);

/** scheduler_set_out_of_service() - data centres that get nothing;
 * NULL-terminated. */
void
scheduler_set_out_of_service(struct scheduler *sched, char **data_centres);

/** scheduler_set_leadership_valid() - whether orders may be given at this
 * moment. */
void
scheduler_set_leadership_valid(struct scheduler *sched, bool valid);

/** scheduler_set_outage() - grant the longest leases while it lasts. */
void
scheduler_set_outage(struct scheduler *sched, bool outage);

/** scheduler_backend_seen() - an entry of the host list, new or changed. */
void
scheduler_backend_seen(struct scheduler *sched,
                       const struct backend_entry *entry);

/** scheduler_backend_gone() - an entry left the host list. */
void
scheduler_backend_gone(struct scheduler *sched, const char *id);

/**
 * scheduler_backend_inherited() - a backend server on which the scheduler
 * before may have started runs
 * @lease_ms: longest lease that it may have granted
 */
void
scheduler_backend_inherited(struct scheduler *sched,
                            const struct backend_entry *entry,
                            int64_t lease_ms);

/** scheduler_longest_lease_ms() - longest lease that may still be open. */
int64_t
scheduler_longest_lease_ms(const struct scheduler *sched);

/** scheduler_backend_ids() - ids of all that are in the host list. */
GPtrArray *
scheduler_backend_ids(const struct scheduler *sched);

/** scheduler_add_job() - take over a stored job; keeps a reference. */
void
scheduler_add_job(struct scheduler *sched, struct job *job);

/** scheduler_find_job() - job with @id, or NULL. */
struct job *
scheduler_find_job(const struct scheduler *sched, const char *id);

/** scheduler_cancel() - cancel a job; true if it is known. */
bool
scheduler_cancel(struct scheduler *sched, const char *id);

/** scheduler_waiting() - jobs of @queue of which no task has started. */
int64_t
scheduler_waiting(const struct scheduler *sched, const char *queue);

void
scheduler_on_start(struct scheduler *sched, uint64_t handle,
                   enum start_answer answer, int64_t clock_ms);
void
scheduler_on_stop(struct scheduler *sched, uint64_t handle, bool acked);
void
scheduler_on_throttle(struct scheduler *sched, uint64_t handle,
                      int32_t percent, bool acked);
void
scheduler_on_report(struct scheduler *sched, const char *backend_id,
                    const struct run_report *report);

/** struct advice_row - a backend server that may run the step */
struct advice_row {
    const char *backend_id;
    const char *ticket;
};

/**
 * struct advice_answer - answer to a call about advice
 * @given: there is one; otherwise the call is made again
 * @valid_ms: how long the tickets hold
 */
struct advice_answer {
    bool given;
    int64_t valid_ms;
    const struct advice_row *rows;
    size_t n_rows;
};

void
scheduler_on_advice(struct scheduler *sched,
                    const struct advice_answer *answer);

/** scheduler_tick() - decide; returns the time of the next tick. */
int64_t
scheduler_tick(struct scheduler *sched);

/** scheduler_fenced() - whether a newer scheduler was met. */
bool
scheduler_fenced(const struct scheduler *sched);

/**
 * struct sched_stats - figures for metrics and peers
 */
struct sched_stats {
    uint32_t jobs_active;
    uint32_t runs;
    uint32_t backends;
    uint32_t backends_unreconciled;
    uint64_t started;
    uint64_t done;
    uint64_t failed;
    uint64_t lost;
};

void
scheduler_stats(const struct scheduler *sched, struct sched_stats *figures);

/* What has to be stored. */

/**
 * struct store_batch - changes that go into one transaction
 * @jobs: struct job, referenced, with a progress to store
 * @versions: version of each at the time of the batch
 * @register_ids: backend servers to register
 * @release_ids: backend servers whose record goes
 * @expire_ids: finished jobs whose records go
 */
struct store_batch {
    GPtrArray *jobs;
    GArray *versions;
    GPtrArray *register_ids;
    GPtrArray *release_ids;
    GPtrArray *expire_ids;
};

/** scheduler_take_batch() - next changes, at most @most; NULL if none. */
struct store_batch *
scheduler_take_batch(struct scheduler *sched, uint32_t most);

/** scheduler_take_progress() - the same with nothing but progress of jobs:
 * it depends on no other batch, so several may be under way. */
struct store_batch *
scheduler_take_progress(struct scheduler *sched, uint32_t most);

/** scheduler_batch_stored() - a batch was stored at @revision or, with
 * @stored false, was not; frees it. */
void
scheduler_batch_stored(struct scheduler *sched, struct store_batch *batch,
                       bool stored, int64_t revision);

/** scheduler_find_backend() - backend server with @id, or NULL. */
struct backend *
scheduler_find_backend(const struct scheduler *sched, const char *id);

/* Hosts. */

/**
 * struct host_wave - maintenance that the operator asked for
 * @number: its number
 * @hosts: hosts, NULL-terminated
 * @most: hosts that may be unavailable for it at once
 * @within_ms: time in which it should be complete
 * @seen_ms: when the order was first seen, on the scheduler's clock
 */
struct host_wave {
    int64_t number;
    char **hosts;
    int64_t max_unavailable;
    int64_t within_ms;
    int64_t seen_ms;
};

/**
 * struct host_info - a host as the platform lists it
 * @host: its name
 * @pool: its pool
 * @backend_id: the backend server that is its present incarnation, may be NULL
 * @up: it runs and is neither moving nor rebooting
 * @unavailable: it is moving or rebooting, so that its last incarnation has
 * ended
 */
struct host_info {
    const char *host;
    const char *pool;
    const char *backend_id;
    const char *data_centre;
    bool up;
    bool unavailable;
};

/** scheduler_hosts_read() - the whole list of hosts was read. */
void
scheduler_hosts_read(struct scheduler *sched, const struct host_info *hosts,
                     size_t n_hosts);

/** scheduler_host_commanded_before() - the holder before may have given an
 * order about this host shortly before the takeover. */
void
scheduler_host_commanded_before(struct scheduler *sched, const char *host);

/** scheduler_wave_set() - a wave was ordered or changed; idempotent. */
void
scheduler_wave_set(struct scheduler *sched, const struct host_wave *wave);

/** scheduler_wave_host_started() - an earlier scheduler stored that the
 * maintenance of @host in wave @number was accepted. */
void
scheduler_wave_host_started(struct scheduler *sched, int64_t number,
                            const char *host);

/** scheduler_wave_started_hosts() - hosts of a wave whose maintenance was
 * accepted, separated by spaces; g_free(). */
char *
scheduler_wave_started_hosts(const struct scheduler *sched, int64_t number);

/** scheduler_wave_done() - whether every host of the wave was maintained. */
bool
scheduler_wave_done(const struct scheduler *sched, int64_t number);

/** enum host_command_result - result of an order about a host */
enum host_command_result {
    HOST_COMMAND_DONE,
    HOST_COMMAND_REFUSED,
    HOST_COMMAND_NOT_WANTED,
    HOST_COMMAND_UNKNOWN,
};

/** scheduler_on_host_command() - answer to a move (@wave 0) or a reboot. */
void
scheduler_on_host_command(struct scheduler *sched, const char *host,
                          int64_t wave, enum host_command_result answer);

#endif
