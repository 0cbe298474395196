#include "load_http.h"

#include <stdlib.h>
#include <string.h>

enum {
    READ_BUFFER_BYTES = 65536,
};

/**
 * struct load_http - HTTP client
 * @idle: idle connections: GQueue of GSocketConnection by target
 */
struct load_http {
    GSocketClient *client;
    GHashTable *idle;
    int64_t timeout_ms;
};

/**
 * struct call - one request
 * @request_text: request as sent
 * @reuse_connection: may use an idle connection
 * @reused_connection: @connection has served an earlier request
 * @server_closes: the server closes the connection after the response
 */
struct call {
    struct load_http *http;
    GSocketConnection *connection;
    GCancellable *cancel;
    GByteArray *received;
    char *target;
    char *request_text;
    char buffer[READ_BUFFER_BYTES];
    guint timer;
    bool reuse_connection;
    bool reused_connection;
    bool server_closes;
    void (*done)(void *ctx, const struct load_http_response *response);
    void *ctx;
};

static void
call_connect(struct call *call);

struct load_http *
load_http_create(int64_t timeout_ms)
{
    struct load_http *http = g_new0(struct load_http, 1);
    http->client = g_socket_client_new();
    g_socket_client_set_enable_proxy(http->client, FALSE);
    http->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    http->timeout_ms = timeout_ms;
    return http;
}

void
load_http_destroy(struct load_http *http)
{
    GHashTableIter iter;
    gpointer queue = NULL;
    g_hash_table_iter_init(&iter, http->idle);
    while (g_hash_table_iter_next(&iter, NULL, &queue)) {
        g_queue_free_full(queue, g_object_unref);
    }
    g_hash_table_destroy(http->idle);
    g_object_unref(http->client);
    g_free(http);
}

static GQueue *
idle_queue(struct load_http *http, const char *target)
{
    GQueue *queue = g_hash_table_lookup(http->idle, target);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(http->idle, g_strdup(target), queue);
    }
    return queue;
}

static GSocketConnection *
take_idle(struct load_http *http, const char *target)
{
    GQueue *queue = idle_queue(http, target);
    GSocketConnection *connection = NULL;
    while ((connection = g_queue_pop_head(queue)) != NULL) {
        GSocket *socket = g_socket_connection_get_socket(connection);
        if (g_socket_condition_check(socket, G_IO_IN | G_IO_HUP) == 0) {
            return connection;
        }
        g_object_unref(connection);
    }
    return NULL;
}

static void
call_end(struct call *call, const struct load_http_response *response)
{
    g_clear_handle_id(&call->timer, g_source_remove);
    bool keep = response->error == NULL && call->reuse_connection &&
                !call->server_closes;
    if (keep) {
        g_queue_push_head(idle_queue(call->http, call->target),
                          g_steal_pointer(&call->connection));
    }
    else if (call->connection != NULL) {
        g_io_stream_close(G_IO_STREAM(call->connection), NULL, NULL);
    }
    call->done(call->ctx, response);
    g_clear_object(&call->connection);
    g_object_unref(call->cancel);
    g_byte_array_unref(call->received);
    g_free(call->target);
    g_free(call->request_text);
    g_free(call);
}

static void
call_fail(struct call *call, const char *error)
{
    if (call->reused_connection && call->received->len == 0 &&
        !g_cancellable_is_cancelled(call->cancel)) {
        g_clear_object(&call->connection);
        call->reused_connection = false;
        call_connect(call);
        return;
    }
    call_end(call, &(struct load_http_response){.error = error});
}

/* Returns the decoded chunked body, or NULL while it is incomplete. */
static GBytes *
decode_chunks(const char *text, size_t size_bytes)
{
    GByteArray *body = g_byte_array_new();
    size_t at = 0;
    while (at < size_bytes) {
        const char *line_end =
            g_strstr_len(text + at, (gssize)(size_bytes - at), "\r\n");
        if (line_end == NULL) {
            break;
        }
        size_t chunk_bytes = strtoul(text + at, NULL, 16);
        at = (size_t)(line_end - text) + 2;
        if (at + chunk_bytes + 2 > size_bytes) {
            break;
        }
        if (chunk_bytes == 0) {
            return g_byte_array_free_to_bytes(body);
        }
        g_byte_array_append(body, (const guint8 *)text + at,
                            (guint)chunk_bytes);
        at += chunk_bytes + 2;
    }
    g_byte_array_unref(body);
    return NULL;
}

static GBytes *
read_body(SoupMessageHeaders *headers, const char *text, size_t size_bytes)
{
    switch (soup_message_headers_get_encoding(headers)) {
    case SOUP_ENCODING_CONTENT_LENGTH: {
        size_t length_bytes =
            (size_t)soup_message_headers_get_content_length(headers);
        return size_bytes < length_bytes ? NULL
                                         : g_bytes_new(text, length_bytes);
    }
    case SOUP_ENCODING_CHUNKED:
        return decode_chunks(text, size_bytes);
    default:
        return NULL;
    }
}

/* Ends the call if the response is complete or malformed. */
static bool
call_try_complete(struct call *call)
{
    const char *text = (const char *)call->received->data;
    const char *end =
        g_strstr_len(text, (gssize)call->received->len, "\r\n\r\n");
    if (end == NULL) {
        return false;
    }
    size_t head_bytes = (size_t)(end - text) + 2;
    struct load_http_response response = {0};
    response.headers = soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE);
    if (!soup_headers_parse_response(text, (int)head_bytes, response.headers,
                                     NULL, &response.status, NULL)) {
        response.error = "malformed headers";
    }
    else {
        response.body = read_body(response.headers, text + head_bytes + 2,
                                  call->received->len - head_bytes - 2);
    }
    bool ended = response.error != NULL || response.body != NULL;
    if (ended) {
        call->server_closes = soup_message_headers_header_contains(
            response.headers, "Connection", "close");
        soup_message_headers_ref(response.headers);
        call_end(call, &response);
        soup_message_headers_unref(response.headers);
    }
    g_clear_pointer(&response.body, g_bytes_unref);
    soup_message_headers_unref(response.headers);
    return ended;
}

static void
call_read(struct call *call);

static void
on_read(GObject *stream, GAsyncResult *result, gpointer data)
{
    struct call *call = data;
    gssize n_bytes =
        g_input_stream_read_finish(G_INPUT_STREAM(stream), result, NULL);
    if (n_bytes <= 0) {
        bool timeout = g_cancellable_is_cancelled(call->cancel);
        const char *error =
            n_bytes < 0 ? "connection reset"
                        : "connection closed before the end of the response";
        call_fail(call, timeout ? "timeout" : error);
        return;
    }
    g_byte_array_append(call->received, (const guint8 *)call->buffer,
                        (guint)n_bytes);
    if (!call_try_complete(call)) {
        call_read(call);
    }
}

static void
call_read(struct call *call)
{
    g_input_stream_read_async(
        g_io_stream_get_input_stream(G_IO_STREAM(call->connection)),
        call->buffer, READ_BUFFER_BYTES, G_PRIORITY_DEFAULT, call->cancel,
        on_read, call);
}

static void
on_written(GObject *stream, GAsyncResult *result, gpointer data)
{
    struct call *call = data;
    if (!g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result,
                                          NULL, NULL)) {
        call_fail(call, "cannot send");
        return;
    }
    call_read(call);
}

static void
call_write(struct call *call)
{
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(G_IO_STREAM(call->connection)),
        call->request_text, strlen(call->request_text), G_PRIORITY_DEFAULT,
        call->cancel, on_written, call);
}

static void
on_connected(GObject *client, GAsyncResult *result, gpointer data)
{
    struct call *call = data;
    call->connection = g_socket_client_connect_to_host_finish(
        G_SOCKET_CLIENT(client), result, NULL);
    if (call->connection == NULL) {
        call_fail(call, "cannot connect");
        return;
    }
    call_write(call);
}

static void
call_connect(struct call *call)
{
    g_socket_client_connect_to_host_async(call->http->client, call->target, 0,
                                          call->cancel, on_connected, call);
}

static gboolean
on_timeout(gpointer data)
{
    struct call *call = data;
    call->timer = 0;
    g_cancellable_cancel(call->cancel);
    return G_SOURCE_REMOVE;
}

void
load_http_post(struct load_http *http, const struct load_http_request *request)
{
    struct call *call = g_new0(struct call, 1);
    call->http = http;
    call->cancel = g_cancellable_new();
    call->received = g_byte_array_new();
    call->target = g_strdup(request->target);
    call->reuse_connection = request->reuse_connection;
    call->done = request->done;
    call->ctx = request->ctx;
    call->request_text = g_strdup_printf(
        "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: text/plain\r\n"
        "Content-Length: %zu\r\n%s%s\r\n%s",
        request->path, request->target, strlen(request->body),
        request->headers,
        request->reuse_connection ? "" : "Connection: close\r\n",
        request->body);
    call->timer = g_timeout_add((guint)http->timeout_ms, on_timeout, call);
    call->connection =
        request->reuse_connection ? take_idle(http, request->target) : NULL;
    call->reused_connection = call->connection != NULL;
    if (call->reused_connection) {
        call_write(call);
        return;
    }
    call_connect(call);
}
