/* Registration, renewal, support, fencing and reclaiming of gateways. */
#ifndef EGRETD_REGISTRATION_H
#define EGRETD_REGISTRATION_H

#include "common/counters.h"
#include "common/ms_clock.h"
#include "common/settings.h"
#include "egretd/peers.h"
#include "store/store.h"

/** struct gateway_member - a registered gateway, as in the members record */
struct gateway_member {
    char *incarnation;
    char *name;
    char *address;
    char *dc;
    uint16_t peer_port;
    uint16_t http_port;
    bool live;
};

/**
 * struct standing_listener - told about changes
 * @until: this gateway may start work before @until_ms
 * @members: the registered gateways changed
 * @fenced: this incarnation was fenced; the process must start anew
 * @reclaim: the permits of a fenced gateway may move; answered with
 *           standing_reclaimed() once none are left
 */
struct standing_listener {
    void (*until)(void *ctx, int64_t until_ms);
    void (*members)(void *ctx, const struct gateway_member *members,
                    size_t n_members, uint64_t epoch);
    void (*fenced)(void *ctx);
    void (*reclaim)(void *ctx, const char *incarnation);
    void *ctx;
};

/**
 * struct standing_options - parts it works with
 * @generation: returns the configuration generation in force, sent with
 *              beats
 * @newer: called when @peer has a newer configuration generation
 * @refresh: asks the store for the newest generation
 * @confirmed_ms: when the newest read was sent that found nothing newer than
 *                the generation in force
 * @longest_lease_ms: returns the longest lease handed to backend servers
 */
struct standing_options {
    const struct settings *settings;
    struct store *store;
    struct peers *peers;
    struct counters *counters;
    struct ms_clock clock;
    const char *incarnation;
    uint16_t peer_port;
    uint16_t http_port;
    uint64_t (*generation)(void *ctx);
    void (*newer)(void *ctx, const char *peer);
    void (*refresh)(void *ctx);
    int64_t (*confirmed_ms)(void *ctx);
    int64_t (*longest_lease_ms)(void *ctx);
    void *ctx;
    struct standing_listener listener;
};

struct standing;

struct standing *
standing_create(const struct standing_options *options);
void
standing_destroy(struct standing *standing);

/** standing_message() - a beat, its answer or a members record. */
void
standing_message(struct standing *standing, const char *peer,
                 const struct message *message);

/** standing_linked() - a link to @peer is up. */
void
standing_linked(struct standing *standing, const char *peer);

/** standing_replaced() - the process of @incarnation has ended: another one
 * answers at its address. */
void
standing_replaced(struct standing *standing, const char *incarnation);

/** standing_reclaimed() - no permits of @incarnation are left. */
void
standing_reclaimed(struct standing *standing, const char *incarnation);

/** standing_epoch() - epoch of the members record in force here. */
uint64_t
standing_epoch(const struct standing *standing);

/** standing_leave() - give the registration back at shutdown; @done is
 * called once, also when the store can't be reached. */
void
standing_leave(struct standing *standing, void (*done)(void *ctx), void *ctx);

#endif
