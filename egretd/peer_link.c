#include "peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "common/log.h"
#include "common/request_auth.h"
#include "peer_proof.h"
#include "wire/frame.h"

enum {
    READ_BUFFER_BYTES = 4096,
    /* Fits a whole configuration and some heartbeats behind it. */
    WRITE_QUEUE_MAX_BYTES = FRAME_MAX_BYTES + (64 << 10),
};

struct peer_link {
    struct peer_link_options options;
    char *dialled;
    GCancellable *cancellable;
    struct frame_reader *reader;
    GQueue writes;
    size_t queued_bytes;
    bool writing;
    bool closed;
    bool authenticated;
    struct message_hello own_hello;
    struct message *hello;
    int64_t last_frame_ms;
    uint8_t input[READ_BUFFER_BYTES];
};

static void
link_clear(void *data)
{
    struct peer_link *link = data;
    g_queue_clear_full(&link->writes, (GDestroyNotify)g_bytes_unref);
    g_object_unref(link->cancellable);
    g_object_unref(link->options.connection);
    frame_reader_destroy(link->reader);
    message_destroy(link->hello);
    g_free(link->dialled);
}

/* Each pending read or write holds a reference. */
static void
link_unref(struct peer_link *link)
{
    g_rc_box_release_full(link, link_clear);
}

static void
link_end(struct peer_link *link, bool fault)
{
    if (link->closed) {
        return;
    }
    link->closed = true;
    g_cancellable_cancel(link->cancellable);
    GSocket *socket = g_socket_connection_get_socket(link->options.connection);
    g_socket_close(socket, NULL);
    link->options.handler.closed(link->options.handler.ctx, link, fault);
    link_unref(link);
}

void
peer_link_close(struct peer_link *link)
{
    link_end(link, false);
}

static void
link_reject(struct peer_link *link, const char *reason)
{
    log_line(LOG_LEVEL_WARN, "peer-rejected", "peer=%s reason=%s",
             link->hello == NULL
                 ? "-"
                 : log_quote(link->hello->as.hello.incarnation),
             log_quote(reason));
    link_end(link, true);
}

static void
write_next(struct peer_link *link);

static void
on_written(GObject *source, GAsyncResult *result, void *ctx)
{
    struct peer_link *link = ctx;
    GBytes *frame = g_queue_pop_head(&link->writes);
    bool good = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source),
                                                 result, NULL, NULL);
    link->writing = false;
    link->queued_bytes -= g_bytes_get_size(frame);
    g_bytes_unref(frame);
    if (!good) {
        link_end(link, false);
    }
    if (!link->closed) {
        write_next(link);
    }
    link_unref(link);
}

static void
write_next(struct peer_link *link)
{
    GBytes *frame = g_queue_peek_head(&link->writes);
    if (link->writing || frame == NULL) {
        return;
    }
    GOutputStream *out =
        g_io_stream_get_output_stream(G_IO_STREAM(link->options.connection));
    gsize size_bytes;
    const void *bytes = g_bytes_get_data(frame, &size_bytes);
    link->writing = true;
    g_rc_box_acquire(link);
    g_output_stream_write_all_async(out, bytes, size_bytes, G_PRIORITY_DEFAULT,
                                    link->cancellable, on_written, link);
}

bool
peer_link_send(struct peer_link *link, GBytes *frame)
{
    if (link->closed) {
        return false;
    }
    size_t size_bytes = g_bytes_get_size(frame);
    if (link->queued_bytes + size_bytes > WRITE_QUEUE_MAX_BYTES) {
        /* Counts as idle and is closed by the next check for idle links. Not
         * closed here: the caller may be iterating over its links. */
        link->last_frame_ms = INT64_MIN;
        return false;
    }
    link->options.traffic->frames_out++;
    link->options.traffic->bytes_out += size_bytes;
    link->queued_bytes += size_bytes;
    g_queue_push_tail(&link->writes, g_bytes_ref(frame));
    write_next(link);
    return true;
}

GBytes *
peer_link_make_frame(const struct message *message)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    message_encode(message, &buffer);
    GBytes *frame = frame_wrap(buffer.data, buffer.size);
    msgpack_sbuffer_destroy(&buffer);
    return frame;
}

static void
send_message(struct peer_link *link, const struct message *message)
{
    GBytes *frame = peer_link_make_frame(message);
    peer_link_send(link, frame);
    g_bytes_unref(frame);
}

static void
handle_hello(struct peer_link *link, struct message *hello)
{
    link->hello = hello;
    const struct message_hello *other = &hello->as.hello;
    if (strcmp(other->incarnation, link->own_hello.incarnation) == 0) {
        link_reject(link, "HELLO names this gateway's own incarnation");
        return;
    }
    struct message proof = {.type = MESSAGE_PROOF};
    peer_proof_make(
        &(struct peer_proof){link->dialled != NULL, &link->own_hello, other},
        link->options.secret, proof.as.proof.mac);
    send_message(link, &proof);
}

static void
handle_proof(struct peer_link *link, const struct message_proof *proof)
{
    uint8_t expected[MESSAGE_NONCE_BYTES];
    peer_proof_make(&(struct peer_proof){link->dialled == NULL,
                                         &link->hello->as.hello,
                                         &link->own_hello},
                    link->options.secret, expected);
    if (!constant_time_equal(expected, proof->mac, sizeof(expected))) {
        link_reject(link, "proof does not match the shared secret");
        return;
    }
    link->authenticated = true;
    frame_reader_set_max(link->reader, FRAME_MAX_BYTES);
    if (!link->options.handler.authenticated(link->options.handler.ctx,
                                             link)) {
        link->authenticated = false;
        link_end(link, false);
    }
}

/* Takes ownership of @message. */
static void
handle_message(struct peer_link *link, struct message *message)
{
    if (link->hello == NULL && message->type == MESSAGE_HELLO) {
        handle_hello(link, message);
        return;
    }
    bool handshake =
        message->type == MESSAGE_HELLO || message->type == MESSAGE_PROOF;
    if (link->authenticated && !handshake) {
        link->options.handler.message(link->options.handler.ctx, link,
                                      message);
    }
    else if (!link->authenticated && link->hello != NULL &&
             message->type == MESSAGE_PROOF) {
        handle_proof(link, &message->as.proof);
    }
    else {
        link_reject(link,
                    "message type not allowed in this state of the handshake");
    }
    message_destroy(message);
}

static void
handle_frames(struct peer_link *link)
{
    struct status status;
    status_clear(&status);
    const uint8_t *bytes;
    size_t size_bytes;
    while (!link->closed &&
           frame_reader_next(link->reader, &bytes, &size_bytes, &status)) {
        link->options.traffic->frames_in++;
        link->last_frame_ms = ms_clock_now(&link->options.clock);
        struct message *message = message_decode(bytes, size_bytes, &status);
        if (message == NULL) {
            link_reject(link, status.message);
            return;
        }
        handle_message(link, message);
    }
    if (!link->closed && !status_ok(&status)) {
        link_reject(link, status.message);
    }
}

static void
read_next(struct peer_link *link);

static void
on_bytes_read(GObject *source, GAsyncResult *result, void *ctx)
{
    struct peer_link *link = ctx;
    gssize size_bytes =
        g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
    if (link->closed) {
        link_unref(link);
        return;
    }
    if (size_bytes <= 0) {
        /* A connection that ends before its handshake counts as a fault, like
         * malformed bytes. */
        link_end(link, !link->authenticated && link->dialled == NULL);
        link_unref(link);
        return;
    }
    link->options.traffic->bytes_in += (uint64_t)size_bytes;
    frame_reader_feed(link->reader, link->input, (size_t)size_bytes);
    handle_frames(link);
    if (!link->closed) {
        read_next(link);
    }
    link_unref(link);
}

static void
read_next(struct peer_link *link)
{
    GInputStream *in =
        g_io_stream_get_input_stream(G_IO_STREAM(link->options.connection));
    g_rc_box_acquire(link);
    g_input_stream_read_async(in, link->input, READ_BUFFER_BYTES,
                              G_PRIORITY_DEFAULT, link->cancellable,
                              on_bytes_read, link);
}

struct peer_link *
peer_link_create(const struct peer_link_options *options)
{
    struct peer_link *link = g_rc_box_new0(struct peer_link);
    link->options = *options;
    link->dialled = g_strdup(options->dialled);
    g_object_ref(options->connection);
    link->cancellable = g_cancellable_new();
    link->reader = frame_reader_create(FRAME_UNAUTHENTICATED_MAX_BYTES);
    g_queue_init(&link->writes);
    link->last_frame_ms = ms_clock_now(&options->clock);
    link->own_hello.incarnation = (char *)options->incarnation;
    link->own_hello.name = (char *)options->name;
    GSocket *socket = g_socket_connection_get_socket(options->connection);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    if (!peer_proof_make_nonce(link->own_hello.nonce)) {
        link_unref(link);
        return NULL;
    }
    send_message(link, &(struct message){.type = MESSAGE_HELLO,
                                         .as.hello = link->own_hello});
    read_next(link);
    return link;
}

const char *
peer_link_incarnation(const struct peer_link *link)
{
    return link->hello == NULL ? NULL : link->hello->as.hello.incarnation;
}

const char *
peer_link_dialled(const struct peer_link *link)
{
    return link->dialled;
}

bool
peer_link_authenticated(const struct peer_link *link)
{
    return link->authenticated;
}

int64_t
peer_link_last_frame_ms(const struct peer_link *link)
{
    return link->last_frame_ms;
}
