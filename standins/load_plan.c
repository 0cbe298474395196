#include <stdio.h>

#include "load.h"

enum {
    DURATION_DEFAULT_MS = 3000,
    TIMEOUT_DEFAULT_MS = 20000,
    BACKOFF_DEFAULT_MS = 20,
};

static JsonNode *
read_json_file(const char *file)
{
    GError *error = NULL;
    JsonParser *parser = json_parser_new();
    JsonNode *root = NULL;
    if (json_parser_load_from_file(parser, file, &error)) {
        root = json_parser_steal_root(parser);
    }
    else {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
    }
    g_object_unref(parser);
    return root;
}

static char **
read_queues(JsonObject *object)
{
    JsonArray *array = json_object_get_array_member(object, "queues");
    guint n = json_array_get_length(array);
    char **queues = g_new0(char *, n + 1);
    for (guint i = 0; i < n; i++) {
        queues[i] = g_strdup(json_array_get_string_element(array, i));
    }
    return queues;
}

static struct load_team *
read_team(struct load *load, JsonObject *object)
{
    struct load_team *team = g_new0(struct load_team, 1);
    *team = (struct load_team){
        .load = load,
        .name = g_strdup(json_object_get_string_member(object, "team")),
        .key = g_strdup(
            json_object_get_string_member_with_default(object, "key", NULL)),
        .queues = read_queues(object),
        .body = g_strdup(
            json_object_get_string_member_with_default(object, "body", "")),
        .concurrency = (uint32_t)json_object_get_int_member_with_default(
            object, "concurrency", 0),
        .rate_per_s = json_object_get_double_member_with_default(
            object, "rate_per_s", 0),
        .idempotent_permille =
            (uint32_t)json_object_get_int_member_with_default(
                object, "idempotent_permille", 0),
        .target =
            json_object_get_int_member_with_default(object, "target", -1),
        .send_ids =
            json_object_get_boolean_member_with_default(object, "ids", FALSE),
        .competes = json_object_get_boolean_member_with_default(
            object, "contends", FALSE),
        .backoff_ms = json_object_get_int_member_with_default(
            object, "backoff_ms", BACKOFF_DEFAULT_MS),
    };
    return team;
}

bool
load_plan_read(struct load *load, const char *file)
{
    JsonNode *root = read_json_file(file);
    if (root == NULL) {
        return false;
    }
    JsonObject *plan = json_node_get_object(root);
    load->duration_ms = json_object_get_int_member_with_default(
        plan, "duration_ms", DURATION_DEFAULT_MS);
    load->timeout_ms = json_object_get_int_member_with_default(
        plan, "timeout_ms", TIMEOUT_DEFAULT_MS);
    load->seed =
        (uint64_t)json_object_get_int_member_with_default(plan, "seed", 1);
    load->allow_lost = json_object_get_boolean_member_with_default(
        plan, "lost_allowed", FALSE);
    load->direct =
        json_object_get_boolean_member_with_default(plan, "direct", FALSE);
    JsonArray *teams = json_object_get_array_member(plan, "teams");
    for (guint i = 0; i < json_array_get_length(teams); i++) {
        JsonObject *object = json_array_get_object_element(teams, i);
        g_ptr_array_add(load->teams, read_team(load, object));
    }
    json_node_unref(root);
    return true;
}

static void
apply_team_config(struct load *load, JsonObject *object)
{
    const char *name = json_object_get_string_member(object, "name");
    for (guint i = 0; i < load->teams->len; i++) {
        struct load_team *team = g_ptr_array_index(load->teams, i);
        if (g_strcmp0(team->name, name) == 0) {
            team->share_permille =
                (uint32_t)json_object_get_int_member_with_default(
                    object, "share_permille", 0);
            team->max_running =
                (uint32_t)json_object_get_int_member_with_default(
                    object, "max_running", 0);
        }
    }
}

bool
load_config_read(struct load *load, const char *file)
{
    JsonNode *root = read_json_file(file);
    if (root == NULL) {
        return false;
    }
    JsonArray *teams =
        json_object_get_array_member(json_node_get_object(root), "teams");
    for (guint i = 0; i < json_array_get_length(teams); i++) {
        apply_team_config(load, json_array_get_object_element(teams, i));
    }
    json_node_unref(root);
    return true;
}
