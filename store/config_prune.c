#include <string.h>

#include "store/config_store.h"
#include "store/store_keys.h"

/**
 * struct config_prune - a deletion of old heads and parts in progress
 * @needed: part keys that a retained head names
 * @head_version: entries of this version or a later one are not deleted
 * @pending: outstanding store calls
 * @found_active: the history record of the active head was among those read;
 *                without it no part is deleted
 */
struct config_prune {
    struct store *store;
    uint64_t generation;
    uint64_t head_version;
    GHashTable *needed;
    unsigned pending;
    bool found_active;
    void (*done)(void *ctx);
    void *ctx;
};

static void
prune_release(struct config_prune *prune)
{
    prune->pending--;
    if (prune->pending > 0) {
        return;
    }
    prune->done(prune->ctx);
    g_hash_table_unref(prune->needed);
    g_free(prune);
}

static void
on_deleted(void *ctx, const struct store_result *result)
{
    (void)result;
    prune_release(ctx);
}

static void
delete_entry(struct config_prune *prune, const struct store_entry *entry)
{
    if (entry->version >= prune->head_version) {
        return;
    }
    prune->pending++;
    store_delete(prune->store, entry->key, entry->version,
                 (struct store_callback){.done = on_deleted, .ctx = prune});
}

static void
on_parts(void *ctx, const struct store_result *result)
{
    struct config_prune *prune = ctx;
    size_t prefix = strlen(STORE_KEY_CONFIG_PARTS);
    for (size_t i = 0; i < result->n_entries; i++) {
        const struct store_entry *entry = &result->entries[i];
        if (!g_hash_table_contains(prune->needed, entry->key + prefix)) {
            delete_entry(prune, entry);
        }
    }
    prune_release(prune);
}

static void
mark_parts_needed(struct config_prune *prune, const struct config_head *head)
{
    for (GTreeNode *node = g_tree_node_first(head->parts); node != NULL;
         node = g_tree_node_next(node)) {
        g_hash_table_add(prune->needed, g_strdup(g_tree_node_value(node)));
    }
}

static void
check_record(struct config_prune *prune, const struct store_entry *entry)
{
    struct findings *findings = findings_create();
    struct config_head *head =
        config_head_parse(entry->value, (int64_t)entry->size_bytes, findings);
    if (head == NULL) {
        delete_entry(prune, entry);
    }
    else if (head->generation + CONFIG_HISTORY_LENGTH <= prune->generation) {
        delete_entry(prune, entry);
    }
    else {
        prune->found_active |= head->generation == prune->generation;
        mark_parts_needed(prune, head);
    }
    config_head_destroy(head);
    findings_destroy(findings);
}

static void
on_records(void *ctx, const struct store_result *result)
{
    struct config_prune *prune = ctx;
    for (size_t i = 0; i < result->n_entries; i++) {
        check_record(prune, &result->entries[i]);
    }
    if (prune->found_active) {
        prune->pending++;
        store_get(prune->store, STORE_KEY_CONFIG_PARTS,
                  (struct store_callback){.done = on_parts, .ctx = prune});
    }
    prune_release(prune);
}

void
config_prune(struct store *store, uint64_t generation, uint64_t head_version,
             void (*done)(void *ctx), void *ctx)
{
    struct config_prune *prune = g_new0(struct config_prune, 1);
    prune->store = store;
    prune->generation = generation;
    prune->head_version = head_version;
    prune->needed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    prune->pending = 1;
    prune->done = done;
    prune->ctx = ctx;
    store_get(store, STORE_KEY_CONFIG_HISTORY,
              (struct store_callback){.done = on_records, .ctx = prune});
}
