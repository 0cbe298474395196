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
 * struct ledger_options - parts it works with
 * @running: attempts of @team now counted here
 * @queued: waiting tasks of @team here
 * @permits: sets how many attempts of @team may be counted here
 */
struct ledger_options {
    struct store *store;
    struct peers *peers;
    struct counters *counters;
    struct ms_clock clock;
    const char *incarnation;
    uint32_t (*running)(void *ctx, const char *team);
    uint32_t (*queued)(void *ctx, const char *team);
    void (*permits)(void *ctx, const char *team, uint32_t permits);
    void *ctx;
};

struct ledger;

struct ledger *
ledger_create(const struct ledger_options *options);
void
ledger_destroy(struct ledger *ledger);

/** ledger_set_config() - follow limits of a new generation. */
void
ledger_set_config(struct ledger *ledger, const struct config *config);

/** ledger_set_members() - follow the registered gateways. */
void
ledger_set_members(struct ledger *ledger, const struct gateway_member *members,
                   size_t n_members);

/** ledger_message() - MESSAGE_PERMIT_WANT from a peer. */
void
ledger_message(struct ledger *ledger, const char *peer,
               const struct message *message);

/** ledger_tick() - called every heartbeat; asks for and moves permits. */
void
ledger_tick(struct ledger *ledger);

/** ledger_reclaim() - move the permits of a fenced gateway whose last
 * possible task has ended back to the free part; @done when no record
 * holds any. */
void
ledger_reclaim(struct ledger *ledger, const char *incarnation,
               void (*done)(void *ctx, const char *incarnation), void *ctx);

/** ledger_release() - give every permit back at shutdown. */
void
ledger_release(struct ledger *ledger, void (*done)(void *ctx), void *ctx);

/** ledger_free_permits() - permits of @team not in use here. */
uint32_t
ledger_free_permits(const struct ledger *ledger, const char *team);

#endif
