/* Parses and serialises the record of a maintenance wave. */
#include "core/wave_record.h"

#include "common/json_read.h"
#include "common/json_write.h"

static const char *const state_names[WAVE_STATE_COUNT] = {
    [WAVE_RUNNING] = "running",
    [WAVE_PAUSED] = "paused",
    [WAVE_STOPPED] = "stopped",
    [WAVE_DONE] = "done",
};

struct wave_record *
wave_record_create(void)
{
    struct wave_record *wave = g_new0(struct wave_record, 1);
    wave->held_out =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return wave;
}

void
wave_record_destroy(struct wave_record *wave)
{
    if (wave == NULL) {
        return;
    }
    g_free(wave->write_id);
    g_strfreev(wave->pools);
    g_strfreev(wave->dcs);
    g_free(wave->started_by);
    g_free(wave->wait_reason);
    g_hash_table_destroy(wave->held_out);
    g_free(wave);
}

struct wave_record *
wave_record_copy(const struct wave_record *wave)
{
    struct wave_record *copy = g_new(struct wave_record, 1);
    *copy = *wave;
    copy->write_id = g_strdup(wave->write_id);
    copy->pools = g_strdupv(wave->pools);
    copy->dcs = g_strdupv(wave->dcs);
    copy->started_by = g_strdup(wave->started_by);
    copy->wait_reason = g_strdup(wave->wait_reason);
    copy->held_out =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GHashTableIter iter;
    void *host = NULL;
    void *reason = NULL;
    g_hash_table_iter_init(&iter, wave->held_out);
    while (g_hash_table_iter_next(&iter, &host, &reason)) {
        g_hash_table_insert(copy->held_out, g_strdup(host), g_strdup(reason));
    }
    return copy;
}

const char *
wave_state_name(enum wave_state state)
{
    return state_names[state];
}

bool
wave_is_open(const struct wave_record *wave)
{
    return wave->state == WAVE_RUNNING || wave->state == WAVE_PAUSED;
}

static bool
selects_name(char *const *names, const char *name)
{
    return names == NULL || names[0] == NULL ||
           g_strv_contains((const char *const *)names, name);
}

bool
wave_selects(const struct wave_record *wave, const char *pool, const char *dc)
{
    return selects_name(wave->pools, pool) && selects_name(wave->dcs, dc);
}

static char **
parse_names(const struct json_place *place, const char *member)
{
    JsonArray *array = json_read_array(place, member, false);
    if (array == NULL || json_array_get_length(array) == 0) {
        return NULL;
    }
    guint n = json_array_get_length(array);
    char **names = g_new0(char *, n + 1);
    size_t n_valid = 0;
    for (guint i = 0; i < n; i++) {
        JsonNode *node = json_array_get_element(array, i);
        if (JSON_NODE_HOLDS_VALUE(node) &&
            json_node_get_value_type(node) == G_TYPE_STRING) {
            names[n_valid++] = g_strdup(json_node_get_string(node));
            continue;
        }
        char *path = g_strdup_printf("%s.%s[%u]", place->path, member, i);
        findings_add(place->findings, place->file, path, "must be a string");
        g_free(path);
    }
    return names;
}

static void
parse_select(struct wave_record *wave, const struct json_place *place)
{
    struct json_place select = *place;
    select.object = json_read_object(place, "select", true);
    select.path = "$.select";
    if (select.object == NULL) {
        return;
    }
    wave->pools = parse_names(&select, "pools");
    wave->dcs = parse_names(&select, "dcs");
    wave->older_than_s =
        json_read_int(&select, "older_than_s", 0, INT64_MAX, 0, false);
}

static void
parse_state(struct wave_record *wave, const struct json_place *place)
{
    const char *name = json_read_string(place, "state", true);
    for (int i = 0; name != NULL && i < WAVE_STATE_COUNT; i++) {
        if (g_str_equal(name, state_names[i])) {
            wave->state = (enum wave_state)i;
            return;
        }
    }
    if (name != NULL) {
        findings_add(place->findings, place->file, "$.state",
                     "unknown state \"%s\"", name);
    }
}

static void
parse_held_out(struct wave_record *wave, const struct json_place *place)
{
    JsonObject *held_out = json_read_object(place, "held_out", false);
    if (held_out == NULL) {
        return;
    }
    struct json_place held_out_place = *place;
    held_out_place.object = held_out;
    held_out_place.path = "$.held_out";
    GList *names = json_object_get_members(held_out);
    for (GList *link = names; link != NULL; link = link->next) {
        const char *reason =
            json_read_string(&held_out_place, link->data, true);
        if (reason != NULL) {
            g_hash_table_insert(wave->held_out, g_strdup(link->data),
                                g_strdup(reason));
        }
    }
    g_list_free(names);
}

static void
parse_progress(struct wave_record *wave, const struct json_place *place)
{
    wave->total =
        (uint32_t)json_read_int(place, "total", 0, UINT32_MAX, 0, false);
    wave->done =
        (uint32_t)json_read_int(place, "done", 0, UINT32_MAX, 0, false);
    wave->estimated_end_s =
        json_read_int(place, "ends_s", 0, INT64_MAX, 0, false);
    wave->wait_reason = g_strdup(json_read_string(place, "waits", false));
    parse_held_out(wave, place);
}

struct wave_record *
wave_record_parse(const char *text, size_t size_bytes, const char *file,
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
    struct wave_record *wave = wave_record_create();
    wave->write_id = g_strdup(json_read_string(&place, "write", false));
    wave->number =
        (uint64_t)json_read_int(&place, "number", 1, INT64_MAX, 0, true);
    wave->started_s =
        json_read_int(&place, "started_s", 0, INT64_MAX, 0, true);
    wave->started_by = g_strdup(json_read_string(&place, "by", false));
    parse_state(wave, &place);
    parse_select(wave, &place);
    parse_progress(wave, &place);
    json_node_unref(root);
    if (findings_count(findings) > before) {
        g_clear_pointer(&wave, wave_record_destroy);
    }
    return wave;
}

static void
add_names(JsonBuilder *builder, const char *member, char *const *names)
{
    if (names == NULL) {
        return;
    }
    json_builder_set_member_name(builder, member);
    json_builder_begin_array(builder);
    for (char *const *name = names; *name != NULL; name++) {
        json_builder_add_string_value(builder, *name);
    }
    json_builder_end_array(builder);
}

static void
add_select(JsonBuilder *builder, const struct wave_record *wave)
{
    json_builder_set_member_name(builder, "select");
    json_builder_begin_object(builder);
    add_names(builder, "pools", wave->pools);
    add_names(builder, "dcs", wave->dcs);
    json_write_nonzero(builder, "older_than_s", wave->older_than_s);
    json_builder_end_object(builder);
}

static void
add_held_out(JsonBuilder *builder, const struct wave_record *wave)
{
    json_builder_set_member_name(builder, "held_out");
    json_builder_begin_object(builder);
    char **hosts = json_write_sorted_names(wave->held_out);
    for (char **host = hosts; *host != NULL; host++) {
        json_write_text(builder, *host,
                        g_hash_table_lookup(wave->held_out, *host));
    }
    g_free(hosts);
    json_builder_end_object(builder);
}

char *
wave_record_serialise(const struct wave_record *wave, size_t *size_bytes)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_write_text(builder, "write", wave->write_id);
    json_write_nonzero(builder, "number", (int64_t)wave->number);
    json_write_text(builder, "state", state_names[wave->state]);
    add_select(builder, wave);
    json_builder_set_member_name(builder, "started_s");
    json_builder_add_int_value(builder, wave->started_s);
    json_write_text(builder, "by", wave->started_by);
    json_write_nonzero(builder, "total", wave->total);
    json_write_nonzero(builder, "done", wave->done);
    json_write_nonzero(builder, "ends_s", wave->estimated_end_s);
    json_write_text(builder, "waits", wave->wait_reason);
    add_held_out(builder, wave);
    json_builder_end_object(builder);
    return json_write_finish(builder, size_bytes);
}
