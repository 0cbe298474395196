#include <string.h>
#include <sys/socket.h>

#include "task_spec.h"
#include "backend.h"

enum {
    LEASE_DEFAULT_MS = 60000
};

#define TASKS_PATH "/v1/tasks/"

/**
 * struct backend_task - a task that runs or has run
 * @run: record of the run
 * @message: request that waits for its response, or NULL
 * @run_timer, @lease_timer: main loop sources, 0 when not set
 */
struct backend_task {
    struct backend *backend;
    struct run *run;
    SoupServerMessage *message;
    struct task_spec spec;
    GBytes *response;
    guint run_timer;
    guint lease_timer;
};

static void
set_running_header(SoupServerMessage *message, const struct backend_host *host)
{
    char text[16];
    g_snprintf(text, sizeof(text), "%u", host->running);
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Egret-Running",
        text);
}

static void
respond(SoupServerMessage *message, const struct backend_host *host,
        guint status, const char *text)
{
    set_running_header(message, host);
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, "text/plain", SOUP_MEMORY_COPY,
                                     text, strlen(text));
}

static void
refuse(SoupServerMessage *message, struct backend_host *host, guint status,
       const char *outcome, const char *reason)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, "Egret-Outcome", outcome);
    soup_message_headers_replace(headers, "Egret-Reason", reason);
    host->backend->refused++;
    respond(message, host, status, reason);
}

static void
close_stream(GIOStream *stream, bool reset)
{
    if (reset && G_IS_SOCKET_CONNECTION(stream)) {
        struct linger linger = {.l_onoff = 1, .l_linger = 0};
        GSocket *socket =
            g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
        setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
                   sizeof(linger));
    }
    g_io_stream_close(stream, NULL, NULL);
    g_object_unref(stream);
}

static void
close_connection(SoupServerMessage *message)
{
    close_stream(soup_server_message_steal_connection(message), false);
}

static void
send_half_response(SoupServerMessage *message, const struct backend_task *task)
{
    gsize size_bytes = 0;
    const char *data = g_bytes_get_data(task->response, &size_bytes);
    GIOStream *stream = soup_server_message_steal_connection(message);
    GOutputStream *out = g_io_stream_get_output_stream(stream);
    char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n"
                                 "Content-Type: text/plain\r\n"
                                 "Content-Length: %zu\r\n\r\n",
                                 size_bytes);
    g_output_stream_write_all(out, head, strlen(head), NULL, NULL, NULL);
    g_output_stream_write_all(out, data, size_bytes / 2, NULL, NULL, NULL);
    g_free(head);
    close_stream(stream,
                 task->spec.disconnect == DISCONNECT_RESET_MID_RESPONSE);
}

static void
release_message(struct backend_task *task)
{
    if (task->message != NULL) {
        g_signal_handlers_disconnect_by_data(task->message, task);
        g_clear_object(&task->message);
    }
}

static void
send_response(struct backend_task *task, enum run_state state)
{
    SoupServerMessage *message = task->message;
    if (message == NULL) {
        return;
    }
    g_object_ref(message);
    release_message(task);
    if (state == RUN_DONE &&
        task->spec.disconnect >= DISCONNECT_RESET_MID_RESPONSE) {
        send_half_response(message, task);
        g_object_unref(message);
        return;
    }
    set_running_header(message, task->run->host);
    if (state == RUN_DONE) {
        gsize size_bytes = 0;
        const char *data = g_bytes_get_data(task->response, &size_bytes);
        soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
        soup_server_message_set_response(message, "text/plain",
                                         SOUP_MEMORY_COPY, data, size_bytes);
    }
    else {
        respond(message, task->run->host, SOUP_STATUS_INTERNAL_SERVER_ERROR,
                state == RUN_STOPPED ? "stopped" : "failed");
    }
    soup_server_message_unpause(message);
    g_object_unref(message);
}

static void
end_task(struct backend_task *task, enum run_state state)
{
    if (task->run->state != RUN_RUNNING) {
        return;
    }
    g_clear_handle_id(&task->run_timer, g_source_remove);
    g_clear_handle_id(&task->lease_timer, g_source_remove);
    backend_run_end(task->backend, task->run, state);
    send_response(task, state);
    g_clear_pointer(&task->response, g_bytes_unref);
}

static gboolean
on_run_finished(gpointer data)
{
    struct backend_task *task = data;
    bool failed = task->spec.fail || task->run->host->faults.fail;
    task->run_timer = 0;
    end_task(task, failed ? RUN_FAILED : RUN_DONE);
    return G_SOURCE_REMOVE;
}

static gboolean
on_lease_expired(gpointer data)
{
    struct backend_task *task = data;
    task->lease_timer = 0;
    task->backend->lease_expiries++;
    end_task(task, RUN_LEASE_EXPIRED);
    return G_SOURCE_REMOVE;
}

static void
on_finished(SoupServerMessage *message, gpointer data)
{
    struct backend_task *task = data;
    release_message(task);
}

static int64_t
lease_ms_of(SoupMessageHeaders *headers)
{
    const char *text = soup_message_headers_get_one(headers, "Egret-Lease-Ms");
    int64_t lease_ms = text == NULL ? 0 : g_ascii_strtoll(text, NULL, 10);
    return lease_ms > 0 ? lease_ms : LEASE_DEFAULT_MS;
}

static const char *
header_or_dash(SoupMessageHeaders *headers, const char *name)
{
    const char *text = soup_message_headers_get_one(headers, name);
    return text == NULL ? "-" : text;
}

static void
start_task(struct backend_host *host, SoupServerMessage *message,
           const char *id, struct task_spec *spec)
{
    struct backend *backend = host->backend;
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(message);
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    struct backend_task *task = g_new0(struct backend_task, 1);
    task->backend = backend;
    task->spec = *spec;
    task->response =
        task_spec_response(spec, body->data, (size_t)body->length);
    task->run = backend_run_start(backend, host, id,
                                  header_or_dash(headers, "Egret-Team"),
                                  header_or_dash(headers, "Egret-Queue"),
                                  spec->tag == NULL ? "-" : spec->tag);
    g_hash_table_insert(backend->tasks, g_strdup(id), task);
    if (spec->disconnect == DISCONNECT_AFTER_READ) {
        close_connection(message);
    }
    else {
        task->message = g_object_ref(message);
        g_signal_connect(message, "finished", G_CALLBACK(on_finished), task);
        soup_server_message_pause(message);
    }
    int64_t run_ms = spec->run_ms + host->faults.extra_ms;
    if (run_ms == 0 && !host->faults.hang) {
        on_run_finished(task);
        return;
    }
    task->lease_timer =
        g_timeout_add((guint)lease_ms_of(headers), on_lease_expired, task);
    if (!host->faults.hang) {
        task->run_timer = g_timeout_add((guint)run_ms, on_run_finished, task);
    }
}

static void
handle_post(struct backend_host *host, SoupServerMessage *message,
            const char *id)
{
    struct backend *backend = host->backend;
    if (g_hash_table_contains(backend->tasks, id)) {
        backend->duplicates++;
        refuse(message, host, SOUP_STATUS_CONFLICT, "duplicate", "duplicate");
        return;
    }
    if (host->faults.leaving) {
        refuse(message, host, SOUP_STATUS_SERVICE_UNAVAILABLE, "not-run",
               "leaving");
        return;
    }
    if (host->faults.full || host->running >= host->slots) {
        refuse(message, host, SOUP_STATUS_SERVICE_UNAVAILABLE, "not-run",
               "full");
        return;
    }
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    struct task_spec spec;
    task_spec_parse(&spec, body->data, (size_t)body->length);
    if (spec.disconnect == DISCONNECT_BEFORE_RUN) {
        task_spec_clear(&spec);
        close_connection(message);
        return;
    }
    start_task(host, message, id, &spec);
}

static void
handle_delete(struct backend_host *host, SoupServerMessage *message,
              const char *id)
{
    GHashTable *tasks = host->backend->tasks;
    const char *state = "ended";
    struct backend_task *task = g_hash_table_lookup(tasks, id);
    if (!g_hash_table_contains(tasks, id)) {
        /* Record the id, so that a delayed start request is refused. */
        g_hash_table_insert(tasks, g_strdup(id), NULL);
        state = "never-started";
    }
    else if (task == NULL) {
        state = "never-started";
    }
    else if (task->run->state == RUN_RUNNING) {
        end_task(task, RUN_STOPPED);
        state = "stopped";
    }
    char *text = g_strdup_printf("{\"state\": \"%s\"}", state);
    respond(message, host, SOUP_STATUS_OK, text);
    g_free(text);
}

static void
handle_get(struct backend_host *host, SoupServerMessage *message,
           const char *id)
{
    const struct backend_task *task =
        g_hash_table_lookup(host->backend->tasks, id);
    const char *state = "unknown";
    if (task != NULL) {
        state = task->run->state == RUN_RUNNING ? "running" : "ended";
    }
    char *text = g_strdup_printf("{\"state\": \"%s\"}", state);
    respond(message, host, SOUP_STATUS_OK, text);
    g_free(text);
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    struct backend_host *host = data;
    const char *method = soup_server_message_get_method(message);
    if (!g_str_has_prefix(path, TASKS_PATH)) {
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, NULL);
        return;
    }
    const char *id = path + strlen(TASKS_PATH);
    if (method == SOUP_METHOD_POST) {
        handle_post(host, message, id);
    }
    else if (method == SOUP_METHOD_GET) {
        handle_get(host, message, id);
    }
    else if (method == SOUP_METHOD_DELETE) {
        handle_delete(host, message, id);
    }
    else {
        soup_server_message_set_status(message, SOUP_STATUS_METHOD_NOT_ALLOWED,
                                       NULL);
    }
}

void
backend_tasks_serve(struct backend_host *host)
{
    soup_server_add_handler(host->server, NULL, on_request, host, NULL);
}
