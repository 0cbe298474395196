#include "egretd/forwards.h"

#include <string.h>

#include "common/request_auth.h"
#include "egretd/fetch.h"

enum {
    CONNECTIONS_MAX = 1024,
    PEER_CONNECTIONS_MAX = 256,
    FORWARD_FIELD_COUNT = 8,
    FORWARD_HOPS_MAX = 16,
};

struct forwards {
    struct forwards_options options;
    SoupSession *session;
    GHashTable *calls;
};

struct call {
    struct forwards *forwards;
    uint64_t task;
    SoupMessage *message;
    struct fetch *fetch;
    bool sent;
    guint timer;
    int64_t timeout_ms;
};

static void
call_destroy(void *data)
{
    struct call *call = data;
    if (call->timer != 0) {
        g_source_remove(call->timer);
    }
    if (call->fetch != NULL) {
        fetch_abandon(call->fetch);
    }
    g_signal_handlers_disconnect_by_data(call->message, call);
    g_object_unref(call->message);
    g_free(call);
}

char *
forward_header_format(const struct request *request, bool to_owner)
{
    /* No field contains ';': names and request ids are validated. */
    return g_strdup_printf(
        "%s;%s;%s;%s;%s;%s;%s;%u", request->team,
        request->key_id == NULL ? "-" : request->key_id,
        request->key_id == NULL ? "-" : request->key_hash_hex,
        request->idempotent ? "idempotent" : "once",
        request->request_id == NULL ? "-" : request->request_id,
        to_owner ? "keep" : "any", request->first_attempt ? "first" : "again",
        request->hops + 1);
}

bool
forward_header_parse(const char *value, struct request *request)
{
    char **fields = g_strsplit(value, ";", FORWARD_FIELD_COUNT + 1);
    uint64_t hops = 0;
    bool valid = g_strv_length(fields) == FORWARD_FIELD_COUNT &&
                 config_name_valid(fields[0]) &&
                 g_ascii_string_to_unsigned(fields[7], 10, 1, FORWARD_HOPS_MAX,
                                            &hops, NULL);
    if (valid) {
        request->team = g_strdup(fields[0]);
        if (!g_str_equal(fields[1], "-")) {
            request->key_id = g_strdup(fields[1]);
            g_strlcpy(request->key_hash_hex, fields[2],
                      sizeof(request->key_hash_hex));
        }
        request->idempotent = g_str_equal(fields[3], "idempotent");
        if (!g_str_equal(fields[4], "-")) {
            request->request_id = g_strdup(fields[4]);
        }
        request->to_owner = g_str_equal(fields[5], "keep");
        request->first_attempt = g_str_equal(fields[6], "first");
        request->hops = (uint32_t)hops;
    }
    g_strfreev(fields);
    return valid;
}

static void
end_call(struct call *call, enum attempt_result result, struct answer *answer)
{
    struct forwards *forwards = call->forwards;
    uint64_t task = call->task;
    g_hash_table_remove(forwards->calls, &task);
    forwards->options.ended(forwards->options.ctx, task, result, answer);
}

static enum reason
parse_reason(const char *name)
{
    for (int i = 0; name != NULL && i < REASON_COUNT; i++) {
        if (g_str_equal(name, reason_name((enum reason)i))) {
            return (enum reason)i;
        }
    }
    return REASON_NONE;
}

static struct answer *
create_answer(SoupMessage *message, SoupMessageHeaders *headers, GBytes *body)
{
    struct answer *answer = answer_create(OUTCOME_DONE, REASON_NONE);
    answer->status = soup_message_get_status(message);
    answer->body = g_bytes_ref(body);
    answer->content_type =
        g_strdup(soup_message_headers_get_one(headers, "Content-Type"));
    answer->host =
        g_strdup(soup_message_headers_get_one(headers, "Egret-Host"));
    return answer;
}

static void
read_answer(struct call *call, GBytes *body)
{
    SoupMessageHeaders *headers =
        soup_message_get_response_headers(call->message);
    const char *outcome =
        soup_message_headers_get_one(headers, "Egret-Outcome");
    enum reason reason =
        parse_reason(soup_message_headers_get_one(headers, "Egret-Reason"));
    if (g_strcmp0(outcome, outcome_name(OUTCOME_DONE)) == 0) {
        end_call(call, ATTEMPT_DONE,
                 create_answer(call->message, headers, body));
    }
    else if (g_strcmp0(outcome, outcome_name(OUTCOME_NOT_RUN)) == 0) {
        end_call(call, ATTEMPT_REFUSED,
                 answer_create(OUTCOME_NOT_RUN, reason));
    }
    else {
        end_call(call, ATTEMPT_LOST, answer_create(OUTCOME_UNKNOWN, reason));
    }
}

static void
on_ended(void *ctx, enum fetch_result result, GBytes *body,
         const GError *error)
{
    struct call *call = ctx;
    (void)error;
    call->fetch = NULL;
    if (result == FETCH_COMPLETE) {
        read_answer(call, body);
        return;
    }
    if (result == FETCH_STREAMED) {
        end_call(call, ATTEMPT_DONE, NULL);
        return;
    }
    end_call(call, call->sent ? ATTEMPT_LOST : ATTEMPT_NOT_SENT, NULL);
}

static bool
on_stream(void *ctx, SoupMessage *message)
{
    struct call *call = ctx;
    const struct forwards_options *options = &call->forwards->options;
    SoupMessageHeaders *headers = soup_message_get_response_headers(message);
    const char *outcome =
        soup_message_headers_get_one(headers, "Egret-Outcome");
    if (g_strcmp0(outcome, outcome_name(OUTCOME_DONE)) != 0) {
        return false;
    }
    struct answer_head head = {
        .status = soup_message_get_status(message),
        .content_type = soup_message_headers_get_one(headers, "Content-Type"),
        .host = soup_message_headers_get_one(headers, "Egret-Host"),
        .size_bytes = -1,
    };
    if (soup_message_headers_get_encoding(headers) ==
        SOUP_ENCODING_CONTENT_LENGTH) {
        head.size_bytes = soup_message_headers_get_content_length(headers);
    }
    return options->stream(options->ctx, call->task, &head);
}

static void
on_data(void *ctx, GBytes *piece)
{
    struct call *call = ctx;
    const struct forwards_options *options = &call->forwards->options;
    options->data(options->ctx, call->task, piece);
}

static gboolean
on_timeout(void *data)
{
    struct call *call = data;
    call->timer = 0;
    fetch_cancel(call->fetch);
    return G_SOURCE_REMOVE;
}

static void
on_starting(SoupMessage *message, void *data)
{
    struct call *call = data;
    (void)message;
    call->sent = true;
    if (call->timer != 0) {
        g_source_remove(call->timer);
    }
    call->timer = g_timeout_add((guint)call->timeout_ms, on_timeout, call);
}

static SoupMessage *
create_message(struct forwards *forwards, const struct forward_params *params)
{
    const struct request *request = params->request;
    char *path = g_strdup_printf("/v1/forward/%s", request->queue);
    char *url = g_strdup_printf("http://%s%s", params->address, path);
    char *value = forward_header_format(request, params->to_owner);
    char *auth = request_auth_sign(forwards->options.secret, SOUP_METHOD_POST,
                                   path, value);
    SoupMessage *message = soup_message_new(SOUP_METHOD_POST, url);
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    soup_message_headers_append(headers, "Egret-Forward", value);
    soup_message_headers_append(headers, "Egret-Auth", auth);
    soup_message_headers_append(headers, "Connection", "close");
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION |
                                        SOUP_MESSAGE_NO_REDIRECT);
    soup_message_set_request_body_from_bytes(message, request->content_type,
                                             request->body);
    g_free(auth);
    g_free(value);
    g_free(url);
    g_free(path);
    return message;
}

void
forwards_start(struct forwards *forwards, const struct forward_params *params)
{
    struct call *call = g_new0(struct call, 1);
    call->forwards = forwards;
    call->task = params->request->task;
    call->timeout_ms = params->timeout_ms;
    call->message = create_message(forwards, params);
    call->timer = g_timeout_add((guint)forwards->options.connect_timeout_ms,
                                on_timeout, call);
    g_signal_connect(call->message, "starting", G_CALLBACK(on_starting), call);
    g_hash_table_insert(forwards->calls, &call->task, call);
    call->fetch = fetch_start(forwards->session, call->message,
                              &(struct fetch_handler){
                                  .stream = on_stream,
                                  .data = on_data,
                                  .ended = on_ended,
                                  .ctx = call,
                              });
}

void
forwards_continue(struct forwards *forwards, uint64_t task)
{
    struct call *call = g_hash_table_lookup(forwards->calls, &task);
    if (call != NULL) {
        fetch_continue(call->fetch);
    }
}

void
forwards_abort(struct forwards *forwards, uint64_t task)
{
    struct call *call = g_hash_table_lookup(forwards->calls, &task);
    if (call != NULL) {
        fetch_cancel(call->fetch);
    }
}

struct forwards *
forwards_create(const struct forwards_options *options)
{
    struct forwards *forwards = g_new0(struct forwards, 1);
    forwards->options = *options;
    forwards->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_destroy);
    forwards->session = soup_session_new_with_options(
        "max-conns", CONNECTIONS_MAX, "max-conns-per-host",
        PEER_CONNECTIONS_MAX, "proxy-resolver", NULL, NULL);
    return forwards;
}

void
forwards_destroy(struct forwards *forwards)
{
    if (forwards == NULL) {
        return;
    }
    soup_session_abort(forwards->session);
    g_object_unref(forwards->session);
    g_hash_table_unref(forwards->calls);
    g_free(forwards);
}
