/* The store of the model: records, conditions, commits that are carried out
 * late. */
#include "model_state.h"

#include <string.h>

#include "egretjobd/records.h"

enum {
    LATE_COMMIT_MIN_MS = 1000,
    LATE_COMMIT_MAX_MS = 6000,
};

/* Commits of which a copy is carried out late: a transaction is sent on a
 * second connection if the first does not answer. */
#define LATE_COMMIT_CHANCE 0.5

/** struct stored_record - a value and the revision at which it was written */
struct stored_record {
    char *value;
    int64_t revision;
};

static void
record_free(void *data)
{
    struct stored_record *record = data;
    g_free(record->value);
    g_free(record);
}

GHashTable *
records_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, record_free);
}

bool
read_record(const struct sim *sim, const char *id, struct backend_entry *entry,
            int64_t *revision)
{
    char *key = g_strconcat(RECORD_BACKEND_PREFIX, id, NULL);
    const struct stored_record *record =
        g_hash_table_lookup(sim->records, key);
    g_free(key);
    if (record == NULL) {
        return false;
    }
    *revision = record->revision;
    return record_backend_decode(id, record->value, strlen(record->value),
                                 entry);
}

void
send_commit(struct leader *leader, struct store_batch *batch)
{
    struct sim *sim = leader->sim;
    struct message *message =
        send_message(sim, MESSAGE_COMMIT, leader, 3 + network_ms(sim));
    message->batch = batch;
    message->txn = store_txn_build(leader->sched, batch, leader->token,
                                   KV_VALUE_BYTES_DEFAULT);
    if (sim->faults.late_writes && faults_active(sim) &&
        chance(sim, LATE_COMMIT_CHANCE)) {
        int64_t delay_ms = g_rand_int_range(sim->random, LATE_COMMIT_MIN_MS,
                                            LATE_COMMIT_MAX_MS);
        struct message *late =
            send_message(sim, MESSAGE_LATE_COMMIT, leader, delay_ms);
        late->txn = store_txn_build(leader->sched, batch, leader->token,
                                    KV_VALUE_BYTES_DEFAULT);
    }
}

static int64_t
stored_revision(struct sim *sim, const char *key)
{
    if (strcmp(key, RECORD_LEADER_KEY) == 0) {
        return sim->current->token;
    }
    if (g_str_has_prefix(key, RECORD_PROGRESS_PREFIX)) {
        return find_stored_job(sim, key + strlen(RECORD_PROGRESS_PREFIX))
            ->revision;
    }
    const struct stored_record *record =
        g_hash_table_lookup(sim->records, key);
    return record == NULL ? 0 : record->revision;
}

/* State of what @txn is conditional on; NULL if all its conditions hold. */
static GPtrArray *
find_conflict(struct sim *sim, const struct kv_txn *txn)
{
    GPtrArray *items = g_ptr_array_new_with_free_func(kv_item_destroy);
    bool conflict = false;
    for (size_t i = 0; i < txn->n_conditions; i++) {
        const struct kv_condition *condition = &txn->conditions[i];
        struct kv_item item = {
            .key = (char *)condition->key,
            .revision = stored_revision(sim, condition->key),
        };
        bool ignored = sim->mutation == MUTATION_NO_RECORD_CONDITION &&
                       g_str_has_prefix(condition->key, RECORD_BACKEND_PREFIX);
        conflict =
            conflict || (!ignored && item.revision != condition->revision);
        g_ptr_array_add(items, kv_item_copy(&item));
    }
    if (!conflict) {
        g_ptr_array_unref(items);
        return NULL;
    }
    return items;
}

static void
store_progress(struct sim *sim, const char *id, const char *value)
{
    struct stored_job *stored = find_stored_job(sim, id);
    g_free(stored->progress);
    stored->progress = g_strdup(value);
    stored->revision = sim->revision;
    enum job_state state = JOB_ACTIVE;
    record_progress_state(value, strlen(value), &state);
    if (state == JOB_CANCELLED && stored->cancel_stored_ms == 0) {
        stored->cancel_stored_ms = sim->now_ms;
    }
}

static void
apply_txn(struct sim *sim, const struct kv_txn *txn)
{
    sim->revision++;
    for (size_t i = 0; i < txn->n_puts; i++) {
        const struct kv_put *put = &txn->puts[i];
        if (g_str_has_prefix(put->key, RECORD_PROGRESS_PREFIX)) {
            store_progress(sim, put->key + strlen(RECORD_PROGRESS_PREFIX),
                           put->value);
            continue;
        }
        struct stored_record *record = g_new0(struct stored_record, 1);
        record->value = g_strdup(put->value);
        record->revision = sim->revision;
        g_hash_table_replace(sim->records, g_strdup(put->key), record);
    }
    for (size_t i = 0; i < txn->n_deletes; i++) {
        g_hash_table_remove(sim->records, txn->deletes[i]);
    }
}

/* The write or its answer may get lost. */
void
deliver_commit(struct sim *sim, struct message *message)
{
    struct leader *leader = message->leader;
    struct kv_txn txn = txn_builder_txn(&message->txn);
    GPtrArray *items = find_conflict(sim, &txn);
    if (message->kind == MESSAGE_LATE_COMMIT) {
        if (items == NULL) {
            apply_txn(sim, &txn);
        }
        g_clear_pointer(&items, g_ptr_array_unref);
        return;
    }
    bool lost =
        leader->cut_from_store || (faults_active(sim) && chance(sim, 0.05));
    bool arrives = !lost || (!leader->cut_from_store && chance(sim, 0.5));
    bool applied = arrives && items == NULL;
    if (applied) {
        apply_txn(sim, &txn);
    }
    if (!lost && items != NULL) {
        store_txn_conflict(leader->sched, message->batch, items,
                           leader->token);
    }
    g_clear_pointer(&items, g_ptr_array_unref);
    leader->storing = false;
    scheduler_batch_stored(leader->sched, message->batch, applied && !lost,
                           sim->revision);
    message->batch = NULL;
    flush(leader);
}
