#include "store/host_list.h"

#include <inttypes.h>
#include <libsoup/soup.h>
#include <malloc.h>
#include <string.h>

#include "common/log.h"

/* A filter that no host matches: the response is empty but carries the index
 * of the list, so that the cost of a long poll does not grow with the list. */
#define FILTER_NONE "&filter=Node.Node%20%3D%3D%20%22%22"

enum {
    RETRY_MIN_MS = 200,
    RETRY_MAX_MS = 2000,
    FINDINGS_LOGGED_MAX = 5,
    /* Above this list size, free heap memory is returned to the system after
     * parsing. */
    TRIM_MIN_BYTES = 65536,
};

struct host_list {
    struct host_list_options options;
    char *url;
    SoupSession *session;
    struct host_list_call *call;
    guint retry_source;
    int64_t retry_ms;
    bool new_connection;
    uint64_t index;
    bool index_valid;
    int64_t last_answer_ms;
    char *checksum;
    struct host_list_host *hosts;
    struct host_list_view view;
};

/**
 * struct host_list_call - one HTTP request
 * @list: NULL if the list was destroyed while the request was in progress
 * @long_poll: a long poll, which only reports whether the list has changed
 */
struct host_list_call {
    struct host_list *list;
    SoupMessage *message;
    GCancellable *cancellable;
    guint deadline_source;
    bool long_poll;
};

static void
send_request(struct host_list *list);

static gboolean
on_retry(void *data)
{
    struct host_list *list = data;
    list->retry_source = 0;
    send_request(list);
    return G_SOURCE_REMOVE;
}

static void
retry_later(struct host_list *list)
{
    list->new_connection = true;
    list->index_valid = false;
    list->retry_source = g_timeout_add((guint)list->retry_ms, on_retry, list);
    list->retry_ms = MIN(list->retry_ms * 2, RETRY_MAX_MS);
}

static void
log_findings(const struct findings *findings)
{
    size_t n = MIN(findings_count(findings), (size_t)FINDINGS_LOGGED_MAX);
    for (size_t i = 0; i < n; i++) {
        const struct finding *finding = findings_get(findings, i);
        log_line(LOG_LEVEL_WARN, "host-list-finding", "place=%s reason=%s",
                 log_quote(finding->path), log_quote(finding->reason));
    }
}

static bool
read_body(struct host_list *list, GBytes *body)
{
    char *checksum = g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, body);
    if (g_strcmp0(list->checksum, checksum) == 0) {
        g_free(checksum);
        return true;
    }
    size_t size_bytes = 0;
    const char *text = g_bytes_get_data(body, &size_bytes);
    struct findings *findings = findings_create();
    size_t n_hosts = 0;
    struct host_list_host *hosts =
        host_list_parse(text, size_bytes, &n_hosts, findings);
    log_findings(findings);
    findings_destroy(findings);
    if (hosts == NULL) {
        g_free(checksum);
        return false;
    }
    struct host_list_host *old = list->hosts;
    size_t n_old = list->view.n_hosts;
    list->hosts = hosts;
    list->view = (struct host_list_view){.hosts = hosts, .n_hosts = n_hosts};
    g_free(list->checksum);
    list->checksum = checksum;
    list->options.changed(list->options.ctx, &list->view);
    host_list_hosts_free(old, n_old);
    if (size_bytes > TRIM_MIN_BYTES) {
        malloc_trim(0);
    }
    return true;
}

static uint64_t
read_index(SoupMessage *message)
{
    const char *text = soup_message_headers_get_one(
        soup_message_get_response_headers(message), "X-Consul-Index");
    return text != NULL ? g_ascii_strtoull(text, NULL, 10) : 0;
}

/* If a long poll returns an index other than that of the current list, the
 * next request reads the list. A platform that ignores the filter returns the
 * whole list from the long poll itself. */
static bool
read_response(struct host_list *list, const struct host_list_call *call,
              GBytes *body)
{
    uint64_t index = read_index(call->message);
    if (call->long_poll && g_bytes_get_size(body) <= sizeof("[]\n")) {
        list->index_valid = index != 0 && index == list->index;
        return true;
    }
    list->index = index;
    list->index_valid = index != 0;
    return read_body(list, body);
}

static void
call_free(struct host_list_call *call)
{
    g_clear_handle_id(&call->deadline_source, g_source_remove);
    g_object_unref(call->message);
    g_object_unref(call->cancellable);
    g_free(call);
}

static void
on_response(GObject *source, GAsyncResult *result, void *data)
{
    struct host_list_call *call = data;
    struct host_list *list = call->list;
    GError *error = NULL;
    GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                     result, &error);
    if (list == NULL) {
        g_clear_error(&error);
        g_clear_pointer(&body, g_bytes_unref);
        call_free(call);
        return;
    }
    list->call = NULL;
    bool good = body != NULL &&
                soup_message_get_status(call->message) == SOUP_STATUS_OK &&
                read_response(list, call, body);
    if (good) {
        list->last_answer_ms = ms_clock_now(&list->options.clock);
        list->retry_ms = RETRY_MIN_MS;
        list->new_connection = false;
        send_request(list);
    }
    else {
        log_line(LOG_LEVEL_WARN, "host-list-failed", "status=%u error=%s",
                 soup_message_get_status(call->message),
                 log_quote(error != NULL ? error->message : "bad response"));
        retry_later(list);
    }
    g_clear_error(&error);
    g_clear_pointer(&body, g_bytes_unref);
    call_free(call);
}

static gboolean
on_deadline(void *data)
{
    struct host_list_call *call = data;
    call->deadline_source = 0;
    g_cancellable_cancel(call->cancellable);
    return G_SOURCE_REMOVE;
}

static SoupMessage *
make_message(const struct host_list *list)
{
    GString *url = g_string_new(list->url);
    g_string_append(url, "/v1/health/service/worker");
    if (list->index_valid) {
        g_string_append_printf(url, "?index=%" PRIu64 "&wait=%" PRId64 "ms",
                               list->index, list->options.wait_ms);
        g_string_append(url, FILTER_NONE);
    }
    SoupMessage *message = soup_message_new("GET", url->str);
    g_string_free(url, TRUE);
    if (message != NULL && list->new_connection) {
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    }
    return message;
}

static void
send_request(struct host_list *list)
{
    SoupMessage *message = make_message(list);
    if (message == NULL) {
        log_line(LOG_LEVEL_ERROR, "host-list-url", "url=%s",
                 log_quote(list->url));
        return;
    }
    struct host_list_call *call = g_new0(struct host_list_call, 1);
    call->list = list;
    call->message = message;
    call->long_poll = list->index_valid;
    call->cancellable = g_cancellable_new();
    int64_t deadline_ms = list->options.wait_ms + list->options.timeout_ms;
    call->deadline_source =
        g_timeout_add((guint)deadline_ms, on_deadline, call);
    list->call = call;
    soup_session_send_and_read_async(list->session, message,
                                     G_PRIORITY_DEFAULT, call->cancellable,
                                     on_response, call);
}

struct host_list *
host_list_create(const struct host_list_options *options)
{
    struct host_list *list = g_new0(struct host_list, 1);
    list->options = *options;
    list->url = g_strdup(options->url);
    list->options.url = list->url;
    list->session = soup_session_new();
    list->retry_ms = RETRY_MIN_MS;
    list->last_answer_ms = INT64_MIN;
    send_request(list);
    return list;
}

void
host_list_destroy(struct host_list *list)
{
    if (list == NULL) {
        return;
    }
    if (list->call != NULL) {
        list->call->list = NULL;
        g_cancellable_cancel(list->call->cancellable);
    }
    g_clear_handle_id(&list->retry_source, g_source_remove);
    g_object_unref(list->session);
    g_free(list->checksum);
    host_list_hosts_free(list->hosts, list->view.n_hosts);
    g_free(list->url);
    g_free(list);
}

const struct host_list_view *
host_list_view(const struct host_list *list)
{
    return &list->view;
}

static int
compare_name(const void *key, const void *element)
{
    const struct host_list_host *host = element;
    return g_strcmp0(key, host->name);
}

const struct host_list_host *
host_list_find(const struct host_list_view *view, const char *name)
{
    if (view->n_hosts == 0) {
        return NULL;
    }
    return bsearch(name, view->hosts, view->n_hosts, sizeof(view->hosts[0]),
                   compare_name);
}

int64_t
host_list_last_answer_ms(const struct host_list *list)
{
    return list->last_answer_ms;
}
