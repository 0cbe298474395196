/* Accepts the connections of an HTTP server, limits what they hold and detects
 * that clients close them. */
#ifndef EGRETD_CONNECTIONS_H
#define EGRETD_CONNECTIONS_H

#include <libsoup/soup.h>
#include <stdbool.h>

#include "common/counters.h"
#include "common/ms_clock.h"
#include "common/settings.h"
#include "common/status.h"

struct connections;

/**
 * struct connections_options - server and limits
 * @server: has no listeners of its own
 * @settings: limits of connections, bodies and times
 * @discard_bodies: no request needs its body; bodies are read but not kept
 */
struct connections_options {
    SoupServer *server;
    const struct settings *settings;
    struct counters *counters;
    struct ms_clock clock;
    bool discard_bodies;
};

/**
 * connections_create() - watch the connections of the clients of a server
 *
 * libsoup detects neither a client that closes its connection while its
 * message is paused nor one that closes an idle connection; the latter would
 * stay open on this side. A client that only shuts down its sending side is
 * treated as having closed the connection. Nor does libsoup limit the number
 * of connections, the bodies of all of them or the time that an incomplete
 * request takes, and it stops accepting when descriptors run out.
 *
 * Returns: NULL if no epoll descriptor can be created.
 */
struct connections *
connections_create(const struct connections_options *options);

/** connections_destroy() - free; the server must have been freed before. */
void
connections_destroy(struct connections *connections);

/** connections_listen() - accept connections at the address and HTTP port of
 * the settings; returns the port, or 0 and @status on failure. */
uint16_t
connections_listen(struct connections *connections, struct status *status);

/** connections_stop_listening() - close the listening socket. */
void
connections_stop_listening(struct connections *connections);

/**
 * connections_admit() - whether there is memory for the body of a request
 * @message: message whose header has been read
 *
 * Returns: false when it has to be refused. Memory held by clients that have
 * stalled is then freed, at the latest after CONNECTIONS_RETRY_MS.
 */
bool
connections_admit(struct connections *connections, SoupServerMessage *message);

/**
 * connection_take_body() - body of @message, once all of it has been read
 *
 * Returns: NULL if it has been dropped or the connection is closed; a
 * reference that the caller owns otherwise.
 */
GBytes *
connection_take_body(SoupServerMessage *message);

/** connection_drop_body() - no longer keep the body of @message, of which the
 * rest is read. */
void
connection_drop_body(SoupServerMessage *message);

/** connection_body_refused() - whether the body of @message has been dropped
 * for lack of memory. */
bool
connection_body_refused(SoupServerMessage *message);

/** connections_update_metrics() - set the gauges before they are rendered. */
void
connections_update_metrics(const struct connections *connections);

/** connection_set_hang_up_handler() - call @hang_up when the connection of
 * @message is closed by the client; NULL to stop. */
void
connection_set_hang_up_handler(SoupServerMessage *message,
                               void (*hang_up)(void *ctx), void *ctx);

/** connection_response_ready() - from now on the client of @message has to
 * read its response of @size_bytes. */
void
connection_response_ready(SoupServerMessage *message, int64_t size_bytes);

/** connection_response_started() - the response of @message is made piece by
 * piece; each is announced with connection_response_ready(). */
void
connection_response_started(SoupServerMessage *message);

/** connection_response_aborted() - close the connection of @message without
 * the rest of its response. */
void
connection_response_aborted(SoupServerMessage *message);

/** connection_response_completed() - no piece follows. */
void
connection_response_completed(SoupServerMessage *message);

enum {
    /* Clients without progress for this long are closed for memory. */
    CONNECTIONS_RETRY_MS = 1000,
};

#endif
