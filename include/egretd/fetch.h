/* One HTTP call whose answer is bounded in memory. */
#ifndef EGRETD_FETCH_H
#define EGRETD_FETCH_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    /* Answers up to this size are held whole before they are passed on. */
    FETCH_STREAM_THRESHOLD_BYTES = 256 << 10,
    /* Longest answer held whole when it can't be passed on in pieces. */
    FETCH_BUFFER_MAX_BYTES = 8 << 20,
    FETCH_READ_BYTES = 64 << 10,
};

/**
 * enum fetch_result - how a call ended
 * @FETCH_COMPLETE: the whole answer is in the body
 * @FETCH_STREAMED: the whole answer was handed on piece by piece
 * @FETCH_TRUNCATED: the answer ended early, or its end can't be told
 * @FETCH_TOO_LARGE: the answer is over the bound and can't be streamed
 * @FETCH_FAILED: no answer
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
 * struct fetch_handler - receives the answer
 * @stream: the answer is longer than FETCH_STREAM_THRESHOLD_BYTES: true to
 * take it piece by piece through @data, false to have it whole; NULL stands
 * for false
 * @data: next piece; the next one comes after fetch_continue()
 * @ended: the call ended; @body is NULL unless @end is FETCH_COMPLETE. The
 *       fetch is released when this returns.
 */
struct fetch_handler {
    bool (*stream)(void *ctx, SoupMessage *message);
    void (*data)(void *ctx, GBytes *piece);
    void (*ended)(void *ctx, enum fetch_result result, GBytes *body,
                  const GError *error);
    void *ctx;
};

/** fetch_start() - send @message; @end follows once unless
 * fetch_abandon() is called. */
struct fetch *
fetch_start(SoupSession *session, SoupMessage *message,
            const struct fetch_handler *handler);

/** fetch_cancel() - stop; @end follows. */
void
fetch_cancel(struct fetch *fetch);

/** fetch_abandon() - stop; nothing follows. */
void
fetch_abandon(struct fetch *fetch);

/** fetch_continue() - ready for the next piece. */
void
fetch_continue(struct fetch *fetch);

#endif
