/* One of the HOST_SHARDS records that together hold every host. */
#ifndef CORE_HOST_SHARD_H
#define CORE_HOST_SHARD_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"
#include "core/host_state.h"

/**
 * struct host_shard - parsed shard
 * @write_id: who wrote it last, "<controller>:<n>", or NULL
 * @hosts: host name to struct host_record; owns both
 * @damaged: host name to the JsonNode of a record that can't be read; such
 *           records are written back as they are, for an operator to mend
 */
struct host_shard {
    char *write_id;
    GHashTable *hosts;
    GHashTable *damaged;
};

struct host_shard *
host_shard_create(void);
void
host_shard_destroy(struct host_shard *shard);

/** host_shard_copy() - deep copy, to be changed and written. */
struct host_shard *
host_shard_copy(const struct host_shard *shard);

/** host_shard_index() - shard of a host, in [0, HOST_SHARDS). */
uint32_t
host_shard_index(const char *host);

/**
 * host_shard_parse() - read a shard's text
 * @file: key, for findings
 *
 * Damaged records are reported and set aside. Returns NULL only when @text is
 * no JSON object at all.
 */
struct host_shard *
host_shard_parse(const char *text, size_t size_bytes, const char *file,
                 struct findings *findings);

/** host_shard_serialise() - JSON text, hosts sorted; free with g_free(). */
char *
host_shard_serialise(const struct host_shard *shard, size_t *size_bytes);

#endif
