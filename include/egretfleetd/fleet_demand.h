/* Polls the gateways' reports of demand, drained hosts and suspect hosts. */
#ifndef EGRETFLEETD_FLEET_DEMAND_H
#define EGRETFLEETD_FLEET_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "common/fleet_timings.h"
#include "common/ms_clock.h"
#include "store/store.h"

/** struct fleet_demand_options - source and timing of the reports */
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

/** fleet_demand_pool_slots() - sum over all gateways of the slots that a pool
 * needs; false when no gateway has a recent report. */
bool
fleet_demand_pool_slots(const struct fleet_demand *demand, const char *pool,
                        double *slots);

/** fleet_demand_drained() - whether every registered gateway has reported
 * that it starts no tasks on @host and that none of its tasks runs there. */
bool
fleet_demand_drained(const struct fleet_demand *demand, const char *host);

/** fleet_demand_suspect() - whether two gateways, or the only one that
 * reports, report that every task fails on @host. */
bool
fleet_demand_suspect(const struct fleet_demand *demand, const char *host);

#endif
