#include "store_exchange.h"

#include <string.h>

#include "store_internal.h"

struct exchange {
    struct store *store;
    struct exchange_handler handler;
    SoupSession *session;
    SoupMessage *message;
    GCancellable *cancellable;
    int64_t deadline_ms;
    guint timer;
    bool started;
    bool sent;
};

static void
exchange_free(struct exchange *exchange)
{
    g_object_unref(exchange->session);
    g_object_unref(exchange->message);
    g_object_unref(exchange->cancellable);
    g_free(exchange);
}

/*
 * Detaches the exchange from its store. A started exchange is freed when
 * libsoup has finished with it, others at once.
 */
static struct exchange_handler
exchange_detach(struct exchange *exchange)
{
    struct exchange_handler handler = exchange->handler;
    struct store *store = exchange->store;
    if (exchange->timer != 0) {
        g_source_remove(exchange->timer);
        exchange->timer = 0;
    }
    store->exchanges = g_list_remove(store->exchanges, exchange);
    exchange->store = NULL;
    g_cancellable_cancel(exchange->cancellable);
    if (!exchange->started) {
        exchange_free(exchange);
    }
    return handler;
}

static void
deliver(struct exchange *exchange, const struct exchange_reply *reply)
{
    struct store *store = exchange->store;
    if (reply->outcome == EXCHANGE_RESPONDED) {
        store->last_answer_ms = ms_clock_now(&store->clock);
        store->stats.bytes_in += g_bytes_get_size(reply->body);
    }
    else {
        store->stats.failures++;
    }
    struct exchange_handler handler = exchange_detach(exchange);
    handler.done(handler.ctx, reply);
}

static enum exchange_outcome
failure_outcome(const struct exchange *exchange)
{
    return exchange->sent ? EXCHANGE_NO_RESPONSE : EXCHANGE_NOT_SENT;
}

static uint64_t
read_index(SoupMessage *message)
{
    const char *text = soup_message_headers_get_one(
        soup_message_get_response_headers(message), "X-Consul-Index");
    return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

/* Whether the body has the announced length; a truncated response is handled
 * like a missing one. */
static bool
is_complete(SoupMessage *message, GBytes *body)
{
    SoupMessageHeaders *headers = soup_message_get_response_headers(message);
    if (soup_message_headers_get_encoding(headers) !=
        SOUP_ENCODING_CONTENT_LENGTH) {
        return true;
    }
    goffset announced = soup_message_headers_get_content_length(headers);
    return announced == (goffset)g_bytes_get_size(body);
}

static void
on_response(GObject *source, GAsyncResult *result, void *data)
{
    struct exchange *exchange = data;
    GError *error = NULL;
    GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                     result, &error);
    struct exchange_reply reply = {.reason = "truncated response"};
    exchange->started = false;
    if (exchange->store == NULL) {
        exchange_free(exchange);
    }
    else if (body == NULL || !is_complete(exchange->message, body)) {
        reply.outcome = failure_outcome(exchange);
        reply.reason = error == NULL ? reply.reason : error->message;
        deliver(exchange, &reply);
    }
    else {
        reply.outcome = EXCHANGE_RESPONDED;
        reply.http_status = soup_message_get_status(exchange->message);
        reply.index = read_index(exchange->message);
        reply.body = body;
        deliver(exchange, &reply);
    }
    g_clear_pointer(&body, g_bytes_unref);
    g_clear_error(&error);
}

static gboolean
on_deadline(void *data)
{
    struct exchange *exchange = data;
    exchange->timer = 0;
    struct exchange_reply reply = {
        .outcome = failure_outcome(exchange),
        .reason = "no response before the deadline",
    };
    deliver(exchange, &reply);
    return G_SOURCE_REMOVE;
}

static void
on_starting(SoupMessage *message, void *data)
{
    (void)message;
    struct exchange *exchange = data;
    exchange->sent = true;
}

static gboolean
start_request(void *data)
{
    struct exchange *exchange = data;
    exchange->timer =
        g_timeout_add((guint)exchange->deadline_ms, on_deadline, exchange);
    exchange->started = true;
    exchange->store->stats.calls++;
    soup_session_send_and_read_async(exchange->session, exchange->message,
                                     G_PRIORITY_DEFAULT, exchange->cancellable,
                                     on_response, exchange);
    return G_SOURCE_REMOVE;
}

static SoupMessage *
make_message(struct store *store, const struct exchange_request *request)
{
    char *url = g_strconcat(store->url, request->path, NULL);
    SoupMessage *message = soup_message_new(request->method, url);
    if (!request->reuse) {
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
        soup_message_headers_replace(soup_message_get_request_headers(message),
                                     "Connection", "close");
    }
    if (request->body != NULL) {
        soup_message_set_request_body_from_bytes(
            message, "application/octet-stream", request->body);
        store->stats.bytes_out += g_bytes_get_size(request->body);
    }
    g_free(url);
    return message;
}

struct exchange *
exchange_start(struct store *store, const struct exchange_request *request,
               struct exchange_handler handler)
{
    struct exchange *exchange = g_new0(struct exchange, 1);
    exchange->store = store;
    exchange->handler = handler;
    exchange->session = g_object_ref(store->session);
    exchange->message = make_message(store, request);
    exchange->cancellable = g_cancellable_new();
    exchange->deadline_ms = request->deadline_ms;
    g_signal_connect(exchange->message, "starting", G_CALLBACK(on_starting),
                     exchange);
    store->exchanges = g_list_prepend(store->exchanges, exchange);
    if (request->delay_ms > 0) {
        exchange->timer =
            g_timeout_add((guint)request->delay_ms, start_request, exchange);
    }
    else {
        start_request(exchange);
    }
    return exchange;
}

void
exchange_abandon(struct exchange *exchange)
{
    struct exchange_handler handler = exchange_detach(exchange);
    handler.done(handler.ctx, NULL);
}
