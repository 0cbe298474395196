/* HTTP server of a gateway for callers, other gateways and operators. */
#ifndef EGRETD_FRONTEND_H
#define EGRETD_FRONTEND_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/config.h"
#include "common/counters.h"
#include "common/settings.h"
#include "common/status.h"
#include "egretd/engine.h"

/**
 * struct frontend_options - settings, parts of the gateway and callbacks
 * @config: active configuration, or NULL
 * @healthy: whether the load balancer may send requests to this gateway
 * @status: writes the members of the JSON object at /v1/status
 * @refresh: updates the metrics before they are written
 */
struct frontend_options {
    const struct settings *settings;
    const char *secret;
    struct counters *counters;
    struct engine *engine;
    struct cancel_relay *cancel_relay;
    const struct config *(*config)(void *ctx);
    bool (*healthy)(void *ctx);
    void (*status)(void *ctx, JsonBuilder *builder);
    void (*refresh)(void *ctx);
    void *ctx;
};

struct frontend;

/** frontend_create() - start listening; NULL and @status on failure. */
struct frontend *
frontend_create(const struct frontend_options *options, struct status *status);
void
frontend_destroy(struct frontend *frontend);

/** frontend_port() - port that the server listens on. */
uint16_t
frontend_port(const struct frontend *frontend);

/** frontend_stop_listening() - accept no new connections. */
void
frontend_stop_listening(struct frontend *frontend);

#endif
