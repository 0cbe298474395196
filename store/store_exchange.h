/* One HTTP exchange with the store, with its own deadline. */
#ifndef STORE_STORE_EXCHANGE_H
#define STORE_STORE_EXCHANGE_H

#include <libsoup/soup.h>

#include "store/store.h"

/**
 * enum exchange_outcome - how an exchange ended
 * @EXCHANGE_RESPONDED: a complete response was read
 * @EXCHANGE_NOT_SENT: the request was not sent
 * @EXCHANGE_NO_RESPONSE: the request may have reached the store, but no
 *                        complete response was received
 */
enum exchange_outcome {
    EXCHANGE_RESPONDED,
    EXCHANGE_NOT_SENT,
    EXCHANGE_NO_RESPONSE,
};

/**
 * struct exchange_reply - result of an exchange; valid during the callback
 * @http_status, @body, @index: set with EXCHANGE_RESPONDED
 * @reason: why there is no response
 */
struct exchange_reply {
    enum exchange_outcome outcome;
    unsigned http_status;
    GBytes *body;
    uint64_t index;
    const char *reason;
};

/**
 * struct exchange_request - HTTP request to send
 * @path: path and query below the store's URL
 * @body: content to send, or NULL
 * @delay_ms: time before the exchange starts
 * @deadline_ms: time it may take from its start
 * @reuse: may use a connection that carried an exchange before. Only for
 *         watches, which do not write: such a connection may be dead, and
 *         libsoup sends a PUT again when the connection closes.
 */
struct exchange_request {
    const char *method;
    const char *path;
    GBytes *body;
    int64_t delay_ms;
    int64_t deadline_ms;
    bool reuse;
};

/**
 * struct exchange_handler - receives the reply
 * @done: called exactly once; @reply is NULL when the exchange was abandoned
 *        and @ctx only has to be released
 */
struct exchange_handler {
    void (*done)(void *ctx, const struct exchange_reply *reply);
    void *ctx;
};

struct exchange;

struct exchange *
exchange_start(struct store *store, const struct exchange_request *request,
               struct exchange_handler handler);

/** exchange_abandon() - cancel the exchange; @done is called with NULL before
 * the return. */
void
exchange_abandon(struct exchange *exchange);

#endif
