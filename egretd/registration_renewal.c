#include <string.h>

#include "common/log.h"
#include "members_json.h"
#include "registration_internal.h"
#include "store/store_keys.h"

static void
set_version(struct registration *registration, uint64_t version)
{
    struct registration_renewal *renewal = &registration->renewal;
    renewal->created = true;
    renewal->version_unknown = version <= renewal->version;
    renewal->version = version;
    members_renewal_read(registration->members, registration->incarnation,
                         version, renewal->lease_ms, renewal->sent_ms,
                         registration_now(registration));
}

static void
on_own_renewal_read(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    struct registration_renewal *renewal = &registration->renewal;
    renewal->call_pending = false;
    if (!registration_call_ended(registration)) {
        return;
    }
    if (result->n_entries > 0) {
        renewal->created = true;
        renewal->version_unknown = false;
        renewal->version = result->entries[0].version;
    }
    else if (result->status.code == STATUS_NOT_FOUND) {
        renewal->version_unknown = false;
        if (renewal->created) {
            /* Only fencing deletes the record, and one incarnation never
             * creates it a second time. */
            registration_fence(registration);
        }
    }
}

static void
on_renewed(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    struct registration_renewal *renewal = &registration->renewal;
    renewal->call_pending = false;
    if (!registration_call_ended(registration)) {
        return;
    }
    if (status_ok(&result->status)) {
        renewal->renewed_ms = renewal->sent_ms;
        set_version(registration, result->entries[0].version);
    }
    else if (result->status.code != STATUS_UNAVAILABLE) {
        renewal->version_unknown = true;
    }
    registration_advance(registration);
}

static void
read_own_renewal(struct registration *registration)
{
    registration->renewal.call_pending = true;
    store_get(registration->options.store, registration->renewal.key,
              registration_callback(registration, on_own_renewal_read));
}

void
registration_renewal_start(struct registration *registration)
{
    registration->renewal.key =
        g_strconcat(STORE_KEY_RENEWALS, registration->incarnation, NULL);
    registration->renewal.version = STORE_VERSION_ABSENT;
    registration_renewal_send(registration);
}

void
registration_renewal_send(struct registration *registration)
{
    struct registration_renewal *renewal = &registration->renewal;
    const struct settings *settings = registration->options.settings;
    int64_t interval_ms =
        (settings->quorum_lease_ms - settings->heartbeat_ms) / 2;
    bool recent =
        renewal->renewed_ms == renewal->sent_ms &&
        registration_now(registration) - renewal->sent_ms < interval_ms;
    if (renewal->call_pending || recent) {
        return;
    }
    if (renewal->version_unknown) {
        read_own_renewal(registration);
        return;
    }
    int64_t lease_ms =
        registration->options.longest_task_lease_ms(registration->options.ctx);
    renewal->lease_ms = MAX(renewal->lease_ms, lease_ms);
    renewal->sent_ms = registration_now(registration);
    renewal->call_pending = true;
    char *text = renewal_json_format(++renewal->number, renewal->lease_ms);
    store_cas(registration->options.store, renewal->key, text, strlen(text),
              renewal->version,
              registration_callback(registration, on_renewed));
    g_free(text);
}

static const struct store_entry *
find_renewal(const struct store_result *result, const char *incarnation)
{
    size_t prefix_bytes = strlen(STORE_KEY_RENEWALS);
    for (size_t i = 0; i < result->n_entries; i++) {
        const char *key = result->entries[i].key;
        if (strlen(key) > prefix_bytes &&
            strcmp(key + prefix_bytes, incarnation) == 0) {
            return &result->entries[i];
        }
    }
    return NULL;
}

static void
observe_renewal(struct registration *registration,
                const struct store_result *result, const char *incarnation)
{
    const struct store_entry *entry = find_renewal(result, incarnation);
    uint64_t version = entry == NULL ? 0 : entry->version;
    int64_t lease_ms =
        entry == NULL ? 0
                      : renewal_json_lease_ms(entry->value, entry->size_bytes);
    members_renewal_read(registration->members, incarnation, version, lease_ms,
                         registration->renewals_read_sent_ms,
                         registration_now(registration));
}

static void
on_others_read(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    registration->renewals_read_pending = false;
    if (!registration_call_ended(registration)) {
        return;
    }
    if (!status_ok(&result->status) &&
        result->status.code != STATUS_NOT_FOUND) {
        return;
    }
    const struct members_record *record =
        members_current(registration->members);
    for (size_t i = 0; i < record->n_entries; i++) {
        const char *incarnation = record->entries[i].incarnation;
        if (strcmp(incarnation, registration->incarnation) != 0) {
            observe_renewal(registration, result, incarnation);
        }
    }
    registration_advance(registration);
}

void
registration_renewal_read_others(struct registration *registration)
{
    if (registration->renewals_read_pending) {
        return;
    }
    registration->renewals_read_pending = true;
    registration->renewals_read_sent_ms = registration_now(registration);
    store_get(registration->options.store, STORE_KEY_RENEWALS,
              registration_callback(registration, on_others_read));
}

static void
on_deleted(void *ctx, const struct store_result *result)
{
    struct registration *registration = ctx;
    if (registration_call_ended(registration)) {
        registration_leave_finished(registration);
    }
}

void
registration_renewal_delete(struct registration *registration)
{
    registration->renewal.deleting = true;
    store_delete(registration->options.store, registration->renewal.key,
                 registration->renewal.version,
                 registration_callback(registration, on_deleted));
}
