/* Sends attempts to backend servers and reports how they ended. */
#ifndef EGRETD_ATTEMPTS_H
#define EGRETD_ATTEMPTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/counters.h"
#include "common/ms_clock.h"
#include "core/dispatch.h"
#include "egretd/answer.h"

/**
 * struct attempt_params - one attempt to make
 * @number: number of the attempt, unique on this gateway
 * @task_name: id of the attempt at the backend server, never used again
 * @host, @address: name and "IP:port" of the backend server
 * @team, @queue: team and queue that the task is accounted to
 * @request_id: the caller's id, or NULL
 * @content_type, @body: what the caller sent
 * @idempotent: may be sent on a reused connection
 * @lease_ms: time after which the backend server ends the attempt
 */
struct attempt_params {
    uint64_t number;
    const char *task_name;
    const char *host;
    const char *address;
    const char *team;
    const char *queue;
    const char *request_id;
    const char *content_type;
    GBytes *body;
    bool idempotent;
    int64_t lease_ms;
};

/**
 * struct attempts_handler - callbacks for decisions and results
 * @may_send: last check before the request is sent: REASON_NONE, or why it
 *            must not be sent
 * @sent: the request is about to be sent
 * @ended: the attempt ended; @answer is owned by the receiver, and NULL
 *         unless @result is ATTEMPT_DONE or ATTEMPT_FAILED
 * @stream: the answer is too long to buffer; returns true to receive it piece
 *          by piece
 * @data: next piece of it; the following piece comes after
 *        attempts_continue(). @ended follows the last piece, with
 *        ATTEMPT_DONE and no answer if the answer was complete.
 * @resolved: a lost attempt is known to have ended or never to have started
 * @load: a backend server reported how many tasks it runs
 */
struct attempts_handler {
    enum reason (*may_send)(void *ctx, uint64_t number);
    void (*sent)(void *ctx, uint64_t number);
    void (*ended)(void *ctx, uint64_t number, enum attempt_result result,
                  enum reason reason, struct answer *answer);
    bool (*stream)(void *ctx, uint64_t number, const struct answer_head *head);
    void (*data)(void *ctx, uint64_t number, GBytes *piece);
    void (*resolved)(void *ctx, uint64_t number);
    void (*load)(void *ctx, const char *host, uint32_t running);
    void *ctx;
};

/**
 * struct attempts_options - limits and callbacks
 * @connect_timeout_ms: limit from attempts_start() until the request is sent
 * @host_connections: limit of reusable connections to one host, idle and busy
 */
struct attempts_options {
    struct counters *counters;
    struct ms_clock clock;
    int64_t connect_timeout_ms;
    uint32_t host_connections;
    struct attempts_handler handler;
};

struct attempts;

struct attempts *
attempts_create(const struct attempts_options *options);
void
attempts_destroy(struct attempts *attempts);

/** attempts_start() - connect, call @may_send, then send the request. */
void
attempts_start(struct attempts *attempts, const struct attempt_params *params);

/** attempts_cancel() - request that the backend server stops an attempt;
 * @ended follows with ATTEMPT_STOPPED, or with its answer if that came first.
 * */
void
attempts_cancel(struct attempts *attempts, uint64_t number);

/** attempts_continue() - request the next piece of a streamed answer. */
void
attempts_continue(struct attempts *attempts, uint64_t number);

/** attempts_abort() - close the connection of a streamed answer that no caller
 * waits for any more; @ended follows with ATTEMPT_LOST. */
void
attempts_abort(struct attempts *attempts, uint64_t number);

#endif
