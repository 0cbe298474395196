#include "egretd/answer.h"

enum {
    STATUS_TOO_MANY_REQUESTS = 429,
    STATUS_CALLER_CLOSED = 499,
};

struct answer *
answer_create(enum outcome outcome, enum reason reason)
{
    struct answer *answer = g_new0(struct answer, 1);
    answer->outcome = outcome;
    answer->reason = reason;
    return answer;
}

struct answer *
answer_copy(const struct answer *answer)
{
    struct answer *copy = answer_create(answer->outcome, answer->reason);
    copy->status = answer->status;
    copy->content_type = g_strdup(answer->content_type);
    copy->body = answer->body == NULL ? NULL : g_bytes_ref(answer->body);
    copy->host = g_strdup(answer->host);
    copy->retry_after_ms = answer->retry_after_ms;
    return copy;
}

void
answer_destroy(struct answer *answer)
{
    if (answer == NULL) {
        return;
    }
    g_clear_pointer(&answer->body, g_bytes_unref);
    g_free(answer->content_type);
    g_free(answer->host);
    g_free(answer);
}

unsigned
answer_status(enum outcome outcome, enum reason reason)
{
    if (outcome == OUTCOME_DONE) {
        return SOUP_STATUS_GONE;
    }
    if (outcome == OUTCOME_UNKNOWN) {
        return reason == REASON_TIMEOUT ? SOUP_STATUS_GATEWAY_TIMEOUT
                                        : SOUP_STATUS_BAD_GATEWAY;
    }
    switch (reason) {
    case REASON_BAD_REQUEST:
        return SOUP_STATUS_BAD_REQUEST;
    case REASON_KEY_MISSING:
    case REASON_KEY_REFUSED:
    case REASON_KEY_EXPIRED:
        return SOUP_STATUS_UNAUTHORIZED;
    case REASON_UNKNOWN_QUEUE:
    case REASON_UNKNOWN_TEAM:
        return SOUP_STATUS_NOT_FOUND;
    case REASON_ID_CONFLICT:
        return SOUP_STATUS_CONFLICT;
    case REASON_BODY_TOO_LARGE:
        return SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
    case REASON_NEVER_RUNS:
        return SOUP_STATUS_UNPROCESSABLE_ENTITY;
    case REASON_QUEUE_FULL:
    case REASON_TEAM_LIMIT:
    case REASON_OVERLOAD:
        return STATUS_TOO_MANY_REQUESTS;
    case REASON_CANCELLED:
        return STATUS_CALLER_CLOSED;
    default:
        return SOUP_STATUS_SERVICE_UNAVAILABLE;
    }
}

/* Task names and request ids contain nothing that JSON has to escape. */
static char *
format_outcome(const struct answer *answer, const char *task,
               const char *request_id)
{
    const char *quote = request_id == NULL ? "" : "\"";
    return g_strdup_printf("{\"outcome\":\"%s\",\"reason\":\"%s\","
                           "\"task\":\"%s\",\"request_id\":%s%s%s}",
                           outcome_name(answer->outcome),
                           reason_name(answer->reason), task, quote,
                           request_id == NULL ? "null" : request_id, quote);
}

/* libsoup has no phrase for these two. */
static const char *
status_phrase(unsigned status)
{
    switch (status) {
    case STATUS_TOO_MANY_REQUESTS:
        return "Too Many Requests";
    case STATUS_CALLER_CLOSED:
        return "Client Closed Request";
    default:
        return NULL;
    }
}

static void
write_outcome(const struct answer *answer, SoupServerMessage *message,
              const char *task, const char *request_id)
{
    char *text = format_outcome(answer, task, request_id);
    unsigned status = answer_status(answer->outcome, answer->reason);
    soup_server_message_set_status(message, status, status_phrase(status));
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
    if (answer->retry_after_ms > 0) {
        char seconds[16];
        g_snprintf(seconds, sizeof(seconds), "%d",
                   (int)((answer->retry_after_ms + 999) / 1000));
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message), "Retry-After",
            seconds);
    }
}

static void
write_backend_answer(const struct answer *answer, SoupServerMessage *message)
{
    soup_server_message_set_status(message, answer->status, NULL);
    if (answer->body != NULL) {
        soup_message_body_append_bytes(
            soup_server_message_get_response_body(message), answer->body);
    }
    if (answer->content_type != NULL) {
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message), "Content-Type",
            answer->content_type);
    }
}

void
answer_write(const struct answer *answer, SoupServerMessage *message,
             const char *task, const char *request_id)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    if (answer->status != 0) {
        write_backend_answer(answer, message);
    }
    else {
        write_outcome(answer, message, task, request_id);
    }
    soup_message_headers_replace(headers, "Egret-Outcome",
                                 outcome_name(answer->outcome));
    if (answer->reason != REASON_NONE) {
        soup_message_headers_replace(headers, "Egret-Reason",
                                     reason_name(answer->reason));
    }
    soup_message_headers_replace(headers, "Egret-Task", task);
    if (answer->host != NULL) {
        soup_message_headers_replace(headers, "Egret-Host", answer->host);
    }
}

void
answer_write_head(const struct answer_head *head, SoupServerMessage *message,
                  const char *task)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_server_message_set_status(message, head->status, NULL);
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(message), FALSE);
    if (head->size_bytes >= 0) {
        soup_message_headers_set_content_length(headers, head->size_bytes);
    }
    else {
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    }
    if (head->content_type != NULL) {
        soup_message_headers_replace(headers, "Content-Type",
                                     head->content_type);
    }
    soup_message_headers_replace(headers, "Egret-Outcome",
                                 outcome_name(OUTCOME_DONE));
    soup_message_headers_replace(headers, "Egret-Task", task);
    if (head->host != NULL) {
        soup_message_headers_replace(headers, "Egret-Host", head->host);
    }
}
