/* State shared by peers.c, which accepts links, and peer_targets.c, which
 * dials.
 */
#ifndef EGRETD_PEERS_INTERNAL_H
#define EGRETD_PEERS_INTERNAL_H

#include <gio/gio.h>

#include "egretd/peers.h"
#include "peer_link.h"

enum {
    PEERS_BACKOFF_MIN_MS = 50,
};

/**
 * struct peer_target - a member to keep a link to
 * @down_since_ms: when it was first seen without a link; INT64_MAX for never
 * @next_dial_ms: not dialled again before this time
 * @dial_started_ms: when the last dial was started
 * @dialling: cancels the pending dial; NULL for none
 * @replaced: another incarnation answers at its address
 */
struct peer_target {
    struct peers *peers;
    char *incarnation;
    char *address;
    uint16_t port;
    int64_t down_since_ms;
    int64_t next_dial_ms;
    int64_t backoff_ms;
    int64_t dial_started_ms;
    GCancellable *dialling;
    bool replaced;
};

/**
 * struct peers - see the header
 * @targets: struct peer_target by incarnation
 * @links: authenticated struct peer_link by incarnation
 * @unauthenticated: links whose handshake is pending
 * @rejected: connections refused or closed because of a protocol violation
 */
struct peers {
    struct peers_options options;
    char *secret;
    char *incarnation;
    char *name;
    GSocketService *service;
    GSocketClient *client;
    uint16_t port;
    guint tick;
    bool is_member;
    bool closing;
    GHashTable *targets;
    GHashTable *links;
    GPtrArray *unauthenticated;
    struct peer_link_traffic traffic;
    uint64_t rejected;
};

/** peers_add_link() - start the handshake on a connection; @dialled is NULL
 * for one that was accepted. */
void
peers_add_link(struct peers *peers, GSocketConnection *connection,
               const char *dialled);

struct peer_target *
peer_target_create(struct peers *peers, const struct peer_address *member);
void
peer_target_destroy(void *data);

/** peer_target_tick() - dial if this gateway should and there is no link. */
void
peer_target_tick(struct peer_target *target, int64_t now_ms);

#endif
