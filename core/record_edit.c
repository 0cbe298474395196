#include "core/record_edit.h"

struct host_shard *
record_edit_shard(const struct host_shard *shard, const GPtrArray *steps)
{
    struct host_shard *next = host_shard_copy(shard);
    for (guint i = 0; i < steps->len; i++) {
        const struct fleet_action *step = g_ptr_array_index(steps, i);
        if (step->kind == FLEET_REMOVE_HOST) {
            g_hash_table_remove(next->hosts, step->host);
        }
        else {
            g_hash_table_insert(next->hosts, g_strdup(step->host),
                                host_record_copy(step->record));
        }
    }
    return next;
}

static void
release(struct disruption_record *record, const struct fleet_action *step,
        const uint64_t versions[HOST_SHARDS])
{
    const struct disruption_entry *entry =
        g_hash_table_lookup(record->entries, step->host);
    if (entry == NULL || entry->admission != step->entry.admission) {
        return;
    }
    g_hash_table_remove(record->entries, step->host);
    uint32_t shard = host_shard_index(step->host);
    record->min_shard_versions[shard] =
        MAX(record->min_shard_versions[shard], versions[shard]);
}

struct disruption_record *
record_edit_disruptions(const struct disruption_record *record,
                        const GPtrArray *steps,
                        const uint64_t versions[HOST_SHARDS])
{
    struct disruption_record *next = record != NULL
                                         ? disruption_record_copy(record)
                                         : disruption_record_create();
    for (guint i = 0; i < steps->len; i++) {
        const struct fleet_action *step = g_ptr_array_index(steps, i);
        if (step->kind == FLEET_RELEASE) {
            release(next, step, versions);
        }
        else {
            disruption_record_add(next, step->host, &step->entry);
        }
    }
    return next;
}
