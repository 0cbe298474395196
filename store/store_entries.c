#include <json-glib/json-glib.h>
#include <string.h>

#include "store_internal.h"

#include "common/json_read.h"

static void
entry_clear(void *data)
{
    struct store_entry *entry = data;
    g_free(entry->key);
    g_free(entry->value);
}

GArray *
store_entries_create(void)
{
    GArray *entries = g_array_new(FALSE, TRUE, sizeof(struct store_entry));
    g_array_set_clear_func(entries, entry_clear);
    return entries;
}

static const char *
string_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        return NULL;
    }
    return json_node_get_string(node);
}

static int64_t
int_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_INT64) {
        return 0;
    }
    return json_node_get_int(node);
}

static bool
add_entry(JsonNode *node, GArray *entries)
{
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    const char *key = string_member(object, "Key");
    const char *encoded = string_member(object, "Value");
    int64_t version = int_member(object, "ModifyIndex");
    if (key == NULL || version <= 0) {
        return false;
    }
    gsize size = 0;
    guchar *bytes = g_base64_decode(encoded == NULL ? "" : encoded, &size);
    struct store_entry entry = {
        .key = g_strdup(key),
        .value = g_malloc(size + 1),
        .size_bytes = size,
        .version = (uint64_t)version,
    };
    memcpy(entry.value, bytes, size);
    entry.value[size] = '\0';
    g_free(bytes);
    g_array_append_val(entries, entry);
    return true;
}

static bool
parse_entries(GBytes *body, GArray *entries)
{
    gsize size = 0;
    const char *text = g_bytes_get_data(body, &size);
    JsonParser *parser = json_parser_new();
    bool good = size > 0 && json_load_text(parser, text, size, NULL);
    JsonNode *root = good ? json_parser_get_root(parser) : NULL;
    good = root != NULL && JSON_NODE_HOLDS_ARRAY(root);
    if (good) {
        JsonArray *array = json_node_get_array(root);
        for (guint i = 0; good && i < json_array_get_length(array); i++) {
            good = add_entry(json_array_get_element(array, i), entries);
        }
    }
    g_object_unref(parser);
    return good;
}

void
store_reply_read(const struct exchange_reply *reply, const char *key,
                 GArray *entries, struct store_result *result)
{
    result->index = reply->index;
    if (reply->outcome != EXCHANGE_RESPONDED) {
        status_set(&result->status, STATUS_UNAVAILABLE, "store: %s",
                   reply->reason);
        return;
    }
    if (reply->http_status == SOUP_STATUS_NOT_FOUND) {
        if (!store_is_prefix(key)) {
            status_set(&result->status, STATUS_NOT_FOUND,
                       "key %s does not exist", key);
        }
        return;
    }
    if (reply->http_status != SOUP_STATUS_OK) {
        status_set(&result->status, STATUS_UNAVAILABLE,
                   "store: unexpected HTTP status %u", reply->http_status);
        return;
    }
    if (!parse_entries(reply->body, entries)) {
        g_array_set_size(entries, 0);
        status_set(&result->status, STATUS_UNAVAILABLE,
                   "store: malformed response for key %s", key);
        return;
    }
    result->entries = (const struct store_entry *)(void *)entries->data;
    result->n_entries = entries->len;
}
