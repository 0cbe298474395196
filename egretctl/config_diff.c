#include "config_diff.h"

#include <string.h>

static void
diff_nodes(GPtrArray *lines, const char *path, JsonNode *old_node,
           JsonNode *new_node);

/* Entries of an array are matched by name, keys of a team by id. */
static const char *
entry_name(JsonNode *node)
{
    JsonObject *object = json_node_get_object(node);
    const char *member =
        json_object_has_member(object, "name") ? "name" : "id";
    return json_object_get_string_member(object, member);
}

static JsonNode *
find_entry(JsonArray *array, const char *name)
{
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *node = json_array_get_element(array, i);
        if (g_str_equal(entry_name(node), name)) {
            return node;
        }
    }
    return NULL;
}

static void
diff_entries(GPtrArray *lines, const char *path, JsonArray *old_array,
             JsonArray *new_array)
{
    for (guint i = 0; i < json_array_get_length(old_array); i++) {
        const char *name = entry_name(json_array_get_element(old_array, i));
        if (find_entry(new_array, name) == NULL) {
            g_ptr_array_add(lines,
                            g_strdup_printf("%s[%s]: removed", path, name));
        }
    }
    for (guint i = 0; i < json_array_get_length(new_array); i++) {
        JsonNode *node = json_array_get_element(new_array, i);
        JsonNode *before = find_entry(old_array, entry_name(node));
        char *inner = g_strdup_printf("%s[%s]", path, entry_name(node));
        if (before == NULL) {
            g_ptr_array_add(lines, g_strdup_printf("%s: added", inner));
        }
        else {
            diff_nodes(lines, inner, before, node);
        }
        g_free(inner);
    }
}

static void
diff_member(GPtrArray *lines, const char *path, const char *name,
            JsonNode *old_node, JsonNode *new_node)
{
    char *inner = path[0] == '\0' ? g_strdup(name)
                                  : g_strdup_printf("%s.%s", path, name);
    if (new_node == NULL) {
        g_ptr_array_add(lines, g_strdup_printf("%s: removed", inner));
    }
    else if (old_node == NULL) {
        char *text = json_to_string(new_node, FALSE);
        g_ptr_array_add(lines, g_strdup_printf("%s: %s", inner, text));
        g_free(text);
    }
    else {
        diff_nodes(lines, inner, old_node, new_node);
    }
    g_free(inner);
}

static void
diff_objects(GPtrArray *lines, const char *path, JsonObject *old_object,
             JsonObject *new_object)
{
    GList *names = json_object_get_members(old_object);
    for (GList *link = names; link != NULL; link = link->next) {
        diff_member(lines, path, link->data,
                    json_object_get_member(old_object, link->data),
                    json_object_get_member(new_object, link->data));
    }
    g_list_free(names);
    names = json_object_get_members(new_object);
    for (GList *link = names; link != NULL; link = link->next) {
        if (!json_object_has_member(old_object, link->data)) {
            diff_member(lines, path, link->data, NULL,
                        json_object_get_member(new_object, link->data));
        }
    }
    g_list_free(names);
}

static void
diff_nodes(GPtrArray *lines, const char *path, JsonNode *old_node,
           JsonNode *new_node)
{
    if (json_node_equal(old_node, new_node)) {
        return;
    }
    if (JSON_NODE_HOLDS_OBJECT(old_node)) {
        diff_objects(lines, path, json_node_get_object(old_node),
                     json_node_get_object(new_node));
        return;
    }
    if (JSON_NODE_HOLDS_ARRAY(old_node)) {
        diff_entries(lines, path, json_node_get_array(old_node),
                     json_node_get_array(new_node));
        return;
    }
    char *before = json_to_string(old_node, FALSE);
    char *after = json_to_string(new_node, FALSE);
    g_ptr_array_add(lines,
                    g_strdup_printf("%s: %s -> %s", path, before, after));
    g_free(before);
    g_free(after);
}

GPtrArray *
config_diff(const struct config *old_config, const struct config *new_config)
{
    static const struct config empty = {.generation = 0};
    GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
    JsonNode *before =
        config_to_json(old_config == NULL ? &empty : old_config);
    JsonNode *after = config_to_json(new_config);
    diff_nodes(lines, "", before, after);
    json_node_unref(before);
    json_node_unref(after);
    return lines;
}

bool
config_diff_touches(const GPtrArray *lines, const char *subject)
{
    size_t size = strlen(subject);
    for (guint i = 0; i < lines->len; i++) {
        const char *line = g_ptr_array_index(lines, i);
        if (strncmp(line, subject, size) == 0 &&
            strchr(":.[", line[size]) != NULL) {
            return true;
        }
    }
    return false;
}
