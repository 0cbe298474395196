/* The transaction that stores a batch of the scheduler's changes. */
#include "egretjobd/store_txn.h"

#include <string.h>

#include "egretjobd/records.h"
#include "platform/decode.h"

struct txn_builder
txn_builder_create(void)
{
    return (struct txn_builder){
        .texts = g_ptr_array_new_with_free_func(g_free),
        .conditions = g_array_new(FALSE, FALSE, sizeof(struct kv_condition)),
        .puts = g_array_new(FALSE, FALSE, sizeof(struct kv_put)),
        .deletes = g_ptr_array_new(),
    };
}

void
txn_builder_clear(struct txn_builder *builder)
{
    g_ptr_array_unref(builder->texts);
    g_array_unref(builder->conditions);
    g_array_unref(builder->puts);
    g_ptr_array_unref(builder->deletes);
}

const char *
txn_builder_key(struct txn_builder *builder, const char *prefix,
                const char *id)
{
    char *key = g_strconcat(prefix, id, NULL);
    g_ptr_array_add(builder->texts, key);
    return key;
}

void
txn_builder_condition(struct txn_builder *builder, const char *key,
                      int64_t revision)
{
    struct kv_condition condition = {.key = key, .revision = revision};
    g_array_append_val(builder->conditions, condition);
}

void
txn_builder_put(struct txn_builder *builder, const char *key, char *value)
{
    g_ptr_array_add(builder->texts, value);
    struct kv_put put = {.key = key, .value = value};
    g_array_append_val(builder->puts, put);
}

struct kv_txn
txn_builder_txn(const struct txn_builder *builder)
{
    return (struct kv_txn){
        .conditions = (struct kv_condition *)builder->conditions->data,
        .n_conditions = builder->conditions->len,
        .puts = (struct kv_put *)builder->puts->data,
        .n_puts = builder->puts->len,
        .deletes = (const char *const *)builder->deletes->pdata,
        .n_deletes = builder->deletes->len,
    };
}

static void
add_jobs(struct txn_builder *builder, const struct store_batch *batch,
         size_t value_bytes_max)
{
    for (guint i = 0; i < batch->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(batch->jobs, i);
        const char *key =
            txn_builder_key(builder, RECORD_PROGRESS_PREFIX, job->id);
        txn_builder_condition(builder, key, job->revision);
        txn_builder_put(builder, key,
                        record_progress_encode(job, value_bytes_max));
    }
}

/* Without the condition a deletion that is carried out late would delete the
 * record of a backend server that was registered again. */
static const char *
add_backend_key(const struct scheduler *sched, struct txn_builder *builder,
                const char *id)
{
    const char *key = txn_builder_key(builder, RECORD_BACKEND_PREFIX, id);
    txn_builder_condition(builder, key, scheduler_backend_record(sched, id));
    return key;
}

static void
add_registrations(const struct scheduler *sched, struct txn_builder *builder,
                  const struct store_batch *batch)
{
    for (guint i = 0; i < batch->register_ids->len; i++) {
        const char *id = g_ptr_array_index(batch->register_ids, i);
        const struct backend *backend = scheduler_find_backend(sched, id);
        if (backend != NULL) {
            txn_builder_put(builder, add_backend_key(sched, builder, id),
                            record_backend_encode(&backend->entry));
        }
    }
    for (guint i = 0; i < batch->release_ids->len; i++) {
        const char *id = g_ptr_array_index(batch->release_ids, i);
        g_ptr_array_add(builder->deletes,
                        (char *)add_backend_key(sched, builder, id));
    }
    for (guint i = 0; i < batch->expire_ids->len; i++) {
        const char *id = g_ptr_array_index(batch->expire_ids, i);
        g_ptr_array_add(builder->deletes, (char *)txn_builder_key(
                                              builder, RECORD_JOB_PREFIX, id));
        g_ptr_array_add(
            builder->deletes,
            (char *)txn_builder_key(builder, RECORD_PROGRESS_PREFIX, id));
    }
}

struct txn_builder
store_txn_build(const struct scheduler *sched, const struct store_batch *batch,
                int64_t token, size_t value_bytes_max)
{
    struct txn_builder builder = txn_builder_create();
    txn_builder_condition(&builder, RECORD_LEADER_KEY, token);
    add_jobs(&builder, batch, value_bytes_max);
    add_registrations(sched, &builder, batch);
    return builder;
}

/* Revision of a key in the answer to a transaction; 0: it does not exist. */
static int64_t
stored_revision(const GPtrArray *items, const char *prefix, const char *id)
{
    for (guint i = 0; i < items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(items, i);
        if (g_str_has_prefix(item->key, prefix) &&
            strcmp(item->key + strlen(prefix), id) == 0) {
            return item->revision;
        }
    }
    return 0;
}

static void
adopt_backend_records(struct scheduler *sched, const GPtrArray *ids,
                      const GPtrArray *items)
{
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        scheduler_set_backend_record(
            sched, id, stored_revision(items, RECORD_BACKEND_PREFIX, id));
    }
}

/* A conflict comes from a new leader, or from an earlier write of this process
 * whose answer was lost. */
bool
store_txn_conflict(struct scheduler *sched, const struct store_batch *batch,
                   const GPtrArray *items, int64_t token)
{
    for (guint i = 0; i < items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(items, i);
        if (strcmp(item->key, RECORD_LEADER_KEY) == 0 &&
            item->revision != token) {
            return false;
        }
    }
    for (guint i = 0; i < batch->jobs->len; i++) {
        struct job *job = g_ptr_array_index(batch->jobs, i);
        job->revision =
            stored_revision(items, RECORD_PROGRESS_PREFIX, job->id);
    }
    adopt_backend_records(sched, batch->register_ids, items);
    adopt_backend_records(sched, batch->release_ids, items);
    return true;
}

/* Both keys are always written together, so they have one revision. Without
 * the condition a status that is stored late would undo a later one. */
struct txn_builder
store_txn_wave_status(const char *number, bool done, char *started_hosts,
                      int64_t token, int64_t revision)
{
    struct txn_builder builder = txn_builder_create();
    const char *key = txn_builder_key(&builder, RECORD_WAVE_PREFIX, number);
    txn_builder_condition(&builder, RECORD_LEADER_KEY, token);
    txn_builder_condition(&builder, key, revision);
    txn_builder_put(
        &builder,
        txn_builder_key(&builder, PLATFORM_WAVE_STATUS_PREFIX, number),
        encode_wave_status(done));
    txn_builder_put(&builder, key, started_hosts);
    return builder;
}
