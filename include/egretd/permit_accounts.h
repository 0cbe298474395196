/* Permits of teams held by this gateway, moved by CAS at the store. */
#ifndef EGRETD_PERMIT_ACCOUNTS_H
#define EGRETD_PERMIT_ACCOUNTS_H

#include "common/config.h"
#include "common/counters.h"
#include "common/ms_clock.h"
#include "egretd/peers.h"
#include "egretd/registration.h"
#include "store/store.h"

/**
 * struct permit_accounts_options - parts it works with
 * @running: attempts of @team now counted here
 * @queued: waiting tasks of @team here
 * @permits: sets how many attempts of @team may be counted here
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

/** permit_accounts_set_config() - follow limits of a new generation. */
void
permit_accounts_set_config(struct permit_accounts *accounts,
                           const struct config *config);

/** permit_accounts_set_members() - follow the registered gateways. */
void
permit_accounts_set_members(struct permit_accounts *accounts,
                            const struct gateway_member *members,
                            size_t n_members);

/** permit_accounts_handle_request() - MESSAGE_PERMIT_WANT from a peer. */
void
permit_accounts_handle_request(struct permit_accounts *accounts,
                               const char *peer,
                               const struct message *message);

/** permit_accounts_tick() - called every heartbeat; asks for and moves
 * permits. */
void
permit_accounts_tick(struct permit_accounts *accounts);

/** permit_accounts_reclaim() - move the permits of a fenced gateway whose last
 * possible task has ended back to the free part; @done when no record
 * holds any. */
void
permit_accounts_reclaim(struct permit_accounts *accounts,
                        const char *incarnation,
                        void (*done)(void *ctx, const char *incarnation),
                        void *ctx);

/** permit_accounts_release() - give every permit back at shutdown. */
void
permit_accounts_release(struct permit_accounts *accounts,
                        void (*done)(void *ctx), void *ctx);

/** permit_accounts_unused() - permits of @team not in use here. */
uint32_t
permit_accounts_unused(const struct permit_accounts *accounts,
                       const char *team);

#endif
