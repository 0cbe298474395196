/* Input of the fleet planner: what a controller has read, as plain data. */
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
 * struct fleet_host - host that is in the host list or has a record
 * @record: its stored record, or NULL
 * @damaged: its stored record is invalid; no action is planned for the host
 * @listed: it is in the host list; the members up to @initial_pool are taken
 *          from there
 * @live: all health checks of the platform pass
 * @leaving: the platform is about to remove it
 * @initial_pool: pool that it joins while it has no record, or NULL
 * @drained: every gateway has reported that none of its tasks runs there
 * @suspect: gateways report that every task fails there
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
 * struct fleet_pool_info - data of a pool other than its hosts
 * @disruptions: its disruption record, or NULL
 * @host_records_current: the host shards read are at least as new as the
 *                        min_shard_versions of the disruption record, and
 *                        that record is valid
 * @demand_known: a recent demand report of a gateway exists
 * @demand_slots: slots needed for the pool's running and queued tasks
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
 * @now_s: wall time, for stored records
 * @host_list_fresh: the host list is younger than list_stale_ms
 * @hosts: sorted by name
 * @pools: every pool of @config, and every other pool that a host record or a
 *         disruption record names
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
