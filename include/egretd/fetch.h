/* One HTTP call with a bounded response buffer. */
#ifndef EGRETD_FETCH_H
#define EGRETD_FETCH_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    /* Longer responses are streamed, if the receiver accepts that. */
    FETCH_STREAM_THRESHOLD_BYTES = 256 << 10,
    /* Longest response that is buffered when it can't be streamed. */
    FETCH_BUFFER_MAX_BYTES = 8 << 20,
    FETCH_READ_BYTES = 64 << 10,
};

/**
 * enum fetch_result - how a call ended
 * @FETCH_COMPLETE: the complete response is in the body
 * @FETCH_STREAMED: the complete response was delivered piece by piece
 * @FETCH_TRUNCATED: the response ended early, or has neither a length nor
 *                   chunks that would show a truncation
 * @FETCH_TOO_LARGE: the response is over FETCH_BUFFER_MAX_BYTES and can't be
 *                   streamed
 * @FETCH_FAILED: no response
 */
enum fetch_result {
    FETCH_COMPLETE,
    FETCH_STREAMED,
    FETCH_TRUNCATED,
    FETCH_TOO_LARGE,
    FETCH_FAILED,
};

struct fetch;

/**
 * struct fetch_handler - callbacks of the receiver
 * @stream: the response is longer than FETCH_STREAM_THRESHOLD_BYTES; returns
 *          true to receive it piece by piece through @data, false to have it
 *          buffered; NULL stands for false
 * @data: next piece; the following piece comes after fetch_continue()
 * @ended: the call ended; @body is NULL unless @result is FETCH_COMPLETE. The
 *         fetch is freed when this returns.
 */
struct fetch_handler {
    bool (*stream)(void *ctx, SoupMessage *message);
    void (*data)(void *ctx, GBytes *piece);
    void (*ended)(void *ctx, enum fetch_result result, GBytes *body,
                  const GError *error);
    void *ctx;
};

/** fetch_start() - send @message; @ended is called once, unless
 * fetch_abandon() is called first. */
struct fetch *
fetch_start(SoupSession *session, SoupMessage *message,
            const struct fetch_handler *handler);

/** fetch_cancel() - stop; @ended is called later. */
void
fetch_cancel(struct fetch *fetch);

/** fetch_abandon() - stop and free; no callback is called any more. */
void
fetch_abandon(struct fetch *fetch);

/** fetch_continue() - request the next piece. */
void
fetch_continue(struct fetch *fetch);

#endif
