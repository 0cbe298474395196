/* Applies planned actions to copies of stored records. */
#ifndef CORE_RECORD_EDIT_H
#define CORE_RECORD_EDIT_H

#include "core/fleet_planner.h"
#include "core/host_shard.h"

/** record_edit_shard() - copy of @shard with @actions (struct fleet_action)
 * applied. */
struct host_shard *
record_edit_shard(const struct host_shard *shard, const GPtrArray *actions);

/**
 * record_edit_disruptions() - copy of @record with @actions applied
 * @record: record to start from, NULL for an empty one
 * @versions: versions of the host shards from which the planner concluded
 *            that entries can be removed; stored as min_shard_versions of
 *            the shards concerned
 */
struct disruption_record *
record_edit_disruptions(const struct disruption_record *record,
                        const GPtrArray *actions,
                        const uint64_t versions[HOST_SHARDS]);

#endif
