#include "egretd/attempts.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>

#include "common/log.h"
#include "egretd/fetch.h"
#include "egretd/stopper.h"

enum {
    /* Wait after the end of the lease before the answer counts as lost. */
    ANSWER_GRACE_MS = 1000,
    PROBE_INTERVAL_MIN_MS = 1000,
    PROBE_INTERVAL_MAX_MS = 8000,
    IDLE_TIMEOUT_S = 30,
    CONNECTIONS_MAX = 8192,
    /* Hosts are spread over several sessions: the processor time of a
     * libsoup session grows with the square of its pending messages. */
    SESSION_COUNT = 64,
};

struct attempts {
    struct attempts_options options;
    SoupSession *sessions[SESSION_COUNT];
    struct stopper *stopper;
    GHashTable *by_number;
};

struct attempt {
    struct attempts *attempts;
    uint64_t number;
    char *task_name;
    char *host;
    char *address;
    SoupMessage *message;
    struct fetch *fetch;
    enum reason not_sent_reason;
    bool sent;
    bool cancelling;
    bool timed_out;
    bool probe_pending;
    guint timer;
    int64_t probe_interval_ms;
    int64_t deadline_ms;
    /* Length of the lease until the request is sent, then its end. */
    int64_t lease_end_ms;
};

static void
clear_timer(struct attempt *attempt)
{
    if (attempt->timer != 0) {
        g_source_remove(attempt->timer);
        attempt->timer = 0;
    }
}

static void
attempt_destroy(void *data)
{
    struct attempt *attempt = data;
    clear_timer(attempt);
    if (attempt->fetch != NULL) {
        fetch_abandon(attempt->fetch);
    }
    g_signal_handlers_disconnect_by_data(attempt->message, attempt);
    g_clear_object(&attempt->message);
    g_free(attempt->task_name);
    g_free(attempt->host);
    g_free(attempt->address);
    g_free(attempt);
}

static int64_t
now_ms(const struct attempts *attempts)
{
    return ms_clock_now(&attempts->options.clock);
}

static void
end_attempt(struct attempt *attempt, enum attempt_result result,
            enum reason reason, struct answer *answer)
{
    struct attempts *attempts = attempt->attempts;
    uint64_t number = attempt->number;
    if (result == ATTEMPT_LOST) {
        stopper_stop(attempts->stopper,
                     &(struct stop_params){
                         .number = number,
                         .task_name = attempt->task_name,
                         .address = attempt->address,
                         .deadline_ms = attempt->lease_end_ms,
                     });
    }
    g_hash_table_remove(attempts->by_number, &number);
    attempts->options.handler.ended(attempts->options.handler.ctx, number,
                                    result, reason, answer);
}

static void
report_load(struct attempt *attempt, SoupMessageHeaders *headers)
{
    const char *text = soup_message_headers_get_one(headers, "Egret-Running");
    uint64_t running = 0;
    if (text == NULL ||
        !g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX, &running, NULL)) {
        return;
    }
    struct attempts_handler *handler = &attempt->attempts->options.handler;
    handler->load(handler->ctx, attempt->host, (uint32_t)running);
}

static struct answer *
create_answer(struct attempt *attempt, SoupMessageHeaders *headers,
              unsigned status, GBytes *body)
{
    struct answer *answer = answer_create(OUTCOME_DONE, REASON_NONE);
    answer->status = status;
    answer->body = g_bytes_ref(body);
    answer->host = g_strdup(attempt->host);
    answer->content_type =
        g_strdup(soup_message_headers_get_one(headers, "Content-Type"));
    return answer;
}

static void
read_answer(struct attempt *attempt, GBytes *body)
{
    SoupMessageHeaders *headers =
        soup_message_get_response_headers(attempt->message);
    unsigned status = soup_message_get_status(attempt->message);
    const char *outcome =
        soup_message_headers_get_one(headers, "Egret-Outcome");
    report_load(attempt, headers);
    if (outcome != NULL && g_str_equal(outcome, "not-run")) {
        end_attempt(attempt, ATTEMPT_REFUSED, REASON_BACKEND_REFUSED, NULL);
        return;
    }
    if (outcome != NULL) {
        /* The backend server got this id before and has no answer to it. */
        end_attempt(attempt, ATTEMPT_LOST, REASON_BACKEND_LOST, NULL);
        return;
    }
    end_attempt(attempt, status >= 500 ? ATTEMPT_FAILED : ATTEMPT_DONE,
                REASON_NONE, create_answer(attempt, headers, status, body));
}

static void
end_with_error(struct attempt *attempt, enum fetch_result result,
               const GError *error)
{
    log_line(LOG_LEVEL_DEBUG, "attempt-error",
             "task=%s host=%s sent=%d reason=%s", attempt->task_name,
             attempt->host, attempt->sent,
             log_quote(error == NULL ? NULL : error->message));
    if (!attempt->sent) {
        enum reason reason = attempt->not_sent_reason != REASON_NONE
                                 ? attempt->not_sent_reason
                                 : REASON_BACKEND_LOST;
        end_attempt(attempt, ATTEMPT_NOT_SENT, reason, NULL);
        return;
    }
    enum reason reason = REASON_BACKEND_LOST;
    if (attempt->timed_out) {
        reason = REASON_TIMEOUT;
    }
    else if (result == FETCH_TRUNCATED || result == FETCH_TOO_LARGE) {
        reason = REASON_ANSWER_TRUNCATED;
    }
    end_attempt(attempt, ATTEMPT_LOST, reason, NULL);
}

static struct attempt *
find_attempt(struct attempts *attempts, uint64_t number)
{
    return g_hash_table_lookup(attempts->by_number, &number);
}

static void
on_ended(void *ctx, enum fetch_result result, GBytes *body,
         const GError *error)
{
    struct attempt *attempt = ctx;
    attempt->fetch = NULL;
    switch (result) {
    case FETCH_COMPLETE:
        read_answer(attempt, body);
        return;
    case FETCH_STREAMED:
        end_attempt(attempt, ATTEMPT_DONE, REASON_NONE, NULL);
        return;
    default:
        end_with_error(attempt, result, error);
        return;
    }
}

static bool
on_stream(void *ctx, SoupMessage *message)
{
    struct attempt *attempt = ctx;
    struct attempts_handler *handler = &attempt->attempts->options.handler;
    SoupMessageHeaders *headers = soup_message_get_response_headers(message);
    if (soup_message_headers_get_one(headers, "Egret-Outcome") != NULL) {
        return false;
    }
    report_load(attempt, headers);
    struct answer_head head = {
        .status = soup_message_get_status(message),
        .content_type = soup_message_headers_get_one(headers, "Content-Type"),
        .host = attempt->host,
        .size_bytes = -1,
    };
    if (soup_message_headers_get_encoding(headers) ==
        SOUP_ENCODING_CONTENT_LENGTH) {
        head.size_bytes = soup_message_headers_get_content_length(headers);
    }
    return handler->stream(handler->ctx, attempt->number, &head);
}

static void
on_data(void *ctx, GBytes *piece)
{
    struct attempt *attempt = ctx;
    struct attempts_handler *handler = &attempt->attempts->options.handler;
    handler->data(handler->ctx, attempt->number, piece);
}

static gboolean
on_timer(void *data);

static void
arm_timer(struct attempt *attempt, int64_t delay_ms)
{
    clear_timer(attempt);
    attempt->timer = g_timeout_add((guint)MAX(delay_ms, 1), on_timer, attempt);
}

static void
on_starting(SoupMessage *message, void *data)
{
    struct attempt *attempt = data;
    struct attempts_handler *handler = &attempt->attempts->options.handler;
    (void)message;
    enum reason reason =
        attempt->cancelling ? REASON_CANCELLED
                            : handler->may_send(handler->ctx, attempt->number);
    if (reason != REASON_NONE) {
        attempt->not_sent_reason = reason;
        fetch_cancel(attempt->fetch);
        return;
    }
    attempt->sent = true;
    attempt->lease_end_ms += now_ms(attempt->attempts);
    arm_timer(attempt, PROBE_INTERVAL_MIN_MS);
    handler->sent(handler->ctx, attempt->number);
}

/* A fault that silently broke one pooled connection has probably broken the
 * others too: none is reused. Attempts under way on them continue. */
static void
renew_sessions(struct attempts *attempts)
{
    for (int i = 0; i < SESSION_COUNT; i++) {
        g_clear_object(&attempts->sessions[i]);
    }
    counters_add(attempts->options.counters, "egret_sessions_renewed_total",
                 NULL, 1);
}

static void
handle_probe_result(void *ctx, uint64_t number, enum stop_state state)
{
    struct attempts *attempts = ctx;
    struct attempt *attempt = find_attempt(attempts, number);
    if (attempt == NULL) {
        return;
    }
    attempt->probe_pending = false;
    if (state == STOP_STATE_NEVER_STARTED) {
        /* The request was lost on a broken connection, and the backend server
         * now refuses its id. */
        renew_sessions(attempts);
        end_attempt(attempt, ATTEMPT_REFUSED, REASON_BACKEND_LOST, NULL);
    }
    else if (state == STOP_STATE_STOPPED) {
        end_attempt(attempt, ATTEMPT_STOPPED, REASON_CANCELLED, NULL);
    }
    else if (state == STOP_STATE_ENDED) {
        /* Its answer may still arrive. */
        attempt->deadline_ms =
            MIN(attempt->deadline_ms, now_ms(attempts) + ANSWER_GRACE_MS);
        arm_timer(attempt, attempt->deadline_ms - now_ms(attempts));
    }
}

static void
send_probe(struct attempt *attempt)
{
    struct stop_params params = {
        .number = attempt->number,
        .task_name = attempt->task_name,
        .address = attempt->address,
        .deadline_ms = attempt->deadline_ms,
    };
    if (attempt->probe_pending) {
        return;
    }
    attempt->probe_pending = true;
    if (attempt->cancelling) {
        stopper_stop(attempt->attempts->stopper, &params);
    }
    else {
        stopper_probe(attempt->attempts->stopper, &params);
    }
}

static gboolean
on_timer(void *data)
{
    struct attempt *attempt = data;
    int64_t now = now_ms(attempt->attempts);
    attempt->timer = 0;
    if (!attempt->sent || now >= attempt->deadline_ms) {
        attempt->timed_out = true;
        if (attempt->sent) {
            renew_sessions(attempt->attempts);
        }
        fetch_cancel(attempt->fetch);
        return G_SOURCE_REMOVE;
    }
    send_probe(attempt);
    attempt->probe_interval_ms =
        MIN(attempt->probe_interval_ms * 2, PROBE_INTERVAL_MAX_MS);
    arm_timer(attempt,
              MIN(attempt->probe_interval_ms, attempt->deadline_ms - now));
    return G_SOURCE_REMOVE;
}

static void
on_stopper_done(void *ctx, uint64_t number, enum stop_state state)
{
    struct attempts *attempts = ctx;
    if (find_attempt(attempts, number) != NULL) {
        handle_probe_result(attempts, number, state);
        return;
    }
    if (state == STOP_STATE_RUNNING || state == STOP_STATE_EXPIRED) {
        return;
    }
    attempts->options.handler.resolved(attempts->options.handler.ctx, number);
}

static SoupMessage *
create_message(const struct attempt_params *params)
{
    char *url = g_strdup_printf("http://%s/v1/tasks/%s", params->address,
                                params->task_name);
    SoupMessage *message = soup_message_new(SOUP_METHOD_POST, url);
    g_free(url);
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    char lease[24];
    g_snprintf(lease, sizeof(lease), "%" G_GINT64_FORMAT, params->lease_ms);
    soup_message_headers_append(headers, "Egret-Team", params->team);
    soup_message_headers_append(headers, "Egret-Queue", params->queue);
    soup_message_headers_append(headers, "Egret-Lease-Ms", lease);
    if (params->request_id != NULL) {
        soup_message_headers_append(headers, "Egret-Request-Id",
                                    params->request_id);
    }
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    if (!params->idempotent) {
        /* libsoup silently sends a request again if a reused connection
         * closes. The new connection isn't kept either: none would reuse it,
         * and idle connections would pile up. */
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
        soup_message_headers_append(headers, "Connection", "close");
    }
    else {
        /* Without this flag libsoup opens a connection for every POST. */
        soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    }
    soup_message_set_request_body_from_bytes(message, params->content_type,
                                             params->body);
    return message;
}

static SoupSession *
create_session(const struct attempts_options *options)
{
    SoupSession *session = soup_session_new_with_options(
        "max-conns", CONNECTIONS_MAX, "max-conns-per-host",
        (int)options->host_connections, "idle-timeout", IDLE_TIMEOUT_S,
        "proxy-resolver", NULL, NULL);
    soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(session, SOUP_TYPE_AUTH_MANAGER);
    return session;
}

static SoupSession *
find_session(struct attempts *attempts, const char *address)
{
    SoupSession **session =
        &attempts->sessions[g_str_hash(address) % SESSION_COUNT];
    if (*session == NULL) {
        *session = create_session(&attempts->options);
    }
    return *session;
}

void
attempts_start(struct attempts *attempts, const struct attempt_params *params)
{
    struct attempt *attempt = g_new0(struct attempt, 1);
    attempt->attempts = attempts;
    attempt->number = params->number;
    attempt->task_name = g_strdup(params->task_name);
    attempt->host = g_strdup(params->host);
    attempt->address = g_strdup(params->address);
    attempt->message = create_message(params);
    attempt->probe_interval_ms = PROBE_INTERVAL_MIN_MS;
    attempt->lease_end_ms = params->lease_ms;
    attempt->deadline_ms =
        now_ms(attempts) + params->lease_ms + ANSWER_GRACE_MS;
    g_hash_table_insert(attempts->by_number, &attempt->number, attempt);
    g_signal_connect(attempt->message, "starting", G_CALLBACK(on_starting),
                     attempt);
    arm_timer(attempt, attempts->options.connect_timeout_ms);
    attempt->fetch =
        fetch_start(find_session(attempts, params->address), attempt->message,
                    &(struct fetch_handler){
                        .stream = on_stream,
                        .data = on_data,
                        .ended = on_ended,
                        .ctx = attempt,
                    });
}

void
attempts_continue(struct attempts *attempts, uint64_t number)
{
    struct attempt *attempt = find_attempt(attempts, number);
    if (attempt != NULL) {
        fetch_continue(attempt->fetch);
    }
}

void
attempts_abort(struct attempts *attempts, uint64_t number)
{
    struct attempt *attempt = find_attempt(attempts, number);
    if (attempt != NULL) {
        fetch_cancel(attempt->fetch);
    }
}

void
attempts_cancel(struct attempts *attempts, uint64_t number)
{
    struct attempt *attempt = find_attempt(attempts, number);
    if (attempt == NULL || attempt->cancelling) {
        return;
    }
    attempt->cancelling = true;
    if (!attempt->sent) {
        attempt->not_sent_reason = REASON_CANCELLED;
        fetch_cancel(attempt->fetch);
        return;
    }
    send_probe(attempt);
}

struct attempts *
attempts_create(const struct attempts_options *options)
{
    struct attempts *attempts = g_new0(struct attempts, 1);
    attempts->options = *options;
    attempts->by_number = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                NULL, attempt_destroy);
    attempts->stopper = stopper_create(&(struct stopper_options){
        .clock = options->clock,
        .call_timeout_ms = options->connect_timeout_ms,
        .done = on_stopper_done,
        .ctx = attempts,
    });
    return attempts;
}

void
attempts_destroy(struct attempts *attempts)
{
    if (attempts == NULL) {
        return;
    }
    stopper_destroy(attempts->stopper);
    for (int i = 0; i < SESSION_COUNT; i++) {
        if (attempts->sessions[i] != NULL) {
            soup_session_abort(attempts->sessions[i]);
            g_object_unref(attempts->sessions[i]);
        }
    }
    g_hash_table_unref(attempts->by_number);
    g_free(attempts);
}
