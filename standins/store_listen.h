/* Listening socket with a backlog for bursts of new connections. */
#ifndef STANDINS_STORE_LISTEN_H
#define STANDINS_STORE_LISTEN_H

#include <gio/gio.h>

/** store_listen() - bind and listen; on failure set @error and return NULL. */
GSocket *
store_listen(GSocketAddress *address, GError **error);

#endif
