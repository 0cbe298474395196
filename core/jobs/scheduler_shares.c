/* Shares of client accounts in a full pool, applied to the scheduler's jobs.
 */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

void
sched_share_order(struct scheduler *sched, struct pool_load *pool)
{
    (void)sched;
    (void)pool;
}

int64_t
sched_share_refusal_ms(struct scheduler *sched, const struct pool_load *pool,
                       const struct queue_config *queue, const struct job *job)
{
    (void)sched;
    (void)pool;
    (void)queue;
    (void)job;
    return 0;
}
