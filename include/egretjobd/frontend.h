/* HTTP servers for callers' requests, the health check and metrics. */
#ifndef EGRETJOBD_FRONTEND_H
#define EGRETJOBD_FRONTEND_H

#include "core/jobs/fleet_config.h"
#include "egretjobd/node.h"

/** frontend_create() - start listening; NULL if an address can't be bound. */
struct frontend *
frontend_create(struct node *node);
void
frontend_destroy(struct frontend *frontend);

/** frontend_config_changed() - apply the request limits of @config. */
void
frontend_config_changed(struct frontend *frontend,
                        const struct fleet_config *config);

/** frontend_begin_shutdown() - close each caller's connection after its next
 * reply. The health check fails once the node is stopping. */
void
frontend_begin_shutdown(struct frontend *frontend);

/** frontend_idle() - whether no request is open. */
bool
frontend_idle(const struct frontend *frontend);

#endif
