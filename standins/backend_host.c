#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend.h"

enum {
    BACKLOG_CONNECTIONS = 512,
    /* POLLRDHUP; GIOCondition has no name for it. */
    PEER_CLOSED = 0x2000,
};

static void
remove_socket(gpointer data, GObject *socket)
{
    struct backend_host *host = data;
    g_hash_table_remove(host->open_sockets, socket);
}

/* libsoup does not notice that a client has closed an idle connection. */
static gboolean
on_hang_up(gint fd, GIOCondition condition, gpointer data)
{
    GSocket *socket = data;
    g_socket_close(socket, NULL);
    return G_SOURCE_REMOVE;
}

static void
watch_hang_up(struct backend_host *host, GSocket *socket)
{
    g_object_weak_ref(G_OBJECT(socket), remove_socket, host);
    g_unix_fd_add_full(G_PRIORITY_LOW, g_socket_get_fd(socket),
                       (GIOCondition)PEER_CLOSED, on_hang_up,
                       g_object_ref(socket), g_object_unref);
}

static gboolean
is_closed(gpointer socket, gpointer value, gpointer data)
{
    if (!g_socket_is_closed(socket)) {
        return FALSE;
    }
    g_object_weak_unref(socket, remove_socket, data);
    return TRUE;
}

static void
on_request_started(SoupServer *server, SoupServerMessage *message,
                   gpointer data)
{
    struct backend_host *host = data;
    GSocket *socket = soup_server_message_get_socket(message);
    if (socket == NULL || g_hash_table_contains(host->open_sockets, socket)) {
        return;
    }
    g_hash_table_foreach_remove(host->open_sockets, is_closed, host);
    uint32_t open_sockets = g_hash_table_size(host->open_sockets);
    if (open_sockets >= host->connections) {
        host->refused_connections++;
        g_socket_shutdown(socket, TRUE, TRUE, NULL);
        return;
    }
    host->open_peak = MAX(host->open_peak, open_sockets + 1);
    g_hash_table_add(host->open_sockets, socket);
    watch_hang_up(host, socket);
}

static GSocket *
open_socket(uint16_t port, GError **error)
{
    GInetAddress *loopback = g_inet_address_new_from_string("127.0.0.1");
    GSocketAddress *address = g_inet_socket_address_new(loopback, port);
    GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, error);
    if (socket != NULL) {
        g_socket_set_listen_backlog(socket, BACKLOG_CONNECTIONS);
        if (!g_socket_bind(socket, address, TRUE, error) ||
            !g_socket_listen(socket, error)) {
            g_clear_object(&socket);
        }
    }
    g_object_unref(address);
    g_object_unref(loopback);
    return socket;
}

static uint16_t
bound_port(GSocket *socket)
{
    GSocketAddress *local = g_socket_get_local_address(socket, NULL);
    uint16_t port =
        g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local));
    g_object_unref(local);
    return port;
}

bool
backend_host_listen(struct backend_host *host)
{
    GError *error = NULL;
    GSocket *socket = open_socket(host->port, &error);
    if (host->server == NULL) {
        host->server = soup_server_new(NULL, NULL);
        backend_tasks_serve(host);
        g_signal_connect(host->server, "request-started",
                         G_CALLBACK(on_request_started), host);
    }
    bool listening = socket != NULL && soup_server_listen_socket(
                                           host->server, socket, 0, &error);
    if (listening) {
        host->port = bound_port(socket);
    }
    else {
        fprintf(stderr, "%s: %s\n", host->name, error->message);
        g_error_free(error);
    }
    g_clear_object(&socket);
    return listening;
}

void
backend_host_close(struct backend_host *host)
{
    soup_server_disconnect(host->server);
    GList *open_sockets = g_hash_table_get_keys(host->open_sockets);
    for (GList *link = open_sockets; link != NULL; link = link->next) {
        g_socket_shutdown(link->data, TRUE, TRUE, NULL);
    }
    g_list_free(open_sockets);
}

static void
make_host(struct backend *backend, const struct backend_layout *layout,
          const char *pool, const char *dc, uint32_t number)
{
    struct backend_host *host = g_new0(struct backend_host, 1);
    host->backend = backend;
    host->name = g_strdup_printf("w-%s-%02u", dc, number);
    host->dc = g_strdup(dc);
    host->rack =
        g_strdup_printf("%s-r%u", dc, (number - 1) / layout->rack_size + 1);
    host->pool = g_strdup(pool);
    host->slots = layout->slots;
    host->connections = layout->connections;
    host->open_sockets = g_hash_table_new(NULL, NULL);
    if (layout->port_base != 0) {
        host->port = (uint16_t)(layout->port_base + backend->hosts->len);
    }
    g_ptr_array_add(backend->hosts, host);
}

static bool
make_pool(struct backend *backend, const struct backend_layout *layout,
          char **dcs, uint32_t *dc_sizes, const char *text)
{
    char **parts = g_strsplit(text, ":", 2);
    uint32_t n_dcs = g_strv_length(dcs);
    bool valid = parts[0] != NULL && parts[1] != NULL;
    uint64_t count = valid ? g_ascii_strtoull(parts[1], NULL, 10) : 0;
    /* Start at the data centre with the fewest hosts: pool sizes that aren't
     * a multiple of the number of data centres still spread evenly. */
    uint32_t first = 0;
    for (uint32_t i = 1; i < n_dcs; i++) {
        first = dc_sizes[i] < dc_sizes[first] ? i : first;
    }
    for (uint64_t i = 0; i < count; i++) {
        uint32_t dc = (uint32_t)((first + i) % n_dcs);
        make_host(backend, layout, parts[0], dcs[dc], ++dc_sizes[dc]);
    }
    g_strfreev(parts);
    return valid && count > 0;
}

bool
backend_layout_make(struct backend *backend,
                    const struct backend_layout *layout)
{
    char **dcs = g_strsplit(layout->dcs, ",", -1);
    char **pools = g_strsplit(layout->pools, ",", -1);
    uint32_t *dc_sizes = g_new0(uint32_t, g_strv_length(dcs) + 1);
    bool made = g_strv_length(dcs) > 0 && layout->rack_size > 0;
    for (char **pool = pools; made && *pool != NULL; pool++) {
        made = make_pool(backend, layout, dcs, dc_sizes, *pool);
    }
    if (!made) {
        fprintf(stderr,
                "invalid layout: pools \"%s\" in data centres \"%s\"\n",
                layout->pools, layout->dcs);
    }
    for (guint i = 0; made && i < backend->hosts->len; i++) {
        made = backend_host_listen(g_ptr_array_index(backend->hosts, i));
    }
    g_free(dc_sizes);
    g_strfreev(pools);
    g_strfreev(dcs);
    return made;
}

char *
backend_hosts_json(const struct backend *backend)
{
    GString *text = g_string_new("[");
    for (guint i = 0; i < backend->hosts->len; i++) {
        const struct backend_host *host = g_ptr_array_index(backend->hosts, i);
        g_string_append_printf(
            text,
            "%s\n{\"Node\": {\"Node\": \"%s\", \"Datacenter\": \"%s\", "
            "\"Meta\": {\"rack\": \"%s\"}}, \"Service\": {\"Address\": "
            "\"127.0.0.1\", \"Port\": %u, \"Meta\": {\"slots\": \"%u\", "
            "\"connections\": \"%u\", \"state\": \"%s\", \"pool\": "
            "\"%s\"}}, \"Checks\": [{\"Status\": \"%s\"}]}",
            i == 0 ? "" : ",", host->name, host->dc, host->rack, host->port,
            host->slots, host->connections,
            host->faults.leaving ? "leaving" : "live", host->pool,
            host->faults.down ? "critical" : "passing");
    }
    g_string_append(text, "\n]\n");
    return g_string_free(text, FALSE);
}
