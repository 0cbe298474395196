/* A caller's request while the gateway holds it. */
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
 * @ROLE_RUN: its task runs through the dispatcher here
 * @ROLE_WAIT: it waits for a run of its id, or for what a gateway knows
 * @ROLE_FORWARD: the gateway that owns its id answers it
 */
enum request_role {
    ROLE_RUN,
    ROLE_WAIT,
    ROLE_FORWARD,
};

/**
 * struct request - one task and the callers that wait for it
 * @task: number on this gateway
 * @task_name: "<incarnation>-<task>", for logs and callers
 * @team, @queue: names in the configuration
 * @key_id, @key_hash_hex: key it came with; NULL and "" on open queues
 * @request_id: the caller's id, or NULL
 * @idempotent: may run more than once
 * @forwarded: came from another gateway
 * @to_owner: came from another gateway because this one owns its id
 * @first_attempt: the caller vouches that it never sent the id before
 * @hops: how often gateways have sent it on
 * @role: how it gets its answer
 * @claimed: its end is to be told to the claims
 * @content_type, @body: what the caller sent
 * @arrived_ms: when it arrived
 * @attempt: attempt that is out, or 0
 * @host: backend server of the last attempt, for logs
 * @last_failure: answer of the last attempt that ran and failed, or NULL
 * @waiters: connections that wait for the answer
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
    /* Set while a long answer is passed on. */
    SoupServerMessage *streaming;
    gulong wrote_chunk_handler;
    void (*wrote)(void *ctx, struct request *request);
    /* Told when no caller waits any more. */
    void (*abandoned)(void *ctx, struct request *request);
    void *callback_ctx;
};

struct request *
request_create(void);

/** request_destroy() - free; callers still waiting get no answer. */
void
request_destroy(struct request *request);

/** request_add_waiter() - let a paused message wait for the answer. */
void
request_add_waiter(struct request *request, SoupServerMessage *message);

/** request_answer() - answer every caller; @answer stays the caller's. */
void
request_answer(struct request *request, const struct answer *answer);

/**
 * request_stream_start() - begin a long answer to the only caller
 * @wrote: told when the caller has taken a piece
 *
 * Returns: false when the answer has to be kept whole, because several
 * callers wait for it or may ask for it again.
 */
bool
request_stream_start(struct request *request, const struct answer_head *head,
                     void (*wrote)(void *ctx, struct request *request));

/** request_stream_data() - next piece. */
void
request_stream_data(struct request *request, GBytes *piece);

/** request_stream_end() - the answer is whole, or it is cut off so that the
 * caller sees it. */
void
request_stream_end(struct request *request, bool whole);

#endif
