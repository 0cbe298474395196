#include "net/http_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct http_server {
    struct evhttp *http;
    void (*handle)(void *ctx, struct http_exchange *exchange);
    void *ctx;
    uint32_t open_exchanges;
    bool keep_alive_disabled;
};

static void
on_request(struct evhttp_request *request, void *ctx)
{
    struct http_server *server = ctx;
    struct http_exchange *exchange = g_new0(struct http_exchange, 1);
    exchange->request = request;
    exchange->server = server;
    server->open_exchanges++;
    server->handle(server->ctx, exchange);
}

struct http_server *
http_server_create(struct event_base *base, const char *address,
                   void (*handle)(void *ctx, struct http_exchange *exchange),
                   void *ctx)
{
    const char *colon = strrchr(address, ':');
    if (colon == NULL) {
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
    char *host = g_strndup(address, (gsize)(colon - address));
    int bound = evhttp_bind_socket(server->http, host,
                                   (ev_uint16_t)strtoul(colon + 1, NULL, 10));
    g_free(host);
    if (bound != 0) {
        http_server_destroy(server);
        return NULL;
    }
    return server;
}

void
http_server_destroy(struct http_server *server)
{
    if (server == NULL) {
        return;
    }
    evhttp_free(server->http);
    g_free(server);
}

void
http_server_limit(struct http_server *server, int64_t header_bytes,
                  int64_t body_bytes, int64_t idle_ms)
{
    if (header_bytes > 0) {
        evhttp_set_max_headers_size(server->http, header_bytes);
    }
    if (body_bytes > 0) {
        evhttp_set_max_body_size(server->http, body_bytes);
    }
    if (idle_ms > 0) {
        struct timeval idle = {
            .tv_sec = idle_ms / 1000,
            .tv_usec = idle_ms % 1000 * 1000,
        };
        evhttp_set_timeout_tv(server->http, &idle);
    }
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
    if (server->keep_alive_disabled) {
        http_exchange_add_header(exchange, "Connection", "close");
    }
    server->open_exchanges--;
    evhttp_send_reply(exchange->request, status, NULL, NULL);
    g_free(exchange);
}
