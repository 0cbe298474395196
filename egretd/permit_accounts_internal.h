/* Parts of the ledger that share its state. */
#ifndef EGRETD_PERMIT_ACCOUNTS_INTERNAL_H
#define EGRETD_PERMIT_ACCOUNTS_INTERNAL_H

#include <glib.h>

#include "core/permits.h"
#include "egretd/permit_accounts.h"

/**
 * struct ledger_team - one team's permits
 * @busy: a call to the store about it is under way
 * @applied: permits last told to the dispatcher
 * @asked: number of the last request to a peer, turns through the holders
 * @asked_ms: when it was made
 */
struct ledger_team {
    struct ledger *ledger;
    char *name;
    struct permits *permits;
    bool busy;
    uint32_t applied;
    uint32_t asked;
    int64_t asked_ms;
};

/** struct ledger_reclaim - a gateway whose permits may move */
struct ledger_reclaim {
    char *incarnation;
    void (*done)(void *ctx, const char *incarnation);
    void *ctx;
};

/**
 * struct ledger - see the header
 * @closed: destroyed by its owner
 * @by_name: teams by name; @teams: the same in a fixed order
 * @next: team that the next heartbeat begins with
 * @calls_left: calls to the store that are left in this heartbeat
 * @reclaims: by incarnation
 * @surveyed_ms: when all records were last asked for
 * @survey_due: something happened that any record may reflect
 * @suspects: holders that are no members, being looked up
 */
struct ledger {
    struct ledger_options options;
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

/** ledger_callback() - callback that keeps @ledger until it is called; it
 * gets @ctx, which lives as long as the ledger. */
struct store_callback
ledger_callback(struct ledger_team *team,
                void (*done)(void *ctx, const struct store_result *result));
struct store_callback
ledger_own_callback(struct ledger *ledger,
                    void (*done)(void *ctx,
                                 const struct store_result *result));

/** ledger_call_ended() - drop what a callback kept; false when the owner is
 * gone and the result must be ignored. */
bool
ledger_call_ended(struct ledger *ledger);

/** ledger_team() - team by name, made when it is new. */
struct ledger_team *
ledger_team(struct ledger *ledger, const char *name);

/** ledger_apply() - tell the dispatcher what is usable, if it changed. */
void
ledger_apply(struct ledger_team *team);

/** ledger_fleet() - facts for the decisions about permits. */
struct permits_fleet
ledger_fleet(struct ledger *ledger);

/** ledger_is_member() - whether @incarnation is registered and not fenced. */
bool
ledger_is_member(const struct ledger *ledger, const char *incarnation);

/** ledger_survey() - read all records when that is due. */
void
ledger_survey(struct ledger *ledger);

/** ledger_team_read() - take a record that came from the store. */
void
ledger_team_read(struct ledger_team *team, const struct store_entry *entry);

#endif
