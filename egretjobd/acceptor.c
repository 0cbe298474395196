#include "egretjobd/acceptor.h"

#include <string.h>

#include "common/event_log.h"
#include "egretjobd/committer.h"
#include "egretjobd/leader.h"
#include "egretjobd/leadership.h"
#include "egretjobd/records.h"
#include "egretjobd/store_route.h"
#include "platform/kv.h"

enum {
    CALL_TIMEOUT_MS = 1000,
    /* A transaction holds at most KV_TXN_ENTRIES_MAX entries. A job takes a
     * condition and two writes; on the leader a condition and one write, and
     * the transaction has a condition on the leader's record. */
    BATCH_JOBS_MAX = 10,
    BATCH_JOBS_AS_LEADER_MAX = 15,
    /* Transactions open at once. The store usually answers within
     * milliseconds, and jobs that arrive meanwhile share the next transaction.
     * A slow store takes 50 to 100 times as long, while a large site receives
     * 100 jobs/s. */
    TXN_SLOT_COUNT = 8,
    NEXT_TXN_AFTER_MS = 30,
    RETRY_MIN_MS = 40,
    RETRY_MAX_MS = 640,
    /* A refused write is retried this long before the caller is refused. */
    REFUSED_AFTER_MS = 250,
    /* A caller whose job is not stored by then gets 504 or 503, with time left
     * to try another entry host. */
    UNKNOWN_AFTER_MS = 1000,
    /* A peer stores its job itself after 700 ms without an answer. One that
     * hasn't been sent after half of that would be stored twice, so the peer
     * is told to do it. */
    FORWARDED_WAIT_MAX_MS = 350,
    /* After this many failed commits in a row, new jobs are refused at once; a
     * single one may be a lost answer. */
    STALLED_COMMIT_COUNT = 2,
    /* Retry-After has whole seconds; the store is retried more often. */
    STALLED_RETRY_AFTER_MS = 1000,
    /* The store may carry out a write some seconds late. Until the outcome is
     * known the scheduler may not know of the job, so the write is retried. */
    GIVE_UP_MS = 12000,
    /* Longer records aren't repeated in the message for the leader, which
     * lists hundreds of them. */
    INBOX_RECORD_BYTES_MAX = 4096,
};

#define CANCELLED_BODY                                                        \
    "{\"error\":\"$: the job was cancelled before it was accepted\"}"
#define REJECTED_BODY                                                         \
    "{\"error\":\"$: the platform's store can't hold the job\"}"

/**
 * struct pending_job - a job that is being written to the store
 * @uncertain: a write got no answer and may still be carried out
 * @forwarded: only peers wait for it
 * @alone: the store rejected a transaction that it shared with others
 * @in_store: its record is stored, but perhaps no inbox message for the
 *            scheduler
 * @replies: callbacks of the callers that wait for it
 */
struct pending_job {
    char *id;
    char *key;
    char *inbox_key;
    char *value;
    int64_t submitted_ms;
    bool uncertain;
    bool forwarded;
    bool alone;
    bool in_store;
    GArray *replies;
};

/**
 * struct txn_slot - one open transaction
 * @batch: struct pending_job in it, or NULL
 * @as_leader: it is conditional on this process's leadership
 * @sent_ms: when it was sent
 */
struct txn_slot {
    struct acceptor *acceptor;
    struct committer *committer;
    GPtrArray *batch;
    bool as_leader;
    int64_t sent_ms;
};

struct acceptor {
    struct node *node;
    struct txn_slot slots[TXN_SLOT_COUNT];
    struct event *timer;
    GQueue waiting;
    GHashTable *by_id;
    int64_t retry_ms;
    uint32_t failed_commits;
};

static void
pending_answer(struct pending_job *pending, int status)
{
    struct job_answer answer = {.status = status};
    if (status == 503) {
        answer.retry_after_ms = REFUSED_AFTER_MS;
    }
    if (status == 413) {
        answer.body = REJECTED_BODY;
    }
    if (status == 410) {
        answer.body = CANCELLED_BODY;
    }
    for (guint i = 0; i < pending->replies->len; i++) {
        struct job_reply *reply =
            &g_array_index(pending->replies, struct job_reply, i);
        reply->call(reply->ctx, &answer);
    }
    g_array_set_size(pending->replies, 0);
}

static void
pending_finish(struct acceptor *acceptor, struct pending_job *pending,
               int status)
{
    g_hash_table_remove(acceptor->by_id, pending->id);
    pending_answer(pending, status);
    g_array_unref(pending->replies);
    g_free(pending->id);
    g_free(pending->key);
    g_free(pending->inbox_key);
    g_free(pending->value);
    g_free(pending);
}

static void
pending_stored(struct acceptor *acceptor, struct pending_job *pending)
{
    if (acceptor->node->leader != NULL) {
        leader_job_stored(acceptor->node->leader, pending->id, pending->value,
                          strlen(pending->value));
    }
    pending_finish(acceptor, pending, 200);
}

static void
send_batches(struct acceptor *acceptor);

static void
give_up(struct acceptor *acceptor, struct pending_job *pending)
{
    event_log("job_unresolved", "\"job\":\"%s\"", pending->id);
    pending_finish(acceptor, pending,
                   pending->uncertain || pending->in_store ? 504 : 503);
}

static void
requeue(struct acceptor *acceptor, struct pending_job *pending, bool refused)
{
    int64_t age_ms = node_now(acceptor->node) - pending->submitted_ms;
    if (age_ms > UNKNOWN_AFTER_MS && !pending->uncertain) {
        pending_finish(acceptor, pending, 503);
        return;
    }
    if (age_ms > GIVE_UP_MS) {
        give_up(acceptor, pending);
        return;
    }
    if (age_ms > UNKNOWN_AFTER_MS) {
        pending_answer(pending, 504);
    }
    if (refused && !pending->uncertain && age_ms > REFUSED_AFTER_MS) {
        pending_finish(acceptor, pending, 503);
        return;
    }
    g_queue_push_tail(&acceptor->waiting, pending);
}

/* Refuses waiting jobs that no transaction can have stored. */
static void
refuse_unsent(struct acceptor *acceptor)
{
    int64_t now_ms = node_now(acceptor->node);
    GList *link = acceptor->waiting.head;
    while (link != NULL) {
        GList *next = link->next;
        struct pending_job *pending = link->data;
        if (!pending->uncertain && !pending->in_store &&
            now_ms - pending->submitted_ms > REFUSED_AFTER_MS) {
            g_queue_delete_link(&acceptor->waiting, link);
            pending_finish(acceptor, pending, 503);
        }
        link = next;
    }
}

/* Item that a transaction was conditional on and that exists, or NULL. */
static const struct kv_item *
find_item(const struct kv_result *result, const char *key)
{
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        if (item->revision > 0 && strcmp(item->key, key) == 0) {
            return item;
        }
    }
    return NULL;
}

/* What is stored counts, not what this caller sent: a request may come again
 * with the same id and another body. */
static void
use_stored_record(struct pending_job *pending, const struct kv_item *found)
{
    if (found->value != NULL) {
        g_free(pending->value);
        pending->value = g_strndup(found->value, found->value_bytes);
    }
}

static bool
leader_changed(const struct acceptor *acceptor, const struct kv_result *result)
{
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        if (strcmp(item->key, RECORD_LEADER_KEY) == 0) {
            return item->revision !=
                   leadership_token(acceptor->node->leadership);
        }
    }
    return false;
}

static void
on_commit(void *ctx, const struct kv_result *result)
{
    struct txn_slot *slot = ctx;
    struct acceptor *acceptor = slot->acceptor;
    GPtrArray *batch = slot->batch;
    slot->batch = NULL;
    bool progress = result->outcome == KV_OK || result->outcome == KV_REJECTED;
    for (guint i = 0; i < batch->len; i++) {
        struct pending_job *pending = g_ptr_array_index(batch, i);
        const struct kv_item *found = find_item(result, pending->key);
        if (found != NULL && found->value != NULL &&
            record_is_tombstone(found->value, found->value_bytes)) {
            progress = true;
            pending_finish(acceptor, pending, 410);
            continue;
        }
        if (found != NULL) {
            use_stored_record(pending, found);
        }
        if (result->outcome == KV_OK ||
            find_item(result, pending->inbox_key) != NULL ||
            (found != NULL && slot->as_leader)) {
            progress = true;
            pending_stored(acceptor, pending);
            continue;
        }
        if (found != NULL) {
            progress = true;
            pending->in_store = true;
        }
        if (result->outcome == KV_REJECTED && batch->len == 1) {
            /* The store never takes it, now or late. */
            pending_finish(acceptor, pending, 413);
            continue;
        }
        if (result->outcome == KV_REJECTED) {
            pending->alone = true;
            g_queue_push_head(&acceptor->waiting, pending);
            continue;
        }
        if (result->outcome == KV_UNKNOWN) {
            pending->uncertain = true;
        }
        requeue(acceptor, pending, result->outcome == KV_REFUSED);
    }
    g_ptr_array_unref(batch);
    if (slot->as_leader && result->outcome == KV_CONFLICT &&
        leader_changed(acceptor, result)) {
        leadership_lose(acceptor->node->leadership,
                        "another leader was found");
    }
    acceptor->failed_commits = progress ? 0 : acceptor->failed_commits + 1;
    if (!progress) {
        refuse_unsent(acceptor);
    }
    if (g_queue_is_empty(&acceptor->waiting)) {
        return;
    }
    if (progress) {
        acceptor->retry_ms = RETRY_MIN_MS;
        send_batches(acceptor);
        return;
    }
    event_log("accept_retry",
              "\"status\":%d,\"jobs\":%u,\"after_ms\":%" G_GINT64_FORMAT,
              result->status, g_queue_get_length(&acceptor->waiting),
              acceptor->retry_ms);
    /* Random, exponential back-off: many hosts may be refused at once. */
    timer_set(acceptor->timer,
              g_random_int_range((int32_t)acceptor->retry_ms / 2,
                                 (int32_t)acceptor->retry_ms + 1));
    acceptor->retry_ms = MIN(acceptor->retry_ms * 2, (int64_t)RETRY_MAX_MS);
}

/* Hands a job back to the peer that forwarded it, if it has waited too long to
 * be answered in time and can't be stored yet. */
static bool
hand_back(struct acceptor *acceptor, struct pending_job *pending,
          int64_t now_ms)
{
    if (!pending->forwarded || pending->uncertain || pending->in_store ||
        now_ms - pending->submitted_ms <= FORWARDED_WAIT_MAX_MS) {
        return false;
    }
    event_log("job_handed_back",
              "\"job\":\"%s\",\"after_ms\":%" G_GINT64_FORMAT, pending->id,
              now_ms - pending->submitted_ms);
    pending_finish(acceptor, pending, JOB_ANSWER_USE_STORE);
    return true;
}

/* With the record in it the leader needs no read for each job. */
static const char *
inbox_message(const struct pending_job *pending)
{
    return strlen(pending->value) <= INBOX_RECORD_BYTES_MAX ? pending->value
                                                            : INBOX_JOB;
}

static void
send_batch(struct txn_slot *slot)
{
    struct acceptor *acceptor = slot->acceptor;
    struct kv_condition conditions[BATCH_JOBS_AS_LEADER_MAX + 1];
    struct kv_put puts[2 * BATCH_JOBS_AS_LEADER_MAX];
    struct kv_txn txn = {.conditions = conditions, .puts = puts};
    slot->batch = g_ptr_array_new();
    slot->as_leader = leadership_held(acceptor->node->leadership);
    slot->sent_ms = node_now(acceptor->node);
    guint batch_max =
        slot->as_leader ? BATCH_JOBS_AS_LEADER_MAX : BATCH_JOBS_MAX;
    if (slot->as_leader) {
        conditions[txn.n_conditions++] = (struct kv_condition){
            .key = RECORD_LEADER_KEY,
            .revision = leadership_token(acceptor->node->leadership),
        };
    }
    while (slot->batch->len < batch_max &&
           !g_queue_is_empty(&acceptor->waiting)) {
        struct pending_job *pending = g_queue_peek_head(&acceptor->waiting);
        if (pending->alone && slot->batch->len > 0) {
            break;
        }
        g_queue_pop_head(&acceptor->waiting);
        if (hand_back(acceptor, pending, slot->sent_ms)) {
            continue;
        }
        /* The process may have been suspended. */
        if (slot->sent_ms - pending->submitted_ms > GIVE_UP_MS) {
            give_up(acceptor, pending);
            continue;
        }
        g_ptr_array_add(slot->batch, pending);
        /* A stored job only needs the inbox message for the scheduler. */
        bool inbox_only = pending->in_store && !slot->as_leader;
        conditions[txn.n_conditions++] = (struct kv_condition){
            .key = inbox_only ? pending->inbox_key : pending->key};
        if (!inbox_only) {
            puts[txn.n_puts++] =
                (struct kv_put){.key = pending->key, .value = pending->value};
        }
        if (!slot->as_leader) {
            puts[txn.n_puts++] = (struct kv_put){
                .key = pending->inbox_key, .value = inbox_message(pending)};
        }
        if (pending->alone) {
            break;
        }
    }
    if (slot->batch->len == 0) {
        g_ptr_array_unref(slot->batch);
        slot->batch = NULL;
        return;
    }
    committer_commit(slot->committer, &txn,
                     (struct kv_done){.call = on_commit, .ctx = slot});
}

/* Slot for the next transaction, or NULL if waiting jobs go with a later one:
 * another slot is used only when the open transactions are slow. */
static struct txn_slot *
next_slot(struct acceptor *acceptor)
{
    struct txn_slot *idle = NULL;
    int64_t latest_ms = 0;
    for (size_t i = 0; i < TXN_SLOT_COUNT; i++) {
        struct txn_slot *slot = &acceptor->slots[i];
        if (slot->batch == NULL) {
            idle = idle == NULL ? slot : idle;
        }
        else {
            latest_ms = MAX(latest_ms, slot->sent_ms);
        }
    }
    return node_now(acceptor->node) - latest_ms >= NEXT_TXN_AFTER_MS ? idle
                                                                     : NULL;
}

static void
send_batches(struct acceptor *acceptor)
{
    if (g_queue_is_empty(&acceptor->waiting)) {
        return;
    }
    struct txn_slot *slot = next_slot(acceptor);
    if (slot != NULL) {
        send_batch(slot);
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    send_batches(ctx);
}

struct acceptor *
acceptor_create(struct node *node)
{
    struct acceptor *acceptor = g_new0(struct acceptor, 1);
    acceptor->node = node;
    for (size_t i = 0; i < TXN_SLOT_COUNT; i++) {
        acceptor->slots[i] = (struct txn_slot){
            .acceptor = acceptor,
            .committer = committer_create(
                node->base, node->settings->store_address, CALL_TIMEOUT_MS,
                store_route_any(node->store_route)),
        };
    }
    acceptor->timer = evtimer_new(node->base, on_timer, acceptor);
    acceptor->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&acceptor->waiting);
    acceptor->retry_ms = RETRY_MIN_MS;
    return acceptor;
}

void
acceptor_destroy(struct acceptor *acceptor)
{
    if (acceptor == NULL) {
        return;
    }
    event_free(acceptor->timer);
    for (size_t i = 0; i < TXN_SLOT_COUNT; i++) {
        committer_destroy(acceptor->slots[i].committer);
    }
    g_hash_table_unref(acceptor->by_id);
    g_free(acceptor);
}

static void
answer_unfinished(struct pending_job *pending)
{
    pending_answer(pending,
                   pending->uncertain || pending->in_store ? 504 : 503);
}

static void
answer_slot(struct txn_slot *slot)
{
    for (guint i = 0; slot->batch != NULL && i < slot->batch->len; i++) {
        struct pending_job *pending = g_ptr_array_index(slot->batch, i);
        /* Its write has been sent. */
        pending->uncertain = true;
        answer_unfinished(pending);
    }
}

void
acceptor_answer_pending(struct acceptor *acceptor)
{
    for (size_t i = 0; i < TXN_SLOT_COUNT; i++) {
        answer_slot(&acceptor->slots[i]);
    }
    for (GList *link = acceptor->waiting.head; link != NULL;
         link = link->next) {
        answer_unfinished(link->data);
    }
}

/* Whether the last commits failed and a retry is scheduled or open that will
 * show when the store works again. */
static bool
stalled(const struct acceptor *acceptor)
{
    bool retrying = evtimer_pending(acceptor->timer, NULL);
    for (size_t i = 0; i < TXN_SLOT_COUNT; i++) {
        retrying = retrying || acceptor->slots[i].batch != NULL;
    }
    return retrying && acceptor->failed_commits >= STALLED_COMMIT_COUNT;
}

void
acceptor_refuse(struct acceptor *acceptor, const struct job_call *call,
                struct job_reply reply, const struct job_answer *refusal)
{
    struct pending_job *pending =
        g_hash_table_lookup(acceptor->by_id, call->id);
    if (pending != NULL) {
        /* It is being stored for an earlier call. */
        g_array_append_val(pending->replies, reply);
        return;
    }
    struct job_answer answer = *refusal;
    if (call->uncertain) {
        answer.status = 504;
    }
    reply.call(reply.ctx, &answer);
}

void
acceptor_submit(struct acceptor *acceptor, const struct job_call *call,
                struct job_reply reply)
{
    struct pending_job *pending =
        g_hash_table_lookup(acceptor->by_id, call->id);
    if (pending != NULL) {
        pending->uncertain = pending->uncertain || call->uncertain;
        pending->forwarded = pending->forwarded && call->forwarded;
        g_array_append_val(pending->replies, reply);
        return;
    }
    if (stalled(acceptor)) {
        struct job_answer refusal = {.status = 503,
                                     .retry_after_ms = STALLED_RETRY_AFTER_MS};
        acceptor_refuse(acceptor, call, reply, &refusal);
        return;
    }
    struct job_envelope envelope = {
        .queue = call->queue,
        .pool = call->pool,
        .team = call->team,
        .attempts = call->attempts,
        .accepted_unix_ms = ms_clock_now(&acceptor->node->unix_clock),
        .body = call->body,
        .body_bytes = call->body_bytes,
    };
    char *value = record_job_encode(&envelope);
    if (strlen(value) > acceptor->node->settings->value_bytes_max) {
        g_free(value);
        struct job_answer answer = {.status = 413, .body = REJECTED_BODY};
        reply.call(reply.ctx, &answer);
        return;
    }
    pending = g_new0(struct pending_job, 1);
    pending->id = g_strdup(call->id);
    pending->key = g_strconcat(RECORD_JOB_PREFIX, call->id, NULL);
    pending->inbox_key = g_strconcat(RECORD_INBOX_PREFIX, call->id, NULL);
    pending->value = value;
    pending->submitted_ms = node_now(acceptor->node);
    pending->uncertain = call->uncertain;
    pending->forwarded = call->forwarded;
    pending->replies = g_array_new(FALSE, FALSE, sizeof(struct job_reply));
    g_array_append_val(pending->replies, reply);
    g_hash_table_insert(acceptor->by_id, pending->id, pending);
    g_queue_push_tail(&acceptor->waiting, pending);
    send_batches(acceptor);
}
