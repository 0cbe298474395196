#include "egretd/config_feed.h"

#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "store/config_store.h"
#include "store/store_keys.h"

enum {
    /* Earlier heads that are kept, to send peers only the parts they lack. */
    EARLIER_HEADS_MAX = 16,
};

/* A read of the head that may outlive the feed. */
struct head_read {
    struct config_feed *feed;
};

/**
 * struct config_feed - the active generation and what may replace it
 * @head, @head_text, @texts: the active generation as stored
 * @earlier: heads of previously active generations, oldest first
 * @parts_by_key: texts of the active generation by part key
 * @fetch: read of a newer generation, or NULL
 * @read_again: another head arrived while @fetch was pending
 * @read_sent_ms: when the last read of the head was sent
 * @confirmed_ms: when the last read was sent that found nothing newer
 * @rejected_id: id of the last generation that was logged as rejected
 */
struct config_feed {
    struct config_feed_options options;
    struct config *current;
    struct config_head *head;
    char *head_text;
    GTree *texts;
    GQueue earlier;
    GTree *parts_by_key;
    struct store_watch *watch;
    struct head_read *read;
    struct config_fetch *fetch;
    bool read_again;
    int64_t read_sent_ms;
    int64_t confirmed_ms;
    char *rejected_id;
    guint timer;
};

static void
read_head(struct config_feed *feed);

static void
count(struct config_feed *feed, const char *name, const char *labels)
{
    counters_add(feed->options.counters, name, labels, 1);
}

static void
reject(struct config_feed *feed, const char *id, const char *labels,
       const char *reason)
{
    count(feed, "egret_config_rejected_total", labels);
    if (g_strcmp0(feed->rejected_id, id) == 0) {
        return;
    }
    g_free(feed->rejected_id);
    feed->rejected_id = g_strdup(id);
    log_line(LOG_LEVEL_ERROR, "config-rejected",
             "id=%s in_force=%" PRIu64 " reason=%s", log_quote(id),
             config_feed_generation(feed), log_quote(reason));
}

static GTree *
index_parts(const struct config_head *head, GTree *texts)
{
    GTree *parts_by_key = config_text_map_create();
    for (GTreeNode *node = g_tree_node_first(head->parts); node != NULL;
         node = g_tree_node_next(node)) {
        const char *text = g_tree_lookup(texts, g_tree_node_key(node));
        g_tree_insert(parts_by_key, g_strdup(g_tree_node_value(node)),
                      g_strdup(text));
    }
    return parts_by_key;
}

static void
remember_head(struct config_feed *feed)
{
    if (feed->head == NULL) {
        return;
    }
    g_queue_push_tail(&feed->earlier, g_steal_pointer(&feed->head));
    if (g_queue_get_length(&feed->earlier) > EARLIER_HEADS_MAX) {
        config_head_destroy(g_queue_pop_head(&feed->earlier));
    }
}

/* Takes ownership of the snapshot's members. */
static void
activate(struct config_feed *feed, struct config_snapshot *snapshot,
         const char *source)
{
    struct config *previous = feed->current;
    remember_head(feed);
    g_free(feed->head_text);
    g_clear_pointer(&feed->texts, g_tree_unref);
    g_clear_pointer(&feed->parts_by_key, g_tree_unref);
    feed->current = g_steal_pointer(&snapshot->config);
    feed->head = g_steal_pointer(&snapshot->head);
    feed->head_text = g_steal_pointer(&snapshot->head_text);
    feed->texts = g_steal_pointer(&snapshot->texts);
    feed->parts_by_key = index_parts(feed->head, feed->texts);
    counters_set(feed->options.counters, "egret_config_generation", NULL,
                 (int64_t)feed->head->generation);
    count(feed, "egret_config_changes_total", source);
    log_line(LOG_LEVEL_INFO, "config-in-force",
             "generation=%" PRIu64 " id=%s %s teams=%zu",
             feed->head->generation, log_quote(feed->head->id), source,
             feed->current->n_teams);
    feed->options.listener.changed(feed->options.listener.ctx, feed->current);
    config_destroy(previous);
}

/*
 * Whether @head may replace the active generation. The number alone decides;
 * the id only reveals two contents with the same number, as happens after a
 * store was reset.
 */
static bool
is_newer(struct config_feed *feed, const struct config_head *head)
{
    uint64_t active = config_feed_generation(feed);
    if (head->generation > active) {
        return true;
    }
    if (head->generation < active) {
        count(feed, "egret_config_rejected_total", "reason=\"older\"");
    }
    else if (!g_str_equal(head->id, feed->head->id)) {
        reject(feed, head->id, "reason=\"same-number\"",
               "same generation number as the active one, but another id");
    }
    return false;
}

static void
on_fetched(void *ctx, struct config_snapshot *snapshot)
{
    struct config_feed *feed = ctx;
    feed->fetch = NULL;
    if (snapshot->status.code == STATUS_INVALID) {
        reject(feed, snapshot->head == NULL ? "" : snapshot->head->id,
               "reason=\"malformed\"", snapshot->status.message);
    }
    else if (status_ok(&snapshot->status) && is_newer(feed, snapshot->head)) {
        activate(feed, snapshot, "source=\"store\"");
    }
    if (snapshot->status.code != STATUS_UNAVAILABLE && feed->read == NULL) {
        feed->confirmed_ms = feed->read_sent_ms;
    }
    if (feed->read_again) {
        feed->read_again = false;
        read_head(feed);
    }
}

static void
fetch_entry(struct config_feed *feed, const struct store_entry *entry)
{
    if (feed->fetch != NULL) {
        feed->read_again = true;
        return;
    }
    feed->fetch = config_fetch_from_head(
        feed->options.store, entry, feed->parts_by_key,
        (struct config_fetch_callback){.done = on_fetched, .ctx = feed});
}

static void
consider_entry(struct config_feed *feed, const struct store_entry *entry)
{
    if (feed->head_text != NULL &&
        g_str_equal(feed->head_text, entry->value)) {
        return;
    }
    struct findings *findings = findings_create();
    struct config_head *head =
        config_head_parse(entry->value, (int64_t)entry->size_bytes, findings);
    if (head == NULL) {
        reject(feed, "", "reason=\"malformed\"",
               findings_get(findings, 0)->reason);
    }
    else if (is_newer(feed, head)) {
        fetch_entry(feed, entry);
    }
    config_head_destroy(head);
    findings_destroy(findings);
}

static void
on_head(void *ctx, const struct store_result *result)
{
    if (result->n_entries > 0) {
        consider_entry(ctx, &result->entries[0]);
    }
}

static void
on_head_read(void *ctx, const struct store_result *result)
{
    struct head_read *read = ctx;
    struct config_feed *feed = read->feed;
    g_free(read);
    if (feed == NULL) {
        return;
    }
    feed->read = NULL;
    on_head(feed, result);
    bool answered =
        status_ok(&result->status) || result->status.code == STATUS_NOT_FOUND;
    if (answered && feed->fetch == NULL) {
        feed->confirmed_ms = feed->read_sent_ms;
    }
}

static void
read_head(struct config_feed *feed)
{
    if (feed->read != NULL) {
        return;
    }
    feed->read_sent_ms = ms_clock_now(&feed->options.clock);
    feed->read = g_new0(struct head_read, 1);
    feed->read->feed = feed;
    store_get(feed->options.store, STORE_KEY_CONFIG_HEAD,
              (struct store_callback){
                  .done = on_head_read,
                  .abandoned = g_free,
                  .ctx = feed->read,
              });
}

void
config_feed_refresh(struct config_feed *feed)
{
    read_head(feed);
}

int64_t
config_feed_confirmed_ms(const struct config_feed *feed)
{
    return feed->confirmed_ms;
}

static gboolean
poll_head(void *data)
{
    read_head(data);
    return G_SOURCE_CONTINUE;
}

struct config_feed *
config_feed_create(const struct config_feed_options *options)
{
    struct config_feed *feed = g_new0(struct config_feed, 1);
    feed->options = *options;
    feed->confirmed_ms = INT64_MIN;
    feed->watch = store_watch_create(
        options->store, STORE_KEY_CONFIG_HEAD,
        (struct store_callback){.done = on_head, .ctx = feed});
    feed->timer = g_timeout_add((guint)options->poll_ms, poll_head, feed);
    return feed;
}

void
config_feed_destroy(struct config_feed *feed)
{
    if (feed == NULL) {
        return;
    }
    g_source_remove(feed->timer);
    store_watch_destroy(feed->watch);
    if (feed->read != NULL) {
        feed->read->feed = NULL;
    }
    if (feed->fetch != NULL) {
        config_fetch_cancel(feed->fetch);
    }
    config_destroy(feed->current);
    config_head_destroy(feed->head);
    g_queue_clear_full(&feed->earlier, (GDestroyNotify)config_head_destroy);
    g_free(feed->head_text);
    g_clear_pointer(&feed->texts, g_tree_unref);
    g_clear_pointer(&feed->parts_by_key, g_tree_unref);
    g_free(feed->rejected_id);
    g_free(feed);
}

const struct config *
config_feed_current(const struct config_feed *feed)
{
    return feed->current;
}

uint64_t
config_feed_generation(const struct config_feed *feed)
{
    return feed->head == NULL ? 0 : feed->head->generation;
}

const char *
config_feed_id(const struct config_feed *feed)
{
    return feed->head == NULL ? "" : feed->head->id;
}

/* The peer may have left out parts that are the same in the generation active
 * here. */
static GTree *
offered_texts(const struct config_feed *feed, const struct config_head *head,
              const struct message_config *offer)
{
    GTree *texts = config_text_map_create();
    for (GTreeNode *node = g_tree_node_first(head->parts);
         node != NULL && feed->parts_by_key != NULL;
         node = g_tree_node_next(node)) {
        const char *text =
            g_tree_lookup(feed->parts_by_key, g_tree_node_value(node));
        if (text != NULL) {
            g_tree_insert(texts, g_strdup(g_tree_node_key(node)),
                          g_strdup(text));
        }
    }
    for (guint i = 0; i < offer->part_names->len; i++) {
        g_tree_insert(texts, g_strdup(g_ptr_array_index(offer->part_names, i)),
                      g_strdup(g_ptr_array_index(offer->part_texts, i)));
    }
    return texts;
}

/* The peer left out parts in the belief that this gateway has a generation
 * that it does not have. */
static bool
is_incomplete(const struct config_head *head, GTree *texts)
{
    for (GTreeNode *node = g_tree_node_first(head->parts); node != NULL;
         node = g_tree_node_next(node)) {
        if (g_tree_lookup(texts, g_tree_node_key(node)) == NULL) {
            return true;
        }
    }
    return false;
}

static void
apply_offer(struct config_feed *feed, struct config_snapshot *snapshot,
            const struct message_config *offer, struct findings *findings)
{
    snapshot->texts = offered_texts(feed, snapshot->head, offer);
    if (is_incomplete(snapshot->head, snapshot->texts)) {
        count(feed, "egret_config_rejected_total", "reason=\"incomplete\"");
        return;
    }
    snapshot->config = config_join(snapshot->head, snapshot->texts, findings);
    if (snapshot->config != NULL) {
        snapshot->head_text = g_strdup(offer->head);
        activate(feed, snapshot, "source=\"peer\"");
    }
}

void
config_feed_offer(struct config_feed *feed, const struct message_config *offer)
{
    if (offer->generation <= config_feed_generation(feed)) {
        return;
    }
    struct findings *findings = findings_create();
    struct config_snapshot snapshot = {
        .head = config_head_parse(offer->head, -1, findings),
    };
    if (snapshot.head != NULL && is_newer(feed, snapshot.head)) {
        apply_offer(feed, &snapshot, offer, findings);
    }
    if (findings_count(findings) > 0) {
        reject(feed, snapshot.head == NULL ? "" : snapshot.head->id,
               "reason=\"malformed\"", findings_get(findings, 0)->reason);
    }
    config_head_destroy(snapshot.head);
    g_clear_pointer(&snapshot.texts, g_tree_unref);
    findings_destroy(findings);
}

static const struct config_head *
find_earlier(const struct config_feed *feed, uint64_t generation)
{
    for (GList *link = feed->earlier.head; link != NULL; link = link->next) {
        const struct config_head *head = link->data;
        if (head->generation == generation) {
            return head;
        }
    }
    return NULL;
}

static bool
holds_part(const struct config_head *head, const char *name, const char *key)
{
    return head != NULL &&
           g_strcmp0(g_tree_lookup(head->parts, name), key) == 0;
}

bool
config_feed_make_message(const struct config_feed *feed,
                         uint64_t have_generation, struct message *message)
{
    if (feed->head == NULL) {
        return false;
    }
    const struct config_head *held = find_earlier(feed, have_generation);
    *message = (struct message){.type = MESSAGE_CONFIG};
    struct message_config *config = &message->as.config;
    config->generation = feed->head->generation;
    config->head = g_strdup(feed->head_text);
    config->part_names = g_ptr_array_new_with_free_func(g_free);
    config->part_texts = g_ptr_array_new_with_free_func(g_free);
    for (GTreeNode *node = g_tree_node_first(feed->texts); node != NULL;
         node = g_tree_node_next(node)) {
        const char *name = g_tree_node_key(node);
        if (holds_part(held, name, g_tree_lookup(feed->head->parts, name))) {
            continue;
        }
        g_ptr_array_add(config->part_names, g_strdup(name));
        g_ptr_array_add(config->part_texts, g_strdup(g_tree_node_value(node)));
    }
    return true;
}
