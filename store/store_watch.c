#include <inttypes.h>

#include "store_internal.h"

enum {
    /* Limits the request rate of a watch on a key that changes constantly. */
    REQUEST_INTERVAL_MIN_MS = 50,
    BACKOFF_MIN_MS = 100,
    /* The store adds up to a sixteenth to the requested wait. */
    WAIT_SLACK_DIVISOR = 16,
};

/**
 * struct store_watch - a watch, made of alternating waits and reads
 *
 * A wait is a long poll that returns the keys only, so that its cost does not
 * depend on the size of the values; a read follows when the index has changed.
 *
 * @index: index after which the next wait returns; 0 if not known yet
 * @reported_index: index of the last read that was passed to @callback
 * @reading: the next request is a read
 * @failing: the last request failed and @callback has been notified
 */
struct store_watch {
    struct store *store;
    struct store_callback callback;
    char *key;
    struct exchange *exchange;
    uint64_t index;
    uint64_t reported_index;
    int64_t request_ms;
    int64_t backoff_ms;
    bool reading;
    bool failing;
};

static void
watch_send(struct store_watch *watch, int64_t delay_ms);

static int64_t
pause_after_reply(const struct store_watch *watch)
{
    int64_t elapsed_ms =
        ms_clock_now(&watch->store->clock) - watch->request_ms;
    return MAX(0, REQUEST_INTERVAL_MIN_MS - elapsed_ms);
}

static void
watch_fail(struct store_watch *watch, const struct store_result *result)
{
    bool reported = watch->failing;
    watch->failing = true;
    watch->index = 0;
    watch->reading = true;
    int64_t delay_ms = watch->backoff_ms;
    watch->backoff_ms = MIN(delay_ms * 2, watch->store->timeout_ms);
    watch_send(watch, delay_ms);
    if (!reported) {
        watch->callback.done(watch->callback.ctx, result);
    }
}

static bool
is_response(const struct exchange_reply *reply)
{
    return reply->outcome == EXCHANGE_RESPONDED &&
           (reply->http_status == SOUP_STATUS_OK ||
            reply->http_status == SOUP_STATUS_NOT_FOUND);
}

/* On a single key, the index of a wait also covers keys that begin with the
 * same text, but the index of a read does not. Each wait therefore continues
 * from the index of the wait before it. */
static void
on_wait_reply(struct store_watch *watch, uint64_t index)
{
    watch->backoff_ms = BACKOFF_MIN_MS;
    watch->reading = index == 0 || index != watch->index;
    watch->index = index;
    watch_send(watch, watch->reading ? 0 : pause_after_reply(watch));
}

static void
on_read_reply(struct store_watch *watch, const struct exchange_reply *reply)
{
    GArray *entries = store_entries_create();
    struct store_result result = {.status = {.code = STATUS_OK}};
    store_reply_read(reply, watch->key, entries, &result);
    if (result.status.code == STATUS_UNAVAILABLE) {
        watch_fail(watch, &result);
        g_array_unref(entries);
        return;
    }
    bool changed = watch->failing || watch->reported_index != reply->index;
    watch->failing = false;
    watch->backoff_ms = BACKOFF_MIN_MS;
    watch->reported_index = reply->index;
    if (watch->index == 0) {
        watch->index = reply->index;
    }
    watch->reading = watch->index == 0;
    watch_send(watch, pause_after_reply(watch));
    if (changed) {
        watch->callback.done(watch->callback.ctx, &result);
    }
    g_array_unref(entries);
}

static void
on_reply(void *ctx, const struct exchange_reply *reply)
{
    struct store_watch *watch = ctx;
    if (reply == NULL) {
        return;
    }
    watch->exchange = NULL;
    if (!watch->reading && is_response(reply)) {
        on_wait_reply(watch, reply->index);
        return;
    }
    on_read_reply(watch, reply);
}

static char *
watch_path(const struct store_watch *watch)
{
    const char *recurse = store_is_prefix(watch->key) ? "recurse&" : "";
    char query[96];
    if (watch->reading) {
        g_snprintf(query, sizeof(query), "%sconsistent", recurse);
    }
    else {
        g_snprintf(query, sizeof(query),
                   "keys&index=%" PRIu64 "&wait=%" PRId64 "ms", watch->index,
                   watch->store->watch_wait_ms);
    }
    return store_key_path(watch->key, query);
}

static void
watch_send(struct store_watch *watch, int64_t delay_ms)
{
    struct store *store = watch->store;
    int64_t wait_ms = watch->reading ? 0 : store->watch_wait_ms;
    char *path = watch_path(watch);
    watch->request_ms = ms_clock_now(&store->clock) + delay_ms;
    watch->exchange = exchange_start(
        store,
        &(struct exchange_request){
            .method = SOUP_METHOD_GET,
            .path = path,
            .delay_ms = delay_ms,
            .deadline_ms =
                wait_ms + wait_ms / WAIT_SLACK_DIVISOR + store->timeout_ms,
            .reuse = !watch->failing,
        },
        (struct exchange_handler){.done = on_reply, .ctx = watch});
    g_free(path);
}

struct store_watch *
store_watch_create(struct store *store, const char *key,
                   struct store_callback callback)
{
    struct store_watch *watch = g_new0(struct store_watch, 1);
    watch->store = store;
    watch->callback = callback;
    watch->key = g_strdup(key);
    watch->backoff_ms = BACKOFF_MIN_MS;
    watch->reading = true;
    store->watches = g_list_prepend(store->watches, watch);
    watch_send(watch, 0);
    return watch;
}

void
store_watch_destroy(struct store_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    watch->store->watches = g_list_remove(watch->store->watches, watch);
    if (watch->exchange != NULL) {
        exchange_abandon(watch->exchange);
    }
    g_free(watch->key);
    g_free(watch);
}
