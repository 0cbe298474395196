/* Parses and serialises one shard of the host records. */
#include "core/host_shard.h"

#include "common/json_read.h"
#include "common/json_write.h"
#include "store/store_keys.h"

static void
unref_node(void *node)
{
    json_node_unref(node);
}

static void
destroy_record(void *record)
{
    host_record_destroy(record);
}

struct host_shard *
host_shard_create(void)
{
    struct host_shard *shard = g_new0(struct host_shard, 1);
    shard->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, destroy_record);
    shard->damaged =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_node);
    return shard;
}

void
host_shard_destroy(struct host_shard *shard)
{
    if (shard == NULL) {
        return;
    }
    g_free(shard->write_id);
    g_hash_table_destroy(shard->hosts);
    g_hash_table_destroy(shard->damaged);
    g_free(shard);
}

struct host_shard *
host_shard_copy(const struct host_shard *shard)
{
    struct host_shard *copy = host_shard_create();
    copy->write_id = g_strdup(shard->write_id);
    GHashTableIter iter;
    void *name = NULL;
    void *record = NULL;
    g_hash_table_iter_init(&iter, shard->hosts);
    while (g_hash_table_iter_next(&iter, &name, &record)) {
        g_hash_table_insert(copy->hosts, g_strdup(name),
                            host_record_copy(record));
    }
    g_hash_table_iter_init(&iter, shard->damaged);
    while (g_hash_table_iter_next(&iter, &name, &record)) {
        g_hash_table_insert(copy->damaged, g_strdup(name),
                            json_node_copy(record));
    }
    return copy;
}

/* FNV-1a, fixed: all programs and releases have to agree on the shard of a
 * host. */
uint32_t
host_shard_index(const char *host)
{
    uint32_t hash = 2166136261U;
    for (const char *c = host; *c != '\0'; c++) {
        hash = (hash ^ (uint8_t)*c) * 16777619U;
    }
    return hash % HOST_SHARDS;
}

static char *
read_text(const struct json_place *place, const char *member, bool required)
{
    return g_strdup(json_read_string(place, member, required));
}

static int64_t
read_time(const struct json_place *place, const char *member)
{
    return json_read_int(place, member, 0, INT64_MAX, 0, false);
}

static struct host_record *
parse_record(const struct json_place *place)
{
    size_t before = findings_count(place->findings);
    struct host_record *record = g_new0(struct host_record, 1);
    record->pool = read_text(place, "pool", true);
    record->dc = read_text(place, "dc", true);
    record->rack = read_text(place, "rack", true);
    record->target = read_text(place, "target", false);
    record->reason = read_text(place, "reason", false);
    record->since_s = read_time(place, "since_s");
    record->maintained_s = read_time(place, "maintained_s");
    record->moved_s = read_time(place, "moved_s");
    record->admission = (uint64_t)read_time(place, "admission");
    record->wave = (uint64_t)read_time(place, "wave");
    record->seen_down = json_read_bool(place, "gone", false);
    const char *state = json_read_string(place, "state", true);
    if (state != NULL && !host_state_parse(state, &record->state)) {
        findings_add(place->findings, place->file, place->path,
                     "unknown state \"%s\"", state);
    }
    if (findings_count(place->findings) > before) {
        g_clear_pointer(&record, host_record_destroy);
    }
    return record;
}

static void
parse_host(struct host_shard *shard, const char *name, JsonNode *node,
           const char *file, struct findings *findings)
{
    char *path = g_strdup_printf("$.hosts.%s", name);
    struct json_place place = {
        .file = file,
        .path = path,
        .findings = findings,
    };
    struct host_record *record = NULL;
    if (JSON_NODE_HOLDS_OBJECT(node)) {
        place.object = json_node_get_object(node);
        record = parse_record(&place);
    }
    else {
        findings_add(findings, file, path, "must be an object");
    }
    if (record != NULL) {
        g_hash_table_insert(shard->hosts, g_strdup(name), record);
    }
    else {
        g_hash_table_insert(shard->damaged, g_strdup(name),
                            json_node_copy(node));
    }
    g_free(path);
}

static void
parse_hosts(struct host_shard *shard, JsonObject *hosts, const char *file,
            struct findings *findings)
{
    JsonObjectIter iter;
    const char *name = NULL;
    JsonNode *node = NULL;
    json_object_iter_init(&iter, hosts);
    while (json_object_iter_next(&iter, &name, &node)) {
        parse_host(shard, name, node, file, findings);
    }
}

struct host_shard *
host_shard_parse(const char *text, size_t size_bytes, const char *file,
                 struct findings *findings)
{
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
    struct host_shard *shard = host_shard_create();
    shard->write_id = read_text(&place, "write", false);
    JsonObject *hosts = json_read_object(&place, "hosts", true);
    if (hosts != NULL) {
        parse_hosts(shard, hosts, file, findings);
    }
    json_node_unref(root);
    return shard;
}

static void
add_record(JsonBuilder *builder, const struct host_record *record)
{
    json_builder_begin_object(builder);
    json_write_text(builder, "pool", record->pool);
    json_write_text(builder, "dc", record->dc);
    json_write_text(builder, "rack", record->rack);
    json_write_text(builder, "state", host_state_name(record->state));
    json_write_text(builder, "target", record->target);
    json_write_text(builder, "reason", record->reason);
    json_write_nonzero(builder, "since_s", record->since_s);
    json_write_nonzero(builder, "maintained_s", record->maintained_s);
    json_write_nonzero(builder, "moved_s", record->moved_s);
    json_write_nonzero(builder, "admission", (int64_t)record->admission);
    json_write_nonzero(builder, "wave", (int64_t)record->wave);
    if (record->seen_down) {
        json_builder_set_member_name(builder, "gone");
        json_builder_add_boolean_value(builder, TRUE);
    }
    json_builder_end_object(builder);
}

static void
add_hosts(JsonBuilder *builder, const struct host_shard *shard)
{
    char **names = json_write_sorted_names(shard->hosts);
    for (char **name = names; *name != NULL; name++) {
        json_builder_set_member_name(builder, *name);
        add_record(builder, g_hash_table_lookup(shard->hosts, *name));
    }
    g_free(names);
    GHashTableIter iter;
    void *name = NULL;
    void *node = NULL;
    g_hash_table_iter_init(&iter, shard->damaged);
    while (g_hash_table_iter_next(&iter, &name, &node)) {
        json_builder_set_member_name(builder, name);
        json_builder_add_value(builder, json_node_copy(node));
    }
}

char *
host_shard_serialise(const struct host_shard *shard, size_t *size_bytes)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_write_text(builder, "write", shard->write_id);
    json_builder_set_member_name(builder, "hosts");
    json_builder_begin_object(builder);
    add_hosts(builder, shard);
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    return json_write_finish(builder, size_bytes);
}
