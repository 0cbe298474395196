#include "store_kv.h"

#include <string.h>

/* A deleted key keeps its entry, without a value, so that watches notice the
 * deletion by its modify index. */
struct kv_entry {
    GBytes *value;
    uint64_t create_index;
    uint64_t modify_index;
};

struct store_kv {
    GTree *entries;
    uint64_t index;
};

static int
compare_keys(const void *a, const void *b, void *ctx)
{
    (void)ctx;
    return strcmp(a, b);
}

static void
entry_destroy(void *data)
{
    struct kv_entry *entry = data;
    g_clear_pointer(&entry->value, g_bytes_unref);
    g_free(entry);
}

struct store_kv *
store_kv_create(void)
{
    struct store_kv *kv = g_new0(struct store_kv, 1);
    kv->index = 1;
    kv->entries = g_tree_new_full(compare_keys, NULL, g_free, entry_destroy);
    return kv;
}

void
store_kv_destroy(struct store_kv *kv)
{
    if (kv == NULL) {
        return;
    }
    g_tree_unref(kv->entries);
    g_free(kv);
}

static bool
cas_matches(const struct kv_entry *entry, int64_t cas)
{
    if (cas < 0) {
        return true;
    }
    bool present = entry != NULL && entry->value != NULL;
    return (uint64_t)cas == (present ? entry->modify_index : 0);
}

bool
store_kv_put(struct store_kv *kv, const char *key, GBytes *value, int64_t cas)
{
    struct kv_entry *entry = g_tree_lookup(kv->entries, key);
    if (!cas_matches(entry, cas)) {
        return false;
    }
    if (entry == NULL) {
        entry = g_new0(struct kv_entry, 1);
        g_tree_insert(kv->entries, g_strdup(key), entry);
    }
    kv->index++;
    if (entry->value == NULL) {
        entry->create_index = kv->index;
    }
    g_clear_pointer(&entry->value, g_bytes_unref);
    entry->value = g_bytes_ref(value);
    entry->modify_index = kv->index;
    return true;
}

bool
store_kv_delete(struct store_kv *kv, const char *key, int64_t cas)
{
    struct kv_entry *entry = g_tree_lookup(kv->entries, key);
    bool present = entry != NULL && entry->value != NULL;
    if (!present) {
        return true;
    }
    if (!cas_matches(entry, cas)) {
        return false;
    }
    entry->modify_index = ++kv->index;
    g_clear_pointer(&entry->value, g_bytes_unref);
    return true;
}

/* First node at or after @key; the caller iterates while nodes match. */
static GTreeNode *
first_node(const struct store_kv *kv, const char *key)
{
    return g_tree_lower_bound(kv->entries, key);
}

static bool
node_matches(GTreeNode *node, const char *key, bool recurse)
{
    const char *name = g_tree_node_key(node);
    return recurse ? g_str_has_prefix(name, key) : g_str_equal(name, key);
}

uint64_t
store_kv_index(const struct store_kv *kv, const char *key, bool recurse)
{
    uint64_t index = 1;
    GTreeNode *node = first_node(kv, key);
    while (node != NULL && node_matches(node, key, recurse)) {
        const struct kv_entry *entry = g_tree_node_value(node);
        index = MAX(index, entry->modify_index);
        node = g_tree_node_next(node);
    }
    return index;
}

static void
add_entry(JsonBuilder *builder, const char *key, const struct kv_entry *entry)
{
    gsize size_bytes = 0;
    const guchar *bytes = g_bytes_get_data(entry->value, &size_bytes);
    char *text = g_base64_encode(bytes, size_bytes);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "Key");
    json_builder_add_string_value(builder, key);
    json_builder_set_member_name(builder, "Value");
    json_builder_add_string_value(builder, text);
    json_builder_set_member_name(builder, "CreateIndex");
    json_builder_add_int_value(builder, (gint64)entry->create_index);
    json_builder_set_member_name(builder, "ModifyIndex");
    json_builder_add_int_value(builder, (gint64)entry->modify_index);
    json_builder_end_object(builder);
    g_free(text);
}

char *
store_kv_render(const struct store_kv *kv, const char *key, bool recurse)
{
    unsigned found = 0;
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_array(builder);
    GTreeNode *node = first_node(kv, key);
    while (node != NULL && node_matches(node, key, recurse)) {
        const struct kv_entry *entry = g_tree_node_value(node);
        if (entry->value != NULL) {
            add_entry(builder, g_tree_node_key(node), entry);
            found++;
        }
        node = g_tree_node_next(node);
    }
    json_builder_end_array(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = found == 0 ? NULL : json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}

char *
store_kv_render_keys(const struct store_kv *kv, const char *prefix)
{
    JsonArray *names = json_array_new();
    GTreeNode *node = first_node(kv, prefix);
    while (node != NULL && node_matches(node, prefix, true)) {
        const struct kv_entry *entry = g_tree_node_value(node);
        if (entry->value != NULL) {
            json_array_add_string_element(names, g_tree_node_key(node));
        }
        node = g_tree_node_next(node);
    }
    JsonNode *root = json_node_init_array(json_node_alloc(), names);
    char *text =
        json_array_get_length(names) == 0 ? NULL : json_to_string(root, FALSE);
    json_node_unref(root);
    json_array_unref(names);
    return text;
}
