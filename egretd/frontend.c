#include "egretd/frontend.h"

#include <libsoup/soup.h>
#include <string.h>

#include "egretd/connections.h"
#include "egretd/operator_api.h"
#include "egretd/submit.h"

enum {
    /* With libsoup's own backlog of 10, callers under load wait a second for
     * their connection. */
    LISTEN_BACKLOG = 1024,
};

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
on_head(SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, void *data)
{
    struct frontend *frontend = data;
    (void)server;
    (void)query;
    submit_check_head(&frontend->options, message, path);
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
}

static GSocket *
open_socket(const struct settings *settings, GError **error)
{
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        settings->address, settings->http_port);
    GSocket *socket =
        g_socket_new(g_socket_address_get_family(address),
                     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
    if (socket != NULL) {
        g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
        if (!g_socket_bind(socket, address, TRUE, error) ||
            !g_socket_listen(socket, error)) {
            g_clear_object(&socket);
        }
    }
    g_object_unref(address);
    return socket;
}

static bool
start_listening(struct frontend *frontend, struct status *status)
{
    const struct settings *settings = frontend->options.settings;
    GError *error = NULL;
    GSocket *socket = open_socket(settings, &error);
    if (socket == NULL ||
        !soup_server_listen_socket(frontend->server, socket, 0, &error)) {
        status_set(status, STATUS_UNAVAILABLE, "cannot listen on %s:%u: %s",
                   settings->address, settings->http_port, error->message);
        g_error_free(error);
        g_clear_object(&socket);
        return false;
    }
    GSocketAddress *bound = g_socket_get_local_address(socket, NULL);
    frontend->port =
        g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
    g_object_unref(bound);
    g_object_unref(socket);
    return true;
}

struct frontend *
frontend_create(const struct frontend_options *options, struct status *status)
{
    struct frontend *frontend = g_new0(struct frontend, 1);
    frontend->options = *options;
    frontend->server = soup_server_new("server-header", "egretd", NULL);
    frontend->connections = connections_create(frontend->server);
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
    if (!start_listening(frontend, status)) {
        frontend_destroy(frontend);
        return NULL;
    }
    return frontend;
}

void
frontend_stop_listening(struct frontend *frontend)
{
    GSList *listeners = soup_server_get_listeners(frontend->server);
    for (GSList *link = listeners; link != NULL; link = link->next) {
        g_socket_close(link->data, NULL);
    }
    g_slist_free(listeners);
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
