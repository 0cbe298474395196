/* Looks up names once for each configuration, so that passes follow pointers
 * and compare no names. */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

struct team_usage *
sched_team_usage(struct scheduler *sched, const char *team)
{
    struct team_usage *usage = g_hash_table_lookup(sched->team_usage, team);
    if (usage == NULL) {
        usage = g_new0(struct team_usage, 1);
        usage->team = g_strdup(team);
        g_hash_table_insert(sched->team_usage, usage->team, usage);
    }
    return usage;
}

const struct team_config *
sched_team_config(const struct scheduler *sched, struct team_usage *usage)
{
    /* A leader may store jobs before it has read the configuration. */
    if (sched->config == NULL) {
        return NULL;
    }
    if (usage->generation != sched->generation) {
        usage->generation = sched->generation;
        usage->config = fleet_config_team(sched->config, usage->team);
    }
    return usage->config;
}

const struct pool_config *
sched_pool_config(const struct scheduler *sched, struct pool_load *load)
{
    if (sched->config == NULL) {
        return NULL;
    }
    if (load->generation != sched->generation) {
        load->generation = sched->generation;
        load->config = fleet_config_pool(sched->config, load->pool);
    }
    return load->config;
}

void
sched_job_refs(struct scheduler *sched, struct job *job)
{
    struct job_refs *refs = &job->refs;
    if (refs->generation == sched->generation && refs->generation != 0) {
        return;
    }
    refs->generation = sched->generation;
    refs->queue = sched->config == NULL
                      ? NULL
                      : fleet_config_queue(sched->config, job->queue);
    /* The queue may have been removed since the job was submitted. */
    const char *pool = refs->queue == NULL ? job->pool : refs->queue->pool;
    refs->pool = pool == NULL ? NULL : sched_pool_load(sched, pool);
    refs->team = sched_team_usage(sched, job->team);
    refs->account = NULL;
    refs->backlog = 0;
}

static void
rack_free(void *data)
{
    g_ptr_array_unref(data);
}

void
sched_backend_refs_clear(struct backend *backend)
{
    if (backend->pool != NULL) {
        pool_index_remove(&backend->pool->index, backend);
        backend->pool = NULL;
    }
    if (backend->rack != NULL) {
        g_ptr_array_remove_fast(backend->rack, backend);
        backend->rack = NULL;
    }
}

void
sched_backend_refs(struct scheduler *sched, struct backend *backend)
{
    sched_backend_refs_clear(backend);
    backend->pool = sched_pool_load(sched, backend->entry.pool);
    if (sched->racks == NULL) {
        sched->racks =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, rack_free);
    }
    const char *name = backend_rack(backend);
    backend->rack = g_hash_table_lookup(sched->racks, name);
    if (backend->rack == NULL) {
        backend->rack = g_ptr_array_new();
        g_hash_table_insert(sched->racks, g_strdup(name), backend->rack);
    }
    g_ptr_array_add(backend->rack, backend);
}
