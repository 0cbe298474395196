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
    struct ledger_team *team = data;
    permits_destroy(team->permits);
    g_free(team->name);
    g_free(team);
}

static void
reclaim_destroy(void *data)
{
    struct ledger_reclaim *reclaim = data;
    g_free(reclaim->incarnation);
    g_free(reclaim);
}

static void
ledger_clear(void *data)
{
    struct ledger *ledger = data;
    g_hash_table_unref(ledger->by_name);
    g_ptr_array_unref(ledger->teams);
    g_ptr_array_unref(ledger->members);
    g_ptr_array_unref(ledger->suspects);
    g_hash_table_unref(ledger->reclaims);
    g_free(ledger->incarnation);
}

/* Each call to the store that is under way keeps the ledger. */
static void
ledger_unref(struct ledger *ledger)
{
    g_rc_box_release_full(ledger, ledger_clear);
}

static void
on_team_dropped(void *ctx)
{
    struct ledger_team *team = ctx;
    ledger_unref(team->ledger);
}

static void
on_own_dropped(void *ctx)
{
    ledger_unref(ctx);
}

struct store_callback
ledger_callback(struct ledger_team *team,
                void (*done)(void *ctx, const struct store_result *result))
{
    g_rc_box_acquire(team->ledger);
    return (struct store_callback){
        .done = done,
        .abandoned = on_team_dropped,
        .ctx = team,
    };
}

struct store_callback
ledger_own_callback(struct ledger *ledger,
                    void (*done)(void *ctx, const struct store_result *result))
{
    g_rc_box_acquire(ledger);
    return (struct store_callback){
        .done = done,
        .abandoned = on_own_dropped,
        .ctx = ledger,
    };
}

bool
ledger_call_ended(struct ledger *ledger)
{
    bool closed = ledger->closed;
    ledger_unref(ledger);
    return !closed;
}

struct ledger *
ledger_create(const struct ledger_options *options)
{
    struct ledger *ledger = g_rc_box_new0(struct ledger);
    ledger->options = *options;
    ledger->incarnation = g_strdup(options->incarnation);
    ledger->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_destroy);
    ledger->teams = g_ptr_array_new();
    ledger->members = g_ptr_array_new_with_free_func(g_free);
    ledger->suspects = g_ptr_array_new_with_free_func(g_free);
    ledger->reclaims =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, reclaim_destroy);
    ledger->survey_due = true;
    /* Gateways that start together begin with different teams. */
    ledger->next = g_str_hash(ledger->incarnation);
    return ledger;
}

void
ledger_destroy(struct ledger *ledger)
{
    if (ledger == NULL) {
        return;
    }
    ledger->closed = true;
    ledger_unref(ledger);
}

struct ledger_team *
ledger_team(struct ledger *ledger, const char *name)
{
    struct ledger_team *team = g_hash_table_lookup(ledger->by_name, name);
    if (team != NULL) {
        return team;
    }
    team = g_new0(struct ledger_team, 1);
    team->ledger = ledger;
    team->name = g_strdup(name);
    team->permits = permits_create(ledger->incarnation);
    /* The dispatcher may still have what an older incarnation told it. */
    team->applied = UINT32_MAX;
    g_hash_table_insert(ledger->by_name, team->name, team);
    g_ptr_array_add(ledger->teams, team);
    return team;
}

void
ledger_apply(struct ledger_team *team)
{
    uint32_t usable = permits_usable(team->permits);
    if (usable == team->applied) {
        return;
    }
    team->applied = usable;
    struct ledger_options *options = &team->ledger->options;
    options->permits(options->ctx, team->name, usable);
}

void
ledger_set_config(struct ledger *ledger, const struct config *config)
{
    ledger->generation = config->generation;
    guint n_known = ledger->teams->len;
    for (size_t i = 0; i < config->n_teams; i++) {
        ledger_team(ledger, config->teams[i].name);
    }
    if (ledger->teams->len > n_known) {
        /* One call for all new teams in place of one for each. */
        ledger->surveyed = false;
        ledger->survey_due = true;
    }
    for (guint i = 0; i < ledger->teams->len; i++) {
        struct ledger_team *team = ledger->teams->pdata[i];
        const struct config_team *found = config_find_team(config, team->name);
        uint32_t limit = found == NULL ? 0 : found->max_running;
        permits_set_limit(team->permits, limit, config->generation);
        ledger_apply(team);
    }
}

void
ledger_set_members(struct ledger *ledger, const struct gateway_member *members,
                   size_t n_members)
{
    g_ptr_array_set_size(ledger->members, 0);
    for (size_t i = 0; i < n_members; i++) {
        if (members[i].live) {
            g_ptr_array_add(ledger->members, g_strdup(members[i].incarnation));
        }
    }
    ledger->survey_due = true;
}

bool
ledger_is_member(const struct ledger *ledger, const char *incarnation)
{
    return g_ptr_array_find_with_equal_func(ledger->members, incarnation,
                                            g_str_equal, NULL);
}

static bool
fleet_is_live(void *ctx, const char *incarnation)
{
    return ledger_is_member(ctx, incarnation);
}

static bool
fleet_reclaimable(void *ctx, const char *incarnation)
{
    const struct ledger *ledger = ctx;
    return g_hash_table_contains(ledger->reclaims, incarnation);
}

struct permits_fleet
ledger_fleet(struct ledger *ledger)
{
    guint rank = 0;
    g_ptr_array_find_with_equal_func(ledger->members, ledger->incarnation,
                                     g_str_equal, &rank);
    return (struct permits_fleet){
        .n_live = ledger->members->len,
        .rank = rank,
        .is_live = fleet_is_live,
        .reclaimable = fleet_reclaimable,
        .ctx = ledger,
    };
}

void
ledger_team_read(struct ledger_team *team, const struct store_entry *entry)
{
    struct status status;
    status_clear(&status);
    struct permits_record *record =
        permits_json_parse(entry->value, entry->size_bytes, &status);
    if (record == NULL) {
        log_line(LOG_LEVEL_ERROR, "permits-damaged", "team=%s reason=%s",
                 log_quote(team->name), log_quote(status.message));
        counters_add(team->ledger->options.counters,
                     "egret_records_damaged_total", "record=\"permits\"", 1);
        return;
    }
    permits_read(team->permits, record, entry->version);
    permits_record_destroy(record);
    ledger_apply(team);
}

static void
on_team_read(void *ctx, const struct store_result *result)
{
    struct ledger_team *team = ctx;
    team->busy = false;
    if (!ledger_call_ended(team->ledger)) {
        return;
    }
    if (result->n_entries > 0) {
        ledger_team_read(team, &result->entries[0]);
    }
    else if (result->status.code == STATUS_NOT_FOUND) {
        permits_vanished(team->permits);
        permits_read(team->permits, NULL, 0);
        ledger_apply(team);
    }
}

static void
read_team(struct ledger_team *team)
{
    struct ledger *ledger = team->ledger;
    ledger->calls_left--;
    team->busy = true;
    char *key = g_strconcat(STORE_KEY_PERMITS, team->name, NULL);
    store_get(ledger->options.store, key, ledger_callback(team, on_team_read));
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
step_team(struct ledger_team *team, const struct permits_fleet *fleet);

static void
on_team_written(void *ctx, const struct store_result *result)
{
    struct ledger_team *team = ctx;
    team->busy = false;
    if (!ledger_call_ended(team->ledger)) {
        return;
    }
    const struct store_entry *entry =
        result->n_entries > 0 ? &result->entries[0] : NULL;
    permits_written(team->permits, answer_of(result),
                    entry == NULL ? 0 : entry->version);
    if (!status_ok(&result->status) && entry != NULL) {
        ledger_team_read(team, entry);
    }
    counters_add(
        team->ledger->options.counters, "egret_permit_writes_total",
        status_ok(&result->status) ? "result=\"ok\"" : "result=\"other\"", 1);
    ledger_apply(team);
    if (result->status.code == STATUS_CONFLICT) {
        /* All gateways take their parts of a new team at the same time. */
        struct permits_fleet fleet = ledger_fleet(team->ledger);
        step_team(team, &fleet);
    }
}

static void
write_team(struct ledger_team *team, const struct permits_write *write)
{
    struct ledger *ledger = team->ledger;
    ledger->calls_left--;
    team->busy = true;
    char *key = g_strconcat(STORE_KEY_PERMITS, team->name, NULL);
    char *text = permits_json_format(write->record);
    log_line(LOG_LEVEL_DEBUG, "permits-write",
             "team=%s version=%" PRIu64 " held=%u", log_quote(team->name),
             write->version,
             permits_record_held(write->record, ledger->incarnation));
    store_cas(ledger->options.store, key, text, strlen(text), write->version,
              ledger_callback(team, on_team_written));
    g_free(text);
    g_free(key);
}

/* A live holder other than this gateway, another one at each call. */
static const char *
choose_holder(struct ledger_team *team)
{
    const struct permits_record *record = permits_record(team->permits);
    for (size_t i = 0; i < record->n_holdings; i++) {
        size_t at = (team->asked + i) % record->n_holdings;
        const char *holder = record->holdings[at].incarnation;
        if (strcmp(holder, team->ledger->incarnation) != 0 &&
            ledger_is_member(team->ledger, holder)) {
            team->asked = (uint32_t)at + 1;
            return holder;
        }
    }
    return NULL;
}

static void
ask_for_permits(struct ledger_team *team, uint32_t shortage)
{
    struct ledger_options *options = &team->ledger->options;
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
    peers_send(team->ledger->options.peers, holder, &message);
    /* What the holder gives is seen by reading the record again. */
    permits_refresh(team->permits);
}

static void
step_team(struct ledger_team *team, const struct permits_fleet *fleet)
{
    struct ledger *ledger = team->ledger;
    if (team->busy || ledger->calls_left == 0 || !ledger->surveyed) {
        return;
    }
    if (permits_stale(team->permits)) {
        read_team(team);
        return;
    }
    uint32_t running =
        ledger->options.running(ledger->options.ctx, team->name);
    struct permits_write write;
    if (permits_plan(team->permits, running, fleet, &write)) {
        /* Lowered here before the store can show it to others. */
        ledger_apply(team);
        write_team(team, &write);
        return;
    }
    uint32_t shortage = permits_shortage(team->permits, fleet);
    if (shortage > 0) {
        ask_for_permits(team, shortage);
    }
}

void
ledger_message(struct ledger *ledger, const char *peer,
               const struct message *message)
{
    const struct message_permit_want *want = &message->as.permit_want;
    struct ledger_team *team =
        g_hash_table_lookup(ledger->by_name, want->team);
    if (team == NULL || !ledger_is_member(ledger, ledger->incarnation)) {
        return;
    }
    permits_want(team->permits, peer, want->permits);
    struct permits_fleet fleet = ledger_fleet(ledger);
    step_team(team, &fleet);
}

static void
observe_teams(struct ledger *ledger)
{
    struct ledger_options *options = &ledger->options;
    for (guint i = 0; i < ledger->teams->len; i++) {
        struct ledger_team *team = ledger->teams->pdata[i];
        permits_observe(team->permits,
                        options->running(options->ctx, team->name),
                        options->queued(options->ctx, team->name));
    }
}

static bool
holds_any(const struct ledger *ledger)
{
    for (guint i = 0; i < ledger->teams->len; i++) {
        const struct ledger_team *team = ledger->teams->pdata[i];
        if (team->busy || permits_holds(team->permits, ledger->incarnation)) {
            return true;
        }
    }
    return false;
}

static void
finish_release(struct ledger *ledger)
{
    bool late = ms_clock_now(&ledger->options.clock) >= ledger->release_by_ms;
    if (ledger->released == NULL || (!late && holds_any(ledger))) {
        return;
    }
    void (*released)(void *ctx) = ledger->released;
    ledger->released = NULL;
    released(ledger->released_ctx);
}

/* Teams with work come before those that only wait for their part. */
static void
step_teams_in_use(struct ledger *ledger, const struct permits_fleet *fleet)
{
    const struct ledger_options *options = &ledger->options;
    for (guint i = 0; i < ledger->teams->len && ledger->calls_left > 0; i++) {
        struct ledger_team *team =
            ledger->teams->pdata[(ledger->next + i) % ledger->teams->len];
        if (options->queued(options->ctx, team->name) > 0 ||
            options->running(options->ctx, team->name) > 0) {
            step_team(team, fleet);
        }
    }
}

void
ledger_tick(struct ledger *ledger)
{
    observe_teams(ledger);
    ledger_survey(ledger);
    if (!ledger_is_member(ledger, ledger->incarnation)) {
        finish_release(ledger);
        return;
    }
    ledger->calls_left =
        ledger->releasing ? RELEASE_CALLS_PER_BEAT : CALLS_PER_BEAT;
    struct permits_fleet fleet = ledger_fleet(ledger);
    step_teams_in_use(ledger, &fleet);
    for (guint i = 0; i < ledger->teams->len && ledger->calls_left > 0; i++) {
        ledger->next = (ledger->next + 1) % ledger->teams->len;
        step_team(ledger->teams->pdata[ledger->next], &fleet);
    }
    finish_release(ledger);
}

void
ledger_reclaim(struct ledger *ledger, const char *incarnation,
               void (*done)(void *ctx, const char *incarnation), void *ctx)
{
    struct ledger_reclaim *reclaim = g_new0(struct ledger_reclaim, 1);
    reclaim->incarnation = g_strdup(incarnation);
    reclaim->done = done;
    reclaim->ctx = ctx;
    g_hash_table_replace(ledger->reclaims, reclaim->incarnation, reclaim);
    ledger->survey_due = true;
}

void
ledger_release(struct ledger *ledger, void (*done)(void *ctx), void *ctx)
{
    ledger->releasing = true;
    ledger->released = done;
    ledger->released_ctx = ctx;
    ledger->release_by_ms =
        ms_clock_now(&ledger->options.clock) + RELEASE_MAX_MS;
    for (guint i = 0; i < ledger->teams->len; i++) {
        struct ledger_team *team = ledger->teams->pdata[i];
        permits_release(team->permits);
    }
    ledger_tick(ledger);
}

uint32_t
ledger_free_permits(const struct ledger *ledger, const char *team)
{
    const struct ledger_team *found =
        g_hash_table_lookup(ledger->by_name, team);
    if (found == NULL) {
        return 0;
    }
    uint32_t usable = permits_usable(found->permits);
    uint32_t running =
        ledger->options.running(ledger->options.ctx, found->name);
    return usable > running ? usable - running : 0;
}
