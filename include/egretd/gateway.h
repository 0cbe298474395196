/* The gateway process: starts its parts in order and shuts them down. */
#ifndef EGRETD_GATEWAY_H
#define EGRETD_GATEWAY_H

#include <glib.h>

#include "common/settings.h"
#include "common/status.h"

struct gateway;

/** gateway_create() - create without starting; @settings and @secret must
 * outlive the gateway. */
struct gateway *
gateway_create(const struct settings *settings, const char *secret);
void
gateway_destroy(struct gateway *gateway);

/** gateway_run() - start and serve until a shutdown ends; false with @status
 * set if the start fails. */
bool
gateway_run(struct gateway *gateway, struct status *status);

/** gateway_shutdown() - shut down gracefully: fail the health check, stop
 * accepting and finish requests, return permits, exit. A second call exits at
 * once. */
void
gateway_shutdown(struct gateway *gateway);

#endif
