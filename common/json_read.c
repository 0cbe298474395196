#include "common/json_read.h"

#include <inttypes.h>
#include <string.h>

#include "common/text.h"

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

bool
json_load_text(JsonParser *parser, const char *text, size_t size_bytes,
               GError **error)
{
    const char *first_nul = NULL;
    const char *unsound = text_check_escapes(text, size_bytes, &first_nul);
    if (first_nul != NULL) {
        unsound = first_nul;
    }
    if (unsound != NULL) {
        g_set_error(error, JSON_PARSER_ERROR, JSON_PARSER_ERROR_INVALID_DATA,
                    "byte %" G_GSIZE_FORMAT
                    ": an escape of U+0000 or of no character",
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
