#include <string.h>

#include "store/config_store.h"
#include "store/store_keys.h"

enum {
    /* Above this number of missing parts, one call reads all parts. */
    SINGLE_READS_MAX = 8,
};

/**
 * struct config_fetch - a read of one generation in progress
 * @known: map of part keys to texts that the caller already has
 * @pending: outstanding reads; the fetch ends when it drops to 0
 */
struct config_fetch {
    struct store *store;
    struct config_fetch_callback callback;
    struct config_snapshot snapshot;
    GTree *known;
    unsigned pending;
};

static void
fetch_free(struct config_fetch *fetch)
{
    struct config_snapshot *snapshot = &fetch->snapshot;
    g_free(snapshot->head_text);
    config_head_destroy(snapshot->head);
    config_destroy(snapshot->config);
    g_clear_pointer(&snapshot->texts, g_tree_unref);
    g_clear_pointer(&fetch->known, g_tree_unref);
    g_free(fetch);
}

static void
fetch_finish(struct config_fetch *fetch)
{
    if (fetch->callback.done != NULL) {
        fetch->callback.done(fetch->callback.ctx, &fetch->snapshot);
    }
    fetch_free(fetch);
}

static void
on_abandoned(void *ctx)
{
    struct config_fetch *fetch = ctx;
    fetch->pending--;
    if (fetch->pending == 0) {
        fetch_free(fetch);
    }
}

void
config_fetch_cancel(struct config_fetch *fetch)
{
    fetch->callback.done = NULL;
}

static void
report_findings(struct config_fetch *fetch, const struct findings *findings)
{
    const struct finding *first = findings_get(findings, 0);
    status_set(&fetch->snapshot.status, STATUS_INVALID,
               "malformed configuration in the store: %s: %s: %s", first->file,
               first->path, first->reason);
}

static void
fetch_join(struct config_fetch *fetch)
{
    struct config_snapshot *snapshot = &fetch->snapshot;
    if (status_ok(&snapshot->status)) {
        struct findings *findings = findings_create();
        snapshot->config =
            config_join(snapshot->head, snapshot->texts, findings);
        if (snapshot->config == NULL) {
            report_findings(fetch, findings);
        }
        findings_destroy(findings);
    }
    fetch_finish(fetch);
}

static void
fetch_release(struct config_fetch *fetch)
{
    fetch->pending--;
    if (fetch->pending == 0) {
        fetch_join(fetch);
    }
}

static void
add_part_text(struct config_fetch *fetch, const char *key, const char *text)
{
    char *name = g_strndup(key, strcspn(key, "/"));
    const char *wanted = g_tree_lookup(fetch->snapshot.head->parts, name);
    if (g_strcmp0(wanted, key) == 0) {
        g_tree_insert(fetch->snapshot.texts, name, g_strdup(text));
    }
    else {
        g_free(name);
    }
}

static void
on_parts(void *ctx, const struct store_result *result)
{
    struct config_fetch *fetch = ctx;
    size_t prefix = strlen(STORE_KEY_CONFIG_PARTS);
    if (result->status.code == STATUS_UNAVAILABLE) {
        fetch->snapshot.status = result->status;
    }
    for (size_t i = 0; i < result->n_entries; i++) {
        const struct store_entry *entry = &result->entries[i];
        add_part_text(fetch, entry->key + prefix, entry->value);
    }
    fetch_release(fetch);
}

static void
read_parts(struct config_fetch *fetch, const char *key)
{
    char *full = g_strconcat(STORE_KEY_CONFIG_PARTS, key, NULL);
    fetch->pending++;
    store_get(fetch->store, full,
              (struct store_callback){
                  .done = on_parts,
                  .abandoned = on_abandoned,
                  .ctx = fetch,
              });
    g_free(full);
}

static void
read_missing(struct config_fetch *fetch)
{
    GPtrArray *missing = g_ptr_array_new();
    GTree *parts = fetch->snapshot.head->parts;
    for (GTreeNode *node = g_tree_node_first(parts); node != NULL;
         node = g_tree_node_next(node)) {
        char *key = g_tree_node_value(node);
        const char *text =
            fetch->known == NULL ? NULL : g_tree_lookup(fetch->known, key);
        if (text != NULL) {
            add_part_text(fetch, key, text);
        }
        else {
            g_ptr_array_add(missing, key);
        }
    }
    if (missing->len > SINGLE_READS_MAX) {
        read_parts(fetch, "");
        g_ptr_array_set_size(missing, 0);
    }
    for (guint i = 0; i < missing->len; i++) {
        read_parts(fetch, g_ptr_array_index(missing, i));
    }
    g_ptr_array_unref(missing);
}

static void
read_head(struct config_fetch *fetch, const struct store_entry *entry)
{
    struct config_snapshot *snapshot = &fetch->snapshot;
    struct findings *findings = findings_create();
    snapshot->head_version = entry->version;
    snapshot->head_text = g_strdup(entry->value);
    snapshot->head =
        config_head_parse(entry->value, (int64_t)entry->size_bytes, findings);
    if (snapshot->head == NULL) {
        report_findings(fetch, findings);
    }
    else {
        snapshot->texts = config_text_map_create();
        read_missing(fetch);
    }
    findings_destroy(findings);
}

static void
on_head(void *ctx, const struct store_result *result)
{
    struct config_fetch *fetch = ctx;
    if (status_ok(&result->status)) {
        read_head(fetch, &result->entries[0]);
    }
    else {
        fetch->snapshot.status = result->status;
    }
    fetch_release(fetch);
}

static struct config_fetch *
fetch_create(struct store *store, GTree *known,
             struct config_fetch_callback callback)
{
    struct config_fetch *fetch = g_new0(struct config_fetch, 1);
    fetch->store = store;
    fetch->callback = callback;
    fetch->known = known == NULL ? NULL : g_tree_ref(known);
    return fetch;
}

struct config_fetch *
config_fetch(struct store *store, GTree *known,
             struct config_fetch_callback callback)
{
    struct config_fetch *fetch = fetch_create(store, known, callback);
    fetch->pending = 1;
    store_get(store, STORE_KEY_CONFIG_HEAD,
              (struct store_callback){
                  .done = on_head,
                  .abandoned = on_abandoned,
                  .ctx = fetch,
              });
    return fetch;
}

static gboolean
release_when_idle(void *fetch)
{
    fetch_release(fetch);
    return G_SOURCE_REMOVE;
}

struct config_fetch *
config_fetch_from_head(struct store *store, const struct store_entry *head,
                       GTree *known, struct config_fetch_callback callback)
{
    struct config_fetch *fetch = fetch_create(store, known, callback);
    fetch->pending = 1;
    read_head(fetch, head);
    /* The callback runs after the return even when no part is missing. */
    g_idle_add(release_when_idle, fetch);
    return fetch;
}
