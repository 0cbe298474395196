/*
 * Which new jobs are refused where client accounts share a pool or queues have
 * priorities.
 *
 * Load pattern: one account floods a pool in which another sends small jobs. A
 * new job waits for the backlog of its own account and of higher priorities,
 * and for other accounts no longer than their weights entitle them to.
 */
#include "core/jobs/scheduler.h"

#include "common/text.h"
#include "core/jobs/admission.h"
#include "scheduler_state.h"

int64_t
sched_team_weight(const struct scheduler *sched, struct team_usage *team)
{
    const struct team_config *config = sched_team_config(sched, team);
    return config == NULL ? 0 : MAX(config->weight, 0);
}

int64_t
sched_share_priority(const struct scheduler *sched,
                     const struct queue_config *queue)
{
    return sched->policy.queue_priorities && queue != NULL ? queue->priority
                                                           : 0;
}

void
sched_share_add_capacity(const struct scheduler *sched,
                         const struct backend *backend)
{
    if (sched->policy.account_shares) {
        struct pool_shares *shares = &backend->pool->shares;
        resources_add(&shares->capacity, &backend->entry.capacity, 1);
        resources_add(&shares->free, &backend->entry.capacity, 1);
        resources_add(&shares->free, &backend->used, -1);
    }
}

void
sched_share_reset(struct scheduler *sched, struct pool_load *pool)
{
    pool->shares.capacity = (struct resources){0};
    pool->shares.free = (struct resources){0};
    for (guint i = 0;
         pool->shares.backlogs != NULL && i < pool->shares.backlogs->len;
         i++) {
        struct share_backlog *backlog =
            &g_array_index(pool->shares.backlogs, struct share_backlog, i);
        /* A configuration may have changed the weight. */
        backlog->weight = (double)sched_team_weight(
            sched, (struct team_usage *)backlog->account);
        backlog->attainable_millicore_ms = 0;
        backlog->late_millicore_ms = 0;
    }
}

/* Position in the backlogs of its pool for the account and priority of @job,
 * plus one. */
static uint32_t
find_backlog(const struct scheduler *sched, const struct job *job)
{
    struct pool_load *pool = job->refs.pool;
    int64_t priority = sched_share_priority(sched, job->refs.queue);
    if (pool->shares.backlogs == NULL) {
        pool->shares.backlogs =
            g_array_new(FALSE, FALSE, sizeof(struct share_backlog));
    }
    for (guint i = 0; i < pool->shares.backlogs->len; i++) {
        const struct share_backlog *backlog =
            &g_array_index(pool->shares.backlogs, struct share_backlog, i);
        if (backlog->account == job->refs.team &&
            backlog->priority == priority) {
            return i + 1;
        }
    }
    struct share_backlog backlog = {
        .account = job->refs.team,
        .priority = priority,
        .weight = (double)sched_team_weight(sched, job->refs.team),
    };
    g_array_append_val(pool->shares.backlogs, backlog);
    return pool->shares.backlogs->len;
}

void
sched_share_add_backlog(struct scheduler *sched, struct job *job,
                        double millicore_ms, bool attainable)
{
    if (!sched->policy.account_shares && !sched->policy.queue_priorities) {
        return;
    }
    if (job->refs.backlog == 0) {
        job->refs.backlog = find_backlog(sched, job);
    }
    struct share_backlog *backlog =
        &g_array_index(job->refs.pool->shares.backlogs, struct share_backlog,
                       job->refs.backlog - 1);
    if (attainable) {
        backlog->attainable_millicore_ms += millicore_ms;
    }
    else {
        backlog->late_millicore_ms += millicore_ms;
    }
}

static bool
has_work(const struct share_backlog *backlog)
{
    return backlog->attainable_millicore_ms > 0 ||
           backlog->late_millicore_ms > 0;
}

/* Whether some account with work in @pool has a weight. */
static bool
pool_is_weighted(const struct scheduler *sched, const struct pool_load *pool)
{
    for (guint i = 0;
         sched->policy.account_shares && pool->shares.backlogs != NULL &&
         i < pool->shares.backlogs->len;
         i++) {
        const struct share_backlog *backlog =
            &g_array_index(pool->shares.backlogs, struct share_backlog, i);
        if (backlog->weight > 0 && has_work(backlog)) {
            return true;
        }
    }
    return false;
}

double
sched_share_late_millicore_ms(const struct scheduler *sched,
                              const struct pool_load *pool)
{
    double late = 0;
    if (!sched->policy.queue_priorities && !pool_is_weighted(sched, pool)) {
        return late;
    }
    for (guint i = 0;
         pool->shares.backlogs != NULL && i < pool->shares.backlogs->len;
         i++) {
        late += g_array_index(pool->shares.backlogs, struct share_backlog, i)
                    .late_millicore_ms;
    }
    return late;
}

/* Work that comes before a new job of this priority without shares. */
static double
backlog_by_priority(const struct pool_load *pool, int64_t priority)
{
    double sum = 0;
    for (guint i = 0;
         pool->shares.backlogs != NULL && i < pool->shares.backlogs->len;
         i++) {
        const struct share_backlog *backlog =
            &g_array_index(pool->shares.backlogs, struct share_backlog, i);
        if (backlog->priority <= priority) {
            sum += backlog->attainable_millicore_ms;
        }
        if (backlog->priority < priority) {
            sum += backlog->late_millicore_ms;
        }
    }
    return sum;
}

static double
backlog_before(const struct scheduler *sched, const struct pool_load *pool,
               const struct queue_config *queue, const struct job *job)
{
    const char *team = job->team == NULL ? "" : job->team;
    const struct team_config *config = fleet_config_team(sched->config, team);
    struct share_backlog own = {
        .account = g_hash_table_lookup(sched->team_usage, team),
        .priority = sched_share_priority(sched, queue),
        .weight = config == NULL ? 0 : (double)MAX(config->weight, 0),
    };
    if (sched->policy.account_shares &&
        (own.weight > 0 || pool_is_weighted(sched, pool))) {
        return pool->shares.backlogs == NULL
                   ? 0
                   : share_delay_millicore_ms((const struct share_backlog *)
                                                  pool->shares.backlogs->data,
                                              pool->shares.backlogs->len, &own,
                                              (double)job_millicore_ms(job));
    }
    return sched->policy.queue_priorities
               ? backlog_by_priority(pool, own.priority)
               : pool->backlog_millicore_ms;
}

int64_t
sched_share_refusal_ms(struct scheduler *sched, const struct pool_load *pool,
                       const struct queue_config *queue, const struct job *job)
{
    struct admission_input input = {
        .backlog_millicore_ms = pool->backlog_millicore_ms,
        .rate_milli = sched_working_milli(sched, pool),
        .critical_path_ms = job_critical_path_ms(job),
    };
    input.objective_ms =
        (int64_t)(queue->deadline_factor * (double)input.critical_path_ms) +
        queue->objective_ms;
    bool refused_before = admission_retry_after_ms(&input) > 0;
    input.backlog_millicore_ms = backlog_before(sched, pool, queue, job);
    int64_t retry_after_ms = admission_retry_after_ms(&input);
    sched->stats.share_accepted += refused_before && retry_after_ms == 0;
    sched->stats.share_refused += !refused_before && retry_after_ms > 0;
    if (refused_before != (retry_after_ms > 0)) {
        sched_log_event(sched, "share_admission",
                        "\"pool\":%s,\"queue\":%s,\"account\":%s,"
                        "\"wait_ms\":%" G_GINT64_FORMAT
                        ",\"retry_after_ms\":%" G_GINT64_FORMAT,
                        text_quote(pool->pool), text_quote(queue->name),
                        text_quote(job->team == NULL ? "" : job->team),
                        admission_wait_ms(&input), retry_after_ms);
    }
    return retry_after_ms;
}
