/* Helpers for writing JSON documents. */
#ifndef COMMON_JSON_WRITE_H
#define COMMON_JSON_WRITE_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** json_write_text() - string member; nothing when @text is NULL. */
void
json_write_text(JsonBuilder *builder, const char *member, const char *text);

/** json_write_int() - integer member. */
void
json_write_int(JsonBuilder *builder, const char *member, int64_t value);

/** json_write_nonzero() - integer member; nothing when @value is 0. */
void
json_write_nonzero(JsonBuilder *builder, const char *member, int64_t value);

/** json_write_bool() - boolean member. */
void
json_write_bool(JsonBuilder *builder, const char *member, bool value);

/** json_write_finish() - text of the document, to be freed with g_free();
 * frees @builder. @size_bytes may be NULL. */
char *
json_write_finish(JsonBuilder *builder, size_t *size_bytes);

/** json_write_sorted_names() - sorted keys of a table with string keys; free
 * the array with g_free(). */
char **
json_write_sorted_names(GHashTable *table);

#endif
