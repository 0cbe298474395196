#include "egretd/stopper.h"

#include "common/json_read.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

enum {
    RETRY_DELAY_MIN_MS = 200,
    RETRY_DELAY_MAX_MS = 2000,
    CONNECTIONS_MAX = 256,
};

struct stopper {
    struct stopper_options options;
    SoupSession *session;
    GHashTable *calls;
};

struct call {
    struct stopper *stopper;
    uint64_t number;
    char *task_name;
    char *address;
    int64_t deadline_ms;
    bool stopping;
    int64_t retry_delay_ms;
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
    g_clear_object(&call->cancellable);
    g_free(call->task_name);
    g_free(call->address);
    g_free(call);
}

static void
finish(struct call *call, enum stop_state state)
{
    struct stopper *stopper = call->stopper;
    uint64_t number = call->number;
    g_hash_table_remove(stopper->calls, call);
    stopper->options.done(stopper->options.ctx, number, state);
}

static bool
parse_state(GBytes *body, enum stop_state *state, bool *unknown)
{
    static const struct {
        const char *name;
        enum stop_state state;
    } names[] = {
        {"running", STOP_STATE_RUNNING},
        {"ended", STOP_STATE_ENDED},
        {"stopped", STOP_STATE_STOPPED},
        {"never-started", STOP_STATE_NEVER_STARTED},
        {"unknown", STOP_STATE_RUNNING},
    };
    gsize size_bytes;
    const char *text = g_bytes_get_data(body, &size_bytes);
    JsonParser *parser = json_parser_new();
    const char *name = NULL;
    bool known = false;
    if (json_load_text(parser, text, size_bytes, NULL) &&
        JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
        name = json_object_get_string_member_with_default(
            json_node_get_object(json_parser_get_root(parser)), "state", NULL);
    }
    for (size_t i = 0; name != NULL && i < G_N_ELEMENTS(names); i++) {
        if (g_str_equal(name, names[i].name)) {
            *state = names[i].state;
            known = true;
        }
    }
    *unknown = known && g_str_equal(name, "unknown");
    g_object_unref(parser);
    return known;
}

static void
send_call(struct call *call);

static gboolean
on_retry(void *data)
{
    struct call *call = data;
    call->timer = 0;
    send_call(call);
    return G_SOURCE_REMOVE;
}

static void
retry_or_finish(struct call *call)
{
    struct stopper *stopper = call->stopper;
    if (!call->stopping) {
        finish(call, STOP_STATE_RUNNING);
        return;
    }
    if (ms_clock_now(&stopper->options.clock) >= call->deadline_ms) {
        finish(call, STOP_STATE_EXPIRED);
        return;
    }
    call->timer = g_timeout_add((guint)call->retry_delay_ms, on_retry, call);
    call->retry_delay_ms = MIN(call->retry_delay_ms * 2, RETRY_DELAY_MAX_MS);
}

static gboolean
on_call_timeout(void *data)
{
    struct call *call = data;
    call->timer = 0;
    g_cancellable_cancel(call->cancellable);
    return G_SOURCE_REMOVE;
}

static void
handle_response(struct call *call, GBytes *body)
{
    enum stop_state state;
    bool unknown;
    if (!parse_state(body, &state, &unknown)) {
        retry_or_finish(call);
        return;
    }
    if (unknown || (call->stopping && state == STOP_STATE_RUNNING)) {
        call->stopping = true;
        send_call(call);
        return;
    }
    finish(call, state);
}

static void
on_answer(GObject *source, GAsyncResult *result, void *data)
{
    struct call *call = data;
    GError *error = NULL;
    GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                     result, &error);
    SoupMessage *message =
        soup_session_get_async_result_message(SOUP_SESSION(source), result);
    if (call->timer != 0) {
        g_source_remove(call->timer);
        call->timer = 0;
    }
    if (body == NULL || soup_message_get_status(message) != SOUP_STATUS_OK) {
        retry_or_finish(call);
    }
    else {
        handle_response(call, body);
    }
    g_clear_error(&error);
    g_clear_pointer(&body, g_bytes_unref);
}

static void
send_call(struct call *call)
{
    char *url = g_strdup_printf("http://%s/v1/tasks/%s", call->address,
                                call->task_name);
    SoupMessage *message = soup_message_new(
        call->stopping ? SOUP_METHOD_DELETE : SOUP_METHOD_GET, url);
    g_free(url);
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION |
                                        SOUP_MESSAGE_NO_REDIRECT);
    soup_message_headers_append(soup_message_get_request_headers(message),
                                "Connection", "close");
    g_clear_object(&call->cancellable);
    call->cancellable = g_cancellable_new();
    call->timer = g_timeout_add((guint)call->stopper->options.call_timeout_ms,
                                on_call_timeout, call);
    soup_session_send_and_read_async(call->stopper->session, message,
                                     G_PRIORITY_DEFAULT, call->cancellable,
                                     on_answer, call);
    g_object_unref(message);
}

static void
start_call(struct stopper *stopper, const struct stop_params *params,
           bool stopping)
{
    struct call *call = g_new0(struct call, 1);
    call->stopper = stopper;
    call->number = params->number;
    call->task_name = g_strdup(params->task_name);
    call->address = g_strdup(params->address);
    call->deadline_ms = params->deadline_ms;
    call->stopping = stopping;
    call->retry_delay_ms = RETRY_DELAY_MIN_MS;
    g_hash_table_add(stopper->calls, call);
    send_call(call);
}

void
stopper_stop(struct stopper *stopper, const struct stop_params *params)
{
    start_call(stopper, params, true);
}

void
stopper_probe(struct stopper *stopper, const struct stop_params *params)
{
    start_call(stopper, params, false);
}

struct stopper *
stopper_create(const struct stopper_options *options)
{
    struct stopper *stopper = g_new0(struct stopper, 1);
    stopper->options = *options;
    stopper->calls = g_hash_table_new_full(NULL, NULL, call_destroy, NULL);
    stopper->session = soup_session_new_with_options(
        "max-conns", CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_MAX,
        "proxy-resolver", NULL, NULL);
    return stopper;
}

void
stopper_destroy(struct stopper *stopper)
{
    if (stopper == NULL) {
        return;
    }
    soup_session_abort(stopper->session);
    g_object_unref(stopper->session);
    g_hash_table_unref(stopper->calls);
    g_free(stopper);
}
