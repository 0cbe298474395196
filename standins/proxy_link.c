#include <netinet/in.h>
#include <netinet/tcp.h>

#include "proxy.h"

enum {
    CHUNK_MAX_BYTES = 65536,
    PERMILLE = 1000,
    BACKLOG_CONNECTIONS = 512,
};

struct proxy_link;

/**
 * struct pump - copies bytes in one direction of a link
 * @chunk: bytes read but not yet forwarded
 * @up: direction is from the client to the target
 * @close_after_write: close the link once @chunk is forwarded
 * @busy: an I/O operation or a timer is pending
 * @at_eof: the sender has closed its side
 */
struct pump {
    struct proxy_link *link;
    GSocketConnection *from;
    GSocketConnection *to;
    GBytes *chunk;
    bool up;
    bool close_after_write;
    bool busy;
    bool at_eof;
};

/**
 * struct proxy_link - a client connection and its connection to the target
 * @down_bytes: bytes forwarded from the target
 * @discarding: discard all bytes, but keep the connections open
 * @closed: freed once neither pump is busy
 * @kill_in_response: close within the next chunk of the response
 */
struct proxy_link {
    struct proxy_route *route;
    GSocketConnection *client;
    GSocketConnection *server;
    GCancellable *cancel;
    struct pump up;
    struct pump down;
    uint64_t down_bytes;
    bool discarding;
    bool closed;
    bool connecting;
    bool kill_in_response;
};

static void
pump_read(struct pump *pump);

static void
link_free_if_idle(struct proxy_link *link)
{
    if (!link->closed || link->up.busy || link->down.busy ||
        link->connecting) {
        return;
    }
    g_clear_object(&link->client);
    g_clear_object(&link->server);
    g_clear_object(&link->cancel);
    g_free(link);
}

static void
close_connection(GSocketConnection *connection)
{
    if (connection != NULL) {
        g_socket_close(g_socket_connection_get_socket(connection), NULL);
    }
}

/* Doesn't free @link: the caller either is a busy pump, which does so when it
 * finishes, or calls link_free_if_idle() afterwards. */
static void
link_close(struct proxy_link *link)
{
    if (link->closed) {
        return;
    }
    link->closed = true;
    g_hash_table_remove(link->route->links, link);
    g_cancellable_cancel(link->cancel);
    close_connection(link->client);
    close_connection(link->server);
}

static void
pump_finish(struct pump *pump)
{
    g_clear_pointer(&pump->chunk, g_bytes_unref);
    pump->busy = false;
    link_free_if_idle(pump->link);
}

static void
pump_close(struct pump *pump)
{
    link_close(pump->link);
    pump_finish(pump);
}

static void
on_written(GObject *stream, GAsyncResult *result, gpointer data)
{
    struct pump *pump = data;
    gsize written = 0;
    bool ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result,
                                               &written, NULL);
    if (pump->up) {
        pump->link->route->bytes_up += written;
    }
    else {
        pump->link->route->bytes_down += written;
        pump->link->down_bytes += written;
    }
    if (!ok || pump->close_after_write || pump->link->closed) {
        pump_close(pump);
        return;
    }
    g_clear_pointer(&pump->chunk, g_bytes_unref);
    pump_read(pump);
}

static gboolean
pump_write(gpointer data)
{
    struct pump *pump = data;
    struct proxy_link *link = pump->link;
    const struct proxy_faults *faults = &link->route->faults;
    bool dropped = pump->up ? faults->drop_up : faults->drop_down;
    if (link->closed) {
        pump_finish(pump);
        return G_SOURCE_REMOVE;
    }
    if (link->discarding || dropped) {
        g_clear_pointer(&pump->chunk, g_bytes_unref);
        pump_read(pump);
        return G_SOURCE_REMOVE;
    }
    gsize size_bytes = 0;
    const void *bytes = g_bytes_get_data(pump->chunk, &size_bytes);
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(G_IO_STREAM(pump->to)), bytes,
        size_bytes, G_PRIORITY_DEFAULT, link->cancel, on_written, pump);
    return G_SOURCE_REMOVE;
}

static void
truncate_chunk(struct pump *pump, gsize size_bytes)
{
    GBytes *part = g_bytes_new_from_bytes(
        pump->chunk, 0, MIN(size_bytes, g_bytes_get_size(pump->chunk)));
    g_bytes_unref(pump->chunk);
    pump->chunk = part;
    pump->close_after_write = true;
}

static enum proxy_kill_point
pick_kill_point(struct proxy_route *route)
{
    struct random *random = &route->proxy->random;
    if (route->faults.kill == PROXY_KILL_NONE ||
        random_below(random, PERMILLE) >= route->faults.kill_permille) {
        return PROXY_KILL_NONE;
    }
    route->kills++;
    if (route->faults.kill != PROXY_KILL_ANY) {
        return route->faults.kill;
    }
    return PROXY_KILL_BEFORE +
           (enum proxy_kill_point)random_below(random, PROXY_KILL_RESPONSE);
}

static void
apply_kill(struct pump *pump)
{
    struct proxy_link *link = pump->link;
    gsize size_bytes = g_bytes_get_size(pump->chunk);
    if (!pump->up) {
        if (link->kill_in_response) {
            truncate_chunk(pump, size_bytes / 2);
        }
        return;
    }
    switch (pick_kill_point(link->route)) {
    case PROXY_KILL_BEFORE:
        truncate_chunk(pump, 0);
        break;
    case PROXY_KILL_DURING:
        truncate_chunk(pump, size_bytes / 2);
        break;
    case PROXY_KILL_AFTER:
        pump->close_after_write = true;
        break;
    case PROXY_KILL_RESPONSE:
        link->kill_in_response = true;
        break;
    default:
        break;
    }
}

static void
apply_truncation(struct pump *pump)
{
    const struct proxy_link *link = pump->link;
    int64_t max_bytes = link->route->faults.truncate_bytes;
    if (pump->up || max_bytes == 0) {
        return;
    }
    int64_t left_bytes = max_bytes - (int64_t)link->down_bytes;
    if ((int64_t)g_bytes_get_size(pump->chunk) >= left_bytes) {
        truncate_chunk(pump, (gsize)MAX(left_bytes, 0));
    }
}

static int64_t
chunk_delay_ms(const struct pump *pump)
{
    const struct proxy_faults *faults = &pump->link->route->faults;
    int64_t delay_ms = faults->delay_ms;
    if (faults->bytes_per_s > 0) {
        delay_ms += (int64_t)g_bytes_get_size(pump->chunk) * 1000 /
                    faults->bytes_per_s;
    }
    return delay_ms;
}

static void
on_eof(struct pump *pump)
{
    struct proxy_link *link = pump->link;
    pump->at_eof = true;
    if (link->discarding || link->closed) {
        /* Don't forward the end of the stream: a discarding link stays open.
         */
        pump_finish(pump);
        return;
    }
    g_socket_shutdown(g_socket_connection_get_socket(pump->to), FALSE, TRUE,
                      NULL);
    if (link->up.at_eof && link->down.at_eof) {
        link_close(link);
    }
    pump_finish(pump);
}

static void
on_read(GObject *stream, GAsyncResult *result, gpointer data)
{
    struct pump *pump = data;
    pump->chunk =
        g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, NULL);
    if (pump->link->closed || pump->chunk == NULL) {
        pump_close(pump);
        return;
    }
    if (g_bytes_get_size(pump->chunk) == 0) {
        on_eof(pump);
        return;
    }
    apply_kill(pump);
    apply_truncation(pump);
    int64_t delay_ms = chunk_delay_ms(pump);
    if (delay_ms > 0) {
        g_timeout_add((guint)delay_ms, pump_write, pump);
        return;
    }
    pump_write(pump);
}

static void
pump_read(struct pump *pump)
{
    pump->busy = true;
    g_input_stream_read_bytes_async(
        g_io_stream_get_input_stream(G_IO_STREAM(pump->from)), CHUNK_MAX_BYTES,
        G_PRIORITY_DEFAULT, pump->link->cancel, on_read, pump);
}

static void
set_no_delay(GSocketConnection *connection)
{
    g_socket_set_option(g_socket_connection_get_socket(connection),
                        IPPROTO_TCP, TCP_NODELAY, TRUE, NULL);
}

static void
on_connected(GObject *client, GAsyncResult *result, gpointer data)
{
    struct proxy_link *link = data;
    link->connecting = false;
    link->server = g_socket_client_connect_to_host_finish(
        G_SOCKET_CLIENT(client), result, NULL);
    if (link->server == NULL || link->closed) {
        link_close(link);
        link_free_if_idle(link);
        return;
    }
    set_no_delay(link->server);
    set_no_delay(link->client);
    link->up.to = link->server;
    link->down.from = link->server;
    pump_read(&link->up);
    pump_read(&link->down);
}

void
proxy_link_open(struct proxy_route *route, GSocketConnection *connection)
{
    route->connections++;
    if (route->faults.refuse) {
        close_connection(connection);
        return;
    }
    struct proxy_link *link = g_new0(struct proxy_link, 1);
    *link = (struct proxy_link){
        .route = route,
        .client = g_object_ref(connection),
        .cancel = g_cancellable_new(),
    };
    link->up = (struct pump){.link = link, .from = connection, .up = true};
    link->down = (struct pump){.link = link, .to = connection};
    g_hash_table_add(route->links, link);
    if (route->faults.hold) {
        return;
    }
    link->connecting = true;
    g_socket_client_connect_to_host_async(route->proxy->client, route->target,
                                          0, link->cancel, on_connected, link);
}

void
proxy_route_close_links(struct proxy_route *route)
{
    GList *links = g_hash_table_get_keys(route->links);
    for (GList *item = links; item != NULL; item = item->next) {
        struct proxy_link *link = item->data;
        link_close(link);
        link_free_if_idle(link);
    }
    g_list_free(links);
}

void
proxy_route_discard(struct proxy_route *route)
{
    GHashTableIter iter;
    gpointer key = NULL;
    g_hash_table_iter_init(&iter, route->links);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        ((struct proxy_link *)key)->discarding = true;
    }
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
            GObject *source, gpointer data)
{
    proxy_link_open(data, connection);
    return TRUE;
}

struct proxy_route *
proxy_route_add(struct proxy *proxy, const char *name, const char *target,
                uint16_t port)
{
    struct proxy_route *route = g_new0(struct proxy_route, 1);
    GInetAddress *loopback = g_inet_address_new_from_string("127.0.0.1");
    GSocketAddress *wanted = g_inet_socket_address_new(loopback, port);
    GSocketAddress *bound = NULL;
    *route = (struct proxy_route){
        .proxy = proxy,
        .name = g_strdup(name),
        .target = g_strdup(target),
        .service = g_socket_service_new(),
        .links = g_hash_table_new(NULL, NULL),
    };
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(route->service),
                                  BACKLOG_CONNECTIONS);
    bool listening = g_socket_listener_add_address(
        G_SOCKET_LISTENER(route->service), wanted, G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, NULL, &bound, NULL);
    g_object_unref(wanted);
    g_object_unref(loopback);
    if (!listening) {
        return NULL;
    }
    route->port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
    g_object_unref(bound);
    g_signal_connect(route->service, "incoming", G_CALLBACK(on_incoming),
                     route);
    g_hash_table_insert(proxy->routes, route->name, route);
    return route;
}
