#include <string.h>

#include "peers_internal.h"

struct peer_target *
peer_target_create(struct peers *peers, const struct peer_address *member)
{
    struct peer_target *target = g_new0(struct peer_target, 1);
    target->peers = peers;
    target->incarnation = g_strdup(member->incarnation);
    target->address = g_strdup(member->address);
    target->port = member->port;
    target->down_since_ms = INT64_MAX;
    target->backoff_ms = PEERS_BACKOFF_MIN_MS;
    return target;
}

void
peer_target_destroy(void *data)
{
    struct peer_target *target = data;
    if (target->dialling != NULL) {
        g_cancellable_cancel(target->dialling);
        g_object_unref(target->dialling);
    }
    g_free(target->incarnation);
    g_free(target->address);
    g_free(target);
}

/**
 * struct dial - a pending connection attempt
 * @target: valid unless @cancellable was cancelled
 */
struct dial {
    struct peer_target *target;
    GCancellable *cancellable;
};

static void
on_dialled(GObject *source, GAsyncResult *result, void *ctx)
{
    struct dial *dial = ctx;
    GSocketConnection *connection =
        g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, NULL);
    if (!g_cancellable_is_cancelled(dial->cancellable)) {
        struct peer_target *target = dial->target;
        g_clear_object(&target->dialling);
        if (connection != NULL) {
            peers_add_link(target->peers, connection, target->incarnation);
        }
    }
    g_clear_object(&connection);
    g_object_unref(dial->cancellable);
    g_free(dial);
}

static void
target_dial(struct peer_target *target, int64_t now_ms)
{
    struct peers *peers = target->peers;
    GInetAddress *inet = g_inet_address_new_from_string(target->address);
    if (inet == NULL) {
        target->next_dial_ms = INT64_MAX;
        return;
    }
    GSocketAddress *address = g_inet_socket_address_new(inet, target->port);
    target->dialling = g_cancellable_new();
    target->dial_started_ms = now_ms;
    target->next_dial_ms = now_ms + target->backoff_ms;
    target->backoff_ms =
        MIN(2 * target->backoff_ms, peers->options.idle_timeout_ms);
    struct dial *dial = g_new0(struct dial, 1);
    dial->target = target;
    dial->cancellable = g_object_ref(target->dialling);
    g_socket_client_connect_async(peers->client, G_SOCKET_CONNECTABLE(address),
                                  target->dialling, on_dialled, dial);
    g_object_unref(address);
    g_object_unref(inet);
}

static bool
should_dial(const struct peer_target *target, int64_t now_ms)
{
    const struct peers *peers = target->peers;
    if (target->replaced || target->dialling != NULL ||
        now_ms < target->next_dial_ms) {
        return false;
    }
    if (!peers->is_member ||
        strcmp(peers->incarnation, target->incarnation) < 0) {
        return true;
    }
    /* The other end should have dialled by now; the network may drop what it
     * sends here. */
    return now_ms - target->down_since_ms >=
           2 * peers->options.idle_timeout_ms;
}

static bool
handshake_pending(const struct peers *peers, const char *incarnation)
{
    for (guint i = 0; i < peers->unauthenticated->len; i++) {
        const char *dialled =
            peer_link_dialled(peers->unauthenticated->pdata[i]);
        if (dialled != NULL && strcmp(dialled, incarnation) == 0) {
            return true;
        }
    }
    return false;
}

void
peer_target_tick(struct peer_target *target, int64_t now_ms)
{
    struct peers *peers = target->peers;
    if (g_hash_table_contains(peers->links, target->incarnation)) {
        return;
    }
    if (target->down_since_ms == INT64_MAX) {
        target->down_since_ms = now_ms;
    }
    if (target->dialling != NULL &&
        now_ms - target->dial_started_ms >= peers->options.idle_timeout_ms) {
        g_cancellable_cancel(target->dialling);
        g_clear_object(&target->dialling);
    }
    if (!handshake_pending(peers, target->incarnation) &&
        should_dial(target, now_ms)) {
        target_dial(target, now_ms);
    }
}
