/* Parts of the accounts that share its state. */
#ifndef EGRETD_PERMIT_ACCOUNTS_INTERNAL_H
#define EGRETD_PERMIT_ACCOUNTS_INTERNAL_H

#include <glib.h>

#include "core/permits.h"
#include "egretd/permit_accounts.h"

/**
 * struct permit_account - one team's permits
 * @busy: a call to the store about it is under way
 * @applied: permits last told to the dispatcher
 * @asked: number of the last request to a peer, turns through the holders
 * @asked_ms: when it was made
 */
struct permit_account {
    struct permit_accounts *accounts;
    char *name;
    struct permits *permits;
    bool busy;
    uint32_t applied;
    uint32_t asked;
    int64_t asked_ms;
};

/** struct permit_reclaim - a gateway whose permits may move */
struct permit_reclaim {
    char *incarnation;
    void (*done)(void *ctx, const char *incarnation);
    void *ctx;
};

/**
 * struct permit_accounts - see the header
 * @closed: destroyed by its owner
 * @by_name: teams by name; @teams: the same in a fixed order
 * @next: team that the next heartbeat begins with
 * @calls_left: calls to the store that are left in this heartbeat
 * @reclaims: by incarnation
 * @surveyed_ms: when all records were last asked for
 * @survey_due: something happened that any record may reflect
 * @suspects: holders that are no members, being looked up
 */
struct permit_accounts {
    struct permit_accounts_options options;
    char *incarnation;
    bool closed;
    uint64_t generation;
    GHashTable *by_name;
    GPtrArray *teams;
    guint next;
    uint32_t calls_left;
    GPtrArray *members;
    GHashTable *reclaims;
    bool surveying;
    bool surveyed;
    bool survey_due;
    int64_t surveyed_ms;
    GPtrArray *suspects;
    bool looking_up;
    bool releasing;
    int64_t release_by_ms;
    void (*released)(void *ctx);
    void *released_ctx;
};

/** permit_account_callback() - callback that keeps @accounts until it is
 * called; it gets @ctx, which lives as long as the accounts. */
struct store_callback
permit_account_callback(struct permit_account *team,
                        void (*done)(void *ctx,
                                     const struct store_result *result));
struct store_callback
permit_accounts_callback(struct permit_accounts *accounts,
                         void (*done)(void *ctx,
                                      const struct store_result *result));

/** permit_accounts_call_ended() - drop what a callback kept; false when the
 * owner is gone and the result must be ignored. */
bool
permit_accounts_call_ended(struct permit_accounts *accounts);

/** permit_accounts_get() - team by name, made when it is new. */
struct permit_account *
permit_accounts_get(struct permit_accounts *accounts, const char *name);

/** permit_account_apply() - tell the dispatcher what is usable, if it changed.
 */
void
permit_account_apply(struct permit_account *team);

/** permit_accounts_fleet() - facts for the decisions about permits. */
struct permits_fleet
permit_accounts_fleet(struct permit_accounts *accounts);

/** permit_accounts_is_member() - whether @incarnation is registered and not
 * fenced. */
bool
permit_accounts_is_member(const struct permit_accounts *accounts,
                          const char *incarnation);

/** permit_accounts_scan() - read all records when that is due. */
void
permit_accounts_scan(struct permit_accounts *accounts);

/** permit_account_take_record() - take a record that came from the store. */
void
permit_account_take_record(struct permit_account *team,
                           const struct store_entry *entry);

#endif
