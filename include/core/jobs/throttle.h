/* How much of their speed filling tasks may use beside serving ones. */
#ifndef CORE_JOBS_THROTTLE_H
#define CORE_JOBS_THROTTLE_H

#include <stdint.h>

/**
 * struct pace - controller of one backend server; zero is its start
 * @cpu_limit_percent: share of their speed that filling tasks may use, in
 * percent
 * @ceiling_percent: cpu_limit_percent at which tails were last too long; 0:
 * none is known
 * @ceiling_until_ms: how long it is remembered
 * @changed_ms: when @cpu_limit_percent last changed; 0: it has no
 * cpu_limit_percent yet
 * @below_target_since_ms: since when the tails are well below their bounds; 0:
 * are not
 */
struct throttle {
    int32_t cpu_limit_percent;
    int32_t ceiling_percent;
    int64_t ceiling_until_ms;
    int64_t changed_ms;
    int64_t below_target_since_ms;
};

/**
 * throttle_update() - next cpu_limit_percent
 * @worst: longest tail of a serving task as a share of its bound
 * @now_ms: time of the sample
 *
 * Return: the cpu_limit_percent from now on, 0 to 100.
 */
int32_t
throttle_update(struct throttle *throttle, double worst, int64_t now_ms);

#endif
