#include "common/text.h"

#include <string.h>

enum {
    /* Most texts in one line of a log, and some to spare. */
    QUOTE_BUFFER_COUNT = 8,
};

/* How U+0000 is held. */
#define NUL_HELD "\xC0\x80"
#define NUL_HELD_BYTES (sizeof(NUL_HELD) - 1)

char *
text_create(const char *utf8, size_t bytes)
{
    GString *text = g_string_sized_new(bytes);
    const char *end = utf8 + bytes;
    while (utf8 < end) {
        const char *nul = memchr(utf8, '\0', (size_t)(end - utf8));
        const char *part_end = nul == NULL ? end : nul;
        g_string_append_len(text, utf8, part_end - utf8);
        if (nul == NULL) {
            break;
        }
        g_string_append(text, NUL_HELD);
        utf8 = nul + 1;
    }
    return g_string_free(text, FALSE);
}

size_t
text_utf8_bytes(const char *text)
{
    size_t bytes = strlen(text);
    while ((text = strstr(text, NUL_HELD)) != NULL) {
        text += NUL_HELD_BYTES;
        bytes -= NUL_HELD_BYTES - 1;
    }
    return bytes;
}

bool
text_has_nul(const char *text)
{
    return strstr(text, NUL_HELD) != NULL;
}

void
text_add_json(GString *out, const char *text)
{
    g_string_append_c(out, '"');
    for (const char *c = text; *c != '\0'; c++) {
        if (*c == '"' || *c == '\\') {
            g_string_append_c(out, '\\');
            g_string_append_c(out, *c);
        }
        else if ((unsigned char)*c < 0x20) {
            g_string_append_printf(out, "\\u%04x", (unsigned char)*c);
        }
        else if (c[0] == NUL_HELD[0] && c[1] == NUL_HELD[1]) {
            g_string_append(out, "\\u0000");
            c++;
        }
        else {
            g_string_append_c(out, *c);
        }
    }
    g_string_append_c(out, '"');
}

/* GLib takes a NUL for one of the allowed characters. */
char *
text_uri_escape(const char *text, const char *allowed)
{
    GString *escaped = g_string_new(NULL);
    const char *nul;
    while ((nul = strstr(text, NUL_HELD)) != NULL) {
        char *part = g_strndup(text, (gsize)(nul - text));
        g_string_append_uri_escaped(escaped, part, allowed, FALSE);
        g_free(part);
        g_string_append(escaped, "%00");
        text = nul + NUL_HELD_BYTES;
    }
    g_string_append_uri_escaped(escaped, text, allowed, FALSE);
    return g_string_free(escaped, FALSE);
}

/* U+0000 may occur, which GLib takes for an error. */
static bool
utf8_valid(const char *utf8, size_t bytes)
{
    const char *end = utf8 + bytes;
    const char *error = NULL;
    while (!g_utf8_validate_len(utf8, (gsize)(end - utf8), &error)) {
        if (*error != '\0') {
            return false;
        }
        utf8 = error + 1;
    }
    return true;
}

char *
text_uri_unescape(const char *escaped)
{
    GBytes *utf8 = g_uri_unescape_bytes(escaped, -1, NULL, NULL);
    if (utf8 == NULL) {
        return NULL;
    }
    gsize bytes = 0;
    const char *data = g_bytes_get_data(utf8, &bytes);
    char *text = bytes == 0                ? g_strdup("")
                 : utf8_valid(data, bytes) ? text_create(data, bytes)
                                           : NULL;
    g_bytes_unref(utf8);
    return text;
}

const char *
text_quote(const char *text)
{
    static GString *buffers[QUOTE_BUFFER_COUNT];
    static unsigned next;
    GString **buffer = &buffers[next++ % QUOTE_BUFFER_COUNT];
    if (*buffer == NULL) {
        *buffer = g_string_new(NULL);
    }
    g_string_truncate(*buffer, 0);
    text_add_json(*buffer, text == NULL ? "" : text);
    return (*buffer)->str;
}

void
text_list_add(GString *list, const char *name)
{
    char *escaped = text_uri_escape(name, TEXT_URI_PRINTABLE);
    g_string_append_printf(list, "%s%s", list->len > 0 ? " " : "", escaped);
    g_free(escaped);
}

char **
text_list_read(const char *list)
{
    char **parts = g_strsplit(list == NULL ? "" : list, " ", 0);
    GPtrArray *names = g_ptr_array_new();
    for (char **part = parts; *part != NULL; part++) {
        if ((*part)[0] == '\0') {
            continue;
        }
        char *name = text_uri_unescape(*part);
        /* Earlier versions wrote names as they are. */
        g_ptr_array_add(names, name == NULL ? g_strdup(*part) : name);
    }
    g_strfreev(parts);
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}
