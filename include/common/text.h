/* Texts from outside the process, held whole in C strings.
 *
 * A text is UTF-8 that ends in a NUL. U+0000 within it is held as the bytes
 * C0 80 ("modified UTF-8"), which no UTF-8 contains, so that strcmp(),
 * strlen() and g_strdup() apply to the whole text. It becomes U+0000 again
 * where the text leaves the process. */
#ifndef COMMON_TEXT_H
#define COMMON_TEXT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** text_find_invalid() - first of @bytes bytes that is not UTF-8 or a NUL, or
 * NULL. */
const char *
text_find_invalid(const char *utf8, size_t bytes);

/** text_create() - text of @utf8, valid UTF-8 of @bytes bytes in which U+0000
 * may occur; g_free(). */
char *
text_create(const char *utf8, size_t bytes);

/**
 * text_check_escapes() - check the escapes \uXXXX in @size_bytes bytes of JSON
 * @first_nul: receives the first escape of U+0000, or NULL
 *
 * Returns: the first escape that stands for no character, since it is
 * malformed or half of a surrogate pair, or NULL. What follows it isn't looked
 * at.
 */
const char *
text_check_escapes(const char *json, size_t size_bytes,
                   const char **first_nul);

/** text_hold_json() - @size_bytes bytes of JSON, whose escapes are sound, with
 * each escape of U+0000 replaced by the bytes that hold it. */
GString *
text_hold_json(const char *json, size_t size_bytes);

/** text_utf8_bytes() - how many bytes the UTF-8 of @text has. */
size_t
text_utf8_bytes(const char *text);

/** text_has_nul() - whether U+0000 occurs in @text. */
bool
text_has_nul(const char *text);

/** text_add_json() - append @text to @out as a JSON string. */
void
text_add_json(GString *out, const char *text);

/**
 * text_quote() - a text for a log line
 *
 * Returns: @text, "" if it is NULL, as a JSON string with its quotes, in one
 * of a few static buffers, which later calls reuse.
 */
const char *
text_quote(const char *text);

/* Printable ASCII but the space and '%', for text_uri_escape(). */
#define TEXT_URI_PRINTABLE "!\"#$&'()*+,/:;<=>?@[\\]^`{|}"

/** text_uri_escape() - @text percent-encoded, apart from unreserved characters
 * and those in @allowed; g_free(). */
char *
text_uri_escape(const char *text, const char *allowed);

/** text_uri_unescape() - text of which text_uri_escape() made @escaped, or
 * NULL if it isn't UTF-8; g_free(). */
char *
text_uri_unescape(const char *escaped);

/** text_list_add() - append @name to @list, in which spaces separate names. */
void
text_list_add(GString *list, const char *name);

/** text_list_read() - names of a list that text_list_add() made, which may be
 * NULL; g_strfreev(). */
char **
text_list_read(const char *list);

#endif
