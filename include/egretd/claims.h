/* Runs each request id at most once in the fleet, whichever gateways its
 * requests arrive at. */
#ifndef EGRETD_CLAIMS_H
#define EGRETD_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/ms_clock.h"
#include "egretd/registration.h"
#include "egretd/request.h"

enum {
    CLAIMS_ENTRIES_MAX = 100000,
};

/** struct peer_http_address - "IP:port" of a gateway's HTTP server */
struct peer_http_address {
    char text[64];
};

/**
 * struct claims_options - limits, and callbacks that carry out decisions
 * @self: this incarnation
 * @retention_ms: how long the outcome of an id is retained
 * @timeout_ms: deadline of a query to another gateway
 * @run: submit the request to the dispatcher
 * @forward: forward the request to @peer, which owns its id
 * @answer: answer the request
 * @find_peer: sets the address of a gateway; false if it is not known
 */
struct claims_options {
    const char *self;
    const char *secret;
    int64_t retention_ms;
    int64_t timeout_ms;
    struct ms_clock clock;
    void (*run)(void *ctx, uint64_t task);
    void (*forward)(void *ctx, uint64_t task, const char *peer);
    void (*answer)(void *ctx, uint64_t task, const struct answer *answer);
    bool (*find_peer)(void *ctx, const char *peer,
                      struct peer_http_address *address);
    void *ctx;
};

struct claims;

struct claims *
claims_create(const struct claims_options *options);
void
claims_destroy(struct claims *claims);

/** claims_set_members() - set the registered gateways as of @epoch. */
void
claims_set_members(struct claims *claims, const struct gateway_member *members,
                   size_t n_members, uint64_t epoch);

/** claims_submit() - claim the id of a request that arrived. */
void
claims_submit(struct claims *claims, const struct request *request);

/** claims_finished() - the run of @request's id ended; answers every request
 * that waits for it, @request included. */
void
claims_finished(struct claims *claims, const struct request *request,
                const struct answer *answer);

/** claims_owner() - incarnation that owns an id now, or NULL. */
const char *
claims_owner(const struct claims *claims, const char *team, const char *id);

/** claims_answer_query() - what is known here of an id, as JSON for gateway
 * @querier, which owns the id now. */
char *
claims_answer_query(struct claims *claims, const char *team, const char *id,
                    const char *querier);

#endif
