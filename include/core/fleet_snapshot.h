/* What a controller knows when it plans: plain facts, no behaviour. */
#ifndef CORE_FLEET_SNAPSHOT_H
#define CORE_FLEET_SNAPSHOT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/config.h"
#include "common/fleet_timings.h"
#include "core/disruption_record.h"
#include "core/host_state.h"
#include "core/wave_record.h"

/**
 * struct fleet_host - one host that is listed or has a record
 * @record: its record, or NULL
 * @damaged: its record can't be read; nothing is done with it
 * @listed: the host list names it; the members below are from there
 * @initial_pool: pool to start in when there is no record, or NULL
 * @drained: every gateway has reported that none of its tasks runs there
 * @suspect: gateways report that it fails everything
 */
struct fleet_host {
    const char *name;
    const struct host_record *record;
    bool damaged;
    bool listed;
    bool live;
    bool leaving;
    const char *dc;
    const char *rack;
    const char *initial_pool;
    bool drained;
    bool suspect;
};

/**
 * struct fleet_pool_info - what is known of a pool besides its hosts
 * @disruptions: its disruption record, or NULL for none
 * @host_records_current: the host records read are as new as the disruption
 * record needs
 * @demand_known: gateways have reported demand lately
 * @demand_slots: slots the pool's work asks for now
 */
struct fleet_pool_info {
    const char *name;
    const struct disruption_record *disruptions;
    bool host_records_current;
    bool demand_known;
    double demand_slots;
};

/**
 * struct fleet_snapshot - input of one planning pass
 * @now_ms: monotonic time
 * @now_s: wall time, for what is written into records
 * @host_list_fresh: the host list was read lately
 * @pools: every pool of @config and every other pool that a record names
 * @waves: sorted by number
 */
struct fleet_snapshot {
    int64_t now_ms;
    int64_t now_s;
    bool host_list_fresh;
    const struct config *config;
    const struct fleet_host *hosts;
    size_t n_hosts;
    const struct fleet_pool_info *pools;
    size_t n_pools;
    const struct wave_record *const *waves;
    size_t n_waves;
};

#endif
