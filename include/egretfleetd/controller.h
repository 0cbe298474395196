/* The fleet controller: reads the stored records, plans and writes. */
#ifndef EGRETFLEETD_CONTROLLER_H
#define EGRETFLEETD_CONTROLLER_H

#include "common/settings.h"
#include "common/status.h"

struct controller;

struct controller *
controller_create(const struct settings *settings, const char *secret);
void
controller_destroy(struct controller *controller);

/** controller_run() - run until controller_stop(). Returns false and sets
 * @status when a component doesn't start. */
bool
controller_run(struct controller *controller, struct status *status);

/** controller_stop() - make controller_run() return. Writes in progress may
 * still take effect; each is a single compare-and-swap. */
void
controller_stop(struct controller *controller);

#endif
