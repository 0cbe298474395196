#include "egretd/request.h"

#include "egretd/connections.h"

/* A caller's paused message that waits for the answer. */
struct waiter {
    struct request *request;
    SoupServerMessage *message;
    gulong finished_handler;
};

static void
waiter_destroy(void *data)
{
    struct waiter *waiter = data;
    connection_set_hang_up_handler(waiter->message, NULL, NULL);
    g_signal_handler_disconnect(waiter->message, waiter->finished_handler);
    g_object_unref(waiter->message);
    g_free(waiter);
}

struct request *
request_create(void)
{
    struct request *request = g_new0(struct request, 1);
    request->waiters = g_ptr_array_new_with_free_func(waiter_destroy);
    return request;
}

void
request_destroy(struct request *request)
{
    if (request == NULL) {
        return;
    }
    g_ptr_array_unref(request->waiters);
    g_clear_pointer(&request->body, g_bytes_unref);
    answer_destroy(request->last_failure);
    g_free(request->task_name);
    g_free(request->team);
    g_free(request->queue);
    g_free(request->key_id);
    g_free(request->request_id);
    g_free(request->content_type);
    g_free(request->host);
    g_free(request);
}

static void
remove_waiter(struct waiter *waiter)
{
    struct request *request = waiter->request;
    if (request->streaming == waiter->message) {
        g_signal_handler_disconnect(waiter->message,
                                    request->wrote_chunk_handler);
        request->streaming = NULL;
    }
    g_ptr_array_remove_fast(request->waiters, waiter);
    if (request->waiters->len == 0 && request->abandoned != NULL) {
        request->abandoned(request->callback_ctx, request);
    }
}

static void
on_finished(SoupServerMessage *message, void *data)
{
    (void)message;
    remove_waiter(data);
}

static void
on_hang_up(void *ctx)
{
    struct waiter *waiter = ctx;
    SoupServerMessage *message = g_object_ref(waiter->message);
    remove_waiter(waiter);
    /* On writing a response the server detects the closed connection and frees
     * the message. */
    soup_server_message_set_status(message, SOUP_STATUS_BAD_REQUEST, NULL);
    soup_server_message_unpause(message);
    g_object_unref(message);
}

void
request_add_waiter(struct request *request, SoupServerMessage *message)
{
    struct waiter *waiter = g_new0(struct waiter, 1);
    waiter->request = request;
    waiter->message = g_object_ref(message);
    waiter->finished_handler =
        g_signal_connect(message, "finished", G_CALLBACK(on_finished), waiter);
    connection_set_hang_up_handler(message, on_hang_up, waiter);
    g_ptr_array_add(request->waiters, waiter);
}

void
request_answer(struct request *request, const struct answer *answer)
{
    while (request->waiters->len > 0) {
        struct waiter *waiter =
            g_ptr_array_index(request->waiters, request->waiters->len - 1);
        SoupServerMessage *message = g_object_ref(waiter->message);
        g_ptr_array_set_size(request->waiters, (int)request->waiters->len - 1);
        answer_write(answer, message, request->task_name, request->request_id);
        connection_response_ready(
            message, soup_server_message_get_response_body(message)->length);
        soup_server_message_unpause(message);
        g_object_unref(message);
    }
}

static void
on_wrote_chunk(SoupServerMessage *message, void *data)
{
    struct request *request = data;
    (void)message;
    request->wrote(request->callback_ctx, request);
}

bool
request_stream_start(struct request *request, const struct answer_head *head,
                     void (*wrote)(void *ctx, struct request *request))
{
    if (request->waiters->len != 1 || request->request_id != NULL) {
        return false;
    }
    struct waiter *waiter = g_ptr_array_index(request->waiters, 0);
    request->streaming = waiter->message;
    request->wrote = wrote;
    request->wrote_chunk_handler = g_signal_connect(
        waiter->message, "wrote-chunk", G_CALLBACK(on_wrote_chunk), request);
    answer_write_head(head, waiter->message, request->task_name);
    connection_response_started(waiter->message);
    soup_server_message_unpause(waiter->message);
    return true;
}

void
request_stream_data(struct request *request, GBytes *piece)
{
    if (request->streaming == NULL) {
        return;
    }
    soup_message_body_append_bytes(
        soup_server_message_get_response_body(request->streaming), piece);
    connection_response_ready(request->streaming,
                              (int64_t)g_bytes_get_size(piece));
    soup_server_message_unpause(request->streaming);
}

void
request_stream_end(struct request *request, bool complete)
{
    SoupServerMessage *message = request->streaming;
    if (message == NULL) {
        return;
    }
    g_object_ref(message);
    g_signal_handler_disconnect(message, request->wrote_chunk_handler);
    request->streaming = NULL;
    request->abandoned = NULL;
    g_ptr_array_set_size(request->waiters, 0);
    if (complete) {
        soup_message_body_complete(
            soup_server_message_get_response_body(message));
        connection_response_completed(message);
    }
    else {
        connection_response_aborted(message);
    }
    soup_server_message_unpause(message);
    g_object_unref(message);
}
