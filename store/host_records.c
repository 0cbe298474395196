#include "store/host_records.h"

#include "common/log.h"
#include "store/store_keys.h"

struct followed_shard {
    struct host_records *records;
    uint32_t index;
    struct store_watch *watch;
    struct host_shard *shard;
    uint64_t version;
    bool read;
};

struct host_records {
    struct host_records_options options;
    struct followed_shard shards[HOST_SHARDS];
};

char *
host_records_key(uint32_t shard)
{
    return g_strdup_printf("%s%02u", STORE_KEY_HOSTS, shard);
}

/* If the text is not valid JSON, the records read before it stay in use. */
static void
read_entry(struct followed_shard *followed, const struct store_entry *entry)
{
    struct findings *findings = findings_create();
    struct host_shard *shard = host_shard_parse(
        entry->value, entry->size_bytes, entry->key, findings);
    for (size_t i = 0; i < findings_count(findings); i++) {
        const struct finding *finding = findings_get(findings, i);
        log_line(LOG_LEVEL_ERROR, "host-record-damaged",
                 "key=%s place=%s reason=%s", log_quote(finding->file),
                 log_quote(finding->path), log_quote(finding->reason));
    }
    findings_destroy(findings);
    followed->version = entry->version;
    if (shard == NULL) {
        return;
    }
    host_shard_destroy(followed->shard);
    followed->shard = shard;
}

static void
read_absent_entry(struct followed_shard *followed)
{
    host_shard_destroy(followed->shard);
    followed->shard = host_shard_create();
    followed->version = STORE_VERSION_ABSENT;
}

static void
on_watch(void *ctx, const struct store_result *result)
{
    struct followed_shard *followed = ctx;
    struct host_records *records = followed->records;
    if (result->status.code == STATUS_NOT_FOUND || result->n_entries == 0) {
        if (result->status.code != STATUS_NOT_FOUND &&
            !status_ok(&result->status)) {
            return;
        }
        read_absent_entry(followed);
    }
    else if (!status_ok(&result->status)) {
        return;
    }
    else if (!followed->read ||
             result->entries[0].version > followed->version) {
        read_entry(followed, &result->entries[0]);
    }
    followed->read = true;
    records->options.changed(records->options.ctx, followed->index);
}

struct host_records *
host_records_create(const struct host_records_options *options)
{
    struct host_records *records = g_new0(struct host_records, 1);
    records->options = *options;
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        struct followed_shard *followed = &records->shards[i];
        followed->records = records;
        followed->index = i;
        followed->shard = host_shard_create();
    }
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        struct followed_shard *followed = &records->shards[i];
        char *key = host_records_key(i);
        followed->watch = store_watch_create(
            options->store, key,
            (struct store_callback){.done = on_watch, .ctx = followed});
        g_free(key);
    }
    return records;
}

void
host_records_destroy(struct host_records *records)
{
    if (records == NULL) {
        return;
    }
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        store_watch_destroy(records->shards[i].watch);
        host_shard_destroy(records->shards[i].shard);
    }
    g_free(records);
}

bool
host_records_ready(const struct host_records *records)
{
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        if (!records->shards[i].read) {
            return false;
        }
    }
    return true;
}

const struct host_record *
host_records_find(const struct host_records *records, const char *host)
{
    const struct followed_shard *followed =
        &records->shards[host_shard_index(host)];
    return g_hash_table_lookup(followed->shard->hosts, host);
}

const struct host_shard *
host_records_shard(const struct host_records *records, uint32_t shard)
{
    return records->shards[shard].shard;
}

uint64_t
host_records_version(const struct host_records *records, uint32_t shard)
{
    return records->shards[shard].version;
}

void
host_records_update(struct host_records *records, uint32_t shard,
                    const struct store_entry *entry)
{
    struct followed_shard *followed = &records->shards[shard];
    if (!followed->read || entry->version <= followed->version) {
        return;
    }
    read_entry(followed, entry);
    records->options.changed(records->options.ctx, shard);
}
