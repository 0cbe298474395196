/* Leader state that is shared by the leader_*.c files. */
#ifndef EGRETJOBD_LEADER_STATE_H
#define EGRETJOBD_LEADER_STATE_H

#include "egretjobd/committer.h"
#include "egretjobd/leader.h"
#include "egretjobd/leader_inbox.h"
#include "egretjobd/store_route.h"
#include "platform/advice_api.h"
#include "platform/backend_client.h"
#include "platform/hosts_api.h"
#include "platform/kv.h"

/**
 * enum leader_stage - records in the order in which they are applied
 * @STAGE_REGISTERED: backend servers on which an earlier leader may have
 *                    started runs
 * @STAGE_BACKENDS: backend servers that the platform lists
 * @STAGE_INBOX: messages; a cancelled job must not start before it is read
 */
enum leader_stage {
    STAGE_PROGRESS,
    STAGE_JOBS,
    STAGE_REGISTERED,
    STAGE_WAVES,
    STAGE_HOST_COMMANDS,
    STAGE_BACKENDS,
    STAGE_INBOX,
    STAGE_READY,
};

/**
 * struct record_range - read of one kind of record after a takeover
 * @items: struct kv_item
 * @as_of: revision of the store from which on a change may be missing
 * @requested_ms: when it was last requested
 * @complete: it was read
 */
struct record_range {
    struct leader *leader;
    enum leader_stage stage;
    struct kv *kv;
    struct event *retry;
    GPtrArray *items;
    int64_t as_of;
    int64_t requested_ms;
    bool complete;
};

/** struct cancel_waiter - a caller that waits until a cancel is stored */
struct cancel_waiter {
    struct job *job;
    struct job_reply reply;
};

enum {
    /* Transactions open at once; a slow store takes 50 to 100 times as long as
     * usual. */
    PROGRESS_TXN_COUNT = 8,
};

/**
 * struct progress_txn - one open transaction with decisions of the scheduler
 * @batch: its changes, or NULL if none is open
 * @sent_ms: when it was sent
 */
struct progress_txn {
    struct leader *leader;
    struct committer *committer;
    struct store_batch *batch;
    int64_t sent_ms;
};

/**
 * struct leader - the scheduler with its connections and unstored results
 * @token: fencing token of this leadership
 * @stage: record kind that is being applied; STAGE_READY after that
 * @tick_due_ms: when the next scheduling pass is due
 * @tick_delay_ms: delay from an event to the pass that handles it
 * @backend_clients: id of a backend server to its struct backend_client
 * @hosts_requested_ms: when the list of hosts was last requested
 * @progress: id of a job to the struct kv_item of its progress, while loading
 * @early_jobs: struct kv_item, jobs accepted before STAGE_READY
 * @listed_ids: ids of backend servers in the platform's list, as read so far
 * @unusable_ids: ids of entries there that describe no usable backend server
 * @backends_as_of: revision after which to watch backend servers; 0: read all
 * @inbox: messages of other entry hosts
 * @late_logged_ms: when a late pass of the scheduler was last logged
 * @cancels: struct cancel_waiter
 * @wave_status: number of a maintenance wave to the status stored last
 * @wave_revisions: number of a wave to the revision of its record, if any
 * @wave_status_sent: number of the wave whose status is being stored, or NULL
 * @status_due_ms: when statuses of waves are compared next
 * @status_retry_ms: no status is stored before this time
 * @numbers_sent: term up to which run numbers are being reserved; 0: none are
 * @numbers_revision: revision of the record of reserved run numbers; 0: none
 * @numbers_retry_ms: none are reserved before this time
 * @leases_revision: revision of the record of open leases; 0: there is none
 * @leases_sent: it is being written
 * @leases_retry_ms: it isn't written before this time
 */
struct leader {
    struct node *node;
    struct scheduler *sched;
    int64_t token;
    enum leader_stage stage;
    struct kv *reads;
    struct kv *writes;
    struct progress_txn progress_txns[PROGRESS_TXN_COUNT];
    struct kv *backend_watch;
    struct leader_inbox *inbox;
    struct hosts_api *hosts;
    struct advice_api *advice;
    struct host_commands *host_commands;
    struct event *tick_timer;
    struct event *watch_timer;
    struct event *hosts_timer;
    int64_t hosts_requested_ms;
    struct event *store_timer;
    bool tick_scheduled;
    int64_t tick_due_ms;
    int64_t tick_delay_ms;
    GHashTable *backend_clients;
    GHashTable *progress;
    GPtrArray *early_jobs;
    GHashTable *listed_ids;
    GHashTable *unusable_ids;
    int64_t backends_as_of;
    int64_t late_logged_ms;
    struct record_range ranges[STAGE_READY];
    GPtrArray *cancels;
    GHashTable *wave_status;
    GHashTable *wave_revisions;
    char *wave_status_sent;
    int64_t status_due_ms;
    int64_t status_retry_ms;
    uint32_t numbers_sent;
    int64_t numbers_revision;
    int64_t numbers_retry_ms;
    int64_t leases_revision;
    bool leases_sent;
    int64_t leases_retry_ms;
};

/* leader.c */
/* Adds the jobs that were accepted while the records were read. */
void
leader_add_early_jobs(struct leader *leader);
void
leader_schedule_tick(struct leader *leader);
/* Tells the scheduler whether the leadership is valid now, and whether its
 * renewal is overdue. */
void
leader_update_validity(struct leader *leader);

/* leader_load.c */
void
leader_load_records(struct leader *leader);
void
leader_watch_backends(struct leader *leader);
void
leader_load_destroy(struct leader *leader);
void
leader_add_stored_job(struct leader *leader, const char *id,
                      const struct kv_item *item);
/* Job of a stored record, or NULL after logging that it can't be read. */
struct job *
leader_decode_job(const struct leader *leader, const char *id,
                  const char *value, size_t bytes);
/* Adds a stored job that isn't known yet; one that a message has cancelled is
 * cancelled at once. */
void
leader_add_job(struct leader *leader, struct job *job);

/* leader_store.c */
void
leader_store_changes(struct leader *leader);
void
leader_store_wave_status(struct leader *leader);
/* Stores the list of open leases if it is outdated. */
void
leader_store_leases(struct leader *leader);
/* Reserves further run numbers in the store if the scheduler wants them. */
void
leader_reserve_run_numbers(struct leader *leader);
void
leader_set_wave_revision(struct leader *leader, const char *number,
                         int64_t revision);

/* leader_host_commands.c */
struct host_commands *
host_commands_create(struct leader *leader);
void
host_commands_destroy(struct host_commands *commands);
/* Whether host commands may be sent now; @ctx: struct leader. */
bool
host_commands_allowed(void *ctx);
/* Applies the record of the previous leader. */
void
host_commands_load(struct host_commands *commands, const struct kv_item *item);
/* Queues a move, or a reboot if @pool is NULL. */
void
host_commands_add(struct host_commands *commands, const char *host,
                  const char *pool, int64_t wave);
/* Stores the hosts of the queued commands, then sends the commands. */
void
host_commands_flush(struct host_commands *commands);

/* leader_commands.c */
struct sched_ops
leader_ops(struct leader *leader);
void
leader_drop_unused_clients(struct leader *leader);

#endif
