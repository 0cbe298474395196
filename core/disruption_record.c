/* Parses and serialises the disruption record of a pool. */
#include "core/disruption_record.h"

#include "common/json_read.h"
#include "common/json_write.h"

static void
entry_destroy(void *data)
{
    struct disruption_entry *entry = data;
    g_free(entry->reason);
    g_free(entry->target);
    g_free(entry);
}

struct disruption_record *
disruption_record_create(void)
{
    struct disruption_record *record = g_new0(struct disruption_record, 1);
    record->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_destroy);
    return record;
}

void
disruption_record_destroy(struct disruption_record *record)
{
    if (record == NULL) {
        return;
    }
    g_free(record->write_id);
    g_hash_table_destroy(record->entries);
    g_free(record);
}

void
disruption_record_add(struct disruption_record *record, const char *host,
                      const struct disruption_entry *entry)
{
    struct disruption_entry *copy = g_new(struct disruption_entry, 1);
    *copy = *entry;
    copy->reason = g_strdup(entry->reason);
    copy->target = g_strdup(entry->target);
    g_hash_table_insert(record->entries, g_strdup(host), copy);
}

struct disruption_record *
disruption_record_copy(const struct disruption_record *record)
{
    struct disruption_record *copy = disruption_record_create();
    copy->write_id = g_strdup(record->write_id);
    memcpy(copy->min_shard_versions, record->min_shard_versions,
           sizeof(copy->min_shard_versions));
    GHashTableIter iter;
    void *host = NULL;
    void *entry = NULL;
    g_hash_table_iter_init(&iter, record->entries);
    while (g_hash_table_iter_next(&iter, &host, &entry)) {
        disruption_record_add(copy, host, entry);
    }
    return copy;
}

static void
parse_entry(struct disruption_record *record, const char *host, JsonNode *node,
            const struct json_place *above)
{
    char *path = g_strdup_printf("$.disrupted.%s", host);
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        findings_add(above->findings, above->file, path, "must be an object");
        g_free(path);
        return;
    }
    struct json_place place = {
        .object = json_node_get_object(node),
        .file = above->file,
        .path = path,
        .findings = above->findings,
    };
    struct disruption_entry entry = {
        .admission = (uint64_t)json_read_int(&place, "admission", 1, INT64_MAX,
                                             0, true),
        .wave =
            (uint64_t)json_read_int(&place, "wave", 0, INT64_MAX, 0, false),
        .admitted_s = json_read_int(&place, "since_s", 0, INT64_MAX, 0, false),
        .reason = (char *)json_read_string(&place, "reason", true),
        .target = (char *)json_read_string(&place, "target", false),
    };
    disruption_record_add(record, host, &entry);
    g_free(path);
}

static void
parse_min_shard_versions(struct disruption_record *record,
                         const struct json_place *place)
{
    JsonObject *seen_object = json_read_object(place, "seen", false);
    struct json_place seen_place = *place;
    seen_place.object = seen_object;
    seen_place.path = "$.seen";
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        char member[16];
        g_snprintf(member, sizeof(member), "%02u", i);
        record->min_shard_versions[i] = (uint64_t)json_read_int(
            &seen_place, member, 0, INT64_MAX, 0, false);
    }
}

struct disruption_record *
disruption_record_parse(const char *text, size_t size_bytes, const char *file,
                        struct findings *findings)
{
    size_t before = findings_count(findings);
    JsonNode *root = json_read_text(text, (int64_t)size_bytes, file, findings);
    if (root == NULL) {
        return NULL;
    }
    struct json_place place = {
        .object = json_node_get_object(root),
        .file = file,
        .path = "$",
        .findings = findings,
    };
    struct disruption_record *record = disruption_record_create();
    record->write_id = g_strdup(json_read_string(&place, "write", false));
    parse_min_shard_versions(record, &place);
    JsonObject *entries = json_read_object(&place, "disrupted", true);
    if (entries != NULL) {
        JsonObjectIter iter;
        const char *host = NULL;
        JsonNode *node = NULL;
        json_object_iter_init(&iter, entries);
        while (json_object_iter_next(&iter, &host, &node)) {
            parse_entry(record, host, node, &place);
        }
    }
    json_node_unref(root);
    if (findings_count(findings) > before) {
        g_clear_pointer(&record, disruption_record_destroy);
    }
    return record;
}

static void
add_entry(JsonBuilder *builder, const struct disruption_entry *entry)
{
    json_builder_begin_object(builder);
    json_write_nonzero(builder, "admission", (int64_t)entry->admission);
    json_write_nonzero(builder, "wave", (int64_t)entry->wave);
    json_write_nonzero(builder, "since_s", entry->admitted_s);
    json_write_text(builder, "reason", entry->reason);
    json_write_text(builder, "target", entry->target);
    json_builder_end_object(builder);
}

char *
disruption_record_serialise(const struct disruption_record *record,
                            size_t *size_bytes)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_write_text(builder, "write", record->write_id);
    json_builder_set_member_name(builder, "seen");
    json_builder_begin_object(builder);
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        char member[16];
        g_snprintf(member, sizeof(member), "%02u", i);
        json_write_nonzero(builder, member,
                           (int64_t)record->min_shard_versions[i]);
    }
    json_builder_end_object(builder);
    json_builder_set_member_name(builder, "disrupted");
    json_builder_begin_object(builder);
    char **names = json_write_sorted_names(record->entries);
    for (char **name = names; *name != NULL; name++) {
        json_builder_set_member_name(builder, *name);
        add_entry(builder, g_hash_table_lookup(record->entries, *name));
    }
    g_free(names);
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    return json_write_finish(builder, size_bytes);
}
