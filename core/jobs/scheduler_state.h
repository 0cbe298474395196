/* State shared by the files of the scheduler. */
#ifndef CORE_JOBS_SCHEDULER_STATE_H
#define CORE_JOBS_SCHEDULER_STATE_H

#include "core/jobs/scheduler.h"

enum {
    /* Bounds how long a crash delays the restart of its tasks; three lists
     * may fail before a lease lapses. */
    LEASE_MS = 3000,
    /* Part of a lease after which it is renewed at the latest. */
    LIST_WAIT_MS = 800,
    /* Smallest time between two lists of one backend server: ends that come
     * together are read together. */
    LIST_GAP_MS = 15,
    LIST_RETRY_MS = 250,
    /* A stop without an answer is sent again after this time. */
    STOP_RETRY_MS = 400,
    /* A start that found no room or was refused waits this long. */
    START_RETRY_MS = 120,
    /* A run whose progress stands still this long is moved elsewhere; a
     * list is read at least every LIST_WAIT_MS. */
    STALL_MS = 2500,
    /* Runs that fail in a row before a backend server is set aside. */
    SUSPECT_FAILURES = 3,
    SUSPECT_MS = 4000,
    /* Run numbers of one term; no task is started that often by one. */
    TERM_RUNS = 1000,
};

/**
 * struct host - a host and what was ordered about it
 * @backend: its present life, or NULL
 * @wave: maintenance it still owes; 0: none
 * @wave_begun: its maintenance was accepted
 * @away_until_ms: an order is being carried out until about then
 * @target_pool: pool it is ordered to, or NULL
 * @ordering: an order is in flight
 */
struct host {
    char *name;
    char *pool;
    char *data_centre;
    char *backend_id;
    bool up;
    bool present;
    int64_t wave;
    bool wave_begun;
    int64_t away_until_ms;
    char *target_pool;
    char *last_life;
    bool ordering;
    bool chosen_move;
    bool chosen_reboot;
};

struct wave {
    int64_t number;
    GPtrArray *hosts;
    int64_t most;
};

struct team_use {
    char *team;
    struct job_room used;
};

/**
 * struct pool_load - load of one pool, kept for its size and for admission
 * @arrived_core_ms: declared work that arrived, decaying
 */
struct pool_load {
    char *pool;
    double arrival_cores;
    int64_t arrival_at_ms;
    int64_t idle_since_ms;
    double waiting_cores;
    double short_cores;
};

struct scheduler {
    struct sched_timings timings;
    struct sched_ops ops;
    struct ms_clock clock;
    struct ms_clock unix_clock;
    uint32_t term;
    const struct fleet_config *config;
    char **out;
    bool valid;
    bool outage;
    bool fenced;
    int64_t taken_over_ms;
    uint64_t next_handle;
    GHashTable *backends;
    GHashTable *jobs;
    GPtrArray *active;
    GHashTable *runs;
    GHashTable *team_use;
    GHashTable *hosts;
    GHashTable *pools;
    GPtrArray *waves;
    GPtrArray *dirty;
    GPtrArray *to_register;
    GPtrArray *to_release;
    GQueue finished;
    int64_t hosts_due_ms;
    struct sched_figures figures;
};

static inline int64_t
sched_now(const struct scheduler *sched)
{
    return ms_clock_now(&sched->clock);
}

/* scheduler.c */
void
sched_note(struct scheduler *sched, const char *event, const char *format,
           ...) __attribute__((format(printf, 3, 4)));
void
sched_mark_dirty(struct scheduler *sched, struct job *job);
void
sched_finish_job(struct scheduler *sched, struct job *job,
                 enum job_state state);
bool
sched_is_out(const struct scheduler *sched, const char *data_centre);
bool
sched_usable(const struct scheduler *sched, const struct backend *backend);
struct pool_load *
sched_pool_load(struct scheduler *sched, const char *pool);

/* scheduler_runs.c */
struct run *
sched_run_create(struct scheduler *sched, struct job *job,
                 uint32_t occurrence, uint32_t step, uint32_t index,
                 uint32_t number, struct backend *backend);
void
sched_run_free(struct scheduler *sched, struct run *run);
void
sched_run_stop(struct scheduler *sched, struct run *run);
void
sched_run_end(struct scheduler *sched, struct run *run,
              enum end_reason reason, const char *saved);
void
sched_task_done(struct scheduler *sched, struct job *job,
                uint32_t occurrence, uint32_t step, uint32_t index);
void
sched_backend_lost(struct scheduler *sched, struct backend *backend,
                   const char *why);
void
sched_watch_runs(struct scheduler *sched);
struct job_room *
sched_team_used(struct scheduler *sched, const char *team);

/* scheduler_lists.c */
void
sched_lists_due(struct scheduler *sched);

/* place.c */
void
sched_place(struct scheduler *sched);

/* host_plan.c */
void
sched_plan_hosts(struct scheduler *sched);
void
sched_host_life(struct scheduler *sched, const struct backend *backend);

/* order.c */
int
job_order_compare(const struct scheduler *sched, const struct job *a,
                  const struct job *b, int64_t unix_ms);

#endif
