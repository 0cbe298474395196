/* Backend servers, the runs on them, and the leases under which they run. */
#ifndef CORE_JOBS_BACKEND_H
#define CORE_JOBS_BACKEND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/deadline_heap.h"
#include "core/jobs/job.h"
#include "core/jobs/throttle.h"

/**
 * struct backend_entry - entry of a backend server in the host list
 * @id: its id, which names the incarnation of a host
 * @incarnation_start_ms: Unix time of its start; tells incarnations with the
 *                        same id apart
 * @pool: pool that it serves
 * @address: "ip:port" of its interface
 * @data_centre: data centre that it is in
 * @host: host whose incarnation it is, or NULL if unknown
 * @labels: kind and rack, NULL-terminated; the rack comes last
 * @capacity: resources of the whole backend server
 * @draining: it will leave soon and takes no new work
 */
struct backend_entry {
    char *id;
    int64_t incarnation_start_ms;
    char *pool;
    char *address;
    char *data_centre;
    char *host;
    char **labels;
    struct resources capacity;
    bool draining;
};

struct backend_entry *
backend_entry_copy(const struct backend_entry *entry);
bool
backend_entry_equal(const struct backend_entry *a,
                    const struct backend_entry *b);
void
backend_entry_clear(struct backend_entry *entry);
void
backend_entry_destroy(struct backend_entry *entry);

/**
 * enum run_state - what is known of a run
 * @RUN_STARTING: the start command was sent
 * @RUN_UNCERTAIN: the start command got no answer and may still be carried out
 * @RUN_WORKING: acknowledged or reported as running by the backend server
 * @RUN_STOPPING: being stopped; its completion is not reported yet
 */
enum run_state {
    RUN_STARTING,
    RUN_UNCERTAIN,
    RUN_WORKING,
    RUN_STOPPING,
};

/**
 * struct run - one attempt of a task on one backend server
 * @handle: identifies the run in commands and in the answers to them
 * @job: its job, referenced
 * @occurrence: occurrence of the job
 * @step: step of the job
 * @index: task of the step
 * @number: number of the run
 * @backend: backend server that it runs on
 * @state: what is known of it
 * @started_ms: when the start command was sent
 * @start_in_flight: the start command has no answer yet
 * @known_connection: that was sent on a connection that no later incarnation
 * can have
 * @answer_missed_ms: when the start command turned out to be unanswered; 0: it
 *                    was answered
 * @incarnation: of @backend, that which its start was sent to, or that a
 *               report has shown to run it
 * @reported: a report of that incarnation has shown it
 * @other_clock: the clock in the answer to its start is that of a later
 *               incarnation than @incarnation
 * @confirmed_ms: when the backend server last confirmed it; 0: never
 * @stop_sent_ms: when a stop command was last sent; 0: never
 * @stop_acked_ms: when a stop command was acknowledged; 0: never
 * @stop_pending: a stop command is in flight
 * @stop_count: stop commands sent
 * @stop_count_before: those that were sent to an earlier incarnation
 * @stop_unconfirmed: a service task that is being stopped because a report
 *                    didn't show it after a start without an answer
 * @percent: reported progress, 100 for service tasks that are ready; -1: none
 *           yet
 * @percent_clock_ms: clock of the backend server in the first report that has
 *                    shown @percent; 0: none yet
 * @first_percent: progress when a previous leader's run was adopted
 * @unchanged_ms: how long reports have shown @percent, on that clock
 * @longest_pause_ms: longest such time after which the run went on
 * @load_metric: as reported, see struct reported_run
 * @cpu_limit_percent: CPU limit in percent of full speed; -1: unknown
 * @throttle_sent_ms: when a throttle command was last sent; 0: never
 * @throttle_percent: limit in that command
 * @throttle_pending: a throttle command is in flight
 * @first_clock_ms: clock of the backend server when it first confirmed the
 *                  run; 0: it has not
 * @age_ms: how long the run is known to have worked, on that clock
 * @isolated: nothing else starts beside it yet, see crash_blame.h
 * @isolated_in: pool that counts it as isolated
 * @adopted: a previous leader has started it
 * @saved_seen_ms: @age_ms in the first report with its last checkpoint; -1:
 *                 none has shown a new one
 * @account: counts it as use of a pool; NULL: nothing does
 */
struct run {
    uint64_t handle;
    struct job *job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    uint32_t number;
    struct backend *backend;
    enum run_state state;
    int64_t started_ms;
    bool start_in_flight;
    bool known_connection;
    int64_t answer_missed_ms;
    uint32_t incarnation;
    bool reported;
    bool other_clock;
    int64_t confirmed_ms;
    int64_t stop_sent_ms;
    int64_t stop_acked_ms;
    bool stop_pending;
    uint32_t stop_count;
    uint32_t stop_count_before;
    bool stop_unconfirmed;
    int32_t percent;
    int64_t percent_clock_ms;
    int32_t first_percent;
    int64_t unchanged_ms;
    int64_t longest_pause_ms;
    int64_t load_metric;
    int32_t cpu_limit_percent;
    int64_t throttle_sent_ms;
    int32_t throttle_percent;
    bool throttle_pending;
    int64_t first_clock_ms;
    int64_t age_ms;
    bool isolated;
    struct pool_load *isolated_in;
    bool adopted;
    int64_t saved_seen_ms;
    struct pool_account *account;
};

/** run_step() - the step that @run belongs to. */
const struct job_step *
run_step(const struct run *run);

/** run_task() - the task that @run is an attempt of. */
struct job_task *
run_task(const struct run *run);

/**
 * struct stray - a reported run that no task wants and that is being stopped
 * @handle: identifies it in stop commands and in the answers to them
 * @name: its task, JOB.OCCURRENCE.STEP.INDEX
 * @number: number of the run
 * @job: its job, referenced; NULL: unknown, and so is what it takes
 * @occurrence: occurrence, step and index of its task, if @job is known
 * @reported_ms: when a report last contained it
 * @stop_sent_ms: when a stop command was last sent; 0: never
 * @stop_acked_ms: when a stop command was acknowledged; 0: never
 * @stop_pending: a stop command is in flight
 * @stop_count: stop commands sent
 */
struct stray {
    uint64_t handle;
    struct backend *backend;
    char *name;
    uint32_t number;
    struct job *job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    int64_t reported_ms;
    int64_t stop_sent_ms;
    int64_t stop_acked_ms;
    bool stop_pending;
    uint32_t stop_count;
};

/**
 * struct pending_completion - completion whose effect may not be stored yet
 * @number: number given by the backend server
 * @job: job that it changed, referenced, or NULL
 * @version: version of the job's progress that contains the effect
 */
struct pending_completion {
    int64_t number;
    struct job *job;
    uint64_t version;
};

/**
 * struct report_request - identity of a request for a run report, which comes
 *                         back with its answer
 * @number: counts the requests of this leader
 * @sent_ms: when it was sent
 * @incarnation: incarnation of the backend server that it was sent to
 * @acked: highest completion number acknowledged by it or before
 */
struct report_request {
    uint64_t number;
    int64_t sent_ms;
    uint32_t incarnation;
    int64_t acked;
};

/**
 * struct backend - a backend server as the scheduler knows it
 * @entry: its entry in the host list
 * @used: resources taken by runs and strays
 * @seen_ms: when its current incarnation was first seen
 * @seen_tick: ticks of the scheduler until then
 * @runs: struct run, all that may be in progress here
 * @strays: struct stray
 * @unknown_strays: strays of which it is unknown what they take
 * @pool: pool that it serves
 * @rack: backend servers of its rack, this one included
 * @pool_slot: where the pool keeps it, see pool_index.c; 0: it takes no work
 * @slot_index: its position there
 * @reserved_pass: last pass of placement in which it was reserved for a
 * service task that waits for capacity
 * @latency_sensitive_runs: runs of tasks with a tail latency target
 * @best_effort_runs: runs of best-effort tasks
 * @report_deadline: when its next run report is requested
 * @contested_ms: when another backend server last claimed to be a later
 *                incarnation of its host; 0: never
 * @claim_refuted: it claims that itself, but the one before has answered since
 * @superseded: its host has a later incarnation, whatever its start time says
 * @ended_ms: when its incarnation was last known to have ended; 0: never
 * @listed: it is in the host list
 * @registered: stored as possibly holding runs; required before any start
 * @registering: the write of that record is in flight
 * @incarnation: counts its restarts under the same id, as far as known
 * @previous_start_ms: start of the incarnation before that one; 0: unknown
 * @earlier_start_ms: start in the last report, if that is earlier than the
 * known one
 * @settled_ms: when a stop command that was sent to an earlier incarnation and
 *              carried out by this one must have taken effect; 0: no run
 *              report of this incarnation was read yet
 * @report_received: its run report was read with the current fencing token
 * @unreconciled: registered by a previous leader, whose runs and stops here
 *                are not all accounted for yet
 * @reconcile_due_ms: when a stop command of that leader must have taken
 *                    effect; 0: no run report was read yet
 * @unresponsive: its last call got no answer
 * @silent_ms: when a call first got no answer; 0: never
 * @end_explained: when its current incarnation was lost, there may have been a
 *                 run that has crashed it
 * @leaving: its host is about to be moved or rebooted
 * @clock_ms: its clock at the last sample
 * @clock_sampled_ms: the scheduler's clock at that sample
 * @granted_until_ms: latest lease end sent to it, on its clock
 * @granted_ms: when a lease was last sent to it
 * @leases_expire_ms: when all leases are over, on the scheduler's clock, for
 *                    leases of a previous leader, of which no clock sample
 *                    exists; 0: none
 * @unseen_ms: when a start ended that an incarnation may have carried out
 * which isn't known, see unseen_restart.c; 0: none has since the known one has
 * answered
 * @list_stored: the stored list of open leases may name it, see open_leases.c
 * @completions: struct pending_completion, oldest first
 * @last_completion: highest completion number processed
 * @acked_completion: highest completion number whose effect is stored, to be
 *                    acknowledged
 * @acked_answered: highest completion number acknowledged in a request that
 *                  was answered
 * @report_in_flight: @report_request has no answer yet
 * @report_request: the latest request for a run report
 * @answered_request_ms: when the latest request was sent whose report was read
 * @report_due_ms: earliest time of the next one
 * @report_read_ms: when a run report was last read
 * @throttle: controller of the best-effort tasks on it
 * @throttle_sample_ms: @report_read_ms of the report that @throttle last used
 * @failures: runs of different tasks that failed in a row
 * @suspect_until_ms: takes at most one run at a time until then
 * @empty_since_ms: when its last run ended
 * @isolated_runs: runs beside which nothing else starts yet
 * @isolation_until_ms: kept for such a run until then
 * @isolation_owner: task that it is kept for, only compared; NULL: any
 * @held: capacity kept for tasks that have preempted runs here, see
 *        preempt_runs.c
 * @reservation: capacity of it that is reserved for a waiting task; NULL: none
 */
struct backend {
    struct backend_entry entry;
    struct resources used;
    int64_t seen_ms;
    uint64_t seen_tick;
    GPtrArray *runs;
    GPtrArray *strays;
    uint32_t unknown_strays;
    struct pool_load *pool;
    GPtrArray *rack;
    uint32_t pool_slot;
    uint32_t slot_index;
    uint64_t reserved_pass;
    uint32_t latency_sensitive_runs;
    uint32_t best_effort_runs;
    struct deadline_entry report_deadline;
    int64_t contested_ms;
    bool claim_refuted;
    bool superseded;
    int64_t ended_ms;
    bool listed;
    bool registered;
    bool registering;
    uint32_t incarnation;
    int64_t previous_start_ms;
    int64_t earlier_start_ms;
    int64_t settled_ms;
    bool report_received;
    bool unreconciled;
    int64_t reconcile_due_ms;
    bool unresponsive;
    int64_t silent_ms;
    bool end_explained;
    bool leaving;
    int64_t clock_ms;
    int64_t clock_sampled_ms;
    int64_t granted_until_ms;
    int64_t granted_ms;
    int64_t leases_expire_ms;
    int64_t unseen_ms;
    bool list_stored;
    GQueue completions;
    int64_t last_completion;
    int64_t acked_completion;
    int64_t acked_answered;
    bool report_in_flight;
    struct report_request report_request;
    int64_t answered_request_ms;
    int64_t report_due_ms;
    int64_t report_read_ms;
    struct throttle throttle;
    int64_t throttle_sample_ms;
    uint32_t failures;
    int64_t suspect_until_ms;
    int64_t empty_since_ms;
    uint32_t isolated_runs;
    int64_t isolation_until_ms;
    const struct job_task *isolation_owner;
    struct resources held;
    struct reservation *reservation;
};

struct backend *
backend_create(const struct backend_entry *entry);
void
backend_destroy(struct backend *backend);

/**
 * backend_clock_sampled() - record that its clock read @clock_ms at @now_ms.
 */
void
backend_clock_sampled(struct backend *backend, int64_t clock_ms,
                      int64_t now_ms);

/**
 * backend_clock_at_least_ms() - lower bound of its clock at @now_ms
 *
 * The clock may run CLOCK_SLOW_MAX_PERCENT slower than ours.
 */
int64_t
backend_clock_at_least_ms(const struct backend *backend, int64_t now_ms);

/**
 * backend_leases_expired() - whether every lease granted to it is certainly
 * over.
 */
bool
backend_leases_expired(const struct backend *backend, int64_t now_ms);

/**
 * backend_grant_lease() - grant a lease of @lease_ms; returns the latest lease
 * end granted so far, on its clock.
 */
int64_t
backend_grant_lease(struct backend *backend, int64_t lease_ms, int64_t now_ms);

/**
 * backend_ack_completions() - mark completions whose effects are stored as
 * ready to be acknowledged.
 */
void
backend_ack_completions(struct backend *backend);

/**
 * backend_forget_completions() - an incarnation has ended; the next one counts
 * its completions anew.
 */
void
backend_forget_completions(struct backend *backend);

/**
 * backend_fencing_token() - token of commands to it, by the leader with
 * @leader_token
 *
 * Rises with each restart that is noticed, and stays below the tokens of later
 * leaders.
 */
int64_t
backend_fencing_token(const struct backend *backend, int64_t leader_token);

/** backend_has_label() - whether it carries @label. */
bool
backend_has_label(const struct backend *backend, const char *label);

/** backend_rack() - its rack, or an empty string. */
const char *
backend_rack(const struct backend *backend);

#endif
