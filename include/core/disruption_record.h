/* The voluntary disruptions of one pool. */
#ifndef CORE_DISRUPTION_RECORD_H
#define CORE_DISRUPTION_RECORD_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"
#include "store/store_keys.h"

/**
 * struct disruption_entry - one host admitted to be disrupted
 * @admission: above that of the host's record as long as it isn't taken up
 * @wave: wave it belongs to, 0 for none
 * @admitted_s: wall time of the admission
 * @reason: "maintenance", "move" or "suspect"
 * @target: pool to move to, or NULL
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

/** disruption_record_add() - put an entry in; copies it. */
void
disruption_record_add(struct disruption_record *record, const char *host,
                      const struct disruption_entry *entry);

/**
 * disruption_record_parse() - read the record's text
 *
 * Returns: the record, or NULL and findings when any part is damaged; a
 * pool with a damaged record admits nothing.
 */
struct disruption_record *
disruption_record_parse(const char *text, size_t size_bytes, const char *file,
                        struct findings *findings);

/** disruption_record_serialise() - JSON text; free with g_free(). */
char *
disruption_record_serialise(const struct disruption_record *record,
                            size_t *size_bytes);

#endif
