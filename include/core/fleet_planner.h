/* Plans the next steps of every host, pool and wave. */
#ifndef CORE_FLEET_PLANNER_H
#define CORE_FLEET_PLANNER_H

#include <glib.h>

#include "core/fleet_snapshot.h"

enum {
    FLEET_TEXT_BYTES = 160
};

/**
 * enum fleet_action_kind - what to write; each is one compare-and-swap on a
 *                          record as the planner was shown it
 * @FLEET_WRITE_HOST: put a host's new record into its shard
 * @FLEET_REMOVE_HOST: take a host's record out of its shard
 * @FLEET_ADMIT: put an entry into a pool's disruption record
 * @FLEET_RELEASE: take an entry out of it
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
 * struct fleet_action - one step
 * @pool: pool whose turn decides which controller acts first
 * @host: host it is about, or NULL
 * @record: new host record, FLEET_WRITE_HOST
 * @entry: new entry, FLEET_ADMIT; only its admission for FLEET_RELEASE
 * @wave: new wave record, FLEET_WRITE_WAVE
 * @why: reason for the log
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
 * struct fleet_pool_report - a pool as operators see it
 * @hosts: hosts whose record names the pool
 * @usable: those that serve or come back by themselves
 * @incoming: hosts on their way into the pool
 * @available: hosts that count for the budget
 * @disrupted: hosts taken out on purpose
 * @failed: hosts that are down or recorded as failed
 * @budget: hosts that have to stay available
 * @reserve: hosts kept beyond that, against the loss of a rack
 * @needed: hosts the pool has to have
 * @shrink_threshold: hosts above which it gives some back
 * @demand_slots: smoothed demand
 * @next_step: what is done next
 * @waits_for: why nothing is done, or empty
 * @finding: target that can't be met, or empty
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
 * struct fleet_plan - result of a pass
 * @actions: struct fleet_action pointers, in the order to carry them out
 * @reports: struct fleet_pool_report, one for each pool of the facts
 */
struct fleet_plan {
    GPtrArray *actions;
    GArray *reports;
};

struct fleet_planner;

/** fleet_planner_create() - remembers only how long things have been so. */
struct fleet_planner *
fleet_planner_create(const struct fleet_timings *timings);
void
fleet_planner_destroy(struct fleet_planner *planner);

/** fleet_planner_pass() - plan; free with fleet_plan_destroy(). */
struct fleet_plan *
fleet_planner_pass(struct fleet_planner *planner,
                   const struct fleet_snapshot *facts);
void
fleet_plan_destroy(struct fleet_plan *plan);

/** fleet_action_kind_name() - stable name, for logs. */
const char *
fleet_action_kind_name(enum fleet_action_kind kind);

#endif
