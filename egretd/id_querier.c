#include "egretd/id_querier.h"

#include "common/json_read.h"
#include "common/json_write.h"
#include "common/request_auth.h"

struct id_querier {
    struct id_querier_options options;
    SoupSession *session;
    GHashTable *calls;
};

struct call {
    /* NULL once the querier was destroyed. */
    struct id_querier *querier;
    char *team;
    char *id;
    char *peer;
    GCancellable *cancellable;
    guint timer;
};

static void
call_destroy(struct call *call)
{
    if (call->timer != 0) {
        g_source_remove(call->timer);
    }
    g_object_unref(call->cancellable);
    g_free(call->team);
    g_free(call->id);
    g_free(call->peer);
    g_free(call);
}

char *
id_query_reply_format(const struct id_query_reply *reply)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "knowledge");
    json_builder_add_int_value(builder, reply->result);
    json_builder_set_member_name(builder, "outcome");
    json_builder_add_int_value(builder, reply->outcome);
    json_builder_set_member_name(builder, "reason");
    json_builder_add_int_value(builder, reply->reason);
    if (reply->answer != NULL) {
        gsize size_bytes;
        const guchar *data = g_bytes_get_data(reply->answer, &size_bytes);
        char *text = g_base64_encode(data, size_bytes);
        json_builder_set_member_name(builder, "answer");
        json_builder_add_string_value(builder, text);
        g_free(text);
    }
    json_builder_set_member_name(builder, "earlier");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < reply->n_earlier_owners; i++) {
        json_builder_add_string_value(builder, reply->earlier_owners[i]);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    char *text = json_write_finish(builder, NULL);
    return text;
}

static int64_t
read_int(JsonObject *object, const char *name, int64_t max)
{
    int64_t value = json_object_get_int_member_with_default(object, name, -1);
    return value < 0 || value > max ? -1 : value;
}

static void
read_earlier_owners(JsonObject *object, struct id_query_reply *reply)
{
    JsonNode *node = json_object_get_member(object, "earlier");
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        return;
    }
    JsonArray *names = json_node_get_array(node);
    guint n =
        MIN(json_array_get_length(names), REQUEST_IDS_EARLIER_OWNERS_MAX);
    for (guint i = 0; i < n; i++) {
        const char *name = json_array_get_string_element(names, i);
        if (name != NULL) {
            reply->earlier_owners[reply->n_earlier_owners++] = name;
        }
    }
}

static bool
read_reply(JsonObject *object, struct id_query_reply *reply)
{
    int64_t result = read_int(object, "knowledge", ID_QUERY_OWNER_GONE);
    int64_t outcome = read_int(object, "outcome", OUTCOME_UNKNOWN);
    int64_t reason = read_int(object, "reason", REASON_COUNT - 1);
    if (result < 0 || outcome < 0 || reason < 0) {
        return false;
    }
    reply->result = (enum id_query_result)result;
    reply->outcome = (enum outcome)outcome;
    reply->reason = (enum reason)reason;
    const char *text =
        json_object_get_string_member_with_default(object, "answer", NULL);
    if (text != NULL) {
        gsize size_bytes;
        guchar *data = g_base64_decode(text, &size_bytes);
        reply->answer = g_bytes_new_take(data, size_bytes);
    }
    read_earlier_owners(object, reply);
    return true;
}

static void
finish_call(struct call *call, const struct id_query_reply *reply)
{
    struct id_querier *querier = call->querier;
    if (querier != NULL) {
        g_hash_table_remove(querier->calls, call);
        querier->options.replied(querier->options.ctx, call->team, call->id,
                                 call->peer, reply);
    }
    call_destroy(call);
}

static void
on_answer(GObject *source, GAsyncResult *result, void *data)
{
    struct call *call = data;
    struct id_query_reply reply = {.result = ID_QUERY_UNREACHABLE};
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    JsonParser *parser = json_parser_new();
    gsize size_bytes = 0;
    const char *text =
        body == NULL ? NULL : g_bytes_get_data(body, &size_bytes);
    if (text == NULL || !json_load_text(parser, text, size_bytes, NULL) ||
        !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)) ||
        !read_reply(json_node_get_object(json_parser_get_root(parser)),
                    &reply)) {
        reply.result = ID_QUERY_UNREACHABLE;
    }
    finish_call(call, &reply);
    g_clear_pointer(&reply.answer, g_bytes_unref);
    g_object_unref(parser);
    g_clear_pointer(&body, g_bytes_unref);
}

static gboolean
on_timeout(void *data)
{
    struct call *call = data;
    call->timer = 0;
    g_cancellable_cancel(call->cancellable);
    return G_SOURCE_REMOVE;
}

void
id_querier_send(struct id_querier *querier, const struct id_query *query)
{
    struct call *call = g_new0(struct call, 1);
    char *path = g_strdup_printf("/v1/ids/%s/%s", query->team, query->id);
    char *url = g_strdup_printf("http://%s%s", query->address, path);
    char *auth = request_auth_sign(querier->options.secret, SOUP_METHOD_GET,
                                   path, query->querier);
    SoupMessage *message = soup_message_new(SOUP_METHOD_GET, url);
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    soup_message_headers_append(headers, "Egret-Asker", query->querier);
    soup_message_headers_append(headers, "Egret-Auth", auth);
    soup_message_headers_append(headers, "Connection", "close");
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    call->querier = querier;
    call->team = g_strdup(query->team);
    call->id = g_strdup(query->id);
    call->peer = g_strdup(query->peer);
    call->cancellable = g_cancellable_new();
    call->timer =
        g_timeout_add((guint)querier->options.timeout_ms, on_timeout, call);
    g_hash_table_add(querier->calls, call);
    soup_session_send_and_read_async(querier->session, message,
                                     G_PRIORITY_DEFAULT, call->cancellable,
                                     on_answer, call);
    g_object_unref(message);
    g_free(auth);
    g_free(url);
    g_free(path);
}

struct id_querier *
id_querier_create(const struct id_querier_options *options)
{
    struct id_querier *querier = g_new0(struct id_querier, 1);
    querier->options = *options;
    querier->calls = g_hash_table_new(NULL, NULL);
    querier->session =
        soup_session_new_with_options("proxy-resolver", NULL, NULL);
    return querier;
}

void
id_querier_destroy(struct id_querier *querier)
{
    if (querier == NULL) {
        return;
    }
    GHashTableIter iter;
    void *key;
    g_hash_table_iter_init(&iter, querier->calls);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        /* The cancelled call still ends in on_answer(), which frees it. */
        struct call *call = key;
        call->querier = NULL;
        g_cancellable_cancel(call->cancellable);
    }
    g_object_unref(querier->session);
    g_hash_table_unref(querier->calls);
    g_free(querier);
}
