#include <string.h>

#include "common/json_read.h"
#include "store/config_parts.h"
#include "common/json_write.h"

enum {
    HASH_HEX_BYTES = 16,
};

static const char *const head_members[] = {
    "generation", "id",      "previous", "written_s",
    "author",     "summary", "parts",    NULL,
};

static int
compare_texts(const void *a, const void *b, void *ctx)
{
    (void)ctx;
    return strcmp(a, b);
}

GTree *
config_text_map_create(void)
{
    return g_tree_new_full(compare_texts, NULL, g_free, g_free);
}

char *
config_part_key(const char *name, const char *text)
{
    char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
    char *key = g_strdup_printf("%s/%.*s", name, HASH_HEX_BYTES, hash);
    g_free(hash);
    return key;
}

static bool
is_part_key(const char *name, const char *key)
{
    size_t size = strlen(name);
    return key != NULL && strncmp(key, name, size) == 0 && key[size] == '/' &&
           strlen(key + size + 1) == HASH_HEX_BYTES &&
           strspn(key + size + 1, "0123456789abcdef") == HASH_HEX_BYTES;
}

static void
read_parts(const struct json_place *place, GTree *parts)
{
    struct json_place inner = *place;
    inner.object = json_read_object(place, "parts", true);
    inner.path = "$.parts";
    if (inner.object == NULL) {
        return;
    }
    GList *names = json_object_get_members(inner.object);
    for (GList *link = names; link != NULL; link = link->next) {
        const char *name = link->data;
        const char *key = json_read_string(&inner, name, true);
        if (is_part_key(name, key)) {
            g_tree_insert(parts, g_strdup(name), g_strdup(key));
        }
        else {
            findings_add(place->findings, place->file, inner.path,
                         "malformed key of part \"%s\"", name);
        }
    }
    g_list_free(names);
}

/* For members that may be empty, which json_read_string() rejects. */
static char *
read_optional_text(const struct json_place *place, const char *member)
{
    const char *text =
        json_object_get_string_member_with_default(place->object, member, "");
    return g_strdup(text == NULL ? "" : text);
}

struct config_head *
config_head_parse(const char *text, int64_t size_bytes,
                  struct findings *findings)
{
    size_t before = findings_count(findings);
    JsonNode *root = json_read_text(text, size_bytes, "head", findings);
    if (root == NULL) {
        return NULL;
    }
    struct json_place place = {
        .object = json_node_get_object(root),
        .file = "head",
        .path = "$",
        .findings = findings,
    };
    struct config_head *head = g_new0(struct config_head, 1);
    head->parts = config_text_map_create();
    json_reject_unknown_members(&place, head_members);
    head->generation =
        (uint64_t)json_read_int(&place, "generation", 1, INT64_MAX, 0, true);
    head->id = g_strdup(json_read_string(&place, "id", true));
    head->written_s =
        json_read_int(&place, "written_s", 0, INT64_MAX, 0, false);
    head->previous = read_optional_text(&place, "previous");
    head->author = read_optional_text(&place, "author");
    head->summary = read_optional_text(&place, "summary");
    read_parts(&place, head->parts);
    json_node_unref(root);
    if (findings_count(findings) > before) {
        config_head_destroy(head);
        return NULL;
    }
    return head;
}

static gboolean
add_part(void *name, void *key, void *builder)
{
    json_write_text(builder, name, key);
    return FALSE;
}

char *
config_head_render(const struct config_head *head)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "generation");
    json_builder_add_int_value(builder, (gint64)head->generation);
    json_write_text(builder, "id", head->id);
    json_write_text(builder, "previous", head->previous);
    json_builder_set_member_name(builder, "written_s");
    json_builder_add_int_value(builder, head->written_s);
    json_write_text(builder, "author", head->author);
    json_write_text(builder, "summary", head->summary);
    json_builder_set_member_name(builder, "parts");
    json_builder_begin_object(builder);
    g_tree_foreach(head->parts, add_part, builder);
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    char *text = json_write_finish(builder, NULL);
    return text;
}

void
config_head_destroy(struct config_head *head)
{
    if (head == NULL) {
        return;
    }
    g_free(head->id);
    g_free(head->previous);
    g_free(head->author);
    g_free(head->summary);
    g_tree_unref(head->parts);
    g_free(head);
}
