/* Publishes this gateway's demand on each pool, the hosts that it sees
 * draining and those that failed tasks, for the fleet controllers. */
#ifndef EGRETD_DEMAND_H
#define EGRETD_DEMAND_H

#include "common/settings.h"
#include "egretd/engine.h"
#include "egretd/host_view.h"
#include "store/store.h"

struct demand_options {
    const struct settings *settings;
    struct store *store;
    struct engine *engine;
    struct host_view *hosts;
};

struct demand;

struct demand *
demand_create(const struct demand_options *options);
void
demand_destroy(struct demand *demand);

#endif
