/* What gateways report of pools and hosts. */
#ifndef EGRETFLEETD_FLEET_DEMAND_H
#define EGRETFLEETD_FLEET_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "common/fleet_timings.h"
#include "common/ms_clock.h"
#include "store/store.h"

/** struct fleet_demand_options - where the reports are read from */
struct fleet_demand_options {
    struct store *store;
    struct fleet_timings timings;
    struct ms_clock clock;
};

struct fleet_demand;

struct fleet_demand *
fleet_demand_create(const struct fleet_demand_options *options);
void
fleet_demand_destroy(struct fleet_demand *demand);

/** fleet_demand_pool_slots() - slots that a pool's work asks for; false when
 * no gateway has reported lately. */
bool
fleet_demand_pool_slots(const struct fleet_demand *demand, const char *pool,
                        double *slots);

/** fleet_demand_drained() - whether every registered gateway has reported
 * that it starts nothing on @host and that none of its tasks runs there. */
bool
fleet_demand_drained(const struct fleet_demand *demand, const char *host);

/** fleet_demand_suspect() - whether two gateways, or the only one, report
 * that @host fails everything. */
bool
fleet_demand_suspect(const struct fleet_demand *demand, const char *host);

#endif
