/* Callers' requests, health check and metrics. */
#ifndef EGRETJOBD_FRONT_H
#define EGRETJOBD_FRONT_H

#include "core/jobs/fleet_config.h"
#include "egretjobd/node.h"

/** front_create() - listen for callers; NULL if an address can't be had. */
struct front *
front_create(struct node *node);
void
front_destroy(struct front *front);

/** front_config_changed() - put the bounds of requests in force. */
void
front_config_changed(struct front *front, const struct fleet_config *config);

/** front_leave() - fail the health check and finish what is open. */
void
front_leave(struct front *front);

/** front_idle() - whether no request is open. */
bool
front_idle(const struct front *front);

#endif
