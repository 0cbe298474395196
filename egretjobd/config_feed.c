#include "egretjobd/config_feed.h"

#include <string.h>

#include "common/event_log.h"
#include "common/text.h"
#include "egretjobd/frontend.h"
#include "egretjobd/leader.h"
#include "egretjobd/operator_records.h"
#include "egretjobd/peers.h"
#include "egretjobd/records.h"
#include "egretjobd/store_route.h"
#include "platform/decode.h"

enum {
    /* How long a watch waits for a change. Each answer confirms that the
     * records are current. */
    WATCH_WAIT_MS = 350,
    NEXT_CALL_MS = 20,
    RETRY_MS = 100,
    READ_TIMEOUT_MS = 900,
    /* After this time without an answer of the store, the records are read
     * from peers. */
    PEER_FALLBACK_AFTER_MS = 700,
    PEER_FALLBACK_INTERVAL_MS = 200,
    PEER_LIST_INTERVAL_MS = 5000,
};

/**
 * struct config_feed - the operator's records, as last read
 * @items: struct kv_item, all records as of revision @as_of
 * @next_items: struct kv_item, records that are about to be activated
 * @waves: struct host_wave
 * @wave_seen_ms: key of a maintenance wave to the time it was first read
 * @out_of_service: names of data centres, NULL-terminated
 * @strongest_cores: processor capacity of the strongest of them, 0: unknown
 * @peers: peer addresses of the other processes, NULL-terminated, or NULL
 * @watch_after: revision after which to watch; 0: read everything first
 * @unreadable_revision: newest record that was reported as unreadable
 * @confirmed_ms: when the last call was sent whose answer showed that the
 *                records are current
 */
struct config_feed {
    struct node *node;
    struct kv *kv;
    struct event *timer;
    struct event *peer_timer;
    struct fleet_config *config;
    GPtrArray *items;
    GPtrArray *next_items;
    GPtrArray *waves;
    GHashTable *wave_seen_ms;
    char **out_of_service;
    char **peers;
    double strongest_cores;
    int64_t as_of;
    int64_t watch_after;
    int64_t unreadable_revision;
    int64_t confirmed_ms;
    int64_t sent_ms;
    int64_t peer_requested_ms;
    int64_t peers_read_ms;
    bool peer_request_open;
    size_t next_peer;
};

static void
wave_destroy(void *data)
{
    struct host_wave *wave = data;
    g_strfreev(wave->hosts);
    g_free(wave);
}

static void
activate_config(struct config_feed *feed, const struct kv_item *item)
{
    int64_t active_revision =
        feed->config == NULL ? 0 : feed->config->revision;
    if (item->revision <= active_revision) {
        return;
    }
    char *error = NULL;
    struct fleet_config *config =
        decode_config(item->value, item->value_bytes, item->revision, &error);
    if (config == NULL) {
        event_log("config_unreadable",
                  "\"revision\":%" G_GINT64_FORMAT ",\"why\":%s",
                  item->revision, text_quote(error));
        g_free(error);
        return;
    }
    for (guint i = 0; i < config->unusable->len; i++) {
        event_log("config_entry_unusable",
                  "\"revision\":%" G_GINT64_FORMAT ",\"why\":%s",
                  item->revision,
                  text_quote(g_ptr_array_index(config->unusable, i)));
    }
    event_log("config_in_force",
              "\"version\":%" G_GINT64_FORMAT ",\"revision\":%" G_GINT64_FORMAT
              ",\"queues\":%u,\"teams\":%u",
              config->version, config->revision, config->queues->len,
              config->teams->len);
    struct fleet_config *before = feed->config;
    feed->config = config;
    frontend_config_changed(feed->node->frontend, config);
    leader_config_changed(feed->node->leader);
    fleet_config_destroy(before);
}

/* The record of a wave has no time stamp; its time counts from the first
 * read. */
static int64_t
first_seen_ms(struct config_feed *feed, const char *key)
{
    int64_t *seen_ms = g_hash_table_lookup(feed->wave_seen_ms, key);
    if (seen_ms == NULL) {
        seen_ms = g_new(int64_t, 1);
        *seen_ms = node_now(feed->node);
        g_hash_table_insert(feed->wave_seen_ms, g_strdup(key), seen_ms);
    }
    return *seen_ms;
}

static void
read_wave(struct config_feed *feed, const struct kv_item *item)
{
    struct host_wave wave;
    char *error = NULL;
    if (decode_wave(item->value, item->value_bytes, &wave, &error)) {
        struct host_wave *copy = g_memdup2(&wave, sizeof(wave));
        copy->seen_ms = first_seen_ms(feed, item->key);
        g_ptr_array_add(feed->waves, copy);
        return;
    }
    /* The records are applied again with each change of one of them. */
    if (item->revision > feed->unreadable_revision) {
        feed->unreadable_revision = item->revision;
        event_log("wave_unreadable", "\"key\":%s,\"why\":%s",
                  text_quote(item->key), text_quote(error));
    }
    g_free(error);
}

static void
apply_fleet_commands(struct config_feed *feed)
{
    GPtrArray *out_of_service = g_ptr_array_new();
    g_ptr_array_set_size(feed->waves, 0);
    for (guint i = 0; i < feed->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(feed->items, i);
        if (g_str_has_prefix(item->key, PLATFORM_OUT_OF_SERVICE_PREFIX)) {
            g_ptr_array_add(
                out_of_service,
                g_strdup(item->key + strlen(PLATFORM_OUT_OF_SERVICE_PREFIX)));
        }
        else if (g_str_has_prefix(item->key, PLATFORM_WAVE_PREFIX)) {
            read_wave(feed, item);
        }
    }
    g_ptr_array_add(out_of_service, NULL);
    g_strfreev(feed->out_of_service);
    feed->out_of_service = (char **)g_ptr_array_free(out_of_service, FALSE);
}

/* Activates the records that were read as of a revision, unless newer ones are
 * active. */
static void
apply_items(struct config_feed *feed, int64_t as_of, int64_t confirmed_ms)
{
    if (as_of < feed->as_of) {
        g_ptr_array_set_size(feed->next_items, 0);
        return;
    }
    feed->as_of = as_of;
    feed->confirmed_ms = MAX(feed->confirmed_ms, confirmed_ms);
    GPtrArray *before = feed->items;
    feed->items = feed->next_items;
    feed->next_items = before;
    g_ptr_array_set_size(feed->next_items, 0);
    apply_fleet_commands(feed);
    for (guint i = 0; i < feed->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(feed->items, i);
        if (strcmp(item->key, PLATFORM_CONFIG_KEY) == 0) {
            activate_config(feed, item);
        }
    }
    leader_operator_records_changed(feed->node->leader);
}

static void
on_peer_records(void *ctx, const struct http_reply *reply)
{
    struct config_feed *feed = ctx;
    feed->peer_request_open = false;
    if (reply->status != 200) {
        return;
    }
    int64_t age_ms = 0;
    int64_t as_of = 0;
    char *error = NULL;
    g_ptr_array_set_size(feed->next_items, 0);
    if (!operator_records_decode(reply->body, reply->body_bytes,
                                 feed->next_items, &age_ms, &as_of, &error)) {
        event_log("peer_records_unreadable", "\"why\":%s", text_quote(error));
        g_free(error);
        return;
    }
    bool current = as_of >= feed->as_of;
    apply_items(feed, as_of, feed->peer_requested_ms - age_ms);
    if (current) {
        feed->watch_after = 0;
    }
}

static void
request_peer_records(struct config_feed *feed)
{
    size_t n_peers = feed->peers == NULL ? 0 : g_strv_length(feed->peers);
    if (n_peers == 0 || feed->peer_request_open) {
        return;
    }
    const char *peer = feed->peers[feed->next_peer++ % n_peers];
    feed->peer_request_open = true;
    feed->peer_requested_ms = node_now(feed->node);
    peers_fetch_operator_records(feed->node->peers, peer, on_peer_records,
                                 feed);
}

static void
on_range(void *ctx, const struct kv_result *result)
{
    struct config_feed *feed = ctx;
    if (result->outcome != KV_OK) {
        timer_set(feed->timer, RETRY_MS);
        return;
    }
    for (guint i = 0; i < result->items->len; i++) {
        g_ptr_array_add(feed->next_items,
                        kv_item_copy(g_ptr_array_index(result->items, i)));
    }
    feed->watch_after = result->as_of;
    apply_items(feed, result->as_of, feed->sent_ms);
    timer_set(feed->timer, NEXT_CALL_MS);
}

/* Builds the next records from the active ones and the changes of a watch. */
static void
merge_changes(struct config_feed *feed, const GPtrArray *events)
{
    GHashTable *latest = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < feed->items->len; i++) {
        struct kv_item *item = g_ptr_array_index(feed->items, i);
        g_hash_table_insert(latest, item->key, item);
    }
    for (guint i = 0; i < events->len; i++) {
        struct kv_item *item = g_ptr_array_index(events, i);
        g_hash_table_replace(latest, item->key, item);
    }
    g_ptr_array_set_size(feed->next_items, 0);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, latest);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct kv_item *item = value;
        if (!item->deleted) {
            g_ptr_array_add(feed->next_items, kv_item_copy(item));
        }
    }
    g_hash_table_unref(latest);
}

static void
on_watch(void *ctx, const struct kv_result *result)
{
    struct config_feed *feed = ctx;
    if (result->outcome == KV_COMPACTED) {
        feed->watch_after = 0;
        timer_set(feed->timer, 0);
        return;
    }
    if (result->outcome != KV_OK) {
        timer_set(feed->timer, RETRY_MS);
        return;
    }
    if (result->items->len == 0) {
        /* The revision to watch after stays the same, so that a later watch
         * returns a change that this one missed, or reports that the history
         * was compacted. */
        feed->confirmed_ms = MAX(feed->confirmed_ms, feed->sent_ms);
    }
    else {
        merge_changes(feed, result->items);
        feed->watch_after = result->as_of;
        apply_items(feed, result->as_of, feed->sent_ms);
    }
    timer_set(feed->timer, NEXT_CALL_MS);
}

static void
on_peers(void *ctx, const struct kv_result *result)
{
    struct config_feed *feed = ctx;
    if (result->outcome != KV_OK) {
        return;
    }
    GPtrArray *peers = g_ptr_array_new();
    double strongest_cores = 0;
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        char *address = NULL;
        double cores = 0;
        if (!record_peer_decode(item->value, &address, &cores)) {
            continue;
        }
        if (strcmp(address, feed->node->settings->peer_address) == 0) {
            g_free(address);
            continue;
        }
        strongest_cores = MAX(strongest_cores, cores);
        g_ptr_array_add(peers, address);
    }
    g_ptr_array_add(peers, NULL);
    g_strfreev(feed->peers);
    feed->peers = (char **)g_ptr_array_free(peers, FALSE);
    feed->strongest_cores = strongest_cores;
}

static void
read_peer_list(struct config_feed *feed, int64_t now_ms)
{
    if (feed->peers_read_ms != 0 &&
        now_ms - feed->peers_read_ms < PEER_LIST_INTERVAL_MS) {
        return;
    }
    feed->peers_read_ms = now_ms;
    kv_range(feed->kv, RECORD_PEER_PREFIX, NULL,
             (struct kv_done){.call = on_peers, .ctx = feed});
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct config_feed *feed = ctx;
    int64_t now_ms = node_now(feed->node);
    read_peer_list(feed, now_ms);
    feed->sent_ms = now_ms;
    if (feed->watch_after == 0) {
        kv_range_all(feed->kv, PLATFORM_OPERATOR_PREFIX,
                     (struct kv_done){.call = on_range, .ctx = feed});
        return;
    }
    kv_watch(feed->kv, PLATFORM_OPERATOR_PREFIX, feed->watch_after,
             WATCH_WAIT_MS, (struct kv_done){.call = on_watch, .ctx = feed});
}

/* Runs on its own timer, since each call to the store may take up to its
 * timeout. */
static void
on_peer_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct config_feed *feed = ctx;
    if (feed->confirmed_ms != 0 &&
        node_now(feed->node) - feed->confirmed_ms > PEER_FALLBACK_AFTER_MS) {
        request_peer_records(feed);
    }
    timer_set(feed->peer_timer, PEER_FALLBACK_INTERVAL_MS);
}

struct config_feed *
config_feed_create(struct node *node)
{
    struct config_feed *feed = g_new0(struct config_feed, 1);
    feed->node = node;
    feed->kv =
        kv_create(node->base, node->settings->store_address, READ_TIMEOUT_MS,
                  store_route_direct(node->store_route));
    feed->items = g_ptr_array_new_with_free_func(kv_item_destroy);
    feed->next_items = g_ptr_array_new_with_free_func(kv_item_destroy);
    feed->waves = g_ptr_array_new_with_free_func(wave_destroy);
    feed->wave_seen_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    feed->out_of_service = g_new0(char *, 1);
    feed->timer = evtimer_new(node->base, on_timer, feed);
    feed->peer_timer = evtimer_new(node->base, on_peer_timer, feed);
    timer_set(feed->timer, 0);
    timer_set(feed->peer_timer, PEER_FALLBACK_INTERVAL_MS);
    return feed;
}

void
config_feed_destroy(struct config_feed *feed)
{
    if (feed == NULL) {
        return;
    }
    event_free(feed->timer);
    event_free(feed->peer_timer);
    kv_destroy(feed->kv);
    fleet_config_destroy(feed->config);
    g_ptr_array_unref(feed->items);
    g_ptr_array_unref(feed->next_items);
    g_ptr_array_unref(feed->waves);
    g_hash_table_unref(feed->wave_seen_ms);
    g_strfreev(feed->out_of_service);
    g_strfreev(feed->peers);
    g_free(feed);
}

const struct fleet_config *
config_feed_current(const struct config_feed *feed)
{
    return feed->config;
}

bool
config_feed_fresh(const struct config_feed *feed)
{
    /* A tenth of the limit remains for the request that relies on it. */
    int64_t stale_ms = feed->node->settings->config_age_max_ms * 9 / 10;
    return feed->config != NULL &&
           node_now(feed->node) - feed->confirmed_ms < stale_ms;
}

char **
config_feed_out_of_service(const struct config_feed *feed)
{
    return feed->out_of_service;
}

const GPtrArray *
config_feed_waves(const struct config_feed *feed)
{
    return feed->waves;
}

char **
config_feed_peers(const struct config_feed *feed)
{
    return feed->peers;
}

double
config_feed_strongest_cores(const struct config_feed *feed)
{
    return feed->strongest_cores;
}

char *
config_feed_encode(const struct config_feed *feed)
{
    if (!config_feed_fresh(feed)) {
        return NULL;
    }
    return operator_records_encode(
        feed->items, node_now(feed->node) - feed->confirmed_ms, feed->as_of);
}
