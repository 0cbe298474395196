/* Creation of dispatchers, acceptance and cancellation of tasks. */
#include "core/dispatch.h"

#include "core/share_plan.h"
#include "dispatch_state.h"

static void
team_destroy(void *data)
{
    struct team *team = data;
    g_ptr_array_unref(team->pool_teams);
    g_free(team->name);
    g_free(team);
}

static void
pool_destroy(void *data)
{
    struct pool *pool = data;
    g_ptr_array_unref(pool->open_hosts);
    g_ptr_array_unref(pool->open_local);
    g_ptr_array_unref(pool->by_team);
    g_ptr_array_unref(pool->in_use);
    g_ptr_array_unref(pool->pool_teams);
    g_free(pool->name);
    g_free(pool);
}

static void
queue_destroy(void *data)
{
    struct queue *queue = data;
    g_hash_table_unref(queue->lanes);
    g_free(queue->name);
    g_free(queue);
}

static void
dc_destroy(void *data)
{
    struct dc *dc = data;
    g_free(dc->name);
    g_free(dc);
}

static GHashTable *
table_by_name(GDestroyNotify destroy)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, destroy);
}

static GHashTable *
table_by_id(GDestroyNotify destroy)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, destroy);
}

struct dispatch *
dispatch_create(const struct dispatch_options *options)
{
    struct dispatch *dispatch = g_new0(struct dispatch, 1);
    dispatch->random = random_seeded(options->seed);
    dispatch->own_dc = g_strdup(options->dc);
    dispatch->teams = table_by_name(team_destroy);
    dispatch->pools = table_by_name(pool_destroy);
    dispatch->queues = table_by_name(queue_destroy);
    dispatch->dcs = table_by_name(dc_destroy);
    dispatch->hosts = table_by_name(host_destroy);
    dispatch->hosts_by_serial = g_hash_table_new(NULL, NULL);
    dispatch->racks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    dispatch->peers = table_by_name(peer_destroy);
    dispatch->keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    dispatch->tasks = table_by_id(task_destroy);
    dispatch->attempts = table_by_id(attempt_destroy);
    dispatch->deadlines = deadline_heap_create();
    dispatch->leases = deadline_heap_create();
    dispatch->plans = deadline_heap_create();
    dispatch->unblocks = deadline_heap_create();
    dispatch->ejections = deadline_heap_create();
    dispatch->wakes = deadline_heap_create();
    dispatch->claims = g_array_new(FALSE, FALSE, sizeof(struct share_claim));
    dispatch->usage = g_array_new(FALSE, TRUE, sizeof(struct dispatch_usage));
    return dispatch;
}

static void
destroy_unlisted_hosts(struct dispatch *dispatch)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        struct host *host = ((struct attempt *)entry)->host;
        host->outstanding--;
        if (!host->listed && host->outstanding == 0) {
            host_destroy(host);
        }
    }
}

void
dispatch_destroy(struct dispatch *dispatch)
{
    if (dispatch == NULL) {
        return;
    }
    destroy_unlisted_hosts(dispatch);
    g_hash_table_unref(dispatch->attempts);
    g_hash_table_unref(dispatch->tasks);
    g_hash_table_unref(dispatch->queues);
    g_hash_table_unref(dispatch->teams);
    g_hash_table_unref(dispatch->pools);
    g_hash_table_unref(dispatch->hosts_by_serial);
    g_hash_table_unref(dispatch->hosts);
    g_hash_table_unref(dispatch->racks);
    g_hash_table_unref(dispatch->dcs);
    g_hash_table_unref(dispatch->peers);
    g_hash_table_unref(dispatch->keys);
    deadline_heap_destroy(dispatch->deadlines);
    deadline_heap_destroy(dispatch->leases);
    deadline_heap_destroy(dispatch->plans);
    deadline_heap_destroy(dispatch->unblocks);
    deadline_heap_destroy(dispatch->ejections);
    deadline_heap_destroy(dispatch->wakes);
    g_array_unref(dispatch->claims);
    g_array_unref(dispatch->usage);
    g_free(dispatch->action_peer);
    g_free(dispatch->own_dc);
    g_free(dispatch);
}

static enum reason
admit(const struct dispatch *dispatch, const struct queue *queue,
      const struct team *team)
{
    if (dispatch->draining) {
        return REASON_SHUTDOWN;
    }
    if (queue == NULL || !queue->configured) {
        return REASON_UNKNOWN_QUEUE;
    }
    if (team == NULL || !team->configured) {
        return REASON_UNKNOWN_TEAM;
    }
    if (team->max_running == 0) {
        return REASON_TEAM_LIMIT;
    }
    return REASON_NONE;
}

enum reason
dispatch_submit(struct dispatch *dispatch,
                const struct dispatch_task *submitted, int64_t now_ms,
                int64_t *retry_after_ms)
{
    dispatch_advance_clock(dispatch, now_ms);
    struct queue *queue =
        g_hash_table_lookup(dispatch->queues, submitted->queue);
    struct team *team = g_hash_table_lookup(dispatch->teams, submitted->team);
    *retry_after_ms = 0;
    enum reason reason = admit(dispatch, queue, team);
    if (reason != REASON_NONE) {
        return reason;
    }
    struct lane *lane = lane_get(queue, team);
    reason = lane_admit(dispatch, lane, retry_after_ms);
    if (reason != REASON_NONE) {
        return reason;
    }
    struct task *task = task_create(dispatch, submitted, lane);
    reason = task_allowed(dispatch, task);
    if (reason != REASON_NONE) {
        task_end(dispatch, task);
    }
    else if (queue->urgent) {
        reserve_count_arrival(dispatch, queue->pool);
    }
    return reason;
}

bool
dispatch_cancel(struct dispatch *dispatch, uint64_t task_id, uint64_t *attempt,
                int64_t now_ms)
{
    *attempt = 0;
    struct task *task = g_hash_table_lookup(dispatch->tasks, &task_id);
    if (task == NULL) {
        return false;
    }
    if (task->state == TASK_QUEUED || task->state == TASK_REFUSED) {
        task_end(dispatch, task);
        return true;
    }
    task->cancelled = true;
    *attempt = task->attempt;
    return false;
}

void
dispatch_drain(struct dispatch *dispatch)
{
    dispatch->draining = true;
}

uint32_t
dispatch_team_running(const struct dispatch *dispatch, const char *team_name)
{
    const struct team *team = g_hash_table_lookup(dispatch->teams, team_name);
    return team != NULL ? team->running : 0;
}

uint32_t
dispatch_team_queued(const struct dispatch *dispatch, const char *team_name)
{
    const struct team *team = g_hash_table_lookup(dispatch->teams, team_name);
    return team != NULL ? team->queued : 0;
}
