#include "common/text.h"

#include <stdint.h>
#include <string.h>

enum {
    /* Most texts in one line of a log, and some to spare. */
    QUOTE_BUFFER_COUNT = 8,
};

/* How U+0000 is held. */
#define NUL_HELD "\xC0\x80"
#define NUL_HELD_BYTES (sizeof(NUL_HELD) - 1)

/* Most documents are ASCII, for which this takes a tenth of the time of a
 * validation of UTF-8. */
static bool
is_ascii(const char *text, size_t bytes)
{
    uint64_t bits = 0;
    size_t i = 0;
    for (uint64_t word; i + sizeof(word) <= bytes; i += sizeof(word)) {
        memcpy(&word, text + i, sizeof(word));
        bits |= word;
    }
    for (; i < bytes; i++) {
        bits |= (unsigned char)text[i];
    }
    return (bits & UINT64_C(0x8080808080808080)) == 0;
}

const char *
text_find_invalid(const char *utf8, size_t bytes)
{
    const char *invalid = NULL;
    if (is_ascii(utf8, bytes)) {
        return memchr(utf8, '\0', bytes);
    }
    return g_utf8_validate_len(utf8, bytes, &invalid) ? NULL : invalid;
}

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

enum {
    /* \uXXXX */
    ESCAPE_BYTES = 6,
};

/* Number of the escape \uXXXX at @at; -1 if there is none before @end. */
static int32_t
escaped_unit(const char *at, const char *end)
{
    int32_t unit = 0;
    if (end - at < ESCAPE_BYTES || at[0] != '\\' || at[1] != 'u') {
        return -1;
    }
    for (size_t i = 2; i < ESCAPE_BYTES; i++) {
        int digit = g_ascii_xdigit_value(at[i]);
        if (digit < 0) {
            return -1;
        }
        unit = unit * 16 + digit;
    }
    return unit;
}

/* End of the escape at @at, or NULL if it stands for no character. */
static const char *
escape_end(const char *at, const char *end)
{
    if (end - at < 2 || at[1] != 'u') {
        return MIN(at + 2, end);
    }
    int32_t unit = escaped_unit(at, end);
    const char *next = at + ESCAPE_BYTES;
    if (unit < 0 || (unit >= 0xDC00 && unit < 0xE000)) {
        return NULL;
    }
    if (unit < 0xD800 || unit >= 0xE000) {
        return next;
    }
    int32_t second = escaped_unit(next, end);
    return second >= 0xDC00 && second < 0xE000 ? next + ESCAPE_BYTES : NULL;
}

/* Backslashes occur within strings only, so that nothing else of JSON has to
 * be understood. */
const char *
text_check_escapes(const char *json, size_t size_bytes, const char **first_nul)
{
    const char *end = json + size_bytes;
    const char *at = json;
    *first_nul = NULL;
    while ((at = memchr(at, '\\', (size_t)(end - at))) != NULL) {
        const char *next = escape_end(at, end);
        if (next == NULL) {
            return at;
        }
        if (*first_nul == NULL && escaped_unit(at, end) == 0) {
            *first_nul = at;
        }
        at = next;
    }
    return NULL;
}

GString *
text_hold_json(const char *json, size_t size_bytes)
{
    GString *held = g_string_sized_new(size_bytes);
    const char *end = json + size_bytes;
    const char *at;
    while ((at = memchr(json, '\\', (size_t)(end - json))) != NULL) {
        const char *next = escape_end(at, end);
        g_string_append_len(held, json, at - json);
        if (escaped_unit(at, end) == 0) {
            g_string_append(held, NUL_HELD);
        }
        else {
            /* A malformed one is left to the parser. */
            next = next == NULL ? at + 1 : next;
            g_string_append_len(held, at, next - at);
        }
        json = next;
    }
    g_string_append_len(held, json, end - json);
    return held;
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

/* Bytes that stand for themselves in a JSON string at the start of @text. */
static size_t
plain_bytes(const char *text)
{
    const char *c = text;
    while ((unsigned char)*c >= 0x20 && *c != '"' && *c != '\\' &&
           *c != NUL_HELD[0]) {
        c++;
    }
    return (size_t)(c - text);
}

void
text_add_json(GString *out, const char *text)
{
    g_string_append_c(out, '"');
    for (;;) {
        size_t bytes = plain_bytes(text);
        g_string_append_len(out, text, (gssize)bytes);
        text += bytes;
        if (*text == '\0') {
            break;
        }
        if (text[0] == NUL_HELD[0] && text[1] == NUL_HELD[1]) {
            g_string_append(out, "\\u0000");
            text++;
        }
        else if ((unsigned char)*text < 0x20) {
            g_string_append_printf(out, "\\u%04x", (unsigned char)*text);
        }
        else {
            g_string_append_c(out, '\\');
            g_string_append_c(out, *text);
        }
        text++;
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
