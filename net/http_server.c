#include "net/http_server.h"

#include "net/http_connections.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/util.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/event_log.h"

enum {
    /* Defaults of a server that serves its own programs. Without a limit of
     * headers a line that never ends is read for ever. */
    HEADER_BYTES_DEFAULT = 65536,
    BODY_BYTES_DEFAULT = 64 * 1024 * 1024,
    /* A refusal holds until requests being served have their replies, which
     * takes most of them less than a second. */
    REFUSAL_RETRY_MS = 1000,
};

struct http_server {
    struct evhttp *http;
    struct http_connections *connections;
    const char *retry_header;
    int64_t header_bytes;
    int64_t body_bytes;
    void (*handle)(void *ctx, struct http_exchange *exchange);
    void *ctx;
    uint32_t open_exchanges;
    bool keep_alive_disabled;
};

static void
refuse(struct http_server *server, struct http_exchange *exchange)
{
    char text[24];
    g_snprintf(text, sizeof(text), "%d", (REFUSAL_RETRY_MS + 999) / 1000);
    http_exchange_add_header(exchange, "Retry-After", text);
    if (server->retry_header != NULL) {
        g_snprintf(text, sizeof(text), "%d", REFUSAL_RETRY_MS);
        http_exchange_add_header(exchange, server->retry_header, text);
    }
    http_exchange_add_header(exchange, "Connection", "close");
    http_exchange_reply(exchange, 503, NULL);
}

static void
on_request(struct evhttp_request *request, void *ctx)
{
    struct http_server *server = ctx;
    struct http_exchange *exchange = g_new0(struct http_exchange, 1);
    exchange->request = request;
    exchange->server = server;
    exchange->connection = http_connections_find(server->connections, request);
    server->open_exchanges++;
    if (!http_connection_serve(exchange->connection, request)) {
        refuse(server, exchange);
        return;
    }
    server->handle(server->ctx, exchange);
}

/* Limits what is received by each connection before the first can come: they
 * take the size of the listening socket's buffer. */
static void
limit_receiving(int fd, const struct http_server_bounds *bounds)
{
    static bool logged;
    /* Linux doubles the value, for its own overhead. */
    const int bytes = (int)(bounds->receive_bytes / 2);
    if (bytes == 0 ||
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)) == 0) {
        return;
    }
    if (!logged) {
        event_log("receive_unlimited", "\"server\":\"%s\",\"why\":\"%s\"",
                  bounds->name, g_strerror(errno));
        logged = true;
    }
}

static int
listen_at(const char *address, const struct http_server_bounds *bounds)
{
    struct sockaddr_storage bound;
    int length = sizeof(bound);
    const int on = 1;
    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&bound,
                                   &length) != 0) {
        return -1;
    }
    int fd =
        socket(bound.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    limit_receiving(fd, bounds);
    int backlog =
        bounds->backlog > 0 ? (int)bounds->backlog : HTTP_SERVER_BACKLOG;
    if (bind(fd, (struct sockaddr *)&bound, (socklen_t)length) != 0 ||
        listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static struct http_server *
server_create(struct event_base *base, const char *address,
              const struct http_server_bounds *bounds,
              void (*handle)(void *ctx, struct http_exchange *exchange),
              void *ctx)
{
    int fd = listen_at(address, bounds);
    if (fd < 0) {
        return NULL;
    }
    struct http_server *server = g_new0(struct http_server, 1);
    server->handle = handle;
    server->ctx = ctx;
    server->http = evhttp_new(base);
    evhttp_set_allowed_methods(
        server->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE |
                          EVHTTP_REQ_PUT | EVHTTP_REQ_HEAD);
    evhttp_set_gencb(server->http, on_request, server);
    struct evhttp_bound_socket *bound =
        evhttp_accept_socket_with_handle(server->http, fd);
    if (bound == NULL) {
        close(fd);
        http_server_destroy(server);
        return NULL;
    }
    server->connections = http_connections_create(base, server->http, bound);
    http_server_limit(server, HEADER_BYTES_DEFAULT, BODY_BYTES_DEFAULT, 0);
    return server;
}

struct http_server *
http_server_create(struct event_base *base, const char *address,
                   void (*handle)(void *ctx, struct http_exchange *exchange),
                   void *ctx)
{
    const struct http_server_bounds unbounded = {0};
    return server_create(base, address, &unbounded, handle, ctx);
}

struct http_server *
http_server_create_bounded(struct event_base *base, const char *address,
                           const struct http_server_bounds *bounds,
                           void (*handle)(void *ctx,
                                          struct http_exchange *exchange),
                           void *ctx)
{
    struct http_server *server =
        server_create(base, address, bounds, handle, ctx);
    if (server != NULL) {
        http_server_bound(server, bounds);
    }
    return server;
}

void
http_server_destroy(struct http_server *server)
{
    if (server == NULL) {
        return;
    }
    if (server->connections != NULL) {
        http_connections_detach(server->connections);
    }
    evhttp_free(server->http);
    if (server->connections != NULL) {
        http_connections_destroy(server->connections);
    }
    g_free(server);
}

void
http_server_limit(struct http_server *server, int64_t header_bytes,
                  int64_t body_bytes, int64_t idle_ms)
{
    if (header_bytes > 0) {
        server->header_bytes = header_bytes;
        evhttp_set_max_headers_size(server->http, header_bytes);
    }
    if (body_bytes > 0) {
        server->body_bytes = body_bytes;
        evhttp_set_max_body_size(server->http, body_bytes);
    }
    http_connections_set_request_max(server->connections,
                                     (size_t)server->header_bytes,
                                     (size_t)server->body_bytes);
    if (idle_ms > 0) {
        struct timeval idle = {
            .tv_sec = idle_ms / 1000,
            .tv_usec = idle_ms % 1000 * 1000,
        };
        evhttp_set_timeout_tv(server->http, &idle);
    }
}

void
http_server_bound(struct http_server *server,
                  const struct http_server_bounds *bounds)
{
    server->retry_header = bounds->retry_header;
    http_connections_bound(server->connections, bounds);
}

void
http_server_stats(const struct http_server *server,
                  struct http_server_stats *stats)
{
    http_connections_stats(server->connections, stats);
}

void
http_server_disable_keep_alive(struct http_server *server)
{
    server->keep_alive_disabled = true;
}

uint32_t
http_server_open_exchanges(const struct http_server *server)
{
    return server->open_exchanges;
}

const char *
http_exchange_method(const struct http_exchange *exchange)
{
    switch (evhttp_request_get_command(exchange->request)) {
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_GET:
        return "GET";
    default:
        return "";
    }
}

const char *
http_exchange_path(const struct http_exchange *exchange)
{
    return evhttp_request_get_uri(exchange->request);
}

const char *
http_exchange_header(const struct http_exchange *exchange, const char *name)
{
    return evhttp_find_header(
        evhttp_request_get_input_headers(exchange->request), name);
}

const char *
http_exchange_body(const struct http_exchange *exchange, size_t *bytes)
{
    struct evbuffer *input =
        evhttp_request_get_input_buffer(exchange->request);
    *bytes = evbuffer_get_length(input);
    return *bytes == 0 ? "" : (const char *)evbuffer_pullup(input, -1);
}

void
http_exchange_add_header(struct http_exchange *exchange, const char *name,
                         const char *value)
{
    evhttp_add_header(evhttp_request_get_output_headers(exchange->request),
                      name, value);
}

void
http_exchange_reply(struct http_exchange *exchange, int status,
                    const char *body)
{
    http_exchange_reply_bytes(exchange, status, body,
                              body == NULL ? 0 : strlen(body));
}

void
http_exchange_reply_bytes(struct http_exchange *exchange, int status,
                          const char *body, size_t bytes)
{
    struct http_server *server = exchange->server;
    struct evbuffer *output =
        evhttp_request_get_output_buffer(exchange->request);
    if (body != NULL) {
        http_exchange_add_header(exchange, "Content-Type", "application/json");
        evbuffer_add(output, body, bytes);
    }
    /* The client may have closed the connection while it was served. */
    bool connected = evhttp_request_get_connection(exchange->request) != NULL;
    if (server->keep_alive_disabled ||
        (connected && http_connection_yields(exchange->connection))) {
        http_exchange_add_header(exchange, "Connection", "close");
    }
    server->open_exchanges--;
    if (connected) {
        http_connection_reply(exchange->connection);
    }
    evhttp_send_reply(exchange->request, status, NULL, NULL);
    g_free(exchange);
}
