/* HTTP server of a gateway: callers, other gateways and operators. */
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
 * struct frontend_options - what the server works with
 * @config: configuration in force, or NULL
 * @healthy: whether the balancer may send work here
 * @status: fills the object that operators see
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
    /* Brings gauges up to date before they are shown. */
    void (*refresh)(void *ctx);
    void *ctx;
};

struct frontend;

/** frontend_create() - listen; NULL and @status when that fails. */
struct frontend *
frontend_create(const struct frontend_options *options, struct status *status);
void
frontend_destroy(struct frontend *frontend);

/** frontend_port() - port in use. */
uint16_t
frontend_port(const struct frontend *frontend);

/** frontend_stop_listening() - take no new connections. */
void
frontend_stop_listening(struct frontend *frontend);

#endif
