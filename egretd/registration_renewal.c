#include <string.h>

#include "common/log.h"
#include "members_json.h"
#include "registration_internal.h"
#include "store/store_keys.h"

static void
note_version(struct standing *standing, uint64_t version)
{
    struct standing_renewal *renewal = &standing->renewal;
    renewal->created = true;
    renewal->lost = version <= renewal->version;
    renewal->version = version;
    members_beat(standing->members, standing->incarnation, version,
                 renewal->lease_ms, renewal->asked_ms, standing_now(standing));
}

static void
on_own_read(void *ctx, const struct store_result *result)
{
    struct standing *standing = ctx;
    struct standing_renewal *renewal = &standing->renewal;
    renewal->busy = false;
    if (!standing_call_ended(standing)) {
        return;
    }
    if (result->n_entries > 0) {
        renewal->created = true;
        renewal->lost = false;
        renewal->version = result->entries[0].version;
    }
    else if (result->status.code == STATUS_NOT_FOUND) {
        renewal->lost = false;
        if (renewal->created) {
            /* Only fencing deletes it; it is never made a second time. */
            standing_fence(standing);
        }
    }
}

static void
on_renewed(void *ctx, const struct store_result *result)
{
    struct standing *standing = ctx;
    struct standing_renewal *renewal = &standing->renewal;
    renewal->busy = false;
    if (!standing_call_ended(standing)) {
        return;
    }
    if (status_ok(&result->status)) {
        renewal->renewed_ms = renewal->asked_ms;
        note_version(standing, result->entries[0].version);
    }
    else if (result->status.code != STATUS_UNAVAILABLE) {
        renewal->lost = true;
    }
    standing_advance(standing);
}

static void
read_own(struct standing *standing)
{
    standing->renewal.busy = true;
    store_get(standing->options.store, standing->renewal.key,
              standing_callback(standing, on_own_read));
}

void
standing_renewal_start(struct standing *standing)
{
    standing->renewal.key =
        g_strconcat(STORE_KEY_BEATS, standing->incarnation, NULL);
    standing->renewal.version = STORE_VERSION_ABSENT;
    standing_renewal_send(standing);
}

void
standing_renewal_send(struct standing *standing)
{
    struct standing_renewal *renewal = &standing->renewal;
    const struct settings *settings = standing->options.settings;
    int64_t pace_ms = (settings->support_ms - settings->heartbeat_ms) / 2;
    bool fresh = renewal->renewed_ms == renewal->asked_ms &&
                 standing_now(standing) - renewal->asked_ms < pace_ms;
    if (renewal->busy || fresh) {
        return;
    }
    if (renewal->lost) {
        read_own(standing);
        return;
    }
    int64_t lease_ms =
        standing->options.longest_lease_ms(standing->options.ctx);
    renewal->lease_ms = MAX(renewal->lease_ms, lease_ms);
    renewal->asked_ms = standing_now(standing);
    renewal->busy = true;
    char *text = beat_json_format(++renewal->beat, renewal->lease_ms);
    store_cas(standing->options.store, renewal->key, text, strlen(text),
              renewal->version, standing_callback(standing, on_renewed));
    g_free(text);
}

static const struct store_entry *
find_beat(const struct store_result *result, const char *incarnation)
{
    size_t prefix_bytes = strlen(STORE_KEY_BEATS);
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
observe_beat(struct standing *standing, const struct store_result *result,
             const char *incarnation)
{
    const struct store_entry *entry = find_beat(result, incarnation);
    uint64_t version = entry == NULL ? 0 : entry->version;
    int64_t lease_ms =
        entry == NULL ? 0
                      : beat_json_lease_ms(entry->value, entry->size_bytes);
    members_beat(standing->members, incarnation, version, lease_ms,
                 standing->beats_asked_ms, standing_now(standing));
}

static void
on_others_read(void *ctx, const struct store_result *result)
{
    struct standing *standing = ctx;
    standing->reading_beats = false;
    if (!standing_call_ended(standing)) {
        return;
    }
    if (!status_ok(&result->status) &&
        result->status.code != STATUS_NOT_FOUND) {
        return;
    }
    const struct members_record *record = members_current(standing->members);
    for (size_t i = 0; i < record->n_entries; i++) {
        const char *incarnation = record->entries[i].incarnation;
        if (strcmp(incarnation, standing->incarnation) != 0) {
            observe_beat(standing, result, incarnation);
        }
    }
    standing_advance(standing);
}

void
standing_renewal_read_others(struct standing *standing)
{
    if (standing->reading_beats) {
        return;
    }
    standing->reading_beats = true;
    standing->beats_asked_ms = standing_now(standing);
    store_get(standing->options.store, STORE_KEY_BEATS,
              standing_callback(standing, on_others_read));
}

static void
on_deleted(void *ctx, const struct store_result *result)
{
    struct standing *standing = ctx;
    if (standing_call_ended(standing)) {
        standing_left(standing);
    }
}

void
standing_renewal_delete(struct standing *standing)
{
    standing->renewal.deleting = true;
    store_delete(standing->options.store, standing->renewal.key,
                 standing->renewal.version,
                 standing_callback(standing, on_deleted));
}
