/* State shared by egretd/permit_accounts*.c. */
#ifndef EGRETD_PERMIT_ACCOUNTS_INTERNAL_H
#define EGRETD_PERMIT_ACCOUNTS_INTERNAL_H

#include <glib.h>

#include "core/permits.h"
#include "egretd/permit_accounts.h"

/**
 * struct permit_account - the permits of one team
 * @busy: a store call about its record is pending
 * @applied: permits last passed to the dispatcher
 * @next_holder: index of the holder that the next request goes to
 * @requested_ms: when permits were last requested from a holder
 */
struct permit_account {
    struct permit_accounts *accounts;
    char *name;
    struct permits *permits;
    bool busy;
    uint32_t applied;
    uint32_t next_holder;
    int64_t requested_ms;
};

/**
 * struct permit_reclaim - a gateway whose permits may be taken back
 * @done: called once no record names it any more; may be NULL
 */
struct permit_reclaim {
    char *incarnation;
    void (*done)(void *ctx, const char *incarnation);
    void *ctx;
};

/**
 * struct permit_accounts - see the header
 * @closed: destroyed by its owner; only pending store calls still refer to it
 * @by_name: struct permit_account by team; @teams: the same in a fixed order
 * @next_account: index into @teams that the next heartbeat begins with
 * @calls_left: store calls that this heartbeat may still make
 * @members: registered incarnations that are not fenced
 * @reclaims: struct permit_reclaim by incarnation
 * @scanning: a read of all permit records is pending
 * @scanned: a scan has covered all present teams; no calls about single teams
 *           are made before
 * @scan_due: teams, members or reclaims changed since the last scan began, or
 *            it failed
 * @scan_started_ms: when the last scan began
 * @unknown_holders: incarnations that hold permits and that this gateway does
 *                   not know as members; looked up in the members record at
 * the store
 * @checking_holders: that read is pending
 * @release_by_ms: @on_released is called by then, whatever is still held
 */
struct permit_accounts {
    struct permit_accounts_options options;
    char *incarnation;
    bool closed;
    uint64_t generation;
    GHashTable *by_name;
    GPtrArray *teams;
    guint next_account;
    uint32_t calls_left;
    GPtrArray *members;
    GHashTable *reclaims;
    bool scanning;
    bool scanned;
    bool scan_due;
    int64_t scan_started_ms;
    GPtrArray *unknown_holders;
    bool checking_holders;
    bool releasing;
    int64_t release_by_ms;
    void (*on_released)(void *ctx);
    void *released_ctx;
};

/** permit_account_callback() - store callback with @account as its context,
 * which holds a reference to the accounts until the call ends. */
struct store_callback
permit_account_callback(struct permit_account *account,
                        void (*done)(void *ctx,
                                     const struct store_result *result));
/** permit_accounts_callback() - the same with @accounts as its context. */
struct store_callback
permit_accounts_callback(struct permit_accounts *accounts,
                         void (*done)(void *ctx,
                                      const struct store_result *result));

/** permit_accounts_call_ended() - drop the reference of a callback; false when
 * the accounts were destroyed and the result must be ignored. */
bool
permit_accounts_call_ended(struct permit_accounts *accounts);

/** permit_accounts_get() - account of a team; created if there is none. */
struct permit_account *
permit_accounts_get(struct permit_accounts *accounts, const char *name);

/** permit_account_apply() - pass the usable permits to the dispatcher if their
 * number changed. */
void
permit_account_apply(struct permit_account *account);

/** permit_accounts_fleet() - snapshot of the gateways for permits_plan(). */
struct permits_fleet
permit_accounts_fleet(struct permit_accounts *accounts);

/** permit_accounts_is_member() - whether @incarnation is registered and not
 * fenced. */
bool
permit_accounts_is_member(const struct permit_accounts *accounts,
                          const char *incarnation);

/** permit_accounts_scan() - read all permit records when a scan is due. */
void
permit_accounts_scan(struct permit_accounts *accounts);

/** permit_account_take_record() - use a permit record read from the store. */
void
permit_account_take_record(struct permit_account *account,
                           const struct store_entry *entry);

#endif
