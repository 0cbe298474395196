/* TCP proxy that injects network faults. */
#ifndef STANDINS_PROXY_H
#define STANDINS_PROXY_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/random.h"

/**
 * enum proxy_kill_point - when a connection is closed
 * @PROXY_KILL_NONE: never
 * @PROXY_KILL_BEFORE: before the first byte of a request is forwarded
 * @PROXY_KILL_DURING: after half of a chunk of the request is forwarded
 * @PROXY_KILL_AFTER: after a chunk of the request is forwarded, before the
 *                    response
 * @PROXY_KILL_RESPONSE: after half of a chunk of the response is forwarded
 * @PROXY_KILL_ANY: at one of these points, at random
 */
enum proxy_kill_point {
    PROXY_KILL_NONE,
    PROXY_KILL_BEFORE,
    PROXY_KILL_DURING,
    PROXY_KILL_AFTER,
    PROXY_KILL_RESPONSE,
    PROXY_KILL_ANY,
};

/**
 * struct proxy_faults - injected faults of a route
 * @refuse: close new connections at once
 * @hold: accept new connections, but never connect them to the target
 * @drop_up: discard all bytes to the target
 * @drop_down: discard all bytes from the target
 * @kill: when connections are closed
 * @kill_permille: probability of @kill for each chunk to the target
 * @delay_ms: delay of every chunk
 * @truncate_bytes: close connections after this many bytes from the target;
 *                  0 for no limit
 * @bytes_per_s: bandwidth of each direction; 0 for no limit
 */
struct proxy_faults {
    bool refuse;
    bool hold;
    bool drop_up;
    bool drop_down;
    enum proxy_kill_point kill;
    uint32_t kill_permille;
    int64_t delay_ms;
    int64_t truncate_bytes;
    int64_t bytes_per_s;
};

/**
 * struct proxy_route - one listening port and its target
 * @links: set of open struct proxy_link
 * @connections: connections accepted since the start
 * @kills: connections closed by the fault @kill since the start
 * @bytes_up, @bytes_down: bytes forwarded since the start
 */
struct proxy_route {
    struct proxy *proxy;
    char *name;
    char *target;
    uint16_t port;
    struct proxy_faults faults;
    GSocketService *service;
    GHashTable *links;
    uint64_t connections;
    uint64_t kills;
    uint64_t bytes_up;
    uint64_t bytes_down;
};

/** struct proxy - state of the process */
struct proxy {
    GHashTable *routes;
    SoupServer *admin;
    GSocketClient *client;
    struct random random;
};

/** proxy_route_add() - add a route to @target and listen on @port; NULL when
 * the port is in use. */
struct proxy_route *
proxy_route_add(struct proxy *proxy, const char *name, const char *target,
                uint16_t port);

/** proxy_link_open() - forward an accepted connection. */
void
proxy_link_open(struct proxy_route *route, GSocketConnection *connection);

/** proxy_route_close_links() - close every open connection of a route. */
void
proxy_route_close_links(struct proxy_route *route);

/** proxy_route_discard() - discard all further bytes of the open connections
 * without closing them. */
void
proxy_route_discard(struct proxy_route *route);

/** proxy_admin_serve() - handle requests to the admin interface. */
void
proxy_admin_serve(struct proxy *proxy);

#endif
