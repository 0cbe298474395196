/* Status and metrics of a gateway. */
#ifndef EGRETD_GATEWAY_STATUS_H
#define EGRETD_GATEWAY_STATUS_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counters.h"
#include "common/settings.h"
#include "core/dispatch.h"
#include "egretd/peers.h"
#include "egretd/registration.h"
#include "store/store.h"

/**
 * struct gateway_snapshot - state of the gateway at @now_ms
 * @incarnation, @members, @n_members, @epoch: registration; unset without a
 *                                             membership
 * @generation, @config_id: of the active configuration
 * @quorum_lease_expires_ms: end of the quorum lease
 * @inflight: requests without an answer
 */
struct gateway_snapshot {
    const struct settings *settings;
    const char *incarnation;
    uint64_t generation;
    const char *config_id;
    uint64_t epoch;
    const struct gateway_member *members;
    size_t n_members;
    int64_t now_ms;
    int64_t quorum_lease_expires_ms;
    uint32_t inflight;
    bool draining;
    struct store_stats store;
    struct peers_stats peers;
};

/** gateway_status_build() - write the members of the JSON object at
 * /v1/status. */
void
gateway_status_build(const struct gateway_snapshot *snapshot,
                     struct dispatch *dispatch, JsonBuilder *builder);

/** gateway_status_set_metrics() - set the values shown at /metrics. */
void
gateway_status_set_metrics(const struct gateway_snapshot *snapshot,
                           struct counters *counters);

#endif
