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
    /* A condition and two writes per job within one transaction; with the
     * duty a condition and one write, and the duty's own. */
    BATCH_JOBS = 10,
    BATCH_JOBS_WITH_DUTY = 15,
    /* Transactions at once. One answer takes some milliseconds, and what comes
     * meanwhile goes together; a slow store takes 50 to 100 times as
     * long, and 100 jobs a second arrive on a grown site. */
    LANES = 8,
    NEXT_LANE_AFTER_MS = 30,
    RETRY_MS = 40,
    RETRY_MAX_MS = 640,
    /* A write that was refused is tried this long before the caller is. */
    REFUSED_AFTER_MS = 250,
    /* A caller whose write has no answer by then is told so: it has time left
     * to ask another entry host. */
    UNKNOWN_AFTER_MS = 1000,
    /* Commits in a row that came to nothing before callers are refused at
     * once; a single one may be a lost answer. */
    STALLED_COMMITS = 2,
    /* Callers count in whole seconds; the store is tried more often. */
    STALLED_RETRY_AFTER_MS = 1000,
    /* The store may carry a write out some seconds late; until then the
     * scheduler could miss the job. */
    GIVE_UP_MS = 12000,
};

/**
 * struct entry - a job on its way into the store
 * @uncertain: a write got no answer and may still be carried out
 * @exists: the job is stored, maybe without the scheduler's knowledge
 * @replies: callers that wait for it
 */
struct entry {
    char *id;
    char *key;
    char *inbox_key;
    char *value;
    int64_t since_ms;
    bool uncertain;
    bool exists;
    GArray *replies;
};

/**
 * struct lane - one transaction under way
 * @batch: struct entry in it, or NULL
 * @with_duty: it holds only while this process has the duty
 * @sent_ms: when it was sent
 */
struct lane {
    struct acceptor *acceptor;
    struct committer *committer;
    GPtrArray *batch;
    bool with_duty;
    int64_t sent_ms;
};

struct acceptor {
    struct node *node;
    struct lane lanes[LANES];
    struct event *timer;
    GQueue waiting;
    GHashTable *by_id;
    int64_t retry_ms;
    uint32_t failed_commits;
};

static void
entry_answer(struct entry *entry, int status)
{
    struct job_answer answer = {.status = status};
    if (status == 503) {
        answer.retry_after_ms = REFUSED_AFTER_MS;
    }
    for (guint i = 0; i < entry->replies->len; i++) {
        struct job_reply *reply =
            &g_array_index(entry->replies, struct job_reply, i);
        reply->call(reply->ctx, &answer);
    }
    g_array_set_size(entry->replies, 0);
}

static void
entry_finish(struct acceptor *acceptor, struct entry *entry, int status)
{
    g_hash_table_remove(acceptor->by_id, entry->id);
    entry_answer(entry, status);
    g_array_unref(entry->replies);
    g_free(entry->id);
    g_free(entry->key);
    g_free(entry->inbox_key);
    g_free(entry->value);
    g_free(entry);
}

static void
entry_stored(struct acceptor *acceptor, struct entry *entry)
{
    if (acceptor->node->leader != NULL) {
        leader_job_stored(acceptor->node->leader, entry->id, entry->value,
                          strlen(entry->value));
    }
    entry_finish(acceptor, entry, 200);
}

static void
send_batches(struct acceptor *acceptor);

static void
requeue(struct acceptor *acceptor, struct entry *entry, bool refused)
{
    int64_t age_ms = node_now(acceptor->node) - entry->since_ms;
    if (age_ms > UNKNOWN_AFTER_MS && !entry->uncertain) {
        entry_finish(acceptor, entry, 503);
        return;
    }
    if (age_ms > GIVE_UP_MS) {
        event_log("job_unresolved", "\"job\":\"%s\"", entry->id);
        entry_finish(acceptor, entry, 504);
        return;
    }
    if (age_ms > UNKNOWN_AFTER_MS) {
        entry_answer(entry, 504);
    }
    if (refused && !entry->uncertain && age_ms > REFUSED_AFTER_MS) {
        entry_finish(acceptor, entry, 503);
        return;
    }
    g_queue_push_tail(&acceptor->waiting, entry);
}

/* Jobs of which nothing was sent yet. */
static void
refuse_unsent(struct acceptor *acceptor)
{
    int64_t now_ms = node_now(acceptor->node);
    GList *link = acceptor->waiting.head;
    while (link != NULL) {
        GList *next = link->next;
        struct entry *entry = link->data;
        if (!entry->uncertain && !entry->exists &&
            now_ms - entry->since_ms > REFUSED_AFTER_MS) {
            g_queue_delete_link(&acceptor->waiting, link);
            entry_finish(acceptor, entry, 503);
        }
        link = next;
    }
}

static bool
found_in(const struct kv_result *result, const char *key)
{
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        if (item->revision > 0 && strcmp(item->key, key) == 0) {
            return true;
        }
    }
    return false;
}

static bool
duty_moved(const struct acceptor *acceptor, const struct kv_result *result)
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
    struct lane *lane = ctx;
    struct acceptor *acceptor = lane->acceptor;
    GPtrArray *batch = lane->batch;
    lane->batch = NULL;
    bool progress = result->outcome == KV_OK;
    for (guint i = 0; i < batch->len; i++) {
        struct entry *entry = g_ptr_array_index(batch, i);
        bool found = found_in(result, entry->key);
        if (result->outcome == KV_OK || found_in(result, entry->inbox_key) ||
            (found && lane->with_duty)) {
            progress = true;
            entry_stored(acceptor, entry);
            continue;
        }
        if (found) {
            progress = true;
            entry->exists = true;
        }
        if (result->outcome == KV_UNKNOWN) {
            entry->uncertain = true;
        }
        requeue(acceptor, entry, result->outcome == KV_REFUSED);
    }
    g_ptr_array_unref(batch);
    if (lane->with_duty && result->outcome == KV_CONFLICT &&
        duty_moved(acceptor, result)) {
        leadership_lose(acceptor->node->leadership,
                        "another holder was found");
    }
    acceptor->failed_commits = progress ? 0 : acceptor->failed_commits + 1;
    if (!progress) {
        refuse_unsent(acceptor);
    }
    if (g_queue_is_empty(&acceptor->waiting)) {
        return;
    }
    if (progress) {
        acceptor->retry_ms = RETRY_MS;
        send_batches(acceptor);
        return;
    }
    event_log("accept_retry",
              "\"status\":%d,\"jobs\":%u,\"after_ms\":%" G_GINT64_FORMAT,
              result->status, g_queue_get_length(&acceptor->waiting),
              acceptor->retry_ms);
    /* Spread out and ever more rarely: many hosts may be turned away. */
    timer_set(acceptor->timer,
              g_random_int_range((int32_t)acceptor->retry_ms / 2,
                                 (int32_t)acceptor->retry_ms + 1));
    acceptor->retry_ms = MIN(acceptor->retry_ms * 2, (int64_t)RETRY_MAX_MS);
}

static void
send_batch(struct lane *lane)
{
    struct acceptor *acceptor = lane->acceptor;
    struct kv_condition conditions[BATCH_JOBS_WITH_DUTY + 1];
    struct kv_put puts[2 * BATCH_JOBS_WITH_DUTY];
    struct kv_txn txn = {.conditions = conditions, .puts = puts};
    lane->batch = g_ptr_array_new();
    lane->with_duty = leadership_held(acceptor->node->leadership);
    lane->sent_ms = node_now(acceptor->node);
    guint most = lane->with_duty ? BATCH_JOBS_WITH_DUTY : BATCH_JOBS;
    if (lane->with_duty) {
        conditions[txn.n_conditions++] = (struct kv_condition){
            .key = RECORD_LEADER_KEY,
            .revision = leadership_token(acceptor->node->leadership),
        };
    }
    while (lane->batch->len < most && !g_queue_is_empty(&acceptor->waiting)) {
        struct entry *entry = g_queue_pop_head(&acceptor->waiting);
        g_ptr_array_add(lane->batch, entry);
        /* A stored job needs nothing but the note for the scheduler. */
        bool note_only = entry->exists && !lane->with_duty;
        conditions[txn.n_conditions++] = (struct kv_condition){
            .key = note_only ? entry->inbox_key : entry->key};
        if (!note_only) {
            puts[txn.n_puts++] =
                (struct kv_put){.key = entry->key, .value = entry->value};
        }
        if (!lane->with_duty) {
            puts[txn.n_puts++] =
                (struct kv_put){.key = entry->inbox_key, .value = INBOX_JOB};
        }
    }
    committer_commit(lane->committer, &txn,
                     (struct kv_done){.call = on_commit, .ctx = lane});
}

/* The lane for the next transaction, or NULL if what waits goes with a later
 * one: another lane is taken only when the others are late. */
static struct lane *
next_lane(struct acceptor *acceptor)
{
    struct lane *idle = NULL;
    int64_t latest_ms = 0;
    for (size_t i = 0; i < LANES; i++) {
        struct lane *lane = &acceptor->lanes[i];
        if (lane->batch == NULL) {
            idle = idle == NULL ? lane : idle;
        }
        else {
            latest_ms = MAX(latest_ms, lane->sent_ms);
        }
    }
    return node_now(acceptor->node) - latest_ms >= NEXT_LANE_AFTER_MS ? idle
                                                                      : NULL;
}

static void
send_batches(struct acceptor *acceptor)
{
    if (g_queue_is_empty(&acceptor->waiting)) {
        return;
    }
    struct lane *lane = next_lane(acceptor);
    if (lane != NULL) {
        send_batch(lane);
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
    for (size_t i = 0; i < LANES; i++) {
        acceptor->lanes[i] = (struct lane){
            .acceptor = acceptor,
            .committer = committer_create(
                node->base, node->settings->store_address, CALL_TIMEOUT_MS,
                store_route_any(node->store_route)),
        };
    }
    acceptor->timer = evtimer_new(node->base, on_timer, acceptor);
    acceptor->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&acceptor->waiting);
    acceptor->retry_ms = RETRY_MS;
    return acceptor;
}

void
acceptor_destroy(struct acceptor *acceptor)
{
    if (acceptor == NULL) {
        return;
    }
    event_free(acceptor->timer);
    for (size_t i = 0; i < LANES; i++) {
        committer_destroy(acceptor->lanes[i].committer);
    }
    g_hash_table_unref(acceptor->by_id);
    g_free(acceptor);
}

static void
answer_open(struct entry *entry)
{
    entry_answer(entry, entry->uncertain || entry->exists ? 504 : 503);
}

static void
answer_lane(struct lane *lane)
{
    for (guint i = 0; lane->batch != NULL && i < lane->batch->len; i++) {
        struct entry *entry = g_ptr_array_index(lane->batch, i);
        /* Its write is on its way. */
        entry->uncertain = true;
        answer_open(entry);
    }
}

void
acceptor_answer_pending(struct acceptor *acceptor)
{
    for (size_t i = 0; i < LANES; i++) {
        answer_lane(&acceptor->lanes[i]);
    }
    for (GList *link = acceptor->waiting.head; link != NULL;
         link = link->next) {
        answer_open(link->data);
    }
}

/* Whether the store answers nobody and a write that will show its return is
 * under way. */
static bool
stalled(const struct acceptor *acceptor)
{
    bool asking = evtimer_pending(acceptor->timer, NULL);
    for (size_t i = 0; i < LANES; i++) {
        asking = asking || acceptor->lanes[i].batch != NULL;
    }
    return asking && acceptor->failed_commits >= STALLED_COMMITS;
}

void
acceptor_submit(struct acceptor *acceptor, const struct job_call *call,
                struct job_reply reply)
{
    struct entry *entry = g_hash_table_lookup(acceptor->by_id, call->id);
    if (entry != NULL) {
        entry->uncertain = entry->uncertain || call->uncertain;
        g_array_append_val(entry->replies, reply);
        return;
    }
    if (stalled(acceptor)) {
        struct job_answer answer = {
            .status = call->uncertain ? 504 : 503,
            .retry_after_ms = STALLED_RETRY_AFTER_MS,
        };
        reply.call(reply.ctx, &answer);
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
    entry = g_new0(struct entry, 1);
    entry->id = g_strdup(call->id);
    entry->key = g_strconcat(RECORD_JOB_PREFIX, call->id, NULL);
    entry->inbox_key = g_strconcat(RECORD_INBOX_PREFIX, call->id, NULL);
    entry->value = record_job_encode(&envelope);
    entry->since_ms = node_now(acceptor->node);
    entry->uncertain = call->uncertain;
    entry->replies = g_array_new(FALSE, FALSE, sizeof(struct job_reply));
    g_array_append_val(entry->replies, reply);
    g_hash_table_insert(acceptor->by_id, entry->id, entry);
    g_queue_push_tail(&acceptor->waiting, entry);
    send_batches(acceptor);
}
