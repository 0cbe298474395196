/* Applies configuration, quorum lease and permits to the dispatcher. */
#include <string.h>

#include "dispatch_state.h"

struct team *
dispatch_team(struct dispatch *dispatch, const char *name)
{
    struct team *team = g_hash_table_lookup(dispatch->teams, name);
    if (team == NULL) {
        team = g_new0(struct team, 1);
        team->name = g_strdup(name);
        team->index = g_hash_table_size(dispatch->teams);
        team->pool_teams = g_ptr_array_new();
        team->forward_link.data = team;
        g_hash_table_insert(dispatch->teams, team->name, team);
    }
    return team;
}

struct pool *
dispatch_pool(struct dispatch *dispatch, const char *name)
{
    struct pool *pool = g_hash_table_lookup(dispatch->pools, name);
    if (pool == NULL) {
        pool = g_new0(struct pool, 1);
        pool->name = g_strdup(name);
        pool->open_hosts = g_ptr_array_new();
        pool->open_local = g_ptr_array_new();
        pool->in_use = g_ptr_array_new();
        pool->by_team = g_ptr_array_new();
        pool->plan.owner = pool;
        pool->probe_pause_ms = PROBE_PAUSE_MIN_MS;
        pool->wake.owner = pool;
        pool->pool_teams = g_ptr_array_new_with_free_func(pool_team_destroy);
        pool->active_link.data = pool;
        g_hash_table_insert(dispatch->pools, pool->name, pool);
    }
    return pool;
}

static struct queue *
queue_get(struct dispatch *dispatch, const struct config_queue *queue_config)
{
    struct queue *queue =
        g_hash_table_lookup(dispatch->queues, queue_config->name);
    if (queue == NULL) {
        queue = g_new0(struct queue, 1);
        queue->name = g_strdup(queue_config->name);
        queue->lanes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        queue->pool = dispatch_pool(dispatch, queue_config->pool);
        queue->urgent = queue_config->urgent;
        retry_budget_init(&queue->retries, dispatch->now_ms);
        g_hash_table_insert(dispatch->queues, queue->name, queue);
    }
    return queue;
}

struct dc *
dispatch_dc(struct dispatch *dispatch, const char *name)
{
    struct dc *dc = g_hash_table_lookup(dispatch->dcs, name);
    if (dc == NULL) {
        dc = g_new0(struct dc, 1);
        dc->name = g_strdup(name);
        g_hash_table_insert(dispatch->dcs, dc->name, dc);
    }
    return dc;
}

static void
queue_place(struct dispatch *dispatch, struct queue *queue,
            const struct config_queue *queue_config)
{
    struct pool *pool = dispatch_pool(dispatch, queue_config->pool);
    if (pool != queue->pool || queue_config->urgent != queue->urgent) {
        GHashTableIter iter;
        void *lane;
        g_hash_table_iter_init(&iter, queue->lanes);
        while (g_hash_table_iter_next(&iter, NULL, &lane)) {
            lane_move(dispatch, lane, pool, queue_config->urgent);
        }
        queue->pool = pool;
        queue->urgent = queue_config->urgent;
    }
    queue->configured = true;
    queue->open = queue_config->open_team != NULL;
    queue->start_deadline_ms = queue_config->start_deadline_ms;
    queue->max_run_ms = queue_config->max_run_ms;
    queue->max_queued = queue_config->max_queued;
    pool->has_queue[queue_config->urgent] = true;
    if (queue_config->urgent) {
        pool->urgent_deadline_ms =
            MIN(pool->urgent_deadline_ms, queue_config->start_deadline_ms);
    }
}

static void
clear_configured(struct dispatch *dispatch)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->teams);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        ((struct team *)entry)->configured = false;
    }
    g_hash_table_iter_init(&iter, dispatch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        struct pool *pool = entry;
        pool->configured = false;
        pool->has_queue[0] = pool->has_queue[1] = false;
        pool->urgent_deadline_ms = INT64_MAX;
    }
    g_hash_table_iter_init(&iter, dispatch->queues);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        ((struct queue *)entry)->configured = false;
    }
    g_hash_table_iter_init(&iter, dispatch->dcs);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        ((struct dc *)entry)->out_of_service = false;
    }
    g_hash_table_remove_all(dispatch->keys);
}

static void
set_teams(struct dispatch *dispatch, const struct config *config)
{
    for (size_t i = 0; i < config->n_teams; i++) {
        const struct config_team *team_config = &config->teams[i];
        struct team *team = dispatch_team(dispatch, team_config->name);
        team->configured = true;
        team->share_permille = team_config->share_permille;
        team->max_running = team_config->max_running;
        for (size_t j = 0; j < team_config->n_keys; j++) {
            g_hash_table_insert(dispatch->keys,
                                g_strdup(team_config->keys[j].id),
                                g_strdup(team_config->keys[j].hash_hex));
        }
    }
}

static void
set_entries(struct dispatch *dispatch, const struct config *config)
{
    for (size_t i = 0; i < config->n_dcs; i++) {
        struct dc *dc = dispatch_dc(dispatch, config->dcs[i].name);
        dc->out_of_service = config->dcs[i].state == DC_OUT_OF_SERVICE;
    }
    for (size_t i = 0; i < config->n_pools; i++) {
        dispatch_pool(dispatch, config->pools[i].name)->configured = true;
    }
    for (size_t i = 0; i < config->n_queues; i++) {
        struct queue *queue = queue_get(dispatch, &config->queues[i]);
        queue_place(dispatch, queue, &config->queues[i]);
    }
}

enum reason
task_allowed(const struct dispatch *dispatch, const struct task *task)
{
    const struct queue *queue = task->lane->queue;
    if (!queue->configured) {
        return REASON_UNKNOWN_QUEUE;
    }
    if (!task->lane->pool_team->team->configured) {
        return REASON_UNKNOWN_TEAM;
    }
    if (task->key_id == NULL) {
        return queue->open ? REASON_NONE : REASON_KEY_MISSING;
    }
    const char *hash = g_hash_table_lookup(dispatch->keys, task->key_id);
    if (hash == NULL || task->key_hash_hex == NULL ||
        strcmp(hash, task->key_hash_hex) != 0) {
        return REASON_KEY_REFUSED;
    }
    return REASON_NONE;
}

static void
refuse_disallowed(struct dispatch *dispatch)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        struct task *task = entry;
        enum reason reason = task->state == TASK_QUEUED
                                 ? task_allowed(dispatch, task)
                                 : REASON_NONE;
        if (reason != REASON_NONE) {
            task_refuse(dispatch, task, reason);
        }
    }
}

void
dispatch_set_config(struct dispatch *dispatch, const struct config *config)
{
    dispatch->config = config;
    dispatch->unit = config->unit;
    clear_configured(dispatch);
    set_teams(dispatch, config);
    set_entries(dispatch, config);
    refuse_disallowed(dispatch);
    hosts_changed(dispatch);
}

void
dispatch_set_quorum_lease(struct dispatch *dispatch, int64_t expires_ms)
{
    dispatch->quorum_lease_expires_ms = expires_ms;
}

void
dispatch_set_permits(struct dispatch *dispatch, const char *team_name,
                     uint32_t permits)
{
    struct team *team = dispatch_team(dispatch, team_name);
    team->permits = permits;
    team_update(dispatch, team);
}
