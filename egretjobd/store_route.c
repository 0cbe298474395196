#include "egretjobd/store_route.h"

#include <glib.h>

#include "common/event_log.h"
#include "core/jobs/relay_peer.h"
#include "egretjobd/config_feed.h"

enum {
    /* A single refusal may come from the rate limit; after two in a row calls
     * are relayed. */
    REFUSALS_MAX = 2,
    STATUS_UNAVAILABLE = 503,
    STATUS_TOO_MANY_REQUESTS = 429,
    STATUS_RELAY_NO_ANSWER = 504,
    /* Peers that share the relayed calls. A leader makes some hundred calls a
     * second, more than a peer with a tenth of a core carries. */
    LANE_COUNT = 12,
};

/**
 * struct relay_lane - the store clients that share a peer
 */
struct relay_lane {
    struct store_route *route;
    struct relay_peer peer;
};

/**
 * struct store_route - route of this process's calls to the store
 * @refusals: refused or unanswered direct calls in a row
 * @relaying: calls go through the peers of @lanes
 * @next_lane: lane of the next store client
 */
struct store_route {
    struct node *node;
    uint32_t refusals;
    bool relaying;
    struct relay_lane lanes[LANE_COUNT];
    uint32_t next_lane;
};

static bool
answered_by_store(int status)
{
    return status != 0 && status != STATUS_UNAVAILABLE &&
           status != STATUS_TOO_MANY_REQUESTS &&
           status != STATUS_RELAY_NO_ANSWER;
}

static void
set_relaying(struct store_route *route, bool relaying)
{
    if (route->relaying == relaying) {
        return;
    }
    route->relaying = relaying;
    for (size_t i = 0; relaying && i < LANE_COUNT; i++) {
        relay_peer_choose(&route->lanes[i].peer,
                          config_feed_peers(route->node->feed));
    }
    const char *first = route->lanes[0].peer.address;
    event_log(relaying ? "store_relayed" : "store_direct", "\"peer\":\"%s\"",
              first == NULL ? "" : first);
}

static const char *
current_relay(void *ctx)
{
    const struct relay_lane *lane = ctx;
    return lane->route->relaying ? lane->peer.address : NULL;
}

static void
report(void *ctx, const char *relay, int status)
{
    struct relay_lane *lane = ctx;
    struct store_route *route = lane->route;
    if (relay != NULL) {
        if (!answered_by_store(status)) {
            relay_peer_failed(&lane->peer, relay,
                              config_feed_peers(route->node->feed));
        }
        return;
    }
    if (answered_by_store(status)) {
        route->refusals = 0;
        set_relaying(route, false);
        return;
    }
    route->refusals++;
    if (status == 0 || route->refusals >= REFUSALS_MAX) {
        set_relaying(route, true);
    }
}

struct store_route *
store_route_create(struct node *node)
{
    struct store_route *route = g_new0(struct store_route, 1);
    route->node = node;
    uint32_t first = g_random_int();
    for (size_t i = 0; i < LANE_COUNT; i++) {
        route->lanes[i].route = route;
        route->lanes[i].peer.choice_count = first + (uint32_t)i;
    }
    return route;
}

void
store_route_destroy(struct store_route *route)
{
    if (route == NULL) {
        return;
    }
    for (size_t i = 0; i < LANE_COUNT; i++) {
        relay_peer_clear(&route->lanes[i].peer);
    }
    g_free(route);
}

static struct relay_lane *
next_lane(struct store_route *route)
{
    return &route->lanes[route->next_lane++ % LANE_COUNT];
}

struct kv_route
store_route_any(struct store_route *route)
{
    return (struct kv_route){
        .relay = current_relay, .report = report, .ctx = next_lane(route)};
}

struct kv_route
store_route_direct(struct store_route *route)
{
    return (struct kv_route){.report = report, .ctx = next_lane(route)};
}
