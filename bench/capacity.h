/* Shared declarations of the capacity benchmark. */
#ifndef BENCH_CAPACITY_H
#define BENCH_CAPACITY_H

#include <stdint.h>

#include "../tests/process/process_fleet.h"

enum {
    CAPACITY_KEYS_PER_TEAM = 3,
};

/** struct capacity_size - size of a fleet, with 7 data centres at any size */
struct capacity_size {
    uint32_t teams;
    uint32_t hosts;
    uint32_t pools;
};

/** capacity_config() - generate a configuration of @size; the caller frees it.
 */
char *
capacity_config(const struct capacity_size *size);

/** capacity_hosts() - generate a host list of @size, of which the first
 * @failing hosts fail their health check; the caller frees it. */
char *
capacity_hosts(const struct capacity_size *size, uint32_t failing);

/**
 * struct capacity_daemon - a daemon to measure
 * @route: name of its proxy route to the store
 * @peer_ports: peer ports of all @n_peers gateways; none for a controller
 */
struct capacity_daemon {
    const char *pid;
    char route[32];
    const uint16_t *peer_ports;
    uint32_t n_peers;
};

/**
 * struct capacity_usage - resources that a daemon has used since its start
 * @cpu_ms: from /proc/PID/stat
 * @rss_kb: VmRSS of /proc/PID/status
 * @peak_kb: VmHWM of /proc/PID/status
 * @store_in_bytes: received from the store, as counted by the proxy
 * @store_out_bytes: sent to the store, as counted by the proxy
 * @peer_in_bytes: received on the links between gateways, from TCP_INFO
 * @peer_out_bytes: sent on the links between gateways, from TCP_INFO
 */
struct capacity_usage {
    int64_t cpu_ms;
    int64_t rss_kb;
    int64_t peak_kb;
    int64_t store_in_bytes;
    int64_t store_out_bytes;
    int64_t peer_in_bytes;
    int64_t peer_out_bytes;
};

/** capacity_usage_read() - read the resource usage of @daemon. */
struct capacity_usage
capacity_usage_read(struct fleet *fleet, const struct capacity_daemon *daemon);

/** capacity_usage_bytes() - sum of all bytes, in both directions. */
int64_t
capacity_usage_bytes(const struct capacity_usage *usage);

/** capacity_route_bytes() - bytes through @route of the proxy, in both
 * directions. */
int64_t
capacity_route_bytes(struct fleet *fleet, const char *route);

/** struct capacity_calls - calls that the store has served, by kind */
struct capacity_calls {
    int64_t gets;
    int64_t watches;
    int64_t puts;
    int64_t deletes;
    int64_t hosts;
    int64_t bytes;
};

/** capacity_state_bytes() - total size of the values below @prefix in the
 * store, and the size of the largest one. */
int64_t
capacity_state_bytes(struct fleet *fleet, const char *prefix,
                     int64_t *largest_bytes);

/** capacity_read_calls() - read the statistics of the store. */
struct capacity_calls
capacity_read_calls(struct fleet *fleet);

#endif
