/* Parts of standing that share its state. */
#ifndef EGRETD_REGISTRATION_INTERNAL_H
#define EGRETD_REGISTRATION_INTERNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/freshness.h"
#include "core/members.h"
#include "egretd/registration.h"

enum {
    BEATS_KEPT = 16,
};

/**
 * struct standing_record - the members record at the store
 * @read: it was read, or found absent, at least once
 * @epoch, @version: of what the store is known to hold
 * @busy: a write is under way
 * @proposal: record that it writes
 * @clearing: incarnation whose renewal record it deletes
 * @asked_ms: when it was sent
 */
struct standing_record {
    bool read;
    bool reading;
    bool busy;
    uint64_t epoch;
    uint64_t version;
    struct members_record *proposal;
    char *clearing;
    int64_t asked_ms;
    int64_t polled_ms;
};

/**
 * struct standing_renewal - this incarnation's own renewal record
 * @created: the store is known to have held it
 * @version: of the record; STORE_VERSION_ABSENT before it is created
 * @lost: the version has to be read before the next write
 * @deleting: it is being deleted by this gateway, which leaves
 * @beat: number of the last write
 * @renewed_ms: when the last successful write was sent
 */
struct standing_renewal {
    char *key;
    bool created;
    bool busy;
    bool lost;
    bool deleting;
    uint64_t version;
    uint64_t beat;
    int64_t lease_ms;
    int64_t asked_ms;
    int64_t renewed_ms;
};

/**
 * struct standing - see the header
 * @closed: destroyed by its owner
 * @beat_asked_ms: when the last beats were sent, by number
 * @ticked_ms: when the last heartbeat was
 * @confirm_ms: renewals count once the configuration was confirmed by a read
 *              sent since then: after the start and after each pause
 * @handed: incarnations whose permits were handed over for reclaiming
 */
struct standing {
    struct standing_options options;
    char *incarnation;
    bool closed;
    struct members *members;
    struct freshness *freshness;
    struct standing_record record;
    struct standing_renewal renewal;
    struct store_watch *watch;
    guint tick;
    uint64_t beat_number;
    int64_t beat_asked_ms[BEATS_KEPT];
    bool reading_beats;
    int64_t beats_asked_ms;
    int64_t ticked_ms;
    int64_t confirm_ms;
    int64_t until_ms;
    bool told_fenced;
    GHashTable *handed;
    bool leaving;
    guint leave_timer;
    void (*left)(void *ctx);
    void *left_ctx;
};

int64_t
standing_now(const struct standing *standing);

/** standing_callback() - callback that keeps @standing until it is called. */
struct store_callback
standing_callback(struct standing *standing,
                  void (*done)(void *ctx, const struct store_result *result));

/** standing_call_ended() - drop what standing_callback() kept; false when
 * the owner is gone and the result must be ignored. */
bool
standing_call_ended(struct standing *standing);

/** standing_take() - a record from the store or a peer. */
void
standing_take(struct standing *standing, const struct members_record *record);

/** standing_advance() - do the next write, tell listeners what changed. */
void
standing_advance(struct standing *standing);

/** standing_fence() - this incarnation is over. */
void
standing_fence(struct standing *standing);

/** standing_left() - the leave is over, as far as it goes. */
void
standing_left(struct standing *standing);

/* Members record at the store. */
void
standing_record_start(struct standing *standing);
void
standing_record_poll(struct standing *standing);
void
standing_record_write(struct standing *standing);

/* Renewal records at the store. */
void
standing_renewal_start(struct standing *standing);
void
standing_renewal_send(struct standing *standing);
void
standing_renewal_read_others(struct standing *standing);
void
standing_renewal_delete(struct standing *standing);

#endif
