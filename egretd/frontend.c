#include "egretd/frontend.h"

#include <libsoup/soup.h>
#include <string.h>

#include "egretd/connections.h"
#include "egretd/operator_api.h"
#include "egretd/submit.h"

struct frontend {
    struct frontend_options options;
    SoupServer *server;
    struct connections *connections;
    uint16_t port;
};

/* Part of @path between @prefix and @suffix, or NULL if they don't match or
 * nothing is between them; free it with g_free(). */
static char *
path_between(const char *path, const char *prefix, const char *suffix)
{
    size_t prefix_bytes = strlen(prefix);
    size_t suffix_bytes = strlen(suffix);
    size_t size_bytes = strlen(path);
    if (size_bytes <= prefix_bytes + suffix_bytes ||
        !g_str_has_prefix(path, prefix) || !g_str_has_suffix(path, suffix)) {
        return NULL;
    }
    return g_strndup(path + prefix_bytes,
                     size_bytes - prefix_bytes - suffix_bytes);
}

static void
reply_error(SoupServerMessage *message, unsigned status)
{
    char *text =
        g_strdup_printf("{\"error\":\"%s\"}", soup_status_get_phrase(status));
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
}

static void
note_response(SoupServerMessage *message)
{
    connection_response_ready(
        message, soup_server_message_get_response_body(message)->length);
}

static void
on_head(SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, void *data)
{
    struct frontend *frontend = data;
    (void)server;
    (void)query;
    bool refused = submit_check_head(&frontend->options, message, path);
    if (!refused && !connections_admit(frontend->connections, message)) {
        submit_refuse_memory(&frontend->options, message);
        refused = true;
    }
    if (refused) {
        connection_drop_body(message);
        note_response(message);
    }
}

static bool
route_post(struct frontend *frontend, SoupServerMessage *message,
           const char *path)
{
    char *queue = path_between(path, "/v1/queues/", "/tasks");
    if (queue != NULL) {
        submit_task(&frontend->options, message, queue);
        g_free(queue);
        return true;
    }
    queue = path_between(path, "/v1/forward/", "");
    if (queue != NULL) {
        submit_forwarded(&frontend->options, message, path, queue);
        g_free(queue);
        return true;
    }
    return false;
}

static bool
route_get(struct frontend *frontend, SoupServerMessage *message,
          const char *path)
{
    if (g_str_equal(path, "/healthz")) {
        operator_health(&frontend->options, message);
        return true;
    }
    if (g_str_equal(path, "/metrics")) {
        connections_update_metrics(frontend->connections);
        operator_metrics(&frontend->options, message);
        return true;
    }
    if (g_str_equal(path, "/v1/status")) {
        operator_status(&frontend->options, message, path);
        return true;
    }
    if (g_str_has_prefix(path, "/v1/ids/")) {
        operator_id_query(&frontend->options, message, path);
        return true;
    }
    char *queue = path_between(path, "/v1/explain/", "");
    if (queue != NULL) {
        operator_explain(&frontend->options, message, path, queue);
        g_free(queue);
        return true;
    }
    return false;
}

static bool
route_delete(struct frontend *frontend, SoupServerMessage *message,
             const char *path)
{
    char *id = path_between(path, "/v1/requests/", "");
    if (id == NULL) {
        return false;
    }
    submit_cancel(&frontend->options, message, id);
    g_free(id);
    return true;
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, void *data)
{
    struct frontend *frontend = data;
    const char *method = soup_server_message_get_method(message);
    bool routed = false;
    (void)server;
    (void)query;
    if (method == SOUP_METHOD_POST) {
        routed = route_post(frontend, message, path);
    }
    else if (method == SOUP_METHOD_GET) {
        routed = route_get(frontend, message, path);
    }
    else if (method == SOUP_METHOD_DELETE) {
        routed = route_delete(frontend, message, path);
    }
    if (!routed) {
        reply_error(message, SOUP_STATUS_NOT_FOUND);
    }
    if (soup_server_message_get_status(message) != 0) {
        note_response(message);
    }
}

struct frontend *
frontend_create(const struct frontend_options *options, struct status *status)
{
    struct frontend *frontend = g_new0(struct frontend, 1);
    frontend->options = *options;
    frontend->server = soup_server_new("server-header", "egretd", NULL);
    frontend->connections = connections_create(&(struct connections_options){
        .server = frontend->server,
        .settings = options->settings,
        .counters = options->counters,
        .clock = ms_clock_system(),
    });
    soup_server_add_early_handler(frontend->server, NULL, on_head, frontend,
                                  NULL);
    soup_server_add_handler(frontend->server, NULL, on_request, frontend,
                            NULL);
    if (frontend->connections == NULL) {
        status_set(status, STATUS_INTERNAL,
                   "cannot create an epoll descriptor");
        frontend_destroy(frontend);
        return NULL;
    }
    frontend->port = connections_listen(frontend->connections, status);
    if (frontend->port == 0) {
        frontend_destroy(frontend);
        return NULL;
    }
    return frontend;
}

void
frontend_stop_listening(struct frontend *frontend)
{
    connections_stop_listening(frontend->connections);
}

void
frontend_destroy(struct frontend *frontend)
{
    if (frontend == NULL) {
        return;
    }
    soup_server_disconnect(frontend->server);
    g_object_unref(frontend->server);
    connections_destroy(frontend->connections);
    g_free(frontend);
}

uint16_t
frontend_port(const struct frontend *frontend)
{
    return frontend->port;
}
