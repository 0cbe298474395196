/* Limits of the connections to the addresses that egretjobd listens on. */
#ifndef PLATFORM_CONNECTION_SETTINGS_H
#define PLATFORM_CONNECTION_SETTINGS_H

#include <cjson/cJSON.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"
#include "net/http_server.h"

/**
 * struct connection_settings - limits of all addresses together
 * @open_max: connections that may be open
 * @read_ahead_bytes: what is read of a connection ahead of its response
 * @buffered_bytes_max: memory of all requests and unread responses
 * @receive_bytes_max: memory of the kernel for what all connections, also
 *                     those that wait to be accepted, have received and the
 *                     process has not read
 */
struct connection_settings {
    int64_t open_max;
    int64_t read_ahead_bytes;
    int64_t buffered_bytes_max;
    int64_t receive_bytes_max;
};

/** enum listen_address - the addresses, each with its share of the limits */
enum listen_address {
    LISTEN_CALLERS,
    LISTEN_PEERS,
    LISTEN_HEALTH,
    LISTEN_METRICS,
    LISTEN_COUNT,
};

/** connection_settings_read() - read "connections" of the settings @body, with
 * defaults from its "limits"; adds a finding for each bad value. */
void
connection_settings_read(struct connection_settings *settings,
                         const cJSON *body, const char *path,
                         struct findings *findings);

/** connection_settings_bounds() - the share of one address, with fewer
 * connections where each would be left with less than it needs to receive. */
struct http_server_bounds
connection_settings_bounds(const struct connection_settings *settings,
                           enum listen_address address);

#endif
