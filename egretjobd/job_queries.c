#include "egretjobd/job_queries.h"

#include "common/event_log.h"
#include "egretjobd/records.h"
#include "egretjobd/store_route.h"
#include "platform/decode.h"
#include "platform/kv.h"

enum {
    CALL_TIMEOUT_MS = 1000,
    /* A job may be stored, or its record deleted, while it is cancelled. */
    CANCEL_ATTEMPTS_MAX = 4,
};

struct job_queries {
    struct node *node;
    struct kv *kv;
};

/**
 * struct job_query - a caller's request that waits for the store
 * @state: state of the job as far as it has been read
 * @started: a progress record exists, so a task has started
 * @queue: queue of a cancel, with its @pool and the caller's @team
 * @attempts: of a cancel
 */
struct job_query {
    struct job_queries *queries;
    char *id;
    char *queue;
    char *pool;
    char *team;
    uint32_t attempts;
    enum job_state state;
    bool started;
    struct job_reply reply;
};

struct job_queries *
job_queries_create(struct node *node)
{
    struct job_queries *queries = g_new0(struct job_queries, 1);
    queries->node = node;
    queries->kv =
        kv_create(node->base, node->settings->store_address, CALL_TIMEOUT_MS,
                  store_route_any(node->store_route));
    return queries;
}

void
job_queries_destroy(struct job_queries *queries)
{
    if (queries == NULL) {
        return;
    }
    kv_destroy(queries->kv);
    g_free(queries);
}

static void
query_finish(struct job_query *query, int status, const char *body)
{
    struct job_answer answer = {.status = status, .body = body};
    query->reply.call(query->reply.ctx, &answer);
    g_free(query->id);
    g_free(query->queue);
    g_free(query->pool);
    g_free(query->team);
    g_free(query);
}

/* Earlier versions stored a job as completed when its service tasks had
 * ended; it runs on. */
static enum job_state
stored_state(const struct job_query *query, const struct kv_item *item)
{
    if (query->state != JOB_COMPLETED || item->value == NULL) {
        return query->state;
    }
    struct job *job =
        record_job_decode(query->id, item->value, item->value_bytes);
    bool service = job != NULL && job_is_service(job);
    job_unref(job);
    return service ? JOB_ACTIVE : JOB_COMPLETED;
}

static void
on_job(void *ctx, const struct kv_result *result)
{
    struct job_query *query = ctx;
    if (result->outcome == KV_NOT_FOUND) {
        query_finish(query, 410, NULL);
        return;
    }
    if (result->outcome != KV_OK || result->items->len == 0) {
        query_finish(query, 503, NULL);
        return;
    }
    const struct kv_item *item = g_ptr_array_index(result->items, 0);
    if (item->value != NULL &&
        record_is_tombstone(item->value, item->value_bytes)) {
        query_finish(query, 410, NULL);
        return;
    }
    query_finish(query, 200,
                 encode_job_state(stored_state(query, item), query->started));
}

static void
on_progress(void *ctx, const struct kv_result *result)
{
    struct job_query *query = ctx;
    if (result->outcome != KV_OK && result->outcome != KV_NOT_FOUND) {
        query_finish(query, 503, NULL);
        return;
    }
    if (result->outcome == KV_OK && result->items->len > 0) {
        const struct kv_item *item = g_ptr_array_index(result->items, 0);
        query->started = true;
        record_progress_state(item->value, item->value_bytes, &query->state);
    }
    char *key = g_strconcat(RECORD_JOB_PREFIX, query->id, NULL);
    kv_get(query->queries->kv, key,
           (struct kv_done){.call = on_job, .ctx = query});
    g_free(key);
}

void
job_queries_state(struct job_queries *queries, const char *id,
                  struct job_reply reply)
{
    struct job_query *query = g_new0(struct job_query, 1);
    query->queries = queries;
    query->id = g_strdup(id);
    query->reply = reply;
    char *key = g_strconcat(RECORD_PROGRESS_PREFIX, id, NULL);
    kv_get(queries->kv, key,
           (struct kv_done){.call = on_progress, .ctx = query});
    g_free(key);
}

static void
read_cancelled_job(struct job_query *query);

/* @status: of a cancel that is stored. */
static void
cancel_answered(struct job_query *query, const struct kv_result *result,
                int status)
{
    if (result->outcome == KV_OK) {
        event_log("cancel_left", "\"job\":\"%s\"", query->id);
        query_finish(query, status, NULL);
    }
    else if (result->outcome == KV_CONFLICT &&
             query->attempts < CANCEL_ATTEMPTS_MAX) {
        read_cancelled_job(query);
    }
    else {
        query_finish(query, result->outcome == KV_UNKNOWN ? 504 : 503, NULL);
    }
}

static void
on_cancel_stored(void *ctx, const struct kv_result *result)
{
    cancel_answered(ctx, result, 200);
}

static void
on_tombstone_stored(void *ctx, const struct kv_result *result)
{
    cancel_answered(ctx, result, 410);
}

/* The job may still be on its way to the store from any process. */
static void
store_tombstone(struct job_query *query)
{
    struct node *node = query->queries->node;
    char *key = g_strconcat(RECORD_JOB_PREFIX, query->id, NULL);
    char *inbox_key = g_strconcat(RECORD_INBOX_PREFIX, query->id, NULL);
    char *value =
        record_tombstone_encode(query->queue, query->pool, query->team,
                                ms_clock_now(&node->unix_clock));
    struct kv_condition condition = {.key = key};
    /* The message lets the leader delete it in time. */
    struct kv_put puts[] = {{.key = key, .value = value},
                            {.key = inbox_key, .value = INBOX_CANCEL}};
    struct kv_txn txn = {
        .conditions = &condition,
        .n_conditions = 1,
        .puts = puts,
        .n_puts = G_N_ELEMENTS(puts),
    };
    kv_commit(query->queries->kv, &txn,
              (struct kv_done){.call = on_tombstone_stored, .ctx = query});
    g_free(value);
    g_free(inbox_key);
    g_free(key);
}

static void
on_cancel_job(void *ctx, const struct kv_result *result)
{
    struct job_query *query = ctx;
    if (result->outcome == KV_NOT_FOUND) {
        store_tombstone(query);
        return;
    }
    if (result->outcome != KV_OK || result->items->len == 0) {
        query_finish(query, 503, NULL);
        return;
    }
    const struct kv_item *item = g_ptr_array_index(result->items, 0);
    if (item->value != NULL &&
        record_is_tombstone(item->value, item->value_bytes)) {
        query_finish(query, 410, NULL);
        return;
    }
    char *inbox_key = g_strconcat(RECORD_INBOX_PREFIX, query->id, NULL);
    struct kv_condition condition = {.key = item->key,
                                     .revision = item->revision};
    struct kv_put put = {.key = inbox_key, .value = INBOX_CANCEL};
    struct kv_txn txn = {
        .conditions = &condition,
        .n_conditions = 1,
        .puts = &put,
        .n_puts = 1,
    };
    kv_commit(query->queries->kv, &txn,
              (struct kv_done){.call = on_cancel_stored, .ctx = query});
    g_free(inbox_key);
}

static void
read_cancelled_job(struct job_query *query)
{
    query->attempts++;
    char *key = g_strconcat(RECORD_JOB_PREFIX, query->id, NULL);
    kv_get(query->queries->kv, key,
           (struct kv_done){.call = on_cancel_job, .ctx = query});
    g_free(key);
}

void
job_queries_cancel(struct job_queries *queries, const struct job_call *call,
                   struct job_reply reply)
{
    struct job_query *query = g_new0(struct job_query, 1);
    query->queries = queries;
    query->id = g_strdup(call->id);
    query->queue = g_strdup(call->queue);
    query->pool = g_strdup(call->pool);
    query->team = g_strdup(call->team);
    query->reply = reply;
    read_cancelled_job(query);
}
