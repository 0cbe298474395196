/*
 * Job scheduler: decides which task runs where, what is stopped, and which
 * host serves which pool. Does no I/O: commands leave through callbacks,
 * answers come back as events, and time is injected.
 */
#ifndef CORE_JOBS_SCHEDULER_H
#define CORE_JOBS_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/ms_clock.h"
#include "core/jobs/backend.h"
#include "core/jobs/fleet_config.h"
#include "core/jobs/job.h"
#include "core/jobs/overload.h"
#include "core/jobs/sched_policy.h"

enum {
    /* Longest lease that any version of this program has granted. Records of
     * earlier versions may name a longer one, or none. */
    SCHED_ANY_LEASE_MAX_MS = 8500,
};

/**
 * struct sched_timings - limits given by the platform's settings
 * @lease_max_ms: longest lease that a backend server accepts
 * @stop_ms: longest time that a stop takes
 * @cancel_ms: after that time an acknowledged cancel has to bind
 * @move_ms: time that a host is unavailable while it moves
 * @reboot_ms: time that a host is unavailable for maintenance
 * @command_gap_ms: delay of host commands after a takeover
 * @retention_ms: how long after its end a job stays readable
 * @host_commands_per_s: host commands that the platform accepts per second
 */
struct sched_timings {
    int64_t lease_max_ms;
    int64_t stop_ms;
    int64_t cancel_ms;
    int64_t move_ms;
    int64_t reboot_ms;
    int64_t command_gap_ms;
    int64_t retention_ms;
    double host_commands_per_s;
};

/**
 * struct start_command - a task to start
 * @backend: backend server that is to run it
 * @handle: handle of the run, to be passed back with the answer
 * @run: the run
 * @until_ms: end of its lease, on the backend server's clock
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
 * @backend: backend server that it runs on
 * @handle: handle of the run; 0: a run that is not tracked
 * @attempt: counts the stop commands of the run; handed back with the answer
 * @task: name of the task, JOB.OCCURRENCE.STEP.INDEX
 * @number: number of the run
 */
struct stop_command {
    struct backend *backend;
    uint64_t handle;
    uint32_t attempt;
    const char *task;
    uint32_t number;
};

/**
 * struct throttle_command - CPU limit to set on a run
 * @percent: limit in percent of full speed, 0 to 100
 */
struct throttle_command {
    struct backend *backend;
    uint64_t handle;
    const char *task;
    uint32_t number;
    int32_t percent;
};

/**
 * struct sched_ops - how the scheduler's commands leave; all get @ctx
 * @start: start a task; answer through scheduler_on_start()
 * @stop: stop a run; answer through scheduler_on_stop()
 * @throttle: set the CPU limit of a run; answer through
 *            scheduler_on_throttle()
 * @request_report: request the run report of a backend server and renew its
 *                  lease until @until_ms, 0: no renewal; answer through
 *                  scheduler_on_report(), with a copy of @request
 * @store: there is something to store, see scheduler_take_batch()
 * @move_host: move a host to a pool; answer through
 *             scheduler_on_host_command()
 * @reboot_host: start a host's maintenance; answer likewise
 * @request_advice: request which of @backend_ids, NULL-terminated, may run
 *                  @step, named JOB.OCCURRENCE.STEP; answer through
 *                  scheduler_on_advice(). NULL: advice is not available
 * @log_event: log one decision; @fields is the inside of a JSON object
 */
struct sched_ops {
    void (*start)(void *ctx, const struct start_command *command);
    void (*stop)(void *ctx, const struct stop_command *command);
    void (*throttle)(void *ctx, const struct throttle_command *command);
    void (*request_report)(void *ctx, struct backend *backend,
                           const struct report_request *request,
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
 * enum start_answer - a backend server's answer to a start command
 * @START_NO_ANSWER: it may be carried out, also later, and also by an
 *                   incarnation that nobody has noticed
 * @START_NO_ANSWER_KNOWN: the same, but its connection was answered before, so
 *                         by no incarnation that has started since
 * @START_NOT_SENT: dropped before it was sent, so it is never carried out
 * @START_REFUSED: certainly not carried out
 * @START_NO_CAPACITY: refused for lack of free capacity
 * @START_NO_TICKET: refused for lack of a valid ticket
 * @START_STALE_RUN_NUMBER: refused, a run with this or a higher number ended
 *                          here
 * @START_FENCED: a newer scheduler sends commands here
 * @START_OTHER_INCARNATION: the addressed incarnation of the backend server is
 *                           over
 */
enum start_answer {
    START_DONE,
    START_NO_ANSWER,
    START_NO_ANSWER_KNOWN,
    START_NOT_SENT,
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
 * struct reported_run - a run in a run report
 * @task: JOB.OCCURRENCE.STEP.INDEX
 * @number: number of the run
 * @saved: last checkpoint, empty if none
 * @percent: progress
 * @load_metric: approximate tail latency in ms of a latency-sensitive task,
 *               otherwise processor use
 */
struct reported_run {
    const char *task;
    uint32_t number;
    const char *saved;
    int32_t percent;
    int64_t load_metric;
};

/**
 * struct run_completion - end of a run in a run report
 * @number: number of the completion
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

/** enum report_outcome - result of a report request */
enum report_outcome {
    REPORT_READ,
    REPORT_NO_ANSWER,
    REPORT_FENCED,
    REPORT_OTHER_INCARNATION,
};

/**
 * struct run_report - runs and completions on a backend server
 * @request: the request that it answers
 * @incarnation_start_ms: start of the incarnation that answered; 0: unknown
 * @clock_ms: its clock
 * @error: why an answer counts as none, with the position in it, or NULL
 */
struct run_report {
    struct report_request request;
    enum report_outcome outcome;
    const char *error;
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
 * @term: counts takeovers; keeps run numbers of successive leaders apart. A
 *        leader's is above those that its predecessors have reserved
 * @clock: time that also passes while the machine is suspended
 * @unix_clock: Unix time in ms
 */
struct scheduler *
scheduler_create(const struct sched_timings *timings,
                 const struct sched_ops *ops, uint32_t term,
                 struct ms_clock clock, struct ms_clock unix_clock);
void
scheduler_destroy(struct scheduler *sched);

/** scheduler_set_policy() - switch features on or off; all are off before. */
void
scheduler_set_policy(struct scheduler *sched,
                     const struct sched_policy *policy);

/** scheduler_configure() - make @config the active configuration; borrowed. */
void
scheduler_configure(struct scheduler *sched,
                    const struct fleet_config *config);

/**
 * scheduler_set_out_of_service() - data centres that get no new work;
 * NULL-terminated.
 */
void
scheduler_set_out_of_service(struct scheduler *sched, char **data_centres);

/** scheduler_set_leadership_valid() - whether commands may be sent now. */
void
scheduler_set_leadership_valid(struct scheduler *sched, bool valid);

/**
 * scheduler_set_outage() - a store outage begins or ends; while it lasts,
 * leases of the longest duration are granted.
 */
void
scheduler_set_outage(struct scheduler *sched, bool outage);

/**
 * scheduler_backend_updated() - an entry was added to the host list or
 * changed; that of an incarnation that started before the known one is
 * ignored.
 */
void
scheduler_backend_updated(struct scheduler *sched,
                          const struct backend_entry *entry);

/** scheduler_backend_removed() - an entry was removed from the host list. */
void
scheduler_backend_removed(struct scheduler *sched, const char *id);

/**
 * scheduler_backend_inherited() - add a backend server on which a previous
 * leader may have started runs
 * @lease_ms: longest lease that it may have granted
 */
void
scheduler_backend_inherited(struct scheduler *sched,
                            const struct backend_entry *entry,
                            int64_t lease_ms);

/** sched_timings_lease_ms() - longest lease that a scheduler grants. */
int64_t
sched_timings_lease_ms(const struct sched_timings *timings);

/**
 * struct open_leases - leases that may still run when the next leader takes
 * over, in its own time
 * @longest_ms: the longest on any backend server but those in @silent_ids
 * @silent_ids: backend servers that this leader has granted none, as they have
 *              given it no answer
 * @silent_left_ms: int64_t, how long leases of earlier leaders may still run
 *                  on each of them
 */
struct open_leases {
    int64_t longest_ms;
    GPtrArray *silent_ids;
    GArray *silent_left_ms;
};

/** scheduler_longer_leases() - earlier leaders may have granted leases of up
 * to
 * @lease_ms; once they are over, the list of open leases says so. */
void
scheduler_longer_leases(struct scheduler *sched, int64_t lease_ms);

/** scheduler_open_leases_due() - whether the stored list of open leases is
 * outdated. */
bool
scheduler_open_leases_due(const struct scheduler *sched);

/**
 * scheduler_open_leases() - the list, to be stored
 * @last: this scheduler grants no lease any more
 *
 * Until a later list is stored, those that it names are granted none. Free
 * with open_leases_destroy().
 */
struct open_leases *
scheduler_open_leases(struct scheduler *sched, bool last);

void
open_leases_destroy(struct open_leases *leases);

/** scheduler_open_leases_stored() - the list that was made last is stored. */
void
scheduler_open_leases_stored(struct scheduler *sched);

/** scheduler_lease_left() - the previous leader has granted backend server
 * @id none; those of earlier ones are over after @left_ms. */
void
scheduler_lease_left(struct scheduler *sched, const char *id, int64_t left_ms);

/** scheduler_backend_ids() - ids of all backend servers in the host list. */
GPtrArray *
scheduler_backend_ids(const struct scheduler *sched);

/** scheduler_add_job() - add a stored job; keeps a reference. */
void
scheduler_add_job(struct scheduler *sched, struct job *job);

/** scheduler_pool_behind() - whether some new job of @pool might be refused.
 */
bool
scheduler_pool_behind(struct scheduler *sched, const char *pool);

/**
 * scheduler_refusal_ms() - 0: accept @job, which isn't added yet; otherwise it
 * would finish too late to be of use, and its caller should return after this
 * time.
 */
int64_t
scheduler_refusal_ms(struct scheduler *sched, const char *pool,
                     const struct job *job);

/** scheduler_find_job() - job with @id, or NULL. */
struct job *
scheduler_find_job(const struct scheduler *sched, const char *id);

/** scheduler_cancel() - cancel a job; true if it is known. */
bool
scheduler_cancel(struct scheduler *sched, const char *id);

/**
 * scheduler_cancels_read() - every cancel that was acknowledged before
 * @requested_ms, on the scheduler's clock, has been passed to
 * scheduler_cancel() if its job is known.
 *
 * Once this has been called, nothing starts when the last such time is too
 * long ago. A scheduler for which it is never called has no other source of
 * cancels.
 */
void
scheduler_cancels_read(struct scheduler *sched, int64_t requested_ms);

/** scheduler_waiting() - number of jobs of @queue without a started task. */
int64_t
scheduler_waiting(const struct scheduler *sched, const char *queue);

void
scheduler_on_start(struct scheduler *sched, uint64_t handle,
                   enum start_answer answer, int64_t clock_ms);

/**
 * scheduler_term_wanted() - last term whose run numbers are to be reserved in
 * the store; 0: enough are
 */
uint32_t
scheduler_term_wanted(const struct scheduler *sched);

/** scheduler_term_reserved() - it is stored that the run numbers up to those
 * of @term are this leader's. */
void
scheduler_term_reserved(struct scheduler *sched, uint32_t term);

/** scheduler_start_waits() - whether tasks wait until start commands are
 * answered. */
bool
scheduler_start_waits(const struct scheduler *sched);

/**
 * scheduler_may_start() - whether a start command that waited to be sent is
 * still wanted, by what is known now; asked right before it is sent.
 */
bool
scheduler_may_start(const struct scheduler *sched, uint64_t handle);

/** scheduler_start_sent() - a start command is sent; @known: on a connection
 * that no later incarnation of the backend server can have. */
void
scheduler_start_sent(struct scheduler *sched, uint64_t handle, bool known);

/** scheduler_on_stop() - answer to stop command @attempt of a run. */
void
scheduler_on_stop(struct scheduler *sched, uint64_t handle, uint32_t attempt,
                  bool acked);
void
scheduler_on_throttle(struct scheduler *sched, uint64_t handle,
                      int32_t percent, bool acked);
void
scheduler_on_report(struct scheduler *sched, const char *backend_id,
                    const struct run_report *report);

/**
 * struct advice_grant - a backend server that may run the step, with its
 * ticket
 */
struct advice_grant {
    const char *backend_id;
    const char *ticket;
};

/**
 * struct advice_answer - answer to a request for placement advice
 * @given: the answer holds advice; otherwise the request is repeated
 * @valid_ms: how long the tickets are valid
 */
struct advice_answer {
    bool given;
    int64_t valid_ms;
    const struct advice_grant *grants;
    size_t n_grants;
};

void
scheduler_on_advice(struct scheduler *sched,
                    const struct advice_answer *answer);

/**
 * scheduler_tick() - make all due decisions; returns the time of the next
 * tick.
 */
int64_t
scheduler_tick(struct scheduler *sched);

/** scheduler_on_fenced() - a newer scheduler was met; sends nothing more. */
void
scheduler_on_fenced(struct scheduler *sched);

/** scheduler_loop_lag() - the process's loop ran @lag_ms late. */
void
scheduler_loop_lag(struct scheduler *sched, int64_t lag_ms);

/** scheduler_renewal_delay() - a renewal of the leadership took @delay_ms. */
void
scheduler_renewal_delay(struct scheduler *sched, int64_t delay_ms);

/** scheduler_exhausted() - whether it is late although it sheds all it can. */
bool
scheduler_exhausted(const struct scheduler *sched);

/** scheduler_patience_ms() - how much longer than usual to wait for answers.
 */
int64_t
scheduler_patience_ms(const struct scheduler *sched);

/**
 * scheduler_refuses_jobs() - whether new jobs are to be refused; sets when
 * their callers should return.
 */
bool
scheduler_refuses_jobs(const struct scheduler *sched, int64_t *retry_after_ms);

/**
 * scheduler_fenced() - whether a backend server has accepted a newer
 * scheduler.
 */
bool
scheduler_fenced(const struct scheduler *sched);

/**
 * struct sched_stats - statistics for metrics and peers
 * @jobs_active: jobs that are not finished
 * @runs: runs that may be in progress
 * @backends: backend servers, in the host list or not
 * @backends_unreconciled: backend servers with runs of a previous leader that
 *                         are not all accounted for
 * @started: start commands sent
 * @done: tasks done
 * @failed: runs that ended as failed
 * @lost: runs that ended without a completion
 * @stale_numbers: starts refused since the backend server knows a run that
 *                 isn't numbered lower
 * @forecasts: demand peaks for which hosts were moved ahead
 * @forecasts_missed: those that did not come
 * @reservations: reservations of capacity for waiting tasks
 * @reservations_made: all that were made
 * @reservations_moved: moves of one to a better backend server
 * @reservations_used: tasks with a reservation that were started
 * @backfilled: tasks started on a backend server that is reserved for another
 * @share_passes: passes over a pool in which shares of client accounts decided
 *                which jobs come first
 * @share_accepted: jobs accepted by the share of their account or by their
 *                  priority that the backlog of the pool would have refused
 * @share_refused: jobs refused likewise that it would have accepted
 * @shed: what is shed because of overload
 * @start_window: start commands that may be without an answer at once
 * @starts_in_flight: start commands without an answer
 * @loop_lag_ms: how late the last pass began
 * @preemptions: tasks for which runs were preempted
 * @preempted: runs that were preempted
 * @holds: tasks for which room is kept on a backend server
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
    uint64_t stale_numbers;
    uint64_t forecasts;
    uint64_t forecasts_missed;
    uint32_t reservations;
    uint64_t reservations_made;
    uint64_t reservations_moved;
    uint64_t reservations_used;
    uint64_t backfilled;
    uint64_t share_passes;
    uint64_t share_accepted;
    uint64_t share_refused;
    enum shed_level shed;
    uint32_t start_window;
    uint32_t starts_in_flight;
    int64_t loop_lag_ms;
    uint64_t preemptions;
    uint64_t preempted;
    uint32_t holds;
};

void
scheduler_stats(const struct scheduler *sched, struct sched_stats *stats);

/* Changes to be stored. */

/**
 * struct store_batch - changes that go into one transaction
 * @jobs: struct job, referenced, whose progress is to be stored
 * @versions: version of each job when the batch was made
 * @register_ids: backend servers to register
 * @register_starts: start of the incarnation of each when the batch was made
 * @release_ids: backend servers whose record is to be deleted
 * @expire_ids: finished jobs whose records are to be deleted
 */
struct store_batch {
    GPtrArray *jobs;
    GArray *versions;
    GPtrArray *register_ids;
    GArray *register_starts;
    GPtrArray *release_ids;
    GPtrArray *expire_ids;
};

/** scheduler_take_batch() - next changes, at most @most; NULL if none. */
struct store_batch *
scheduler_take_batch(struct scheduler *sched, uint32_t most);

/**
 * scheduler_take_progress() - next changes of job progress only, at most
 * @most; NULL if none. Such a batch depends on no other batch, so several may
 * be in flight.
 */
struct store_batch *
scheduler_take_progress(struct scheduler *sched, uint32_t most);

/**
 * scheduler_batch_stored() - a batch was stored at @revision or, with @stored
 * false, was not; frees it.
 */
void
scheduler_batch_stored(struct scheduler *sched, struct store_batch *batch,
                       bool stored, int64_t revision);

/**
 * scheduler_batch_rejected() - the store never accepts the batch; frees it.
 *
 * The jobs are stored one by one then. One whose progress is rejected even so
 * is given up, since its record can't grow with it any more.
 */
void
scheduler_batch_rejected(struct scheduler *sched, struct store_batch *batch);

/**
 * scheduler_backend_record() - revision of the record of backend server @id
 *
 * Writes of the record are conditional on it, so that one that is carried out
 * late replaces nothing newer.
 *
 * Return: the revision, as of the last answer of the store; 0: no record.
 */
int64_t
scheduler_backend_record(const struct scheduler *sched, const char *id);

/** scheduler_set_backend_record() - the store has the record of backend server
 * @id at @revision; 0: it has none. */
void
scheduler_set_backend_record(struct scheduler *sched, const char *id,
                             int64_t revision);

/** scheduler_find_backend() - backend server with @id, or NULL. */
struct backend *
scheduler_find_backend(const struct scheduler *sched, const char *id);

/* Hosts. */

/**
 * struct host_wave - maintenance wave that the operator requested
 * @number: its number
 * @hosts: hosts, NULL-terminated
 * @max_unavailable: hosts that may be unavailable for it at once
 * @within_ms: time in which it should be complete
 * @seen_ms: when the request was first seen, on the scheduler's clock
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
 * @backend_id: backend server that is its current incarnation, may be NULL
 * @data_centre: data centre that it is in
 * @up: it runs and is neither moving nor rebooting
 * @unavailable: it is moving or rebooting, so its last incarnation has ended
 */
struct host_info {
    const char *host;
    const char *pool;
    const char *backend_id;
    const char *data_centre;
    bool up;
    bool unavailable;
};

/**
 * scheduler_hosts_read() - the whole list of hosts was read
 * @requested_ms: when it was requested, on the scheduler's clock; what was
 *                learned later is newer than the list
 */
void
scheduler_hosts_read(struct scheduler *sched, const struct host_info *hosts,
                     size_t n_hosts, int64_t requested_ms);

/**
 * scheduler_host_commanded_before() - a previous leader may have sent a
 * command about this host shortly before the takeover.
 */
void
scheduler_host_commanded_before(struct scheduler *sched,
                                const char *host_name);

/** scheduler_wave_set() - add or change a wave; idempotent. */
void
scheduler_wave_set(struct scheduler *sched, const struct host_wave *request);

/**
 * scheduler_wave_host_started() - a previous leader stored that the
 * maintenance of @host in wave @number was accepted.
 */
void
scheduler_wave_host_started(struct scheduler *sched, int64_t number,
                            const char *host);

/** scheduler_wave_started_hosts() - hosts of a wave whose maintenance was
 * accepted, separated by spaces; g_free(). */
char *
scheduler_wave_started_hosts(const struct scheduler *sched, int64_t number);

/**
 * scheduler_wave_done() - whether every host of the wave has been maintained.
 */
bool
scheduler_wave_done(const struct scheduler *sched, int64_t number);

/**
 * enum host_command_result - result of a host command
 * @HOST_COMMAND_FENCED: refused, another leader has used a higher token
 */
enum host_command_result {
    HOST_COMMAND_FENCED,
    HOST_COMMAND_DONE,
    HOST_COMMAND_REFUSED,
    HOST_COMMAND_NOT_WANTED,
    HOST_COMMAND_UNKNOWN,
};

/** scheduler_on_host_command() - answer to a move (@wave_number 0) or a
 * reboot. */
void
scheduler_on_host_command(struct scheduler *sched, const char *host_name,
                          int64_t wave_number,
                          enum host_command_result result);

#endif
