/* Reports this gateway's usage to peers, and explains why a queue waits. */
#include "dispatch_state.h"

enum {
    /* A team that is idle in a pool is reported for this long after its last
     * service there. */
    SERVED_REPORT_MS = 5000,
    /* Above this many entries, teams in uncontended pools are reported as
     * one sum for each pool. */
    AGGREGATE_ENTRIES_MIN = 1000,
};

static uint32_t
own_free_permits(const struct team *team)
{
    return team->permits > team->running ? team->permits - team->running : 0;
}

static bool
worth_reporting(const struct dispatch *dispatch,
                const struct pool_team *pool_team)
{
    return pool_team->running > 0 || pool_team->queued > 0 ||
           (pool_team->served_milli > 0 &&
            dispatch->now_ms - pool_team->served_ms < SERVED_REPORT_MS);
}

static bool
usage_aggregates(const struct dispatch *dispatch)
{
    guint in_use = 0;
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        struct pool *pool = entry;
        in_use += pool->in_use->len;
        pool->aggregate = (struct pool_usage){.running = 0};
    }
    return in_use > AGGREGATE_ENTRIES_MIN;
}

static void
aggregate_usage(struct pool *pool, const struct pool_team *pool_team)
{
    pool->aggregate.running += pool_team->running;
    pool->aggregate.queued += pool_team->queued;
}

static void
usage_add_team(struct dispatch *dispatch, const struct team *team,
               bool aggregates)
{
    bool added = false;
    struct dispatch_usage entry = {
        .team = team->name,
        .pool = "",
        .free_permits = own_free_permits(team),
    };
    for (guint i = 0; i < team->pool_teams->len; i++) {
        const struct pool_team *pool_team =
            g_ptr_array_index(team->pool_teams, i);
        if (aggregates && !pool_team->pool->contended) {
            aggregate_usage(pool_team->pool, pool_team);
        }
        else if (worth_reporting(dispatch, pool_team)) {
            entry.pool = pool_team->pool->name;
            entry.running = pool_team->running;
            entry.queued = pool_team->queued;
            entry.served_milli = pool_team->served_milli;
            g_array_append_val(dispatch->usage, entry);
            added = true;
        }
    }
    if (!added && entry.free_permits > 0) {
        g_array_append_val(dispatch->usage, entry);
    }
}

static void
usage_add_pool(struct dispatch *dispatch, const struct pool *pool)
{
    struct dispatch_usage entry = {
        .team = "",
        .pool = pool->name,
        .running = pool->aggregate.running,
        .queued = pool->aggregate.queued,
        .served_milli = (uint64_t)(pool->reserve * 1000),
    };
    if (entry.running > 0 || entry.queued > 0 || entry.served_milli > 0) {
        g_array_append_val(dispatch->usage, entry);
    }
}

size_t
dispatch_usage_get(struct dispatch *dispatch,
                   const struct dispatch_usage **entries, int64_t now_ms)
{
    dispatch_advance_clock(dispatch, now_ms);
    bool aggregates = usage_aggregates(dispatch);
    g_array_set_size(dispatch->usage, 0);
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->teams);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        usage_add_team(dispatch, entry, aggregates);
    }
    g_hash_table_iter_init(&iter, dispatch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        usage_add_pool(dispatch, entry);
    }
    *entries = (const struct dispatch_usage *)(void *)dispatch->usage->data;
    return dispatch->usage->len;
}

bool
dispatch_explain(const struct dispatch *dispatch, const char *queue_name,
                 int64_t now_ms, struct dispatch_explanation *explanation)
{
    const struct queue *queue =
        g_hash_table_lookup(dispatch->queues, queue_name);
    if (queue == NULL) {
        return false;
    }
    const struct pool *pool = queue->pool;
    *explanation = (struct dispatch_explanation){
        .queue = queue->name,
        .queued = queue->queued,
        .running = queue->running,
        .hosts = pool->hosts,
        .hosts_accepting = pool->hosts_accepting,
        .hosts_ejected = pool->outlier.ejected,
        .slots = pool->slots,
        .slots_busy = pool->running + pool->peers_running,
        .estimated_run_ms = estimate_quantile_ms(&queue->run, 0.5),
        .waits_for = REASON_NONE,
    };
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, queue->lanes);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        const struct lane *lane = entry;
        const struct task *task = g_queue_peek_head((GQueue *)&lane->tasks);
        int64_t age_ms = task != NULL ? now_ms - task->submitted_ms : -1;
        if (age_ms >= explanation->oldest_ms) {
            explanation->oldest_ms = age_ms;
            explanation->waits_for = lane_waits_for(dispatch, lane, now_ms);
        }
    }
    return true;
}
