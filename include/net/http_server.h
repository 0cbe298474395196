/* HTTP server that listens on one address. */
#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_server;
struct http_connection;
struct evhttp_request;

/**
 * struct http_exchange - a request that waits for its reply
 * @request: the library's request
 * @server: server that received it
 * @connection: connection that it came by
 */
struct http_exchange {
    struct evhttp_request *request;
    struct http_server *server;
    struct http_connection *connection;
};

/**
 * http_server_create() - listen on @address, "ip:port"; NULL if it can't be
 *                        bound
 * @handle: called for each request; must lead to one http_exchange_reply()
 */
struct http_server *
http_server_create(struct event_base *base, const char *address,
                   void (*handle)(void *ctx, struct http_exchange *exchange),
                   void *ctx);
void
http_server_destroy(struct http_server *server);

/** http_server_limit() - set the limits of requests; 0 leaves a limit
 * unchanged. */
void
http_server_limit(struct http_server *server, int64_t header_bytes,
                  int64_t body_bytes, int64_t idle_ms);

enum {
    /** HTTP_SERVER_ACCEPT_BATCH - connections that may be open beyond the
     * limit for a moment */
    HTTP_SERVER_ACCEPT_BATCH = 32,
    /** HTTP_SERVER_BACKLOG - connections that wait to be accepted, if the
     * bounds don't say */
    HTTP_SERVER_BACKLOG = 128,
};

/**
 * struct http_server_bounds - what all connections of a server may use
 * @name: names the server in the log; must outlive it
 * @retry_header: header of a refusal that gives the delay in ms, beside
 *                Retry-After in whole seconds; NULL: none
 * @open_max: open connections
 * @buffered_bytes_max: memory of requests, whole or not, and of responses that
 *                      are not sent yet
 * @read_ahead_bytes: what is read of a connection while its request is served
 *                    or its response isn't sent yet; a request may be larger
 * @receive_bytes: memory of the kernel for what was received by a connection
 *                 and not read; 0: as the system sets it
 * @backlog: connections that wait to be accepted, which receive as well; 0:
 *           HTTP_SERVER_BACKLOG
 */
struct http_server_bounds {
    const char *name;
    const char *retry_header;
    uint32_t open_max;
    size_t buffered_bytes_max;
    size_t read_ahead_bytes;
    uint32_t receive_bytes;
    uint32_t backlog;
};

/** http_server_create_bounded() - the same within @bounds. The system may
 * refuse to limit what it receives, which is logged. */
struct http_server *
http_server_create_bounded(struct event_base *base, const char *address,
                           const struct http_server_bounds *bounds,
                           void (*handle)(void *ctx,
                                          struct http_exchange *exchange),
                           void *ctx);

/** http_server_bound() - set what all connections together may use; it isn't
 * bounded before. What the kernel receives is set at creation only. */
void
http_server_bound(struct http_server *server,
                  const struct http_server_bounds *bounds);

/**
 * struct http_server_stats - use of a server and what its bounds have caused
 * @open: open connections
 * @buffered_bytes: see struct http_server_bounds
 * @receive_bytes: what the kernel may hold for the open connections
 * @closed_open: connections closed as too many were open
 * @closed_bytes: connections closed as buffers held too much
 * @refused: requests refused as buffers held too much
 * @accept_failures: connections that the system could not accept
 */
struct http_server_stats {
    uint32_t open;
    size_t buffered_bytes;
    size_t receive_bytes;
    uint64_t closed_open;
    uint64_t closed_bytes;
    uint64_t refused;
    uint64_t accept_failures;
};

void
http_server_stats(const struct http_server *server,
                  struct http_server_stats *stats);

/** http_server_disable_keep_alive() - close each connection after its next
 * reply. */
void
http_server_disable_keep_alive(struct http_server *server);

/** http_server_open_exchanges() - requests that have no reply yet. */
uint32_t
http_server_open_exchanges(const struct http_server *server);

const char *
http_exchange_method(const struct http_exchange *exchange);

/** http_exchange_path() - path and query as sent. */
const char *
http_exchange_path(const struct http_exchange *exchange);

/** http_exchange_header() - value of a header, or NULL. */
const char *
http_exchange_header(const struct http_exchange *exchange, const char *name);

/** http_exchange_body() - whole body; valid until the reply. */
const char *
http_exchange_body(const struct http_exchange *exchange, size_t *bytes);

/** http_exchange_add_header() - add a header to the reply. */
void
http_exchange_add_header(struct http_exchange *exchange, const char *name,
                         const char *value);

/** http_exchange_reply() - send the reply, with a JSON body or none, and free
 * @exchange. */
void
http_exchange_reply(struct http_exchange *exchange, int status,
                    const char *body);

/** http_exchange_reply_bytes() - the same, with a body of @bytes bytes. */
void
http_exchange_reply_bytes(struct http_exchange *exchange, int status,
                          const char *body, size_t bytes);

#endif
