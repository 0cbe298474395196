/* Membership of the gateways: registration, fencing, removal. */
#include "core/members.h"

#include <glib.h>
#include <string.h>

enum {
    /* A wait is extended by 1 / CLOCK_MARGIN_DIVISOR, since the clocks of
     * hosts may run at different rates. */
    CLOCK_MARGIN_DIVISOR = 64,
    NEVER_MS = -1,
};

/**
 * struct peer_state - what is known of one incarnation
 * @acked_epoch: newest epoch that it acknowledged
 * @last_seen_ms: time of its last message, or of its first appearance in the
 *                members record
 * @renewal_version: version of its renewal record when last read
 * @renewal_first_read_ms: when that version was first read
 * @renewal_last_read_ms: when that version was last read
 * @renewal_lease_ms: longest lease named in its renewal records
 * @fenced_ms: when this gateway first knew that it is fenced
 * @renewal_gone: its renewal record was found absent after @fenced_ms
 * @fencing_confirmed_ms: when a majority had acknowledged the fencing and the
 *                        renewal record was gone
 * @ended: its process is known to have ended
 * @reclaimed: no permits are left in its name
 */
struct peer_state {
    uint64_t acked_epoch;
    int64_t last_seen_ms;
    uint64_t renewal_version;
    int64_t renewal_first_read_ms;
    int64_t renewal_last_read_ms;
    int64_t renewal_lease_ms;
    int64_t fenced_ms;
    int64_t fencing_confirmed_ms;
    bool renewal_gone;
    bool ended;
    bool reclaimed;
};

struct members {
    struct members_entry self;
    int64_t quorum_lease_ms;
    int64_t fence_after_ms;
    struct members_record *record;
    struct members_record *proposal;
    GHashTable *peer_states;
    int64_t last_next_ms;
    bool was_live;
    bool leaving;
    unsigned mutations;
};

struct members *
members_create(const struct members_options *options)
{
    struct members *members = g_new0(struct members, 1);
    members->self = *options->self;
    members->self.incarnation = g_strdup(options->self->incarnation);
    members->self.name = g_strdup(options->self->name);
    members->self.address = g_strdup(options->self->address);
    members->self.dc = g_strdup(options->self->dc);
    members->self.state = MEMBERS_LIVE;
    members->quorum_lease_ms = options->quorum_lease_ms;
    members->fence_after_ms = options->fence_after_ms;
    members->record = members_record_create(0);
    members->last_next_ms = NEVER_MS;
    members->peer_states =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return members;
}

void
members_destroy(struct members *members)
{
    if (members == NULL) {
        return;
    }
    members_record_destroy(members->record);
    members_record_destroy(members->proposal);
    g_hash_table_unref(members->peer_states);
    g_free(members->self.incarnation);
    g_free(members->self.name);
    g_free(members->self.address);
    g_free(members->self.dc);
    g_free(members);
}

void
members_set_mutations(struct members *members, unsigned mutations)
{
    members->mutations = mutations;
}

const struct members_record *
members_current(const struct members *members)
{
    return members->record;
}

/* State of an incarnation that the record contains, or NULL. */
static struct peer_state *
peer_state_of(const struct members *members, const char *incarnation)
{
    return g_hash_table_lookup(members->peer_states, incarnation);
}

static bool
is_self(const struct members *members, const char *incarnation)
{
    return strcmp(members->self.incarnation, incarnation) == 0;
}

static bool
has_vote(const struct members_entry *entry)
{
    return entry->state != MEMBERS_FENCED;
}

static bool
has_acked(const struct members *members, const struct members_entry *entry)
{
    const struct peer_state *peer = peer_state_of(members, entry->incarnation);
    return entry->state == MEMBERS_DECLARED_DEAD ||
           is_self(members, entry->incarnation) || peer->ended ||
           peer->acked_epoch >= members->record->epoch;
}

bool
members_committed(const struct members *members)
{
    if ((members->mutations & MEMBERS_MUTATION_NO_MAJORITY) != 0) {
        return true;
    }
    size_t n_votes = 0;
    size_t n_acked = 0;
    for (size_t i = 0; i < members->record->n_entries; i++) {
        const struct members_entry *entry = &members->record->entries[i];
        if (has_vote(entry)) {
            n_votes++;
            n_acked += has_acked(members, entry);
        }
    }
    return n_votes == 0 || n_acked > n_votes / 2;
}

/* Records the time for fenced incarnations that can hold no quorum lease once
 * quorum_lease_ms have passed from now. */
static void
confirm_fencings(struct members *members, int64_t now_ms)
{
    if (!members_committed(members)) {
        return;
    }
    for (size_t i = 0; i < members->record->n_entries; i++) {
        const struct members_entry *entry = &members->record->entries[i];
        struct peer_state *peer = peer_state_of(members, entry->incarnation);
        if (entry->state == MEMBERS_FENCED && peer->renewal_gone &&
            peer->fencing_confirmed_ms == NEVER_MS) {
            peer->fencing_confirmed_ms = now_ms;
        }
    }
}

static struct peer_state *
peer_state_create(int64_t now_ms)
{
    struct peer_state *peer = g_new0(struct peer_state, 1);
    peer->last_seen_ms = now_ms;
    peer->renewal_first_read_ms = now_ms;
    peer->renewal_last_read_ms = now_ms;
    peer->fenced_ms = NEVER_MS;
    peer->fencing_confirmed_ms = NEVER_MS;
    return peer;
}

/* Whether this process listens on the address and port of @entry, so that the
 * process of @entry must have ended. */
static bool
replaced_by_self(const struct members *members,
                 const struct members_entry *entry)
{
    return !is_self(members, entry->incarnation) &&
           members->self.peer_port == entry->peer_port &&
           strcmp(members->self.address, entry->address) == 0;
}

static void
follow_entry(struct members *members, const struct members_entry *entry,
             int64_t now_ms)
{
    struct peer_state *peer = peer_state_of(members, entry->incarnation);
    if (peer == NULL) {
        peer = peer_state_create(now_ms);
        peer->ended = replaced_by_self(members, entry);
        g_hash_table_insert(members->peer_states, g_strdup(entry->incarnation),
                            peer);
    }
    if (entry->state == MEMBERS_FENCED && peer->fenced_ms == NEVER_MS) {
        peer->fenced_ms = now_ms;
    }
}

static gboolean
is_not_in_record(void *incarnation, void *peer, void *record)
{
    return members_record_find(record, incarnation) == NULL;
}

bool
members_update(struct members *members, const struct members_record *record,
               int64_t now_ms)
{
    if (record->epoch <= members->record->epoch) {
        return false;
    }
    members_record_destroy(members->record);
    members->record = members_record_copy(record);
    g_hash_table_foreach_remove(members->peer_states, is_not_in_record,
                                members->record);
    for (size_t i = 0; i < record->n_entries; i++) {
        follow_entry(members, &record->entries[i], now_ms);
    }
    members->was_live = members->was_live || members_self_live(members);
    confirm_fencings(members, now_ms);
    return true;
}

void
members_peer_seen(struct members *members, const char *incarnation,
                  uint64_t epoch, int64_t now_ms)
{
    struct peer_state *peer = peer_state_of(members, incarnation);
    if (peer == NULL) {
        return;
    }
    peer->last_seen_ms = now_ms;
    peer->acked_epoch = MAX(peer->acked_epoch, epoch);
    confirm_fencings(members, now_ms);
}

void
members_process_ended(struct members *members, const char *incarnation,
                      int64_t now_ms)
{
    struct peer_state *peer = peer_state_of(members, incarnation);
    if (peer == NULL || is_self(members, incarnation)) {
        return;
    }
    peer->ended = true;
    confirm_fencings(members, now_ms);
}

void
members_renewal_read(struct members *members, const char *incarnation,
                     uint64_t version, int64_t lease_ms, int64_t sent_ms,
                     int64_t now_ms)
{
    struct peer_state *peer = peer_state_of(members, incarnation);
    if (peer == NULL) {
        return;
    }
    if (version == 0) {
        /* The result of a read that was sent before the fencing was known may
         * be older than the fencing. */
        peer->renewal_gone =
            peer->renewal_gone ||
            (peer->fenced_ms != NEVER_MS && sent_ms >= peer->fenced_ms);
        confirm_fencings(members, now_ms);
        return;
    }
    if (version != peer->renewal_version) {
        peer->renewal_version = version;
        peer->renewal_first_read_ms = now_ms;
    }
    peer->renewal_last_read_ms = now_ms;
    peer->renewal_lease_ms = MAX(peer->renewal_lease_ms, lease_ms);
}

bool
members_self_live(const struct members *members)
{
    const struct members_entry *entry =
        members_record_find(members->record, members->self.incarnation);
    return entry != NULL && entry->state == MEMBERS_LIVE;
}

bool
members_self_fenced(const struct members *members)
{
    const struct members_entry *entry =
        members_record_find(members->record, members->self.incarnation);
    return entry == NULL ? members->was_live : entry->state != MEMBERS_LIVE;
}

bool
members_grants_lease(const struct members *members, const char *peer,
                     uint64_t epoch)
{
    if ((members->mutations & MEMBERS_MUTATION_ANY_EPOCH) != 0) {
        return true;
    }
    if (!members_self_live(members) || epoch < members->record->epoch) {
        return false;
    }
    const struct members_entry *entry =
        members_record_find(members->record, peer);
    return entry != NULL && entry->state == MEMBERS_LIVE;
}

static bool
is_unresponsive(const struct members *members, const struct peer_state *peer,
                int64_t now_ms)
{
    int64_t unchanged_ms =
        peer->renewal_last_read_ms - peer->renewal_first_read_ms;
    int64_t unseen_ms = now_ms - peer->last_seen_ms;
    return unchanged_ms >= members->fence_after_ms &&
           unseen_ms >= members->fence_after_ms;
}

bool
members_renewal_reads_due(const struct members *members, int64_t now_ms)
{
    for (size_t i = 0; i < members->record->n_entries; i++) {
        const struct members_entry *entry = &members->record->entries[i];
        const struct peer_state *peer =
            peer_state_of(members, entry->incarnation);
        if (is_self(members, entry->incarnation)) {
            continue;
        }
        if (entry->state == MEMBERS_FENCED) {
            if (!peer->renewal_gone) {
                return true;
            }
        }
        else if (now_ms - peer->last_seen_ms >= members->quorum_lease_ms) {
            return true;
        }
    }
    return false;
}

void
members_leave(struct members *members)
{
    members->leaving = true;
}

static bool
propose(struct members *members, struct members_record *proposal,
        const char *reason, const char *incarnation,
        struct members_action *action)
{
    members_record_destroy(members->proposal);
    members->proposal = proposal;
    proposal->epoch = members->record->epoch + 1;
    *action = (struct members_action){
        .kind = MEMBERS_PROPOSE,
        .reason = reason,
        .incarnation = incarnation,
        .proposal = proposal,
    };
    return true;
}

static bool
propose_fence(struct members *members, const char *incarnation,
              const char *reason, struct members_action *action)
{
    struct members_record *proposal = members_record_copy(members->record);
    struct members_entry *entry = members_record_find(proposal, incarnation);
    const struct peer_state *peer = peer_state_of(members, incarnation);
    entry->state = MEMBERS_FENCED;
    entry->lease_ms = MAX(entry->lease_ms, peer->renewal_lease_ms);
    return propose(members, proposal, reason, incarnation, action);
}

static bool
propose_join(struct members *members, struct members_action *action)
{
    struct members_record *proposal = members_record_copy(members->record);
    members_record_add(proposal, &members->self);
    return propose(members, proposal, "join", members->self.incarnation,
                   action);
}

static bool
delete_renewal(const struct members *members,
               const struct members_entry *entry,
               struct members_action *action)
{
    const struct peer_state *peer = peer_state_of(members, entry->incarnation);
    if (entry->state != MEMBERS_FENCED || peer->renewal_gone ||
        peer->renewal_version == 0) {
        return false;
    }
    *action = (struct members_action){
        .kind = MEMBERS_DELETE_RENEWAL,
        .reason = "clear",
        .incarnation = entry->incarnation,
        .version = peer->renewal_version,
    };
    return true;
}

static bool
propose_entry_change(struct members *members,
                     const struct members_entry *entry, int64_t now_ms,
                     struct members_action *action)
{
    const struct peer_state *peer = peer_state_of(members, entry->incarnation);
    if (is_self(members, entry->incarnation)) {
        return false;
    }
    if (entry->state == MEMBERS_FENCED) {
        if (!peer->reclaimed) {
            return false;
        }
        struct members_record *proposal = members_record_copy(members->record);
        members_record_remove(proposal, entry->incarnation);
        return propose(members, proposal, "remove", entry->incarnation,
                       action);
    }
    if (entry->state == MEMBERS_DECLARED_DEAD || peer->ended ||
        is_unresponsive(members, peer, now_ms)) {
        return propose_fence(members, entry->incarnation, "fence", action);
    }
    return false;
}

/* After a pause of this process (stopped or suspended), the time in which no
 * peer was seen must not count against the peers. */
static void
reset_after_pause(struct members *members, int64_t now_ms)
{
    int64_t gap_ms =
        members->last_next_ms == NEVER_MS ? 0 : now_ms - members->last_next_ms;
    members->last_next_ms = now_ms;
    if (gap_ms < members->fence_after_ms / 2) {
        return;
    }
    GHashTableIter iter;
    void *item;
    g_hash_table_iter_init(&iter, members->peer_states);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        struct peer_state *peer = item;
        peer->last_seen_ms = now_ms;
        peer->renewal_first_read_ms = now_ms;
        peer->renewal_last_read_ms = now_ms;
    }
}

static bool
propose_next_change(struct members *members, int64_t now_ms,
                    struct members_action *action)
{
    for (size_t i = 0; i < members->record->n_entries; i++) {
        if (propose_entry_change(members, &members->record->entries[i], now_ms,
                                 action)) {
            return true;
        }
    }
    return false;
}

bool
members_next(struct members *members, int64_t now_ms,
             struct members_action *action)
{
    reset_after_pause(members, now_ms);
    if (members_self_fenced(members)) {
        return false;
    }
    for (size_t i = 0; i < members->record->n_entries; i++) {
        if (delete_renewal(members, &members->record->entries[i], action)) {
            return true;
        }
    }
    if (!members_committed(members)) {
        return false;
    }
    if (!members_self_live(members)) {
        return !members->leaving && propose_join(members, action);
    }
    if (members->leaving) {
        return propose_fence(members, members->self.incarnation, "leave",
                             action);
    }
    return propose_next_change(members, now_ms, action);
}

bool
members_reclaimable(const struct members *members, const char *incarnation,
                    int64_t lease_ms, int64_t now_ms)
{
    const struct members_entry *entry =
        members_record_find(members->record, incarnation);
    if (entry == NULL || entry->state != MEMBERS_FENCED) {
        return false;
    }
    const struct peer_state *peer = peer_state_of(members, incarnation);
    if (peer->fencing_confirmed_ms == NEVER_MS) {
        return false;
    }
    if ((members->mutations & MEMBERS_MUTATION_NO_WAIT) != 0) {
        return true;
    }
    int64_t wait_ms =
        members->quorum_lease_ms + MAX(lease_ms, entry->lease_ms);
    wait_ms += wait_ms / CLOCK_MARGIN_DIVISOR;
    return now_ms - peer->fencing_confirmed_ms >= wait_ms;
}

void
members_reclaimed(struct members *members, const char *incarnation)
{
    struct peer_state *peer = peer_state_of(members, incarnation);
    if (peer != NULL) {
        peer->reclaimed = true;
    }
}
