#include "egretd/submit.h"

#include <string.h>

#include "common/key.h"
#include "common/log.h"
#include "common/request_auth.h"
#include "egretd/cancel.h"
#include "egretd/connections.h"
#include "egretd/forwards.h"

enum {
    /* ": " and CR LF of one header line. */
    HEADER_OVERHEAD_BYTES = 4,
};

#define QUEUE_PREFIX "/v1/queues/"
#define QUEUE_SUFFIX "/tasks"
#define BEARER_PREFIX "Bearer "

static void
refuse_for(const struct frontend_options *options, SoupServerMessage *message,
           enum reason reason, int64_t retry_after_ms)
{
    char labels[64];
    g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason_name(reason));
    counters_add(options->counters, "egret_refused_early_total", labels, 1);
    log_line(LOG_LEVEL_INFO, "refused", "path=%s outcome=not-run reason=%s",
             log_quote(g_uri_get_path(soup_server_message_get_uri(message))),
             reason_name(reason));
    struct answer *answer = answer_create(OUTCOME_NOT_RUN, reason);
    answer->retry_after_ms = retry_after_ms;
    answer_write(answer, message, "-", NULL);
    answer_destroy(answer);
}

static void
refuse_early(const struct frontend_options *options,
             SoupServerMessage *message, enum reason reason)
{
    refuse_for(options, message, reason, 0);
}

static void
close_after_response(SoupServerMessage *message)
{
    soup_message_headers_append(
        soup_server_message_get_response_headers(message), "Connection",
        "close");
}

void
submit_refuse_memory(const struct frontend_options *options,
                     SoupServerMessage *message)
{
    refuse_for(options, message, REASON_NO_CAPACITY, CONNECTIONS_RETRY_MS);
    close_after_response(message);
}

static const char *
find_header(SoupServerMessage *message, const char *name)
{
    return soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
}

static bool
header_is_true(SoupServerMessage *message, const char *name)
{
    const char *text = find_header(message, name);
    return text != NULL && g_ascii_strcasecmp(text, "true") == 0;
}

static bool
request_id_valid(const char *id)
{
    size_t size_bytes = strlen(id);
    if (size_bytes == 0 || size_bytes > REQUEST_ID_MAX_BYTES) {
        return false;
    }
    for (const char *c = id; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr("._-", *c) == NULL) {
            return false;
        }
    }
    /* "-" stands for no id in the Egret-Forward header. */
    return strcmp(id, "-") != 0;
}

/**
 * check_key() - find the API key sent with @message, and its team
 *
 * Returns: REASON_NONE with @team and @key set, or why the key is refused.
 */
static enum reason
check_key(const struct config *config, SoupServerMessage *message,
          const struct config_team **team, const struct config_key **key)
{
    const char *text = find_header(message, "Authorization");
    char id[KEY_ID_BYTES + 1];
    if (text == NULL) {
        return REASON_KEY_MISSING;
    }
    if (!g_str_has_prefix(text, BEARER_PREFIX) ||
        !key_parse_id(text + strlen(BEARER_PREFIX), id)) {
        return REASON_KEY_REFUSED;
    }
    *key = config_find_key(config, id, team);
    if (*key == NULL || !key_matches(text + strlen(BEARER_PREFIX), *key)) {
        return REASON_KEY_REFUSED;
    }
    int64_t now_s = g_get_real_time() / G_USEC_PER_SEC;
    if ((*key)->expires_s != 0 && now_s >= (*key)->expires_s) {
        return REASON_KEY_EXPIRED;
    }
    return REASON_NONE;
}

/* Team that the task is accounted to: that of the key, or of an open queue if
 * the request has no key. */
static enum reason
find_team(const struct config *config, const struct config_queue *queue,
          SoupServerMessage *message, const struct config_team **team,
          const struct config_key **key)
{
    *key = NULL;
    if (queue->open_team != NULL &&
        find_header(message, "Authorization") == NULL) {
        *team = config_find_team(config, queue->open_team);
        return *team == NULL ? REASON_UNKNOWN_TEAM : REASON_NONE;
    }
    return check_key(config, message, team, key);
}

static char *
parse_queue_path(const char *path)
{
    if (!g_str_has_prefix(path, QUEUE_PREFIX) ||
        !g_str_has_suffix(path, QUEUE_SUFFIX)) {
        return NULL;
    }
    size_t size_bytes = strlen(path);
    size_t affix_bytes = strlen(QUEUE_PREFIX) + strlen(QUEUE_SUFFIX);
    if (size_bytes <= affix_bytes) {
        return NULL;
    }
    return g_strndup(path + strlen(QUEUE_PREFIX), size_bytes - affix_bytes);
}

static void
add_header_size(const char *name, const char *value, void *data)
{
    size_t *size_bytes = data;
    *size_bytes += strlen(name) + strlen(value) + HEADER_OVERHEAD_BYTES;
}

static enum reason
check_headers(const struct frontend_options *options,
              SoupServerMessage *message)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(message);
    size_t size_bytes = 0;
    soup_message_headers_foreach(headers, add_header_size, &size_bytes);
    if (size_bytes > (size_t)options->settings->max_header_bytes) {
        return REASON_BAD_REQUEST;
    }
    const char *content_length =
        soup_message_headers_get_list(headers, "Content-Length");
    const char *transfer_encoding =
        soup_message_headers_get_list(headers, "Transfer-Encoding");
    if (content_length != NULL && transfer_encoding != NULL) {
        return REASON_BAD_REQUEST;
    }
    if (content_length == NULL) {
        return REASON_NONE;
    }
    for (const char *c = content_length; *c != '\0'; c++) {
        if (!g_ascii_isdigit(*c)) {
            return REASON_BAD_REQUEST;
        }
    }
    return REASON_NONE;
}

static enum reason
check_size(const struct frontend_options *options, SoupServerMessage *message,
           const struct config_queue *queue)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(message);
    int64_t limit_bytes = options->settings->max_body_bytes;
    if (queue != NULL && queue->max_body_bytes > 0) {
        limit_bytes = MIN(limit_bytes, queue->max_body_bytes);
    }
    if (soup_message_headers_get_encoding(headers) !=
        SOUP_ENCODING_CONTENT_LENGTH) {
        return REASON_NONE;
    }
    return soup_message_headers_get_content_length(headers) > limit_bytes
               ? REASON_BODY_TOO_LARGE
               : REASON_NONE;
}

static enum reason
check_queue_head(const struct frontend_options *options,
                 SoupServerMessage *message, const char *path)
{
    const struct config *config = options->config(options->ctx);
    char *name = parse_queue_path(path);
    if (name == NULL) {
        return check_size(options, message, NULL);
    }
    if (config == NULL) {
        g_free(name);
        return REASON_NO_QUORUM_LEASE;
    }
    const struct config_queue *queue = config_find_queue(config, name);
    g_free(name);
    if (queue == NULL) {
        return REASON_UNKNOWN_QUEUE;
    }
    const struct config_team *team = NULL;
    const struct config_key *key = NULL;
    enum reason reason = find_team(config, queue, message, &team, &key);
    if (reason != REASON_NONE) {
        return reason;
    }
    return check_size(options, message, queue);
}

/* Enforces the size limit on a body of unknown length while it arrives. */
static void
on_chunk(SoupServerMessage *message, GBytes *chunk, void *data)
{
    int64_t *remaining_bytes = data;
    *remaining_bytes -= (int64_t)g_bytes_get_size(chunk);
    if (*remaining_bytes < 0) {
        connection_drop_body(message);
    }
}

static void
free_remaining_bytes(void *data, GClosure *closure)
{
    (void)closure;
    g_free(data);
}

bool
submit_check_head(const struct frontend_options *options,
                  SoupServerMessage *message, const char *path)
{
    enum reason reason = check_headers(options, message);
    if (reason == REASON_NONE) {
        reason = check_queue_head(options, message, path);
    }
    if (reason != REASON_NONE) {
        refuse_early(options, message, reason);
        if (reason == REASON_BODY_TOO_LARGE || reason == REASON_BAD_REQUEST) {
            /* The body is not read. */
            close_after_response(message);
        }
        return true;
    }
    int64_t *remaining_bytes = g_new(int64_t, 1);
    *remaining_bytes = options->settings->max_body_bytes;
    g_object_set_data(G_OBJECT(message), "left-bytes", remaining_bytes);
    g_signal_connect_data(message, "got-chunk", G_CALLBACK(on_chunk),
                          remaining_bytes, free_remaining_bytes, 0);
    return false;
}

static GBytes *
take_body(SoupServerMessage *message, int64_t limit_bytes)
{
    int64_t *remaining_bytes =
        g_object_get_data(G_OBJECT(message), "left-bytes");
    if (remaining_bytes != NULL && *remaining_bytes < 0) {
        return NULL;
    }
    GBytes *body = connection_take_body(message);
    if (body != NULL && limit_bytes > 0 &&
        (int64_t)g_bytes_get_size(body) > limit_bytes) {
        g_bytes_unref(body);
        return NULL;
    }
    return body;
}

/* Answers a request whose body take_body() does not have. */
static void
refuse_body(const struct frontend_options *options, SoupServerMessage *message)
{
    if (connection_body_refused(message)) {
        submit_refuse_memory(options, message);
        return;
    }
    refuse_early(options, message, REASON_BODY_TOO_LARGE);
}

static void
submit_request(const struct frontend_options *options,
               SoupServerMessage *message, struct request *request)
{
    request->content_type = g_strdup(find_header(message, "Content-Type"));
    soup_server_message_pause(message);
    request_add_waiter(request, message);
    engine_submit(options->engine, request);
}

void
submit_task(const struct frontend_options *options, SoupServerMessage *message,
            const char *queue_name)
{
    const struct config *config = options->config(options->ctx);
    const struct config_queue *queue =
        config == NULL ? NULL : config_find_queue(config, queue_name);
    if (queue == NULL) {
        refuse_early(options, message,
                     config == NULL ? REASON_NO_QUORUM_LEASE
                                    : REASON_UNKNOWN_QUEUE);
        return;
    }
    const struct config_team *team = NULL;
    const struct config_key *key = NULL;
    enum reason reason = find_team(config, queue, message, &team, &key);
    const char *id = find_header(message, "Egret-Request-Id");
    if (reason == REASON_NONE && id != NULL && !request_id_valid(id)) {
        reason = REASON_BAD_REQUEST;
    }
    if (reason != REASON_NONE) {
        refuse_early(options, message, reason);
        return;
    }
    GBytes *body = take_body(message, queue->max_body_bytes);
    if (body == NULL) {
        refuse_body(options, message);
        return;
    }
    struct request *request = request_create();
    request->team = g_strdup(team->name);
    request->queue = g_strdup(queue->name);
    request->body = body;
    request->request_id = g_strdup(id);
    request->idempotent = header_is_true(message, "Egret-Idempotent");
    request->first_attempt = header_is_true(message, "Egret-First-Attempt");
    if (key != NULL) {
        request->key_id = g_strdup(key->id);
        g_strlcpy(request->key_hash_hex, key->hash_hex,
                  sizeof(request->key_hash_hex));
    }
    submit_request(options, message, request);
}

void
submit_forwarded(const struct frontend_options *options,
                 SoupServerMessage *message, const char *path,
                 const char *queue)
{
    const char *value = find_header(message, "Egret-Forward");
    if (value == NULL ||
        !request_auth_verify(options->secret, SOUP_METHOD_POST, path, value,
                             find_header(message, "Egret-Auth"))) {
        refuse_early(options, message, REASON_KEY_REFUSED);
        return;
    }
    struct request *request = request_create();
    if (!forward_header_parse(value, request)) {
        request_destroy(request);
        refuse_early(options, message, REASON_BAD_REQUEST);
        return;
    }
    request->queue = g_strdup(queue);
    request->forwarded = true;
    request->body = take_body(message, options->settings->max_body_bytes);
    if (request->body == NULL) {
        request_destroy(request);
        refuse_body(options, message);
        return;
    }
    submit_request(options, message, request);
}

void
submit_cancel(const struct frontend_options *options,
              SoupServerMessage *message, const char *request_id)
{
    const struct config *config = options->config(options->ctx);
    const struct config_team *team = NULL;
    const struct config_key *key = NULL;
    enum reason reason = config == NULL
                             ? REASON_NO_QUORUM_LEASE
                             : check_key(config, message, &team, &key);
    if (reason == REASON_NONE && !request_id_valid(request_id)) {
        reason = REASON_BAD_REQUEST;
    }
    if (reason != REASON_NONE) {
        refuse_early(options, message, reason);
        return;
    }
    cancel_request(options->cancel_relay, options->engine, message, team->name,
                   request_id);
}
