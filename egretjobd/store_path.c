#include "egretjobd/store_path.h"

#include <glib.h>

#include "common/event_log.h"
#include "egretjobd/config_feed.h"

enum {
    /* One refusal may be the rate limit; two in a row are more. */
    REFUSALS_MAX = 2,
    STATUS_BUSY = 503,
    STATUS_MANY = 429,
    STATUS_RELAY_NO_ANSWER = 504,
};

struct store_path {
    struct node *node;
    uint32_t refusals;
    bool relaying;
    char *peer;
    uint32_t next_peer;
};

static bool
served(int status)
{
    return status != 0 && status != STATUS_BUSY && status != STATUS_MANY &&
           status != STATUS_RELAY_NO_ANSWER;
}

static void
next_peer(struct store_path *path)
{
    char **peers = config_feed_peers(path->node->feed);
    guint n_peers = peers == NULL ? 0 : g_strv_length(peers);
    g_free(path->peer);
    path->peer =
        n_peers == 0 ? NULL : g_strdup(peers[path->next_peer++ % n_peers]);
}

static void
set_relaying(struct store_path *path, bool relaying)
{
    if (path->relaying == relaying) {
        return;
    }
    path->relaying = relaying;
    if (relaying) {
        next_peer(path);
    }
    event_log(relaying ? "store_relayed" : "store_direct", "\"peer\":\"%s\"",
              path->peer == NULL ? "" : path->peer);
}

static const char *
relay_any(void *ctx)
{
    const struct store_path *path = ctx;
    return path->relaying ? path->peer : NULL;
}

static void
report(void *ctx, bool relayed, int status)
{
    struct store_path *path = ctx;
    if (relayed) {
        if (!served(status)) {
            next_peer(path);
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

struct store_path *
store_path_create(struct node *node)
{
    struct store_path *path = g_new0(struct store_path, 1);
    path->node = node;
    path->next_peer = g_random_int();
    return path;
}

void
store_path_destroy(struct store_path *path)
{
    if (path == NULL) {
        return;
    }
    g_free(path->peer);
    g_free(path);
}

struct kv_path
store_path_any(struct store_path *path)
{
    return (struct kv_path){.relay = relay_any, .report = report, .ctx = path};
}

struct kv_path
store_path_direct(struct store_path *path)
{
    return (struct kv_path){.report = report, .ctx = path};
}
