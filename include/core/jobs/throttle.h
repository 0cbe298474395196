/* CPU limit of best-effort tasks that run beside latency-sensitive ones. */
#ifndef CORE_JOBS_THROTTLE_H
#define CORE_JOBS_THROTTLE_H

#include <stdint.h>

/**
 * struct throttle - controller of one backend server, initially zero
 * @cpu_limit_percent: CPU limit of best-effort tasks, in percent of full speed
 * @ceiling_percent: limit at which tail latencies were last too long; 0:
 *                   unknown
 * @ceiling_until_ms: when @ceiling_percent expires
 * @changed_ms: when @cpu_limit_percent last changed; 0: it was never set
 * @below_target_since_ms: since when tail latencies have been well below their
 *                         targets; 0: they are not
 */
struct throttle {
    int32_t cpu_limit_percent;
    int32_t ceiling_percent;
    int64_t ceiling_until_ms;
    int64_t changed_ms;
    int64_t below_target_since_ms;
};

/**
 * throttle_update() - compute the next CPU limit
 * @worst_ratio: highest ratio of a latency-sensitive task's tail latency to
 *               its target
 * @now_ms: time of the sample
 *
 * Return: CPU limit from now on, 0 to 100 percent.
 */
int32_t
throttle_update(struct throttle *throttle, double worst_ratio, int64_t now_ms);

#endif
