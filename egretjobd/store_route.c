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
};

/**
 * struct store_route - route of this process's calls to the store
 * @refusals: refused or unanswered direct calls in a row
 * @relaying: calls go through @peer
 */
struct store_route {
    struct node *node;
    uint32_t refusals;
    bool relaying;
    struct relay_peer peer;
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
    if (relaying) {
        relay_peer_choose(&route->peer, config_feed_peers(route->node->feed));
    }
    event_log(relaying ? "store_relayed" : "store_direct", "\"peer\":\"%s\"",
              route->peer.address == NULL ? "" : route->peer.address);
}

static const char *
current_relay(void *ctx)
{
    const struct store_route *route = ctx;
    return route->relaying ? route->peer.address : NULL;
}

static void
report(void *ctx, const char *relay, int status)
{
    struct store_route *route = ctx;
    if (relay != NULL) {
        if (!answered_by_store(status)) {
            relay_peer_failed(&route->peer, relay,
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
    route->peer.choice_count = g_random_int();
    return route;
}

void
store_route_destroy(struct store_route *route)
{
    if (route == NULL) {
        return;
    }
    relay_peer_clear(&route->peer);
    g_free(route);
}

struct kv_route
store_route_any(struct store_route *route)
{
    return (struct kv_route){
        .relay = current_relay, .report = report, .ctx = route};
}

struct kv_route
store_route_direct(struct store_route *route)
{
    return (struct kv_route){.report = report, .ctx = route};
}
