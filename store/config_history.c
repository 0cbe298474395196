#include "store/config_store.h"
#include "store/store_keys.h"

/**
 * struct history_read - a read of the retained heads
 * @newest: active head
 * @records: map of ids to heads of all history records, including those of
 *           applies that lost against a concurrent change
 */
struct history_read {
    struct store *store;
    struct config_history_callback callback;
    struct config_history history;
    struct config_head *newest;
    GHashTable *records;
};

static void
read_finish(struct history_read *read)
{
    read->callback.done(read->callback.ctx, &read->history);
    g_ptr_array_unref(read->history.heads);
    g_hash_table_unref(read->records);
    config_head_destroy(read->newest);
    g_free(read);
}

static struct config_head *
parse_entry(const struct store_entry *entry)
{
    struct findings *findings = findings_create();
    struct config_head *head =
        config_head_parse(entry->value, (int64_t)entry->size_bytes, findings);
    findings_destroy(findings);
    return head;
}

/* Follows the previous ids from the active head as far as records exist. */
static void
collect_heads(struct history_read *read)
{
    const struct config_head *head = read->newest;
    while (head != NULL && read->history.heads->len < CONFIG_HISTORY_LENGTH) {
        g_ptr_array_add(read->history.heads, (void *)head);
        head = g_hash_table_lookup(read->records, head->previous);
    }
}

static void
on_records(void *ctx, const struct store_result *result)
{
    struct history_read *read = ctx;
    read->history.status = result->status;
    for (size_t i = 0; i < result->n_entries; i++) {
        struct config_head *head = parse_entry(&result->entries[i]);
        if (head != NULL) {
            g_hash_table_replace(read->records, head->id, head);
        }
    }
    if (status_ok(&result->status)) {
        collect_heads(read);
    }
    read_finish(read);
}

static void
on_head(void *ctx, const struct store_result *result)
{
    struct history_read *read = ctx;
    read->history.status = result->status;
    if (result->n_entries > 0) {
        read->newest = parse_entry(&result->entries[0]);
    }
    if (read->newest == NULL) {
        read_finish(read);
        return;
    }
    store_get(read->store, STORE_KEY_CONFIG_HISTORY,
              (struct store_callback){.done = on_records, .ctx = read});
}

void
config_history_read(struct store *store,
                    struct config_history_callback callback)
{
    struct history_read *read = g_new0(struct history_read, 1);
    read->store = store;
    read->callback = callback;
    read->history.heads = g_ptr_array_new();
    read->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                          (GDestroyNotify)config_head_destroy);
    store_get(store, STORE_KEY_CONFIG_HEAD,
              (struct store_callback){.done = on_head, .ctx = read});
}
