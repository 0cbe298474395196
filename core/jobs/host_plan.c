/* Hosts: their present life, moves between pools, and maintenance waves. */
#include "core/jobs/scheduler.h"

#include <string.h>

#include "scheduler_state.h"

void
sched_host_life(struct scheduler *sched, const struct backend *backend)
{
    if (backend->entry.host == NULL) {
        return;
    }
    struct host *host =
        g_hash_table_lookup(sched->hosts, backend->entry.host);
    if (host != NULL && g_strcmp0(host->backend_id, backend->entry.id) != 0) {
        g_free(host->backend_id);
        host->backend_id = g_strdup(backend->entry.id);
        host->up = true;
        host->away_until_ms = 0;
        g_free(host->pool);
        host->pool = g_strdup(backend->entry.pool);
    }
}

void
sched_plan_hosts(struct scheduler *sched)
{
    (void)sched;
}

void
scheduler_hosts_read(struct scheduler *sched, const struct host_fact *hosts,
                     size_t n_hosts)
{
    (void)sched;
    (void)hosts;
    (void)n_hosts;
}

void
scheduler_wave_set(struct scheduler *sched, const struct host_wave *wave)
{
    (void)sched;
    (void)wave;
}

bool
scheduler_wave_done(const struct scheduler *sched, int64_t number)
{
    (void)sched;
    (void)number;
    return false;
}

void
scheduler_on_host_order(struct scheduler *sched, const char *host,
                        int64_t wave, enum host_answer answer)
{
    (void)sched;
    (void)host;
    (void)wave;
    (void)answer;
}
