#include "members_json.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "common/findings.h"
#include "common/json_read.h"
#include "common/json_write.h"

enum {
    TASK_LEASE_MAX_MS = 7 * 24 * 3600 * 1000,
};

static const char *const state_names[] = {
    [MEMBERS_LIVE] = "live",
    [MEMBERS_FENCED] = "fenced",
    [MEMBERS_DECLARED_DEAD] = "gone",
};

static char *
finish_json(JsonBuilder *builder)
{
    char *text = json_write_finish(builder, NULL);
    return text;
}

static void
add_entry(JsonBuilder *builder, const struct members_entry *entry)
{
    json_builder_set_member_name(builder, entry->incarnation);
    json_builder_begin_object(builder);
    json_write_text(builder, "name", entry->name);
    json_write_text(builder, "address", entry->address);
    json_write_text(builder, "dc", entry->dc);
    json_write_int(builder, "peer_port", entry->peer_port);
    json_write_int(builder, "http_port", entry->http_port);
    json_write_text(builder, "state", state_names[entry->state]);
    if (entry->lease_ms > 0) {
        json_write_int(builder, "lease_ms", entry->lease_ms);
    }
    json_builder_end_object(builder);
}

char *
members_json_format(const struct members_record *record)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_write_int(builder, "epoch", (int64_t)record->epoch);
    json_builder_set_member_name(builder, "members");
    json_builder_begin_object(builder);
    for (size_t i = 0; i < record->n_entries; i++) {
        add_entry(builder, &record->entries[i]);
    }
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    return finish_json(builder);
}

static bool
parse_state(const struct json_place *place, enum members_state *state)
{
    const char *text = json_read_string(place, "state", true);
    for (size_t i = 0; text != NULL && i < G_N_ELEMENTS(state_names); i++) {
        if (strcmp(text, state_names[i]) == 0) {
            *state = (enum members_state)i;
            return true;
        }
    }
    if (text != NULL) {
        findings_add(place->findings, place->file, place->path,
                     "unknown member state");
    }
    return false;
}

static void
parse_entry(struct members_record *record, const struct json_place *place,
            const char *incarnation)
{
    enum members_state state = MEMBERS_LIVE;
    bool has_state = parse_state(place, &state);
    struct members_entry entry = {
        .incarnation = (char *)incarnation,
        .name = (char *)json_read_string(place, "name", true),
        .address = (char *)json_read_string(place, "address", true),
        .dc = (char *)json_read_string(place, "dc", true),
        .peer_port = (uint16_t)json_read_int(place, "peer_port", 1, UINT16_MAX,
                                             0, true),
        .http_port = (uint16_t)json_read_int(place, "http_port", 1, UINT16_MAX,
                                             0, true),
        .state = state,
        .lease_ms =
            json_read_int(place, "lease_ms", 0, TASK_LEASE_MAX_MS, 0, false),
    };
    if (has_state && entry.name != NULL && entry.address != NULL &&
        entry.dc != NULL) {
        members_record_add(record, &entry);
    }
}

static void
parse_entries(struct members_record *record, const struct json_place *root,
              JsonObject *members)
{
    GList *names = json_object_get_members(members);
    for (GList *item = names; item != NULL; item = item->next) {
        char *path = g_strdup_printf("$.members.%s", (char *)item->data);
        struct json_place all = *root;
        all.object = members;
        all.path = "$.members";
        struct json_place place = *root;
        place.object = json_read_object(&all, item->data, true);
        place.path = path;
        parse_entry(record, &place, item->data);
        g_free(path);
    }
    g_list_free(names);
}

struct members_record *
members_json_parse(const char *text, size_t size_bytes, struct status *status)
{
    struct findings *findings = findings_create();
    JsonNode *node =
        json_read_text(text, (int64_t)size_bytes, "members", findings);
    struct members_record *record = members_record_create(0);
    if (node != NULL) {
        struct json_place place = {json_node_get_object(node), "members", "$",
                                   findings};
        record->epoch =
            (uint64_t)json_read_int(&place, "epoch", 1, INT64_MAX, 0, true);
        JsonObject *members = json_read_object(&place, "members", true);
        if (members != NULL) {
            parse_entries(record, &place, members);
        }
        json_node_unref(node);
    }
    if (findings_count(findings) > 0) {
        const struct finding *first = findings_get(findings, 0);
        status_set(status, STATUS_INVALID, "%s: %s: %s", first->file,
                   first->path, first->reason);
        members_record_destroy(record);
        record = NULL;
    }
    findings_destroy(findings);
    return record;
}

char *
renewal_json_format(uint64_t number, int64_t lease_ms)
{
    return g_strdup_printf("{\"beat\":%" PRIu64 ",\"lease_ms\":%" PRId64 "}",
                           number, lease_ms);
}

int64_t
renewal_json_lease_ms(const char *text, size_t size_bytes)
{
    struct findings *findings = findings_create();
    JsonNode *node =
        json_read_text(text, (int64_t)size_bytes, "beat", findings);
    int64_t lease_ms = 0;
    if (node != NULL) {
        struct json_place place = {json_node_get_object(node), "beat", "$",
                                   findings};
        lease_ms =
            json_read_int(&place, "lease_ms", 0, TASK_LEASE_MAX_MS, 0, true);
        json_node_unref(node);
    }
    findings_destroy(findings);
    return lease_ms;
}
