#include "core/members.h"

#include <glib.h>
#include <string.h>

enum {
    /* Part of a wait that is added for clocks of unequal rate. */
    CLOCK_MARGIN_DIVISOR = 64,
    NEVER_MS = -1,
};

/**
 * struct peer_view - what is known of one incarnation
 * @acked_epoch: newest epoch it said it knows
 * @heard_ms: when it was last heard, or first stood in the record
 * @beat_version: of its renewal record, when last read
 * @beat_first_ms: when that version was first read
 * @beat_last_ms: when it was last read
 * @beat_lease_ms: longest lease named in it
 * @fenced_ms: when it was first known to be fenced
 * @beat_cleared: its renewal record was gone after that
 * @settled_ms: when fencing was acknowledged and the renewal record gone
 * @ended: its process is known to have ended
 * @reclaimed: no permits are left in its name
 */
struct peer_view {
    uint64_t acked_epoch;
    int64_t heard_ms;
    uint64_t beat_version;
    int64_t beat_first_ms;
    int64_t beat_last_ms;
    int64_t beat_lease_ms;
    int64_t fenced_ms;
    int64_t settled_ms;
    bool beat_cleared;
    bool ended;
    bool reclaimed;
};

struct members {
    struct members_entry self;
    int64_t support_ms;
    int64_t silent_ms;
    struct members_record *record;
    struct members_record *proposal;
    GHashTable *views;
    int64_t last_next_ms;
    bool was_live;
    bool leaving;
    unsigned faults;
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
    members->support_ms = options->quorum_lease_ms;
    members->silent_ms = options->fence_after_ms;
    members->record = members_record_create(0);
    members->last_next_ms = NEVER_MS;
    members->views =
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
    g_hash_table_unref(members->views);
    g_free(members->self.incarnation);
    g_free(members->self.name);
    g_free(members->self.address);
    g_free(members->self.dc);
    g_free(members);
}

void
members_set_faults(struct members *members, unsigned faults)
{
    members->faults = faults;
}

const struct members_record *
members_current(const struct members *members)
{
    return members->record;
}

/* View of an incarnation that the record names, or NULL. */
static struct peer_view *
view_of(const struct members *members, const char *incarnation)
{
    return g_hash_table_lookup(members->views, incarnation);
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
    const struct peer_view *view = view_of(members, entry->incarnation);
    return entry->state == MEMBERS_DECLARED_DEAD ||
           is_self(members, entry->incarnation) || view->ended ||
           view->acked_epoch >= members->record->epoch;
}

bool
members_committed(const struct members *members)
{
    if ((members->faults & MEMBERS_FAULT_NO_MAJORITY) != 0) {
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

/* Notes fenced incarnations that can have no standing after support_ms. */
static void
settle(struct members *members, int64_t now_ms)
{
    if (!members_committed(members)) {
        return;
    }
    for (size_t i = 0; i < members->record->n_entries; i++) {
        const struct members_entry *entry = &members->record->entries[i];
        struct peer_view *view = view_of(members, entry->incarnation);
        if (entry->state == MEMBERS_FENCED && view->beat_cleared &&
            view->settled_ms == NEVER_MS) {
            view->settled_ms = now_ms;
        }
    }
}

static struct peer_view *
view_create(int64_t now_ms)
{
    struct peer_view *view = g_new0(struct peer_view, 1);
    view->heard_ms = now_ms;
    view->beat_first_ms = now_ms;
    view->beat_last_ms = now_ms;
    view->fenced_ms = NEVER_MS;
    view->settled_ms = NEVER_MS;
    return view;
}

/* Whether the process of @entry must have ended for this one to listen. */
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
    struct peer_view *view = view_of(members, entry->incarnation);
    if (view == NULL) {
        view = view_create(now_ms);
        view->ended = replaced_by_self(members, entry);
        g_hash_table_insert(members->views, g_strdup(entry->incarnation),
                            view);
    }
    if (entry->state == MEMBERS_FENCED && view->fenced_ms == NEVER_MS) {
        view->fenced_ms = now_ms;
    }
}

static gboolean
is_not_named(void *incarnation, void *view, void *record)
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
    g_hash_table_foreach_remove(members->views, is_not_named, members->record);
    for (size_t i = 0; i < record->n_entries; i++) {
        follow_entry(members, &record->entries[i], now_ms);
    }
    members->was_live = members->was_live || members_self_live(members);
    settle(members, now_ms);
    return true;
}

void
members_peer_seen(struct members *members, const char *peer, uint64_t epoch,
                  int64_t now_ms)
{
    struct peer_view *view = view_of(members, peer);
    if (view == NULL) {
        return;
    }
    view->heard_ms = now_ms;
    view->acked_epoch = MAX(view->acked_epoch, epoch);
    settle(members, now_ms);
}

void
members_process_ended(struct members *members, const char *incarnation,
                      int64_t now_ms)
{
    struct peer_view *view = view_of(members, incarnation);
    if (view == NULL || is_self(members, incarnation)) {
        return;
    }
    view->ended = true;
    settle(members, now_ms);
}

void
members_renewal_read(struct members *members, const char *incarnation,
                     uint64_t version, int64_t lease_ms, int64_t asked_ms,
                     int64_t now_ms)
{
    struct peer_view *view = view_of(members, incarnation);
    if (view == NULL) {
        return;
    }
    if (version == 0) {
        /* Reads sent before the fencing was known may be older than it. */
        view->beat_cleared =
            view->beat_cleared ||
            (view->fenced_ms != NEVER_MS && asked_ms >= view->fenced_ms);
        settle(members, now_ms);
        return;
    }
    if (version != view->beat_version) {
        view->beat_version = version;
        view->beat_first_ms = now_ms;
    }
    view->beat_last_ms = now_ms;
    view->beat_lease_ms = MAX(view->beat_lease_ms, lease_ms);
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
    if ((members->faults & MEMBERS_FAULT_ANY_EPOCH) != 0) {
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
is_silent(const struct members *members, const struct peer_view *view,
          int64_t now_ms)
{
    int64_t unchanged_ms = view->beat_last_ms - view->beat_first_ms;
    int64_t unheard_ms = now_ms - view->heard_ms;
    return unchanged_ms >= members->silent_ms &&
           unheard_ms >= members->silent_ms;
}

bool
members_renewal_reads_due(const struct members *members, int64_t now_ms)
{
    for (size_t i = 0; i < members->record->n_entries; i++) {
        const struct members_entry *entry = &members->record->entries[i];
        const struct peer_view *view = view_of(members, entry->incarnation);
        if (is_self(members, entry->incarnation)) {
            continue;
        }
        if (entry->state == MEMBERS_FENCED) {
            if (!view->beat_cleared) {
                return true;
            }
        }
        else if (now_ms - view->heard_ms >= members->support_ms) {
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
        .step = MEMBERS_PROPOSE,
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
    const struct peer_view *view = view_of(members, incarnation);
    entry->state = MEMBERS_FENCED;
    entry->lease_ms = MAX(entry->lease_ms, view->beat_lease_ms);
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
clear_beat(const struct members *members, const struct members_entry *entry,
           struct members_action *action)
{
    const struct peer_view *view = view_of(members, entry->incarnation);
    if (entry->state != MEMBERS_FENCED || view->beat_cleared ||
        view->beat_version == 0) {
        return false;
    }
    *action = (struct members_action){
        .step = MEMBERS_DELETE_RENEWAL,
        .reason = "clear",
        .incarnation = entry->incarnation,
        .version = view->beat_version,
    };
    return true;
}

static bool
change_entry(struct members *members, const struct members_entry *entry,
             int64_t now_ms, struct members_action *action)
{
    const struct peer_view *view = view_of(members, entry->incarnation);
    if (is_self(members, entry->incarnation)) {
        return false;
    }
    if (entry->state == MEMBERS_FENCED) {
        if (!view->reclaimed) {
            return false;
        }
        struct members_record *proposal = members_record_copy(members->record);
        members_record_remove(proposal, entry->incarnation);
        return propose(members, proposal, "remove", entry->incarnation,
                       action);
    }
    if (entry->state == MEMBERS_DECLARED_DEAD || view->ended ||
        is_silent(members, view, now_ms)) {
        return propose_fence(members, entry->incarnation, "fence", action);
    }
    return false;
}

/* A process that was stopped for a while has not observed any silence. */
static void
forgive_pause(struct members *members, int64_t now_ms)
{
    int64_t gap_ms =
        members->last_next_ms == NEVER_MS ? 0 : now_ms - members->last_next_ms;
    members->last_next_ms = now_ms;
    if (gap_ms < members->silent_ms / 2) {
        return;
    }
    GHashTableIter iter;
    void *item;
    g_hash_table_iter_init(&iter, members->views);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        struct peer_view *view = item;
        view->heard_ms = now_ms;
        view->beat_first_ms = now_ms;
        view->beat_last_ms = now_ms;
    }
}

static bool
next_change(struct members *members, int64_t now_ms,
            struct members_action *action)
{
    for (size_t i = 0; i < members->record->n_entries; i++) {
        if (change_entry(members, &members->record->entries[i], now_ms,
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
    forgive_pause(members, now_ms);
    if (members_self_fenced(members)) {
        return false;
    }
    for (size_t i = 0; i < members->record->n_entries; i++) {
        if (clear_beat(members, &members->record->entries[i], action)) {
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
    return next_change(members, now_ms, action);
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
    const struct peer_view *view = view_of(members, incarnation);
    if (view->settled_ms == NEVER_MS) {
        return false;
    }
    if ((members->faults & MEMBERS_FAULT_NO_WAIT) != 0) {
        return true;
    }
    int64_t wait_ms = members->support_ms + MAX(lease_ms, entry->lease_ms);
    wait_ms += wait_ms / CLOCK_MARGIN_DIVISOR;
    return now_ms - view->settled_ms >= wait_ms;
}

void
members_reclaimed(struct members *members, const char *incarnation)
{
    struct peer_view *view = view_of(members, incarnation);
    if (view != NULL) {
        view->reclaimed = true;
    }
}
