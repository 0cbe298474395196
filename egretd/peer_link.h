/* One connection to another gateway: handshake, frames, bounded writes. */
#ifndef EGRETD_PEER_LINK_H
#define EGRETD_PEER_LINK_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/ms_clock.h"
#include "wire/message.h"

struct peer_link;

/**
 * struct peer_link_handler - events of a link
 * @authenticated: the other end proved that it knows the secret; returning
 *                 false closes the link
 * @message: a message after the handshake
 * @closed: the link was closed; @fault if the other end violated the protocol.
 *          No event follows, and the link is released afterwards
 */
struct peer_link_handler {
    bool (*authenticated)(void *ctx, struct peer_link *link);
    void (*message)(void *ctx, struct peer_link *link,
                    const struct message *message);
    void (*closed)(void *ctx, struct peer_link *link, bool fault);
    void *ctx;
};

/**
 * struct peer_link_traffic - frames and bytes over all links of a gateway
 */
struct peer_link_traffic {
    uint64_t frames_in;
    uint64_t frames_out;
    uint64_t bytes_in;
    uint64_t bytes_out;
};

/**
 * struct peer_link_options - how to create a link
 * @dialled: incarnation that was dialled; NULL for an accepted link
 * @secret, @incarnation, @name: of this gateway
 */
struct peer_link_options {
    GSocketConnection *connection;
    const char *dialled;
    const char *secret;
    const char *incarnation;
    const char *name;
    struct ms_clock clock;
    struct peer_link_traffic *traffic;
    struct peer_link_handler handler;
};

/** peer_link_create() - start the handshake; NULL if no nonce could be made.
 */
struct peer_link *
peer_link_create(const struct peer_link_options *options);

/** peer_link_close() - close the link; calls @closed unless it was closed
 * already. */
void
peer_link_close(struct peer_link *link);

/** peer_link_send() - queue an encoded frame; false when the link is closed or
 * its write queue is full, which also makes the link count as idle. */
bool
peer_link_send(struct peer_link *link, GBytes *frame);

/** peer_link_incarnation() - incarnation of the other end, NULL before its
 * HELLO. */
const char *
peer_link_incarnation(const struct peer_link *link);

/** peer_link_dialled() - incarnation that was dialled, or NULL. */
const char *
peer_link_dialled(const struct peer_link *link);

bool
peer_link_authenticated(const struct peer_link *link);

/** peer_link_last_frame_ms() - when the last frame was received, or the link
 * was created; INT64_MIN once its write queue was full. */
int64_t
peer_link_last_frame_ms(const struct peer_link *link);

/** peer_link_make_frame() - @message as a frame to send. */
GBytes *
peer_link_make_frame(const struct message *message);

#endif
