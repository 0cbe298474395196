#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "load.h"

enum {
    VIOLATIONS_PRINTED_MAX = 20
};

static void
check(struct load_checks *checks, bool holds, const char *rule,
      const char *what)
{
    checks->checked++;
    if (holds) {
        return;
    }
    checks->violated++;
    if (checks->violated <= VIOLATIONS_PRINTED_MAX) {
        fprintf(stderr, "violated: %s: %s\n", rule, what);
    }
}

static JsonNode *
fetch(SoupSession *session, const char *admin, const char *path)
{
    char *uri = g_strdup_printf("http://%s%s", admin, path);
    SoupMessage *message = soup_message_new(SOUP_METHOD_GET, uri);
    GError *error = NULL;
    GBytes *response =
        soup_session_send_and_read(session, message, NULL, &error);
    JsonNode *root = NULL;
    if (response != NULL) {
        gsize size_bytes = 0;
        const char *data = g_bytes_get_data(response, &size_bytes);
        char *text = g_strndup(data, size_bytes);
        root = json_from_string(text, &error);
        g_free(text);
        g_bytes_unref(response);
    }
    if (error != NULL) {
        fprintf(stderr, "%s: %s\n", uri, error->message);
        g_error_free(error);
    }
    g_object_unref(message);
    g_free(uri);
    return root;
}

static void
check_limits(struct load *load, JsonObject *summary,
             struct load_checks *checks)
{
    JsonObject *teams = json_object_get_object_member(summary, "teams");
    for (guint i = 0; i < load->teams->len; i++) {
        struct load_team *team = g_ptr_array_index(load->teams, i);
        JsonNode *node = json_object_get_member(teams, team->name);
        if (node != NULL) {
            team->running_peak = (uint32_t)json_object_get_int_member(
                json_node_get_object(node), "running_high");
        }
        if (team->max_running > 0) {
            char *what =
                g_strdup_printf("team %s ran %u, limit %u", team->name,
                                team->running_peak, team->max_running);
            check(checks, team->running_peak <= team->max_running,
                  "running within the limit", what);
            g_free(what);
        }
    }
}

static void
count_runs(struct load *load, JsonArray *records, struct load_checks *checks)
{
    GHashTable *by_tag = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < load->requests->len; i++) {
        struct load_request *request = g_ptr_array_index(load->requests, i);
        g_hash_table_insert(by_tag, request->tag, request);
    }
    for (guint i = 0; i < json_array_get_length(records); i++) {
        JsonObject *record = json_array_get_object_element(records, i);
        const char *tag = json_object_get_string_member(record, "tag");
        struct load_request *request = g_hash_table_lookup(by_tag, tag);
        if (request == NULL) {
            continue;
        }
        request->runs++;
        check(checks,
              g_str_equal(json_object_get_string_member(record, "team"),
                          request->team->name),
              "run is recorded for the team of the key", tag);
    }
    g_hash_table_destroy(by_tag);
}

static void
check_request(const struct load *load, const struct load_request *request,
              struct load_checks *checks)
{
    char *what = g_strdup_printf(
        "%s runs=%u status=%u reason=%s", request->tag, request->runs,
        request->status, request->reason == NULL ? "-" : request->reason);
    check(checks,
          request->outcome != LOAD_PENDING &&
              (request->outcome != LOAD_LOST || load->allow_lost),
          "every request has an outcome", what);
    if (!request->idempotent) {
        check(checks, request->runs <= 1, "not idempotent: runs at most once",
              what);
    }
    if (request->outcome == LOAD_NOT_RUN) {
        check(checks, request->runs == 0, "not-run: did not run", what);
    }
    if (request->outcome == LOAD_DONE) {
        check(checks, request->response_valid,
              "done: complete response to its own request", what);
        check(checks, request->runs >= 1, "done: did run", what);
    }
    g_free(what);
}

struct load_checks
load_check(struct load *load, const char *admin)
{
    struct load_checks checks = {0};
    SoupSession *session = soup_session_new();
    JsonNode *summary = fetch(session, admin, "/standin/summary");
    JsonNode *records = fetch(session, admin, "/standin/records");
    g_object_unref(session);
    if (summary == NULL || records == NULL) {
        check(&checks, false, "records of standin-backend can be read", admin);
        return checks;
    }
    check_limits(load, json_node_get_object(summary), &checks);
    count_runs(load, json_node_get_array(records), &checks);
    for (guint i = 0; i < load->requests->len; i++) {
        check_request(load, g_ptr_array_index(load->requests, i), &checks);
    }
    json_node_unref(summary);
    json_node_unref(records);
    return checks;
}
