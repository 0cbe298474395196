/* Keeps the usage that other gateways report. */
#include <string.h>

#include "dispatch_state.h"

void
peer_destroy(void *data)
{
    struct peer *peer = data;
    g_hash_table_unref(peer->free_permits);
    g_ptr_array_unref(peer->pool_teams);
    g_hash_table_unref(peer->pools);
    g_free(peer->name);
    g_free(peer);
}

static bool
index_taken(const struct dispatch *dispatch, uint32_t index)
{
    GHashTableIter iter;
    void *peer;
    g_hash_table_iter_init(&iter, dispatch->peers);
    while (g_hash_table_iter_next(&iter, NULL, &peer)) {
        if (((const struct peer *)peer)->index == index) {
            return true;
        }
    }
    return false;
}

static uint32_t
lowest_free_index(const struct dispatch *dispatch)
{
    uint32_t index = 0;
    while (index_taken(dispatch, index)) {
        index++;
    }
    return index;
}

static struct peer *
peer_get(struct dispatch *dispatch, const char *name)
{
    struct peer *peer = g_hash_table_lookup(dispatch->peers, name);
    if (peer == NULL) {
        peer = g_new0(struct peer, 1);
        peer->name = g_strdup(name);
        peer->reported_ms = dispatch->now_ms;
        peer->free_permits = g_hash_table_new(NULL, NULL);
        peer->index = lowest_free_index(dispatch);
        peer->pool_teams = g_ptr_array_new();
        peer->pools = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        g_hash_table_insert(dispatch->peers, peer->name, peer);
    }
    return peer;
}

uint32_t
live_gateways(const struct dispatch *dispatch)
{
    return 1 + g_hash_table_size(dispatch->peers);
}

static void
usage_update(struct pool_team *pool_team, struct peer_usage *usage,
             uint32_t running, uint32_t queued)
{
    pool_team->peers_running += running - usage->running;
    pool_team->peers_queued += queued - usage->queued;
    pool_team->pool->peers_running += running - usage->running;
    pool_team->team->peers_running += running - usage->running;
    usage->running = running;
    usage->queued = queued;
}

static struct peer_usage *
usage_get(struct peer *peer, struct pool_team *pool_team)
{
    if (peer->index >= pool_team->n_peers) {
        uint32_t n = peer->index + 1;
        pool_team->peers = g_renew(struct peer_usage, pool_team->peers, n);
        memset(&pool_team->peers[pool_team->n_peers], 0,
               (n - pool_team->n_peers) * sizeof(struct peer_usage));
        pool_team->n_peers = n;
    }
    struct peer_usage *usage = &pool_team->peers[peer->index];
    if (!usage->known) {
        usage->known = true;
        g_ptr_array_add(peer->pool_teams, pool_team);
    }
    return usage;
}

static void
usage_clear(struct peer *peer)
{
    for (guint i = 0; i < peer->pool_teams->len; i++) {
        struct pool_team *pool_team = g_ptr_array_index(peer->pool_teams, i);
        usage_update(pool_team, &pool_team->peers[peer->index], 0, 0);
    }
}

/* Clears the entries under the peer's index, which a later peer may reuse. */
static void
usage_forget(struct peer *peer)
{
    usage_clear(peer);
    for (guint i = 0; i < peer->pool_teams->len; i++) {
        struct pool_team *pool_team = g_ptr_array_index(peer->pool_teams, i);
        pool_team->peers[peer->index] = (struct peer_usage){.known = false};
    }
    g_ptr_array_set_size(peer->pool_teams, 0);
}

static void
pools_clear(struct peer *peer)
{
    GHashTableIter iter;
    void *entry;
    void *value;
    g_hash_table_iter_init(&iter, peer->pools);
    while (g_hash_table_iter_next(&iter, &entry, &value)) {
        struct pool *pool = entry;
        const struct pool_usage *usage = value;
        pool->peers_running -= usage->running;
        pool->peers_aggregate.running -= usage->running;
        pool->peers_aggregate.queued -= usage->queued;
        pool->peers_aggregate.reserve_milli -= usage->reserve_milli;
    }
    g_hash_table_remove_all(peer->pools);
}

static void
permits_set(struct dispatch *dispatch, struct peer *peer, struct team *team,
            uint32_t free_permits)
{
    uint32_t before =
        GPOINTER_TO_UINT(g_hash_table_lookup(peer->free_permits, team));
    if (free_permits == before) {
        return;
    }
    team->peers_free += free_permits - before;
    if (free_permits > 0) {
        g_hash_table_insert(peer->free_permits, team,
                            GUINT_TO_POINTER(free_permits));
    }
    else {
        g_hash_table_remove(peer->free_permits, team);
    }
    team_update(dispatch, team);
}

static void
permits_clear(struct dispatch *dispatch, struct peer *peer)
{
    GList *teams = g_hash_table_get_keys(peer->free_permits);
    for (GList *link = teams; link != NULL; link = link->next) {
        permits_set(dispatch, peer, link->data, 0);
    }
    g_list_free(teams);
}

static void
peer_clear(struct dispatch *dispatch, struct peer *peer)
{
    usage_forget(peer);
    pools_clear(peer);
    permits_clear(dispatch, peer);
}

static void
observe_service(struct dispatch *dispatch, const struct peer *peer,
                struct pool_team *pool_team, struct peer_usage *usage,
                const struct dispatch_usage *entry)
{
    double dt_ms = (double)(dispatch->now_ms - peer->reported_ms);
    double running = (usage->last_running + entry->running) / 2.0;
    bool listed_before = usage->reported_ms == peer->reported_ms;
    if (listed_before && usage->served_milli > 0 &&
        entry->served_milli >= usage->served_milli &&
        dispatch->unit == SERVICE_UNIT_TASK) {
        pool_team->completed +=
            (double)(entry->served_milli - usage->served_milli) / 1000;
        pool_team->busy_ms += running * dt_ms;
    }
    usage->reported_ms = dispatch->now_ms;
    usage->served_milli = entry->served_milli;
    usage->last_running = entry->running;
}

static void
record_pool_usage(struct dispatch *dispatch, struct peer *peer,
                  const struct dispatch_usage *entry)
{
    struct pool *pool = g_hash_table_lookup(dispatch->pools, entry->pool);
    if (pool == NULL || g_hash_table_contains(peer->pools, pool)) {
        return;
    }
    struct pool_usage *usage = g_new0(struct pool_usage, 1);
    usage->running = entry->running;
    usage->queued = entry->queued;
    usage->reserve_milli = (uint32_t)MIN(entry->served_milli, G_MAXINT32);
    g_hash_table_insert(peer->pools, pool, usage);
    pool->peers_running += usage->running;
    pool->peers_aggregate.running += usage->running;
    pool->peers_aggregate.queued += usage->queued;
    pool->peers_aggregate.reserve_milli += usage->reserve_milli;
}

static void
record_team_usage(struct dispatch *dispatch, struct peer *peer,
                  struct team *team, const struct dispatch_usage *entry)
{
    struct pool *pool = g_hash_table_lookup(dispatch->pools, entry->pool);
    if (pool == NULL) {
        return;
    }
    struct pool_team *pool_team = pool_team_get(pool, team);
    struct peer_usage *usage = usage_get(peer, pool_team);
    observe_service(dispatch, peer, pool_team, usage, entry);
    usage_update(pool_team, usage, entry->running, entry->queued);
    pool_team_activate(pool_team);
}

void
dispatch_peer_usage(struct dispatch *dispatch, const char *peer_name,
                    const struct dispatch_usage *entries, size_t n_entries,
                    int64_t now_ms)
{
    dispatch_advance_clock(dispatch, now_ms);
    struct peer *peer = peer_get(dispatch, peer_name);
    usage_clear(peer);
    pools_clear(peer);
    permits_clear(dispatch, peer);
    struct team *team = NULL;
    for (size_t i = 0; i < n_entries; i++) {
        const struct dispatch_usage *entry = &entries[i];
        if (entry->team[0] == '\0') {
            record_pool_usage(dispatch, peer, entry);
            continue;
        }
        if (team == NULL || strcmp(team->name, entry->team) != 0) {
            team = g_hash_table_lookup(dispatch->teams, entry->team);
        }
        if (team != NULL) {
            record_team_usage(dispatch, peer, team, entry);
            permits_set(dispatch, peer, team, entry->free_permits);
        }
    }
    peer->reported_ms = dispatch->now_ms;
}

void
dispatch_peer_removed(struct dispatch *dispatch, const char *peer_name)
{
    struct peer *peer = g_hash_table_lookup(dispatch->peers, peer_name);
    if (peer != NULL) {
        peer_clear(dispatch, peer);
        g_hash_table_remove(dispatch->peers, peer_name);
    }
}

/* Drops peers whose last report is too old. Such a peer may still run tasks,
 * but there is no recent report to plan with. */
void
peers_drop_stale(struct dispatch *dispatch)
{
    if (dispatch->now_ms - dispatch->peers_checked_ms <
        PEER_CHECK_INTERVAL_MS) {
        return;
    }
    dispatch->peers_checked_ms = dispatch->now_ms;
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->peers);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        struct peer *peer = entry;
        if (dispatch->now_ms - peer->reported_ms > PEER_REPORT_MAX_AGE_MS) {
            peer_clear(dispatch, peer);
            g_hash_table_iter_remove(&iter);
        }
    }
}
