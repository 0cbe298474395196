/* Host records are stored in HOST_SHARDS shards, by hash of the host name. */
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
 * @write_id: unique id of the last write, starts with the name of its writer,
 *            or NULL
 * @hosts: host name to struct host_record; owns both
 * @damaged: host name to the JsonNode of an invalid record; written back
 *           unchanged, so that an operator can repair it
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

/** host_shard_copy() - deep copy. */
struct host_shard *
host_shard_copy(const struct host_shard *shard);

/** host_shard_index() - shard that stores @host, in [0, HOST_SHARDS). */
uint32_t
host_shard_index(const char *host);

/**
 * host_shard_parse() - parse the JSON text of a shard
 * @file: store key, for findings
 *
 * Invalid host records are reported in @findings and go to @damaged of the
 * result.
 *
 * Returns: the shard, or NULL when @text is not a JSON object.
 */
struct host_shard *
host_shard_parse(const char *text, size_t size_bytes, const char *file,
                 struct findings *findings);

/** host_shard_serialise() - JSON text with hosts sorted by name; free with
 * g_free(). */
char *
host_shard_serialise(const struct host_shard *shard, size_t *size_bytes);

#endif
