/* Scheduling features that a deployment's settings switch on. */
#ifndef CORE_JOBS_SCHED_POLICY_H
#define CORE_JOBS_SCHED_POLICY_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Several tasks of the usual length run in it, and a peak is shorter. */
    SHARE_WINDOW_DEFAULT_MS = 10000,
    SHARE_WINDOW_MIN_MS = 1000,
    SHARE_WINDOW_MAX_MS = 3600000,
};

/**
 * struct sched_policy - features of the scheduler; all off in a zeroed one
 * @account_shares: a full pool is divided between client accounts by their
 *                  weight
 * @share_window_ms: time over which the use of an account is measured; 0:
 *                   SHARE_WINDOW_DEFAULT_MS
 * @queue_priorities: jobs of queues with a higher priority come first in their
 *                    pool and may preempt others
 * @reservations: tasks that small ones would overtake for long get a
 *                reservation
 * @demand_forecast: pools whose demand peaks again and again get hosts before
 *                   the next peak
 */
struct sched_policy {
    bool account_shares;
    int64_t share_window_ms;
    bool queue_priorities;
    bool reservations;
    bool demand_forecast;
};

#endif
