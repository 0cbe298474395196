#include <string.h>

#include "common/log.h"
#include "members_json.h"
#include "permit_accounts_internal.h"
#include "store/store_keys.h"

enum {
    /* Interval of scans when nothing else makes one due. */
    SCAN_INTERVAL_MS = 10 * 60 * 1000,
};

static const char *
team_of_key(const char *key)
{
    const char *name = key + strlen(STORE_KEY_PERMITS);
    return name[0] == '\0' || strchr(name, '/') != NULL ? NULL : name;
}

static void
collect_unknown_holders(struct permit_accounts *accounts,
                        const struct permits_record *record)
{
    for (size_t i = 0; record != NULL && i < record->n_holdings; i++) {
        const char *holder = record->holdings[i].incarnation;
        if (!permit_accounts_is_member(accounts, holder) &&
            !g_hash_table_contains(accounts->reclaims, holder) &&
            !g_ptr_array_find_with_equal_func(accounts->unknown_holders,
                                              holder, g_str_equal, NULL)) {
            g_ptr_array_add(accounts->unknown_holders, g_strdup(holder));
        }
    }
}

static bool
is_held(const struct permit_accounts *accounts, const char *incarnation)
{
    for (guint i = 0; i < accounts->teams->len; i++) {
        const struct permit_account *account = accounts->teams->pdata[i];
        if (permits_incarnation_holds(account->permits, incarnation)) {
            return true;
        }
    }
    return false;
}

static gboolean
finish_reclaim(void *key, void *value, void *ctx)
{
    struct permit_reclaim *reclaim = value;
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
reclaim_unregistered(struct permit_accounts *accounts,
                     const struct members_record *record)
{
    for (guint i = 0; i < accounts->unknown_holders->len; i++) {
        const char *holder = accounts->unknown_holders->pdata[i];
        if (members_record_find(record, holder) == NULL) {
            log_line(LOG_LEVEL_WARN, "stray-permits", "incarnation=%s",
                     log_quote(holder));
            permit_accounts_reclaim(accounts, holder, NULL, NULL);
        }
    }
}

/*
 * A gateway is registered before it takes permits and is removed from the
 * members record only when none of its tasks can still run. So a holder that
 * is missing from a members record read after its holding was seen can't use
 * its permits any more, and they may be reclaimed.
 */
static void
on_members_read(void *ctx, const struct store_result *result)
{
    struct permit_accounts *accounts = ctx;
    accounts->checking_holders = false;
    if (!permit_accounts_call_ended(accounts)) {
        return;
    }
    if (result->n_entries > 0) {
        struct status status;
        status_clear(&status);
        struct members_record *record = members_json_parse(
            result->entries[0].value, result->entries[0].size_bytes, &status);
        if (record != NULL) {
            reclaim_unregistered(accounts, record);
        }
        members_record_destroy(record);
    }
    g_ptr_array_set_size(accounts->unknown_holders, 0);
}

static void
check_unknown_holders(struct permit_accounts *accounts)
{
    if (accounts->unknown_holders->len == 0 || accounts->checking_holders) {
        return;
    }
    accounts->checking_holders = true;
    store_get(accounts->options.store, STORE_KEY_MEMBERS,
              permit_accounts_callback(accounts, on_members_read));
}

static void
take_scanned_records(struct permit_accounts *accounts,
                     const struct store_result *result)
{
    for (size_t i = 0; i < result->n_entries; i++) {
        const char *name = team_of_key(result->entries[i].key);
        if (name != NULL) {
            struct permit_account *account =
                permit_accounts_get(accounts, name);
            permit_account_take_record(account, &result->entries[i]);
            collect_unknown_holders(accounts,
                                    permits_record(account->permits));
        }
    }
    for (guint i = 0; i < accounts->teams->len; i++) {
        struct permit_account *account = accounts->teams->pdata[i];
        if (permits_record(account->permits) == NULL) {
            permits_read(account->permits, NULL, 0);
        }
    }
}

static void
on_scanned(void *ctx, const struct store_result *result)
{
    struct permit_accounts *accounts = ctx;
    accounts->scanning = false;
    if (!permit_accounts_call_ended(accounts)) {
        return;
    }
    if (!status_ok(&result->status) &&
        result->status.code != STATUS_NOT_FOUND) {
        accounts->scan_due = true;
        return;
    }
    take_scanned_records(accounts, result);
    /* Teams added while this read was pending wait for the next scan. */
    accounts->scanned = !accounts->scan_due;
    if (!accounts->checking_holders) {
        check_unknown_holders(accounts);
    }
    g_hash_table_foreach_remove(accounts->reclaims, finish_reclaim, accounts);
}

static bool
is_due(const struct permit_accounts *accounts, int64_t now_ms)
{
    if (accounts->scan_due ||
        now_ms - accounts->scan_started_ms >= SCAN_INTERVAL_MS) {
        return true;
    }
    if (g_hash_table_size(accounts->reclaims) == 0) {
        return false;
    }
    GHashTableIter iter;
    void *incarnation;
    g_hash_table_iter_init(&iter, accounts->reclaims);
    while (g_hash_table_iter_next(&iter, &incarnation, NULL)) {
        if (!is_held(accounts, incarnation)) {
            return true;
        }
    }
    return false;
}

void
permit_accounts_scan(struct permit_accounts *accounts)
{
    int64_t now_ms = ms_clock_now(&accounts->options.clock);
    if (accounts->scanning || !is_due(accounts, now_ms)) {
        return;
    }
    accounts->scanning = true;
    accounts->scan_due = false;
    accounts->scan_started_ms = now_ms;
    store_get(accounts->options.store, STORE_KEY_PERMITS,
              permit_accounts_callback(accounts, on_scanned));
}
