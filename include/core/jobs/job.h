/* Jobs as clients submit them, and their progress. */
#ifndef CORE_JOBS_JOB_H
#define CORE_JOBS_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/jobs/crash_blame.h"
#include "core/jobs/step_advice.h"

struct run;

enum {
    JOB_ID_CHARS = 16,
    /* Bounds the memory of one job: 64 steps of 1,000 tasks. */
    JOB_STEPS_MAX = 64,
    JOB_STEP_TASKS_MAX = 1000,
    /* Occurrences and steps have to be numbered within 31 bits. */
    JOB_OCCURRENCES_MAX = INT32_MAX / JOB_STEPS_MAX,
    /* Bound the memory and the record of a scheduled job whose occurrences
     * are due faster than they end. The first is the largest occurrence. */
    JOB_OPEN_TASKS_MAX = JOB_STEPS_MAX * JOB_STEP_TASKS_MAX,
    JOB_OPEN_OCCURRENCES_MAX = 1000,
};

/**
 * struct resources - resources of a backend server or of a task
 * @cpu_milli: thousandths of a core
 * @mem_mb: memory in MB
 * @gpus: accelerators
 */
struct resources {
    int64_t cpu_milli;
    int64_t mem_mb;
    int64_t gpus;
};

/** resources_fit() - whether @need fits into @available. */
bool
resources_fit(const struct resources *available, const struct resources *need);

/**
 * resources_add() - add @by, multiplied by @factor, to @total; @factor may
 * be negative.
 */
void
resources_add(struct resources *total, const struct resources *by,
              int64_t factor);

/**
 * struct job_step - tasks of a job that may run side by side
 * @task_count: number of tasks
 * @need: resources of each task
 * @estimate_ms: run time of a task as declared by the client, approximate
 * @after: steps that must be done first
 * @n_after: length of @after
 * @required_label: label that the backend server must carry, or NULL
 * @data_rack: rack near the step's data, or NULL
 * @max_per_backend: most tasks of the step on one backend server; 0: no limit
 * @image: name of the program that the tasks run, or NULL
 * @tail_latency_target_ms: target of the tail latency of a latency-sensitive
 *                          task; 0: the task is not latency-sensitive
 * @max_unavailable: tasks that the scheduler may make unavailable at once; 0:
 *                   no limit
 * @checkpointing: tasks save their progress
 * @gang: tasks make progress only while all of them run
 * @same_rack: tasks slow down when spread over racks
 * @speculative: copies may run side by side
 * @long_running: service tasks: they run until the job is cancelled, and are
 *                started again however they end
 * @best_effort: tasks use leftover processor time; none is reserved for them
 */
struct job_step {
    uint32_t task_count;
    struct resources need;
    int64_t estimate_ms;
    uint32_t *after;
    uint32_t n_after;
    char *required_label;
    char *data_rack;
    uint32_t max_per_backend;
    char *image;
    int64_t tail_latency_target_ms;
    uint32_t max_unavailable;
    bool checkpointing;
    bool gang;
    bool same_rack;
    bool speculative;
    bool long_running;
    bool best_effort;
};

/**
 * struct job_task - one task and its current run
 * @run: run that may be in progress, or NULL
 * @run_number: highest number known of a run of this task
 * @refusals: starts in a row that were refused
 * @failures: runs that ended as failed
 * @failed_runs: their numbers, so that a completion that is reported again
 * after a takeover counts once
 * @done: a run ended as done; never of a service task
 * @saved: last checkpoint, or NULL
 * @wait_until_ms: no start before this time, on the scheduler's clock
 * @strays: runs of it that are being stopped as strays; it does not start
 * while there are any
 * @stalls: runs that were stopped as stalled
 * @avoid: id of the backend server where the last run failed, or NULL
 * @crash: what crashes of backend servers say about it
 * @crash_version: version of the job's progress that contains @crash; it does
 *                 not start before that is stored
 * @crash_group: the loss that made it a suspect; 0: none, or a previous
 *               leader's
 * @crash_losses: losses that made it a suspect since it last worked alone
 * @crash_backend: backend server of its last isolated start, or one that fell
 *                 silent just after it had started there, unless it has worked
 *                 there; or NULL
 * @crash_shared: others may have crashed @crash_backend as well
 * @isolation_since_ms: since when it has waited for a backend server to
 * itself; 0: it has not
 * @preemptions: runs that were preempted, as far as this leader knows
 */
struct job_task {
    struct run *run;
    uint32_t run_number;
    uint32_t refusals;
    uint32_t failures;
    uint32_t *failed_runs;
    bool done;
    char *saved;
    int64_t wait_until_ms;
    uint32_t strays;
    uint32_t stalls;
    char *avoid;
    struct crash_record crash;
    uint64_t crash_version;
    uint32_t crash_group;
    uint32_t crash_losses;
    char *crash_backend;
    bool crash_shared;
    int64_t isolation_since_ms;
    uint32_t preemptions;
};

/**
 * struct step_progress - progress of one step of one occurrence
 * @tasks: its tasks
 * @done: tasks that are done
 * @newest_saved: task whose checkpoint was reported last
 * @advice: which backend servers may run it; NULL: not requested yet
 */
struct step_progress {
    struct job_task *tasks;
    uint32_t done;
    uint32_t newest_saved;
    struct step_advice *advice;
};

/**
 * struct job_occurrence - progress of an occurrence that is open
 * @number: counts from 0
 * @started: a task of it may have started
 * @steps: its progress, for each step of the job
 */
struct job_occurrence {
    uint32_t number;
    bool started;
    struct step_progress *steps;
};

/** struct occurrence_range - occurrences @first to @last, both included */
struct occurrence_range {
    uint32_t first;
    uint32_t last;
};

/**
 * enum job_state - state of a job
 * @JOB_ACTIVE: accepted and not finished
 */
enum job_state {
    JOB_ACTIVE,
    JOB_COMPLETED,
    JOB_FAILED,
    JOB_CANCELLED,
};

/**
 * enum job_urgency - class of a waiting job, most urgent first
 * @URGENCY_SERVICE: holds its resources until it is cancelled, and starts once
 * @URGENCY_ATTAINABLE: can still meet its objective
 * @URGENCY_LATE: can no longer meet its objective
 */
enum job_urgency {
    URGENCY_SERVICE,
    URGENCY_ATTAINABLE,
    URGENCY_LATE,
};

/**
 * struct job_rank - position in the job order; smaller comes first
 * @priority: of its queue; 0 for services, and without queue priorities
 */
struct job_rank {
    int64_t priority;
    enum job_urgency urgency;
    int64_t key;
};

/**
 * struct job_remaining - what is left of a job, as of its last change
 * @version: version of the job that it belongs to, plus one; 0: none
 * @generation: configuration that it belongs to
 * @service: some step runs until the job is cancelled
 * @attainable_until_ms: Unix time until which it can still meet its objective
 * @millicore_ms: declared work
 * @least_need: no task of a step that is not done takes less of anything
 */
struct job_remaining {
    uint64_t version;
    uint64_t generation;
    bool service;
    int64_t attainable_until_ms;
    int64_t millicore_ms;
    struct resources least_need;
};

struct queue_config;
struct pool_load;
struct team_usage;
struct pool_account;

/**
 * struct job_refs - a job's queue, pool and client account, by reference
 * @generation: configuration for which they were looked up; 0: never
 * @queue: NULL if the queue was removed since the job was submitted
 * @pool: pool that runs its tasks, NULL if there is none
 * @team: use of its client account
 * @account: use of @pool by that account, NULL: not looked up yet
 * @backlog: entry of @pool that counts its work, plus one, see
 *           scheduler_shares.c; 0: not looked up yet
 */
struct job_refs {
    uint64_t generation;
    const struct queue_config *queue;
    struct pool_load *pool;
    struct team_usage *team;
    struct pool_account *account;
    uint32_t backlog;
};

/**
 * struct job - steps of tasks and their progress
 * @id: sixteen hexadecimal digits chosen by the client
 * @queue: name of the queue
 * @pool: pool of the queue when the job was accepted
 * @attempts: failed runs of a task after which the job fails, as at acceptance
 * @team: name of the client account, empty on a public queue
 * @text: opaque text passed to every task
 * @accepted_unix_ms: time of acceptance
 * @first_ms: Unix time of the first occurrence; 0: at once
 * @interval_ms: time between occurrences
 * @n_occurrences: number of occurrences, 1 without a schedule
 * @steps: the steps; @n_steps of them
 * @open: struct job_occurrence, by number; those that may have progress and
 *        are not finished, and the next one to start
 * @finished: struct occurrence_range, in order and with gaps between them;
 *            occurrences that are done and no longer open
 * @n_finished: number of occurrences in @finished
 * @open_max: most occurrences whose progress fits into one record; 0: no such
 *            limit
 * @state: state of the job
 * @ended_unix_ms: when it was completed, failed or cancelled; 0: it was not,
 * or that is not known
 * @started: whether a task is known to have started
 * @version: counts changes of the progress
 * @stored_version: newest version known to be stored
 * @revision: store revision of the stored progress; 0: none
 * @storing: a write of the progress is in flight
 * @store_alone: its progress is written in a transaction of its own
 * @store_rejections: how often the store rejected that
 * @inherited: accepted before the current scheduler took over
 * @tombstone: it was cancelled before it was accepted, and never will be
 * @left_pool: tasks may have started in another pool than @pool
 * @left_pool_version: version of the progress that contains @left_pool
 * @rank: its position in the job order at the last pass
 * @remaining: what is left of it, for the job order
 * @share_pass: last pass that tried it where the share of its account has put
 *              it
 * @share_listed: last order that left it there, see scheduler_shares.c
 * @refs: what the scheduler looks up once for it
 * @active_index: its position among the active jobs of its scheduler
 * @reservations: reservations of capacity for its waiting tasks
 * @unplaced: it may have tasks to place, and is among the unplaced jobs of its
 *            pool
 * @dirty: its progress is waiting to be stored
 * @closing: occurrences of it may have finished since the last pass
 * @ref_count: references to this struct
 */
struct job {
    char id[JOB_ID_CHARS + 1];
    char *queue;
    char *pool;
    uint32_t attempts;
    char *team;
    char *text;
    int64_t accepted_unix_ms;
    int64_t first_ms;
    int64_t interval_ms;
    uint32_t n_occurrences;
    struct job_step *steps;
    uint32_t n_steps;
    GPtrArray *open;
    GArray *finished;
    uint32_t n_finished;
    uint32_t open_max;
    enum job_state state;
    int64_t ended_unix_ms;
    bool started;
    uint64_t version;
    uint64_t stored_version;
    int64_t revision;
    bool storing;
    bool store_alone;
    uint32_t store_rejections;
    bool inherited;
    bool tombstone;
    bool left_pool;
    uint64_t left_pool_version;
    struct job_rank rank;
    struct job_remaining remaining;
    uint64_t share_pass;
    uint64_t share_listed;
    struct job_refs refs;
    uint32_t active_index;
    uint32_t reservations;
    bool unplaced;
    bool dirty;
    bool closing;
    int ref_count;
};

/** job_create() - job with @n_steps empty steps and no progress. */
struct job *
job_create(uint32_t n_steps);

struct job *
job_ref(struct job *job);
void
job_unref(struct job *job);

/**
 * job_step_backend_need() - resources that a task takes on its backend server;
 * best-effort tasks reserve no processor time.
 */
struct resources
job_step_backend_need(const struct job_step *step);

/**
 * job_step_progress() - progress of step @step of occurrence @occurrence,
 * which is opened if it is not open.
 */
struct step_progress *
job_step_progress(struct job *job, uint32_t occurrence, uint32_t step);

/** job_find_occurrence() - @occurrence if it is open, or NULL. */
struct job_occurrence *
job_find_occurrence(const struct job *job, uint32_t occurrence);

/** job_open_occurrence() - @occurrence, opened if it is not open. */
struct job_occurrence *
job_open_occurrence(struct job *job, uint32_t occurrence);

/** job_occurrence_finished() - whether it is done and no longer open. */
bool
job_occurrence_finished(const struct job *job, uint32_t occurrence);

/** job_finish_occurrences() - count @first to @last as done; none is open. */
void
job_finish_occurrences(struct job *job, uint32_t first, uint32_t last);

/**
 * job_next_occurrence() - first occurrence from @from on that is neither open
 * nor finished; @n_occurrences if there is none.
 */
uint32_t
job_next_occurrence(const struct job *job, uint32_t from);

/**
 * job_close_occurrences() - free the progress of open occurrences that are
 * done, or of all if the job is; not while runs refer to them.
 */
void
job_close_occurrences(struct job *job);

/**
 * job_due_unopened() - number of occurrences that are due at Unix time
 * @unix_ms and are neither open nor finished.
 */
uint32_t
job_due_unopened(const struct job *job, int64_t unix_ms);

/** job_free_occurrences() - free the progress of all open occurrences. */
void
job_free_occurrences(struct job *job);

/** job_open_max() - most occurrences that may be open at once. */
uint32_t
job_open_max(const struct job *job);

/** job_step_done() - number of tasks of the step that are done. */
uint32_t
job_step_done(const struct job *job, uint32_t occurrence, uint32_t step);

/**
 * job_task_finish() - mark a task as done
 *
 * Return: false if it was done, or is a service task: one that has ended by
 * itself is started again.
 */
bool
job_task_finish(struct job *job, uint32_t occurrence, uint32_t step,
                uint32_t index);

/** job_task_count() - tasks of one occurrence. */
uint32_t
job_task_count(const struct job *job);

/** job_step_ready() - whether all steps before @step are done. */
bool
job_step_ready(const struct job *job, uint32_t occurrence, uint32_t step);

/** job_due_ms() - Unix time at which an occurrence may start; 0: at once. */
int64_t
job_due_ms(const struct job *job, uint32_t occurrence);

/** job_all_done() - whether every task of every occurrence is done. */
bool
job_all_done(const struct job *job);

/** job_is_service() - whether any step runs until the job is cancelled. */
bool
job_is_service(const struct job *job);

/**
 * job_critical_path_ms() - declared run time of the longest chain of steps.
 */
int64_t
job_critical_path_ms(const struct job *job);

/** job_millicore_ms() - declared work, in thousandths of a core times ms. */
int64_t
job_millicore_ms(const struct job *job);

/** job_describe() - its steps, in one line for the log; g_free(). */
char *
job_describe(const struct job *job);

/** job_save_checkpoint() - keep @saved as the checkpoint of a task; false if
 * it is empty, NULL, or the one kept already. */
bool
job_save_checkpoint(struct step_progress *progress, uint32_t index,
                    const char *saved);

/**
 * job_task_record_failure() - count a run that ended as failed; false if it
 * was counted before.
 */
bool
job_task_record_failure(struct job_task *task, uint32_t run_number);

/** job_mark_changed() - record that the progress has changed. */
void
job_mark_changed(struct job *job);

/** job_state_name() - stable lower-case name of @state. */
const char *
job_state_name(enum job_state state);

#endif
