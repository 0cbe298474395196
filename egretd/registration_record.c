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
take_entry(struct registration *registration, const struct store_entry *entry)
{
    struct status status;
    status_clear(&status);
    struct members_record *record =
        members_json_parse(entry->value, entry->size_bytes, &status);
    if (record == NULL) {
        log_line(LOG_LEVEL_ERROR, "members-damaged", "reason=%s",
                 log_quote(status.message));
        counters_add(registration->options.counters,
                     "egret_records_damaged_total", "record=\"members\"", 1);
        return;
    }
    if (entry->version > registration->record.version) {
        registration->record.read = true;
        registration->record.version = entry->version;
        registration->record.epoch = record->epoch;
    }
    registration_take(registration, record);
    members_record_destroy(record);
}

static void
take_result(struct registration *registration,
            const struct store_result *result)
{
    if (result->n_entries > 0) {
        take_entry(registration, &result->entries[0]);
    }
    else if (result->status.code == STATUS_NOT_FOUND) {
        registration->record.read = true;
    }
}

static void
on_watch(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    take_result(registration, result);
    registration_advance(registration);
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
    struct registration *registration = ctx;
    registration->record.reading = false;
    if (!registration_call_ended(registration)) {
        return;
    }
    take_result(registration, result);
    if (reached(result)) {
        registration_advance(registration);
    }
}

static void
read_record(struct registration *registration)
{
    if (registration->record.reading) {
        return;
    }
    registration->record.reading = true;
    registration->record.polled_ms = registration_now(registration);
    store_get(registration->options.store, STORE_KEY_MEMBERS,
              registration_callback(registration, on_read));
}

void
registration_record_start(struct registration *registration)
{
    registration->record.polled_ms = registration_now(registration);
    registration->watch = store_watch_create(
        registration->options.store, STORE_KEY_MEMBERS,
        (struct store_callback){.done = on_watch, .ctx = registration});
}

void
registration_record_poll(struct registration *registration)
{
    if (registration_now(registration) - registration->record.polled_ms >=
        POLL_MS) {
        read_record(registration);
    }
}

static void
on_proposed(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    struct registration_record *state = &registration->record;
    struct members_record *proposal = state->proposal;
    state->proposal = NULL;
    state->busy = false;
    if (!registration_call_ended(registration)) {
        members_record_destroy(proposal);
        return;
    }
    if (status_ok(&result->status)) {
        registration_take(registration, proposal);
    }
    members_record_destroy(proposal);
    if (result->n_entries > 0 && result->entries[0].version > state->version) {
        take_entry(registration, &result->entries[0]);
    }
    else {
        /* The write went through without a version, or was refused or lost. */
        read_record(registration);
    }
    if (reached(result)) {
        registration_advance(registration);
    }
}

static void
propose(struct registration *registration, const struct members_action *action)
{
    struct registration_record *state = &registration->record;
    log_line(LOG_LEVEL_INFO, "members-propose",
             "reason=%s incarnation=%s epoch=%" PRIu64, action->reason,
             log_quote(action->incarnation), action->proposal->epoch);
    state->busy = true;
    state->proposal = members_record_copy(action->proposal);
    char *text = members_json_format(action->proposal);
    store_cas(registration->options.store, STORE_KEY_MEMBERS, text,
              strlen(text), state->version,
              registration_callback(registration, on_proposed));
    g_free(text);
}

static void
on_cleared(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    struct registration_record *state = &registration->record;
    char *incarnation = state->clearing;
    state->clearing = NULL;
    state->busy = false;
    if (registration_call_ended(registration)) {
        if (status_ok(&result->status)) {
            members_beat(registration->members, incarnation, 0, 0,
                         state->asked_ms, registration_now(registration));
        }
        else {
            registration_renewal_read_others(registration);
        }
    }
    g_free(incarnation);
}

static void
clear(struct registration *registration, const struct members_action *action)
{
    struct registration_record *state = &registration->record;
    state->busy = true;
    state->clearing = g_strdup(action->incarnation);
    state->asked_ms = registration_now(registration);
    char *key = g_strconcat(STORE_KEY_BEATS, action->incarnation, NULL);
    store_delete(registration->options.store, key, action->version,
                 registration_callback(registration, on_cleared));
    g_free(key);
}

void
registration_record_write(struct registration *registration)
{
    struct registration_record *state = &registration->record;
    struct members_action action;
    /* Without a renewal record a registered gateway could not be fenced. */
    if (state->busy || !state->read || !registration->renewal.created ||
        !members_next(registration->members, registration_now(registration),
                      &action)) {
        return;
    }
    if (action.step == MEMBERS_CLEAR_BEAT) {
        clear(registration, &action);
    }
    else if (state->epoch == members_current(registration->members)->epoch) {
        propose(registration, &action);
    }
    else {
        read_record(registration);
    }
}
