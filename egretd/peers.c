#include "egretd/peers.h"

#include <gio/gio.h>
#include <string.h>

#include "common/log.h"
#include "peers_internal.h"

enum {
    UNAUTHENTICATED_LINKS_MAX = 32,
    LINKS_MAX = 128,
    TICK_INTERVAL_MIN_MS = 20,
    TICK_INTERVAL_MAX_MS = 200,
};

static int64_t
now_of(const struct peers *peers)
{
    return ms_clock_now(&peers->options.clock);
}

static void
report_replaced(struct peers *peers, const char *dialled)
{
    struct peer_target *target = g_hash_table_lookup(peers->targets, dialled);
    if (target == NULL || target->replaced) {
        return;
    }
    target->replaced = true;
    log_line(LOG_LEVEL_INFO, "peer-replaced", "peer=%s", log_quote(dialled));
    struct peer_link *stale = g_hash_table_lookup(peers->links, dialled);
    if (stale != NULL) {
        peer_link_close(stale);
    }
    if (peers->options.handler.replaced != NULL) {
        char *incarnation = g_strdup(dialled);
        peers->options.handler.replaced(peers->options.handler.ctx,
                                        incarnation);
        g_free(incarnation);
    }
}

static bool
on_link_authenticated(void *ctx, struct peer_link *link)
{
    struct peers *peers = ctx;
    const char *incarnation = peer_link_incarnation(link);
    struct peer_link *older = g_hash_table_lookup(peers->links, incarnation);
    if (older == NULL && g_hash_table_size(peers->links) >= LINKS_MAX) {
        return false;
    }
    g_ptr_array_remove_fast(peers->unauthenticated, link);
    /* The newer link wins: whichever end dialled it has lost the older one. */
    g_hash_table_insert(peers->links, g_strdup(incarnation), link);
    if (older != NULL) {
        peer_link_close(older);
    }
    struct peer_target *target =
        g_hash_table_lookup(peers->targets, incarnation);
    if (target != NULL) {
        target->backoff_ms = PEERS_BACKOFF_MIN_MS;
        target->down_since_ms = INT64_MAX;
    }
    log_line(LOG_LEVEL_INFO, "peer-linked", "peer=%s", log_quote(incarnation));
    const char *dialled = peer_link_dialled(link);
    if (dialled != NULL && strcmp(dialled, incarnation) != 0) {
        report_replaced(peers, dialled);
    }
    if (peers->options.handler.up != NULL) {
        peers->options.handler.up(peers->options.handler.ctx, incarnation);
    }
    return true;
}

static void
on_link_message(void *ctx, struct peer_link *link,
                const struct message *message)
{
    struct peers *peers = ctx;
    peers->options.handler.message(peers->options.handler.ctx,
                                   peer_link_incarnation(link), message);
}

static void
on_link_closed(void *ctx, struct peer_link *link, bool fault)
{
    struct peers *peers = ctx;
    peers->rejected += fault;
    if (!peer_link_authenticated(link)) {
        g_ptr_array_remove_fast(peers->unauthenticated, link);
        return;
    }
    const char *incarnation = peer_link_incarnation(link);
    if (g_hash_table_lookup(peers->links, incarnation) != link) {
        return;
    }
    g_hash_table_remove(peers->links, incarnation);
    log_line(LOG_LEVEL_INFO, "peer-lost", "peer=%s", log_quote(incarnation));
    if (!peers->closing) {
        peers->options.handler.down(peers->options.handler.ctx, incarnation);
    }
}

void
peers_add_link(struct peers *peers, GSocketConnection *connection,
               const char *dialled)
{
    struct peer_link *link = peer_link_create(&(struct peer_link_options){
        .connection = connection,
        .dialled = dialled,
        .secret = peers->secret,
        .incarnation = peers->incarnation,
        .name = peers->name,
        .clock = peers->options.clock,
        .traffic = &peers->traffic,
        .handler = {.authenticated = on_link_authenticated,
                    .message = on_link_message,
                    .closed = on_link_closed,
                    .ctx = peers},
    });
    if (link != NULL) {
        g_ptr_array_add(peers->unauthenticated, link);
    }
}

static gboolean
on_connection(GSocketService *service, GSocketConnection *connection,
              GObject *source, void *ctx)
{
    struct peers *peers = ctx;
    if (peers->unauthenticated->len >= UNAUTHENTICATED_LINKS_MAX) {
        peers->rejected++;
        return TRUE;
    }
    peers_add_link(peers, connection, NULL);
    return TRUE;
}

static struct peer_link *
find_idle(const struct peers *peers, int64_t oldest_ms)
{
    GHashTableIter iter;
    void *link;
    g_hash_table_iter_init(&iter, peers->links);
    while (g_hash_table_iter_next(&iter, NULL, &link)) {
        if (peer_link_last_frame_ms(link) <= oldest_ms) {
            return link;
        }
    }
    for (guint i = 0; i < peers->unauthenticated->len; i++) {
        if (peer_link_last_frame_ms(peers->unauthenticated->pdata[i]) <=
            oldest_ms) {
            return peers->unauthenticated->pdata[i];
        }
    }
    return NULL;
}

static void
close_idle_links(struct peers *peers, int64_t now_ms)
{
    int64_t oldest_ms = now_ms - peers->options.idle_timeout_ms;
    struct peer_link *link = find_idle(peers, oldest_ms);
    while (link != NULL) {
        peer_link_close(link);
        link = find_idle(peers, oldest_ms);
    }
}

static void
tick_targets(struct peers *peers)
{
    int64_t now_ms = now_of(peers);
    GHashTableIter iter;
    void *target;
    g_hash_table_iter_init(&iter, peers->targets);
    while (g_hash_table_iter_next(&iter, NULL, &target)) {
        peer_target_tick(target, now_ms);
    }
}

static gboolean
on_tick(void *ctx)
{
    struct peers *peers = ctx;
    close_idle_links(peers, now_of(peers));
    tick_targets(peers);
    return G_SOURCE_CONTINUE;
}

static bool
listen_on(struct peers *peers, struct status *status)
{
    GInetAddress *inet =
        g_inet_address_new_from_string(peers->options.address);
    if (inet == NULL) {
        status_set(status, STATUS_INVALID,
                   "peer address is not an IP address: %s",
                   peers->options.address);
        return false;
    }
    GSocketAddress *address =
        g_inet_socket_address_new(inet, peers->options.port);
    GSocketAddress *effective = NULL;
    GError *error = NULL;
    bool good = g_socket_listener_add_address(
        G_SOCKET_LISTENER(peers->service), address, G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, NULL, &effective, &error);
    if (good) {
        peers->port =
            g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(effective));
        g_object_unref(effective);
    }
    else {
        status_set(status, STATUS_UNAVAILABLE, "peer port: %s",
                   error->message);
        g_error_free(error);
    }
    g_object_unref(address);
    g_object_unref(inet);
    return good;
}

struct peers *
peers_create(const struct peers_options *options, struct status *status)
{
    struct peers *peers = g_new0(struct peers, 1);
    peers->options = *options;
    peers->secret = g_strdup(options->secret);
    peers->incarnation = g_strdup(options->incarnation);
    peers->name = g_strdup(options->name);
    peers->service = g_socket_service_new();
    peers->client = g_socket_client_new();
    g_socket_client_set_enable_proxy(peers->client, FALSE);
    peers->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                           peer_target_destroy);
    peers->links =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    peers->unauthenticated = g_ptr_array_new();
    g_signal_connect(peers->service, "incoming", G_CALLBACK(on_connection),
                     peers);
    if (!listen_on(peers, status)) {
        peers_destroy(peers);
        return NULL;
    }
    int64_t tick_ms = CLAMP(options->idle_timeout_ms / 8, TICK_INTERVAL_MIN_MS,
                            TICK_INTERVAL_MAX_MS);
    peers->tick = g_timeout_add((guint)tick_ms, on_tick, peers);
    return peers;
}

static void
close_links(struct peers *peers)
{
    peers->closing = true;
    GList *links = g_hash_table_get_values(peers->links);
    for (GList *item = links; item != NULL; item = item->next) {
        peer_link_close(item->data);
    }
    g_list_free(links);
    while (peers->unauthenticated->len > 0) {
        peer_link_close(peers->unauthenticated->pdata[0]);
    }
}

void
peers_destroy(struct peers *peers)
{
    if (peers == NULL) {
        return;
    }
    if (peers->tick != 0) {
        g_source_remove(peers->tick);
    }
    g_signal_handlers_disconnect_by_data(peers->service, peers);
    g_socket_service_stop(peers->service);
    g_socket_listener_close(G_SOCKET_LISTENER(peers->service));
    g_object_unref(peers->service);
    close_links(peers);
    g_hash_table_unref(peers->targets);
    g_hash_table_unref(peers->links);
    g_ptr_array_unref(peers->unauthenticated);
    g_object_unref(peers->client);
    g_free(peers->secret);
    g_free(peers->incarnation);
    g_free(peers->name);
    g_free(peers);
}

uint16_t
peers_port(const struct peers *peers)
{
    return peers->port;
}

static void
close_former_links(struct peers *peers, GHashTable *former)
{
    GHashTableIter iter;
    void *incarnation;
    g_hash_table_iter_init(&iter, former);
    while (g_hash_table_iter_next(&iter, &incarnation, NULL)) {
        struct peer_link *link =
            g_hash_table_lookup(peers->links, incarnation);
        if (link != NULL) {
            peer_link_close(link);
        }
    }
}

void
peers_set_members(struct peers *peers, const struct peer_address *members,
                  size_t n_members)
{
    GHashTable *former = peers->targets;
    peers->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                           peer_target_destroy);
    peers->is_member = false;
    for (size_t i = 0; i < n_members; i++) {
        if (strcmp(members[i].incarnation, peers->incarnation) == 0) {
            peers->is_member = true;
            continue;
        }
        struct peer_target *target =
            g_hash_table_lookup(former, members[i].incarnation);
        if (target != NULL) {
            g_hash_table_steal(former, target->incarnation);
        }
        else {
            target = peer_target_create(peers, &members[i]);
        }
        g_hash_table_insert(peers->targets, target->incarnation, target);
    }
    close_former_links(peers, former);
    g_hash_table_unref(former);
    tick_targets(peers);
}

bool
peers_send(struct peers *peers, const char *incarnation,
           const struct message *message)
{
    struct peer_link *link = g_hash_table_lookup(peers->links, incarnation);
    if (link == NULL) {
        return false;
    }
    GBytes *frame = peer_link_make_frame(message);
    bool sent = peer_link_send(link, frame);
    g_bytes_unref(frame);
    return sent;
}

void
peers_broadcast(struct peers *peers, const struct message *message)
{
    GBytes *frame = peer_link_make_frame(message);
    GHashTableIter iter;
    void *link;
    g_hash_table_iter_init(&iter, peers->links);
    while (g_hash_table_iter_next(&iter, NULL, &link)) {
        peer_link_send(link, frame);
    }
    g_bytes_unref(frame);
}

struct peers_stats
peers_get_stats(const struct peers *peers)
{
    return (struct peers_stats){
        .linked = g_hash_table_size(peers->links),
        .frames_in = peers->traffic.frames_in,
        .frames_out = peers->traffic.frames_out,
        .bytes_in = peers->traffic.bytes_in,
        .bytes_out = peers->traffic.bytes_out,
        .rejected = peers->rejected,
    };
}
