#include "store_txn.h"

#include <json-glib/json-glib.h>

GBytes *
store_txn_cas(const char *key, GBytes *value, uint64_t version)
{
    gsize size = 0;
    const guchar *bytes = g_bytes_get_data(value, &size);
    char *encoded = g_base64_encode(bytes, size);
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_array(builder);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "KV");
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "Verb");
    json_builder_add_string_value(builder, "cas");
    json_builder_set_member_name(builder, "Key");
    json_builder_add_string_value(builder, key);
    json_builder_set_member_name(builder, "Value");
    json_builder_add_string_value(builder, encoded);
    json_builder_set_member_name(builder, "Index");
    json_builder_add_int_value(builder, (gint64)version);
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    json_builder_end_array(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    g_free(encoded);
    return g_bytes_new_take(text, strlen(text));
}

static JsonObject *
object_of(JsonNode *node)
{
    return node != NULL && JSON_NODE_HOLDS_OBJECT(node)
               ? json_node_get_object(node)
               : NULL;
}

static JsonObject *
first_result(JsonObject *response)
{
    JsonNode *node = json_object_get_member(response, "Results");
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        return NULL;
    }
    JsonArray *results = json_node_get_array(node);
    if (json_array_get_length(results) != 1) {
        return NULL;
    }
    return object_of(json_array_get_element(results, 0));
}

static uint64_t
read_version(JsonNode *root)
{
    JsonObject *response = object_of(root);
    JsonObject *result = response == NULL ? NULL : first_result(response);
    JsonObject *kv = result == NULL
                         ? NULL
                         : object_of(json_object_get_member(result, "KV"));
    int64_t version =
        kv == NULL
            ? 0
            : json_object_get_int_member_with_default(kv, "ModifyIndex", 0);
    return version > 0 ? (uint64_t)version : 0;
}

uint64_t
store_txn_version(GBytes *response)
{
    gsize size = 0;
    const char *bytes = g_bytes_get_data(response, &size);
    char *text = g_strndup(bytes, size);
    JsonNode *root = json_from_string(text, NULL);
    uint64_t version = read_version(root);
    g_clear_pointer(&root, json_node_unref);
    g_free(text);
    return version;
}
