/* How much of their speed filling tasks may use beside serving ones. */
#ifndef CORE_JOBS_PACE_H
#define CORE_JOBS_PACE_H

#include <stdint.h>

/**
 * struct pace - controller of one backend server; zero is its start
 * @level: share of their speed that filling tasks may use, in percent
 * @ceiling: level at which tails were last too long; 0: none is known
 * @ceiling_until_ms: how long it is remembered
 * @changed_ms: when @level last changed; 0: it has no level yet
 * @calm_since_ms: since when the tails are well below their bounds; 0: are not
 */
struct pace {
    int32_t level;
    int32_t ceiling;
    int64_t ceiling_until_ms;
    int64_t changed_ms;
    int64_t calm_since_ms;
};

/**
 * pace_step() - next level
 * @worst: longest tail of a serving task as a share of its bound
 * @now_ms: time of the sample
 *
 * Return: the level from now on, 0 to 100.
 */
int32_t
pace_step(struct pace *pace, double worst, int64_t now_ms);

#endif
