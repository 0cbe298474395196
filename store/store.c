#include "store/store.h"

#include <string.h>

#include "store_internal.h"

enum {
    CONNECTIONS_MAX = 256,
    IDLE_TIMEOUT_S = 60,
};

struct store *
store_create(const struct store_options *options)
{
    struct store *store = g_new0(struct store, 1);
    store->url = g_strdup(options->url);
    if (g_str_has_suffix(store->url, "/")) {
        store->url[strlen(store->url) - 1] = '\0';
    }
    store->timeout_ms = options->timeout_ms;
    store->watch_wait_ms = options->watch_wait_ms;
    store->clock = options->clock;
    store->last_answer_ms = INT64_MIN;
    store->session = soup_session_new_with_options(
        "max-conns", CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_MAX,
        "idle-timeout", IDLE_TIMEOUT_S, "timeout", 0, "proxy-resolver", NULL,
        NULL);
    return store;
}

void
store_destroy(struct store *store)
{
    if (store == NULL) {
        return;
    }
    while (store->watches != NULL) {
        store_watch_destroy(store->watches->data);
    }
    while (store->exchanges != NULL) {
        exchange_abandon(store->exchanges->data);
    }
    g_object_unref(store->session);
    g_free(store->url);
    g_free(store);
}

char *
store_key_path(const char *key, const char *query)
{
    char *escaped = g_uri_escape_string(key, "/", FALSE);
    char *path = g_strdup_printf("/v1/kv/%s?%s", escaped, query);
    g_free(escaped);
    return path;
}

bool
store_is_prefix(const char *key)
{
    return g_str_has_suffix(key, "/");
}

struct store_read {
    char *key;
    struct store_callback callback;
};

static void
on_read(void *ctx, const struct exchange_reply *reply)
{
    struct store_read *read = ctx;
    if (reply != NULL) {
        GArray *entries = store_entries_create();
        struct store_result result = {.status = {.code = STATUS_OK}};
        store_reply_read(reply, read->key, entries, &result);
        read->callback.done(read->callback.ctx, &result);
        g_array_unref(entries);
    }
    else if (read->callback.abandoned != NULL) {
        read->callback.abandoned(read->callback.ctx);
    }
    g_free(read->key);
    g_free(read);
}

void
store_get(struct store *store, const char *key, struct store_callback callback)
{
    struct store_read *read = g_new0(struct store_read, 1);
    read->key = g_strdup(key);
    read->callback = callback;
    char *path = store_key_path(
        key, store_is_prefix(key) ? "recurse&consistent" : "consistent");
    exchange_start(store,
                   &(struct exchange_request){
                       .method = SOUP_METHOD_GET,
                       .path = path,
                       .deadline_ms = store->timeout_ms,
                   },
                   (struct exchange_handler){.done = on_read, .ctx = read});
    g_free(path);
}

int64_t
store_last_answer_ms(const struct store *store)
{
    return store->last_answer_ms;
}

struct store_stats
store_stats_get(const struct store *store)
{
    return store->stats;
}
