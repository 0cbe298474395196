/* Callers' requests, health check and metrics. */
#ifndef EGRETJOBD_FRONTEND_H
#define EGRETJOBD_FRONTEND_H

#include "core/jobs/fleet_config.h"
#include "egretjobd/node.h"

/** frontend_create() - listen for callers; NULL if an address can't be had. */
struct frontend *
frontend_create(struct node *node);
void
frontend_destroy(struct frontend *frontend);

/** frontend_config_changed() - put the bounds of requests in force. */
void
frontend_config_changed(struct frontend *frontend,
                        const struct fleet_config *config);

/** frontend_begin_shutdown() - fail the health check and finish what is open.
 */
void
frontend_begin_shutdown(struct frontend *frontend);

/** frontend_idle() - whether no request is open. */
bool
frontend_idle(const struct frontend *frontend);

#endif
