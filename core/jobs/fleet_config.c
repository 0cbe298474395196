#include "core/jobs/fleet_config.h"

#include <string.h>

static void
team_destroy(void *data)
{
    struct team_config *team = data;
    g_free(team->name);
    g_strfreev(team->keys);
    g_free(team);
}

static void
queue_destroy(void *data)
{
    struct queue_config *queue = data;
    g_free(queue->name);
    g_free(queue->host);
    g_free(queue->prefix);
    g_free(queue->pool);
    g_free(queue);
}

static void
pool_destroy(void *data)
{
    struct pool_config *pool = data;
    g_free(pool->name);
    g_free(pool);
}

struct fleet_config *
fleet_config_create(void)
{
    struct fleet_config *config = g_new0(struct fleet_config, 1);
    config->teams = g_ptr_array_new_with_free_func(team_destroy);
    config->queues = g_ptr_array_new_with_free_func(queue_destroy);
    config->pools = g_ptr_array_new_with_free_func(pool_destroy);
    config->unusable = g_ptr_array_new_with_free_func(g_free);
    config->queues_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    return config;
}

void
fleet_config_destroy(struct fleet_config *config)
{
    if (config == NULL) {
        return;
    }
    g_hash_table_unref(config->queues_by_name);
    g_ptr_array_unref(config->teams);
    g_ptr_array_unref(config->queues);
    g_ptr_array_unref(config->pools);
    g_ptr_array_unref(config->unusable);
    g_free(config);
}

const struct queue_config *
fleet_config_match(const struct fleet_config *config, const char *host,
                   const char *path)
{
    const struct queue_config *best = NULL;
    size_t best_bytes = 0;
    for (guint i = 0; i < config->queues->len; i++) {
        const struct queue_config *queue =
            g_ptr_array_index(config->queues, i);
        size_t bytes = strlen(queue->prefix);
        if (bytes < best_bytes || g_ascii_strcasecmp(queue->host, host) != 0) {
            continue;
        }
        if (strncmp(path, queue->prefix, bytes) == 0) {
            best = queue;
            best_bytes = bytes;
        }
    }
    return best;
}

/* A configuration may hold thousands of queues, and every pass over the
 * waiting jobs looks up theirs. */
static void
index_queues(struct fleet_config *config)
{
    g_hash_table_remove_all(config->queues_by_name);
    for (guint i = 0; i < config->queues->len; i++) {
        struct queue_config *queue = g_ptr_array_index(config->queues, i);
        g_hash_table_insert(config->queues_by_name, queue->name, queue);
    }
}

const struct queue_config *
fleet_config_queue(const struct fleet_config *config, const char *name)
{
    if (g_hash_table_size(config->queues_by_name) != config->queues->len) {
        index_queues((struct fleet_config *)config);
    }
    return g_hash_table_lookup(config->queues_by_name, name);
}

const struct pool_config *
fleet_config_pool(const struct fleet_config *config, const char *name)
{
    for (guint i = 0; i < config->pools->len; i++) {
        const struct pool_config *pool = g_ptr_array_index(config->pools, i);
        if (strcmp(pool->name, name) == 0) {
            return pool;
        }
    }
    return NULL;
}

const struct team_config *
fleet_config_team(const struct fleet_config *config, const char *name)
{
    for (guint i = 0; i < config->teams->len; i++) {
        const struct team_config *team = g_ptr_array_index(config->teams, i);
        if (strcmp(team->name, name) == 0) {
            return team;
        }
    }
    return NULL;
}

const struct team_config *
fleet_config_key_owner(const struct fleet_config *config, const char *key)
{
    for (guint i = 0; i < config->teams->len; i++) {
        const struct team_config *team = g_ptr_array_index(config->teams, i);
        for (char **k = team->keys; k != NULL && *k != NULL; k++) {
            if (strcmp(*k, key) == 0) {
                return team;
            }
        }
    }
    return NULL;
}

const struct pool_config *
fleet_config_spare(const struct fleet_config *config)
{
    for (guint i = 0; i < config->pools->len; i++) {
        const struct pool_config *pool = g_ptr_array_index(config->pools, i);
        if (pool->spare) {
            return pool;
        }
    }
    return NULL;
}
