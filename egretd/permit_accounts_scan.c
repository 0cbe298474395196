#include <string.h>

#include "common/log.h"
#include "permit_accounts_internal.h"
#include "members_json.h"
#include "store/store_keys.h"

enum {
    SURVEY_MS = 10 * 60 * 1000,
};

static const char *
team_of_key(const char *key)
{
    const char *name = key + strlen(STORE_KEY_PERMITS);
    return name[0] == '\0' || strchr(name, '/') != NULL ? NULL : name;
}

static void
suspect_holders(struct ledger *ledger, const struct permits_record *record)
{
    for (size_t i = 0; record != NULL && i < record->n_holdings; i++) {
        const char *holder = record->holdings[i].incarnation;
        if (!ledger_is_member(ledger, holder) &&
            !g_hash_table_contains(ledger->reclaims, holder) &&
            !g_ptr_array_find_with_equal_func(ledger->suspects, holder,
                                              g_str_equal, NULL)) {
            g_ptr_array_add(ledger->suspects, g_strdup(holder));
        }
    }
}

static bool
is_held(const struct ledger *ledger, const char *incarnation)
{
    for (guint i = 0; i < ledger->teams->len; i++) {
        const struct ledger_team *team = ledger->teams->pdata[i];
        if (permits_holds(team->permits, incarnation)) {
            return true;
        }
    }
    return false;
}

static gboolean
finish_reclaim(void *key, void *value, void *ctx)
{
    struct ledger_reclaim *reclaim = value;
    if (is_held(ctx, reclaim->incarnation)) {
        return FALSE;
    }
    log_line(LOG_LEVEL_INFO, "reclaimed", "incarnation=%s",
             log_quote(reclaim->incarnation));
    if (reclaim->done != NULL) {
        reclaim->done(reclaim->ctx, reclaim->incarnation);
    }
    return TRUE;
}

static void
reclaim_strays(struct ledger *ledger, const struct members_record *record)
{
    for (guint i = 0; i < ledger->suspects->len; i++) {
        const char *holder = ledger->suspects->pdata[i];
        if (members_record_find(record, holder) == NULL) {
            log_line(LOG_LEVEL_WARN, "stray-permits", "incarnation=%s",
                     log_quote(holder));
            ledger_reclaim(ledger, holder, NULL, NULL);
        }
    }
}

/*
 * A holder was registered before it took its permits and is removed only
 * when none of its work can run, so a holder that is not in a record read
 * after its holding was seen can use them no more.
 */
static void
on_members_read(void *ctx, const struct store_result *result)
{
    struct ledger *ledger = ctx;
    ledger->looking_up = false;
    if (!ledger_call_ended(ledger)) {
        return;
    }
    if (result->n_entries > 0) {
        struct status status;
        status_clear(&status);
        struct members_record *record = members_json_parse(
            result->entries[0].value, result->entries[0].size_bytes, &status);
        if (record != NULL) {
            reclaim_strays(ledger, record);
        }
        members_record_destroy(record);
    }
    g_ptr_array_set_size(ledger->suspects, 0);
}

static void
look_up_suspects(struct ledger *ledger)
{
    if (ledger->suspects->len == 0 || ledger->looking_up) {
        return;
    }
    ledger->looking_up = true;
    store_get(ledger->options.store, STORE_KEY_MEMBERS,
              ledger_own_callback(ledger, on_members_read));
}

static void
take_records(struct ledger *ledger, const struct store_result *result)
{
    for (size_t i = 0; i < result->n_entries; i++) {
        const char *name = team_of_key(result->entries[i].key);
        if (name != NULL) {
            struct ledger_team *team = ledger_team(ledger, name);
            ledger_team_read(team, &result->entries[i]);
            suspect_holders(ledger, permits_record(team->permits));
        }
    }
    for (guint i = 0; i < ledger->teams->len; i++) {
        struct ledger_team *team = ledger->teams->pdata[i];
        if (permits_record(team->permits) == NULL) {
            permits_read(team->permits, NULL, 0);
        }
    }
}

static void
on_surveyed(void *ctx, const struct store_result *result)
{
    struct ledger *ledger = ctx;
    ledger->surveying = false;
    if (!ledger_call_ended(ledger)) {
        return;
    }
    if (!status_ok(&result->status) &&
        result->status.code != STATUS_NOT_FOUND) {
        ledger->survey_due = true;
        return;
    }
    take_records(ledger, result);
    /* Teams that came while this read was under way wait for the next. */
    ledger->surveyed = !ledger->survey_due;
    if (!ledger->looking_up) {
        look_up_suspects(ledger);
    }
    g_hash_table_foreach_remove(ledger->reclaims, finish_reclaim, ledger);
}

static bool
is_due(const struct ledger *ledger, int64_t now_ms)
{
    if (ledger->survey_due || now_ms - ledger->surveyed_ms >= SURVEY_MS) {
        return true;
    }
    if (g_hash_table_size(ledger->reclaims) == 0) {
        return false;
    }
    GHashTableIter iter;
    void *incarnation;
    g_hash_table_iter_init(&iter, ledger->reclaims);
    while (g_hash_table_iter_next(&iter, &incarnation, NULL)) {
        if (!is_held(ledger, incarnation)) {
            return true;
        }
    }
    return false;
}

void
ledger_survey(struct ledger *ledger)
{
    int64_t now_ms = ms_clock_now(&ledger->options.clock);
    if (ledger->surveying || !is_due(ledger, now_ms)) {
        return;
    }
    ledger->surveying = true;
    ledger->survey_due = false;
    ledger->surveyed_ms = now_ms;
    store_get(ledger->options.store, STORE_KEY_PERMITS,
              ledger_own_callback(ledger, on_surveyed));
}
