/* Connections of an HTTP server: what their buffers hold and which are closed.
 */
#ifndef NET_HTTP_CONNECTIONS_H
#define NET_HTTP_CONNECTIONS_H

#include <event2/event.h>
#include <event2/http.h>

#include "net/http_server.h"

struct http_connections;

/** http_connections_create() - watch the connections of @http, which listens
 * by @bound. */
struct http_connections *
http_connections_create(struct event_base *base, struct evhttp *http,
                        struct evhttp_bound_socket *bound);

/** http_connections_detach() - take up connections that were just accepted;
 * evhttp_free() has to follow, and http_connections_destroy() after it. */
void
http_connections_detach(struct http_connections *connections);
void
http_connections_destroy(struct http_connections *connections);

void
http_connections_bound(struct http_connections *connections,
                       const struct http_server_bounds *bounds);

/** http_connections_set_request_max() - longest head and longest body of a
 * request on new connections. */
void
http_connections_set_request_max(struct http_connections *connections,
                                 size_t header_bytes, size_t body_bytes);

void
http_connections_stats(const struct http_connections *connections,
                       struct http_server_stats *stats);

/** http_connections_find() - the connection that @request came by. */
struct http_connection *
http_connections_find(struct http_connections *connections,
                      struct evhttp_request *request);

/** http_connection_serve() - a request is complete; false if it has to be
 * refused. */
bool
http_connection_serve(struct http_connection *connection,
                      struct evhttp_request *request);

/** http_connection_yields() - whether the connection has to be closed after
 * its reply: all that may be open are, and it has sent its next request
 * without reading this reply. */
bool
http_connection_yields(const struct http_connection *connection);

/** http_connection_reply() - the reply is about to be sent. */
void
http_connection_reply(struct http_connection *connection);

#endif
