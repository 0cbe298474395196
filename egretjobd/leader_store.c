/* Stores what the scheduler decided; effects follow only what is stored. */
#include "leader_state.h"

#include <string.h>

#include "common/event_log.h"
#include "egretjobd/config_feed.h"
#include "egretjobd/leadership.h"
#include "egretjobd/records.h"
#include "platform/decode.h"

enum {
    /* A condition and a write per job, and the duty, in one transaction. */
    BATCH_CHANGES_MAX = 15,
    /* What comes while one transaction is on its way goes together with the
     * next, unless the store is slow. */
    NEXT_TXN_AFTER_MS = 30,
    FLUSH_RETRY_MS = 60,
    STATUS_RETRY_MS = 500,
};

/* Keys and values of one transaction, freed together. */
struct txn_text {
    GPtrArray *texts;
    GArray *conditions;
    GArray *puts;
    GPtrArray *deletes;
};

static struct txn_text
txn_text_create(void)
{
    return (struct txn_text){
        .texts = g_ptr_array_new_with_free_func(g_free),
        .conditions = g_array_new(FALSE, FALSE, sizeof(struct kv_condition)),
        .puts = g_array_new(FALSE, FALSE, sizeof(struct kv_put)),
        .deletes = g_ptr_array_new(),
    };
}

static void
txn_text_clear(struct txn_text *text)
{
    g_ptr_array_unref(text->texts);
    g_array_unref(text->conditions);
    g_array_unref(text->puts);
    g_ptr_array_unref(text->deletes);
}

static const char *
add_key(struct txn_text *text, const char *prefix, const char *id)
{
    char *key = g_strconcat(prefix, id, NULL);
    g_ptr_array_add(text->texts, key);
    return key;
}

static void
add_condition(struct txn_text *text, const char *key, int64_t revision)
{
    struct kv_condition condition = {.key = key, .revision = revision};
    g_array_append_val(text->conditions, condition);
}

static void
add_put(struct txn_text *text, const char *key, char *value)
{
    g_ptr_array_add(text->texts, value);
    struct kv_put put = {.key = key, .value = value};
    g_array_append_val(text->puts, put);
}

static struct kv_txn
txn_of(const struct txn_text *text)
{
    return (struct kv_txn){
        .conditions = (struct kv_condition *)text->conditions->data,
        .n_conditions = text->conditions->len,
        .puts = (struct kv_put *)text->puts->data,
        .n_puts = text->puts->len,
        .deletes = (const char *const *)text->deletes->pdata,
        .n_deletes = text->deletes->len,
    };
}

static void
add_jobs(struct txn_text *text, const struct store_batch *batch)
{
    for (guint i = 0; i < batch->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(batch->jobs, i);
        const char *key = add_key(text, RECORD_PROGRESS_PREFIX, job->id);
        add_condition(text, key, job->revision);
        add_put(text, key, record_progress_encode(job));
    }
}

static void
add_registrations(struct leader *leader, struct txn_text *text,
                  const struct store_batch *batch)
{
    for (guint i = 0; i < batch->register_ids->len; i++) {
        const char *id = g_ptr_array_index(batch->register_ids, i);
        const struct backend *backend =
            scheduler_find_backend(leader->sched, id);
        if (backend != NULL) {
            add_put(text, add_key(text, RECORD_BACKEND_PREFIX, id),
                    record_backend_encode(&backend->entry));
        }
    }
    for (guint i = 0; i < batch->release_ids->len; i++) {
        const char *id = g_ptr_array_index(batch->release_ids, i);
        g_ptr_array_add(text->deletes,
                        (char *)add_key(text, RECORD_BACKEND_PREFIX, id));
    }
    for (guint i = 0; i < batch->expire_ids->len; i++) {
        const char *id = g_ptr_array_index(batch->expire_ids, i);
        g_ptr_array_add(text->deletes,
                        (char *)add_key(text, RECORD_JOB_PREFIX, id));
        g_ptr_array_add(text->deletes,
                        (char *)add_key(text, RECORD_PROGRESS_PREFIX, id));
    }
}

/* Cancels are acknowledged once they are stored. */
static void
answer_cancels(struct leader *leader)
{
    for (guint i = leader->cancels->len; i > 0; i--) {
        struct cancel_waiter *waiter =
            g_ptr_array_index(leader->cancels, i - 1);
        if (waiter->job->stored_version < waiter->job->version) {
            continue;
        }
        struct job_answer answer = {.status = 200};
        waiter->reply.call(waiter->reply.ctx, &answer);
        job_unref(waiter->job);
        g_ptr_array_remove_index_fast(leader->cancels, i - 1);
        g_free(waiter);
    }
}

/* A conflict comes from a new holder, or from an earlier write of our own that
 * got no answer; then its revision is taken over. */
static bool
handle_conflict(struct leader *leader, const struct store_batch *batch,
                const struct kv_result *result)
{
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        if (strcmp(item->key, RECORD_LEADER_KEY) == 0 &&
            item->revision != leader->token) {
            return false;
        }
    }
    for (guint i = 0; i < batch->jobs->len; i++) {
        struct job *job = g_ptr_array_index(batch->jobs, i);
        job->revision = 0;
        for (guint k = 0; k < result->items->len; k++) {
            const struct kv_item *item = g_ptr_array_index(result->items, k);
            if (g_str_has_suffix(item->key, job->id)) {
                job->revision = item->revision;
            }
        }
    }
    return true;
}

static void
on_flushed(void *ctx, const struct kv_result *result)
{
    struct progress_txn *slot = ctx;
    struct leader *leader = slot->leader;
    struct store_batch *batch = slot->batch;
    if (result->outcome == KV_CONFLICT &&
        !handle_conflict(leader, batch, result)) {
        leadership_lose(leader->node->leadership, "another leader was found");
        return;
    }
    slot->batch = NULL;
    bool stored = result->outcome == KV_OK;
    scheduler_batch_stored(leader->sched, batch, stored, result->revision);
    answer_cancels(leader);
    leader_tick_soon(leader);
    if (stored || result->outcome == KV_CONFLICT) {
        leader_flush(leader);
        return;
    }
    event_log("store_failed", "\"what\":\"progress\",\"status\":%d",
              result->status);
    timer_set(leader->flush_timer, FLUSH_RETRY_MS);
}

static void
send_txn(struct progress_txn *slot)
{
    struct leader *leader = slot->leader;
    struct txn_text text = txn_text_create();
    add_condition(&text, RECORD_LEADER_KEY, leader->token);
    add_jobs(&text, slot->batch);
    add_registrations(leader, &text, slot->batch);
    struct kv_txn txn = txn_of(&text);
    slot->sent_ms = node_now(leader->node);
    committer_commit(slot->committer, &txn,
                     (struct kv_done){.call = on_flushed, .ctx = slot});
    txn_text_clear(&text);
}

/* Registrations and deletions keep their order in the first lane; the others
 * carry progress alone, and only when those before them are late. */
void
leader_flush(struct leader *leader)
{
    if (evtimer_pending(leader->flush_timer, NULL)) {
        return;
    }
    int64_t latest_ms = 0;
    struct progress_txn *idle = NULL;
    for (size_t i = 0; i < PROGRESS_TXN_COUNT; i++) {
        struct progress_txn *slot = &leader->progress_txns[i];
        if (slot->batch != NULL) {
            latest_ms = MAX(latest_ms, slot->sent_ms);
        }
        else if (idle == NULL) {
            idle = slot;
        }
    }
    bool first = idle == &leader->progress_txns[0];
    if (idle == NULL ||
        (!first && node_now(leader->node) - latest_ms < NEXT_TXN_AFTER_MS)) {
        return;
    }
    idle->batch =
        first ? scheduler_take_batch(leader->sched, BATCH_CHANGES_MAX)
              : scheduler_take_progress(leader->sched, BATCH_CHANGES_MAX);
    if (idle->batch != NULL) {
        send_txn(idle);
    }
}

static void
on_status_stored(void *ctx, const struct kv_result *result)
{
    struct leader *leader = ctx;
    if (result->outcome != KV_OK) {
        /* Written again with the next report. */
        g_hash_table_remove(leader->wave_status, leader->wave_status_sent);
        leader->status_retry_ms = node_now(leader->node) + STATUS_RETRY_MS;
    }
    g_free(leader->wave_status_sent);
    leader->wave_status_sent = NULL;
}

/* What was last written of each wave: its hosts that were maintained and
 * whether it is complete. */
static void
report_wave(struct leader *leader, const struct host_wave *wave)
{
    bool done = scheduler_wave_done(leader->sched, wave->number);
    char *begun = scheduler_wave_started_hosts(leader->sched, wave->number);
    char *number = g_strdup_printf("%" G_GINT64_FORMAT, wave->number);
    char *report = g_strconcat(done ? "completed " : "running ", begun, NULL);
    if (g_strcmp0(g_hash_table_lookup(leader->wave_status, number), report) ==
        0) {
        g_free(report);
        g_free(number);
        g_free(begun);
        return;
    }
    g_hash_table_insert(leader->wave_status, g_strdup(number), report);
    struct txn_text text = txn_text_create();
    add_condition(&text, RECORD_LEADER_KEY, leader->token);
    add_put(&text, add_key(&text, PLATFORM_WAVE_STATUS_PREFIX, number),
            encode_wave_status(done));
    add_put(&text, add_key(&text, RECORD_WAVE_PREFIX, number), begun);
    struct kv_txn txn = txn_of(&text);
    leader->wave_status_sent = number;
    kv_commit(leader->writes, &txn,
              (struct kv_done){.call = on_status_stored, .ctx = leader});
    txn_text_clear(&text);
}

void
leader_report_waves(struct leader *leader)
{
    const GPtrArray *waves = config_feed_waves(leader->node->feed);
    for (guint i = 0; i < waves->len; i++) {
        if (leader->wave_status_sent != NULL ||
            node_now(leader->node) < leader->status_retry_ms) {
            return;
        }
        report_wave(leader, g_ptr_array_index(waves, i));
    }
}
