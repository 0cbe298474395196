/* The members record: which gateways are registered or fenced, and which
 * changes of the record are allowed. */
#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * enum members_state - state of an entry of the record
 * @MEMBERS_LIVE: registered; has a vote and may hold permits
 * @MEMBERS_FENCED: has no vote and is granted no quorum lease; its permits may
 *                  be reclaimed once its last task has ended
 * @MEMBERS_DECLARED_DEAD: an operator declared that the process has ended; it
 *                         still counts among the votes, as one that grants
 *                         no lease
 */
enum members_state {
    MEMBERS_LIVE,
    MEMBERS_FENCED,
    MEMBERS_DECLARED_DEAD,
};

/**
 * struct members_entry - one registered gateway
 * @lease_ms: longest lease that it can have given to an attempt; set when it
 *            is fenced
 */
struct members_entry {
    char *incarnation;
    char *name;
    char *address;
    char *dc;
    uint16_t peer_port;
    uint16_t http_port;
    enum members_state state;
    int64_t lease_ms;
};

/**
 * struct members_record - the record as stored
 * @epoch: 0 while there is no record; incremented with every change
 * @entries: sorted by incarnation
 */
struct members_record {
    uint64_t epoch;
    struct members_entry *entries;
    size_t n_entries;
};

struct members_record *
members_record_create(uint64_t epoch);
struct members_record *
members_record_copy(const struct members_record *record);
void
members_record_destroy(struct members_record *record);

/** members_record_find() - entry of @incarnation, or NULL. */
struct members_entry *
members_record_find(const struct members_record *record,
                    const char *incarnation);

/** members_record_add() - insert a copy of @entry in order. */
void
members_record_add(struct members_record *record,
                   const struct members_entry *entry);

/** members_record_remove() - remove the entry of @incarnation, if any. */
void
members_record_remove(struct members_record *record, const char *incarnation);

/**
 * struct members - the record as known to one gateway
 *
 * A change of the record adds or removes at most one vote, and is proposed
 * only when a majority of the votes of the current epoch has acknowledged
 * that epoch. A voter that has acknowledged an epoch grants no lease to an
 * incarnation that knows only an older epoch. So any majority that could
 * grant a quorum lease to a fenced incarnation shares a voter with the
 * majority that acknowledged its fencing, and that voter refuses.
 */
struct members;

/**
 * struct members_options - how to create one
 * @self: entry to register
 * @quorum_lease_ms: duration of a quorum lease
 * @fence_after_ms: how long an incarnation neither renews nor is heard before
 * it is fenced
 */
struct members_options {
    const struct members_entry *self;
    int64_t quorum_lease_ms;
    int64_t fence_after_ms;
};

struct members *
members_create(const struct members_options *options);
void
members_destroy(struct members *members);

/** members_update() - apply a record from the store or a peer. Returns whether
 * it is newer than the known one; otherwise it is ignored. */
bool
members_update(struct members *members, const struct members_record *record,
               int64_t now_ms);

/** members_current() - newest record known; epoch 0 for none. */
const struct members_record *
members_current(const struct members *members);

/** members_peer_seen() - a message of @incarnation acknowledged @epoch. */
void
members_peer_seen(struct members *members, const char *incarnation,
                  uint64_t epoch, int64_t now_ms);

/** members_process_ended() - the process of @incarnation has provably ended.
 */
void
members_process_ended(struct members *members, const char *incarnation,
                      int64_t now_ms);

/**
 * members_renewal_read() - the renewal record of @incarnation was read from
 * the store, or deleted there
 * @version: its version, 0 when there is none
 * @lease_ms: longest lease that the record names
 * @sent_ms: when the read or the delete was sent
 */
void
members_renewal_read(struct members *members, const char *incarnation,
                     uint64_t version, int64_t lease_ms, int64_t sent_ms,
                     int64_t now_ms);

/** members_self_live() - whether this incarnation is registered and not
 * fenced. */
bool
members_self_live(const struct members *members);

/** members_self_fenced() - whether it was registered and no longer is. */
bool
members_self_fenced(const struct members *members);

/** members_grants_lease() - whether a heartbeat of @peer that knows @epoch is
 * answered with a lease grant. */
bool
members_grants_lease(const struct members *members, const char *peer,
                     uint64_t epoch);

/** members_committed() - whether a majority of the votes acknowledged the
 * current epoch. */
bool
members_committed(const struct members *members);

/** members_renewal_reads_due() - whether the renewal records have to be read:
 * a member is unresponsive, or the renewal record of a fenced one may still
 * exist. */
bool
members_renewal_reads_due(const struct members *members, int64_t now_ms);

/** members_leave() - from now on propose to fence this incarnation. */
void
members_leave(struct members *members);

/**
 * enum members_write - kind of write to the store
 * @MEMBERS_PROPOSE: CAS the record to @proposal, from the current epoch
 * @MEMBERS_DELETE_RENEWAL: delete the renewal record of @incarnation at
 * @version
 */
enum members_write {
    MEMBERS_PROPOSE,
    MEMBERS_DELETE_RENEWAL,
};

/**
 * struct members_action - one write; members are valid until the next call
 * @reason: "join", "leave", "fence", "remove" or "clear", for logs
 */
struct members_action {
    enum members_write kind;
    const char *reason;
    const char *incarnation;
    uint64_t version;
    const struct members_record *proposal;
};

/** members_next() - next write to do; false for none. Called every
 * heartbeat. */
bool
members_next(struct members *members, int64_t now_ms,
             struct members_action *action);

/**
 * members_reclaimable() - whether other gateways may take the permits of
 * @incarnation
 * @lease_ms: longest lease that this process knows of
 *
 * True once a majority has acknowledged its fencing, its renewal record is
 * gone, and since then the duration of a quorum lease and that of the longest
 * attempt lease have passed, with a margin for clocks that run at different
 * rates.
 */
bool
members_reclaimable(const struct members *members, const char *incarnation,
                    int64_t lease_ms, int64_t now_ms);

/** members_reclaimed() - no permit record names @incarnation any more. */
void
members_reclaimed(struct members *members, const char *incarnation);

/**
 * enum members_mutation - safety mechanisms that a test can switch off
 * @MEMBERS_MUTATION_NO_WAIT: reclaim permits without waiting for leases to
 *     expire
 * @MEMBERS_MUTATION_ANY_EPOCH: grant leases whatever epoch the peer knows
 * @MEMBERS_MUTATION_NO_MAJORITY: take every epoch for committed
 */
enum members_mutation {
    MEMBERS_MUTATION_NONE = 0,
    MEMBERS_MUTATION_NO_WAIT = 1 << 0,
    MEMBERS_MUTATION_ANY_EPOCH = 1 << 1,
    MEMBERS_MUTATION_NO_MAJORITY = 1 << 2,
};

/** members_set_mutations() - for tests only: switch off the mechanisms in
 * @mutations, a bit mask of enum members_mutation. */
void
members_set_mutations(struct members *members, unsigned mutations);

#endif
