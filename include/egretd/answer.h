/* The HTTP response to a caller's request. */
#ifndef EGRETD_ANSWER_H
#define EGRETD_ANSWER_H

#include <libsoup/soup.h>
#include <stdint.h>

#include "core/outcome.h"

/**
 * struct answer - a complete backend server's answer, or an outcome without
 * one
 * @outcome, @reason: outcome of the task
 * @status: HTTP status of the backend server's answer; 0 if there is none
 * @content_type: of @body, or NULL
 * @body: complete body of the backend server's answer, or NULL
 * @host: backend server that answered, or NULL
 * @retry_after_ms: value of Retry-After for refusals; 0 for none
 */
struct answer {
    enum outcome outcome;
    enum reason reason;
    unsigned status;
    char *content_type;
    GBytes *body;
    char *host;
    int64_t retry_after_ms;
};

/**
 * struct answer_head - head of an answer that is streamed to the caller
 * @size_bytes: announced length of the body; -1 if it is chunked
 */
struct answer_head {
    unsigned status;
    const char *content_type;
    const char *host;
    int64_t size_bytes;
};

struct answer *
answer_create(enum outcome outcome, enum reason reason);
struct answer *
answer_copy(const struct answer *answer);
void
answer_destroy(struct answer *answer);

/** answer_write() - write @answer as the response of @message. @task is the
 * task name; @request_id may be NULL. */
void
answer_write(const struct answer *answer, SoupServerMessage *message,
             const char *task, const char *request_id);

/** answer_write_head() - write the head of a streamed response. */
void
answer_write_head(const struct answer_head *head, SoupServerMessage *message,
                  const char *task);

/** answer_status() - HTTP status for an outcome without a backend server's
 * answer. */
unsigned
answer_status(enum outcome outcome, enum reason reason);

#endif
