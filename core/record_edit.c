/* Applies planned actions to copies of stored records. */
#include "core/record_edit.h"

struct host_shard *
record_edit_shard(const struct host_shard *shard, const GPtrArray *actions)
{
    struct host_shard *next = host_shard_copy(shard);
    for (guint i = 0; i < actions->len; i++) {
        const struct fleet_action *action = g_ptr_array_index(actions, i);
        if (action->kind == FLEET_REMOVE_HOST) {
            g_hash_table_remove(next->hosts, action->host);
        }
        else {
            g_hash_table_insert(next->hosts, g_strdup(action->host),
                                host_record_copy(action->record));
        }
    }
    return next;
}

static void
release_entry(struct disruption_record *record,
              const struct fleet_action *action,
              const uint64_t versions[HOST_SHARDS])
{
    const struct disruption_entry *entry =
        g_hash_table_lookup(record->entries, action->host);
    if (entry == NULL || entry->admission != action->entry.admission) {
        return;
    }
    g_hash_table_remove(record->entries, action->host);
    uint32_t shard = host_shard_index(action->host);
    record->min_shard_versions[shard] =
        MAX(record->min_shard_versions[shard], versions[shard]);
}

struct disruption_record *
record_edit_disruptions(const struct disruption_record *record,
                        const GPtrArray *actions,
                        const uint64_t versions[HOST_SHARDS])
{
    struct disruption_record *next = record != NULL
                                         ? disruption_record_copy(record)
                                         : disruption_record_create();
    for (guint i = 0; i < actions->len; i++) {
        const struct fleet_action *action = g_ptr_array_index(actions, i);
        if (action->kind == FLEET_RELEASE) {
            release_entry(next, action, versions);
        }
        else {
            disruption_record_add(next, action->host, &action->entry);
        }
    }
    return next;
}
