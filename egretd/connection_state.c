#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "connections_internal.h"

enum {
    /* A body of unknown length that is too long is read up to this multiple
     * of its limit, so that its client gets the refusal. */
    EXCESS_BODY_FACTOR = 2,
    /* An eighth of the memory is left to responses, which are small, so that
     * they do not displace bodies that have been admitted. */
    RESPONSE_FRACTION = 8,
    /* Memory over the limit until the main loop can free some. */
    EXCESS_FRACTION = 16,
};

struct connection *
connection_find(SoupServerMessage *message)
{
    GSocket *socket = soup_server_message_get_socket(message);
    struct connection *connection =
        socket == NULL ? NULL
                       : g_object_get_data(G_OBJECT(socket), CONNECTION_DATA);
    return connection == NULL || connection->socket == NULL ? NULL
                                                            : connection;
}

static void
set_state(struct connection *connection, enum connection_state state)
{
    connection->facts.state = state;
    connection->facts.since_ms =
        ms_clock_now(&connection->owner->options.clock);
}

static void
set_held(struct connection *connection)
{
    struct connections *owner = connection->owner;
    int64_t held_bytes = connection->body_bytes + connection->response_bytes;
    owner->held_bytes += held_bytes - connection->facts.held_bytes;
    connection->facts.held_bytes = held_bytes;
    if (owner->held_bytes > owner->options.settings->max_buffered_bytes) {
        connections_schedule_relief(owner);
    }
}

static void
set_unsized(struct connection *connection, int64_t size_bytes)
{
    connection->owner->unsized_bytes +=
        size_bytes - connection->facts.unsized_bytes;
    connection->facts.unsized_bytes = size_bytes;
}

uint64_t
connection_received_bytes(const struct connection *connection)
{
    struct tcp_info info = {0};
    socklen_t size_bytes = sizeof(info);
    getsockopt(g_socket_get_fd(connection->socket), IPPROTO_TCP, TCP_INFO,
               &info, &size_bytes);
    return info.tcpi_bytes_received;
}

static void
on_got_headers(SoupServerMessage *message, void *data)
{
    struct connection *connection = connection_find(message);
    (void)data;
    if (connection == NULL) {
        return;
    }
    set_state(connection, CONNECTION_READING_BODY);
}

/* libsoup reads all that has arrived before the main loop can choose a
 * connection to close, so the one that grows far over the limit goes. */
static void
close_if_excessive(struct connection *connection)
{
    struct connections *owner = connection->owner;
    int64_t limit_bytes = owner->options.settings->max_buffered_bytes;
    if (owner->held_bytes > limit_bytes + limit_bytes / EXCESS_FRACTION) {
        connections_evict(owner, connection, CLOSE_MEMORY);
    }
}

static void
keep_piece(struct connection *connection, GBytes *piece)
{
    if (connection->body == NULL) {
        connection->body = g_byte_array_new();
    }
    g_byte_array_append(connection->body, g_bytes_get_data(piece, NULL),
                        (guint)g_bytes_get_size(piece));
    /* With a length, all of it counts from the header on. */
    if (connection->body->len > connection->body_bytes) {
        connection->body_bytes = connection->body->len;
        set_unsized(connection, connection->body_bytes);
        set_held(connection);
        connections_drop_unsized(connection->owner);
        close_if_excessive(connection);
    }
}

static void
on_got_chunk(SoupServerMessage *message, GBytes *chunk, void *data)
{
    struct connection *connection = connection_find(message);
    (void)data;
    if (connection == NULL) {
        return;
    }
    struct connections *owner = connection->owner;
    int64_t limit_bytes = owner->options.settings->max_body_bytes;
    set_state(connection, CONNECTION_READING_BODY);
    connection->body_received_bytes += (int64_t)g_bytes_get_size(chunk);
    if (connection->body_received_bytes > limit_bytes * EXCESS_BODY_FACTOR) {
        connections_evict(owner, connection, CLOSE_BODY_TOO_LARGE);
        return;
    }
    if (!connection->body_dropped) {
        keep_piece(connection, chunk);
    }
    if (connection->socket != NULL) {
        connection_note_piece(connection, message);
    }
}

static void
on_got_body(SoupServerMessage *message, void *data)
{
    struct connection *connection = connection_find(message);
    (void)data;
    if (connection != NULL) {
        set_state(connection, connection->response_ready ? CONNECTION_WRITING
                                                         : CONNECTION_SERVING);
    }
}

static void
on_wrote(SoupServerMessage *message, void *data)
{
    struct connection *connection = connection_find(message);
    (void)data;
    if (connection != NULL) {
        connection->facts.since_ms =
            ms_clock_now(&connection->owner->options.clock);
    }
}

static void
on_wrote_body_data(SoupServerMessage *message, guint size_bytes, void *data)
{
    (void)size_bytes;
    on_wrote(message, data);
}

static void
on_wrote_chunk(SoupServerMessage *message, void *data)
{
    struct connection *connection = connection_find(message);
    (void)data;
    if (connection != NULL && connection->streaming) {
        connection->response_bytes = 0;
        set_held(connection);
        /* It waits for the backend server. */
        set_state(connection, CONNECTION_SERVING);
    }
}

static void
reset_request(struct connection *connection)
{
    connection_resume(connection);
    connection->pieces = 0;
    connection->body_bytes = 0;
    connection->body_received_bytes = 0;
    connection->body_dropped = connection->owner->options.discard_bodies;
    connection->body_refused = false;
    set_unsized(connection, 0);
    connection_clear_body(connection);
    connection->response_bytes = 0;
    connection->response_ready = false;
    connection->streaming = false;
    set_held(connection);
    set_state(connection, CONNECTION_IDLE);
}

static void
on_finished(SoupServerMessage *message, void *data)
{
    struct connection *connection = connection_find(message);
    (void)data;
    if (connection != NULL) {
        reset_request(connection);
        /* Of a header that is pipelined after this request and cut off, the
         * part that has come is missed; then the connection counts as idle. */
        connection->tcp_received_bytes = connection_received_bytes(connection);
    }
}

void
connection_track(struct connection *connection, SoupServerMessage *message)
{
    reset_request(connection);
    /* libsoup keeps each piece of a body apart, with a list node and two
     * allocations, however short the piece is. */
    soup_message_body_set_accumulate(
        soup_server_message_get_request_body(message), FALSE);
    g_signal_connect(message, "got-headers", G_CALLBACK(on_got_headers), NULL);
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_got_chunk), NULL);
    g_signal_connect(message, "got-body", G_CALLBACK(on_got_body), NULL);
    g_signal_connect(message, "wrote-headers", G_CALLBACK(on_wrote), NULL);
    g_signal_connect(message, "wrote-body-data",
                     G_CALLBACK(on_wrote_body_data), NULL);
    g_signal_connect(message, "wrote-chunk", G_CALLBACK(on_wrote_chunk), NULL);
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), NULL);
}

bool
connections_admit(struct connections *connections, SoupServerMessage *message)
{
    struct connection *connection = connection_find(message);
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(message);
    if (connection == NULL || soup_message_headers_get_encoding(headers) !=
                                  SOUP_ENCODING_CONTENT_LENGTH) {
        return true;
    }
    int64_t size_bytes = soup_message_headers_get_content_length(headers);
    const struct settings *settings = connections->options.settings;
    int64_t limit_bytes = settings->max_buffered_bytes;
    limit_bytes -= limit_bytes / RESPONSE_FRACTION;
    if (size_bytes > 0 && connections->held_bytes + size_bytes > limit_bytes) {
        connections->wanted_bytes =
            MAX(connections->wanted_bytes,
                size_bytes + settings->max_buffered_bytes - limit_bytes);
        connections_schedule_relief(connections);
        return false;
    }
    connection->body_bytes = size_bytes;
    set_held(connection);
    return true;
}

void
connection_clear_body(struct connection *connection)
{
    g_clear_pointer(&connection->body, g_byte_array_unref);
}

GBytes *
connection_take_body(SoupServerMessage *message)
{
    struct connection *connection = connection_find(message);
    if (connection == NULL || connection->body_dropped) {
        return NULL;
    }
    if (connection->body == NULL) {
        return g_bytes_new_static("", 0);
    }
    return g_byte_array_free_to_bytes(g_steal_pointer(&connection->body));
}

static void
drop_body(struct connection *connection)
{
    connection->body_dropped = true;
    connection->body_bytes = 0;
    connection_clear_body(connection);
    set_unsized(connection, 0);
    set_held(connection);
}

void
connection_drop_body(SoupServerMessage *message)
{
    struct connection *connection = connection_find(message);
    if (connection != NULL && !connection->body_dropped) {
        drop_body(connection);
    }
}

void
connection_refuse_body(struct connection *connection)
{
    connection->body_refused = true;
    drop_body(connection);
}

bool
connection_body_refused(SoupServerMessage *message)
{
    struct connection *connection = connection_find(message);
    return connection != NULL && connection->body_refused;
}

void
connection_set_hang_up_handler(SoupServerMessage *message,
                               void (*hang_up)(void *ctx), void *ctx)
{
    struct connection *connection = connection_find(message);
    if (connection != NULL) {
        connection->hang_up = hang_up;
        connection->ctx = ctx;
    }
}

void
connection_response_ready(SoupServerMessage *message, int64_t size_bytes)
{
    struct connection *connection = connection_find(message);
    if (connection != NULL) {
        connection->response_ready = true;
        connection->response_bytes += size_bytes;
        set_held(connection);
        set_state(connection, CONNECTION_WRITING);
    }
}

void
connection_response_started(SoupServerMessage *message)
{
    struct connection *connection = connection_find(message);
    if (connection != NULL) {
        connection->streaming = true;
        connection_response_ready(message, 0);
    }
}

void
connection_response_completed(SoupServerMessage *message)
{
    struct connection *connection = connection_find(message);
    if (connection != NULL) {
        connection->streaming = false;
        connection_response_ready(message, 0);
    }
}

void
connection_response_aborted(SoupServerMessage *message)
{
    struct connection *connection = connection_find(message);
    if (connection != NULL) {
        g_socket_shutdown(connection->socket, TRUE, TRUE, NULL);
    }
}
