/* HTTP server for health checks, metrics and the status of the fleet. */
#ifndef EGRETFLEETD_FLEET_STATUS_H
#define EGRETFLEETD_FLEET_STATUS_H

#include "common/counters.h"
#include "common/settings.h"
#include "common/status.h"
#include "core/fleet_planner.h"

/**
 * struct fleet_status_options - sources of the responses
 * @secret: secret that requests for /v1/fleet are authenticated with
 * @ready: whether the first plan exists, for /healthz
 * @build: adds the members of the JSON object at /v1/fleet
 * @refresh: called to update @counters before they are rendered
 * @ctx: passed to the callbacks
 */
struct fleet_status_options {
    const struct settings *settings;
    const char *secret;
    struct counters *counters;
    bool (*ready)(void *ctx);
    void (*build)(void *ctx, JsonBuilder *builder);
    void (*refresh)(void *ctx);
    void *ctx;
};

struct fleet_status;

/** fleet_status_create() - serve /healthz, /metrics and /v1/fleet; NULL and
 * @status when it can't listen on the port. */
struct fleet_status *
fleet_status_create(const struct fleet_status_options *options,
                    struct status *status);
void
fleet_status_destroy(struct fleet_status *self);

/** fleet_status_port() - port that it listens on. */
uint16_t
fleet_status_port(const struct fleet_status *self);

/** fleet_status_add_pool() - add the members of one pool's JSON object. */
void
fleet_status_add_pool(JsonBuilder *builder,
                      const struct fleet_pool_report *report);

/** fleet_status_add_wave() - add one maintenance wave as a JSON object. */
void
fleet_status_add_wave(JsonBuilder *builder, const struct wave_record *wave);

#endif
