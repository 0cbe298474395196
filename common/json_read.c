#include "common/json_read.h"

#include <inttypes.h>
#include <string.h>

static void
add_member_finding(const struct json_place *place, const char *member,
                   const char *reason)
{
    char *path = g_strdup_printf("%s.%s", place->path, member);
    findings_add(place->findings, place->file, path, "%s", reason);
    g_free(path);
}

static JsonNode *
find_member(const struct json_place *place, const char *member, bool required)
{
    JsonNode *node = NULL;
    if (place->object != NULL) {
        node = json_object_get_member(place->object, member);
    }
    if (node == NULL && required && place->object != NULL) {
        add_member_finding(place, member, "is missing");
    }
    return node;
}

/* Number of the escape \uXXXX at @text, which ends at @end; -1 if there is
 * none. */
static int32_t
escaped_unit(const char *text, const char *end)
{
    int32_t unit = 0;
    if (end - text < 6 || text[0] != '\\' || text[1] != 'u') {
        return -1;
    }
    for (size_t i = 2; i < 6; i++) {
        int digit = g_ascii_xdigit_value(text[i]);
        if (digit < 0) {
            return -1;
        }
        unit = unit * 16 + digit;
    }
    return unit;
}

/* First escape that stands for no character that a C string can hold, or
 * NULL. Backslashes occur within strings only. */
static const char *
find_unsound_escape(const char *text, size_t size_bytes)
{
    const char *end = text + size_bytes;
    const char *at = text;
    while ((at = memchr(at, '\\', (size_t)(end - at))) != NULL) {
        int32_t unit = escaped_unit(at, end);
        bool high = unit >= 0xD800 && unit < 0xDC00;
        bool low = unit >= 0xDC00 && unit < 0xE000;
        if (high) {
            int32_t second = escaped_unit(at + 6, end);
            high = second < 0xDC00 || second >= 0xE000;
            at += high ? 0 : 6;
        }
        if (unit == 0 || high || low) {
            return at;
        }
        at = MIN(at + (unit < 0 ? 2 : 6), end);
    }
    return NULL;
}

bool
json_load_text(JsonParser *parser, const char *text, size_t size_bytes,
               GError **error)
{
    const char *unsound = find_unsound_escape(text, size_bytes);
    if (unsound != NULL) {
        g_set_error(error, JSON_PARSER_ERROR, JSON_PARSER_ERROR_INVALID_DATA,
                    "byte %" G_GSIZE_FORMAT
                    ": U+0000 or half of a surrogate pair in a string",
                    (gsize)(unsound - text) + 1);
        return false;
    }
    return json_parser_load_from_data(parser, text, (gssize)size_bytes, error);
}

static JsonNode *
take_root(JsonParser *parser, bool parsed, GError *error, const char *file,
          struct findings *findings)
{
    if (!parsed) {
        findings_add(findings, file, "$", "%s", error->message);
        g_error_free(error);
        return NULL;
    }
    JsonNode *root = json_parser_steal_root(parser);
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        findings_add(findings, file, "$", "must be a JSON object");
        g_clear_pointer(&root, json_node_unref);
    }
    return root;
}

JsonNode *
json_read_file(const char *file, struct findings *findings)
{
    GError *error = NULL;
    char *text = NULL;
    gsize size_bytes = 0;
    if (!g_file_get_contents(file, &text, &size_bytes, &error)) {
        findings_add(findings, file, "$", "%s", error->message);
        g_error_free(error);
        return NULL;
    }
    JsonNode *root = json_read_text(text, (int64_t)size_bytes, file, findings);
    g_free(text);
    return root;
}

JsonNode *
json_read_text(const char *text, int64_t size_bytes, const char *file,
               struct findings *findings)
{
    JsonParser *parser = json_parser_new();
    GError *error = NULL;
    bool parsed = json_load_text(
        parser, text, size_bytes < 0 ? strlen(text) : (size_t)size_bytes,
        &error);
    JsonNode *root = take_root(parser, parsed, error, file, findings);
    g_object_unref(parser);
    return root;
}

const char *
json_read_string(const struct json_place *place, const char *member,
                 bool required)
{
    JsonNode *node = find_member(place, member, required);
    if (node == NULL) {
        return NULL;
    }
    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        add_member_finding(place, member, "must be a string");
        return NULL;
    }
    const char *text = json_node_get_string(node);
    if (text[0] == '\0') {
        add_member_finding(place, member, "must not be empty");
        return NULL;
    }
    return text;
}

int64_t
json_read_int(const struct json_place *place, const char *member, int64_t min,
              int64_t max, int64_t fallback, bool required)
{
    JsonNode *node = find_member(place, member, required);
    if (node == NULL) {
        return fallback;
    }
    char reason[128];
    snprintf(reason, sizeof(reason),
             "must be an integer from %" PRId64 " to %" PRId64, min, max);
    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_INT64) {
        add_member_finding(place, member, reason);
        return fallback;
    }
    int64_t value = json_node_get_int(node);
    if (value < min || value > max) {
        add_member_finding(place, member, reason);
        return fallback;
    }
    return value;
}

bool
json_read_bool(const struct json_place *place, const char *member,
               bool fallback)
{
    JsonNode *node = find_member(place, member, false);
    if (node == NULL) {
        return fallback;
    }
    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_BOOLEAN) {
        add_member_finding(place, member, "must be true or false");
        return fallback;
    }
    return json_node_get_boolean(node);
}

JsonArray *
json_read_array(const struct json_place *place, const char *member,
                bool required)
{
    JsonNode *node = find_member(place, member, required);
    if (node == NULL) {
        return NULL;
    }
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        add_member_finding(place, member, "must be an array");
        return NULL;
    }
    return json_node_get_array(node);
}

JsonObject *
json_read_object(const struct json_place *place, const char *member,
                 bool required)
{
    JsonNode *node = find_member(place, member, required);
    if (node == NULL) {
        return NULL;
    }
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        add_member_finding(place, member, "must be an object");
        return NULL;
    }
    return json_node_get_object(node);
}

void
json_reject_unknown_members(const struct json_place *place,
                            const char *const *members)
{
    if (place->object == NULL) {
        return;
    }
    GList *names = json_object_get_members(place->object);
    for (GList *link = names; link != NULL; link = link->next) {
        if (!g_strv_contains(members, link->data)) {
            add_member_finding(place, link->data, "unknown member");
        }
    }
    g_list_free(names);
}
