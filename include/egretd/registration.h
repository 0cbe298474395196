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
 * struct registration_listener - told about changes
 * @lease_changed: this gateway may start work before @until_ms
 * @members: the registered gateways changed
 * @fenced: this incarnation was fenced; the process must start anew
 * @reclaim_permits: the permits of a fenced gateway may move; answered with
 *           registration_permits_reclaimed() once none are left
 */
struct registration_listener {
    void (*lease_changed)(void *ctx, int64_t until_ms);
    void (*members_changed)(void *ctx, const struct gateway_member *members,
                            size_t n_members, uint64_t epoch);
    void (*fenced)(void *ctx);
    void (*reclaim_permits)(void *ctx, const char *incarnation);
    void *ctx;
};

/**
 * struct registration_options - parts it works with
 * @generation: returns the configuration generation in force, sent with
 *              beats
 * @newer_config: called when @peer has a newer configuration generation
 * @refresh_config: asks the store for the newest generation
 * @config_confirmed_ms: when the newest read was sent that found nothing
 * newer than the generation in force
 * @longest_task_lease_ms: returns the longest lease handed to backend servers
 */
struct registration_options {
    const struct settings *settings;
    struct store *store;
    struct peers *peers;
    struct counters *counters;
    struct ms_clock clock;
    const char *incarnation;
    uint16_t peer_port;
    uint16_t http_port;
    uint64_t (*generation)(void *ctx);
    void (*newer_config)(void *ctx, const char *peer);
    void (*refresh_config)(void *ctx);
    int64_t (*config_confirmed_ms)(void *ctx);
    int64_t (*longest_task_lease_ms)(void *ctx);
    void *ctx;
    struct registration_listener listener;
};

struct registration;

struct registration *
registration_create(const struct registration_options *options);
void
registration_destroy(struct registration *registration);

/** registration_handle_message() - a beat, its answer or a members record. */
void
registration_handle_message(struct registration *registration,
                            const char *peer, const struct message *message);

/** registration_peer_linked() - a link to @peer is up. */
void
registration_peer_linked(struct registration *registration, const char *peer);

/** registration_peer_replaced() - the process of @incarnation has ended:
 * another one answers at its address. */
void
registration_peer_replaced(struct registration *registration,
                           const char *incarnation);

/** registration_permits_reclaimed() - no permits of @incarnation are left. */
void
registration_permits_reclaimed(struct registration *registration,
                               const char *incarnation);

/** registration_epoch() - epoch of the members record in force here. */
uint64_t
registration_epoch(const struct registration *registration);

/** registration_leave() - give the registration back at shutdown; @done is
 * called once, also when the store can't be reached. */
void
registration_leave(struct registration *registration, void (*done)(void *ctx),
                   void *ctx);

#endif
