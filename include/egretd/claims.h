/* Gives every request id one run, wherever its requests arrive. */
#ifndef EGRETD_CLAIMS_H
#define EGRETD_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/ms_clock.h"
#include "egretd/request.h"
#include "egretd/registration.h"

enum {
    CLAIMS_MAX_ENTRIES = 100000,
};

/** struct peer_http_address - "IP:port" of a gateway's HTTP server */
struct peer_http_address {
    char text[64];
};

/**
 * struct claims_options - decisions are carried out through callbacks
 * @self: this incarnation
 * @retention_ms: how long an outcome is kept
 * @run: submit the request to the dispatcher
 * @forward: hand the request to @peer, which owns its id
 * @answer: answer the request
 * @find_peer: address of a gateway
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

/** claims_set_members() - registered gateways; @epoch of that record. */
void
claims_set_members(struct claims *claims, const struct gateway_member *members,
                   size_t n_members, uint64_t epoch);

/** claims_submit() - a request with an id arrived. */
void
claims_submit(struct claims *claims, const struct request *request);

/** claims_finished() - the run of @request's id ended; every request that
 * waits for it is answered, @request included. */
void
claims_finished(struct claims *claims, const struct request *request,
                const struct answer *answer);

/** claims_owner() - gateway that owns an id now, or NULL. */
const char *
claims_owner(const struct claims *claims, const char *team, const char *id);

/** claims_answer_query() - what is known here of an id, as JSON for @asker. */
char *
claims_answer_query(struct claims *claims, const char *team, const char *id,
                    const char *asker);

#endif
