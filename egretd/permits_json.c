#include "permits_json.h"

#include <json-glib/json-glib.h>

#include "common/findings.h"
#include "common/json_read.h"
#include "common/json_write.h"

char *
permits_json_format(const struct permits_record *record)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "write");
    json_builder_add_string_value(builder, record->write);
    json_builder_set_member_name(builder, "generation");
    json_builder_add_int_value(builder, (int64_t)record->generation);
    json_builder_set_member_name(builder, "limit");
    json_builder_add_int_value(builder, record->limit);
    json_builder_set_member_name(builder, "held");
    json_builder_begin_object(builder);
    for (size_t i = 0; i < record->n_holdings; i++) {
        json_builder_set_member_name(builder, record->holdings[i].incarnation);
        json_builder_add_int_value(builder, record->holdings[i].held);
    }
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    char *text = json_write_finish(builder, NULL);
    return text;
}

static void
parse_holdings(struct permits_record *record, const struct json_place *root,
               JsonObject *held)
{
    struct json_place place = *root;
    place.object = held;
    place.path = "$.held";
    GList *names = json_object_get_members(held);
    for (GList *item = names; item != NULL; item = item->next) {
        int64_t count =
            json_read_int(&place, item->data, 0, UINT32_MAX, 0, true);
        permits_record_set(record, item->data, (uint32_t)count);
    }
    g_list_free(names);
}

static void
parse_record(struct permits_record *record, const struct json_place *place)
{
    record->write = g_strdup(json_read_string(place, "write", true));
    record->generation =
        (uint64_t)json_read_int(place, "generation", 0, INT64_MAX, 0, true);
    record->limit =
        (uint32_t)json_read_int(place, "limit", 0, UINT32_MAX, 0, true);
    JsonObject *held = json_read_object(place, "held", true);
    if (held != NULL) {
        parse_holdings(record, place, held);
    }
}

struct permits_record *
permits_json_parse(const char *text, size_t size_bytes, struct status *status)
{
    struct findings *findings = findings_create();
    JsonNode *node =
        json_read_text(text, (int64_t)size_bytes, "permits", findings);
    struct permits_record *record = permits_record_create();
    if (node != NULL) {
        parse_record(record, &(struct json_place){json_node_get_object(node),
                                                  "permits", "$", findings});
        json_node_unref(node);
    }
    if (findings_count(findings) > 0) {
        const struct finding *first = findings_get(findings, 0);
        status_set(status, STATUS_INVALID, "%s: %s: %s", first->file,
                   first->path, first->reason);
        permits_record_destroy(record);
        record = NULL;
    }
    findings_destroy(findings);
    return record;
}
