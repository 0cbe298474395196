/* Stores the scheduler's decisions. They take effect only once stored. */
#include "leader_state.h"

#include <string.h>

#include "common/event_log.h"
#include "egretjobd/config_feed.h"
#include "egretjobd/leadership.h"
#include "egretjobd/records.h"
#include "egretjobd/store_txn.h"

enum {
    /* Changes that arrive while a transaction is open go into the next one.
     * Another transaction is opened only if the last one is this late. */
    NEXT_TXN_AFTER_MS = 30,
    STORE_RETRY_MS = 60,
    STATUS_RETRY_MS = 500,
    /* Statuses are compared this often; a wave may have hundreds of hosts. */
    STATUS_INTERVAL_MS = 250,
};

/* Replies to callers whose cancel is stored. */
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

static void
on_changes_stored(void *ctx, const struct kv_result *result)
{
    struct progress_txn *slot = ctx;
    struct leader *leader = slot->leader;
    struct store_batch *batch = slot->batch;
    if (result->outcome == KV_CONFLICT &&
        !store_txn_conflict(leader->sched, batch, result->items,
                            leader->token)) {
        leadership_lose(leader->node->leadership, "another leader was found");
        return;
    }
    slot->batch = NULL;
    bool stored = result->outcome == KV_OK;
    bool rejected = result->outcome == KV_REJECTED;
    bool has_jobs = batch->jobs->len > 0;
    if (rejected) {
        event_log("store_rejected",
                  "\"what\":\"progress\",\"status\":%d,\"jobs\":%u",
                  result->status, batch->jobs->len);
        scheduler_batch_rejected(leader->sched, batch);
    }
    else {
        scheduler_batch_stored(leader->sched, batch, stored, result->revision);
    }
    answer_cancels(leader);
    leader_schedule_tick(leader);
    if (stored || result->outcome == KV_CONFLICT || (rejected && has_jobs)) {
        leader_store_changes(leader);
        return;
    }
    event_log("store_failed", "\"what\":\"progress\",\"status\":%d",
              result->status);
    timer_set(leader->store_timer, STORE_RETRY_MS);
}

static void
send_txn(struct progress_txn *slot)
{
    struct leader *leader = slot->leader;
    struct txn_builder builder =
        store_txn_build(leader->sched, slot->batch, leader->token,
                        leader->node->settings->value_bytes_max);
    struct kv_txn txn = txn_builder_txn(&builder);
    slot->sent_ms = node_now(leader->node);
    committer_commit(slot->committer, &txn,
                     (struct kv_done){.call = on_changes_stored, .ctx = slot});
    txn_builder_clear(&builder);
}

/* The first slot carries registrations and deletions, which have to stay in
 * order. The others carry progress only, and only if earlier transactions are
 * late. */
void
leader_store_changes(struct leader *leader)
{
    if (evtimer_pending(leader->store_timer, NULL)) {
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

/* A conflict comes from a new leader, or from an earlier write of this process
 * whose answer was lost. Returns false for a new leader; otherwise sets
 * @revision to that of the record that the write was conditional on. */
static bool
adopt_revision(const struct leader *leader, const GPtrArray *items,
               int64_t *revision)
{
    for (guint i = 0; i < items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(items, i);
        if (strcmp(item->key, RECORD_LEADER_KEY) != 0) {
            *revision = item->revision;
        }
        else if (item->revision != leader->token) {
            return false;
        }
    }
    return true;
}

static void
on_run_numbers_stored(void *ctx, const struct kv_result *result)
{
    struct leader *leader = ctx;
    uint32_t term = leader->numbers_sent;
    leader->numbers_sent = 0;
    if (result->outcome == KV_CONFLICT &&
        !adopt_revision(leader, result->items, &leader->numbers_revision)) {
        leadership_lose(leader->node->leadership, "another leader was found");
        return;
    }
    if (result->outcome != KV_OK) {
        event_log("store_failed", "\"what\":\"run numbers\",\"status\":%d",
                  result->status);
        leader->numbers_retry_ms = node_now(leader->node) + STORE_RETRY_MS;
        return;
    }
    leader->numbers_revision = result->revision;
    scheduler_term_reserved(leader->sched, term);
    leader_schedule_tick(leader);
}

/* Each write is conditional on the one before, so that none that is carried
 * out late replaces a higher one. */
void
leader_reserve_run_numbers(struct leader *leader)
{
    uint32_t wanted = scheduler_term_wanted(leader->sched);
    if (wanted == 0 || leader->numbers_sent != 0 ||
        node_now(leader->node) < leader->numbers_retry_ms) {
        return;
    }
    char value[16];
    g_snprintf(value, sizeof(value), "%u", wanted);
    struct kv_condition conditions[] = {
        {.key = RECORD_LEADER_KEY, .revision = leader->token},
        {.key = RECORD_RUN_NUMBERS_KEY, .revision = leader->numbers_revision},
    };
    struct kv_put put = {.key = RECORD_RUN_NUMBERS_KEY, .value = value};
    struct kv_txn txn = {
        .conditions = conditions,
        .n_conditions = G_N_ELEMENTS(conditions),
        .puts = &put,
        .n_puts = 1,
    };
    leader->numbers_sent = wanted;
    kv_commit(leader->writes, &txn,
              (struct kv_done){.call = on_run_numbers_stored, .ctx = leader});
}

static void
on_leases_stored(void *ctx, const struct kv_result *result)
{
    struct leader *leader = ctx;
    leader->leases_sent = false;
    if (result->outcome == KV_CONFLICT &&
        !adopt_revision(leader, result->items, &leader->leases_revision)) {
        leadership_lose(leader->node->leadership, "another leader was found");
        return;
    }
    if (result->outcome != KV_OK) {
        event_log("store_failed", "\"what\":\"leases\",\"status\":%d",
                  result->status);
        leader->leases_retry_ms = node_now(leader->node) + STORE_RETRY_MS;
        return;
    }
    leader->leases_revision = result->revision;
    scheduler_open_leases_stored(leader->sched);
    leader_schedule_tick(leader);
}

/* Conditional on the one before, like run numbers. */
void
leader_store_leases(struct leader *leader)
{
    if (leader->leases_sent || !scheduler_open_leases_due(leader->sched) ||
        node_now(leader->node) < leader->leases_retry_ms) {
        return;
    }
    struct open_leases *leases = scheduler_open_leases(leader->sched, false);
    char *value = record_leases_encode(leader->token, leases);
    open_leases_destroy(leases);
    struct kv_condition conditions[] = {
        {.key = RECORD_LEADER_KEY, .revision = leader->token},
        {.key = RECORD_HANDOVER_KEY, .revision = leader->leases_revision},
    };
    struct kv_put put = {.key = RECORD_HANDOVER_KEY, .value = value};
    struct kv_txn txn = {
        .conditions = conditions,
        .n_conditions = G_N_ELEMENTS(conditions),
        .puts = &put,
        .n_puts = 1,
    };
    leader->leases_sent = true;
    kv_commit(leader->writes, &txn,
              (struct kv_done){.call = on_leases_stored, .ctx = leader});
    g_free(value);
}

void
leader_set_wave_revision(struct leader *leader, const char *number,
                         int64_t revision)
{
    g_hash_table_replace(leader->wave_revisions, g_strdup(number),
                         g_memdup2(&revision, sizeof(revision)));
}

/* Adopts the revision of the wave whose status was sent. */
static bool
adopt_wave_revision(struct leader *leader, const GPtrArray *items)
{
    int64_t revision = -1;
    if (!adopt_revision(leader, items, &revision)) {
        return false;
    }
    if (revision >= 0) {
        leader_set_wave_revision(leader, leader->wave_status_sent, revision);
    }
    return true;
}

static void
on_status_stored(void *ctx, const struct kv_result *result)
{
    struct leader *leader = ctx;
    if (result->outcome == KV_CONFLICT &&
        !adopt_wave_revision(leader, result->items)) {
        g_clear_pointer(&leader->wave_status_sent, g_free);
        leadership_lose(leader->node->leadership, "another leader was found");
        return;
    }
    if (result->outcome == KV_OK) {
        leader_set_wave_revision(leader, leader->wave_status_sent,
                                 result->revision);
    }
    else if (result->outcome == KV_REJECTED) {
        /* Kept, so that it isn't written again before it changes. */
        event_log("store_rejected", "\"what\":\"wave\",\"status\":%d",
                  result->status);
    }
    else {
        /* Forgotten, so that it is written again. */
        g_hash_table_remove(leader->wave_status, leader->wave_status_sent);
        leader->status_retry_ms = node_now(leader->node) + STATUS_RETRY_MS;
    }
    g_free(leader->wave_status_sent);
    leader->wave_status_sent = NULL;
}

/* Stores the status of a wave if it has changed: whether it is complete, and
 * the hosts whose maintenance was accepted. */
static void
store_wave_status(struct leader *leader, const struct host_wave *wave)
{
    bool done = scheduler_wave_done(leader->sched, wave->number);
    char *started_hosts =
        scheduler_wave_started_hosts(leader->sched, wave->number);
    char *number = g_strdup_printf("%" G_GINT64_FORMAT, wave->number);
    char *report =
        g_strconcat(done ? "completed " : "running ", started_hosts, NULL);
    if (g_strcmp0(g_hash_table_lookup(leader->wave_status, number), report) ==
        0) {
        g_free(report);
        g_free(number);
        g_free(started_hosts);
        return;
    }
    g_hash_table_insert(leader->wave_status, g_strdup(number), report);
    const int64_t *revision =
        g_hash_table_lookup(leader->wave_revisions, number);
    struct txn_builder builder =
        store_txn_wave_status(number, done, started_hosts, leader->token,
                              revision == NULL ? 0 : *revision);
    struct kv_txn txn = txn_builder_txn(&builder);
    leader->wave_status_sent = number;
    kv_commit(leader->writes, &txn,
              (struct kv_done){.call = on_status_stored, .ctx = leader});
    txn_builder_clear(&builder);
}

void
leader_store_wave_status(struct leader *leader)
{
    const GPtrArray *waves = config_feed_waves(leader->node->feed);
    int64_t now_ms = node_now(leader->node);
    if (now_ms < leader->status_due_ms) {
        return;
    }
    leader->status_due_ms = now_ms + STATUS_INTERVAL_MS;
    for (guint i = 0; i < waves->len; i++) {
        if (leader->wave_status_sent != NULL ||
            now_ms < leader->status_retry_ms) {
            return;
        }
        store_wave_status(leader, g_ptr_array_index(waves, i));
    }
}
