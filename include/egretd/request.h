/* A caller's request from its arrival until its answer. */
#ifndef EGRETD_REQUEST_H
#define EGRETD_REQUEST_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/config.h"
#include "egretd/answer.h"

/**
 * enum request_role - how a request gets its answer
 * @ROLE_RUN: its task is submitted to the dispatcher of this gateway
 * @ROLE_WAIT: it waits for a run of the same id, or for the answers of other
 *             gateways to id queries
 * @ROLE_FORWARD: it is forwarded to the gateway that owns its id
 */
enum request_role {
    ROLE_RUN,
    ROLE_WAIT,
    ROLE_FORWARD,
};

/**
 * struct request - one task and the callers that wait for it
 * @task: number of the task on this gateway
 * @task_name: "<incarnation>.<task>", for logs and callers
 * @team, @queue: names in the configuration
 * @key_id, @key_hash_hex: API key of the caller; NULL and "" without a key
 * @request_id: the caller's id, or NULL
 * @idempotent: may run more than once
 * @forwarded: came from another gateway
 * @to_owner: forwarded here because this gateway owns its id
 * @first_attempt: the caller declared that it never sent the id before
 * @hops: how many times gateways have forwarded it
 * @role: how it gets its answer
 * @claimed: it runs for its id; its outcome is reported to the claims
 * @content_type, @body: what the caller sent
 * @arrived_ms: when it arrived
 * @attempt: number of the attempt under way, or 0
 * @host: backend server of the last attempt, for logs
 * @last_failure: answer of the last attempt that ran and failed, or NULL
 * @waiters: callers' messages that wait for the answer
 * @streaming: message that the answer is being streamed to, or NULL
 * @wrote_chunk_handler: signal handler on @streaming
 * @wrote: called when a piece was written to the connection
 * @abandoned: called when no caller waits any more
 * @callback_ctx: argument of @wrote and @abandoned
 */
struct request {
    uint64_t task;
    char *task_name;
    char *team;
    char *queue;
    char *key_id;
    char key_hash_hex[CONFIG_HASH_HEX_BYTES + 1];
    char *request_id;
    bool idempotent;
    bool forwarded;
    bool to_owner;
    bool first_attempt;
    uint32_t hops;
    enum request_role role;
    bool claimed;
    char *content_type;
    GBytes *body;
    int64_t arrived_ms;
    uint64_t attempt;
    char *host;
    struct answer *last_failure;
    GPtrArray *waiters;
    SoupServerMessage *streaming;
    gulong wrote_chunk_handler;
    void (*wrote)(void *ctx, struct request *request);
    void (*abandoned)(void *ctx, struct request *request);
    void *callback_ctx;
};

struct request *
request_create(void);

/** request_destroy() - free; callers still waiting get no answer. */
void
request_destroy(struct request *request);

/** request_add_waiter() - answer a paused message with this request. */
void
request_add_waiter(struct request *request, SoupServerMessage *message);

/** request_answer() - answer every waiting caller; @answer stays owned by the
 * caller of this function. */
void
request_answer(struct request *request, const struct answer *answer);

/**
 * request_stream_start() - start streaming an answer to the only caller
 * @wrote: called when a piece was written to the connection
 *
 * Returns: false if the answer has to be buffered, because several callers
 * wait for it or the caller may request it again by its id.
 */
bool
request_stream_start(struct request *request, const struct answer_head *head,
                     void (*wrote)(void *ctx, struct request *request));

/** request_stream_data() - send the next piece. */
void
request_stream_data(struct request *request, GBytes *piece);

/** request_stream_end() - end the stream; unless @complete, the connection is
 * shut down so that the caller sees a truncated answer. */
void
request_stream_end(struct request *request, bool complete);

#endif
