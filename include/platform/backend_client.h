/* Client of one backend server: commands and requests for its run report. */
#ifndef PLATFORM_BACKEND_CLIENT_H
#define PLATFORM_BACKEND_CLIENT_H

#include <event2/event.h>
#include <stdint.h>

#include "core/jobs/scheduler.h"

struct backend_client;

/**
 * struct backend_callbacks - callbacks that receive the answers; all share
 * @ctx
 * @patience_ms: how much longer than usual to wait for an answer
 * @may_start: whether a start that waited for a connection is still wanted;
 *             otherwise it is answered with START_NOT_SENT
 * @on_start_sent: a start is sent; @known: on a connection that has answered a
 *                 start before, so no later process can receive it; may be
 *                 NULL
 * @on_start: answer to a start; @clock_ms is the backend server's clock, 0:
 * not given
 * @on_stop: answer to stop command @attempt of a run
 * @on_fenced: it has seen the higher fencing token of another leader; a
 *             command that one of our own refuses was not carried out
 * @on_throttle: answer to a throttle command
 * @on_report: run report, or why there is none
 */
struct backend_callbacks {
    int64_t (*patience_ms)(void *ctx);
    bool (*may_start)(void *ctx, uint64_t handle);
    void (*on_start_sent)(void *ctx, uint64_t handle, bool known);
    void (*on_start)(void *ctx, uint64_t handle, enum start_answer answer,
                     int64_t clock_ms);
    void (*on_stop)(void *ctx, uint64_t handle, uint32_t attempt, bool acked);
    void (*on_fenced)(void *ctx);
    void (*on_throttle)(void *ctx, uint64_t handle, int32_t percent,
                        bool acked);
    void (*on_report)(void *ctx, const char *backend_id,
                      const struct run_report *report);
    void *ctx;
};

/** backend_client_create() - connections to one backend server. */
struct backend_client *
backend_client_create(struct event_base *base, const char *backend_id,
                      const char *address,
                      const struct backend_callbacks *callbacks);
void
backend_client_destroy(struct backend_client *client);

/** backend_client_address() - the address it was created with. */
const char *
backend_client_address(const struct backend_client *client);

/**
 * struct start_call - a command to start a run
 * @task: JOB.OCCURRENCE.STEP.INDEX
 * @number: number of the run
 * @spec: opaque text of the job
 * @until_ms: end of the run's lease on the backend server's clock
 * @saved: checkpoint to continue from, or NULL
 * @token: fencing token
 * @ticket: proof that the queue's policy allows the start, or NULL
 */
struct start_call {
    uint64_t handle;
    const char *task;
    uint32_t number;
    const char *spec;
    int64_t until_ms;
    int64_t token;
    const char *saved;
    const char *ticket;
};

void
backend_client_start(struct backend_client *client,
                     const struct start_call *call);
void
backend_client_stop(struct backend_client *client,
                    const struct stop_command *command, int64_t token);

void
backend_client_throttle(struct backend_client *client,
                        const struct throttle_command *command, int64_t token);

/**
 * backend_client_request_report() - request the run report
 * @request: identity of the request, handed back with its answer
 * @until_ms: new end of the leases of all its runs; 0: renew none
 * @token: fencing token
 * @acked_completion: number of the last completion that has been processed
 * @wait_ms: how long the backend server may wait for news; 0: not at all
 */
void
backend_client_request_report(struct backend_client *client,
                              const struct report_request *request,
                              int64_t until_ms, int64_t token,
                              int64_t acked_completion, int64_t wait_ms);

#endif
