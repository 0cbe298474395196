/* Settings of egretjobd, read from the file that the platform writes. */
#ifndef PLATFORM_JOB_SETTINGS_H
#define PLATFORM_JOB_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/findings.h"
#include "core/jobs/scheduler.h"
#include "platform/connection_settings.h"

/**
 * struct job_settings - settings of one egretjobd process
 * @node_name: name of this process
 * @data_centre: data centre that it runs in
 * @caller_address: listen address for callers
 * @health_address: listen address of the health check
 * @peer_address: listen address for the other processes of the subsystem
 * @metrics_address: listen address of the metrics
 * @store_address: address of the key-value service
 * @host_api_address: address of the host API
 * @advice_address: address of the placement advice service, or NULL
 * @cores: processor capacity of this host, in cores
 * @stop_grace_ms: time between SIGTERM and SIGKILL
 * @config_age_max_ms: time within which a stored configuration must be active
 * @value_bytes_max: longest value that the store accepts
 * @min_ttl_ms: shortest time to live of a lease that the store grants
 * @timings: time limits of the scheduler
 * @connections: limits of connections to the addresses
 * @policy: features of the scheduler that are switched on
 */
struct job_settings {
    char *node_name;
    char *data_centre;
    char *caller_address;
    char *health_address;
    char *peer_address;
    char *metrics_address;
    char *store_address;
    char *host_api_address;
    char *advice_address;
    double cores;
    int64_t stop_grace_ms;
    int64_t config_age_max_ms;
    size_t value_bytes_max;
    int64_t min_ttl_ms;
    struct sched_timings timings;
    struct connection_settings connections;
    struct sched_policy policy;
};

/** job_settings_read() - read the settings in @path; NULL and findings on an
 * error. */
struct job_settings *
job_settings_read(const char *path, struct findings *findings);
void
job_settings_destroy(struct job_settings *settings);

#endif
