/* Submits requests to the dispatcher and executes its decisions. */
#ifndef EGRETD_ENGINE_H
#define EGRETD_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/counters.h"
#include "common/ms_clock.h"
#include "common/settings.h"
#include "core/dispatch.h"
#include "egretd/registration.h"
#include "egretd/request.h"

/** struct forward_target - "IP:port" for requests forwarded to a gateway */
struct forward_target {
    char address[64];
};

/**
 * struct engine_options - settings and callbacks
 * @incarnation: prefix of task and attempt names that makes them unique across
 *               restarts; copied
 * @secret: signs forwarded requests
 * @find_peer: sets the HTTP address of a gateway; false if it is not known
 * @find_queue: a queue of the active configuration, or NULL
 * @has_quorum_lease: whether this gateway may start work now
 */
struct engine_options {
    const struct settings *settings;
    struct counters *counters;
    struct ms_clock clock;
    const char *incarnation;
    const char *secret;
    bool (*find_peer)(void *ctx, const char *peer,
                      struct forward_target *target);
    const struct config_queue *(*find_queue)(void *ctx, const char *queue);
    bool (*has_quorum_lease)(void *ctx);
    void *ctx;
};

struct engine;

struct engine *
engine_create(const struct engine_options *options);
void
engine_destroy(struct engine *engine);

/** engine_dispatch() - the dispatcher, for updates of its inputs; call
 * engine_run_actions() after an update. */
struct dispatch *
engine_dispatch(struct engine *engine);

/** engine_run_actions() - execute every decision of the dispatcher that is
 * due. */
void
engine_run_actions(struct engine *engine);

/**
 * engine_submit() - submit a request
 *
 * The engine takes ownership of @request and answers it, at once if it is
 * refused.
 */
void
engine_submit(struct engine *engine, struct request *request);

/**
 * engine_cancel_by_id() - cancel a request by the id that its team gave it
 *
 * Returns: "cancelled" if it was still queued, "running" if it runs and its
 * stop was requested, or "not-found" if it doesn't run through this gateway.
 */
const char *
engine_cancel_by_id(struct engine *engine, const char *team,
                    const char *request_id);

/** engine_set_incarnation() - this process registers under a new incarnation;
 * it no longer owns the ids of the old one. @incarnation is copied. */
void
engine_set_incarnation(struct engine *engine, const char *incarnation);

/** engine_incarnation() - the current incarnation; valid until the next
 * engine_set_incarnation(). */
const char *
engine_incarnation(const struct engine *engine);

/** engine_set_members() - set the registered gateways as of @epoch, which
 * share the ownership of request ids. */
void
engine_set_members(struct engine *engine, const struct gateway_member *members,
                   size_t n_members, uint64_t epoch);

/** engine_find_owner() - set the address of the gateway that owns an id; false
 * if there is none. */
bool
engine_find_owner(struct engine *engine, const char *team,
                  const char *request_id, struct forward_target *target);

/** engine_answer_query() - what is known here of a request id, as JSON for
 * gateway @querier, which owns the id now; free it with g_free(). */
char *
engine_answer_query(struct engine *engine, const char *team, const char *id,
                    const char *querier);

/** engine_drain() - accept no more requests; refuse queued ones that can't be
 * forwarded. */
void
engine_drain(struct engine *engine);

/** engine_inflight() - number of requests without an answer. */
uint32_t
engine_inflight(const struct engine *engine);

#endif
