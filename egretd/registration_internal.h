/* Parts of registration that share its state. */
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
 * struct registration_record - the members record at the store
 * @read: it was read, or found absent, at least once
 * @epoch, @version: of what the store is known to hold
 * @busy: a write is under way
 * @proposal: record that it writes
 * @clearing: incarnation whose renewal record it deletes
 * @asked_ms: when it was sent
 */
struct registration_record {
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
 * struct registration_renewal - this incarnation's own renewal record
 * @created: the store is known to have held it
 * @version: of the record; STORE_VERSION_ABSENT before it is created
 * @lost: the version has to be read before the next write
 * @deleting: it is being deleted by this gateway, which leaves
 * @beat: number of the last write
 * @renewed_ms: when the last successful write was sent
 */
struct registration_renewal {
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
 * struct registration - see the header
 * @closed: destroyed by its owner
 * @beat_asked_ms: when the last beats were sent, by number
 * @ticked_ms: when the last heartbeat was
 * @confirm_ms: renewals count once the configuration was confirmed by a read
 *              sent since then: after the start and after each pause
 * @handed: incarnations whose permits were handed over for reclaiming
 */
struct registration {
    struct registration_options options;
    char *incarnation;
    bool closed;
    struct members *members;
    struct freshness *freshness;
    struct registration_record record;
    struct registration_renewal renewal;
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
registration_now(const struct registration *registration);

/** registration_callback() - callback that keeps @registration until it is
 * called.
 */
struct store_callback
registration_callback(struct registration *registration,
                      void (*done)(void *ctx,
                                   const struct store_result *result));

/** registration_call_ended() - drop what registration_callback() kept; false
 * when the owner is gone and the result must be ignored. */
bool
registration_call_ended(struct registration *registration);

/** registration_take() - a record from the store or a peer. */
void
registration_take(struct registration *registration,
                  const struct members_record *record);

/** registration_advance() - do the next write, tell listeners what changed. */
void
registration_advance(struct registration *registration);

/** registration_fence() - this incarnation is over. */
void
registration_fence(struct registration *registration);

/** registration_left() - the leave is over, as far as it goes. */
void
registration_left(struct registration *registration);

/* Members record at the store. */
void
registration_record_start(struct registration *registration);
void
registration_record_poll(struct registration *registration);
void
registration_record_write(struct registration *registration);

/* Renewal records at the store. */
void
registration_renewal_start(struct registration *registration);
void
registration_renewal_send(struct registration *registration);
void
registration_renewal_read_others(struct registration *registration);
void
registration_renewal_delete(struct registration *registration);

#endif
