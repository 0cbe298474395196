#include "net/http_connections.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <poll.h>
#include <stdlib.h>

#include "common/event_log.h"
#include "core/connection_limits.h"

enum {
    /* Head and body limits of libevent's parser must trip before reading
     * stops, or a request that is too long would never be answered. One read
     * takes 4 KB. */
    REQUEST_SLACK_BYTES = 32768,
    /* Memory that libevent takes for a header beyond its bytes, per drain of
     * the input buffer; a line is drained in two steps. */
    DRAIN_OVERHEAD_BYTES = 64,
    /* The shortest header line has 5 bytes and takes 133. */
    HEADER_MEMORY_FACTOR = 27,
    /* While descriptors are short, accept() fails at once and the listening
     * socket stays readable. */
    ACCEPT_PAUSE_MS = 100,
    LOG_INTERVAL_MS = 1000,
};

/** enum limit_event - kinds of log lines, each at most one a second */
enum limit_event {
    LIMIT_OPEN,
    LIMIT_BYTES,
    LIMIT_REFUSED,
    LIMIT_ACCEPT,
    LIMIT_EVENT_COUNT,
};

static const char *const event_names[] = {
    [LIMIT_OPEN] = "connections_closed",
    [LIMIT_BYTES] = "buffers_closed",
    [LIMIT_REFUSED] = "buffers_refused",
    [LIMIT_ACCEPT] = "accept_failed",
};

struct limit_count {
    uint64_t total;
    uint64_t logged;
    int64_t logged_ms;
};

/**
 * struct http_connection - one connection
 * @evcon: the library's connection; NULL until it is taken up
 * @parsed_bytes: memory of the request that is read or served, beyond what is
 *                in @input
 * @request_max: limit of @input while a request is read
 */
struct http_connection {
    struct connection_entry entry;
    struct http_connections *owner;
    struct bufferevent *bufev;
    struct evhttp_connection *evcon;
    struct evbuffer *input;
    struct evbuffer *output;
    struct evbuffer_cb_entry *input_callback;
    struct evbuffer_cb_entry *output_callback;
    size_t parsed_bytes;
    size_t parsed_max;
    size_t request_max;
};

/**
 * struct http_connections - all connections of one server
 * @by_evcon: connections that were taken up
 * @accepted: connections that the library has not set up yet
 * @enforce: checks the limits from the event loop, outside of the callbacks of
 *           any connection
 * @descriptors_short: accept() has failed since @enforce ran
 * @input_full: the input of a connection has reached its limit
 * @paused: the listening socket waits for @resume
 */
struct http_connections {
    struct event_base *base;
    struct evhttp *http;
    struct evconnlistener *listener;
    struct connection_limits limits;
    struct http_server_bounds bounds;
    size_t parsed_max;
    size_t request_max;
    GHashTable *by_evcon;
    GPtrArray *accepted;
    GPtrArray *stuck;
    struct event *enforce;
    struct event *resume;
    struct limit_count counts[LIMIT_EVENT_COUNT];
    bool descriptors_short;
    bool input_full;
    bool paused;
    struct http_connections *next;
};

/* libevent passes its own server to the callback for failures of accept(). */
static struct http_connections *all;

static int64_t
now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

static void
count_event(struct http_connections *connections, enum limit_event kind)
{
    struct limit_count *count = &connections->counts[kind];
    int64_t now = now_ms();
    count->total++;
    if (count->logged > 0 && now - count->logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    event_log(event_names[kind],
              "\"server\":\"%s\",\"count\":%" G_GUINT64_FORMAT
              ",\"open\":%u,\"bytes\":%" G_GSIZE_FORMAT,
              connections->bounds.name, count->total - count->logged,
              connections->limits.open, connections->limits.bytes);
    count->logged = count->total;
    count->logged_ms = now;
}

static void
request_enforce(struct http_connections *connections)
{
    event_active(connections->enforce, EV_TIMEOUT, 0);
}

static void
connection_account(struct http_connection *connection)
{
    struct http_connections *owner = connection->owner;
    connection_limits_hold(
        &owner->limits, &connection->entry,
        evbuffer_get_length(connection->input) +
            evbuffer_get_length(connection->output) +
            MIN(connection->parsed_bytes, connection->parsed_max));
    if (owner->limits.bytes > owner->limits.bytes_max) {
        request_enforce(owner);
    }
}

static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *ctx)
{
    struct http_connection *connection = ctx;
    if (info->n_deleted > 0) {
        connection->parsed_bytes += info->n_deleted + DRAIN_OVERHEAD_BYTES;
    }
    else if (connection->entry.phase == CONNECTION_READING &&
             evbuffer_get_length(buffer) >= connection->request_max) {
        connection->owner->input_full = true;
        request_enforce(connection->owner);
    }
    connection_account(connection);
}

static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *ctx)
{
    (void)buffer;
    (void)info;
    connection_account(ctx);
}

static void
connection_forget(struct http_connection *connection)
{
    connection_limits_remove(&connection->owner->limits, &connection->entry);
    evbuffer_remove_cb_entry(connection->input, connection->input_callback);
    evbuffer_remove_cb_entry(connection->output, connection->output_callback);
    g_free(connection);
}

static void
on_closed(struct evhttp_connection *evcon, void *ctx)
{
    struct http_connection *connection = ctx;
    g_hash_table_remove(connection->owner->by_evcon, evcon);
    connection_forget(connection);
}

static void
connection_close(struct http_connection *connection)
{
    struct evhttp_connection *evcon = connection->evcon;
    evhttp_connection_set_closecb(evcon, NULL, NULL);
    on_closed(evcon, connection);
    evhttp_connection_free(evcon);
}

/* libevent asks for the buffers of a connection that it has accepted. */
static struct bufferevent *
on_accepted(struct event_base *base, void *ctx)
{
    struct http_connections *connections = ctx;
    struct http_connection *connection = g_new0(struct http_connection, 1);
    connection->owner = connections;
    connection->bufev = bufferevent_socket_new(base, -1, 0);
    connection->input = bufferevent_get_input(connection->bufev);
    connection->output = bufferevent_get_output(connection->bufev);
    connection->request_max = connections->request_max;
    connection->parsed_max = connections->parsed_max;
    bufferevent_setwatermark(connection->bufev, EV_READ, 0,
                             connection->request_max);
    connection->input_callback =
        evbuffer_add_cb(connection->input, on_input, connection);
    connection->output_callback =
        evbuffer_add_cb(connection->output, on_output, connection);
    connection_limits_add(&connections->limits, &connection->entry, now_ms());
    /* Kept until it is known whether libevent has set up the connection. */
    bufferevent_incref(connection->bufev);
    g_ptr_array_add(connections->accepted, connection);
    request_enforce(connections);
    if (connections->accepted->len >= HTTP_SERVER_ACCEPT_BATCH) {
        evconnlistener_disable(connections->listener);
    }
    return connection->bufev;
}

/* Takes up the connections that libevent has set up since. They are the
 * argument of its callbacks on their buffers; no function of libevent gives
 * them before their first request. */
static void
take_up_accepted(struct http_connections *connections)
{
    for (guint i = 0; i < connections->accepted->len; i++) {
        struct http_connection *connection =
            g_ptr_array_index(connections->accepted, i);
        struct bufferevent *bufev = connection->bufev;
        bufferevent_event_cb on_event = NULL;
        void *evcon = NULL;
        bufferevent_getcb(bufev, NULL, NULL, &on_event, &evcon);
        if (on_event == NULL || evcon == NULL) {
            connection_forget(connection);
        }
        else {
            connection->evcon = evcon;
            evhttp_connection_set_closecb(evcon, on_closed, connection);
            g_hash_table_insert(connections->by_evcon, evcon, connection);
        }
        bufferevent_decref(bufev);
    }
    g_ptr_array_set_size(connections->accepted, 0);
}

/* Closes connections whose input is full with what is no request, such as a
 * chunk size without an end: reading has stopped, and with it the timeout. */
static void
close_stuck(struct http_connections *connections)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, connections->by_evcon);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct http_connection *connection = value;
        if (connection->entry.phase == CONNECTION_READING &&
            evbuffer_get_length(connection->input) >=
                connection->request_max) {
            g_ptr_array_add(connections->stuck, connection);
        }
    }
    for (guint i = 0; i < connections->stuck->len; i++) {
        count_event(connections, LIMIT_BYTES);
        connection_close(g_ptr_array_index(connections->stuck, i));
    }
    g_ptr_array_set_size(connections->stuck, 0);
}

static void
on_enforce(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct http_connections *connections = ctx;
    struct connection_limits *limits = &connections->limits;
    take_up_accepted(connections);
    if (connections->input_full) {
        connections->input_full = false;
        close_stuck(connections);
    }
    if (connections->descriptors_short) {
        connections->descriptors_short = false;
        struct connection_entry *entry =
            connection_limits_longest_idle(limits, now_ms());
        if (entry != NULL) {
            count_event(connections, LIMIT_OPEN);
            connection_close((struct http_connection *)entry);
        }
    }
    enum connection_excess why = CONNECTION_EXCESS_NONE;
    struct connection_entry *entry =
        connection_limits_excess(limits, now_ms(), &why);
    while (entry != NULL) {
        count_event(connections,
                    why == CONNECTION_EXCESS_OPEN ? LIMIT_OPEN : LIMIT_BYTES);
        connection_close((struct http_connection *)entry);
        entry = connection_limits_excess(limits, now_ms(), &why);
    }
    if (!connections->paused) {
        evconnlistener_enable(connections->listener);
    }
}

static void
on_resume(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct http_connections *connections = ctx;
    connections->paused = false;
    evconnlistener_enable(connections->listener);
}

/* accept() takes a descriptor before it looks for a connection, so it also
 * fails for lack of one when no connection waits. */
static bool
connection_waits(struct evconnlistener *listener)
{
    struct pollfd waiting = {
        .fd = evconnlistener_get_fd(listener),
        .events = POLLIN,
    };
    return poll(&waiting, 1, 0) > 0;
}

static void
on_accept_failed(struct evconnlistener *listener, void *ctx)
{
    struct http_connections *connections = all;
    const struct timeval pause = {.tv_usec = ACCEPT_PAUSE_MS * 1000};
    while (connections != NULL && connections->http != ctx) {
        connections = connections->next;
    }
    if (connections == NULL || !connection_waits(listener)) {
        return;
    }
    count_event(connections, LIMIT_ACCEPT);
    connections->paused = true;
    connections->descriptors_short = true;
    evconnlistener_disable(listener);
    evtimer_add(connections->resume, &pause);
    request_enforce(connections);
}

struct http_connections *
http_connections_create(struct event_base *base, struct evhttp *http,
                        struct evhttp_bound_socket *bound)
{
    struct http_connections *connections = g_new0(struct http_connections, 1);
    connections->base = base;
    connections->http = http;
    connections->limits.open_max = UINT32_MAX;
    connections->limits.bytes_max = SIZE_MAX;
    connections->bounds = (struct http_server_bounds){
        .name = "",
        .read_ahead_bytes = REQUEST_SLACK_BYTES,
    };
    connections->by_evcon = g_hash_table_new(NULL, NULL);
    connections->accepted = g_ptr_array_new();
    connections->stuck = g_ptr_array_new();
    connections->enforce = event_new(base, -1, 0, on_enforce, connections);
    connections->resume = evtimer_new(base, on_resume, connections);
    connections->listener = evhttp_bound_socket_get_listener(bound);
    evconnlistener_set_error_cb(connections->listener, on_accept_failed);
    evhttp_set_bevcb(http, on_accepted, connections);
    connections->next = all;
    all = connections;
    return connections;
}

void
http_connections_detach(struct http_connections *connections)
{
    take_up_accepted(connections);
}

void
http_connections_destroy(struct http_connections *connections)
{
    struct http_connections **link = &all;
    while (*link != connections) {
        link = &(*link)->next;
    }
    *link = connections->next;
    event_free(connections->enforce);
    event_free(connections->resume);
    g_hash_table_unref(connections->by_evcon);
    g_ptr_array_unref(connections->accepted);
    g_ptr_array_unref(connections->stuck);
    g_free(connections);
}

void
http_connections_bound(struct http_connections *connections,
                       const struct http_server_bounds *bounds)
{
    connections->bounds = *bounds;
    connections->limits.open_max = bounds->open_max;
    connections->limits.bytes_max = bounds->buffered_bytes_max;
}

void
http_connections_set_request_max(struct http_connections *connections,
                                 size_t header_bytes, size_t body_bytes)
{
    connections->request_max =
        MAX(header_bytes, body_bytes) + REQUEST_SLACK_BYTES;
    connections->parsed_max = header_bytes * HEADER_MEMORY_FACTOR + body_bytes;
}

void
http_connections_stats(const struct http_connections *connections,
                       struct http_server_stats *stats)
{
    const struct limit_count *counts = connections->counts;
    *stats = (struct http_server_stats){
        .open = connections->limits.open,
        .buffered_bytes = connections->limits.bytes,
        .receive_bytes = (size_t)connections->limits.open *
                         connections->bounds.receive_bytes,
        .closed_open = counts[LIMIT_OPEN].total,
        .closed_bytes = counts[LIMIT_BYTES].total,
        .refused = counts[LIMIT_REFUSED].total,
        .accept_failures = counts[LIMIT_ACCEPT].total,
    };
}

struct http_connection *
http_connections_find(struct http_connections *connections,
                      struct evhttp_request *request)
{
    take_up_accepted(connections);
    return g_hash_table_lookup(connections->by_evcon,
                               evhttp_request_get_connection(request));
}

/* The response is in the kernel's buffers; the next request may be read. */
static void
on_sent(struct evhttp_request *request, void *ctx)
{
    (void)request;
    struct http_connection *connection = ctx;
    struct http_connections *owner = connection->owner;
    connection->parsed_bytes = 0;
    connection_limits_enter(&owner->limits, &connection->entry,
                            CONNECTION_READING, now_ms());
    connection_account(connection);
    bufferevent_setwatermark(connection->bufev, EV_READ, 0,
                             connection->request_max);
}

bool
http_connection_serve(struct http_connection *connection,
                      struct evhttp_request *request)
{
    struct http_connections *owner = connection->owner;
    connection_limits_enter(&owner->limits, &connection->entry,
                            CONNECTION_SERVED, now_ms());
    bufferevent_setwatermark(
        connection->bufev, EV_READ, 0,
        MIN(owner->bounds.read_ahead_bytes, connection->request_max));
    evhttp_request_set_on_complete_cb(request, on_sent, connection);
    if (!connection_limits_refuse(&owner->limits, now_ms())) {
        return true;
    }
    count_event(owner, LIMIT_REFUSED);
    return false;
}

bool
http_connection_yields(const struct http_connection *connection)
{
    const struct connection_limits *limits = &connection->owner->limits;
    return limits->open >= limits->open_max &&
           evbuffer_get_length(connection->input) > 0;
}

void
http_connection_reply(struct http_connection *connection)
{
    connection_limits_enter(&connection->owner->limits, &connection->entry,
                            CONNECTION_WRITING, now_ms());
}
