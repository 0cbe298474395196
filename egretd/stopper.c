#include "egretd/stopper.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

enum {
    FIRST_RETRY_MS = 200,
    LAST_RETRY_MS = 2000,
    MAX_CONNECTIONS = 256,
};

struct stopper {
    struct stopper_options options;
    SoupSession *session;
    GHashTable *jobs;
};

struct job {
    struct stopper *stopper;
    uint64_t number;
    char *task_name;
    char *address;
    int64_t deadline_ms;
    bool stopping;
    int64_t retry_ms;
    GCancellable *cancellable;
    guint timer;
};

static void
job_destroy(void *data)
{
    struct job *job = data;
    if (job->timer != 0) {
        g_source_remove(job->timer);
    }
    g_clear_object(&job->cancellable);
    g_free(job->task_name);
    g_free(job->address);
    g_free(job);
}

static void
finish(struct job *job, enum stop_state state)
{
    struct stopper *stopper = job->stopper;
    uint64_t number = job->number;
    g_hash_table_remove(stopper->jobs, job);
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
    if (json_parser_load_from_data(parser, text, (gssize)size_bytes, NULL) &&
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
send_job(struct job *job);

static gboolean
on_retry(void *data)
{
    struct job *job = data;
    job->timer = 0;
    send_job(job);
    return G_SOURCE_REMOVE;
}

static void
retry(struct job *job)
{
    struct stopper *stopper = job->stopper;
    if (!job->stopping) {
        finish(job, STOP_STATE_RUNNING);
        return;
    }
    if (ms_clock_now(&stopper->options.clock) >= job->deadline_ms) {
        finish(job, STOP_STATE_EXPIRED);
        return;
    }
    job->timer = g_timeout_add((guint)job->retry_ms, on_retry, job);
    job->retry_ms = MIN(job->retry_ms * 2, LAST_RETRY_MS);
}

static gboolean
on_call_timeout(void *data)
{
    struct job *job = data;
    job->timer = 0;
    g_cancellable_cancel(job->cancellable);
    return G_SOURCE_REMOVE;
}

static void
handle_body(struct job *job, GBytes *body)
{
    enum stop_state state;
    bool unknown;
    if (!parse_state(body, &state, &unknown)) {
        retry(job);
        return;
    }
    if (unknown || (job->stopping && state == STOP_STATE_RUNNING)) {
        job->stopping = true;
        send_job(job);
        return;
    }
    finish(job, state);
}

static void
on_answer(GObject *source, GAsyncResult *result, void *data)
{
    struct job *job = data;
    GError *error = NULL;
    GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                     result, &error);
    SoupMessage *message =
        soup_session_get_async_result_message(SOUP_SESSION(source), result);
    if (job->timer != 0) {
        g_source_remove(job->timer);
        job->timer = 0;
    }
    if (body == NULL || soup_message_get_status(message) != SOUP_STATUS_OK) {
        retry(job);
    }
    else {
        handle_body(job, body);
    }
    g_clear_error(&error);
    g_clear_pointer(&body, g_bytes_unref);
}

static void
send_job(struct job *job)
{
    char *url =
        g_strdup_printf("http://%s/v1/tasks/%s", job->address, job->task_name);
    SoupMessage *message = soup_message_new(
        job->stopping ? SOUP_METHOD_DELETE : SOUP_METHOD_GET, url);
    g_free(url);
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION |
                                        SOUP_MESSAGE_NO_REDIRECT);
    soup_message_headers_append(soup_message_get_request_headers(message),
                                "Connection", "close");
    g_clear_object(&job->cancellable);
    job->cancellable = g_cancellable_new();
    job->timer = g_timeout_add((guint)job->stopper->options.call_timeout_ms,
                               on_call_timeout, job);
    soup_session_send_and_read_async(job->stopper->session, message,
                                     G_PRIORITY_DEFAULT, job->cancellable,
                                     on_answer, job);
    g_object_unref(message);
}

static void
start_job(struct stopper *stopper, const struct stop_params *params,
          bool stopping)
{
    struct job *job = g_new0(struct job, 1);
    job->stopper = stopper;
    job->number = params->number;
    job->task_name = g_strdup(params->task_name);
    job->address = g_strdup(params->address);
    job->deadline_ms = params->deadline_ms;
    job->stopping = stopping;
    job->retry_ms = FIRST_RETRY_MS;
    g_hash_table_add(stopper->jobs, job);
    send_job(job);
}

void
stopper_stop(struct stopper *stopper, const struct stop_params *params)
{
    start_job(stopper, params, true);
}

void
stopper_probe(struct stopper *stopper, const struct stop_params *params)
{
    start_job(stopper, params, false);
}

struct stopper *
stopper_create(const struct stopper_options *options)
{
    struct stopper *stopper = g_new0(struct stopper, 1);
    stopper->options = *options;
    stopper->jobs = g_hash_table_new_full(NULL, NULL, job_destroy, NULL);
    stopper->session = soup_session_new_with_options(
        "max-conns", MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS,
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
    g_hash_table_unref(stopper->jobs);
    g_free(stopper);
}
