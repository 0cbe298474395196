/* Times of the fleet controller, the "fleet" object of its settings. */
#ifndef COMMON_FLEET_TIMINGS_H
#define COMMON_FLEET_TIMINGS_H

#include <stdint.h>

#include "common/json_read.h"

/**
 * struct fleet_timings - intervals and timeouts of the controller's decisions
 * @tick_ms: interval between planning passes
 * @stagger_max_ms: longest delay of a step, which lets another controller
 *                  carry it out first
 * @list_stale_ms: age of the host list above which nothing is decided
 * @demand_poll_ms: interval between reads of the gateways' demand
 * @demand_stale_ms: age above which a gateway's demand is ignored
 * @drain_margin_ms: time after writing "draining" until no gateway starts work
 *                   on the host any more
 * @fail_after_ms: time unhealthy after which a host is recorded as failed
 * @recovery_ms: time healthy after which a returning host counts as available
 * @reboot_timeout_ms: longest reboot
 * @suspect_hold_ms: time a healthy host that failed all its tasks stays out of
 *                   service before it is rebooted
 * @wave_skip_ms: time failed or unhealthy after which a maintenance wave may
 *                complete without the host
 * @load_wait_max_ms: longest time a maintenance wave waits for lower demand;
 *                    after that it disrupts one host of the pool at a time
 * @surplus_hold_ms: time a pool must have surplus hosts before it releases one
 * @demand_smoothing_ms: time constant of the moving average of the demand
 * @record_retention_ms: time after which data of a missing host is removed:
 *                       the record of a host that is failed for so long and
 *                       not in the host list, and a disruption entry of this
 *                       age without a host record
 *
 * The names of the members in the settings are listed in fleet_timings.c.
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

/** fleet_timings_default() - default times, for a fleet of real hosts. */
struct fleet_timings
fleet_timings_default(void);

/** fleet_timings_read() - the object at @place; absent members keep their
 * default. */
struct fleet_timings
fleet_timings_read(const struct json_place *place);

#endif
