/* Forwards requests to other gateways. */
#ifndef EGRETD_FORWARDS_H
#define EGRETD_FORWARDS_H

#include "common/ms_clock.h"
#include "core/dispatch.h"
#include "egretd/request.h"

/**
 * struct forward_params - one request to forward
 * @address: "IP:port" of the other gateway's HTTP server
 * @to_owner: the other gateway owns the request id and must not forward it
 * @timeout_ms: time after which the outcome counts as lost
 */
struct forward_params {
    const struct request *request;
    const char *address;
    bool to_owner;
    int64_t timeout_ms;
};

/**
 * struct forwards_options - settings and callbacks
 * @ended: the call ended; @answer holds the outcome and is owned by the
 *         receiver; NULL if no answer came or it was streamed
 * @stream: the answer is too long to buffer; returns true to receive it piece
 *          by piece
 * @data: next piece; the following piece comes after forwards_continue()
 */
struct forwards_options {
    const char *secret;
    struct ms_clock clock;
    int64_t connect_timeout_ms;
    void (*ended)(void *ctx, uint64_t task, enum attempt_result result,
                  struct answer *answer);
    bool (*stream)(void *ctx, uint64_t task, const struct answer_head *head);
    void (*data)(void *ctx, uint64_t task, GBytes *piece);
    void *ctx;
};

struct forwards;

struct forwards *
forwards_create(const struct forwards_options *options);
void
forwards_destroy(struct forwards *forwards);

/** forwards_start() - forward a request; @ended is called once. */
void
forwards_start(struct forwards *forwards, const struct forward_params *params);

/** forwards_continue() - request the next piece of a streamed answer. */
void
forwards_continue(struct forwards *forwards, uint64_t task);

/** forwards_abort() - cancel a call; @ended is called. */
void
forwards_abort(struct forwards *forwards, uint64_t task);

/** forward_header_format() - value of the "Egret-Forward" header; free it with
 * g_free(). */
char *
forward_header_format(const struct request *request, bool to_owner);

/** forward_header_parse() - fill @request from a header value; false if it is
 * malformed. */
bool
forward_header_parse(const char *value, struct request *request);

#endif
