/* Working state of one planning pass, shared by the files of the planner. */
#ifndef CORE_FLEET_PASS_H
#define CORE_FLEET_PASS_H

#include "core/fleet_planner.h"

enum {
    FLEET_INDEX_NONE = UINT32_MAX
};

/**
 * struct host_history - what the planner keeps of a host between passes
 * @state_since_ms, @health_since_ms: time of the first pass in which the host
 *                                    had its present state and health
 * @pass: number of the last pass in which the host existed
 */
struct host_history {
    enum host_state state;
    bool healthy;
    int64_t state_since_ms;
    int64_t health_since_ms;
    uint64_t pass;
};

/**
 * struct pool_history - what the planner keeps of a pool between passes
 * @smoothed_slots: moving average of the demand
 * @sampled_ms: time of the last sample in @smoothed_slots
 * @demand_known_ms: how long demand has been known without a gap, 0 when it
 *                   is unknown
 * @surplus_since_ms: time since which the pool has more hosts than its shrink
 *                    threshold, INT64_MIN when it has not
 * @load_wait_since_ms: time since which maintenance waits for the load to
 *                      fall, INT64_MIN when it does not
 */
struct pool_history {
    double smoothed_slots;
    int64_t sampled_ms;
    int64_t demand_known_ms;
    int64_t surplus_since_ms;
    int64_t load_wait_since_ms;
};

/**
 * struct pass_host - a host in this pass
 * @entry: its entry in the disruption record of its pool, or NULL
 * @pool, @dc, @rack: indexes; @pool is FLEET_INDEX_NONE without a record
 * @pending: the host has not started to drain on @entry yet
 * @healthy: listed, live and not leaving
 * @available: counts as available for the disruption budget
 * @has_action: an action for it is planned in this pass
 */
struct pass_host {
    const struct fleet_host *info;
    const struct host_record *record;
    const struct disruption_entry *entry;
    struct host_history *history;
    uint32_t pool;
    uint32_t dc;
    uint32_t rack;
    bool pending;
    bool healthy;
    bool available;
    bool has_action;
};

/**
 * struct pass_rack - the hosts of a pool in one rack
 * @first_member: index of the first of them in the members of the pool
 * @due: hosts that the pool's active wave can admit
 */
struct pass_rack {
    uint32_t rack;
    uint32_t dc;
    uint32_t first_member;
    uint32_t n_members;
    uint32_t available;
    uint32_t disrupted;
    uint32_t due;
};

/**
 * struct pass_pool - a pool in this pass
 * @config: its configuration, NULL for a pool that isn't configured
 * @members: uint64_t: rack index << 32 | host index; sorted
 * @racks: struct pass_rack
 * @dc_available: count of available hosts by data centre
 * @dc_usable: count of usable and incoming hosts by data centre
 * @usable, @incoming, @available, @disrupted, @failed, @needed,
 *     @shrink_threshold: as in struct fleet_pool_report
 * @outgoing: hosts on their way to another pool
 * @long_unavailable: hosts not expected to be available soon: they failed,
 *                    are returning from a failure, are leaving, or their
 *                    data centre is out of service
 * @last_moved_s: wall time of the last move of a host into the pool
 * @longest_run_ms: longest run time that a queue of the pool allows
 * @demand_reliable: demand has been known for demand_smoothing_ms
 */
struct pass_pool {
    const struct config_pool *config;
    const struct fleet_pool_info *info;
    struct pool_history *history;
    GArray *members;
    GArray *racks;
    uint32_t *dc_available;
    uint32_t *dc_usable;
    uint32_t usable;
    uint32_t incoming;
    uint32_t outgoing;
    uint32_t available;
    uint32_t disrupted;
    uint32_t failed;
    uint32_t long_unavailable;
    uint32_t needed;
    uint32_t shrink_threshold;
    int64_t last_moved_s;
    int64_t longest_run_ms;
    bool demand_reliable;
    struct fleet_pool_report *report;
};

/**
 * struct fleet_pass - one planning pass
 * @hosts: one for each host of @snapshot, in the same order
 * @pools: one for each pool of @snapshot, in the same order
 * @dc_names: names of data centres by index
 * @dc_in_service: bool by data centre: operators let work start there
 * @pool_index: pool name to index + 1
 */
struct fleet_pass {
    const struct fleet_timings *timings;
    const struct fleet_snapshot *snapshot;
    struct pass_host *hosts;
    struct pass_pool *pools;
    size_t n_pools;
    GPtrArray *dc_names;
    GArray *dc_in_service;
    GHashTable *pool_index;
    struct fleet_plan *plan;
};

/** fleet_index_build() - index and count the hosts, pools and data centres of
 * the snapshot of @pass. */
void
fleet_index_build(struct fleet_pass *pass);
void
fleet_index_clear(struct fleet_pass *pass);

/** fleet_index_pool() - index of the pool @name, or FLEET_INDEX_NONE. */
uint32_t
fleet_index_pool(const struct fleet_pass *pass, const char *name);

/** pass_member() - host @i of @pool. */
struct pass_host *
pass_member(struct fleet_pass *pass, const struct pass_pool *pool, guint i);

/** pass_dc_in_service() - whether the data centre of @host is in service. */
bool
pass_dc_in_service(const struct fleet_pass *pass,
                   const struct pass_host *host);

/** pass_add_host_write() - plan the write of a host's record, with @state and
 * @reason. Returns the new record, for further changes. */
struct host_record *
pass_add_host_write(struct fleet_pass *pass, struct pass_host *host,
                    enum host_state state, const char *reason);

/** pass_add_admission() - plan the admission of @host to be disrupted, and
 * count it as disrupted from now on. */
void
pass_add_admission(struct fleet_pass *pass, struct pass_host *host,
                   const struct disruption_entry *entry, const char *why);

/** budget_min_available() - count of hosts that have to stay available,
 * including the reserve. */
uint32_t
budget_min_available(const struct pass_pool *pool);

/** budget_allows() - whether @host may be disrupted now; if not, the reason is
 * written to the report of @pool. */
bool
budget_allows(const struct fleet_pass *pass, struct pass_pool *pool,
              const struct pass_host *host);

/** budget_cancel_disruptions() - cancel disruptions of hosts that can still
 * return to work at once, where fewer hosts than required are available. */
void
budget_cancel_disruptions(struct fleet_pass *pass, struct pass_pool *pool);

/** host_transitions_plan() - plan the next state change of every host. */
void
host_transitions_plan(struct fleet_pass *pass);

/** host_transitions_release() - plan the removal of disruption entries that
 * are no longer needed. */
void
host_transitions_release(struct fleet_pass *pass);

/** maintenance_plan() - plan admissions for the maintenance waves, and updates
 * of their progress. */
void
maintenance_plan(struct fleet_pass *pass);

/** maintenance_active_wave() - first open wave that has hosts of @pool to
 * reboot or being rebooted, or NULL. */
const struct wave_record *
maintenance_active_wave(struct fleet_pass *pass, const struct pass_pool *pool);

/** pool_needs_update() - update the smoothed demand of every pool, and compute
 * how many hosts it needs. */
void
pool_needs_update(struct fleet_pass *pass);

/** pool_moves_plan() - plan moves of hosts between pools, and report findings
 * about pools. */
void
pool_moves_plan(struct fleet_pass *pass);

#endif
