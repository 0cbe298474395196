#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "members_json.h"
#include "registration_internal.h"
#include "store/store_keys.h"

enum {
    /* Interval of reads in case the watch misses a change. */
    POLL_INTERVAL_MS = 10 * 1000,
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
    if (entry->version > registration->stored.version) {
        registration->stored.known = true;
        registration->stored.version = entry->version;
        registration->stored.epoch = record->epoch;
    }
    registration_take_members(registration, record);
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
        registration->stored.known = true;
    }
}

static void
on_watch(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    take_result(registration, result);
    registration_advance(registration);
}

/* After a call that did not reach the store, the next heartbeat retries:
 * retrying at once would loop while the store is down. */
static bool
store_reached(const struct store_result *result)
{
    return result->status.code != STATUS_UNAVAILABLE &&
           result->status.code != STATUS_UNKNOWN;
}

static void
on_read(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    registration->stored.read_pending = false;
    if (!registration_call_ended(registration)) {
        return;
    }
    take_result(registration, result);
    if (store_reached(result)) {
        registration_advance(registration);
    }
}

static void
read_record(struct registration *registration)
{
    if (registration->stored.read_pending) {
        return;
    }
    registration->stored.read_pending = true;
    registration->stored.read_ms = registration_now(registration);
    store_get(registration->options.store, STORE_KEY_MEMBERS,
              registration_callback(registration, on_read));
}

void
registration_members_start(struct registration *registration)
{
    registration->stored.read_ms = registration_now(registration);
    registration->watch = store_watch_create(
        registration->options.store, STORE_KEY_MEMBERS,
        (struct store_callback){.done = on_watch, .ctx = registration});
}

void
registration_members_poll(struct registration *registration)
{
    if (registration_now(registration) - registration->stored.read_ms >=
        POLL_INTERVAL_MS) {
        read_record(registration);
    }
}

static void
on_proposed(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    struct stored_members *stored = &registration->stored;
    struct members_record *proposal = stored->proposal;
    stored->proposal = NULL;
    stored->write_pending = false;
    if (!registration_call_ended(registration)) {
        members_record_destroy(proposal);
        return;
    }
    if (status_ok(&result->status)) {
        registration_take_members(registration, proposal);
    }
    members_record_destroy(proposal);
    if (result->n_entries > 0 &&
        result->entries[0].version > stored->version) {
        take_entry(registration, &result->entries[0]);
    }
    else {
        /* The answer has no newer record: the write succeeded without a
         * version, was refused, or its outcome is unknown. */
        read_record(registration);
    }
    if (store_reached(result)) {
        registration_advance(registration);
    }
}

static void
propose(struct registration *registration, const struct members_action *action)
{
    struct stored_members *stored = &registration->stored;
    log_line(LOG_LEVEL_INFO, "members-propose",
             "reason=%s incarnation=%s epoch=%" PRIu64, action->reason,
             log_quote(action->incarnation), action->proposal->epoch);
    stored->write_pending = true;
    stored->proposal = members_record_copy(action->proposal);
    char *text = members_json_format(action->proposal);
    store_cas(registration->options.store, STORE_KEY_MEMBERS, text,
              strlen(text), stored->version,
              registration_callback(registration, on_proposed));
    g_free(text);
}

static void
on_renewal_deleted(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    struct stored_members *stored = &registration->stored;
    char *incarnation = stored->deleting_renewal;
    stored->deleting_renewal = NULL;
    stored->write_pending = false;
    if (registration_call_ended(registration)) {
        if (status_ok(&result->status)) {
            members_renewal_read(registration->members, incarnation, 0, 0,
                                 stored->delete_sent_ms,
                                 registration_now(registration));
        }
        else {
            registration_renewal_read_others(registration);
        }
    }
    g_free(incarnation);
}

static void
delete_renewal(struct registration *registration,
               const struct members_action *action)
{
    struct stored_members *stored = &registration->stored;
    stored->write_pending = true;
    stored->deleting_renewal = g_strdup(action->incarnation);
    stored->delete_sent_ms = registration_now(registration);
    char *key = g_strconcat(STORE_KEY_RENEWALS, action->incarnation, NULL);
    store_delete(registration->options.store, key, action->version,
                 registration_callback(registration, on_renewal_deleted));
    g_free(key);
}

void
registration_members_write(struct registration *registration)
{
    struct stored_members *stored = &registration->stored;
    struct members_action action;
    /* Registers only once the renewal record exists: fencing deletes that
     * record, so a gateway without one could not be fenced. */
    if (stored->write_pending || !stored->known ||
        !registration->renewal.created ||
        !members_next(registration->members, registration_now(registration),
                      &action)) {
        return;
    }
    if (action.kind == MEMBERS_DELETE_RENEWAL) {
        delete_renewal(registration, &action);
    }
    else if (stored->epoch == members_current(registration->members)->epoch) {
        propose(registration, &action);
    }
    else {
        read_record(registration);
    }
}
