/* Watches the connections of callers for their end. */
#ifndef EGRETD_CONNECTIONS_H
#define EGRETD_CONNECTIONS_H

#include <libsoup/soup.h>

struct connections;

/**
 * connections_create() - notice when callers of @server close
 *
 * libsoup notices neither a caller that hangs up while its message is paused
 * nor one that closes an idle connection; the latter would stay open here.
 * A caller that only shuts down its sending side counts as gone.
 *
 * Returns: NULL when the system has no descriptor left.
 */
struct connections *
connections_create(SoupServer *server);

/** connections_destroy() - to be called after the server is gone. */
void
connections_destroy(struct connections *connections);

/** connection_set_hang_up_handler() - call @hang_up when the connection of
 * @message is closed by the caller; NULL to stop. */
void
connection_set_hang_up_handler(SoupServerMessage *message,
                               void (*hang_up)(void *ctx), void *ctx);

#endif
