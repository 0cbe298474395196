/* Publishes the pools' status for operators. */
#ifndef EGRETFLEETD_STATUS_PUBLISHER_H
#define EGRETFLEETD_STATUS_PUBLISHER_H

#include "common/settings.h"
#include "core/fleet_planner.h"
#include "store/store.h"

/** struct status_publisher_options - where to publish */
struct status_publisher_options {
    const struct settings *settings;
    struct store *store;
    struct ms_clock clock;
};

struct status_publisher;

struct status_publisher *
status_publisher_create(const struct status_publisher_options *options);
void
status_publisher_destroy(struct status_publisher *record);

/** status_publisher_update() - publish the reports of @plan when they differ
 * from what stands in the store and no controller has published lately. */
void
status_publisher_update(struct status_publisher *record,
                        const struct fleet_plan *plan);

#endif
