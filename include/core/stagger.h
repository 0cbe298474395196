/* Which of several controllers acts first. */
#ifndef CORE_STAGGER_H
#define CORE_STAGGER_H

#include <stdint.h>

/**
 * stagger_delay_ms() - time to leave a step to others before acting
 * @controller: own name
 * @pool: what the step is about
 * @spread_ms: longest delay
 *
 * Controllers get different delays for a pool, and each comes first for some
 * pools. Nothing but store calls depends on it: a step that two controllers
 * take at once is decided by compare-and-swap.
 */
int64_t
stagger_delay_ms(const char *controller, const char *pool, int64_t spread_ms);

#endif
