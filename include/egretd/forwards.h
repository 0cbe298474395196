/* Hands requests to other gateways. */
#ifndef EGRETD_FORWARDS_H
#define EGRETD_FORWARDS_H

#include "common/ms_clock.h"
#include "core/dispatch.h"
#include "egretd/request.h"

/**
 * struct forward_params - one request to hand over
 * @address: "IP:port" of the other gateway's HTTP server
 * @to_owner: the other gateway must run it itself: it owns the request id
 * @timeout_ms: time after which the outcome counts as lost
 */
struct forward_params {
    const struct request *request;
    const char *address;
    bool to_owner;
    int64_t timeout_ms;
};

/**
 * struct forwards_options - how to call, and who learns the end
 * @ended: @answer is owned by the receiver and tells the outcome; NULL when
 *         none came or a long one was passed on
 * @stream: the answer is long: true to pass it on piece by piece
 * @data: next piece; the next comes after forwards_continue()
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

/** forwards_start() - send @params; @ended follows once. */
void
forwards_start(struct forwards *forwards, const struct forward_params *params);

/** forwards_continue() - ready for the next piece of a long answer. */
void
forwards_continue(struct forwards *forwards, uint64_t task);

/** forwards_abort() - drop a call; @ended follows. */
void
forwards_abort(struct forwards *forwards, uint64_t task);

/** forward_header_format() - what the "Egret-Forward" header carries. */
char *
forward_header_format(const struct request *request, bool to_owner);

/** forward_header_parse() - fill @request from a header value; false when it
 * is malformed. */
bool
forward_header_parse(const char *value, struct request *request);

#endif
