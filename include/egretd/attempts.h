/* Hands attempts to backend servers and learns how they ended. */
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
 * @number: unique number of the attempt
 * @task_name: id the backend server knows it by, unique for ever
 * @host, @address: the backend server
 * @team, @queue: what the task counts for
 * @request_id: the caller's id, or NULL
 * @content_type, @body: what the caller sent
 * @idempotent: may use a connection that was used before
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
 * struct attempts_handler - decides and learns
 * @may_send: last check before the first byte leaves
 * @sent: the first byte is about to leave
 * @ended: the attempt ended; @answer is owned by the receiver, and NULL
 *         unless @result is ATTEMPT_DONE or ATTEMPT_FAILED
 * @stream: the answer is long: true to pass it on piece by piece
 * @data: next piece of it; the next comes after attempts_continue(). The end
 *        comes through @ended, with ATTEMPT_DONE and no answer when whole.
 * @resolved: a lost attempt is known not to run any more
 * @load: a backend server told how many tasks it runs
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
 * struct attempts_options - bounds
 * @connect_timeout_ms: time until the first byte can be sent
 * @host_connections: idle and busy reusable connections to one host
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

/** attempts_start() - connect, check once more and send. */
void
attempts_start(struct attempts *attempts, const struct attempt_params *params);

/** attempts_cancel() - ask the backend server to stop an attempt; @ended
 * follows with ATTEMPT_STOPPED, or with its answer if that came first. */
void
attempts_cancel(struct attempts *attempts, uint64_t number);

/** attempts_continue() - ready for the next piece of a long answer. */
void
attempts_continue(struct attempts *attempts, uint64_t number);

/** attempts_abort() - drop the connection of a long answer that nobody takes
 * any more; @ended follows with ATTEMPT_LOST. */
void
attempts_abort(struct attempts *attempts, uint64_t number);

#endif
