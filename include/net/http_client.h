/* HTTP client with one persistent connection; calls are sent and answered in
 * order. The connection is reset when it is closed, so that a call which is
 * given up isn't delivered later. */
#ifndef NET_HTTP_CLIENT_H
#define NET_HTTP_CLIENT_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct evhttp_request;

/**
 * struct http_reply - answer to a call
 * @status: HTTP status; 0: no answer, so the call may have been carried out
 *          unless @never_sent
 * @never_sent: no connection was made, so no byte was sent
 * @same_peer: its connection had answered an earlier call, so no process that
 *             was started since has received it
 * @body: its body, not NUL-terminated
 * @request: for http_reply_header()
 */
struct http_reply {
    int status;
    bool never_sent;
    bool same_peer;
    const char *body;
    size_t body_bytes;
    struct evhttp_request *request;
};

/** http_reply_header() - value of a header of the answer, or NULL. */
const char *
http_reply_header(const struct http_reply *reply, const char *name);

/** struct http_header - one header of a call; an array of them ends with a
 * NULL name */
struct http_header {
    const char *name;
    const char *value;
};

/**
 * struct http_call - one call
 * @method: "GET", "POST" or "DELETE"
 * @path: path and query
 * @headers: additional headers, or NULL
 * @body: JSON body, or NULL
 * @done: called once, never before http_client_send() has returned
 */
struct http_call {
    const char *method;
    const char *path;
    const struct http_header *headers;
    const char *body;
    size_t body_bytes;
    void (*done)(void *ctx, const struct http_reply *reply);
    void *ctx;
};

struct http_client;

/** http_address_valid() - whether @address is "ip:port", IPv4, with a port
 * from 1 to 65535. A name would be looked up, which blocks the loop. */
bool
http_address_valid(const char *address);

/**
 * http_client_create() - client of one address; connects when needed
 * @address: "ip:port"; if it isn't http_address_valid(), no call is sent
 * @timeout_ms: time without an answer after which the connection is closed and
 *              its calls fail
 */
struct http_client *
http_client_create(struct event_base *base, const char *address,
                   int64_t timeout_ms);

/** http_client_set_timeout() - time-out of the calls that follow. */
void
http_client_set_timeout(struct http_client *client, int64_t timeout_ms);

/**
 * http_client_set_urgent() - read replies before those of other connections
 *
 * libevent reads 4 KB of a connection in each turn of the loop, so that a long
 * reply takes hundreds of turns. Needs a base with
 * LOOP_PRIORITIES.
 */
void
http_client_set_urgent(struct http_client *client);

/** http_client_destroy() - open calls never call back; may be called from a
 * callback of the client. */
void
http_client_destroy(struct http_client *client);

void
http_client_send(struct http_client *client, const struct http_call *call);

/** http_client_answered() - whether the open connection has answered a call.
 */
bool
http_client_answered(const struct http_client *client);

/** http_client_pending() - calls without an answer yet. */
uint32_t
http_client_pending(const struct http_client *client);

/** http_client_least_busy() - the one of @n_clients with the fewest open
 * calls. */
struct http_client *
http_client_least_busy(struct http_client **clients, size_t n_clients);

#endif
