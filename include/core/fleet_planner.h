/* Plans the next actions for every host, pool and maintenance wave. */
#ifndef CORE_FLEET_PLANNER_H
#define CORE_FLEET_PLANNER_H

#include <glib.h>

#include "core/fleet_snapshot.h"

enum {
    FLEET_TEXT_BYTES = 160
};

/**
 * enum fleet_action_kind - write to a stored record, by compare-and-swap on
 *                          the version that the snapshot was built from
 * @FLEET_WRITE_HOST: insert or replace a host's record in its shard
 * @FLEET_REMOVE_HOST: remove a host's record from its shard
 * @FLEET_ADMIT: insert an entry into a pool's disruption record
 * @FLEET_RELEASE: remove an entry from a pool's disruption record
 * @FLEET_WRITE_WAVE: replace a wave's record
 */
enum fleet_action_kind {
    FLEET_WRITE_HOST,
    FLEET_REMOVE_HOST,
    FLEET_ADMIT,
    FLEET_RELEASE,
    FLEET_WRITE_WAVE,
};

/**
 * struct fleet_action - planned action
 * @pool: pool that it concerns, or the name of the wave; selects the delay of
 *        each controller (core/stagger.h)
 * @host: host that it concerns, or NULL
 * @record: FLEET_WRITE_HOST: new host record, else NULL
 * @entry: FLEET_ADMIT: new entry; FLEET_RELEASE: only its admission is set
 * @wave: FLEET_WRITE_WAVE: new wave record, else NULL
 * @why: reason, for the log
 */
struct fleet_action {
    enum fleet_action_kind kind;
    char *pool;
    char *host;
    struct host_record *record;
    struct disruption_entry entry;
    struct wave_record *wave;
    char *why;
};

/**
 * struct fleet_pool_report - status of a pool, for operators
 * @hosts: count of hosts whose record names the pool
 * @usable: hosts that serve in the pool or will do so after their maintenance
 * @incoming: hosts on their way into the pool
 * @available: hosts that count as available for the disruption budget
 * @disrupted: hosts out of service on purpose, or admitted to be
 * @failed: hosts that are down or recorded as failed
 * @budget: configured minimum of available hosts
 * @reserve: hosts to keep available beyond @budget, so that the pool survives
 *           the loss of a rack
 * @needed: hosts below which the pool gets hosts from other pools
 * @shrink_threshold: hosts above which the pool gives hosts to other pools
 * @demand_slots: smoothed demand
 * @next_step: last action planned for the pool in this pass, or empty
 * @waits_for: condition that blocks a disruption in the pool, or empty
 * @finding: target that cannot be met, or empty
 */
struct fleet_pool_report {
    char pool[CONFIG_NAME_MAX_BYTES + 1];
    uint32_t hosts;
    uint32_t usable;
    uint32_t incoming;
    uint32_t available;
    uint32_t disrupted;
    uint32_t failed;
    uint32_t budget;
    uint32_t reserve;
    uint32_t needed;
    uint32_t shrink_threshold;
    double demand_slots;
    char next_step[FLEET_TEXT_BYTES];
    char waits_for[FLEET_TEXT_BYTES];
    char finding[FLEET_TEXT_BYTES];
};

/**
 * struct fleet_plan - result of a planning pass
 * @actions: struct fleet_action pointers, in the order to carry them out
 * @reports: struct fleet_pool_report, one for each pool of the snapshot
 */
struct fleet_plan {
    GPtrArray *actions;
    GArray *reports;
};

struct fleet_planner;

/** fleet_planner_create() - the planner keeps only smoothed demand and how
 * long hosts and pools have been in their state; all else is in the snapshot.
 */
struct fleet_planner *
fleet_planner_create(const struct fleet_timings *timings);
void
fleet_planner_destroy(struct fleet_planner *planner);

/** fleet_planner_pass() - plan from @snapshot; free with fleet_plan_destroy().
 */
struct fleet_plan *
fleet_planner_pass(struct fleet_planner *planner,
                   const struct fleet_snapshot *snapshot);
void
fleet_plan_destroy(struct fleet_plan *plan);

/** fleet_action_kind_name() - stable name, for logs and metrics. */
const char *
fleet_action_kind_name(enum fleet_action_kind kind);

#endif
