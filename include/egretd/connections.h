/* Detects that callers close their connections. */
#ifndef EGRETD_CONNECTIONS_H
#define EGRETD_CONNECTIONS_H

#include <libsoup/soup.h>

struct connections;

/**
 * connections_create() - watch the connections of the callers of @server
 *
 * libsoup detects neither a caller that closes its connection while its
 * message is paused nor one that closes an idle connection; the latter would
 * stay open on this side. A caller that only shuts down its sending side is
 * treated as having closed the connection.
 *
 * Returns: NULL if no epoll descriptor can be created.
 */
struct connections *
connections_create(SoupServer *server);

/** connections_destroy() - free; the server must have been freed before. */
void
connections_destroy(struct connections *connections);

/** connection_set_hang_up_handler() - call @hang_up when the connection of
 * @message is closed by the caller; NULL to stop. */
void
connection_set_hang_up_handler(SoupServerMessage *message,
                               void (*hang_up)(void *ctx), void *ctx);

#endif
