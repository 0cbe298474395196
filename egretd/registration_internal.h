/* State shared by egretd/registration*.c. */
#ifndef EGRETD_REGISTRATION_INTERNAL_H
#define EGRETD_REGISTRATION_INTERNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/members.h"
#include "core/quorum_lease.h"
#include "egretd/registration.h"

enum {
    HEARTBEATS_REMEMBERED = 16,
};

/**
 * struct stored_members - the members record at the store
 * @known: it was read, or found absent, at least once
 * @epoch, @version: of the newest one that the store is known to hold
 * @write_pending: a write of it, or the deletion of a renewal record, is
 *                 pending
 * @proposal: record that the pending write stores
 * @deleting_renewal: incarnation whose renewal record is being deleted
 * @delete_sent_ms: when that call was sent
 * @read_ms: when it was last read, apart from the watch
 */
struct stored_members {
    bool known;
    bool read_pending;
    bool write_pending;
    uint64_t epoch;
    uint64_t version;
    struct members_record *proposal;
    char *deleting_renewal;
    int64_t delete_sent_ms;
    int64_t read_ms;
};

/**
 * struct registration_renewal - this incarnation's own renewal record
 * @created: the store is known to have held it
 * @version_unknown: the version has to be read before the next write
 * @deleting: this gateway is deleting it because it leaves
 * @version: of the record; STORE_VERSION_ABSENT before it is created
 * @number: number of the last write
 * @lease_ms: longest lease of a task at a backend server, as last written
 * @sent_ms: when the last write was sent
 * @renewed_ms: when the last successful write was sent
 */
struct registration_renewal {
    char *key;
    bool created;
    bool call_pending;
    bool version_unknown;
    bool deleting;
    uint64_t version;
    uint64_t number;
    int64_t lease_ms;
    int64_t sent_ms;
    int64_t renewed_ms;
};

/**
 * struct registration - see the header
 * @closed: destroyed by its owner; only pending store calls still refer to it
 * @heartbeat_sent_ms: when the last heartbeats were sent, by number modulo
 *                     HEARTBEATS_REMEMBERED
 * @config_confirm_after_ms: renewals extend the quorum lease only once the
 *                           configuration was confirmed by a read sent no
 *                           earlier than this; set at the start and after
 *                           each pause of the process
 * @quorum_lease_expires_ms: end of the quorum lease as last reported
 * @fenced_reported: the listener knows that this incarnation is fenced
 * @reclaims_started: fenced incarnations passed to the listener's
 *                    @reclaim_permits
 * @leave_done: called once the leave has ended; NULL when none is pending
 */
struct registration {
    struct registration_options options;
    char *incarnation;
    bool closed;
    struct members *members;
    struct quorum_lease *quorum_lease;
    struct stored_members stored;
    struct registration_renewal renewal;
    struct store_watch *watch;
    guint tick;
    uint64_t heartbeat_number;
    int64_t heartbeat_sent_ms[HEARTBEATS_REMEMBERED];
    bool renewals_read_pending;
    int64_t renewals_read_sent_ms;
    int64_t last_tick_ms;
    int64_t config_confirm_after_ms;
    int64_t quorum_lease_expires_ms;
    bool fenced_reported;
    GHashTable *reclaims_started;
    bool leaving;
    guint leave_timer;
    void (*leave_done)(void *ctx);
    void *leave_ctx;
};

int64_t
registration_now(const struct registration *registration);

/** registration_callback() - store callback that holds a reference to
 * @registration until the call ends. */
struct store_callback
registration_callback(struct registration *registration,
                      void (*done)(void *ctx,
                                   const struct store_result *result));

/** registration_call_ended() - drop the reference of a callback; false when
 * the registration was destroyed and the result must be ignored. */
bool
registration_call_ended(struct registration *registration);

/** registration_take_members() - use a members record from the store or a
 * peer. */
void
registration_take_members(struct registration *registration,
                          const struct members_record *record);

/** registration_advance() - report changes to the listener and start the next
 * store write that is due. */
void
registration_advance(struct registration *registration);

/** registration_fence() - end the quorum lease of this incarnation for good.
 */
void
registration_fence(struct registration *registration);

/** registration_leave_finished() - report that the leave has ended, whether
 * or not the store was reached. */
void
registration_leave_finished(struct registration *registration);

/* registration_members.c: the members record at the store. */
void
registration_members_start(struct registration *registration);
void
registration_members_poll(struct registration *registration);
void
registration_members_write(struct registration *registration);

/* registration_renewal.c: renewal records at the store. */
void
registration_renewal_start(struct registration *registration);
void
registration_renewal_send(struct registration *registration);
void
registration_renewal_read_others(struct registration *registration);
void
registration_renewal_delete(struct registration *registration);

#endif
