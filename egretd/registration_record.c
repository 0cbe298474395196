#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "members_json.h"
#include "registration_internal.h"
#include "store/store_keys.h"

enum {
    /* Reads that back up the watch. */
    POLL_MS = 10 * 1000,
};

static void
take_entry(struct standing *standing, const struct store_entry *entry)
{
    struct status status;
    status_clear(&status);
    struct members_record *record =
        members_json_parse(entry->value, entry->size_bytes, &status);
    if (record == NULL) {
        log_line(LOG_LEVEL_ERROR, "members-damaged", "reason=%s",
                 log_quote(status.message));
        counters_add(standing->options.counters, "egret_records_damaged_total",
                     "record=\"members\"", 1);
        return;
    }
    if (entry->version > standing->record.version) {
        standing->record.read = true;
        standing->record.version = entry->version;
        standing->record.epoch = record->epoch;
    }
    standing_take(standing, record);
    members_record_destroy(record);
}

static void
take_result(struct standing *standing, const struct store_result *result)
{
    if (result->n_entries > 0) {
        take_entry(standing, &result->entries[0]);
    }
    else if (result->status.code == STATUS_NOT_FOUND) {
        standing->record.read = true;
    }
}

static void
on_watch(void *ctx, const struct store_result *result)
{
    struct standing *standing = ctx;
    take_result(standing, result);
    standing_advance(standing);
}

/* After a call that failed the next beat tries again, not this moment. */
static bool
reached(const struct store_result *result)
{
    return result->status.code != STATUS_UNAVAILABLE &&
           result->status.code != STATUS_UNKNOWN;
}

static void
on_read(void *ctx, const struct store_result *result)
{
    struct standing *standing = ctx;
    standing->record.reading = false;
    if (!standing_call_ended(standing)) {
        return;
    }
    take_result(standing, result);
    if (reached(result)) {
        standing_advance(standing);
    }
}

static void
read_record(struct standing *standing)
{
    if (standing->record.reading) {
        return;
    }
    standing->record.reading = true;
    standing->record.polled_ms = standing_now(standing);
    store_get(standing->options.store, STORE_KEY_MEMBERS,
              standing_callback(standing, on_read));
}

void
standing_record_start(struct standing *standing)
{
    standing->record.polled_ms = standing_now(standing);
    standing->watch = store_watch_create(
        standing->options.store, STORE_KEY_MEMBERS,
        (struct store_callback){.done = on_watch, .ctx = standing});
}

void
standing_record_poll(struct standing *standing)
{
    if (standing_now(standing) - standing->record.polled_ms >= POLL_MS) {
        read_record(standing);
    }
}

static void
on_proposed(void *ctx, const struct store_result *result)
{
    struct standing *standing = ctx;
    struct standing_record *state = &standing->record;
    struct members_record *proposal = state->proposal;
    state->proposal = NULL;
    state->busy = false;
    if (!standing_call_ended(standing)) {
        members_record_destroy(proposal);
        return;
    }
    if (status_ok(&result->status)) {
        standing_take(standing, proposal);
    }
    members_record_destroy(proposal);
    if (result->n_entries > 0 && result->entries[0].version > state->version) {
        take_entry(standing, &result->entries[0]);
    }
    else {
        /* The write went through without a version, or was refused or lost. */
        read_record(standing);
    }
    if (reached(result)) {
        standing_advance(standing);
    }
}

static void
propose(struct standing *standing, const struct members_action *action)
{
    struct standing_record *state = &standing->record;
    log_line(LOG_LEVEL_INFO, "members-propose",
             "reason=%s incarnation=%s epoch=%" PRIu64, action->reason,
             log_quote(action->incarnation), action->proposal->epoch);
    state->busy = true;
    state->proposal = members_record_copy(action->proposal);
    char *text = members_json_format(action->proposal);
    store_cas(standing->options.store, STORE_KEY_MEMBERS, text, strlen(text),
              state->version, standing_callback(standing, on_proposed));
    g_free(text);
}

static void
on_cleared(void *ctx, const struct store_result *result)
{
    struct standing *standing = ctx;
    struct standing_record *state = &standing->record;
    char *incarnation = state->clearing;
    state->clearing = NULL;
    state->busy = false;
    if (standing_call_ended(standing)) {
        if (status_ok(&result->status)) {
            members_beat(standing->members, incarnation, 0, 0, state->asked_ms,
                         standing_now(standing));
        }
        else {
            standing_renewal_read_others(standing);
        }
    }
    g_free(incarnation);
}

static void
clear(struct standing *standing, const struct members_action *action)
{
    struct standing_record *state = &standing->record;
    state->busy = true;
    state->clearing = g_strdup(action->incarnation);
    state->asked_ms = standing_now(standing);
    char *key = g_strconcat(STORE_KEY_BEATS, action->incarnation, NULL);
    store_delete(standing->options.store, key, action->version,
                 standing_callback(standing, on_cleared));
    g_free(key);
}

void
standing_record_write(struct standing *standing)
{
    struct standing_record *state = &standing->record;
    struct members_action action;
    /* Without a renewal record a registered gateway could not be fenced. */
    if (state->busy || !state->read || !standing->renewal.created ||
        !members_next(standing->members, standing_now(standing), &action)) {
        return;
    }
    if (action.step == MEMBERS_CLEAR_BEAT) {
        clear(standing, &action);
    }
    else if (state->epoch == members_current(standing->members)->epoch) {
        propose(standing, &action);
    }
    else {
        read_record(standing);
    }
}
