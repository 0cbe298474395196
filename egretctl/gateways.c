#include "gateways.h"

#include <libsoup/soup.h>
#include <string.h>

#include "common/json_read.h"
#include "common/request_auth.h"
#include "store/store_keys.h"

enum {
    RESPONSE_TIMEOUT_S = 2,
    CONNECTIONS_MAX = 64,
};

static void
gateway_destroy(void *data)
{
    struct gateway *gateway = data;
    g_free(gateway->incarnation);
    g_free(gateway->name);
    g_free(gateway->address);
    g_free(gateway->dc);
    g_free(gateway->state);
    g_free(gateway->error_text);
    g_clear_pointer(&gateway->response, json_node_unref);
    g_free(gateway);
}

static void
add_member(GPtrArray *gateways, const struct json_place *members,
           const char *incarnation)
{
    struct json_place place = *members;
    place.object = json_read_object(members, incarnation, true);
    struct gateway *gateway = g_new0(struct gateway, 1);
    gateway->incarnation = g_strdup(incarnation);
    gateway->name = g_strdup(json_read_string(&place, "name", true));
    gateway->address = g_strdup(json_read_string(&place, "address", true));
    gateway->dc = g_strdup(json_read_string(&place, "dc", true));
    gateway->state = g_strdup(json_read_string(&place, "state", true));
    gateway->http_port =
        (uint16_t)json_read_int(&place, "http_port", 1, UINT16_MAX, 0, true);
    g_ptr_array_add(gateways, gateway);
}

static int
compare_gateways(const void *a, const void *b)
{
    const struct gateway *x = *(const struct gateway *const *)a;
    const struct gateway *y = *(const struct gateway *const *)b;
    int order = g_strcmp0(x->name, y->name);
    return order != 0 ? order : strcmp(x->incarnation, y->incarnation);
}

static GPtrArray *
parse_members(const char *text, struct status *status)
{
    struct findings *findings = findings_create();
    GPtrArray *gateways = g_ptr_array_new_with_free_func(gateway_destroy);
    JsonNode *root = json_read_text(text, -1, "members", findings);
    if (root != NULL) {
        struct json_place place = {
            .object = json_node_get_object(root),
            .file = "members",
            .path = "$",
            .findings = findings,
        };
        struct json_place members = place;
        members.object = json_read_object(&place, "members", true);
        members.path = "$.members";
        GList *names = members.object == NULL
                           ? NULL
                           : json_object_get_members(members.object);
        for (GList *link = names; link != NULL; link = link->next) {
            add_member(gateways, &members, link->data);
        }
        g_list_free(names);
        json_node_unref(root);
    }
    if (findings_count(findings) > 0) {
        const struct finding *first = findings_get(findings, 0);
        status_set(status, STATUS_INVALID, "members record: %s: %s",
                   first->path, first->reason);
        g_ptr_array_unref(gateways);
        gateways = NULL;
    }
    findings_destroy(findings);
    return gateways;
}

GPtrArray *
gateways_fetch(struct ctl *ctl, struct status *status)
{
    struct ctl_entry entry = ctl_get(ctl, STORE_KEY_MEMBERS);
    GPtrArray *gateways = NULL;
    *status = entry.status;
    if (entry.status.code == STATUS_NOT_FOUND) {
        status_clear(status);
        gateways = g_ptr_array_new_with_free_func(gateway_destroy);
    }
    else if (status_ok(&entry.status)) {
        gateways = parse_members(entry.value, status);
    }
    ctl_entry_clear(&entry);
    if (gateways != NULL) {
        g_ptr_array_sort(gateways, compare_gateways);
    }
    return gateways;
}

/**
 * struct query_batch - requests sent to the gateways in parallel
 * @secret: signs the requests; NULL to send them unsigned
 * @pending: outstanding responses
 */
struct query_batch {
    struct ctl *ctl;
    SoupSession *session;
    char *secret;
    unsigned pending;
};

struct query {
    struct query_batch *batch;
    struct gateway *gateway;
    SoupMessage *message;
};

static void
store_response(struct gateway *gateway, unsigned http_status, GBytes *body)
{
    gsize size = 0;
    const char *bytes = g_bytes_get_data(body, &size);
    if (http_status != SOUP_STATUS_OK) {
        gateway->error_text = g_strdup_printf("HTTP status %u", http_status);
        return;
    }
    struct findings *findings = findings_create();
    gateway->response =
        json_read_text(bytes, (int64_t)size, "response", findings);
    if (gateway->response == NULL) {
        gateway->error_text = g_strdup("malformed response");
    }
    findings_destroy(findings);
}

static void
on_response(GObject *source, GAsyncResult *result, void *data)
{
    struct query *query = data;
    GError *error = NULL;
    GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                     result, &error);
    if (body == NULL) {
        query->gateway->error_text = g_strdup(error->message);
        g_error_free(error);
    }
    else {
        store_response(query->gateway, soup_message_get_status(query->message),
                       body);
        g_bytes_unref(body);
    }
    query->batch->pending--;
    if (query->batch->pending == 0) {
        g_main_loop_quit(query->batch->ctl->loop);
    }
    g_object_unref(query->message);
    g_free(query);
}

static void
query_gateway(struct query_batch *batch, struct gateway *gateway,
              const char *path)
{
    struct query *query = g_new0(struct query, 1);
    char *url = g_strdup_printf("http://%s:%u%s", gateway->address,
                                gateway->http_port, path);
    query->batch = batch;
    query->gateway = gateway;
    query->message = soup_message_new("GET", url);
    g_free(url);
    if (query->message == NULL) {
        gateway->error_text =
            g_strdup("malformed address in the members record");
        g_free(query);
        return;
    }
    SoupMessageHeaders *headers =
        soup_message_get_request_headers(query->message);
    if (batch->secret != NULL) {
        char *value = request_auth_sign(batch->secret, "GET", path, NULL);
        soup_message_headers_replace(headers, "Egret-Auth", value);
        g_free(value);
    }
    soup_message_headers_replace(headers, "Connection", "close");
    batch->pending++;
    soup_session_send_and_read_async(batch->session, query->message,
                                     G_PRIORITY_DEFAULT, NULL, on_response,
                                     query);
}

static char *
read_secret(const struct ctl *ctl)
{
    char *text = NULL;
    GError *error = NULL;
    if (ctl->options.secret_file == NULL) {
        return NULL;
    }
    if (!g_file_get_contents(ctl->options.secret_file, &text, NULL, &error)) {
        ctl_fail(CTL_USAGE, "%s", error->message);
        g_error_free(error);
        return NULL;
    }
    return g_strstrip(text);
}

void
gateways_query(struct ctl *ctl, GPtrArray *gateways, const char *path)
{
    struct query_batch batch = {
        .ctl = ctl,
        .secret = read_secret(ctl),
        .session = soup_session_new_with_options(
            "timeout", RESPONSE_TIMEOUT_S, "max-conns", CONNECTIONS_MAX,
            "max-conns-per-host", CONNECTIONS_MAX, NULL),
    };
    for (guint i = 0; i < gateways->len; i++) {
        struct gateway *gateway = g_ptr_array_index(gateways, i);
        g_clear_pointer(&gateway->response, json_node_unref);
        g_clear_pointer(&gateway->error_text, g_free);
        if (g_strcmp0(gateway->state, "live") == 0) {
            query_gateway(&batch, gateway, path);
        }
        else {
            gateway->error_text = g_strdup("not live");
        }
    }
    if (batch.pending > 0) {
        g_main_loop_run(ctl->loop);
    }
    g_object_unref(batch.session);
    g_free(batch.secret);
}

static JsonNode *
value_member(const struct gateway *gateway, const char *member, GType type)
{
    if (gateway->response == NULL) {
        return NULL;
    }
    JsonNode *node = json_object_get_member(
        json_node_get_object(gateway->response), member);
    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != type) {
        return NULL;
    }
    return node;
}

const char *
gateway_response_string(const struct gateway *gateway, const char *member)
{
    JsonNode *node = value_member(gateway, member, G_TYPE_STRING);
    return node == NULL ? NULL : json_node_get_string(node);
}

int64_t
gateway_response_int(const struct gateway *gateway, const char *member)
{
    JsonNode *node = value_member(gateway, member, G_TYPE_INT64);
    return node == NULL ? -1 : json_node_get_int(node);
}

bool
gateway_response_bool(const struct gateway *gateway, const char *member)
{
    JsonNode *node = value_member(gateway, member, G_TYPE_BOOLEAN);
    return node != NULL && json_node_get_boolean(node);
}
