#include "egretjobd/store_route.h"

#include <glib.h>

#include "common/event_log.h"
#include "core/jobs/relay_peer.h"
#include "egretjobd/config_feed.h"

enum {
    /* One refusal may be the rate limit; two in a row are more. */
    REFUSALS_MAX = 2,
    STATUS_BUSY = 503,
    STATUS_MANY = 429,
    STATUS_RELAY_NO_ANSWER = 504,
};

struct store_route {
    struct node *node;
    uint32_t refusals;
    bool relaying;
    struct relay_peer peer;
};

static bool
served(int status)
{
    return status != 0 && status != STATUS_BUSY && status != STATUS_MANY &&
           status != STATUS_RELAY_NO_ANSWER;
}

static void
set_relaying(struct store_route *path, bool relaying)
{
    if (path->relaying == relaying) {
        return;
    }
    path->relaying = relaying;
    if (relaying) {
        relay_peer_choose(&path->peer, config_feed_peers(path->node->feed));
    }
    event_log(relaying ? "store_relayed" : "store_direct", "\"peer\":\"%s\"",
              path->peer.address == NULL ? "" : path->peer.address);
}

static const char *
relay_any(void *ctx)
{
    const struct store_route *path = ctx;
    return path->relaying ? path->peer.address : NULL;
}

static void
report(void *ctx, const char *relay, int status)
{
    struct store_route *path = ctx;
    if (relay != NULL) {
        if (!served(status)) {
            relay_peer_failed(&path->peer, relay,
                              config_feed_peers(path->node->feed));
        }
        return;
    }
    if (served(status)) {
        path->refusals = 0;
        set_relaying(path, false);
        return;
    }
    path->refusals++;
    if (status == 0 || path->refusals >= REFUSALS_MAX) {
        set_relaying(path, true);
    }
}

struct store_route *
store_route_create(struct node *node)
{
    struct store_route *path = g_new0(struct store_route, 1);
    path->node = node;
    path->peer.turn = g_random_int();
    return path;
}

void
store_route_destroy(struct store_route *path)
{
    if (path == NULL) {
        return;
    }
    relay_peer_clear(&path->peer);
    g_free(path);
}

struct kv_route
store_route_any(struct store_route *path)
{
    return (struct kv_route){
        .relay = relay_any, .report = report, .ctx = path};
}

struct kv_route
store_route_direct(struct store_route *path)
{
    return (struct kv_route){.report = report, .ctx = path};
}
