/* What the fleet controller needs to know of a dispatcher's work. */
#ifndef CORE_DISPATCH_REPORT_H
#define CORE_DISPATCH_REPORT_H

#include <stdint.h>

#include "core/dispatch.h"

/**
 * struct dispatch_pool_report - one pool's use by this gateway now
 * @busy_slots: attempts that are not settled
 * @queued: waiting tasks
 * @mean_run_ms: mean run time observed, 0 for unknown
 * @min_start_deadline_ms: shortest start deadline of the pool's queues, 0 for
 * none
 */
struct dispatch_pool_report {
    const char *pool;
    uint32_t busy_slots;
    uint32_t queued;
    int64_t mean_run_ms;
    int64_t min_start_deadline_ms;
};

/** dispatch_report_pools() - call @each for every configured pool. */
void
dispatch_report_pools(const struct dispatch *dispatch,
                      void (*each)(void *ctx,
                                   const struct dispatch_pool_report *report),
                      void *ctx);

/** dispatch_report_suspect_hosts() - call @each for every host that is ejected
 * or being probed, with the tasks it failed in a row. */
void
dispatch_report_suspect_hosts(const struct dispatch *dispatch,
                              void (*each)(void *ctx, const char *host,
                                           uint32_t failures),
                              void *ctx);

/** dispatch_report_host_attempts() - attempts on @host that are not settled.
 */
uint32_t
dispatch_report_host_attempts(const struct dispatch *dispatch,
                              const char *host);

#endif
