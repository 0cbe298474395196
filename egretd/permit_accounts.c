#include "egretd/permit_accounts.h"

#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "permit_accounts_internal.h"
#include "permits_json.h"
#include "store/store_keys.h"

enum {
    /* Store calls about single teams in one heartbeat. */
    STORE_CALLS_PER_HEARTBEAT_MAX = 16,
    RELEASE_CALLS_PER_HEARTBEAT_MAX = 128,
    RELEASE_TIMEOUT_MS = 3000,
    /* Interval of requests to peers for permits that no task here needs
     * now. */
    IDLE_REQUEST_INTERVAL_MS = 30 * 1000,
};

static void
account_destroy(void *data)
{
    struct permit_account *account = data;
    permits_destroy(account->permits);
    g_free(account->name);
    g_free(account);
}

static void
reclaim_destroy(void *data)
{
    struct permit_reclaim *reclaim = data;
    g_free(reclaim->incarnation);
    g_free(reclaim);
}

static void
permit_accounts_clear(void *data)
{
    struct permit_accounts *accounts = data;
    g_hash_table_unref(accounts->by_name);
    g_ptr_array_unref(accounts->teams);
    g_ptr_array_unref(accounts->members);
    g_ptr_array_unref(accounts->unknown_holders);
    g_hash_table_unref(accounts->reclaims);
    g_free(accounts->incarnation);
}

/* Each pending store call holds a reference. */
static void
permit_accounts_unref(struct permit_accounts *accounts)
{
    g_rc_box_release_full(accounts, permit_accounts_clear);
}

static void
on_account_call_abandoned(void *ctx)
{
    struct permit_account *account = ctx;
    permit_accounts_unref(account->accounts);
}

static void
on_call_abandoned(void *ctx)
{
    permit_accounts_unref(ctx);
}

struct store_callback
permit_account_callback(struct permit_account *account,
                        void (*done)(void *ctx,
                                     const struct store_result *result))
{
    g_rc_box_acquire(account->accounts);
    return (struct store_callback){
        .done = done,
        .abandoned = on_account_call_abandoned,
        .ctx = account,
    };
}

struct store_callback
permit_accounts_callback(struct permit_accounts *accounts,
                         void (*done)(void *ctx,
                                      const struct store_result *result))
{
    g_rc_box_acquire(accounts);
    return (struct store_callback){
        .done = done,
        .abandoned = on_call_abandoned,
        .ctx = accounts,
    };
}

bool
permit_accounts_call_ended(struct permit_accounts *accounts)
{
    bool closed = accounts->closed;
    permit_accounts_unref(accounts);
    return !closed;
}

struct permit_accounts *
permit_accounts_create(const struct permit_accounts_options *options)
{
    struct permit_accounts *accounts = g_rc_box_new0(struct permit_accounts);
    accounts->options = *options;
    accounts->incarnation = g_strdup(options->incarnation);
    accounts->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_destroy);
    accounts->teams = g_ptr_array_new();
    accounts->members = g_ptr_array_new_with_free_func(g_free);
    accounts->unknown_holders = g_ptr_array_new_with_free_func(g_free);
    accounts->reclaims =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, reclaim_destroy);
    accounts->scan_due = true;
    /* Gateways that start together begin with different teams, so that they
     * don't all write the same records first. */
    accounts->next_account = g_str_hash(accounts->incarnation);
    return accounts;
}

void
permit_accounts_destroy(struct permit_accounts *accounts)
{
    if (accounts == NULL) {
        return;
    }
    accounts->closed = true;
    permit_accounts_unref(accounts);
}

struct permit_account *
permit_accounts_get(struct permit_accounts *accounts, const char *name)
{
    struct permit_account *account =
        g_hash_table_lookup(accounts->by_name, name);
    if (account != NULL) {
        return account;
    }
    account = g_new0(struct permit_account, 1);
    account->accounts = accounts;
    account->name = g_strdup(name);
    account->permits = permits_create(accounts->incarnation);
    /* The dispatcher may still have the count that a previous incarnation
     * set, so the first one is always passed on. */
    account->applied = UINT32_MAX;
    g_hash_table_insert(accounts->by_name, account->name, account);
    g_ptr_array_add(accounts->teams, account);
    return account;
}

void
permit_account_apply(struct permit_account *account)
{
    uint32_t usable = permits_usable(account->permits);
    if (usable == account->applied) {
        return;
    }
    account->applied = usable;
    struct permit_accounts_options *options = &account->accounts->options;
    options->set_permits(options->ctx, account->name, usable);
}

void
permit_accounts_set_config(struct permit_accounts *accounts,
                           const struct config *config)
{
    accounts->generation = config->generation;
    guint n_known = accounts->teams->len;
    for (size_t i = 0; i < config->n_teams; i++) {
        permit_accounts_get(accounts, config->teams[i].name);
    }
    if (accounts->teams->len > n_known) {
        /* One read of all records, instead of one read for each new team. */
        accounts->scanned = false;
        accounts->scan_due = true;
    }
    for (guint i = 0; i < accounts->teams->len; i++) {
        struct permit_account *account = accounts->teams->pdata[i];
        const struct config_team *found =
            config_find_team(config, account->name);
        uint32_t limit = found == NULL ? 0 : found->max_running;
        permits_set_limit(account->permits, limit, config->generation);
        permit_account_apply(account);
    }
}

void
permit_accounts_set_members(struct permit_accounts *accounts,
                            const struct gateway_member *members,
                            size_t n_members)
{
    g_ptr_array_set_size(accounts->members, 0);
    for (size_t i = 0; i < n_members; i++) {
        if (members[i].live) {
            g_ptr_array_add(accounts->members,
                            g_strdup(members[i].incarnation));
        }
    }
    accounts->scan_due = true;
}

bool
permit_accounts_is_member(const struct permit_accounts *accounts,
                          const char *incarnation)
{
    return g_ptr_array_find_with_equal_func(accounts->members, incarnation,
                                            g_str_equal, NULL);
}

static bool
is_live(void *ctx, const char *incarnation)
{
    return permit_accounts_is_member(ctx, incarnation);
}

static bool
is_reclaimable(void *ctx, const char *incarnation)
{
    const struct permit_accounts *accounts = ctx;
    return g_hash_table_contains(accounts->reclaims, incarnation);
}

struct permits_fleet
permit_accounts_fleet(struct permit_accounts *accounts)
{
    guint rank = 0;
    g_ptr_array_find_with_equal_func(accounts->members, accounts->incarnation,
                                     g_str_equal, &rank);
    return (struct permits_fleet){
        .n_live = accounts->members->len,
        .rank = rank,
        .is_live = is_live,
        .reclaimable = is_reclaimable,
        .ctx = accounts,
    };
}

void
permit_account_take_record(struct permit_account *account,
                           const struct store_entry *entry)
{
    struct status status;
    status_clear(&status);
    struct permits_record *record =
        permits_json_parse(entry->value, entry->size_bytes, &status);
    if (record == NULL) {
        log_line(LOG_LEVEL_ERROR, "permits-damaged", "team=%s reason=%s",
                 log_quote(account->name), log_quote(status.message));
        counters_add(account->accounts->options.counters,
                     "egret_records_damaged_total", "record=\"permits\"", 1);
        return;
    }
    permits_read(account->permits, record, entry->version);
    permits_record_destroy(record);
    permit_account_apply(account);
}

static void
on_record_read(void *ctx, const struct store_result *result)
{
    struct permit_account *account = ctx;
    account->busy = false;
    if (!permit_accounts_call_ended(account->accounts)) {
        return;
    }
    if (result->n_entries > 0) {
        permit_account_take_record(account, &result->entries[0]);
    }
    else if (result->status.code == STATUS_NOT_FOUND) {
        permits_record_deleted(account->permits);
        permits_read(account->permits, NULL, 0);
        permit_account_apply(account);
    }
}

static void
read_record(struct permit_account *account)
{
    struct permit_accounts *accounts = account->accounts;
    accounts->calls_left--;
    account->busy = true;
    char *key = g_strconcat(STORE_KEY_PERMITS, account->name, NULL);
    store_get(accounts->options.store, key,
              permit_account_callback(account, on_record_read));
    g_free(key);
}

static enum permits_write_result
write_result_of(const struct store_result *result)
{
    switch (result->status.code) {
    case STATUS_OK:
        return PERMITS_WRITTEN;
    case STATUS_CONFLICT:
        return PERMITS_REFUSED;
    case STATUS_UNAVAILABLE:
        return PERMITS_NOT_SENT;
    default:
        return PERMITS_UNKNOWN;
    }
}

static void
advance_account(struct permit_account *account,
                const struct permits_fleet *fleet);

static void
on_record_written(void *ctx, const struct store_result *result)
{
    struct permit_account *account = ctx;
    account->busy = false;
    if (!permit_accounts_call_ended(account->accounts)) {
        return;
    }
    const struct store_entry *entry =
        result->n_entries > 0 ? &result->entries[0] : NULL;
    permits_written(account->permits, write_result_of(result),
                    entry == NULL ? 0 : entry->version);
    if (!status_ok(&result->status) && entry != NULL) {
        permit_account_take_record(account, entry);
    }
    counters_add(
        account->accounts->options.counters, "egret_permit_writes_total",
        status_ok(&result->status) ? "result=\"ok\"" : "result=\"other\"", 1);
    permit_account_apply(account);
    if (result->status.code == STATUS_CONFLICT) {
        /* Conflicts are expected: all gateways take their share of a new team
         * at the same time. Retries at once, with the record just read. */
        struct permits_fleet fleet = permit_accounts_fleet(account->accounts);
        advance_account(account, &fleet);
    }
}

static void
write_record(struct permit_account *account, const struct permits_write *write)
{
    struct permit_accounts *accounts = account->accounts;
    accounts->calls_left--;
    account->busy = true;
    char *key = g_strconcat(STORE_KEY_PERMITS, account->name, NULL);
    char *text = permits_json_format(write->record);
    log_line(LOG_LEVEL_DEBUG, "permits-write",
             "team=%s version=%" PRIu64 " held=%u", log_quote(account->name),
             write->version,
             permits_record_held(write->record, accounts->incarnation));
    store_cas(accounts->options.store, key, text, strlen(text), write->version,
              permit_account_callback(account, on_record_written));
    g_free(text);
    g_free(key);
}

/* Returns a registered gateway other than this one that holds permits;
 * successive calls return each in turn. */
static const char *
choose_holder(struct permit_account *account)
{
    const struct permits_record *record = permits_record(account->permits);
    for (size_t i = 0; i < record->n_holdings; i++) {
        size_t at = (account->next_holder + i) % record->n_holdings;
        const char *holder = record->holdings[at].incarnation;
        if (strcmp(holder, account->accounts->incarnation) != 0 &&
            permit_accounts_is_member(account->accounts, holder)) {
            account->next_holder = (uint32_t)at + 1;
            return holder;
        }
    }
    return NULL;
}

static void
request_permits(struct permit_account *account, uint32_t shortage)
{
    struct permit_accounts_options *options = &account->accounts->options;
    int64_t now_ms = ms_clock_now(&options->clock);
    bool idle = options->running(options->ctx, account->name) == 0 &&
                options->queued(options->ctx, account->name) == 0;
    if (idle && account->requested_ms != 0 &&
        now_ms - account->requested_ms < IDLE_REQUEST_INTERVAL_MS) {
        return;
    }
    const char *holder = choose_holder(account);
    if (holder == NULL) {
        return;
    }
    account->requested_ms = now_ms;
    struct message message = {
        .type = MESSAGE_PERMIT_REQUEST,
        .as.permit_request = {.team = account->name, .permits = shortage},
    };
    peers_send(account->accounts->options.peers, holder, &message);
    /* Permits that the holder releases show only in the record. */
    permits_refresh(account->permits);
}

static void
advance_account(struct permit_account *account,
                const struct permits_fleet *fleet)
{
    struct permit_accounts *accounts = account->accounts;
    if (account->busy || accounts->calls_left == 0 || !accounts->scanned) {
        return;
    }
    if (permits_stale(account->permits)) {
        read_record(account);
        return;
    }
    uint32_t running =
        accounts->options.running(accounts->options.ctx, account->name);
    struct permits_write write;
    if (permits_plan(account->permits, running, fleet, &write)) {
        /* If the write gives permits away, the dispatcher must stop using them
         * before another gateway can see them free. */
        permit_account_apply(account);
        write_record(account, &write);
        return;
    }
    uint32_t shortage = permits_shortage(account->permits, fleet);
    if (shortage > 0) {
        request_permits(account, shortage);
    }
}

void
permit_accounts_handle_request(struct permit_accounts *accounts,
                               const char *peer, const struct message *message)
{
    const struct message_permit_request *request = &message->as.permit_request;
    struct permit_account *account =
        g_hash_table_lookup(accounts->by_name, request->team);
    if (account == NULL ||
        !permit_accounts_is_member(accounts, accounts->incarnation)) {
        return;
    }
    permits_peer_request(account->permits, peer, request->permits);
    struct permits_fleet fleet = permit_accounts_fleet(accounts);
    advance_account(account, &fleet);
}

static void
observe_demand(struct permit_accounts *accounts)
{
    struct permit_accounts_options *options = &accounts->options;
    for (guint i = 0; i < accounts->teams->len; i++) {
        struct permit_account *account = accounts->teams->pdata[i];
        permits_observe(account->permits,
                        options->running(options->ctx, account->name),
                        options->queued(options->ctx, account->name));
    }
}

static bool
holds_any(const struct permit_accounts *accounts)
{
    for (guint i = 0; i < accounts->teams->len; i++) {
        const struct permit_account *account = accounts->teams->pdata[i];
        if (account->busy || permits_incarnation_holds(
                                 account->permits, accounts->incarnation)) {
            return true;
        }
    }
    return false;
}

static void
finish_release(struct permit_accounts *accounts)
{
    bool late =
        ms_clock_now(&accounts->options.clock) >= accounts->release_by_ms;
    if (accounts->on_released == NULL || (!late && holds_any(accounts))) {
        return;
    }
    void (*on_released)(void *ctx) = accounts->on_released;
    accounts->on_released = NULL;
    on_released(accounts->released_ctx);
}

/* Teams with tasks come before those that only lack their share. */
static void
advance_accounts_in_use(struct permit_accounts *accounts,
                        const struct permits_fleet *fleet)
{
    const struct permit_accounts_options *options = &accounts->options;
    for (guint i = 0; i < accounts->teams->len && accounts->calls_left > 0;
         i++) {
        struct permit_account *account =
            accounts->teams
                ->pdata[(accounts->next_account + i) % accounts->teams->len];
        if (options->queued(options->ctx, account->name) > 0 ||
            options->running(options->ctx, account->name) > 0) {
            advance_account(account, fleet);
        }
    }
}

void
permit_accounts_tick(struct permit_accounts *accounts)
{
    observe_demand(accounts);
    permit_accounts_scan(accounts);
    if (!permit_accounts_is_member(accounts, accounts->incarnation)) {
        finish_release(accounts);
        return;
    }
    accounts->calls_left = accounts->releasing
                               ? RELEASE_CALLS_PER_HEARTBEAT_MAX
                               : STORE_CALLS_PER_HEARTBEAT_MAX;
    struct permits_fleet fleet = permit_accounts_fleet(accounts);
    advance_accounts_in_use(accounts, &fleet);
    for (guint i = 0; i < accounts->teams->len && accounts->calls_left > 0;
         i++) {
        accounts->next_account =
            (accounts->next_account + 1) % accounts->teams->len;
        advance_account(accounts->teams->pdata[accounts->next_account],
                        &fleet);
    }
    finish_release(accounts);
}

void
permit_accounts_reclaim(struct permit_accounts *accounts,
                        const char *incarnation,
                        void (*done)(void *ctx, const char *incarnation),
                        void *ctx)
{
    struct permit_reclaim *reclaim = g_new0(struct permit_reclaim, 1);
    reclaim->incarnation = g_strdup(incarnation);
    reclaim->done = done;
    reclaim->ctx = ctx;
    g_hash_table_replace(accounts->reclaims, reclaim->incarnation, reclaim);
    accounts->scan_due = true;
}

void
permit_accounts_release(struct permit_accounts *accounts,
                        void (*done)(void *ctx), void *ctx)
{
    accounts->releasing = true;
    accounts->on_released = done;
    accounts->released_ctx = ctx;
    accounts->release_by_ms =
        ms_clock_now(&accounts->options.clock) + RELEASE_TIMEOUT_MS;
    for (guint i = 0; i < accounts->teams->len; i++) {
        struct permit_account *account = accounts->teams->pdata[i];
        permits_release(account->permits);
    }
    permit_accounts_tick(accounts);
}

uint32_t
permit_accounts_unused(const struct permit_accounts *accounts,
                       const char *team)
{
    const struct permit_account *found =
        g_hash_table_lookup(accounts->by_name, team);
    if (found == NULL) {
        return 0;
    }
    uint32_t usable = permits_usable(found->permits);
    uint32_t running =
        accounts->options.running(accounts->options.ctx, found->name);
    return usable > running ? usable - running : 0;
}
