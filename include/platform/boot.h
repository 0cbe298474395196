/* Settings of a process as the platform lays them out. */
#ifndef PLATFORM_BOOT_H
#define PLATFORM_BOOT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/findings.h"
#include "core/jobs/scheduler.h"

/**
 * struct boot - settings of a process
 * @node: name of this process
 * @data_centre: where it runs
 * @front: address for callers
 * @ready: address of the health check
 * @peer: address for other processes of the system
 * @metrics: address of the metrics
 * @store: address of the key-value service
 * @hosts: address of the calls about hosts
 * @advice: address of the service that advises on backend servers, or NULL
 * @cores: processor of this host, in cores
 * @grace_ms: time between SIGTERM and SIGKILL
 * @config_ms: time within which a configuration is in force
 * @timings: bounds for the scheduler
 */
struct boot {
    char *node;
    char *data_centre;
    char *front;
    char *ready;
    char *peer;
    char *metrics;
    char *store;
    char *hosts;
    char *advice;
    double cores;
    int64_t grace_ms;
    int64_t config_ms;
    int64_t min_ttl_ms;
    struct sched_timings timings;
};

/** boot_read() - settings in @path; NULL with findings if they are wrong. */
struct boot *
boot_read(const char *path, struct findings *findings);
void
boot_destroy(struct boot *boot);

#endif
