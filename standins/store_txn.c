#include "store_txn.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>

static JsonObject *
single_operation(JsonNode *root)
{
    if (root == NULL || !JSON_NODE_HOLDS_ARRAY(root)) {
        return NULL;
    }
    JsonArray *operations = json_node_get_array(root);
    if (json_array_get_length(operations) != 1) {
        return NULL;
    }
    JsonNode *node = json_array_get_element(operations, 0);
    JsonObject *operation =
        JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
    JsonNode *kv =
        operation == NULL ? NULL : json_object_get_member(operation, "KV");
    return kv != NULL && JSON_NODE_HOLDS_OBJECT(kv) ? json_node_get_object(kv)
                                                    : NULL;
}

static bool
parse_cas_operation(JsonObject *kv, struct store_txn *txn)
{
    const char *verb =
        json_object_get_string_member_with_default(kv, "Verb", "");
    const char *key =
        json_object_get_string_member_with_default(kv, "Key", "");
    const char *value =
        json_object_get_string_member_with_default(kv, "Value", "");
    if (g_strcmp0(verb, "cas") != 0 || key == NULL || key[0] == '\0' ||
        value == NULL) {
        return false;
    }
    gsize size_bytes = 0;
    guchar *bytes = g_base64_decode(value, &size_bytes);
    txn->key = g_strdup(key);
    txn->value = g_bytes_new_take(bytes, size_bytes);
    txn->index = json_object_get_int_member_with_default(kv, "Index", 0);
    return true;
}

bool
store_txn_parse(GBytes *body, struct store_txn *txn)
{
    gsize size_bytes = 0;
    const char *bytes = g_bytes_get_data(body, &size_bytes);
    char *text = g_strndup(bytes, size_bytes);
    JsonNode *root = json_from_string(text, NULL);
    JsonObject *kv = single_operation(root);
    *txn = (struct store_txn){.key = NULL};
    bool ok = kv != NULL && parse_cas_operation(kv, txn);
    g_clear_pointer(&root, json_node_unref);
    g_free(text);
    return ok;
}

void
store_txn_clear(struct store_txn *txn)
{
    g_free(txn->key);
    g_clear_pointer(&txn->value, g_bytes_unref);
}

char *
store_txn_render(const char *key, uint64_t version, bool written)
{
    if (!written) {
        return g_strdup("{\"Results\":null,\"Errors\":[{\"OpIndex\":0,"
                        "\"What\":\"index is stale\"}]}");
    }
    return g_strdup_printf("{\"Results\":[{\"KV\":{\"Key\":\"%s\","
                           "\"Value\":null,\"ModifyIndex\":%" PRIu64
                           "}}],\"Errors\":null}",
                           key, version);
}
