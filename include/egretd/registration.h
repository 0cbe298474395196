/*
 * Registration of this gateway among the others.
 *
 * Registers the incarnation in the members record, keeps its quorum lease by
 * renewals at the store and by lease grants of peers, fences gateways that
 * have become unresponsive, and starts to reclaim their permits.
 */
#ifndef EGRETD_REGISTRATION_H
#define EGRETD_REGISTRATION_H

#include "common/counters.h"
#include "common/ms_clock.h"
#include "common/settings.h"
#include "egretd/peers.h"
#include "store/store.h"

/**
 * struct gateway_member - a registered gateway, as in the members record
 * @live: neither fenced nor declared dead by an operator
 */
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
 * struct registration_listener - notified of changes
 * @lease_changed: the quorum lease now ends at @expires_ms; this gateway may
 *                 start work only before that
 * @members_changed: the registered gateways changed
 * @fenced: this incarnation was fenced; a new incarnation has to register
 * @reclaim_permits: the permits of a fenced gateway may be reclaimed; call
 *                   registration_permits_reclaimed() once none are left
 */
struct registration_listener {
    void (*lease_changed)(void *ctx, int64_t expires_ms);
    void (*members_changed)(void *ctx, const struct gateway_member *members,
                            size_t n_members, uint64_t epoch);
    void (*fenced)(void *ctx);
    void (*reclaim_permits)(void *ctx, const char *incarnation);
    void *ctx;
};

/**
 * struct registration_options - what the registration works with
 * @generation: returns the active configuration generation, which heartbeats
 *              carry
 * @newer_config: called when @peer has a newer configuration generation
 * @refresh_config: starts a read of the newest generation at the store
 * @config_confirmed_ms: returns when the last read was sent that found no
 *                       generation newer than the active one
 * @longest_task_lease_ms: returns the longest lease that a task gets at a
 *                         backend server
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

/** registration_handle_message() - handle a heartbeat, its answer or a members
 * record from a peer. */
void
registration_handle_message(struct registration *registration,
                            const char *peer, const struct message *message);

/** registration_peer_linked() - a link to @peer came up; sends it a heartbeat.
 */
void
registration_peer_linked(struct registration *registration, const char *peer);

/** registration_peer_replaced() - another incarnation answers at the address
 * of @incarnation, so its process has ended. */
void
registration_peer_replaced(struct registration *registration,
                           const char *incarnation);

/** registration_permits_reclaimed() - no permit record names @incarnation any
 * more. */
void
registration_permits_reclaimed(struct registration *registration,
                               const char *incarnation);

/** registration_epoch() - epoch of the newest members record known here. */
uint64_t
registration_epoch(const struct registration *registration);

/** registration_leave() - unregister at shutdown; @done is called once, after
 * a time-out if the store can't be reached. */
void
registration_leave(struct registration *registration, void (*done)(void *ctx),
                   void *ctx);

#endif
