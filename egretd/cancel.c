#include "egretd/cancel.h"

#include <string.h>

#include "egretd/connections.h"

struct cancel_relay {
    SoupSession *session;
    int64_t timeout_ms;
    GHashTable *calls;
};

struct call {
    struct cancel_relay *relay;
    SoupServerMessage *message;
    GCancellable *cancellable;
    guint timer;
};

static void
call_destroy(void *data)
{
    struct call *call = data;
    if (call->timer != 0) {
        g_source_remove(call->timer);
    }
    g_object_unref(call->message);
    g_object_unref(call->cancellable);
    g_free(call);
}

static void
reply(SoupServerMessage *message, unsigned status, char *text)
{
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
}

static void
reply_state(SoupServerMessage *message, const char *state)
{
    reply(message, SOUP_STATUS_OK,
          g_strdup_printf("{\"state\":\"%s\"}", state));
}

static void
on_answer(GObject *source, GAsyncResult *result, void *data)
{
    struct call *call = data;
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    if (body == NULL) {
        reply(call->message, SOUP_STATUS_BAD_GATEWAY,
              g_strdup("{\"state\":\"unknown\"}"));
    }
    else {
        gsize size_bytes;
        const char *text = g_bytes_get_data(body, &size_bytes);
        reply(call->message, SOUP_STATUS_OK, g_strndup(text, size_bytes));
        g_bytes_unref(body);
    }
    connection_response_ready(
        call->message,
        soup_server_message_get_response_body(call->message)->length);
    soup_server_message_unpause(call->message);
    g_hash_table_remove(call->relay->calls, call);
}

static gboolean
on_timeout(void *data)
{
    struct call *call = data;
    call->timer = 0;
    g_cancellable_cancel(call->cancellable);
    return G_SOURCE_REMOVE;
}

static void
relay_cancel(struct cancel_relay *relay, SoupServerMessage *message,
             const char *address, const char *request_id)
{
    struct call *call = g_new0(struct call, 1);
    char *url =
        g_strdup_printf("http://%s/v1/requests/%s", address, request_id);
    SoupMessage *relayed = soup_message_new(SOUP_METHOD_DELETE, url);
    SoupMessageHeaders *headers = soup_message_get_request_headers(relayed);
    const char *key = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Authorization");
    soup_message_headers_append(headers, "Authorization", key);
    soup_message_headers_append(headers, "Egret-Sent-On", "true");
    soup_message_headers_append(headers, "Connection", "close");
    soup_message_add_flags(relayed, SOUP_MESSAGE_NEW_CONNECTION);
    call->relay = relay;
    call->message = g_object_ref(message);
    call->cancellable = g_cancellable_new();
    call->timer = g_timeout_add((guint)relay->timeout_ms, on_timeout, call);
    g_hash_table_add(relay->calls, call);
    soup_server_message_pause(message);
    soup_session_send_and_read_async(relay->session, relayed,
                                     G_PRIORITY_DEFAULT, call->cancellable,
                                     on_answer, call);
    g_object_unref(relayed);
    g_free(url);
}

void
cancel_request(struct cancel_relay *relay, struct engine *engine,
               SoupServerMessage *message, const char *team,
               const char *request_id)
{
    struct forward_target owner;
    bool is_relayed = soup_message_headers_get_one(
                          soup_server_message_get_request_headers(message),
                          "Egret-Sent-On") != NULL;
    const char *state = engine_cancel_by_id(engine, team, request_id);
    if (g_str_equal(state, "not-found") && !is_relayed &&
        engine_find_owner(engine, team, request_id, &owner)) {
        relay_cancel(relay, message, owner.address, request_id);
        return;
    }
    reply_state(message, state);
}

struct cancel_relay *
cancel_relay_create(int64_t timeout_ms)
{
    struct cancel_relay *relay = g_new0(struct cancel_relay, 1);
    relay->timeout_ms = timeout_ms;
    relay->calls = g_hash_table_new_full(NULL, NULL, call_destroy, NULL);
    relay->session =
        soup_session_new_with_options("proxy-resolver", NULL, NULL);
    return relay;
}

void
cancel_relay_destroy(struct cancel_relay *relay)
{
    if (relay == NULL) {
        return;
    }
    soup_session_abort(relay->session);
    g_object_unref(relay->session);
    g_hash_table_unref(relay->calls);
    g_free(relay);
}
