#include "egretd/fetch.h"

struct fetch {
    SoupMessage *message;
    GCancellable *cancellable;
    GInputStream *input;
    GByteArray *buffer;
    struct fetch_handler handler;
    int64_t received_bytes;
    bool streaming;
    /* Not streamed: buffered up to FETCH_BUFFER_MAX_BYTES. */
    bool buffer_all;
    bool abandoned;
    /* An asynchronous call is pending and its callback will run. */
    bool pending;
};

static void
fetch_destroy(struct fetch *fetch)
{
    g_clear_object(&fetch->input);
    g_clear_object(&fetch->message);
    g_clear_object(&fetch->cancellable);
    g_byte_array_unref(fetch->buffer);
    g_free(fetch);
}

static void
finish(struct fetch *fetch, enum fetch_result result, const GError *error)
{
    GBytes *body = NULL;
    if (fetch->abandoned) {
        fetch_destroy(fetch);
        return;
    }
    if (result == FETCH_COMPLETE) {
        body = g_bytes_new(fetch->buffer->data, fetch->buffer->len);
    }
    fetch->handler.ended(fetch->handler.ctx, result, body, error);
    g_clear_pointer(&body, g_bytes_unref);
    fetch_destroy(fetch);
}

static void
finish_with_error(struct fetch *fetch, const GError *error)
{
    bool partial =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT);
    finish(fetch, partial ? FETCH_TRUNCATED : FETCH_FAILED, error);
}

/* On a "Connection: close" connection, libsoup reports a body that is cut off
 * as complete. */
static bool
is_truncated(const struct fetch *fetch)
{
    SoupMessageHeaders *headers =
        soup_message_get_response_headers(fetch->message);
    return soup_message_headers_get_encoding(headers) ==
               SOUP_ENCODING_CONTENT_LENGTH &&
           soup_message_headers_get_content_length(headers) !=
               fetch->received_bytes;
}

/* Without a length or chunks, a truncated response can't be told from a
 * complete one. */
static bool
end_is_detectable(SoupMessage *message)
{
    SoupEncoding encoding = soup_message_headers_get_encoding(
        soup_message_get_response_headers(message));
    return encoding != SOUP_ENCODING_EOF;
}

static void
read_more(struct fetch *fetch);

static void
handle_end(struct fetch *fetch)
{
    if (!end_is_detectable(fetch->message) || is_truncated(fetch)) {
        finish(fetch, FETCH_TRUNCATED, NULL);
        return;
    }
    finish(fetch, fetch->streaming ? FETCH_STREAMED : FETCH_COMPLETE, NULL);
}

static void
deliver_piece(struct fetch *fetch, GBytes *piece)
{
    fetch->handler.data(fetch->handler.ctx, piece);
}

static void
start_streaming(struct fetch *fetch)
{
    const struct fetch_handler *handler = &fetch->handler;
    if (handler->stream == NULL || !end_is_detectable(fetch->message) ||
        !handler->stream(handler->ctx, fetch->message)) {
        fetch->buffer_all = true;
        read_more(fetch);
        return;
    }
    fetch->streaming = true;
    GBytes *buffer = g_bytes_new(fetch->buffer->data, fetch->buffer->len);
    g_byte_array_set_size(fetch->buffer, 0);
    deliver_piece(fetch, buffer);
    g_bytes_unref(buffer);
}

static void
buffer_piece(struct fetch *fetch, GBytes *piece)
{
    gsize size_bytes;
    const void *data = g_bytes_get_data(piece, &size_bytes);
    g_byte_array_append(fetch->buffer, data, (guint)size_bytes);
    if (fetch->buffer->len > FETCH_BUFFER_MAX_BYTES) {
        finish(fetch, FETCH_TOO_LARGE, NULL);
        return;
    }
    if (fetch->buffer->len > FETCH_STREAM_THRESHOLD_BYTES &&
        !fetch->buffer_all) {
        start_streaming(fetch);
        return;
    }
    read_more(fetch);
}

static void
handle_piece(struct fetch *fetch, GBytes *piece)
{
    fetch->received_bytes += (int64_t)g_bytes_get_size(piece);
    if (fetch->streaming) {
        deliver_piece(fetch, piece);
        return;
    }
    buffer_piece(fetch, piece);
}

static void
on_read(GObject *source, GAsyncResult *result, void *data)
{
    struct fetch *fetch = data;
    GError *error = NULL;
    fetch->pending = false;
    GBytes *piece = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
                                                     result, &error);
    if (piece == NULL) {
        finish_with_error(fetch, error);
    }
    else if (fetch->abandoned || g_bytes_get_size(piece) == 0) {
        handle_end(fetch);
    }
    else {
        handle_piece(fetch, piece);
    }
    g_clear_pointer(&piece, g_bytes_unref);
    g_clear_error(&error);
}

static void
read_more(struct fetch *fetch)
{
    fetch->pending = true;
    g_input_stream_read_bytes_async(fetch->input, FETCH_READ_BYTES,
                                    G_PRIORITY_DEFAULT, fetch->cancellable,
                                    on_read, fetch);
}

static void
on_head(GObject *source, GAsyncResult *result, void *data)
{
    struct fetch *fetch = data;
    GError *error = NULL;
    fetch->pending = false;
    fetch->input =
        soup_session_send_finish(SOUP_SESSION(source), result, &error);
    if (fetch->input == NULL) {
        finish_with_error(fetch, error);
        g_clear_error(&error);
        return;
    }
    read_more(fetch);
}

struct fetch *
fetch_start(SoupSession *session, SoupMessage *message,
            const struct fetch_handler *handler)
{
    struct fetch *fetch = g_new0(struct fetch, 1);
    fetch->message = g_object_ref(message);
    fetch->cancellable = g_cancellable_new();
    fetch->buffer = g_byte_array_new();
    fetch->handler = *handler;
    fetch->pending = true;
    soup_session_send_async(session, message, G_PRIORITY_DEFAULT,
                            fetch->cancellable, on_head, fetch);
    return fetch;
}

void
fetch_cancel(struct fetch *fetch)
{
    g_cancellable_cancel(fetch->cancellable);
    if (!fetch->pending) {
        read_more(fetch);
    }
}

void
fetch_abandon(struct fetch *fetch)
{
    fetch->abandoned = true;
    g_cancellable_cancel(fetch->cancellable);
    if (!fetch->pending) {
        fetch_destroy(fetch);
    }
}

void
fetch_continue(struct fetch *fetch)
{
    if (!fetch->pending) {
        read_more(fetch);
    }
}
