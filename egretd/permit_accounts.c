#include "egretd/permit_accounts.h"

#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "permit_accounts_internal.h"
#include "permits_json.h"
#include "store/store_keys.h"

enum {
    /* Calls about single teams in one heartbeat. */
    CALLS_PER_BEAT = 16,
    RELEASE_CALLS_PER_BEAT = 128,
    RELEASE_MAX_MS = 3000,
    /* Between requests for a permit that no task waits for. */
    IDLE_ASK_MS = 30 * 1000,
};

static void
team_destroy(void *data)
{
    struct permit_account *team = data;
    permits_destroy(team->permits);
    g_free(team->name);
    g_free(team);
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
    g_ptr_array_unref(accounts->suspects);
    g_hash_table_unref(accounts->reclaims);
    g_free(accounts->incarnation);
}

/* Each call to the store that is under way keeps the accounts. */
static void
permit_accounts_unref(struct permit_accounts *accounts)
{
    g_rc_box_release_full(accounts, permit_accounts_clear);
}

static void
on_team_dropped(void *ctx)
{
    struct permit_account *team = ctx;
    permit_accounts_unref(team->accounts);
}

static void
on_own_dropped(void *ctx)
{
    permit_accounts_unref(ctx);
}

struct store_callback
permit_account_callback(struct permit_account *team,
                        void (*done)(void *ctx,
                                     const struct store_result *result))
{
    g_rc_box_acquire(team->accounts);
    return (struct store_callback){
        .done = done,
        .abandoned = on_team_dropped,
        .ctx = team,
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
        .abandoned = on_own_dropped,
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
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_destroy);
    accounts->teams = g_ptr_array_new();
    accounts->members = g_ptr_array_new_with_free_func(g_free);
    accounts->suspects = g_ptr_array_new_with_free_func(g_free);
    accounts->reclaims =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, reclaim_destroy);
    accounts->survey_due = true;
    /* Gateways that start together begin with different teams. */
    accounts->next = g_str_hash(accounts->incarnation);
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
    struct permit_account *team = g_hash_table_lookup(accounts->by_name, name);
    if (team != NULL) {
        return team;
    }
    team = g_new0(struct permit_account, 1);
    team->accounts = accounts;
    team->name = g_strdup(name);
    team->permits = permits_create(accounts->incarnation);
    /* The dispatcher may still have what an older incarnation told it. */
    team->applied = UINT32_MAX;
    g_hash_table_insert(accounts->by_name, team->name, team);
    g_ptr_array_add(accounts->teams, team);
    return team;
}

void
permit_account_apply(struct permit_account *team)
{
    uint32_t usable = permits_usable(team->permits);
    if (usable == team->applied) {
        return;
    }
    team->applied = usable;
    struct permit_accounts_options *options = &team->accounts->options;
    options->set_permits(options->ctx, team->name, usable);
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
        /* One call for all new teams in place of one for each. */
        accounts->surveyed = false;
        accounts->survey_due = true;
    }
    for (guint i = 0; i < accounts->teams->len; i++) {
        struct permit_account *team = accounts->teams->pdata[i];
        const struct config_team *found = config_find_team(config, team->name);
        uint32_t limit = found == NULL ? 0 : found->max_running;
        permits_set_limit(team->permits, limit, config->generation);
        permit_account_apply(team);
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
    accounts->survey_due = true;
}

bool
permit_accounts_is_member(const struct permit_accounts *accounts,
                          const char *incarnation)
{
    return g_ptr_array_find_with_equal_func(accounts->members, incarnation,
                                            g_str_equal, NULL);
}

static bool
fleet_is_live(void *ctx, const char *incarnation)
{
    return permit_accounts_is_member(ctx, incarnation);
}

static bool
fleet_reclaimable(void *ctx, const char *incarnation)
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
        .is_live = fleet_is_live,
        .reclaimable = fleet_reclaimable,
        .ctx = accounts,
    };
}

void
permit_account_take_record(struct permit_account *team,
                           const struct store_entry *entry)
{
    struct status status;
    status_clear(&status);
    struct permits_record *record =
        permits_json_parse(entry->value, entry->size_bytes, &status);
    if (record == NULL) {
        log_line(LOG_LEVEL_ERROR, "permits-damaged", "team=%s reason=%s",
                 log_quote(team->name), log_quote(status.message));
        counters_add(team->accounts->options.counters,
                     "egret_records_damaged_total", "record=\"permits\"", 1);
        return;
    }
    permits_read(team->permits, record, entry->version);
    permits_record_destroy(record);
    permit_account_apply(team);
}

static void
on_team_read(void *ctx, const struct store_result *result)
{
    struct permit_account *team = ctx;
    team->busy = false;
    if (!permit_accounts_call_ended(team->accounts)) {
        return;
    }
    if (result->n_entries > 0) {
        permit_account_take_record(team, &result->entries[0]);
    }
    else if (result->status.code == STATUS_NOT_FOUND) {
        permits_vanished(team->permits);
        permits_read(team->permits, NULL, 0);
        permit_account_apply(team);
    }
}

static void
read_team(struct permit_account *team)
{
    struct permit_accounts *accounts = team->accounts;
    accounts->calls_left--;
    team->busy = true;
    char *key = g_strconcat(STORE_KEY_PERMITS, team->name, NULL);
    store_get(accounts->options.store, key,
              permit_account_callback(team, on_team_read));
    g_free(key);
}

static enum permits_answer
answer_of(const struct store_result *result)
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
step_team(struct permit_account *team, const struct permits_fleet *fleet);

static void
on_team_written(void *ctx, const struct store_result *result)
{
    struct permit_account *team = ctx;
    team->busy = false;
    if (!permit_accounts_call_ended(team->accounts)) {
        return;
    }
    const struct store_entry *entry =
        result->n_entries > 0 ? &result->entries[0] : NULL;
    permits_written(team->permits, answer_of(result),
                    entry == NULL ? 0 : entry->version);
    if (!status_ok(&result->status) && entry != NULL) {
        permit_account_take_record(team, entry);
    }
    counters_add(
        team->accounts->options.counters, "egret_permit_writes_total",
        status_ok(&result->status) ? "result=\"ok\"" : "result=\"other\"", 1);
    permit_account_apply(team);
    if (result->status.code == STATUS_CONFLICT) {
        /* All gateways take their parts of a new team at the same time. */
        struct permits_fleet fleet = permit_accounts_fleet(team->accounts);
        step_team(team, &fleet);
    }
}

static void
write_team(struct permit_account *team, const struct permits_write *write)
{
    struct permit_accounts *accounts = team->accounts;
    accounts->calls_left--;
    team->busy = true;
    char *key = g_strconcat(STORE_KEY_PERMITS, team->name, NULL);
    char *text = permits_json_format(write->record);
    log_line(LOG_LEVEL_DEBUG, "permits-write",
             "team=%s version=%" PRIu64 " held=%u", log_quote(team->name),
             write->version,
             permits_record_held(write->record, accounts->incarnation));
    store_cas(accounts->options.store, key, text, strlen(text), write->version,
              permit_account_callback(team, on_team_written));
    g_free(text);
    g_free(key);
}

/* A live holder other than this gateway, another one at each call. */
static const char *
choose_holder(struct permit_account *team)
{
    const struct permits_record *record = permits_record(team->permits);
    for (size_t i = 0; i < record->n_holdings; i++) {
        size_t at = (team->asked + i) % record->n_holdings;
        const char *holder = record->holdings[at].incarnation;
        if (strcmp(holder, team->accounts->incarnation) != 0 &&
            permit_accounts_is_member(team->accounts, holder)) {
            team->asked = (uint32_t)at + 1;
            return holder;
        }
    }
    return NULL;
}

static void
ask_for_permits(struct permit_account *team, uint32_t shortage)
{
    struct permit_accounts_options *options = &team->accounts->options;
    int64_t now_ms = ms_clock_now(&options->clock);
    bool idle = options->running(options->ctx, team->name) == 0 &&
                options->queued(options->ctx, team->name) == 0;
    if (idle && team->asked_ms != 0 && now_ms - team->asked_ms < IDLE_ASK_MS) {
        return;
    }
    const char *holder = choose_holder(team);
    if (holder == NULL) {
        return;
    }
    team->asked_ms = now_ms;
    struct message message = {
        .type = MESSAGE_PERMIT_WANT,
        .as.permit_want = {.team = team->name, .permits = shortage},
    };
    peers_send(team->accounts->options.peers, holder, &message);
    /* What the holder gives is seen by reading the record again. */
    permits_refresh(team->permits);
}

static void
step_team(struct permit_account *team, const struct permits_fleet *fleet)
{
    struct permit_accounts *accounts = team->accounts;
    if (team->busy || accounts->calls_left == 0 || !accounts->surveyed) {
        return;
    }
    if (permits_stale(team->permits)) {
        read_team(team);
        return;
    }
    uint32_t running =
        accounts->options.running(accounts->options.ctx, team->name);
    struct permits_write write;
    if (permits_plan(team->permits, running, fleet, &write)) {
        /* Lowered here before the store can show it to others. */
        permit_account_apply(team);
        write_team(team, &write);
        return;
    }
    uint32_t shortage = permits_shortage(team->permits, fleet);
    if (shortage > 0) {
        ask_for_permits(team, shortage);
    }
}

void
permit_accounts_handle_request(struct permit_accounts *accounts,
                               const char *peer, const struct message *message)
{
    const struct message_permit_want *want = &message->as.permit_want;
    struct permit_account *team =
        g_hash_table_lookup(accounts->by_name, want->team);
    if (team == NULL ||
        !permit_accounts_is_member(accounts, accounts->incarnation)) {
        return;
    }
    permits_want(team->permits, peer, want->permits);
    struct permits_fleet fleet = permit_accounts_fleet(accounts);
    step_team(team, &fleet);
}

static void
observe_teams(struct permit_accounts *accounts)
{
    struct permit_accounts_options *options = &accounts->options;
    for (guint i = 0; i < accounts->teams->len; i++) {
        struct permit_account *team = accounts->teams->pdata[i];
        permits_observe(team->permits,
                        options->running(options->ctx, team->name),
                        options->queued(options->ctx, team->name));
    }
}

static bool
holds_any(const struct permit_accounts *accounts)
{
    for (guint i = 0; i < accounts->teams->len; i++) {
        const struct permit_account *team = accounts->teams->pdata[i];
        if (team->busy ||
            permits_holds(team->permits, accounts->incarnation)) {
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
    if (accounts->released == NULL || (!late && holds_any(accounts))) {
        return;
    }
    void (*released)(void *ctx) = accounts->released;
    accounts->released = NULL;
    released(accounts->released_ctx);
}

/* Teams with work come before those that only wait for their part. */
static void
step_teams_in_use(struct permit_accounts *accounts,
                  const struct permits_fleet *fleet)
{
    const struct permit_accounts_options *options = &accounts->options;
    for (guint i = 0; i < accounts->teams->len && accounts->calls_left > 0;
         i++) {
        struct permit_account *team =
            accounts->teams
                ->pdata[(accounts->next + i) % accounts->teams->len];
        if (options->queued(options->ctx, team->name) > 0 ||
            options->running(options->ctx, team->name) > 0) {
            step_team(team, fleet);
        }
    }
}

void
permit_accounts_tick(struct permit_accounts *accounts)
{
    observe_teams(accounts);
    permit_accounts_scan(accounts);
    if (!permit_accounts_is_member(accounts, accounts->incarnation)) {
        finish_release(accounts);
        return;
    }
    accounts->calls_left =
        accounts->releasing ? RELEASE_CALLS_PER_BEAT : CALLS_PER_BEAT;
    struct permits_fleet fleet = permit_accounts_fleet(accounts);
    step_teams_in_use(accounts, &fleet);
    for (guint i = 0; i < accounts->teams->len && accounts->calls_left > 0;
         i++) {
        accounts->next = (accounts->next + 1) % accounts->teams->len;
        step_team(accounts->teams->pdata[accounts->next], &fleet);
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
    accounts->survey_due = true;
}

void
permit_accounts_release(struct permit_accounts *accounts,
                        void (*done)(void *ctx), void *ctx)
{
    accounts->releasing = true;
    accounts->released = done;
    accounts->released_ctx = ctx;
    accounts->release_by_ms =
        ms_clock_now(&accounts->options.clock) + RELEASE_MAX_MS;
    for (guint i = 0; i < accounts->teams->len; i++) {
        struct permit_account *team = accounts->teams->pdata[i];
        permits_release(team->permits);
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
