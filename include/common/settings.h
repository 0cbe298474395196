/* Settings of one process, read from a JSON file at start. */
#ifndef COMMON_SETTINGS_H
#define COMMON_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/findings.h"
#include "common/fleet_timings.h"
#include "common/log.h"

/**
 * struct settings - settings of a process
 * @name: host name for logs and status
 * @dc: data centre the process runs in
 * @address: IP address at which others reach the process
 * @http_port: port for clients and health checks; 0 lets the kernel choose
 * @peer_port: port for links between gateways
 * @store_url: base URL of the platform's key-value service
 * @hosts_url: base URL of the platform's host list
 * @secret_file: file with the secret shared by the project's processes
 * @log_level: least severe level that is logged
 * @quorum_lease_ms: duration of the quorum lease (setting support_ms): how
 *                   long a gateway may start work, counted from when it
 *                   requested its last successful renewal at the store or
 *                   its last grants by a majority of the gateways
 * @heartbeat_ms: interval between heartbeats to peers
 * @store_timeout_ms: deadline of one store call
 * @watch_wait_ms: longest wait of one long-poll request to the store
 * @connect_timeout_ms: deadline of a connection to a backend server
 * @max_header_bytes: largest request header accepted
 * @max_body_bytes: largest request body accepted
 * @max_inflight: limit of concurrent requests on this gateway
 * @max_connections: limit of connections to the HTTP port; half of the
 *                   process's descriptors if that is less
 * @max_buffered_bytes: limit of request and response bodies in memory, of all
 *                      connections to the HTTP port
 * @head_timeout_ms: longest time from the first byte of a request header to
 *                   its last
 * @stall_timeout_ms: longest time without a byte of an incomplete request body
 *                    or of a response that the client does not read
 * @shutdown_ms: longest graceful shutdown
 * @id_retention_ms: how long the outcome of a request id is retained
 * @fleet: times of the fleet controller
 */
struct settings {
    char *name;
    char *dc;
    char *address;
    uint16_t http_port;
    uint16_t peer_port;
    char *store_url;
    char *hosts_url;
    char *secret_file;
    enum log_level log_level;
    int64_t quorum_lease_ms;
    int64_t heartbeat_ms;
    int64_t store_timeout_ms;
    int64_t watch_wait_ms;
    int64_t connect_timeout_ms;
    int64_t max_header_bytes;
    int64_t max_body_bytes;
    uint32_t max_inflight;
    uint32_t max_connections;
    int64_t max_buffered_bytes;
    int64_t head_timeout_ms;
    int64_t stall_timeout_ms;
    int64_t shutdown_ms;
    int64_t id_retention_ms;
    struct fleet_timings fleet;
};

/** settings_read() - read and validate @file; NULL when findings were added.
 */
struct settings *
settings_read(const char *file, struct findings *findings);

void
settings_destroy(struct settings *settings);

/** settings_read_secret() - content of the secret file; NULL with a finding
 * on failure. */
char *
settings_read_secret(const struct settings *settings,
                     struct findings *findings);

#endif
