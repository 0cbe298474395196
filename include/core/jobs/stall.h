/*
 * When a run counts as stalled. A backend server that stops everything it runs
 * while it reports itself healthy is found within seconds; a task of hours
 * whose whole percent changes each minute is left alone.
 */
#ifndef CORE_JOBS_STALL_H
#define CORE_JOBS_STALL_H

#include <stdint.h>

/**
 * stall_bound_ms() - how long reports may show the same progress of a run
 * @estimate_ms: run time of its task as declared by the client, 0: none
 * @longest_pause_ms: longest time for which reports showed the same progress
 *                    of this run before it went on
 * @findings: runs of the task that were stopped as stalled; each doubles the
 *            bound, as it may have been wrong
 */
int64_t
stall_bound_ms(int64_t estimate_ms, int64_t longest_pause_ms,
               uint32_t findings);

#endif
