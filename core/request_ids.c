/* Table of request ids. A new id is run only after all earlier owners that are
 * still registered were queried. */
#include "core/request_ids.h"

#include <string.h>

#include "core/deadline_heap.h"
#include "request_views.h"

enum entry_state {
    ENTRY_QUERYING,
    ENTRY_RUNNING,
    ENTRY_FINISHED,
    ENTRY_MOVED,
};

struct entry {
    char *key;
    char *body_hash_hex;
    enum entry_state state;
    bool first_attempt;
    bool owner_gone;
    /* Task numbers of the waiting requests. */
    GArray *tasks;
    /* Gateways to query; the first n_queried have replied. */
    GPtrArray *to_query;
    guint n_queried;
    char *moved_to;
    enum outcome outcome;
    enum reason reason;
    GBytes *answer;
    struct deadline_entry expiry;
};

struct request_ids {
    char *self;
    uint32_t max_entries;
    int64_t retention_ms;
    struct request_views *views;
    GHashTable *entries;
    struct deadline_heap *expiries;
    /* Referenced by the last decision or reply; freed by the next call. */
    struct entry *retired;
    char *returned_peer;
};

static void
entry_destroy(void *data)
{
    struct entry *entry = data;
    g_array_unref(entry->tasks);
    g_ptr_array_unref(entry->to_query);
    g_clear_pointer(&entry->answer, g_bytes_unref);
    g_free(entry->moved_to);
    g_free(entry->body_hash_hex);
    g_free(entry->key);
    g_free(entry);
}

static char *
entry_key(const char *team, const char *id)
{
    return g_strconcat(team, "\n", id, NULL);
}

static struct entry *
entry_find(const struct request_ids *ids, const char *team, const char *id)
{
    char *key = entry_key(team, id);
    struct entry *entry = g_hash_table_lookup(ids->entries, key);
    g_free(key);
    return entry;
}

static struct entry *
entry_create(struct request_ids *ids, const char *team, const char *id,
             enum entry_state state)
{
    struct entry *entry = g_new0(struct entry, 1);
    entry->key = entry_key(team, id);
    entry->state = state;
    entry->tasks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    entry->to_query = g_ptr_array_new_with_free_func(g_free);
    entry->expiry.owner = entry;
    g_hash_table_insert(ids->entries, entry->key, entry);
    return entry;
}

/* Removes the entry from the table but frees it only with the next call, since
 * a decision may point into it. */
static void
entry_retire(struct request_ids *ids, struct entry *entry)
{
    deadline_heap_remove(ids->expiries, &entry->expiry);
    g_hash_table_steal(ids->entries, entry->key);
    ids->retired = entry;
}

static void
entry_start_retention(struct request_ids *ids, struct entry *entry,
                      int64_t now_ms)
{
    deadline_heap_set(ids->expiries, &entry->expiry,
                      now_ms + ids->retention_ms);
}

static void
begin_call(struct request_ids *ids, int64_t now_ms)
{
    g_clear_pointer(&ids->retired, entry_destroy);
    g_clear_pointer(&ids->returned_peer, g_free);
    struct entry *entry;
    while ((entry = deadline_heap_pop(ids->expiries, now_ms)) != NULL) {
        g_hash_table_remove(ids->entries, entry->key);
    }
    request_views_expire(ids->views, now_ms);
}

struct request_ids *
request_ids_create(const struct request_ids_options *options)
{
    struct request_ids *ids = g_new0(struct request_ids, 1);
    ids->self = g_strdup(options->self);
    ids->max_entries = options->max_entries;
    ids->retention_ms = options->retention_ms;
    ids->views = request_views_create(options->self, options->retention_ms);
    ids->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_destroy);
    ids->expiries = deadline_heap_create();
    return ids;
}

void
request_ids_destroy(struct request_ids *ids)
{
    if (ids == NULL) {
        return;
    }
    g_clear_pointer(&ids->retired, entry_destroy);
    g_hash_table_unref(ids->entries);
    deadline_heap_destroy(ids->expiries);
    request_views_destroy(ids->views);
    g_free(ids->returned_peer);
    g_free(ids->self);
    g_free(ids);
}

void
request_ids_set_members(struct request_ids *ids, const char *const *members,
                        size_t n_members, uint64_t epoch, int64_t now_ms)
{
    begin_call(ids, now_ms);
    request_views_set(ids->views, members, n_members, epoch, now_ms);
}

const char *
request_ids_owner(const struct request_ids *ids, const char *team,
                  const char *id)
{
    return request_views_owner(ids->views, team, id);
}

static void
decide(struct request_decision *decision, enum request_verdict verdict,
       const struct entry *entry)
{
    *decision = (struct request_decision){
        .verdict = verdict,
        .outcome = entry->outcome,
        .reason = entry->reason,
        .answer = entry->answer,
        .tasks = (const uint64_t *)(void *)entry->tasks->data,
        .n_tasks = entry->tasks->len,
    };
}

static void
refuse(struct request_decision *decision, enum outcome outcome,
       enum reason reason)
{
    *decision = (struct request_decision){
        .verdict = REQUEST_ANSWER,
        .outcome = outcome,
        .reason = reason,
    };
}

static void
forward(struct request_ids *ids, const char *peer, uint32_t hops,
        struct request_decision *decision)
{
    if (peer == NULL || hops >= REQUEST_IDS_HOPS_MAX) {
        refuse(decision, OUTCOME_NOT_RUN, REASON_NO_QUORUM_LEASE);
        return;
    }
    ids->returned_peer = g_strdup(peer);
    *decision = (struct request_decision){
        .verdict = REQUEST_FORWARD,
        .peer = ids->returned_peer,
    };
}

static bool
will_query(const struct request_ids *ids, const struct entry *entry,
           const char *peer)
{
    return strcmp(peer, ids->self) == 0 ||
           g_ptr_array_find_with_equal_func(entry->to_query, peer, g_str_equal,
                                            NULL);
}

static void
add_query(const struct request_ids *ids, struct entry *entry, const char *peer)
{
    if (!request_views_registered(ids->views, peer)) {
        entry->owner_gone = true;
    }
    else if (!will_query(ids, entry, peer)) {
        g_ptr_array_add(entry->to_query, g_strdup(peer));
    }
}

/* Queries the next earlier owner; after the last one, runs the request or
 * answers that its outcome is unknown. */
static void
proceed(struct request_ids *ids, struct entry *entry, int64_t now_ms,
        struct request_decision *decision)
{
    if (entry->n_queried < entry->to_query->len) {
        decide(decision, REQUEST_QUERY, entry);
        decision->peer = g_ptr_array_index(entry->to_query, entry->n_queried);
        return;
    }
    if (entry->owner_gone && !entry->first_attempt) {
        entry->outcome = OUTCOME_UNKNOWN;
        entry->reason = REASON_ID_OWNER_GONE;
        entry->state = ENTRY_FINISHED;
        entry_start_retention(ids, entry, now_ms);
        decide(decision, REQUEST_ANSWER, entry);
        return;
    }
    entry->state = ENTRY_RUNNING;
    decide(decision, REQUEST_RUN, entry);
}

static void
claim_new(struct request_ids *ids, const struct request_id *request,
          int64_t now_ms, struct request_decision *decision)
{
    const char *owner = request_ids_owner(ids, request->team, request->id);
    if (owner == NULL || strcmp(owner, ids->self) != 0) {
        forward(ids, owner, request->hops, decision);
        return;
    }
    if (g_hash_table_size(ids->entries) >= ids->max_entries) {
        refuse(decision, OUTCOME_NOT_RUN, REASON_OVERLOAD);
        return;
    }
    struct entry *entry =
        entry_create(ids, request->team, request->id, ENTRY_QUERYING);
    entry->body_hash_hex = g_strdup(request->body_hash_hex);
    entry->first_attempt = request->first_attempt;
    g_array_append_val(entry->tasks, request->task);
    const char *earlier_owners[REQUEST_IDS_EARLIER_OWNERS_MAX];
    bool more = false;
    size_t n = request_views_earlier(ids->views, request->team, request->id,
                                     earlier_owners, &more);
    for (size_t i = 0; i < n; i++) {
        add_query(ids, entry, earlier_owners[i]);
    }
    entry->owner_gone = entry->owner_gone || more;
    proceed(ids, entry, now_ms, decision);
}

static void
claim_known(struct request_ids *ids, struct entry *entry,
            const struct request_id *request,
            struct request_decision *decision)
{
    if (entry->state == ENTRY_MOVED) {
        forward(ids, entry->moved_to, request->hops, decision);
        return;
    }
    if (g_strcmp0(entry->body_hash_hex, request->body_hash_hex) != 0) {
        refuse(decision, OUTCOME_NOT_RUN, REASON_ID_CONFLICT);
        return;
    }
    if (entry->state == ENTRY_FINISHED) {
        decide(decision, REQUEST_ANSWER, entry);
        decision->tasks = NULL;
        decision->n_tasks = 0;
        return;
    }
    g_array_append_val(entry->tasks, request->task);
    decide(decision, REQUEST_WAIT, entry);
}

void
request_ids_claim(struct request_ids *ids, const struct request_id *request,
                  int64_t now_ms, struct request_decision *decision)
{
    begin_call(ids, now_ms);
    struct entry *entry = entry_find(ids, request->team, request->id);
    if (entry != NULL) {
        claim_known(ids, entry, request, decision);
    }
    else {
        claim_new(ids, request, now_ms, decision);
    }
}

static void
apply_finished_reply(struct request_ids *ids, struct entry *entry,
                     const struct id_query_reply *reply, int64_t now_ms,
                     struct request_decision *decision)
{
    entry->state = ENTRY_FINISHED;
    entry->outcome = reply->outcome;
    entry->reason = reply->reason;
    entry->answer = reply->answer ? g_bytes_ref(reply->answer) : NULL;
    entry_start_retention(ids, entry, now_ms);
    decide(decision, REQUEST_ANSWER, entry);
}

static void
apply_running_reply(struct request_ids *ids, struct entry *entry,
                    const char *peer, int64_t now_ms,
                    struct request_decision *decision)
{
    entry->state = ENTRY_MOVED;
    entry->moved_to = g_strdup(peer);
    entry_start_retention(ids, entry, now_ms);
    decide(decision, REQUEST_FORWARD, entry);
    decision->peer = entry->moved_to;
}

void
request_ids_query_answered(struct request_ids *ids, const char *team,
                           const char *id, const char *peer,
                           const struct id_query_reply *reply, int64_t now_ms,
                           struct request_decision *decision)
{
    begin_call(ids, now_ms);
    struct entry *entry = entry_find(ids, team, id);
    if (entry == NULL || entry->state != ENTRY_QUERYING ||
        entry->n_queried >= entry->to_query->len ||
        strcmp(g_ptr_array_index(entry->to_query, entry->n_queried), peer) !=
            0) {
        *decision = (struct request_decision){.verdict = REQUEST_WAIT};
        return;
    }
    entry->n_queried++;
    for (size_t i = 0; i < reply->n_earlier_owners; i++) {
        add_query(ids, entry, reply->earlier_owners[i]);
    }
    if (reply->result == ID_QUERY_FINISHED) {
        apply_finished_reply(ids, entry, reply, now_ms, decision);
        return;
    }
    if (reply->result == ID_QUERY_RUNNING) {
        apply_running_reply(ids, entry, peer, now_ms, decision);
        return;
    }
    entry->owner_gone |= reply->result != ID_QUERY_ABSENT;
    if (reply->result == ID_QUERY_UNREACHABLE) {
        /* The peer may have accepted the id itself, which the caller's
         * declaration of a first attempt does not rule out. */
        entry->first_attempt = false;
    }
    proceed(ids, entry, now_ms, decision);
}

static void
reply_earlier_owners(struct request_ids *ids, const char *team, const char *id,
                     struct id_query_reply *reply)
{
    bool more = false;
    reply->n_earlier_owners = request_views_earlier(
        ids->views, team, id, reply->earlier_owners, &more);
    size_t kept = 0;
    for (size_t i = 0; i < reply->n_earlier_owners; i++) {
        if (request_views_registered(ids->views, reply->earlier_owners[i])) {
            reply->earlier_owners[kept++] = reply->earlier_owners[i];
        }
        else {
            more = true;
        }
    }
    reply->n_earlier_owners = kept;
    reply->result = more ? ID_QUERY_OWNER_GONE : ID_QUERY_ABSENT;
}

static void
reply_entry(const struct entry *entry, struct id_query_reply *reply)
{
    reply->result =
        entry->state == ENTRY_FINISHED ? ID_QUERY_FINISHED : ID_QUERY_RUNNING;
    reply->outcome = entry->outcome;
    reply->reason = entry->reason;
    reply->answer = entry->answer;
}

void
request_ids_query(struct request_ids *ids, const char *team, const char *id,
                  const char *querier, int64_t now_ms,
                  struct id_query_reply *reply)
{
    begin_call(ids, now_ms);
    *reply = (struct id_query_reply){.result = ID_QUERY_ABSENT};
    struct entry *entry = entry_find(ids, team, id);
    if (entry != NULL && entry->state != ENTRY_MOVED) {
        reply_entry(entry, reply);
        return;
    }
    reply_earlier_owners(ids, team, id, reply);
    if (entry == NULL && request_ids_count(ids) >= 2 * ids->max_entries) {
        /* No capacity to store that the id moved, so a later request might
         * be run here. */
        reply->result = ID_QUERY_OWNER_GONE;
        return;
    }
    if (entry == NULL) {
        entry = entry_create(ids, team, id, ENTRY_MOVED);
    }
    else if (strcmp(entry->moved_to, querier) != 0 &&
             request_views_registered(ids->views, entry->moved_to) &&
             reply->n_earlier_owners < REQUEST_IDS_EARLIER_OWNERS_MAX) {
        ids->returned_peer = g_strdup(entry->moved_to);
        reply->earlier_owners[reply->n_earlier_owners++] = ids->returned_peer;
    }
    else if (strcmp(entry->moved_to, querier) != 0) {
        reply->result = ID_QUERY_OWNER_GONE;
    }
    g_free(entry->moved_to);
    entry->moved_to = g_strdup(querier);
    entry_start_retention(ids, entry, now_ms);
}

void
request_ids_finished(struct request_ids *ids, const char *team, const char *id,
                     enum outcome outcome, enum reason reason, GBytes *answer,
                     int64_t now_ms, struct request_decision *decision)
{
    begin_call(ids, now_ms);
    struct entry *entry = entry_find(ids, team, id);
    if (entry == NULL || entry->state != ENTRY_RUNNING) {
        refuse(decision, outcome, reason);
        return;
    }
    entry->state = ENTRY_FINISHED;
    entry->outcome = outcome;
    entry->reason = reason;
    entry->answer = answer != NULL ? g_bytes_ref(answer) : NULL;
    decide(decision, REQUEST_ANSWER, entry);
    if (outcome == OUTCOME_NOT_RUN) {
        entry_retire(ids, entry);
    }
    else {
        entry_start_retention(ids, entry, now_ms);
    }
}

bool
request_ids_stop_waiting(struct request_ids *ids, const char *team,
                         const char *id, uint64_t task)
{
    struct entry *entry = entry_find(ids, team, id);
    if (entry == NULL) {
        return false;
    }
    for (guint i = 0; i < entry->tasks->len; i++) {
        if (g_array_index(entry->tasks, uint64_t, i) == task) {
            g_array_remove_index(entry->tasks, i);
            break;
        }
    }
    return entry->tasks->len > 0;
}

uint32_t
request_ids_count(const struct request_ids *ids)
{
    return g_hash_table_size(ids->entries);
}
