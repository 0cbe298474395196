#include "store_listen.h"

enum {
    /* Clients open a connection for each call: libsoup's default backlog of
     * 10 is too short. */
    LISTEN_BACKLOG = 1024,
};

GSocket *
store_listen(GSocketAddress *address, GError **error)
{
    GSocket *socket =
        g_socket_new(g_socket_address_get_family(address),
                     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
    if (socket == NULL) {
        return NULL;
    }
    g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
    if (!g_socket_bind(socket, address, TRUE, error) ||
        !g_socket_listen(socket, error)) {
        g_clear_object(&socket);
    }
    return socket;
}
