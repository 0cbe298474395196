#include "net/http_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>

#include "net/loop_priority.h"

/**
 * struct pending_call - a call without an answer
 * @failed: it has failed, and its caller is told soon
 * @never_sent: it failed before a connection was made
 * @same_peer: see struct http_reply
 */
struct pending_call {
    struct http_client *client;
    bool failed;
    bool never_sent;
    bool same_peer;
    void (*done)(void *ctx, const struct http_reply *reply);
    void *ctx;
};

/**
 * struct http_client - connection to one address and its open calls
 * @connection: NULL if the address is none
 * @reset_fd: socket that is reset when it is closed; -1: none
 * @answered: the open connection has answered a call
 * @urgent: see http_client_set_urgent()
 * @sending: a call is being passed to libevent, and its caller still uses what
 *           belongs to it
 */
struct http_client {
    struct event_base *base;
    struct evhttp_connection *connection;
    char *host;
    int64_t timeout_ms;
    GPtrArray *pending;
    evutil_socket_t reset_fd;
    bool answered;
    bool urgent;
    bool sending;
    bool destroyed;
};

/* @host: receives the part before the port; g_free() */
static bool
address_read(const char *address, char **host, uint16_t *port)
{
    struct in_addr ip;
    guint64 number = 0;
    const char *colon = strchr(address, ':');
    if (colon == NULL || !g_ascii_string_to_unsigned(
                             colon + 1, 10, 1, UINT16_MAX, &number, NULL)) {
        return false;
    }
    char *text = g_strndup(address, (gsize)(colon - address));
    if (inet_pton(AF_INET, text, &ip) != 1) {
        g_free(text);
        return false;
    }
    *host = text;
    *port = (uint16_t)number;
    return true;
}

bool
http_address_valid(const char *address)
{
    char *host = NULL;
    uint16_t port = 0;
    bool valid = address_read(address, &host, &port);
    g_free(host);
    return valid;
}

/* A call that is given up must not be delivered later, nor one of a process
 * that has ended: a close without a reset leaves that to the kernel. */
static void
reset_on_close(struct http_client *client)
{
    const struct linger reset = {.l_onoff = 1};
    evutil_socket_t fd = bufferevent_getfd(
        evhttp_connection_get_bufferevent(client->connection));
    if (fd != -1 && fd != client->reset_fd &&
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)) == 0) {
        client->reset_fd = fd;
    }
}

/* Resets the connection before libevent ends it in order, which the peer would
 * take for the end of a whole call. */
static void
on_closing(struct evhttp_connection *connection, void *ctx)
{
    const struct sockaddr none = {.sa_family = AF_UNSPEC};
    struct http_client *client = ctx;
    evutil_socket_t fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    if (fd != -1 && connect(fd, &none, sizeof(none)) != 0) {
        /* The reset comes with the close. */
        reset_on_close(client);
    }
    client->reset_fd = -1;
    client->answered = false;
}

struct http_client *
http_client_create(struct event_base *base, const char *address,
                   int64_t timeout_ms)
{
    struct http_client *client = g_new0(struct http_client, 1);
    uint16_t port = 0;
    client->base = base;
    client->reset_fd = -1;
    client->pending = g_ptr_array_new();
    if (address_read(address, &client->host, &port)) {
        client->connection =
            evhttp_connection_base_new(base, NULL, client->host, port);
        evhttp_connection_set_closecb(client->connection, on_closing, client);
    }
    http_client_set_timeout(client, timeout_ms);
    return client;
}

void
http_client_set_timeout(struct http_client *client, int64_t timeout_ms)
{
    if (client->connection == NULL || client->timeout_ms == timeout_ms) {
        return;
    }
    client->timeout_ms = timeout_ms;
    struct timeval timeout = {
        .tv_sec = timeout_ms / 1000,
        .tv_usec = timeout_ms % 1000 * 1000,
    };
    evhttp_connection_set_timeout_tv(client->connection, &timeout);
}

void
http_client_set_urgent(struct http_client *client)
{
    client->urgent = true;
}

static void
client_free(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct http_client *client = ctx;
    if (client->connection != NULL) {
        evhttp_connection_free(client->connection);
    }
    for (guint i = 0; i < client->pending->len; i++) {
        g_free(g_ptr_array_index(client->pending, i));
    }
    g_ptr_array_unref(client->pending);
    g_free(client->host);
    g_free(client);
}

void
http_client_destroy(struct http_client *client)
{
    if (client == NULL) {
        return;
    }
    /* May be called from a callback of the connection itself. */
    client->destroyed = true;
    struct timeval now = {0};
    event_base_once(client->base, -1, EV_TIMEOUT, client_free, client, &now);
}

static void
pending_call_finish(struct pending_call *pending,
                    const struct http_reply *reply)
{
    struct http_client *client = pending->client;
    if (client->destroyed) {
        return;
    }
    g_ptr_array_remove_fast(client->pending, pending);
    pending->done(pending->ctx, reply);
    g_free(pending);
}

static void
on_failed(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct pending_call *pending = ctx;
    struct http_reply reply = {
        .never_sent = pending->never_sent,
        .same_peer = pending->same_peer,
    };
    pending_call_finish(pending, &reply);
}

static void
pending_call_fail_soon(struct pending_call *pending, bool never_sent)
{
    struct timeval now = {0};
    pending->failed = true;
    pending->never_sent = never_sent;
    event_base_once(pending->client->base, -1, EV_TIMEOUT, on_failed, pending,
                    &now);
}

static bool
is_open(const struct http_client *client)
{
    return bufferevent_getfd(
               evhttp_connection_get_bufferevent(client->connection)) != -1;
}

static void
on_reply(struct evhttp_request *request, void *ctx)
{
    struct pending_call *pending = ctx;
    struct http_client *client = pending->client;
    struct http_reply reply = {.same_peer = pending->same_peer};
    if (request != NULL) {
        reply.status = evhttp_request_get_response_code(request);
        /* libevent passes the request only if it has an answer or if the
         * connection for it could not be made; otherwise it passes NULL. */
        reply.never_sent = reply.status == 0;
        struct evbuffer *input = evhttp_request_get_input_buffer(request);
        reply.body_bytes = evbuffer_get_length(input);
        reply.body = (const char *)evbuffer_pullup(input, -1);
        reply.request = request;
    }
    if (reply.status == 0) {
        /* Further calls may be on a new connection already, which may have the
         * number of the closed one. */
        client->reset_fd = -1;
        reset_on_close(client);
    }
    /* After an answer that closes it the connection has no socket. */
    client->answered = reply.status != 0 && is_open(client);
    /* Where connecting fails at once, libevent reports it at once. */
    if (client->sending) {
        pending_call_fail_soon(pending, reply.never_sent);
        return;
    }
    pending_call_finish(pending, &reply);
}

static enum evhttp_cmd_type
method_type(const char *method)
{
    if (strcmp(method, "POST") == 0) {
        return EVHTTP_REQ_POST;
    }
    return strcmp(method, "DELETE") == 0 ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

void
http_client_send(struct http_client *client, const struct http_call *call)
{
    struct pending_call *pending = g_new0(struct pending_call, 1);
    pending->client = client;
    pending->done = call->done;
    pending->ctx = call->ctx;
    pending->same_peer = client->answered && client->pending->len == 0;
    g_ptr_array_add(client->pending, pending);
    if (client->connection == NULL) {
        pending_call_fail_soon(pending, true);
        return;
    }

    struct evhttp_request *request = evhttp_request_new(on_reply, pending);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const struct http_header *h = call->headers;
         h != NULL && h->name != NULL; h++) {
        evhttp_add_header(headers, h->name, h->value);
    }
    if (evhttp_find_header(headers, "Host") == NULL) {
        evhttp_add_header(headers, "Host", client->host);
    }
    if (call->body != NULL) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(request), call->body,
                     call->body_bytes);
    }
    client->sending = true;
    bool accepted =
        evhttp_make_request(client->connection, request,
                            method_type(call->method), call->path) == 0;
    client->sending = false;
    if (client->urgent) {
        /* A new connection begins with the usual priority. */
        bufferevent_priority_set(
            evhttp_connection_get_bufferevent(client->connection),
            LOOP_URGENT);
    }
    reset_on_close(client);
    if (!accepted && !pending->failed) {
        pending_call_fail_soon(pending, true);
    }
}

const char *
http_reply_header(const struct http_reply *reply, const char *name)
{
    return reply->request == NULL
               ? NULL
               : evhttp_find_header(
                     evhttp_request_get_input_headers(reply->request), name);
}

bool
http_client_answered(const struct http_client *client)
{
    return client->answered;
}

uint32_t
http_client_pending(const struct http_client *client)
{
    return client->pending->len;
}

struct http_client *
http_client_least_busy(struct http_client **clients, size_t n_clients)
{
    struct http_client *best = clients[0];
    for (size_t i = 1; i < n_clients; i++) {
        if (clients[i]->pending->len < best->pending->len) {
            best = clients[i];
        }
    }
    return best;
}
