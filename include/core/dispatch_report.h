/* State of a dispatcher that is reported to the fleet controller. */
#ifndef CORE_DISPATCH_REPORT_H
#define CORE_DISPATCH_REPORT_H

#include <stdint.h>

#include "core/dispatch.h"

/**
 * struct dispatch_pool_report - this gateway's current use of one pool
 * @busy_slots: attempts that are running or may still run
 * @queued: waiting tasks
 * @mean_run_ms: observed mean run time, 0 if unknown
 * @min_start_deadline_ms: shortest start deadline of the pool's queues, 0 if
 *                         there are none
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

/** dispatch_report_host_attempts() - attempts on @host_name that are running
 * or may still run. */
uint32_t
dispatch_report_host_attempts(const struct dispatch *dispatch,
                              const char *host_name);

#endif
