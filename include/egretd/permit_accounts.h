/*
 * Permit accounts: how many attempts of each team this gateway may run.
 *
 * Each team has a permit record at the store that divides its limit among the
 * gateways. Gateways change it by compare-and-swap: they take free permits,
 * release permits that a peer requests, and reclaim those of fenced gateways.
 */
#ifndef EGRETD_PERMIT_ACCOUNTS_H
#define EGRETD_PERMIT_ACCOUNTS_H

#include "common/config.h"
#include "common/counters.h"
#include "common/ms_clock.h"
#include "egretd/peers.h"
#include "egretd/registration.h"
#include "store/store.h"

/**
 * struct permit_accounts_options - what the accounts work with
 * @running: returns the attempts of @team that count against its permits here
 * @queued: returns the tasks of @team that wait here
 * @set_permits: sets how many attempts of @team may run here
 */
struct permit_accounts_options {
    struct store *store;
    struct peers *peers;
    struct counters *counters;
    struct ms_clock clock;
    const char *incarnation;
    uint32_t (*running)(void *ctx, const char *team);
    uint32_t (*queued)(void *ctx, const char *team);
    void (*set_permits)(void *ctx, const char *team, uint32_t permits);
    void *ctx;
};

struct permit_accounts;

struct permit_accounts *
permit_accounts_create(const struct permit_accounts_options *options);
void
permit_accounts_destroy(struct permit_accounts *accounts);

/** permit_accounts_set_config() - apply the team limits of @config. */
void
permit_accounts_set_config(struct permit_accounts *accounts,
                           const struct config *config);

/** permit_accounts_set_members() - set the registered gateways. */
void
permit_accounts_set_members(struct permit_accounts *accounts,
                            const struct gateway_member *members,
                            size_t n_members);

/** permit_accounts_handle_request() - handle MESSAGE_PERMIT_REQUEST of a peer.
 */
void
permit_accounts_handle_request(struct permit_accounts *accounts,
                               const char *peer,
                               const struct message *message);

/** permit_accounts_tick() - request, take and release permits; called once a
 * heartbeat. */
void
permit_accounts_tick(struct permit_accounts *accounts);

/** permit_accounts_reclaim() - make the permits of a fenced gateway free; its
 * last task must have ended. @done is called once no record names it. */
void
permit_accounts_reclaim(struct permit_accounts *accounts,
                        const char *incarnation,
                        void (*done)(void *ctx, const char *incarnation),
                        void *ctx);

/** permit_accounts_release() - release every permit at shutdown; @done is
 * called when none is held, or after a time-out. */
void
permit_accounts_release(struct permit_accounts *accounts,
                        void (*done)(void *ctx), void *ctx);

/** permit_accounts_unused() - permits of @team held here and not in use. */
uint32_t
permit_accounts_unused(const struct permit_accounts *accounts,
                       const char *team);

#endif
