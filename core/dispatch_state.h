/* Internal state of the dispatcher, shared by core/dispatch_*.c, routing.c
 * and fair_queue.c. Public interface: include/core/dispatch.h. */
#ifndef CORE_DISPATCH_STATE_H
#define CORE_DISPATCH_STATE_H

#include <glib.h>

#include "common/random.h"
#include "core/deadline_heap.h"
#include "core/dispatch.h"
#include "core/estimate.h"
#include "core/outlier.h"
#include "core/retry_budget.h"

enum {
    /* Added to a lease before its attempt is assumed to have ended. */
    LEASE_MARGIN_MS = 1000,
    /* Reports of peers that are older are discarded. */
    PEER_REPORT_MAX_AGE_MS = 3000,
    PEER_CHECK_INTERVAL_MS = 500,
    /* A task that failed on this many distinct hosts is not retried. */
    TASK_FAILED_HOSTS_MAX = 3,
    /* A task that backend servers refused this often is not retried. */
    TASK_REFUSALS_MAX = 64,
    TASK_FORWARDS_MAX = 2,
    /* Pause between probes of hosts that seem full; doubles with every
     * refusal. */
    PROBE_PAUSE_MIN_MS = 20,
    PROBE_PAUSE_MAX_MS = 100,
    /* Lanes tried for one start when the first task of a lane may run on no
     * host with free capacity. */
    LANES_PER_START = 4,
};

enum task_state {
    TASK_QUEUED,
    TASK_IN_ATTEMPT,
    TASK_FORWARDED,
    TASK_REFUSED,
};

struct dc {
    char *name;
    bool out_of_service;
};

struct team {
    char *name;
    uint32_t index;
    bool configured;
    uint32_t share_permille;
    uint32_t max_running;
    uint32_t permits;
    uint32_t running;
    uint32_t queued;
    bool permitted;
    /* Entries of struct pool_team. */
    GPtrArray *pool_teams;
    /* Running attempts and free permits, summed over the reports of peers. */
    uint32_t peers_running;
    uint32_t peers_free;
    /* Whether a waiting task may be forwarded; linked in
     * dispatch.forward_teams while set. */
    bool may_forward;
    GList forward_link;
};

struct rack {
    uint32_t outstanding;
};

/* Usage of a pool, summed over teams that are not reported one by one. */
struct pool_usage {
    uint32_t running;
    uint32_t queued;
    uint32_t reserve_milli;
};

struct pool {
    char *name;
    bool configured;
    /* Slots of the hosts that tasks are routed to, and numbers of hosts. */
    uint32_t slots;
    uint32_t hosts;
    uint32_t hosts_accepting;
    uint32_t hosts_dc_out_of_service;
    uint32_t running;
    uint32_t peers_running;
    uint32_t queued;
    /* Usage not reported by team: in the last report of this gateway, and
     * in those of peers. */
    struct pool_usage aggregate;
    struct pool_usage peers_aggregate;
    struct outlier_pool outlier;
    /* Hosts estimated to have a free slot: all, and those in the data
     * centre of this gateway. */
    GPtrArray *open_hosts;
    GPtrArray *open_local;
    /* Hosts estimated to be full, least recently checked first. */
    GQueue full_hosts;
    int64_t probed_ms;
    int64_t probe_pause_ms;
    /* Entries of struct pool_team: all, those with work on any gateway, and
     * by team index. */
    GPtrArray *pool_teams;
    GPtrArray *in_use;
    GPtrArray *by_team;
    /* Teams with waiting tasks that may start, indexed by urgent. */
    GQueue ready[2];
    bool active;
    GList active_link;
    struct deadline_entry wake;
    /* Division of slots among teams; applies while demand exceeds them. */
    bool contended;
    struct deadline_entry plan;
    int64_t planned_ms;
    double slots_planned;
    /* Slots per unit of weight that teams get whose demand is not met. */
    double fill_level;
    double own_fraction;
    double mean_run_ms;
    /* Which kinds of queues it has: [urgent]. */
    bool has_queue[2];
    /* Urgent tasks: observed load, and slots kept free for them. */
    uint32_t urgent_running;
    uint32_t urgent_queued;
    int64_t urgent_deadline_ms;
    double urgent_arrivals;
    int64_t urgent_since_ms;
    double reserve;
    struct estimate run[2];
};

struct queue {
    char *name;
    bool configured;
    bool urgent;
    bool open;
    struct pool *pool;
    int64_t start_deadline_ms;
    int64_t max_run_ms;
    uint32_t max_queued;
    uint32_t queued;
    uint32_t running;
    struct estimate run;
    struct retry_budget retries;
    /* Lanes by team. */
    GHashTable *lanes;
};

/* One team's use of one pool. Members that planning reads come first, for
 * cache locality. */
struct pool_team {
    struct team *team;
    struct pool *pool;
    uint32_t running;
    uint32_t queued;
    uint32_t peers_running;
    uint32_t peers_queued;
    /* Slots that the team is due on this gateway while the pool is
     * contended, and the time integral of due less running slots. */
    double due_slots;
    double lag_ms;
    int64_t advanced_ms;
    /* Slot time and completed tasks of all gateways, decaying over time. */
    double busy_ms;
    double completed;
    int64_t decayed_ms;
    bool in_use;
    bool ready[2];
    uint64_t served_milli;
    int64_t served_ms;
    struct deadline_entry unblock;
    /* Last report of each peer, by the peer's index. */
    struct peer_usage *peers;
    uint32_t n_peers;
    /* Lanes with waiting tasks, indexed by urgent. */
    GQueue lanes[2];
    GList ready_link[2];
};

/* Waiting tasks of one team in one queue. */
struct lane {
    struct queue *queue;
    struct pool_team *pool_team;
    GQueue tasks;
    GList link;
};

/* A backend server. Members that every routing decision reads come first,
 * for cache locality. */
struct host {
    struct pool *pool;
    struct dc *dc;
    struct rack *rack;
    uint32_t serial;
    uint32_t slots;
    uint32_t connections;
    uint32_t outstanding;
    uint32_t reported_others;
    struct outlier outlier;
    int64_t reported_ms;
    int64_t refused_ms;
    /* When it became usable (again); its slots are ramped up from then. */
    int64_t returned_ms;
    bool local;
    bool listed;
    bool accepting;
    /* Whether its slots are included in those of the pool. */
    bool counted;
    bool full;
    /* Positions in the pool's open_hosts and open_local, or -1. */
    int32_t open_index;
    int32_t local_index;
    GList full_link;
    char *name;
    char *address;
    char *rack_name;
    /* Whether the list of hosts that is being applied contains it. */
    bool seen;
    bool usable;
    bool was_usable;
    struct deadline_entry ejection;
};

struct task {
    uint64_t id;
    enum task_state state;
    struct lane *lane;
    char *key_id;
    char *key_hash_hex;
    bool idempotent;
    bool forwarded;
    bool cancelled;
    /* An attempt was sent and may have run. */
    bool may_have_run;
    /* Its failures were taken back from the hosts' failure counts. */
    bool failures_discounted;
    int64_t submitted_ms;
    struct deadline_entry deadline;
    GList link;
    uint64_t attempt;
    uint32_t forwards;
    char *peer;
    enum reason reason;
    int64_t retry_after_ms;
    uint32_t refusals;
    /* Serials of the host that refused it last and of the hosts on which it
     * failed. */
    uint32_t refused_by;
    uint32_t n_failed;
    uint32_t failed_on[TASK_FAILED_HOSTS_MAX];
};

struct attempt {
    uint64_t id;
    /* NULL once the task has ended or is retried elsewhere. */
    struct task *task;
    struct queue *queue;
    struct pool_team *pool_team;
    struct host *host;
    bool urgent;
    bool sent;
    bool ran;
    bool lost;
    /* Sent to a host that seemed full, to find out if it still is. */
    bool probe;
    int64_t started_ms;
    int64_t lease_ms;
    struct deadline_entry lease_expiry;
};

struct peer_usage {
    uint32_t running;
    uint32_t queued;
    uint32_t last_running;
    bool known;
    /* Time of the last report that contained it. */
    int64_t reported_ms;
    uint64_t served_milli;
};

struct peer {
    char *name;
    uint32_t index;
    int64_t reported_ms;
    /* Entries of struct pool_team that it reported. */
    GPtrArray *pool_teams;
    /* Free permits by team; struct pool_usage by pool. */
    GHashTable *free_permits;
    GHashTable *pools;
};

struct dispatch {
    struct random random;
    int64_t now_ms;
    int64_t peers_checked_ms;
    enum service_unit unit;
    bool hosts_known;
    char *own_dc;
    const struct config *config;
    int64_t quorum_lease_expires_ms;
    bool draining;
    uint64_t last_attempt;
    uint32_t last_host;
    GHashTable *teams;
    GHashTable *pools;
    GHashTable *queues;
    GHashTable *dcs;
    GHashTable *hosts;
    GHashTable *hosts_by_serial;
    GHashTable *racks;
    GHashTable *keys;
    GHashTable *tasks;
    GHashTable *attempts;
    GHashTable *peers;
    struct deadline_heap *deadlines;
    struct deadline_heap *leases;
    struct deadline_heap *plans;
    struct deadline_heap *unblocks;
    struct deadline_heap *ejections;
    struct deadline_heap *wakes;
    GQueue refused;
    GQueue active_pools;
    GQueue forward_teams;
    GArray *usage;
    GArray *claims;
    char *action_peer;
};

static inline void
dispatch_advance_clock(struct dispatch *dispatch, int64_t now_ms)
{
    dispatch->now_ms = MAX(dispatch->now_ms, now_ms);
}

/* dispatch_config.c */
struct team *
dispatch_team(struct dispatch *dispatch, const char *name);
struct dc *
dispatch_dc(struct dispatch *dispatch, const char *name);
struct pool *
dispatch_pool(struct dispatch *dispatch, const char *name);
enum reason
task_allowed(const struct dispatch *dispatch, const struct task *task);

/* fair_queue.c */
void
pool_team_destroy(void *data);
struct pool_team *
pool_team_get(struct pool *pool, struct team *team);
void
pool_team_activate(struct pool_team *pool_team);
void
pool_team_update(struct dispatch *dispatch, struct pool_team *pool_team);
struct lane *
lane_get(struct queue *queue, struct team *team);
void
lane_push(struct dispatch *dispatch, struct lane *lane, struct task *task,
          bool first);
void
lane_remove(struct dispatch *dispatch, struct task *task);
void
lane_move(struct dispatch *dispatch, struct lane *lane, struct pool *pool,
          bool urgent);
void
team_update(struct dispatch *dispatch, struct team *team);
void
pool_wake(struct dispatch *dispatch, struct pool *pool);
void
pool_wake_later(struct dispatch *dispatch, struct pool *pool);
void
pool_sleep(struct dispatch *dispatch, struct pool *pool);
struct lane *
pool_next_lane(struct dispatch *dispatch, struct pool *pool);

/* dispatch_share.c */
void
pool_plan_shares(struct dispatch *dispatch, struct pool *pool);
/* Assigns slots, until the next plan, to a team that gets work in a contended
 * pool. */
void
pool_team_join(struct dispatch *dispatch, struct pool_team *pool_team);
void
pool_plan_shares_soon(struct dispatch *dispatch, struct pool *pool);
void
plans_run(struct dispatch *dispatch);
void
pool_team_advance(struct dispatch *dispatch, struct pool_team *pool_team);
bool
pool_team_may_start(struct dispatch *dispatch, struct pool_team *pool_team);
/* Whether the team got clearly less than its share of a contended pool. */
bool
pool_team_behind(const struct pool_team *pool_team);
bool
pool_has_normal_capacity(const struct pool *pool);

/* dispatch_reserve.c */
void
reserve_count_arrival(struct dispatch *dispatch, struct pool *pool);
void
reserve_plan(struct dispatch *dispatch, struct pool *pool);

/* dispatch_admit.c */
enum reason
lane_admit(const struct dispatch *dispatch, const struct lane *lane,
           int64_t *retry_after_ms);

/* dispatch_hosts.c */
void
hosts_changed(struct dispatch *dispatch);
void
wake_all_pools(struct dispatch *dispatch);
void
host_destroy(void *data);
void
host_fail(struct dispatch *dispatch, struct host *host);
/* hosts_discount_failures(): the task caused its failures, so they are taken
 * back from the hosts. hosts_restore_failures(): it succeeded later, so they
 * are counted again. */
void
hosts_discount_failures(struct dispatch *dispatch, struct task *task);
void
hosts_restore_failures(struct dispatch *dispatch, const struct task *task);
void
ejections_end(struct dispatch *dispatch);

/* dispatch_next.c */
enum reason
lane_waits_for(const struct dispatch *dispatch, const struct lane *lane,
               int64_t now_ms);

/* dispatch_peers.c */
void
peer_destroy(void *data);
uint32_t
live_gateways(const struct dispatch *dispatch);
void
peers_drop_stale(struct dispatch *dispatch);

/* dispatch_forward.c */
bool
next_forward(struct dispatch *dispatch, struct dispatch_action *action);

/* dispatch_attempt.c */
struct attempt *
attempt_start(struct dispatch *dispatch, struct task *task, struct host *host,
              bool probe);
void
attempt_destroy(void *data);
void
attempts_expire(struct dispatch *dispatch);
enum reason
attempt_allowed(const struct dispatch *dispatch, const struct attempt *attempt,
                int64_t now_ms);

/* dispatch_retry.c */
bool
task_attempt_ended(struct dispatch *dispatch, struct task *task,
                   const struct attempt *attempt, enum attempt_result result);

/* dispatch_task.c */
struct task *
task_create(struct dispatch *dispatch, const struct dispatch_task *submitted,
            struct lane *lane);
void
task_end(struct dispatch *dispatch, struct task *task);
void
task_refuse(struct dispatch *dispatch, struct task *task, enum reason reason);
void
task_requeue(struct dispatch *dispatch, struct task *task);
bool
task_avoids(const struct task *task, const struct host *host);
void
task_destroy(void *data);

/* routing.c */
struct host *
host_choose(struct dispatch *dispatch, struct pool *pool,
            const struct task *task, bool *probe);
bool
host_usable(const struct host *host);
void
host_close(struct host *host);
/* An attempt on the host has ended, so it has a free slot. */
void
host_freed(struct dispatch *dispatch, struct host *host);
void
host_update(struct dispatch *dispatch, struct host *host);

#endif
