/* Parsed records below a key prefix of the store, kept up to date by a watch.
 */
#include "egretfleetd/record_table.h"

#include <string.h>

#include "common/log.h"

struct record_table {
    struct record_table_options options;
    struct store_watch *watch;
    GHashTable *items;
    bool read;
};

static void
log_findings(const struct findings *findings)
{
    for (size_t i = 0; i < findings_count(findings); i++) {
        const struct finding *finding = findings_get(findings, i);
        log_line(LOG_LEVEL_ERROR, "record-damaged",
                 "key=%s place=%s reason=%s", log_quote(finding->file),
                 log_quote(finding->path), log_quote(finding->reason));
    }
}

static void *
parse(const struct record_table *table, const struct store_entry *entry)
{
    struct findings *findings = findings_create();
    void *record = table->options.kind->parse(entry->value, entry->size_bytes,
                                              entry->key, findings);
    log_findings(findings);
    findings_destroy(findings);
    return record;
}

static void
item_free(struct record_table *table, struct record_item *item)
{
    if (item->record != NULL) {
        table->options.kind->destroy(item->record);
    }
    g_free(item->name);
    g_free(item);
}

static const char *
name_of(const struct record_table *table, const struct store_entry *entry)
{
    return entry->key + strlen(table->options.kind->prefix);
}

static void
update_item(struct record_table *table, const struct store_entry *entry)
{
    const char *name = name_of(table, entry);
    struct record_item *item = g_hash_table_lookup(table->items, name);
    if (item != NULL && item->version >= entry->version) {
        return;
    }
    if (item == NULL) {
        item = g_new0(struct record_item, 1);
        item->name = g_strdup(name);
        g_hash_table_insert(table->items, item->name, item);
    }
    if (item->record != NULL) {
        table->options.kind->destroy(item->record);
    }
    item->record = parse(table, entry);
    item->version = entry->version;
}

static bool
has_entry(const struct record_table *table, const struct store_result *result,
          const char *name)
{
    for (size_t i = 0; i < result->n_entries; i++) {
        if (g_str_equal(name_of(table, &result->entries[i]), name)) {
            return true;
        }
    }
    return false;
}

/* Removes records that are absent from @result, except those that this process
 * has written since the read: their version is above the index of @result. */
static void
remove_absent(struct record_table *table, const struct store_result *result)
{
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, table->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct record_item *item = value;
        if (item->version <= result->index &&
            !has_entry(table, result, item->name)) {
            g_hash_table_iter_remove(&iter);
            item_free(table, item);
        }
    }
}

static void
on_watch(void *ctx, const struct store_result *result)
{
    struct record_table *table = ctx;
    if (!status_ok(&result->status) &&
        result->status.code != STATUS_NOT_FOUND) {
        return;
    }
    for (size_t i = 0; i < result->n_entries; i++) {
        update_item(table, &result->entries[i]);
    }
    remove_absent(table, result);
    table->read = true;
    table->options.changed(table->options.ctx);
}

struct record_table *
record_table_create(const struct record_table_options *options)
{
    struct record_table *table = g_new0(struct record_table, 1);
    table->options = *options;
    table->items = g_hash_table_new(g_str_hash, g_str_equal);
    table->watch = store_watch_create(
        options->store, options->kind->prefix,
        (struct store_callback){.done = on_watch, .ctx = table});
    return table;
}

void
record_table_destroy(struct record_table *table)
{
    if (table == NULL) {
        return;
    }
    store_watch_destroy(table->watch);
    GHashTableIter iter;
    void *item = NULL;
    g_hash_table_iter_init(&iter, table->items);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        g_hash_table_iter_steal(&iter);
        item_free(table, item);
    }
    g_hash_table_destroy(table->items);
    g_free(table);
}

bool
record_table_ready(const struct record_table *table)
{
    return table->read;
}

const struct record_item *
record_table_find(const struct record_table *table, const char *name)
{
    return g_hash_table_lookup(table->items, name);
}

GHashTable *
record_table_items(const struct record_table *table)
{
    return table->items;
}

void
record_table_put(struct record_table *table, const struct store_entry *entry)
{
    if (g_str_has_prefix(entry->key, table->options.kind->prefix)) {
        update_item(table, entry);
        table->options.changed(table->options.ctx);
    }
}
