/* Callers' requests about jobs, and the replies to them. */
#ifndef EGRETJOBD_JOB_CALL_H
#define EGRETJOBD_JOB_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/http_client.h"

struct http_exchange;

/** enum job_call_kind - operation that a caller requests */
enum job_call_kind {
    JOB_CALL_SUBMIT,
    JOB_CALL_STATE,
    JOB_CALL_CANCEL,
    JOB_CALL_QUEUE_LENGTH,
};

/**
 * struct job_call - a checked request of a caller
 * @id: id of the job; empty for JOB_CALL_QUEUE_LENGTH
 * @queue: name of the queue
 * @pool: pool of the queue
 * @team: client account, empty on an open queue
 * @attempts: attempts per task, set by the queue
 * @body: job as the caller sent it
 * @uncertain: another process may have stored it or be storing it
 * @forwarded: from a peer, which uses the store if it gets no answer in time
 */
struct job_call {
    enum job_call_kind kind;
    const char *id;
    const char *queue;
    const char *pool;
    const char *team;
    uint32_t attempts;
    const char *body;
    size_t body_bytes;
    bool uncertain;
    bool forwarded;
};

enum {
    /* Internal: the process that was called can't answer; use the store. */
    JOB_ANSWER_USE_STORE = 421,
    /* Internal: the process that was called did not answer, and may still
     * carry the call out. */
    JOB_ANSWER_UNANSWERED = 424,
};

/**
 * struct job_answer - answer to a call
 * @status: HTTP status for the caller, or JOB_ANSWER_USE_STORE
 * @body: JSON text, or NULL
 * @retry_after_ms: when a refused caller may retry; 0: not given
 */
struct job_answer {
    int status;
    const char *body;
    int64_t retry_after_ms;
};

/** enum job_call_header - headers that carry a call to a peer */
enum job_call_header {
    JOB_CALL_HEADER_ID,
    JOB_CALL_HEADER_QUEUE,
    JOB_CALL_HEADER_POOL,
    JOB_CALL_HEADER_TEAM,
    JOB_CALL_HEADER_ATTEMPTS,
    JOB_CALL_HEADER_COUNT,
};

/**
 * struct job_call_headers - the headers of one call
 * @values: their values; the call that was read from them refers to them
 * @list: the headers to send, as struct http_call takes them
 */
struct job_call_headers {
    char *values[JOB_CALL_HEADER_COUNT];
    struct http_header list[JOB_CALL_HEADER_COUNT + 1];
};

/** job_call_headers_init() - headers of @call; names are percent-encoded, as
 * a header holds no line breaks and loses spaces at its ends. */
void
job_call_headers_init(struct job_call_headers *headers,
                      const struct job_call *call);

/** job_call_headers_read() - all of @call but its kind and body; false if they
 * aren't headers of a call. Clear @headers in either case. */
bool
job_call_headers_read(struct job_call_headers *headers,
                      const struct http_exchange *exchange,
                      struct job_call *call);

void
job_call_headers_clear(struct job_call_headers *headers);

/** struct job_reply - callback that receives the answer; called once */
struct job_reply {
    void (*call)(void *ctx, const struct job_answer *answer);
    void *ctx;
};

#endif
