/* State shared by the source files of the scheduler. */
#ifndef CORE_JOBS_SCHEDULER_STATE_H
#define CORE_JOBS_SCHEDULER_STATE_H

#include "core/jobs/account_share.h"
#include "core/jobs/demand_cycle.h"
#include "core/jobs/scheduler.h"

enum {
    /* Bounds how long a crash delays the restart of its tasks; three report
     * requests may fail before a lease expires. */
    LEASE_MS = 3000,
    /* Longest lease requested, used during a store outage. The next leader
     * waits for its end before it restarts the runs of an unresponsive backend
     * server. A service task may be away for 9 s, of which the leadership
     * takes 3 s to expire and the election and the start another half. */
    LEASE_MAX_MS = 5000,
    /* A command without an answer may be carried out seconds later; the
     * platform gives no bound. */
    LATE_COMMAND_MS = 10000,
    /* How long the token of a backend server that was removed is remembered;
     * well above LATE_COMMAND_MS, since it costs a few bytes. */
    FORMER_BACKEND_MS = 60000,
    /* A report request waits at most this long for changes. It also renews the
     * lease, so this bounds the time between renewals. */
    REPORT_WAIT_MS = 800,
    REPORT_RETRY_MS = 250,
    /* In place of REPORT_WAIT_MS where best-effort tasks run beside
     * latency-sensitive ones: each report is a sample of the tail
     * latencies. */
    REPORT_WAIT_MIXED_MS = 300,
    /* The same where a run is isolated: others wait for the report. */
    REPORT_WAIT_ISOLATED_MS = 130,
    /* Calls time out well before this, so an answer that is still missing will
     * never come. */
    ANSWER_TIMEOUT_MS = 5000,
    /* Time after which an unanswered stop command is sent again; doubles with
     * each, since what delays the answers may be too many commands. */
    STOP_RETRY_MS = 400,
    STOP_RETRY_DOUBLINGS_MAX = 3,
    /* For the way of a start to its backend server. */
    CANCEL_MARGIN_MS = 700,
    /* A start that waited longer to be sent was decided by old facts. */
    START_AGE_MAX_MS = 1000,
    /* A start without an answer was carried out more often than not, so a run
     * report is read first. Without one by then the run is stopped unseen. */
    UNCERTAIN_START_MS = 1000,
    /* Delay before a start that was refused or found no capacity is
     * retried. */
    START_RETRY_MS = 120,
    /* Failed runs in a row after which a backend server is suspect. */
    SUSPECT_FAILURE_COUNT = 3,
    SUSPECT_DURATION_MS = 4000,
    /* More than fall silent in an outage in the time that it takes to prove a
     * crash; fewer only make an outage harder to tell. */
    SILENCES_KEPT = 64,
    /* Refusals in a row after which the delay doubles, up to 2 s: a service
     * task may be away for 9 s. */
    REFUSALS_FREE = 3,
    REFUSAL_DOUBLINGS_MAX = 4,
};

/** enum host_intent - what is planned for a host */
enum host_intent {
    HOST_STAYS,
    HOST_MOVES,
    HOST_REBOOTS,
};

/**
 * struct crash_suspect - a task that may have crashed a backend server
 * @started: its run is known to have started there
 * @isolated: it was the only one that may have started there
 */
struct crash_suspect {
    struct job *job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    bool started;
    bool isolated;
};

/**
 * struct crash_case - loss of the runs of a backend server that may have
 * crashed
 * @pool: pool that it served
 * @silent_ms: since when it gave no answer; 0: unknown
 * @noticed_late: that was long after the start of the suspects
 * @lost_ms: when its runs were lost
 * @proved_ms: when that proved to be a crash; 0: not yet
 * @role: part of the suspects in it
 * @alone: no run but that of the one suspect may be the cause
 * @isolated_in: pool, if a run was isolated; NULL: none was
 * @suspects: struct crash_suspect, with a reference to their jobs
 */
struct crash_case {
    char *backend_id;
    const struct pool_load *pool;
    int64_t silent_ms;
    bool noticed_late;
    int64_t lost_ms;
    int64_t proved_ms;
    enum crash_role role;
    bool alone;
    struct pool_load *isolated_in;
    GArray *suspects;
};

/**
 * struct host - a host and the commands about it
 * @load: its pool, NULL: unknown
 * @backend_id: backend server that is its current incarnation, or NULL
 * @present: it is in the last host list of the platform
 * @known_ms: when it was first named
 * @left_out: host lists in a row that don't have it, requested since then
 * @up: it runs and is neither moving nor rebooting
 * @down_unix_ms: Unix time since when it is known to be unavailable; 0: it is
 *                up. Only an incarnation that started later is a new one
 * @intent: what is planned; its backend server takes no new work meanwhile
 * @intent_ms: when that was decided
 * @target_pool: pool it is to move to, or NULL
 * @wave: wave in which it still has to be maintained; 0: none
 * @command_in_flight: a command about it is in flight
 * @command_accepted: the command was accepted, or may have been
 * @commanded_incarnation: its backend server at the time of the command
 * @retry_ms: no command before this time
 * @commanded_before: a previous leader may have sent a command recently
 * @crash: the last loss of its runs, until it proves to be a crash or not; or
 *         NULL
 */
struct host {
    char *name;
    char *pool;
    struct pool_load *load;
    char *data_centre;
    char *backend_id;
    bool present;
    int64_t known_ms;
    uint32_t left_out;
    bool up;
    int64_t down_unix_ms;
    enum host_intent intent;
    int64_t intent_ms;
    char *target_pool;
    int64_t wave;
    bool command_in_flight;
    bool command_accepted;
    char *commanded_incarnation;
    int64_t retry_ms;
    bool commanded_before;
    struct crash_case *crash;
};

/**
 * struct wave - maintenance in progress
 * @hosts: names of its hosts
 * @started: names of those whose maintenance was accepted
 * @max_unavailable: hosts that may be unavailable for it at once
 * @complete_by_ms: when it should be complete
 * @seen_ms: when its request was first seen
 */
struct wave {
    int64_t number;
    GPtrArray *hosts;
    GHashTable *started;
    int64_t max_unavailable;
    int64_t complete_by_ms;
    int64_t seen_ms;
};

/**
 * struct unseen_capacity - capacity of unreconciled backend servers that no
 * known run takes
 * @unknown: the capacity of some is not known
 */
struct unseen_capacity {
    struct resources free;
    bool unknown;
};

/**
 * struct team_usage - what a client account uses
 * @used: what its known runs take
 * @unseen: the most that runs of a previous leader may take in addition
 * @unseen_by_pool: pool to tasks that may be such runs, see unseen_runs.c
 * @config: its configuration, NULL: none
 * @generation: configuration for which @config was looked up
 */
struct team_usage {
    char *team;
    struct resources used;
    struct resources unseen;
    GHashTable *unseen_by_pool;
    const struct team_config *config;
    uint64_t generation;
};

/**
 * struct pool_account - what a client account uses of one pool
 * @use: what its runs take, service tasks not counted
 * @order: the last order that has jobs of it
 * @index: number of the account in that order
 * @ordered: fraction of the pool that its ordered jobs take
 * @n_ordered: their number
 */
struct pool_account {
    struct team_usage *team;
    struct share_use use;
    uint64_t order;
    uint32_t index;
    double ordered;
    uint32_t n_ordered;
};

/**
 * struct pool_shares - shares of client accounts in one pool; zeroed if they
 *                      are off
 * @accounts: struct pool_account by struct team_usage
 * @capacity: of the hosts that take work, as of the last plan
 * @free: what was free on them then
 * @backlogs: struct share_backlog, the backlog of the pool by account and
 *            priority
 * @first: struct job, referenced; tried before the others, in this order
 * @applied: @first was made since the pool is short of capacity
 * @due_ms: when the order is to be made again
 * @n_unplaced: number of unplaced jobs when it was made
 * @logged_ms: when it was last logged that shares decided
 */
struct pool_shares {
    GHashTable *accounts;
    struct resources capacity;
    struct resources free;
    GArray *backlogs;
    GPtrArray *first;
    bool applied;
    int64_t due_ms;
    guint n_unplaced;
    int64_t logged_ms;
};

enum {
    /* Slots by free processor capacity; a slot spans a quarter of a core of a
     * 16-core backend server. */
    POOL_FREE_SLOT_COUNT = 64,
    /* The last slot holds the backend servers without runs. */
    POOL_EMPTY_SLOT = POOL_FREE_SLOT_COUNT,
    POOL_SLOT_COUNT,
};

/**
 * struct pool_index - backend servers of a pool that take work
 * @slots: struct backend; those with runs by free processor capacity, then
 *         those without
 * @largest_milli: largest processor capacity that the slots span
 */
struct pool_index {
    GPtrArray *slots[POOL_SLOT_COUNT];
    int64_t largest_milli;
};

enum {
    /* In PREEMPT_ROUND_MS. With it a pass costs 5 % more at 5,700 backend
     * servers whose pools are full. */
    PREEMPT_SEARCHES_MAX = 4,
};

/**
 * struct preempt_round - decisions about preemption in a pool during
 *                        PREEMPT_ROUND_MS
 * @began_ms: when it began; 0: there was none yet
 * @searched: jobs for which the pool was searched in it, only compared
 * @n_searched: their number
 * @waiting: tasks for which room is expected without a preemption
 * @none_below: no run has a lower priority than this that may be stopped;
 *              valid if @none
 */
struct preempt_round {
    int64_t began_ms;
    const struct job *searched[PREEMPT_SEARCHES_MAX];
    uint32_t n_searched;
    uint32_t waiting;
    bool none;
    int64_t none_below;
};

/**
 * struct hold - capacity of a backend server that is kept for a task whose
 *               step has preempted runs there
 * @job: its job, referenced; @occurrence and @step: the step. The tasks of a
 *       step are interchangeable
 * @need: capacity
 * @run: handle of the run that takes it, 0: none yet
 * @until_ms: when it is given up
 */
struct hold {
    struct backend *backend;
    struct job *job;
    uint32_t occurrence;
    uint32_t step;
    struct resources need;
    uint64_t run;
    int64_t until_ms;
};

/**
 * struct pool_load - demand on one pool and its capacity
 * @arrival_milli: rate of newly arriving work, decaying average; unit:
 *                 thousandths of a core
 * @recent_milli: the same over a shorter time
 * @recent_jobs: number of jobs that arrived in that shorter time, decaying
 * @arrival_at_ms: when these averages were last updated
 * @service_need: resources of service tasks, running or waiting
 * @ready: resources of short tasks that run or could run now
 * @ready_milli: thousandths of a core that would finish these in
 *               READY_HORIZON_MS
 * @spread_hosts: least hosts needed because some step limits its tasks per
 *                backend server
 * @largest_host: capacity of its largest host
 * @hosts: hosts that take work
 * @incoming_hosts: hosts that are being moved or rebooted into the pool
 * @used_milli: thousandths of a core in use on the hosts that take work
 * @backlog_millicore_ms: declared work of its jobs that can still meet their
 *                        objective, at the last plan and arrived since
 * @wanted_hosts: hosts that it needs, as of the last plan
 * @surplus_since_ms: since when it has had more hosts than it needs; 0: it has
 *                    not
 * @cycle: its demand peaks
 * @hosts_ahead: hosts that it should have for its next peak; 0: that is not
 *               near, or not known
 * @next_peak_ms: when that is expected; 0: not known
 * @config: its configuration, NULL: none
 * @generation: configuration for which @config was looked up
 * @index: its backend servers that take work
 * @unplaced: its jobs that may have tasks to place
 * @unreconciled: some backend server of it is unreconciled, as of the last
 *                pass
 * @unseen: capacity on which runs of a previous leader may not be known
 * @shares: shares of client accounts
 * @isolated_runs: runs beside which nothing else starts yet
 * @isolation_first: task that has waited longest for a backend server to
 *                   itself, as of the last pass; only compared
 * @isolation_next: the same of this pass
 * @isolation_next_ms: since when that waits
 * @isolation_pass: the pass that @isolation_next is of
 * @preempt_round: limits of preemption, see preempt_runs.c
 * @reservations: capacity reserved for waiting tasks, see reserve_ahead.c;
 *                NULL: there was none yet
 * @reservation_denials: counts the times that one kept a task from a backend
 *                       server
 */
struct pool_load {
    char *pool;
    const struct pool_config *config;
    uint64_t generation;
    struct pool_index index;
    GPtrArray *unplaced;
    bool unreconciled;
    struct unseen_capacity unseen;
    double arrival_milli;
    double recent_milli;
    double recent_jobs;
    int64_t arrival_at_ms;
    struct resources service_need;
    struct resources ready;
    int64_t ready_milli;
    int64_t spread_hosts;
    struct resources largest_host;
    int64_t hosts;
    int64_t incoming_hosts;
    int64_t used_milli;
    double backlog_millicore_ms;
    int64_t wanted_hosts;
    int64_t surplus_since_ms;
    struct demand_cycle cycle;
    int64_t hosts_ahead;
    int64_t next_peak_ms;
    struct pool_shares shares;
    uint32_t isolated_runs;
    const struct job_task *isolation_first;
    const struct job_task *isolation_next;
    int64_t isolation_next_ms;
    uint64_t isolation_pass;
    struct preempt_round preempt_round;
    struct pool_reservations *reservations;
    uint64_t reservation_denials;
};

/**
 * struct command_budget - host commands that may be sent now
 * @available: number of commands, refilled up to the burst size
 * @refilled_ms: when it was last refilled
 */
struct command_budget {
    double available;
    int64_t refilled_ms;
};

/**
 * struct advice_call - the request for placement advice that is in flight
 * @job: job of the step that it is for, referenced; NULL: no request
 * @backend_ids: backend servers that it names, NULL-terminated
 * @retry_ms: no request before this time
 * @allowed_fraction: estimated fraction of backend servers that may run a step
 */
struct advice_call {
    struct job *job;
    uint32_t occurrence;
    uint32_t step;
    GPtrArray *backend_ids;
    int64_t sent_ms;
    int64_t retry_ms;
    double allowed_fraction;
};

/**
 * struct former_backend - a backend server that was removed
 * @incarnation: its last, see struct backend
 * @removed_ms: when it was removed
 * @incarnation_start_ms: Unix time of the start of that incarnation
 * @pool: pool that it served
 * @superseded: its host had a later one
 * @draining: it was about to leave
 * @end_explained: see struct backend
 */
struct former_backend {
    uint32_t incarnation;
    int64_t removed_ms;
    int64_t incarnation_start_ms;
    const struct pool_load *pool;
    bool superseded;
    bool draining;
    bool end_explained;
};

/**
 * struct scheduler - state of the scheduler
 * @lease_accepted_max_ms: a backend server shortens a longer lease to this
 * @term: counts takeovers
 * @reserved_term: last term whose run numbers are this leader's; at least
 *                 @term
 * @wanted_term: term up to which they are to be reserved
 * @policy: features that are switched on
 * @config: the active configuration, borrowed, or NULL
 * @generation: counts configurations, from 1
 * @racks: name of a rack to the GPtrArray of its struct backend
 * @report_deadlines: backend servers whose run report is to be requested
 * @start_waits: the last pass left tasks waiting for answers to start commands
 * @overload: how late this process and its links are
 * @full_pass_ms: when the next pass over everything is due
 * @maybe_unreconciled: some backend server may be unreconciled
 * @unseen_measured_ms: when the runs that are not known were last counted; 0:
 *                      none are left
 * @ticks: counts calls of scheduler_tick()
 * @pass: counts passes of placement
 * @starts_ended_pass: last pass that found that no start may be sent any more
 * @out_of_service: data centres that get no new work, or NULL
 * @leadership_valid: commands may be sent now
 * @cancels_read_ms: cancels acknowledged before this time are known; 0: the
 *                   scheduler is told of each
 * @outage: the store is unreachable; leases of the longest duration are used
 * @long_lease_granted_ms: when a lease of the longest duration was last
 *                         granted; 0: never
 * @leases_written_ms: when the list of open leases was last written
 * @list_sent: ids of the backend servers that it named then
 * @list_stored: ids of those that the stored one may name
 * @leases_due: it is to be written again
 * @longer_leases_over_ms: when leases are over that are longer than those that
 *                         this leader grants, until that is stored; 0: there
 *                         were none
 * @longer_known_ms: when one of them that this leader knows of came to be
 * known; 0: never
 * @longer_stored_ms: when the list was written that was last stored
 * @fenced: a newer scheduler was met; no more commands are sent
 * @takeover_ms: when this scheduler took over
 * @backends: struct backend by id
 * @former_backends: struct former_backend by id
 * @jobs: struct job by id, finished ones included
 * @active: the active jobs
 * @closing: jobs of which occurrences may have finished, referenced
 * @runs: struct run by handle
 * @strays: struct stray by handle
 * @team_usage: struct team_usage by client account
 * @hosts: struct host by name
 * @pools: struct pool_load by pool
 * @draining: struct backend, those that drain
 * @contenders: struct backend, those that may or may not be the current
 *              incarnation of their host
 * @waves: struct wave
 * @holds: struct hold
 * @share_order: order of the jobs of one pool, kept for its memory
 * @share_orders: counts such orders
 * @dirty: jobs with progress to store, referenced
 * @to_register: ids of backend servers to register
 * @to_release: ids of backend servers whose record is to be deleted
 * @backend_records: id of a backend server to the revision of its record, if
 *                   the store may have one; 0: not known yet
 * @finished: finished jobs, in the order of finishing
 * @crash_groups: losses of runs that made tasks suspects
 * @crashed: hosts with a crash case
 * @silences: times at which backend servers fell silent on which nothing had
 *            just started, the oldest overwritten first
 * @silence_count: number of such times
 * @unexplained_crash_ms: when a crash was last seen that no task has caused;
 * 0: never
 * @open_crashes: struct crash_case, crashes that one of several tasks may have
 *                caused, or none
 * @crashed_ids: ids of backend servers of a previous leader that have crashed
 * @spare_hosts: hosts that could be moved to any pool
 * @hosts_read: the host list was read and was not empty
 * @hosts_requested_ms: when the list that was read last was requested
 */
struct scheduler {
    struct sched_timings timings;
    struct sched_ops ops;
    struct ms_clock clock;
    struct ms_clock unix_clock;
    int64_t lease_accepted_max_ms;
    uint32_t term;
    uint32_t reserved_term;
    uint32_t wanted_term;
    struct sched_policy policy;
    const struct fleet_config *config;
    uint64_t generation;
    GHashTable *racks;
    struct deadline_heap *report_deadlines;
    bool start_waits;
    struct overload overload;
    int64_t full_pass_ms;
    bool maybe_unreconciled;
    int64_t unseen_measured_ms;
    uint64_t ticks;
    uint64_t pass;
    uint64_t starts_ended_pass;
    char **out_of_service;
    bool leadership_valid;
    int64_t cancels_read_ms;
    bool outage;
    int64_t long_lease_granted_ms;
    int64_t leases_written_ms;
    GHashTable *list_sent;
    GHashTable *list_stored;
    bool leases_due;
    int64_t longer_leases_over_ms;
    int64_t longer_known_ms;
    int64_t longer_stored_ms;
    bool fenced;
    int64_t takeover_ms;
    uint64_t next_handle;
    uint64_t next_report_request;
    GHashTable *backends;
    GHashTable *former_backends;
    GHashTable *jobs;
    GPtrArray *active;
    GPtrArray *closing;
    GHashTable *runs;
    GHashTable *strays;
    GHashTable *team_usage;
    GHashTable *hosts;
    GHashTable *pools;
    GPtrArray *draining;
    GPtrArray *contenders;
    GPtrArray *waves;
    GPtrArray *holds;
    struct share_order share_order;
    uint64_t share_orders;
    GQueue dirty;
    GPtrArray *to_register;
    GPtrArray *to_release;
    GHashTable *backend_records;
    GQueue finished;
    uint32_t crash_groups;
    GPtrArray *crashed;
    int64_t silences[SILENCES_KEPT];
    uint32_t silence_count;
    int64_t unexplained_crash_ms;
    GPtrArray *open_crashes;
    GHashTable *crashed_ids;
    int64_t spare_hosts;
    bool hosts_read;
    int64_t hosts_requested_ms;
    int64_t plan_due_ms;
    struct command_budget command_budget;
    struct advice_call advice;
    struct sched_stats stats;
};

static inline int64_t
sched_now(const struct scheduler *sched)
{
    return ms_clock_now(&sched->clock);
}

/* scheduler.c */
void
sched_log_event(struct scheduler *sched, const char *event, const char *format,
                ...) __attribute__((format(printf, 3, 4)));
void
sched_mark_dirty(struct scheduler *sched, struct job *job);
void
sched_finish_job(struct scheduler *sched, struct job *job,
                 enum job_state state);
/* Lets the next pass free the progress of its finished occurrences. */
void
sched_job_closing(struct scheduler *sched, struct job *job);
bool
sched_is_out_of_service(const struct scheduler *sched,
                        const char *data_centre);
bool
sched_backend_usable(const struct scheduler *sched,
                     const struct backend *backend);
struct pool_load *
sched_pool_load(struct scheduler *sched, const char *pool);
/* Whether a cancel may have to bind already that isn't known yet. */
bool
sched_cancels_outdated(const struct scheduler *sched);
/* Whether any start may be sent now. */
bool
sched_starts_allowed(const struct scheduler *sched);

static inline int64_t
sched_stop_retry_ms(uint32_t stop_count)
{
    uint32_t doublings = stop_count == 0 ? 0 : stop_count - 1;
    return (int64_t)STOP_RETRY_MS
           << MIN(doublings, (uint32_t)STOP_RETRY_DOUBLINGS_MAX);
}

/* scheduler_refs.c */
/* Looks up what @job refers to, if the configuration has changed. */
void
sched_job_refs(struct scheduler *sched, struct job *job);
/* Configuration of a pool, NULL: none. */
const struct pool_config *
sched_pool_config(const struct scheduler *sched, struct pool_load *load);
const struct team_config *
sched_team_config(const struct scheduler *sched, struct team_usage *usage);
struct team_usage *
sched_team_usage(struct scheduler *sched, const char *team);
/* Sets pool and rack of @backend after its entry has changed. */
void
sched_backend_refs(struct scheduler *sched, struct backend *backend);
void
sched_backend_refs_clear(struct backend *backend);

/* pool_index.c */
void
pool_index_init(struct pool_index *index);
void
pool_index_clear(struct pool_index *index);
/* First slot with backend servers that have @free_milli left. */
uint32_t
pool_index_slot(const struct pool_index *index, int64_t free_milli);
void
pool_index_remove(struct pool_index *index, struct backend *backend);
/* Puts @backend where its free capacity belongs, or takes it out if it takes
 * no work. */
void
sched_backend_changed(struct scheduler *sched, struct backend *backend);
/* Whether @backend takes no short tasks in this pass. */
bool
sched_backend_reserved(const struct scheduler *sched,
                       const struct backend *backend);

/* open_leases.c */
/* Decides whether the list of open leases is to be written again. */
void
sched_check_open_leases(struct scheduler *sched);
/* A lease runs until @over_ms, which the next leader has to know if it is
 * longer than those that this one grants. */
void
sched_longer_lease(struct scheduler *sched, int64_t over_ms);

/* run_numbers.c */
/* Number of the next run of a task; 0: none is reserved yet. It is taken once
 * the start is sent. */
uint32_t
sched_next_run_number(struct scheduler *sched, const struct job_task *task);
/* Raises the number of a task whose start was refused since its backend server
 * knows a run that isn't lower; false if that can't be the reason any more. */
bool
sched_run_number_stale(struct scheduler *sched, struct job_task *task);

/* unplaced.c */
/* Whether a pass has to look at @job, by its own state. */
bool
sched_job_is_unplaced(const struct job *job);
/* Lets the next pass look at @job. */
void
sched_job_unplaced(struct scheduler *sched, struct job *job);

/* scheduler_backends.c */
/* When a lease of @lease_ms that was granted at @granted_ms is over; a clock
 * may run 2 % slow. */
int64_t
sched_lease_over_ms(int64_t granted_ms, int64_t lease_ms);
struct former_backend
sched_former_backend(const struct scheduler *sched,
                     const struct backend *backend);
int64_t
sched_lease_ms(struct scheduler *sched);
void
sched_expire_backends(struct scheduler *sched);
void
sched_register_backends(struct scheduler *sched);
void
sched_register_backend(struct scheduler *sched, struct backend *backend);

/* scheduler_runs.c */
struct run *
sched_run_create(struct scheduler *sched, struct job *job, uint32_t occurrence,
                 uint32_t step, uint32_t index, uint32_t number,
                 struct backend *backend);
void
sched_run_free(struct scheduler *sched, struct run *run);
/* Logs what is known of @run; whether its start was ever confirmed tells a run
 * that may begin later from one that has. */
void
sched_log_run(struct scheduler *sched, const char *event,
              const struct run *run);
void
sched_run_stop(struct scheduler *sched, struct run *run);
void
sched_run_end(struct scheduler *sched, struct run *run,
              enum completion_reason reason, const char *saved);
/* Handles an end as done, of a run that is tracked or of one that isn't. A
 * service task is not done by it, and starts again like after any other end.
 */
void
sched_task_done(struct scheduler *sched, struct job *job, uint32_t occurrence,
                uint32_t step, uint32_t index);
/* Handle a failed completion of a run that is no longer tracked. */
void
sched_untracked_failure(struct scheduler *sched, struct job *job,
                        uint32_t occurrence, uint32_t step, uint32_t index,
                        uint32_t number);
void
sched_backend_lost(struct scheduler *sched, struct backend *backend,
                   const char *why);
void
sched_watch_runs(struct scheduler *sched);
/* Stops runs whose start got no answer and that a report which was requested
 * after that, at @requested_ms, does not contain. */
void
sched_stop_unconfirmed(struct scheduler *sched, struct backend *backend,
                       int64_t requested_ms);
/* Whether a stop of @run is repeated only after a report without it: the task
 * is wanted, its start may have been carried out since, and others of its step
 * may be unavailable. A report that shows the run recalls the stop. */
bool
sched_stop_needs_report(const struct run *run);
/* Whether @run works by a report that recalled its stop. That may be carried
 * out all the same, and reports show neither run nor end meanwhile. */
bool
sched_stop_recalled(const struct run *run);
/* Whether the stop of @run got no answer and is to be sent again. */
bool
sched_stop_repeat_due(const struct scheduler *sched, const struct run *run);
void
sched_send_stop(struct scheduler *sched, struct run *run);

/** struct task_name - parts of a task's name, JOB.OCCURRENCE.STEP.INDEX */
struct task_name {
    char job_id[JOB_ID_CHARS + 1];
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
};

/* report_requests.c */
void
sched_request_reports(struct scheduler *sched);
/* Sets when the next report of @backend is requested. */
void
sched_schedule_report(struct scheduler *sched, struct backend *backend);
/* Passes over all backend servers: overdue answers, missing deadlines. */
void
sched_check_reports(struct scheduler *sched);
/* Lets the next report of @backend be requested without a gap. */
void
sched_report_at_once(struct scheduler *sched, struct backend *backend);
/* Time after which a stop command has certainly ended its run. */
int64_t
sched_stop_visible_after_ms(const struct scheduler *sched);

/* scheduler_reports.c */
/* @backend gives no answer, or its address has another incarnation. */
void
sched_backend_silent(struct scheduler *sched, struct backend *backend,
                     const char *reason);

/* crash_runs.c */
/* Notes which runs of a lost backend server may have crashed it. */
void
sched_crash_suspected(struct scheduler *sched, struct backend *backend);
/* It gives no answer: whom that clears. */
void
sched_crash_backend_silent(struct scheduler *sched, struct backend *backend);
/* @run goes on, or has not started: forgets that it may have crashed its
 * backend server when that fell silent. */
void
sched_crash_not_caused(struct scheduler *sched, const struct run *run);

/* crash_proof.c */
/* The new incarnation @after of @host proves that its last one has crashed. */
void
sched_crash_proved(struct scheduler *sched, struct host *host,
                   const struct backend *after);
/* The same if the last loss was that of @backend_id. */
void
sched_crash_proved_of(struct scheduler *sched, struct host *host,
                      const char *backend_id, const struct backend *after);
/* The same for runs of a previous leader. */
void
sched_crash_inherited(struct scheduler *sched, const struct host *host,
                      const struct backend *before,
                      const struct backend *after);
/* The new incarnation @after of @host ended @before: whether that was a crash
 * which no task has caused. */
void
sched_crash_unexplained(struct scheduler *sched, const struct host *host,
                        const struct former_backend *before,
                        const struct backend *after);
/* The incarnation that was lost still runs. */
void
sched_crash_backend_answers(struct scheduler *sched, struct backend *backend);
/* The last incarnation of @host has ended in another way. */
void
sched_crash_dropped(struct scheduler *sched, struct host *host);
void
sched_crash_init(struct scheduler *sched);
void
sched_crash_clear(struct scheduler *sched);
/* Drops what can no longer be proved, or says nothing any more; it refers to
 * jobs. */
void
sched_crash_expire(struct scheduler *sched);
/* Backend servers of @pool that were lost with an isolated run and may be back
 * soon. */
uint32_t
sched_crashed_isolated(const struct scheduler *sched,
                       const struct pool_load *pool);

/* crash_attempt.c */
/* Whether it is clear what became of the last start of a suspect, and it may
 * start again. */
bool
sched_crash_settle_inherited(struct scheduler *sched, struct job *job,
                             uint32_t occurrence, uint32_t step,
                             uint32_t index);
/* Whether what crashes say about @task, and that it starts on @backend_id, is
 * stored. */
bool
sched_start_recorded(struct scheduler *sched, struct job *job,
                     struct job_task *task, const char *backend_id);

/* run_isolation.c */
/* Counts a new run as isolated if its task is a suspect. */
void
sched_run_isolate(struct run *run);
void
sched_run_end_isolation(struct run *run);
/* Its backend server listed the run when its clock read @clock_ms. */
void
sched_run_worked_until(struct scheduler *sched, struct run *run,
                       int64_t clock_ms);

/* strays.c */
struct stray *
sched_find_stray(const struct backend *backend, const char *name,
                 uint32_t number);
/* Stops a reported run that no task wants; @job is NULL if it is unknown. */
void
sched_stray_reported(struct scheduler *sched, struct backend *backend,
                     const struct reported_run *reported, struct job *job,
                     const struct task_name *name);
void
sched_stray_completed(struct scheduler *sched, struct backend *backend,
                      const char *name, uint32_t number);
/* False if @handle is not that of a stray. */
bool
sched_stray_stop_answered(struct scheduler *sched, uint64_t handle,
                          uint32_t attempt, bool acked);
void
sched_drop_absent_strays(struct scheduler *sched, struct backend *backend,
                         int64_t requested_ms);
void
sched_backend_strays_lost(struct scheduler *sched, struct backend *backend);
void
sched_watch_strays(struct scheduler *sched);
void
sched_strays_clear(struct scheduler *sched);

/* unseen_restart.c */
/* A start may have been carried out by an incarnation that isn't known. */
void
sched_start_unseen(struct scheduler *sched, struct backend *backend);
/* The answer to a start has a clock that is behind the known one, which must
 * have reached @expected_ms. */
void
sched_clock_behind(struct scheduler *sched, struct backend *backend,
                   int64_t clock_ms, int64_t expected_ms);
/* The known incarnation has answered a report request sent at
 * @requested_ms. */
void
sched_incarnation_shown(struct backend *backend, int64_t requested_ms);
/* What is left of the lease of such an incarnation; 0: nothing, or there was
 * none. */
int64_t
sched_unseen_lease_left_ms(const struct scheduler *sched,
                           const struct backend *backend);
/* Whether a start is on its way that an incarnation may get which isn't
 * known. */
bool
sched_start_may_be_unseen(const struct backend *backend);
/* Whether nothing that was started there can still hold a lease. */
bool
sched_leases_over(const struct scheduler *sched,
                  const struct backend *backend);

/* unseen_runs.c */
/* Counts what runs of a previous leader may take that no report has shown. */
void
sched_measure_unseen(struct scheduler *sched);

/* place.c */
void
sched_place_tasks(struct scheduler *sched);
/* Whether runs of @job that a previous leader has started can only be in
 * @pool, which its queue has now. */
bool
sched_runs_in_pool(const struct job *job, const struct pool_load *pool);
/* Whether runs of @job that a previous leader has started may be in progress.
 * If its queue has been moved since it was accepted, they may be in any pool.
 */
bool
sched_inherited_runs_open(const struct scheduler *sched,
                          const struct pool_load *pool, const struct job *job);
/* Whether the maximum of its client account allows @job to take @need more. */
bool
sched_team_allows(struct scheduler *sched, const struct job *job,
                  const struct resources *need);
/* Whether another backend server of its pool could take over @run. */
bool
sched_fits_elsewhere(struct scheduler *sched, const struct run *run);

/* Whether @backend has free capacity for a task and satisfies its constraints,
 * regardless of tickets. */
bool
sched_backend_can_run(struct scheduler *sched, const struct backend *backend,
                      const struct job *job, uint32_t occurrence,
                      uint32_t step);

/* preempt_hold.c */
/* Keeps capacity as @wanted says, from now on; copied. */
void
sched_hold_add(struct scheduler *sched, const struct hold *wanted);
/* Waiting tasks of the step for which no capacity is kept, were it not for the
 * holds from position @n_holds on. */
uint32_t
sched_tasks_without_hold(const struct scheduler *sched, const struct job *job,
                         uint32_t occurrence, uint32_t step, guint n_holds);
/* Processor capacity of @pool that is kept or was just taken by its task. */
int64_t
sched_held_milli(const struct scheduler *sched, const struct pool_load *pool);
/* Whether capacity is kept for some task of @job. */
bool
sched_job_held_for(const struct scheduler *sched, const struct job *job);
/* Gives up capacity that is no longer kept for a task. */
void
sched_holds_update(struct scheduler *sched);
/* @backend is no longer known. */
void
sched_holds_drop(struct scheduler *sched, const struct backend *backend);
void
sched_holds_clear(struct scheduler *sched);
/* A new run takes what is kept for its step, if anything. */
void
sched_hold_take(struct scheduler *sched, const struct run *run);
/* Whether capacity of @backend is kept for tasks that have preempted runs. */
bool
sched_backend_held(const struct backend *backend);
/* What is free on @backend for a task of that step, regardless of what is kept
 * for others; may be negative. */
struct resources
sched_room_for(const struct scheduler *sched, const struct backend *backend,
               const struct job *job, uint32_t occurrence, uint32_t step);
/* reserve_ahead.c */
/* Whether capacity of @backend is reserved for a waiting task. */
bool
sched_reserved_ahead(const struct backend *backend);
void
sched_reservations_destroy(struct pool_load *pool);

/* throttle_runs.c */
void
sched_throttle(struct scheduler *sched);
void
sched_throttle_backend(struct scheduler *sched, struct backend *backend);
/* Whether best-effort tasks run beside latency-sensitive ones. */
bool
sched_backend_mixed(const struct backend *backend);

/* advice.c */
void
sched_advice_init(struct scheduler *sched);
void
sched_advice_clear(struct scheduler *sched);
void
sched_request_advice(struct scheduler *sched);

/* drain.c */
void
sched_move_off_draining(struct scheduler *sched);

/* hosts.c */
struct host *
sched_host_find_or_add(struct scheduler *sched, const char *name);
void
sched_host_incarnation(struct scheduler *sched, struct backend *backend);
void
sched_host_set_intent(struct scheduler *sched, struct host *host,
                      enum host_intent intent, const char *pool);
struct backend *
sched_host_backend(const struct scheduler *sched, const struct host *host);
bool
sched_host_empty(const struct scheduler *sched, const struct host *host);
/* Whether the host has left the fleet. */
bool
sched_host_gone(const struct scheduler *sched, const struct host *host);

/* Whether an accepted command has ended its known incarnation. */
bool
sched_host_ended_by_command(const struct host *host);

/* incarnation.c */
/** enum incarnation - what a backend server is beside the current one of its
 * host
 * @INCARNATION_OPEN: not known yet
 * @INCARNATION_CURRENT: it has taken the place of the current one
 * @INCARNATION_ENDED: an earlier incarnation */
enum incarnation {
    INCARNATION_OPEN,
    INCARNATION_CURRENT,
    INCARNATION_ENDED,
};
enum incarnation
sched_incarnation_compare(struct scheduler *sched, const struct host *host,
                          struct backend *current, struct backend *other);
/* Decides what was open, by the answers since. */
void
sched_settle_incarnations(struct scheduler *sched);
/* Whether another one claims to have taken its place, and it has not answered
 * since. */
bool
sched_backend_contested(const struct backend *backend);
/* Whether @report shows an incarnation under the same id that started earlier
 * than the known one, or that came before it. */
bool
sched_report_outdated(const struct backend *backend,
                      const struct run_report *report);
/* Whether that is the new one all the same: two requests that were sent after
 * the known one was seen got the same answer. A single one may be late. */
bool
sched_clock_set_back(struct backend *backend, const struct run_report *report);

/* command_budget.c */
void
command_budget_refill(struct command_budget *budget, double per_s,
                      int64_t now_ms);
/* Whether commands that can wait may be sent; a part of the budget is reserved
 * for the others. */
bool
command_budget_allows_deferrable(const struct command_budget *budget,
                                 double per_s);

/* host_plan.c */
void
sched_plan_hosts(struct scheduler *sched);

/* forecast_hosts.c */
/* Decides how many hosts each pool should have ahead of its next peak, from
 * what it needs as of this plan. */
void
sched_forecast_hosts(struct scheduler *sched, int64_t now_ms);
/* Whether the next peak of @load is known to leave a host that moves away now
 * and back in time at least @rest_min_ms in between. */
bool
sched_rests_until_peak(const struct scheduler *sched,
                       const struct pool_load *load, int64_t rest_min_ms,
                       int64_t now_ms);

/* wave_plan.c */
void
sched_plan_waves(struct scheduler *sched);
struct wave *
sched_find_wave(const struct scheduler *sched, int64_t number);
bool
sched_run_may_stop(const struct run *run);

/* pool_load.c */
void
sched_record_arrival(struct scheduler *sched, struct job *job);
void
sched_measure_pools(struct scheduler *sched);
/* Thousandths of a core that can work on the pool's jobs. */
double
sched_working_milli(const struct scheduler *sched,
                    const struct pool_load *load);
int64_t
pool_load_wanted_hosts(const struct pool_load *load, int64_t now_ms);

/* scheduler_shares.c */
/* Decides which of the ranked jobs of a pool are tried first, and in which
 * order, by the shares of their client accounts. */
void
sched_share_order(struct scheduler *sched, struct pool_load *pool);
/* Counts a run that starts or ends as use of its account. */
void
sched_share_count_run(struct scheduler *sched, struct run *run,
                      int64_t factor);
void
sched_share_clear(struct pool_load *pool);

/* share_admission.c */
/* Weight of a client account; 0: none. */
int64_t
sched_team_weight(const struct scheduler *sched, struct team_usage *team);
/* Priority of the jobs of @queue; 0: none, and the highest. */
int64_t
sched_share_priority(const struct scheduler *sched,
                     const struct queue_config *queue);
/* Counts a backend server that takes work, for the plan. */
void
sched_share_add_capacity(const struct scheduler *sched,
                         const struct backend *backend);
/* Sets the backlogs of all accounts and the capacity to zero, for the plan. */
void
sched_share_reset(struct scheduler *sched, struct pool_load *pool);
/* Adds work of @job to the backlog of its account.
 * @attainable: it can still meet its objective */
void
sched_share_add_backlog(struct scheduler *sched, struct job *job,
                        double millicore_ms, bool attainable);
/* scheduler_pool_behind() with shares or priorities: work that may come before
 * a new job in addition to @backlog_millicore_ms. */
double
sched_share_late_millicore_ms(const struct scheduler *sched,
                              const struct pool_load *pool);
/* scheduler_refusal_ms() with shares or priorities. */
int64_t
sched_share_refusal_ms(struct scheduler *sched, const struct pool_load *pool,
                       const struct queue_config *queue,
                       const struct job *job);

/* order.c */
/* What is left of @job, computed again only after a change. */
const struct job_remaining *
job_remaining(struct job *job);
/* Priority of its queue, smaller is higher; the lowest if the queue is
 * unknown. */
int64_t
job_priority(const struct job *job);
/* @by_priority: the priority of its queue counts. */
void
job_order_rank(struct job *job, int64_t unix_ms, bool by_priority);
int
job_order_compare(const struct job *a, const struct job *b);
/* Sorts ranked jobs; fast if few have moved since the last time. */
void
job_order_sort(GPtrArray *jobs);

#endif
