#include "egretd/connections.h"

#include <fcntl.h>
#include <glib-unix.h>
#include <limits.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <unistd.h>

#include "common/log.h"
#include "connections_internal.h"

enum {
    EVENTS_PER_WAKE_MAX = 64,
    /* With libsoup's own backlog of 10, callers under load wait a second for
     * their connection. */
    LISTEN_BACKLOG = 1024,
    /* Precision of the time-outs, which are seconds. */
    SWEEP_INTERVAL_MS = 1000,
    EVICTIONS_PER_SWEEP_MAX = 64,
    /* One log line per reason in this time. */
    LOG_INTERVAL_MS = 1000,
    /* A served request needs one descriptor for its client and one for its
     * backend server. */
    DESCRIPTORS_PER_CONNECTION = 2,
    /* A sixteenth of the descriptors is kept free: 64 of the usual 1,024. */
    DESCRIPTOR_RESERVE_FRACTION = 16,
    /* Bodies whose length is not announced can't be refused before they are
     * read; half of the memory is out of their reach. One of the largest size
     * fits in the other half. */
    UNSIZED_FRACTION = 2,
};

static const char *const close_reasons[] = {
    "room", "full", "descriptors", "memory", "timeout", "body-too-large",
};

static int64_t
now_ms(const struct connections *connections)
{
    return ms_clock_now(&connections->options.clock);
}

static void
forget(struct connection *connection)
{
    struct connections *owner = connection->owner;
    connection->socket = NULL;
    connection_clear_body(connection);
    if (owner != NULL) {
        /* Also lets libsoup see that the socket is closed. */
        connection_resume(connection);
        owner->held_bytes -= connection->facts.held_bytes;
        owner->unsized_bytes -= connection->facts.unsized_bytes;
        g_ptr_array_remove_fast(owner->open, connection);
        connection->owner = NULL;
    }
}

static void
on_socket_freed(void *data)
{
    forget(data);
    g_free(data);
}

static void
close_connection(struct connection *connection)
{
    if (connection->socket == NULL) {
        return;
    }
    GSocket *socket = g_object_ref(connection->socket);
    void (*hang_up)(void *ctx) = connection->hang_up;
    connection->hang_up = NULL;
    forget(connection);
    if (hang_up != NULL) {
        hang_up(connection->ctx);
    }
    /* Closing also removes the descriptor from the epoll set. */
    g_socket_close(socket, NULL);
    g_object_unref(socket);
}

static void
note_closed(struct connections *connections, enum close_reason reason)
{
    struct close_log *log = &connections->logs[reason];
    int64_t time_ms = now_ms(connections);
    char labels[64];
    g_snprintf(labels, sizeof(labels), "reason=\"%s\"", close_reasons[reason]);
    counters_add(connections->options.counters,
                 "egret_connections_closed_total", labels, 1);
    log->unlogged++;
    if (log->logged_ms == 0 || time_ms - log->logged_ms >= LOG_INTERVAL_MS) {
        log_line(LOG_LEVEL_WARN, "connections-closed",
                 "reason=%s count=%u open=%u held_bytes=%" G_GINT64_FORMAT,
                 close_reasons[reason], log->unlogged, connections->open->len,
                 connections->held_bytes);
        *log = (struct close_log){.logged_ms = time_ms};
    }
}

void
connections_evict(struct connections *connections,
                  struct connection *connection, enum close_reason reason)
{
    close_connection(connection);
    note_closed(connections, reason);
}

static struct connection_facts *
copy_facts(const struct connections *connections)
{
    struct connection_facts *facts =
        g_new(struct connection_facts, connections->open->len);
    for (guint i = 0; i < connections->open->len; i++) {
        const struct connection *one = connections->open->pdata[i];
        facts[i] = one->facts;
    }
    return facts;
}

static bool
evict_longest(struct connections *connections, enum close_reason reason)
{
    struct connection_facts *facts = copy_facts(connections);
    size_t chosen = connection_eviction_choose(facts, connections->open->len);
    g_free(facts);
    if (chosen == CONNECTION_EVICTION_NONE) {
        return false;
    }
    connections_evict(connections, connections->open->pdata[chosen], reason);
    return true;
}

static bool
evict_holder(struct connections *connections, int64_t latest_ms)
{
    struct connection_facts *facts = copy_facts(connections);
    size_t chosen = connection_eviction_choose_holder(
        facts, connections->open->len, latest_ms);
    g_free(facts);
    if (chosen == CONNECTION_EVICTION_NONE) {
        return false;
    }
    connections_evict(connections, connections->open->pdata[chosen],
                      CLOSE_MEMORY);
    return true;
}

/* Frees memory that clients hold: below the limit only that of clients that
 * have stalled, above it that of any that waits for its client. */
static void
free_memory(struct connections *connections)
{
    int64_t limit_bytes = connections->options.settings->max_buffered_bytes;
    int64_t stalled_ms = now_ms(connections) - CONNECTIONS_RETRY_MS;
    while (connections->held_bytes > limit_bytes &&
           evict_holder(connections, INT64_MAX)) {
    }
    while (connections->held_bytes + connections->wanted_bytes > limit_bytes &&
           evict_holder(connections, stalled_ms)) {
    }
    if (connections->held_bytes + connections->wanted_bytes <= limit_bytes) {
        connections->wanted_bytes = 0;
    }
}

void
connections_drop_unsized(struct connections *connections)
{
    int64_t limit_bytes =
        connections->options.settings->max_buffered_bytes / UNSIZED_FRACTION;
    while (connections->unsized_bytes > limit_bytes) {
        struct connection_facts *facts = copy_facts(connections);
        size_t chosen =
            connection_eviction_choose_unsized(facts, connections->open->len);
        g_free(facts);
        if (chosen == CONNECTION_EVICTION_NONE) {
            return;
        }
        connection_refuse_body(connections->open->pdata[chosen]);
    }
}

static gboolean
on_relief(void *data)
{
    struct connections *connections = data;
    connections->relief_source = 0;
    free_memory(connections);
    return G_SOURCE_REMOVE;
}

/* Not at once: closing a connection may enter the engine, which may be what
 * has produced the response that exceeds the limit. */
void
connections_schedule_relief(struct connections *connections)
{
    if (connections->relief_source == 0) {
        connections->relief_source =
            g_idle_add_full(G_PRIORITY_HIGH, on_relief, connections, NULL);
    }
}

static gboolean
on_events(gint fd, GIOCondition condition, void *data)
{
    struct epoll_event event;
    (void)condition;
    (void)data;
    /* One at a time: closing one connection may free another whose event would
     * already have been read. */
    for (int i = 0; i < EVENTS_PER_WAKE_MAX; i++) {
        if (epoll_wait(fd, &event, 1, 0) != 1) {
            return G_SOURCE_CONTINUE;
        }
        close_connection(event.data.ptr);
    }
    return G_SOURCE_CONTINUE;
}

static struct connection *
add_connection(struct connections *connections, GSocket *socket)
{
    struct connection *connection = g_new0(struct connection, 1);
    struct epoll_event event = {
        .events = EPOLLRDHUP | EPOLLONESHOT,
        .data.ptr = connection,
    };
    connection->owner = connections;
    connection->socket = socket;
    connection->facts.since_ms = now_ms(connections);
    g_object_set_data_full(G_OBJECT(socket), CONNECTION_DATA, connection,
                           on_socket_freed);
    epoll_ctl(connections->epoll_fd, EPOLL_CTL_ADD, g_socket_get_fd(socket),
              &event);
    return connection;
}

/* Not listed until there is room, so that it is not the one to be closed. */
static void
admit_connection(struct connections *connections,
                 struct connection *connection)
{
    bool full = connections->open->len >= connections->open_max;
    /* A new descriptor has the lowest free number. */
    bool scarce =
        g_socket_get_fd(connection->socket) >= connections->descriptors_max;
    if ((full || scarce) &&
        !evict_longest(connections, full ? CLOSE_ROOM : CLOSE_DESCRIPTORS)) {
        g_ptr_array_add(connections->open, connection);
        connections_evict(connections, connection, CLOSE_FULL);
        return;
    }
    g_ptr_array_add(connections->open, connection);
}

/* libsoup reports the first request of a connection when it accepts it. */
static void
on_request_started(SoupServer *server, SoupServerMessage *message, void *data)
{
    struct connections *connections = data;
    GSocket *socket = soup_server_message_get_socket(message);
    (void)server;
    if (socket == NULL) {
        return;
    }
    struct connection *connection =
        g_object_get_data(G_OBJECT(socket), CONNECTION_DATA);
    if (connection == NULL) {
        connections->accepted = true;
        connection = add_connection(connections, socket);
        admit_connection(connections, connection);
    }
    if (connection->socket != NULL) {
        connection_track(connection, message);
    }
}

static void
check_times(struct connections *connections, struct connection *connection)
{
    const struct settings *settings = connections->options.settings;
    const struct connection_timeouts timeouts = {
        .head_ms = settings->head_timeout_ms,
        .stall_ms = settings->stall_timeout_ms,
    };
    int64_t time_ms = now_ms(connections);
    struct connection_facts *facts = &connection->facts;
    if (facts->state == CONNECTION_IDLE &&
        connection_received_bytes(connection) >
            connection->tcp_received_bytes) {
        facts->state = CONNECTION_READING_HEAD;
        facts->since_ms = time_ms;
    }
    /* In the queue it waits for this side. */
    if (!connection->in_queue &&
        connection_timed_out(facts, &timeouts, time_ms)) {
        connections_evict(connections, connection, CLOSE_TIMEOUT);
    }
}

static bool
descriptors_scarce(const struct connections *connections)
{
    int fd = fcntl(connections->epoll_fd, F_DUPFD_CLOEXEC, 0);
    if (fd >= 0) {
        close(fd);
    }
    return fd < 0 || fd >= connections->descriptors_max;
}

static bool
connection_waits(const struct connections *connections)
{
    return connections->listener != NULL &&
           g_socket_condition_check(connections->listener, G_IO_IN) != 0;
}

/* libsoup has removed its source: accept() has failed, as it does without
 * descriptors, and nothing more is accepted. */
static void
restart_listener(struct connections *connections)
{
    GError *error = NULL;
    for (int i = 0;
         i < EVICTIONS_PER_SWEEP_MAX && descriptors_scarce(connections) &&
         evict_longest(connections, CLOSE_DESCRIPTORS);
         i++) {
    }
    counters_add(connections->options.counters,
                 "egret_listener_restarts_total", NULL, 1);
    if (!soup_server_listen_socket(connections->options.server,
                                   connections->listener, 0, &error)) {
        log_line(LOG_LEVEL_ERROR, "listener-restart-failed", "error=%s",
                 log_quote(error->message));
        g_error_free(error);
        return;
    }
    log_line(LOG_LEVEL_WARN, "listener-restarted", "open=%u",
             connections->open->len);
}

/* A connection has waited since before the main loop last polled. libsoup's
 * source has the priority of this one and was added earlier, so that it has
 * run if there is one. */
static gboolean
on_polled(void *data)
{
    struct connections *connections = data;
    connections->polled_source = 0;
    if (!connections->accepted && connection_waits(connections)) {
        restart_listener(connections);
    }
    return G_SOURCE_REMOVE;
}

static void
check_listener(struct connections *connections)
{
    if (connections->polled_source != 0 || !connection_waits(connections)) {
        return;
    }
    connections->accepted = false;
    connections->polled_source =
        g_idle_add_full(G_PRIORITY_DEFAULT, on_polled, connections, NULL);
}

static gboolean
on_sweep(void *data)
{
    struct connections *connections = data;
    check_listener(connections);
    /* Backwards, as a closed connection is replaced by the last. */
    for (guint i = connections->open->len; i > 0; i--) {
        if (i <= connections->open->len) {
            check_times(connections, connections->open->pdata[i - 1]);
        }
    }
    if (connections->wanted_bytes > 0) {
        free_memory(connections);
    }
    return G_SOURCE_CONTINUE;
}

static GSocket *
open_socket(const struct settings *settings, GError **error)
{
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        settings->address, settings->http_port);
    GSocket *socket =
        g_socket_new(g_socket_address_get_family(address),
                     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
    if (socket != NULL) {
        g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
        /* Else libsoup waits in accept() when another one was faster. */
        g_socket_set_blocking(socket, FALSE);
        if (!g_socket_bind(socket, address, TRUE, error) ||
            !g_socket_listen(socket, error)) {
            g_clear_object(&socket);
        }
    }
    g_object_unref(address);
    return socket;
}

uint16_t
connections_listen(struct connections *connections, struct status *status)
{
    const struct settings *settings = connections->options.settings;
    GError *error = NULL;
    GSocket *socket = open_socket(settings, &error);
    if (socket == NULL ||
        !soup_server_listen_socket(connections->options.server, socket, 0,
                                   &error)) {
        status_set(status, STATUS_UNAVAILABLE, "cannot listen on %s:%u: %s",
                   settings->address, settings->http_port, error->message);
        g_error_free(error);
        g_clear_object(&socket);
        return 0;
    }
    connections->listener = socket;
    GSocketAddress *bound = g_socket_get_local_address(socket, NULL);
    uint16_t port =
        g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
    g_object_unref(bound);
    return port;
}

void
connections_stop_listening(struct connections *connections)
{
    if (connections->listener != NULL) {
        g_socket_close(connections->listener, NULL);
        g_clear_object(&connections->listener);
    }
}

static void
set_limits(struct connections *connections)
{
    const struct settings *settings = connections->options.settings;
    struct rlimit limit = {.rlim_cur = RLIM_INFINITY};
    getrlimit(RLIMIT_NOFILE, &limit);
    rlim_t descriptors = MIN(limit.rlim_cur, (rlim_t)INT_MAX);
    connections->open_max =
        (uint32_t)MIN((rlim_t)settings->max_connections,
                      descriptors / DESCRIPTORS_PER_CONNECTION);
    connections->descriptors_max =
        (int)(descriptors - descriptors / DESCRIPTOR_RESERVE_FRACTION);
}

struct connections *
connections_create(const struct connections_options *options)
{
    int epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (epoll_fd < 0) {
        return NULL;
    }
    struct connections *connections = g_new0(struct connections, 1);
    connections->options = *options;
    connections->open = g_ptr_array_new();
    set_limits(connections);
    connections->epoll_fd = epoll_fd;
    connections->event_source =
        g_unix_fd_add(epoll_fd, G_IO_IN, on_events, NULL);
    connections->sweep_source =
        g_timeout_add(SWEEP_INTERVAL_MS, on_sweep, connections);
    g_signal_connect(options->server, "request-started",
                     G_CALLBACK(on_request_started), connections);
    return connections;
}

void
connections_destroy(struct connections *connections)
{
    if (connections == NULL) {
        return;
    }
    connections_stop_listening(connections);
    while (connections->open->len > 0) {
        forget(connections->open->pdata[0]);
    }
    g_clear_handle_id(&connections->relief_source, g_source_remove);
    g_clear_handle_id(&connections->resume_source, g_source_remove);
    g_clear_handle_id(&connections->polled_source, g_source_remove);
    g_source_remove(connections->sweep_source);
    g_source_remove(connections->event_source);
    close(connections->epoll_fd);
    g_ptr_array_unref(connections->open);
    g_free(connections);
}

void
connections_update_metrics(const struct connections *connections)
{
    struct counters *counters = connections->options.counters;
    counters_set(counters, "egret_connections", NULL, connections->open->len);
    counters_set(counters, "egret_buffered_bytes", NULL,
                 connections->held_bytes);
}
