/* Delays of the fleet controller, the "fleet" object of its settings. */
#ifndef COMMON_FLEET_TIMINGS_H
#define COMMON_FLEET_TIMINGS_H

#include <stdint.h>

#include "common/json_read.h"

/**
 * struct fleet_timings - delays of the controller's decisions
 * @tick_ms: interval between planning passes
 * @stagger_max_ms: longest time a controller leaves a step to another one
 * @list_stale_ms: age of the host list above which nothing is decided
 * @demand_poll_ms: interval between reads of the gateways' demand
 * @demand_stale_ms: age above which a gateway's demand doesn't count
 * @drain_margin_ms: time from writing "draining" until no gateway starts
 *                   anything there any more
 * @fail_after_ms: time unhealthy after which a host is recorded as failed
 * @recovery_ms: time healthy after which a returning host counts as available
 * @reboot_timeout_ms: longest reboot
 * @suspect_hold_ms: time a host that failed all its tasks stays out
 * @wave_skip_ms: time failed after which a wave ends without a host
 * @load_wait_max_ms: longest time a wave waits for a queue to become quiet
 * @surplus_hold_ms: time a pool has to be too large before it gives a host
 * back
 * @demand_smoothing_ms: time constant of the demand's moving average
 * @record_retention_ms: time a failed host has to be off the list before its
 * record is removed
 */
struct fleet_timings {
    int64_t tick_ms;
    int64_t stagger_max_ms;
    int64_t list_stale_ms;
    int64_t demand_poll_ms;
    int64_t demand_stale_ms;
    int64_t drain_margin_ms;
    int64_t fail_after_ms;
    int64_t recovery_ms;
    int64_t reboot_timeout_ms;
    int64_t suspect_hold_ms;
    int64_t wave_skip_ms;
    int64_t load_wait_max_ms;
    int64_t surplus_hold_ms;
    int64_t demand_smoothing_ms;
    int64_t record_retention_ms;
};

/** fleet_timings_default() - delays for a fleet of real hosts. */
struct fleet_timings
fleet_timings_default(void);

/** fleet_timings_read() - the object at @place; absent members keep their
 * default. */
struct fleet_timings
fleet_timings_read(const struct json_place *place);

#endif
