/* Authenticated links to the other gateways. */
#ifndef EGRETD_PEERS_H
#define EGRETD_PEERS_H

#include <stdint.h>

#include "common/ms_clock.h"
#include "common/status.h"
#include "wire/message.h"

/** struct peer_address - where a member listens for peer links */
struct peer_address {
    const char *incarnation;
    const char *address;
    uint16_t port;
};

/**
 * struct peers_handler - events of the links
 * @message: a message of an authenticated peer; valid during the call
 * @up: a link to a peer came up, or replaced an older one; may be NULL
 * @down: the link to a peer was lost
 * @replaced: another incarnation answers at the address of member
 *            @incarnation, so the process of @incarnation has ended; may be
 *            NULL
 */
struct peers_handler {
    void (*message)(void *ctx, const char *incarnation,
                    const struct message *message);
    void (*up)(void *ctx, const char *incarnation);
    void (*down)(void *ctx, const char *incarnation);
    void (*replaced)(void *ctx, const char *incarnation);
    void *ctx;
};

/**
 * struct peers_options - how to listen, and the identity of this gateway
 * @address, @port: where to listen; port 0 lets the kernel choose
 * @secret: shared by all gateways; proved by challenge and response
 * @idle_timeout_ms: a link that receives no frame for this long is closed and
 *                   established anew
 */
struct peers_options {
    const char *address;
    uint16_t port;
    const char *secret;
    const char *incarnation;
    const char *name;
    int64_t idle_timeout_ms;
    struct ms_clock clock;
    struct peers_handler handler;
};

struct peers;

/** peers_create() - start to listen; NULL with @status if that fails. */
struct peers *
peers_create(const struct peers_options *options, struct status *status);
void
peers_destroy(struct peers *peers);

/** peers_port() - port that it listens on. */
uint16_t
peers_port(const struct peers *peers);

/**
 * peers_set_members() - keep a link to each member; close the links to former
 * members
 *
 * Of two members the one with the lower incarnation dials; a gateway that is
 * not a member itself dials all members. Links from gateways that are not
 * members stay open until they are idle: gateways join over them.
 */
void
peers_set_members(struct peers *peers, const struct peer_address *members,
                  size_t n_members);

/** peers_send() - queue a message to a peer; false if there is no link or its
 * write queue is full. */
bool
peers_send(struct peers *peers, const char *incarnation,
           const struct message *message);

/** peers_broadcast() - queue a message to every linked peer. */
void
peers_broadcast(struct peers *peers, const struct message *message);

/**
 * struct peers_stats - traffic of all links since the start
 * @linked: peers with a link now
 * @rejected: connections refused or closed because of a protocol violation
 */
struct peers_stats {
    uint32_t linked;
    uint64_t frames_in;
    uint64_t frames_out;
    uint64_t bytes_in;
    uint64_t bytes_out;
    uint64_t rejected;
};

struct peers_stats
peers_get_stats(const struct peers *peers);

#endif
