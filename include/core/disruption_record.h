/*
 * Disruption record of a pool: the hosts admitted to be taken out of service
 * on purpose, for maintenance, a move to another pool, or a suspected fault.
 */
#ifndef CORE_DISRUPTION_RECORD_H
#define CORE_DISRUPTION_RECORD_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"
#include "store/store_keys.h"

/**
 * struct disruption_entry - admission of one host
 * @admission: number of the admission; greater than the admission in the
 *             host's record until the host starts to drain on it
 * @wave: maintenance wave that it belongs to, 0 for none
 * @admitted_s: wall time of the admission
 * @reason: "maintenance", "move" or "suspect"
 * @target: pool to move the host to, or NULL
 */
struct disruption_entry {
    uint64_t admission;
    uint64_t wave;
    int64_t admitted_s;
    char *reason;
    char *target;
};

/**
 * struct disruption_record - parsed record
 * @write_id: unique id of the last write, starts with the name of its writer,
 *            or NULL
 * @min_shard_versions: shard versions a controller must have read before it
 * admits more
 * @entries: host name to struct disruption_entry; owns both
 */
struct disruption_record {
    char *write_id;
    uint64_t min_shard_versions[HOST_SHARDS];
    GHashTable *entries;
};

struct disruption_record *
disruption_record_create(void);
void
disruption_record_destroy(struct disruption_record *record);
struct disruption_record *
disruption_record_copy(const struct disruption_record *record);

/** disruption_record_add() - insert a copy of @entry, or replace the entry of
 * @host. */
void
disruption_record_add(struct disruption_record *record, const char *host,
                      const struct disruption_entry *entry);

/**
 * disruption_record_parse() - parse the JSON text of a record
 * @file: store key, for findings
 *
 * Returns: the record, or NULL with findings when any part is invalid. No
 * host of a pool is admitted while the pool's record is invalid.
 */
struct disruption_record *
disruption_record_parse(const char *text, size_t size_bytes, const char *file,
                        struct findings *findings);

/** disruption_record_serialise() - JSON text of @record; free with g_free().
 */
char *
disruption_record_serialise(const struct disruption_record *record,
                            size_t *size_bytes);

#endif
