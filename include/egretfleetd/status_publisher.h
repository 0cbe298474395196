/* Publishes the status of the pools in the store, for operators. */
#ifndef EGRETFLEETD_STATUS_PUBLISHER_H
#define EGRETFLEETD_STATUS_PUBLISHER_H

#include "common/settings.h"
#include "core/fleet_planner.h"
#include "store/store.h"

/** struct status_publisher_options - store and identity to publish with */
struct status_publisher_options {
    const struct settings *settings;
    struct store *store;
    struct ms_clock clock;
};

struct status_publisher;

struct status_publisher *
status_publisher_create(const struct status_publisher_options *options);
void
status_publisher_destroy(struct status_publisher *publisher);

/** status_publisher_update() - publish the reports of @plan when they differ
 * from those published last by this controller. The shortest interval between
 * writes is fixed for each controller, in the range from 34 s to 60 s. */
void
status_publisher_update(struct status_publisher *publisher,
                        const struct fleet_plan *plan);

#endif
