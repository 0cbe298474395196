/* Orders to a backend server and its answers. */
#ifndef PLATFORM_BACKEND_CLIENT_H
#define PLATFORM_BACKEND_CLIENT_H

#include <event2/event.h>
#include <stdint.h>

#include "core/jobs/scheduler.h"

struct backend_client;

/**
 * struct backend_events - where answers of all links go; share @ctx
 * @on_start: answer to a start; @clock_ms 0: not told
 * @on_stop: answer to a stop
 * @on_throttle: answer to a change of pace
 * @on_report: lists, or why there are none
 */
struct backend_events {
    void (*on_start)(void *ctx, uint64_t handle, enum start_answer answer,
                     int64_t clock_ms);
    void (*on_stop)(void *ctx, uint64_t handle, bool acked);
    void (*on_throttle)(void *ctx, uint64_t handle, int32_t percent,
                        bool acked);
    void (*on_report)(void *ctx, const char *backend_id,
                      const struct run_report *lists);
    void *ctx;
};

/** backend_client_create() - connections to one backend server. */
struct backend_client *
backend_client_create(struct event_base *base, const char *backend_id,
                      const char *address,
                      const struct backend_events *events);
void
backend_client_destroy(struct backend_client *link);

/** backend_client_address() - the address it was created with. */
const char *
backend_client_address(const struct backend_client *link);

/**
 * struct start_call - a start in full
 * @spec: opaque text of the job
 * @saved: checkpoint to go on from, or NULL
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
backend_client_start(struct backend_client *link,
                     const struct start_call *call);
void
backend_client_stop(struct backend_client *link, uint64_t handle,
                    const char *task, uint32_t number, int64_t token);

void
backend_client_throttle(struct backend_client *link,
                        const struct throttle_command *order, int64_t token);

/** backend_client_request_report() - read both lists; @until_ms 0 renews no
 * lease. */
void
backend_client_request_report(struct backend_client *link, int64_t until_ms,
                              int64_t token, int64_t seen_upto,
                              int64_t wait_ms);

#endif
