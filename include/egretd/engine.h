/* Carries out the dispatcher's decisions. */
#ifndef EGRETD_ENGINE_H
#define EGRETD_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/counters.h"
#include "common/ms_clock.h"
#include "common/settings.h"
#include "core/dispatch.h"
#include "egretd/request.h"
#include "egretd/registration.h"

/** struct forward_target - where a gateway takes forwarded requests */
struct forward_target {
    char address[64];
};

/**
 * struct engine_options - what the engine works with
 * @incarnation: makes task names unique for ever
 * @secret: signs forwarded requests
 * @find_peer: HTTP address of a gateway; false when it is not known
 * @find_queue: a queue in the configuration in force, or NULL
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

/** engine_dispatch() - the dispatcher, to be fed with facts; call
 * engine_run_actions() after that. */
struct dispatch *
engine_dispatch(struct engine *engine);

/** engine_run_actions() - carry out every decision that is due. */
void
engine_run_actions(struct engine *engine);

/**
 * engine_submit() - take a request
 *
 * The engine owns @request from now on and answers it, at once if it is
 * refused.
 */
void
engine_submit(struct engine *engine, struct request *request);

/** engine_cancel_by_id() - cancel the request a team named @request_id.
 * Returns "cancelled", "running" or "not-found". */
const char *
engine_cancel_by_id(struct engine *engine, const char *team,
                    const char *request_id);

/** engine_set_incarnation() - this process joins under a new name; ids
 * owned under the old one are given up. */
void
engine_set_incarnation(struct engine *engine, const char *incarnation);

/** engine_set_members() - registered gateways, which share out the ids. */
void
engine_set_members(struct engine *engine, const struct gateway_member *members,
                   size_t n_members, uint64_t epoch);

/** engine_find_owner() - address of the gateway that owns an id. */
bool
engine_find_owner(struct engine *engine, const char *team,
                  const char *request_id, struct forward_target *target);

/** engine_answer_query() - what is known here of a request id, as JSON. */
char *
engine_answer_query(struct engine *engine, const char *team, const char *id,
                    const char *querier);

/** engine_drain() - take no more; refuse what can't start any more. */
void
engine_drain(struct engine *engine);

/** engine_inflight() - requests that have no answer yet. */
uint32_t
engine_inflight(const struct engine *engine);

#endif
