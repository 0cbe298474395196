#include <inttypes.h>
#include <string.h>
#include <sys/random.h>

#include "store/config_store.h"
#include "store/store_keys.h"

enum {
    PART_ATTEMPTS_MAX = 4,
};

/**
 * struct config_publish - one change being published
 * @parts: map of part keys to texts of the parts that the base does not name
 * @part: part being written
 * @attempts: attempts left for @part
 */
struct config_publish {
    struct store *store;
    struct config_publish_callback callback;
    struct config_head head;
    char *head_text;
    uint64_t base_version;
    GTree *parts;
    GTreeNode *part;
    unsigned attempts;
};

static void
write_next_part(struct config_publish *publish);

static void
publish_finish(struct config_publish *publish, const struct status *status,
               uint64_t head_version)
{
    struct config_publish_result result = {
        .status = *status,
        .generation = publish->head.generation,
        .id = publish->head.id,
        .head_version = head_version,
    };
    publish->callback.done(publish->callback.ctx, &result);
    g_free(publish->head.id);
    g_free(publish->head.previous);
    g_free(publish->head.author);
    g_free(publish->head.summary);
    g_tree_unref(publish->head.parts);
    g_tree_unref(publish->parts);
    g_free(publish->head_text);
    g_free(publish);
}

/* The change can't be active yet: its head has not been written. */
static void
publish_fail(struct config_publish *publish, const struct status *cause)
{
    struct status status = *cause;
    if (status.code == STATUS_UNKNOWN || status.code == STATUS_CONFLICT) {
        status.code = STATUS_UNAVAILABLE;
    }
    publish_finish(publish, &status, 0);
}

/* Decides the outcome of a head write whose response was lost: the change was
 * active if its head is in the history; it never will be if the history has
 * another head that replaced the same base. */
static void
on_history(void *ctx, const struct config_history *history)
{
    struct config_publish *publish = ctx;
    struct status status = {.code = STATUS_OK};
    const GPtrArray *heads = history->heads;
    const struct config_head *newest =
        heads->len == 0 ? NULL : g_ptr_array_index(heads, 0);
    for (guint i = 0; i < heads->len; i++) {
        const struct config_head *head = g_ptr_array_index(heads, i);
        if (g_str_equal(head->id, publish->head.id)) {
            publish_finish(publish, &status, 0);
            return;
        }
        if (g_str_equal(head->previous, publish->head.previous)) {
            status_set(&status, STATUS_CONFLICT,
                       "another change came first: generation %" PRIu64,
                       newest->generation);
            publish_finish(publish, &status, 0);
            return;
        }
    }
    status_set(&status, STATUS_UNKNOWN,
               "generation %" PRIu64 " may become active; its id is %s",
               publish->head.generation, publish->head.id);
    publish_finish(publish, &status, 0);
}

static void
on_head_written(void *ctx, const struct store_result *result)
{
    struct config_publish *publish = ctx;
    if (result->status.code == STATUS_UNKNOWN) {
        config_history_read(publish->store, (struct config_history_callback){
                                                .done = on_history,
                                                .ctx = publish,
                                            });
        return;
    }
    uint64_t version = 0;
    if (status_ok(&result->status) &&
        result->entries[0].version != publish->base_version) {
        version = result->entries[0].version;
    }
    publish_finish(publish, &result->status, version);
}

static void
on_history_written(void *ctx, const struct store_result *result)
{
    struct config_publish *publish = ctx;
    if (!status_ok(&result->status)) {
        publish_fail(publish, &result->status);
        return;
    }
    store_cas(publish->store, STORE_KEY_CONFIG_HEAD, publish->head_text,
              strlen(publish->head_text), publish->base_version,
              (struct store_callback){
                  .done = on_head_written,
                  .ctx = publish,
              });
}

static void
write_history(struct config_publish *publish)
{
    char *key = g_strdup_printf(STORE_KEY_CONFIG_HISTORY "%012" PRIu64 "-%s",
                                publish->head.generation, publish->head.id);
    store_cas(publish->store, key, publish->head_text,
              strlen(publish->head_text), STORE_VERSION_ABSENT,
              (struct store_callback){
                  .done = on_history_written,
                  .ctx = publish,
              });
    g_free(key);
}

static void
write_part(struct config_publish *publish, uint64_t version);

/*
 * A part that exists already is written again: this raises its version above
 * that of the base's head, so that no concurrent prune deletes it.
 */
static void
on_part_written(void *ctx, const struct store_result *result)
{
    struct config_publish *publish = ctx;
    bool again = result->status.code == STATUS_CONFLICT ||
                 result->status.code == STATUS_UNKNOWN;
    if (again && publish->attempts > 0) {
        write_part(publish, result->n_entries == 0
                                ? STORE_VERSION_ABSENT
                                : result->entries[0].version);
        return;
    }
    if (!status_ok(&result->status)) {
        publish_fail(publish, &result->status);
        return;
    }
    publish->part = g_tree_node_next(publish->part);
    write_next_part(publish);
}

static void
write_part(struct config_publish *publish, uint64_t version)
{
    const char *text = g_tree_node_value(publish->part);
    char *key = g_strconcat(STORE_KEY_CONFIG_PARTS,
                            (char *)g_tree_node_key(publish->part), NULL);
    publish->attempts--;
    store_cas(publish->store, key, text, strlen(text), version,
              (struct store_callback){
                  .done = on_part_written,
                  .ctx = publish,
              });
    g_free(key);
}

static void
write_next_part(struct config_publish *publish)
{
    if (publish->part == NULL) {
        write_history(publish);
        return;
    }
    publish->attempts = PART_ATTEMPTS_MAX;
    write_part(publish, STORE_VERSION_ABSENT);
}

static char *
make_id(void)
{
    uint8_t bytes[CONFIG_ID_BYTES / 2];
    GString *id = g_string_new(NULL);
    if (getrandom(bytes, sizeof(bytes), 0) != (ssize_t)sizeof(bytes)) {
        g_string_free(id, TRUE);
        return NULL;
    }
    for (size_t i = 0; i < sizeof(bytes); i++) {
        g_string_append_printf(id, "%02x", bytes[i]);
    }
    return g_string_free(id, FALSE);
}

static bool
base_has_part(const struct config_head *base, const char *name,
              const char *key)
{
    return base != NULL &&
           g_strcmp0(g_tree_lookup(base->parts, name), key) == 0;
}

static void
collect_parts(struct config_publish *publish, const struct config *config,
              const struct config_head *base)
{
    GTree *texts = config_split(config);
    publish->head.parts = config_part_keys(texts);
    for (GTreeNode *node = g_tree_node_first(texts); node != NULL;
         node = g_tree_node_next(node)) {
        const char *name = g_tree_node_key(node);
        const char *key = g_tree_lookup(publish->head.parts, name);
        if (!base_has_part(base, name, key)) {
            g_tree_insert(publish->parts, g_strdup(key),
                          g_strdup(g_tree_node_value(node)));
        }
    }
    g_tree_unref(texts);
}

static bool
sizes_within_limit(const struct config_publish *publish)
{
    for (GTreeNode *node = g_tree_node_first(publish->parts); node != NULL;
         node = g_tree_node_next(node)) {
        if (strlen(g_tree_node_value(node)) > STORE_VALUE_MAX_BYTES) {
            return false;
        }
    }
    return strlen(publish->head_text) <= STORE_VALUE_MAX_BYTES;
}

void
config_publish(struct store *store,
               const struct config_publish_request *request,
               struct config_publish_callback callback)
{
    struct config_publish *publish = g_new0(struct config_publish, 1);
    const struct config_head *base = request->base;
    publish->store = store;
    publish->callback = callback;
    publish->base_version = request->base_version;
    publish->parts = config_text_map_create();
    collect_parts(publish, request->config, base);
    publish->head.generation =
        MAX(base == NULL ? 0 : base->generation, request->above_generation) +
        1;
    publish->head.id = make_id();
    publish->head.previous = g_strdup(base == NULL ? "" : base->id);
    publish->head.author = g_strdup(request->author);
    publish->head.summary = g_strdup(request->summary);
    publish->head.written_s = request->written_s;
    publish->head_text = config_head_render(&publish->head);
    struct status status = {.code = STATUS_OK};
    if (publish->head.id == NULL) {
        status_set(&status, STATUS_INTERNAL,
                   "the kernel returned no random bytes");
    }
    else if (!sizes_within_limit(publish)) {
        status_set(
            &status, STATUS_TOO_LARGE,
            "the head or a part exceeds the value size limit of the store");
    }
    if (!status_ok(&status)) {
        publish_finish(publish, &status, 0);
        return;
    }
    publish->part = g_tree_node_first(publish->parts);
    write_next_part(publish);
}
