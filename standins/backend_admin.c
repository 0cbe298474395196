#include <json-glib/json-glib.h>
#include <string.h>

#include "backend.h"

static void
respond_json(SoupServerMessage *message, char *text)
{
    soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
}

static bool
read_bool(JsonObject *faults, const char *name, bool present)
{
    if (!json_object_has_member(faults, name)) {
        return present;
    }
    return json_object_get_boolean_member(faults, name);
}

static void
apply_faults(struct backend_host *host, JsonObject *faults)
{
    bool was_down = host->faults.down;
    host->faults.fail = read_bool(faults, "fail", host->faults.fail);
    host->faults.leaving = read_bool(faults, "leaving", host->faults.leaving);
    host->faults.full = read_bool(faults, "full", host->faults.full);
    host->faults.hang = read_bool(faults, "hang", host->faults.hang);
    host->faults.down = read_bool(faults, "down", host->faults.down);
    host->faults.extra_ms = json_object_get_int_member_with_default(
        faults, "extra_ms", host->faults.extra_ms);
    if (host->faults.down && !was_down) {
        backend_host_close(host);
    }
    else if (!host->faults.down && was_down) {
        backend_host_listen(host);
    }
}

static bool
matches(JsonObject *faults, const char *member, const char *value)
{
    const char *wanted =
        json_object_get_string_member_with_default(faults, member, NULL);
    return wanted == NULL || g_str_equal(wanted, value);
}

/* Applies @faults to the hosts that match all of its members "host", "rack",
 * "dc" and "pool"; without any of these, to every host. */
static guint
set_faults(struct backend *backend, JsonObject *faults)
{
    guint changed = 0;
    for (guint i = 0; i < backend->hosts->len; i++) {
        struct backend_host *host = g_ptr_array_index(backend->hosts, i);
        if (matches(faults, "host", host->name) &&
            matches(faults, "rack", host->rack) &&
            matches(faults, "dc", host->dc) &&
            matches(faults, "pool", host->pool)) {
            apply_faults(host, faults);
            changed++;
        }
    }
    return changed;
}

static void
handle_faults(struct backend *backend, SoupServerMessage *message)
{
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    JsonNode *root = json_from_string(body->data, NULL);
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        soup_server_message_set_status(message, SOUP_STATUS_BAD_REQUEST, NULL);
        g_clear_pointer(&root, json_node_unref);
        return;
    }
    guint changed = set_faults(backend, json_node_get_object(root));
    json_node_unref(root);
    respond_json(message, g_strdup_printf("{\"hosts\": %u}\n", changed));
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    struct backend *backend = data;
    if (g_str_equal(path, "/standin/records")) {
        respond_json(message, backend_runs_json(backend));
    }
    else if (g_str_equal(path, "/standin/summary")) {
        respond_json(message, backend_summary_json(backend));
    }
    else if (g_str_equal(path, "/standin/hosts")) {
        respond_json(message, backend_hosts_json(backend));
    }
    else if (g_str_equal(path, "/standin/mode")) {
        handle_faults(backend, message);
    }
    else if (g_str_equal(path, "/standin/restart-highs")) {
        backend_peaks_reset(backend);
        respond_json(message, g_strdup("{}\n"));
    }
    else {
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, NULL);
    }
}

void
backend_admin_serve(struct backend *backend)
{
    soup_server_add_handler(backend->admin, NULL, on_request, backend, NULL);
}
