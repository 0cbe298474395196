#include "store_control.h"

#include <string.h>

#include "common/json_read.h"

static void
respond(SoupServerMessage *message, unsigned status, const char *text)
{
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, text, strlen(text));
}

static void
set_hosts(const struct store_control *control, SoupServerMessage *message)
{
    GBytes *body = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize size_bytes = 0;
    const char *bytes = g_bytes_get_data(body, &size_bytes);
    char *text = g_strndup(bytes, size_bytes);
    JsonNode *node = json_from_string(text, NULL);
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        respond(message, SOUP_STATUS_BAD_REQUEST,
                "host list is not a JSON array");
    }
    else {
        store_hosts_set(control->hosts, text, control->faults->lag_hosts_ms);
        respond(message, SOUP_STATUS_OK, "true");
    }
    g_clear_pointer(&node, json_node_unref);
    g_free(text);
    g_bytes_unref(body);
}

static void
set_faults(const struct store_control *control, SoupServerMessage *message)
{
    GBytes *body = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize size_bytes = 0;
    const char *bytes = g_bytes_get_data(body, &size_bytes);
    struct findings *findings = findings_create();
    JsonNode *root =
        json_read_text(bytes, (int64_t)size_bytes, "faults", findings);
    if (root != NULL && store_faults_read(control->faults, root, findings)) {
        respond(message, SOUP_STATUS_OK, "true");
        if (control->faults->silence_watches) {
            control->stall_watches(control->ctx);
        }
    }
    else {
        respond(message, SOUP_STATUS_BAD_REQUEST,
                findings_get(findings, 0)->reason);
    }
    g_clear_pointer(&root, json_node_unref);
    findings_destroy(findings);
    g_bytes_unref(body);
}

void
store_control_serve(const struct store_control *control,
                    SoupServerMessage *message, const char *path)
{
    bool put = soup_server_message_get_method(message) == SOUP_METHOD_PUT;
    if (put && g_str_equal(path, "/standin/hosts")) {
        set_hosts(control, message);
        return;
    }
    if (put && g_str_equal(path, "/standin/faults")) {
        set_faults(control, message);
        return;
    }
    if (!put && g_str_equal(path, "/standin/stats")) {
        char *text = store_stats_render(control->stats);
        respond(message, SOUP_STATUS_OK, text);
        g_free(text);
        return;
    }
    respond(message, SOUP_STATUS_NOT_FOUND, "");
}
