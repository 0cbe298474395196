/* Tables printed as aligned columns or as JSON. */
#ifndef EGRETCTL_TABLE_H
#define EGRETCTL_TABLE_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>

/** struct table - rows of strings; the first row is the heading */
struct table;

struct table *
table_create(size_t n_columns, const char *const *heading);
void
table_destroy(struct table *table);

/** table_add() - append a row; @cells are copied, NULL shows as "-". */
void
table_add(struct table *table, const char *const *cells);

/** table_print() - print aligned columns, or with @json an array of objects
 * whose members are named after the heading. */
void
table_print(const struct table *table, bool json);

#endif
