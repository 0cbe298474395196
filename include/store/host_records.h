/* Watches the host records of all shards in the store. */
#ifndef STORE_HOST_RECORDS_H
#define STORE_HOST_RECORDS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/host_shard.h"
#include "store/store.h"

/**
 * struct host_records_options - store to watch and callback to notify
 * @changed: called after a shard was read again
 * @ctx: passed to @changed
 */
struct host_records_options {
    struct store *store;
    void (*changed)(void *ctx, uint32_t shard);
    void *ctx;
};

struct host_records;

struct host_records *
host_records_create(const struct host_records_options *options);
void
host_records_destroy(struct host_records *records);

/** host_records_ready() - whether every shard has been read once. */
bool
host_records_ready(const struct host_records *records);

/** host_records_find() - record of a host, or NULL; valid until its shard
 * changes. */
const struct host_record *
host_records_find(const struct host_records *records, const char *host);

/** host_records_shard() - a shard as last read; never NULL. */
const struct host_shard *
host_records_shard(const struct host_records *records, uint32_t shard);

/** host_records_version() - store version of a shard as last read. */
uint64_t
host_records_version(const struct host_records *records, uint32_t shard);

/** host_records_update() - apply a shard that the caller has written or read,
 * unless a newer version is known. */
void
host_records_update(struct host_records *records, uint32_t shard,
                    const struct store_entry *entry);

/** host_records_key() - store key of a shard; free with g_free(). */
char *
host_records_key(uint32_t shard);

#endif
