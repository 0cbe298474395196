/* Staggers the writes of controllers that plan the same action. */
#ifndef CORE_STAGGER_H
#define CORE_STAGGER_H

#include <stdint.h>

/**
 * stagger_delay_ms() - time to wait before carrying out an action
 * @controller: name of this controller
 * @pool: pool that the action concerns
 * @spread_ms: longest delay
 *
 * The delay is a hash of both names: controllers get different delays for a
 * pool, and each one is first for some pools. It only saves store calls; when
 * two controllers write at the same time, compare-and-swap accepts one.
 */
int64_t
stagger_delay_ms(const char *controller, const char *pool, int64_t spread_ms);

#endif
