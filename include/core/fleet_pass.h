/* Working state of one planning pass, shared by the planner's modules. */
#ifndef CORE_FLEET_PASS_H
#define CORE_FLEET_PASS_H

#include "core/fleet_planner.h"

enum {
    FLEET_INDEX_NONE = UINT32_MAX
};

/**
 * struct host_history - how long a host has been as it is
 * @state_since_ms, @health_since_ms: first pass that saw it so
 * @pass: last pass that saw the host
 */
struct host_history {
    enum host_state state;
    bool healthy;
    int64_t state_since_ms;
    int64_t health_since_ms;
    uint64_t pass;
};

/** struct pool_history - demand and waits of a pool over time */
struct pool_history {
    double smoothed_slots;
    int64_t sampled_ms;
    int64_t demand_known_ms;
    int64_t surplus_since_ms;
    int64_t load_wait_since_ms;
};

/**
 * struct pass_host - a host in this pass
 * @entry: its entry in its own pool's disruption record, or NULL
 * @pending: @entry hasn't been taken up
 * @healthy: listed, live and not leaving
 * @available: counts for the budget
 * @has_action: has got an action in this pass
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

/** struct pass_rack - a pool's hosts in one rack */
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
 * @config: its targets, NULL for a pool that isn't configured
 * @members: indexes of its hosts, by rack
 * @racks: struct pass_rack
 * @dc_available: available hosts in each data centre
 * @dc_usable: usable and incoming hosts in each data centre
 * @long_unavailable: hosts that won't count for the budget soon
 * @last_moved_s: wall time of the last move of a member
 * @demand_reliable: demand has been known for long enough
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
 * struct fleet_pass - one pass
 * @dc_names: data centres by index
 * @dc_in_service: whether operators let work start there
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

/** fleet_index_build() - fill hosts and tallies of @pass. */
void
fleet_index_build(struct fleet_pass *pass);
void
fleet_index_clear(struct fleet_pass *pass);

/** fleet_index_pool() - index of a pool by name, or FLEET_INDEX_NONE. */
uint32_t
fleet_index_pool(const struct fleet_pass *pass, const char *name);

/** pass_member() - member @i of a pool. */
struct pass_host *
pass_member(struct fleet_pass *pass, const struct pass_pool *pool, guint i);

/** pass_dc_in_service() - whether work may start in the host's data centre. */
bool
pass_dc_in_service(const struct fleet_pass *pass,
                   const struct pass_host *host);

/** pass_add_host_write() - add an action; the new record starts as a copy of
 * the present one in @state, and is returned to be changed further. */
struct host_record *
pass_add_host_write(struct fleet_pass *pass, struct pass_host *host,
                    enum host_state state, const char *reason);

/** pass_add_admission() - add an admission and count it in the tallies. */
void
pass_add_admission(struct fleet_pass *pass, struct pass_host *host,
                   const struct disruption_entry *entry, const char *why);

/** budget_min_available() - hosts that have to stay available, reserve
 * included. */
uint32_t
budget_min_available(const struct pass_pool *pool);

/** budget_allows() - whether @host may be disrupted now; the reason why not
 * goes to the pool's report. */
bool
budget_allows(const struct fleet_pass *pass, struct pass_pool *pool,
              const struct pass_host *host);

/** budget_cancel_disruptions() - give disrupted hosts back where the budget is
 * short. */
void
budget_cancel_disruptions(struct fleet_pass *pass, struct pass_pool *pool);

/** host_transitions_plan() - carry every host's own steps on. */
void
host_transitions_plan(struct fleet_pass *pass);

/** host_transitions_release() - remove entries that have served. */
void
host_transitions_release(struct fleet_pass *pass);

/** maintenance_plan() - admit the hosts of waves, and report progress. */
void
maintenance_plan(struct fleet_pass *pass);

/** maintenance_active_wave() - open wave that works in a pool, or NULL. */
const struct wave_record *
maintenance_active_wave(struct fleet_pass *pass, const struct pass_pool *pool);

/** pool_needs_update() - update demand and compute what each pool has to have.
 */
void
pool_needs_update(struct fleet_pass *pass);

/** pool_moves_plan() - plan moves between pools. */
void
pool_moves_plan(struct fleet_pass *pass);

#endif
