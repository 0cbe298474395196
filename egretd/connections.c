#include "egretd/connections.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#define CONNECTION_DATA "egret-connection"

enum {
    EVENTS_PER_WAKE_MAX = 64,
};

/* One epoll descriptor for all connections: the main loop checks each of its
 * sources in every iteration, which is slow with hundreds of them. */
struct connections {
    int epoll_fd;
    guint event_source;
};

struct connection {
    /* Not a reference: the socket owns this struct. */
    GSocket *socket;
    void (*hang_up)(void *ctx);
    void *ctx;
};

static void
close_connection(struct connection *connection)
{
    GSocket *socket = g_object_ref(connection->socket);
    void (*hang_up)(void *ctx) = connection->hang_up;
    connection->hang_up = NULL;
    if (hang_up != NULL) {
        hang_up(connection->ctx);
    }
    /* Closing also removes the descriptor from the epoll set. */
    g_socket_close(socket, NULL);
    g_object_unref(socket);
}

static gboolean
on_events(gint fd, GIOCondition condition, void *data)
{
    struct epoll_event event;
    (void)condition;
    (void)data;
    /* One at a time: closing one connection may free another whose event would
     * already have been read. */
    for (int i = 0; i < EVENTS_PER_WAKE_MAX; i++) {
        if (epoll_wait(fd, &event, 1, 0) != 1) {
            return G_SOURCE_CONTINUE;
        }
        close_connection(event.data.ptr);
    }
    return G_SOURCE_CONTINUE;
}

static void
watch_socket(struct connections *connections, GSocket *socket)
{
    struct connection *connection = g_new0(struct connection, 1);
    struct epoll_event event = {
        .events = EPOLLRDHUP | EPOLLONESHOT,
        .data.ptr = connection,
    };
    connection->socket = socket;
    g_object_set_data_full(G_OBJECT(socket), CONNECTION_DATA, connection,
                           g_free);
    epoll_ctl(connections->epoll_fd, EPOLL_CTL_ADD, g_socket_get_fd(socket),
              &event);
}

static void
on_request_started(SoupServer *server, SoupServerMessage *message, void *data)
{
    GSocket *socket = soup_server_message_get_socket(message);
    (void)server;
    if (socket != NULL &&
        g_object_get_data(G_OBJECT(socket), CONNECTION_DATA) == NULL) {
        watch_socket(data, socket);
    }
}

struct connections *
connections_create(SoupServer *server)
{
    int epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (epoll_fd < 0) {
        return NULL;
    }
    struct connections *connections = g_new0(struct connections, 1);
    connections->epoll_fd = epoll_fd;
    connections->event_source =
        g_unix_fd_add(epoll_fd, G_IO_IN, on_events, NULL);
    g_signal_connect(server, "request-started", G_CALLBACK(on_request_started),
                     connections);
    return connections;
}

void
connections_destroy(struct connections *connections)
{
    if (connections == NULL) {
        return;
    }
    g_source_remove(connections->event_source);
    close(connections->epoll_fd);
    g_free(connections);
}

void
connection_set_hang_up_handler(SoupServerMessage *message,
                               void (*hang_up)(void *ctx), void *ctx)
{
    GSocket *socket = soup_server_message_get_socket(message);
    struct connection *connection =
        socket == NULL ? NULL
                       : g_object_get_data(G_OBJECT(socket), CONNECTION_DATA);
    if (connection != NULL) {
        connection->hang_up = hang_up;
        connection->ctx = ctx;
    }
}
