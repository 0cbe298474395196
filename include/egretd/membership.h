/* Peer links, registration and permit accounts of one incarnation. */
#ifndef EGRETD_MEMBERSHIP_H
#define EGRETD_MEMBERSHIP_H

#include "common/counters.h"
#include "common/settings.h"
#include "common/status.h"
#include "egretd/config_feed.h"
#include "egretd/engine.h"
#include "egretd/peers.h"
#include "egretd/registration.h"
#include "store/store.h"

/**
 * struct membership_options - the parts that it connects
 * @incarnation: unique name to register under, never used before
 * @fenced: this incarnation was fenced; the receiver creates a new membership
 *          under a new incarnation
 */
struct membership_options {
    const struct settings *settings;
    const char *secret;
    struct store *store;
    struct counters *counters;
    struct ms_clock clock;
    struct config_feed *feed;
    struct engine *engine;
    uint16_t http_port;
    const char *incarnation;
    void (*fenced)(void *ctx);
    void *ctx;
};

struct membership;

struct membership *
membership_create(const struct membership_options *options,
                  struct status *status);
void
membership_destroy(struct membership *membership);

/** membership_set_config() - apply a new generation and send it to the peers.
 */
void
membership_set_config(struct membership *membership,
                      const struct config *config);

/** membership_find_peer() - HTTP address of a live gateway; false if @peer is
 * none. */
bool
membership_find_peer(const struct membership *membership, const char *peer,
                     struct forward_target *target);

/** membership_quorum_lease_expires_ms() - end of the quorum lease; work may
 * start only before it. */
int64_t
membership_quorum_lease_expires_ms(const struct membership *membership);

/** membership_incarnation() - name of this incarnation. */
const char *
membership_incarnation(const struct membership *membership);

/** membership_members() - registered gateways, and the epoch of their record.
 */
const struct gateway_member *
membership_members(const struct membership *membership, size_t *n_members,
                   uint64_t *epoch);

/** membership_peers_stats() - traffic of the peer links. */
struct peers_stats
membership_peers_stats(const struct membership *membership);

/** membership_leave() - release all permits, then unregister. */
void
membership_leave(struct membership *membership, void (*done)(void *ctx),
                 void *ctx);

#endif
