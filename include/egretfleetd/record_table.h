/* Parsed records below a key prefix of the store, kept up to date by a watch.
 */
#ifndef EGRETFLEETD_RECORD_TABLE_H
#define EGRETFLEETD_RECORD_TABLE_H

#include <glib.h>

#include "common/findings.h"
#include "store/store.h"

/**
 * struct record_kind - prefix and parser of a kind of records
 * @prefix: key prefix, ends in '/'
 * @parse: returns the record, or NULL with findings
 * @destroy: frees a record
 */
struct record_kind {
    const char *prefix;
    void *(*parse)(const char *text, size_t size_bytes, const char *file,
                   struct findings *findings);
    void (*destroy)(void *record);
};

/**
 * struct record_item - one record
 * @name: key without the prefix
 * @record: parsed record, or NULL when it is invalid
 * @version: store version
 */
struct record_item {
    char *name;
    void *record;
    uint64_t version;
};

/**
 * struct record_table_options - records to watch and change callback
 * @changed: called after records were read
 * @ctx: passed to @changed
 */
struct record_table_options {
    struct store *store;
    const struct record_kind *kind;
    void (*changed)(void *ctx);
    void *ctx;
};

struct record_table;

struct record_table *
record_table_create(const struct record_table_options *options);
void
record_table_destroy(struct record_table *table);

/** record_table_ready() - whether the prefix has been read once. */
bool
record_table_ready(const struct record_table *table);

/** record_table_find() - item by name, or NULL when there is none. */
const struct record_item *
record_table_find(const struct record_table *table, const char *name);

/** record_table_items() - struct record_item by name; owned by the table. */
GHashTable *
record_table_items(const struct record_table *table);

/** record_table_put() - update the table from an entry that this process has
 * read or written, unless the table has a newer version. */
void
record_table_put(struct record_table *table, const struct store_entry *entry);

#endif
