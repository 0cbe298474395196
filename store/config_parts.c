#include "store/config_parts.h"

#include "common/json_read.h"

#define PART_BASE "base"
#define PART_DCS "dcs"
#define MEMBER_DCS "data_centres"
#define MEMBER_TEAMS "teams"

enum {
    PART_NAME_BYTES = 16,
};

static void
name_team_part(const char *team, char name[PART_NAME_BYTES])
{
    /* FNV-1a: part names must be the same on every machine. */
    uint32_t hash = UINT32_C(2166136261);
    for (const char *c = team; *c != '\0'; c++) {
        hash = (hash ^ (uint8_t)*c) * UINT32_C(16777619);
    }
    g_snprintf(name, PART_NAME_BYTES, "teams.%02u", hash % CONFIG_TEAM_PARTS);
}

static char *
object_text(JsonObject *object)
{
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    json_node_set_object(node, object);
    char *text = json_to_string(node, FALSE);
    json_node_unref(node);
    return text;
}

static JsonArray *
team_part(GHashTable *parts, const char *team)
{
    char name[PART_NAME_BYTES];
    name_team_part(team, name);
    JsonObject *part = g_hash_table_lookup(parts, name);
    if (part == NULL) {
        part = json_object_new();
        json_object_set_array_member(part, MEMBER_TEAMS, json_array_new());
        g_hash_table_insert(parts, g_strdup(name), part);
    }
    return json_object_get_array_member(part, MEMBER_TEAMS);
}

static void
split_teams(JsonArray *teams, GTree *texts)
{
    GHashTable *parts = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_object_unref);
    for (guint i = 0; i < json_array_get_length(teams); i++) {
        JsonNode *team = json_array_get_element(teams, i);
        const char *name =
            json_object_get_string_member(json_node_get_object(team), "name");
        json_array_add_element(team_part(parts, name), json_node_copy(team));
    }
    GHashTableIter iter;
    void *name = NULL;
    void *part = NULL;
    g_hash_table_iter_init(&iter, parts);
    while (g_hash_table_iter_next(&iter, &name, &part)) {
        g_tree_insert(texts, g_strdup(name), object_text(part));
    }
    g_hash_table_unref(parts);
}

GTree *
config_split(const struct config *config)
{
    GTree *texts = config_text_map_create();
    JsonNode *root = config_to_json(config);
    JsonObject *base = json_node_get_object(root);
    JsonObject *dcs = json_object_new();
    json_object_set_member(dcs, MEMBER_DCS,
                           json_object_dup_member(base, MEMBER_DCS));
    split_teams(json_object_get_array_member(base, MEMBER_TEAMS), texts);
    json_object_remove_member(base, MEMBER_DCS);
    json_object_remove_member(base, MEMBER_TEAMS);
    g_tree_insert(texts, g_strdup(PART_DCS), object_text(dcs));
    g_tree_insert(texts, g_strdup(PART_BASE), object_text(base));
    json_object_unref(dcs);
    json_node_unref(root);
    return texts;
}

GTree *
config_part_keys(GTree *texts)
{
    GTree *keys = config_text_map_create();
    for (GTreeNode *node = g_tree_node_first(texts); node != NULL;
         node = g_tree_node_next(node)) {
        const char *name = g_tree_node_key(node);
        g_tree_insert(keys, g_strdup(name),
                      config_part_key(name, g_tree_node_value(node)));
    }
    return keys;
}

/* Concatenates arrays that occur in several parts. */
static void
merge_member(JsonObject *document, const char *member, JsonNode *value)
{
    JsonNode *existing = json_object_get_member(document, member);
    if (existing == NULL || !JSON_NODE_HOLDS_ARRAY(existing) ||
        !JSON_NODE_HOLDS_ARRAY(value)) {
        json_object_set_member(document, member, json_node_copy(value));
        return;
    }
    JsonArray *from = json_node_get_array(value);
    JsonArray *into = json_node_get_array(existing);
    for (guint i = 0; i < json_array_get_length(from); i++) {
        json_array_add_element(
            into, json_node_copy(json_array_get_element(from, i)));
    }
}

static void
merge_part(JsonObject *document, const char *name, const char *text,
           struct findings *findings)
{
    JsonNode *root = json_read_text(text, -1, name, findings);
    if (root == NULL) {
        return;
    }
    JsonObject *part = json_node_get_object(root);
    GList *members = json_object_get_members(part);
    for (GList *link = members; link != NULL; link = link->next) {
        merge_member(document, link->data,
                     json_object_get_member(part, link->data));
    }
    g_list_free(members);
    json_node_unref(root);
}

static void
verify_and_merge_part(JsonObject *document, const char *name, const char *key,
                      const char *text, struct findings *findings)
{
    if (text == NULL) {
        findings_add(findings, name, "$", "part %s is missing", key);
        return;
    }
    char *found = config_part_key(name, text);
    if (g_str_equal(found, key)) {
        merge_part(document, name, text, findings);
    }
    else {
        findings_add(findings, name, "$",
                     "part text does not match the hash in its key");
    }
    g_free(found);
}

struct config *
config_join(const struct config_head *head, GTree *texts,
            struct findings *findings)
{
    size_t before = findings_count(findings);
    JsonObject *document = json_object_new();
    json_object_set_array_member(document, MEMBER_TEAMS, json_array_new());
    for (GTreeNode *node = g_tree_node_first(head->parts); node != NULL;
         node = g_tree_node_next(node)) {
        const char *name = g_tree_node_key(node);
        verify_and_merge_part(document, name, g_tree_node_value(node),
                              g_tree_lookup(texts, name), findings);
    }
    struct config *config = NULL;
    if (findings_count(findings) == before) {
        JsonNode *root = json_node_new(JSON_NODE_OBJECT);
        json_node_set_object(root, document);
        config = config_parse(root, "configuration", findings);
        json_node_unref(root);
    }
    if (config != NULL) {
        config->generation = head->generation;
    }
    json_object_unref(document);
    return config;
}
