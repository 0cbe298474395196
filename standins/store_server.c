#include "store_server.h"

#include <inttypes.h>
#include <libsoup/soup.h>
#include <string.h>

#include "store_control.h"
#include "store_faults.h"
#include "store_hosts.h"
#include "store_kv.h"
#include "store_listen.h"
#include "store_stats.h"
#include "store_txn.h"

#define KV_PATH "/v1/kv/"
#define TXN_PATH "/v1/txn"
#define HOSTS_PATH "/v1/health/service/worker"

enum {
    WAIT_DEFAULT_MS = 300000,
};

/**
 * struct store_server - state of the server
 * @waiters: struct store_call of the watches that wait for a change
 * @held_connections: streams of calls that are never answered (fault "drop")
 */
struct store_server {
    SoupServer *http;
    struct store_kv *kv;
    struct store_hosts *hosts;
    struct store_faults faults;
    struct store_stats stats;
    GList *waiters;
    GList *held_connections;
    uint16_t port;
};

/**
 * struct store_call - one call
 * @key: key or prefix; NULL for the host list
 * @recurse: @key is a prefix
 * @keys_only: return keys without their values
 * @has_filter: request for hosts with a filter; every filter matches none
 * @index: index the caller has seen; 0: respond without waiting
 * @cas: required modify index, see store_kv_put()
 * @txn: the write is a transaction that writes @value
 * @stalled: never answered
 */
struct store_call {
    struct store_server *server;
    SoupServerMessage *message;
    char *key;
    bool recurse;
    bool keys_only;
    bool has_filter;
    uint64_t index;
    int64_t wait_ms;
    int64_t cas;
    bool txn;
    GBytes *value;
    bool stalled;
    guint timer;
};

static void
call_destroy(struct store_call *call)
{
    if (call->timer != 0) {
        g_source_remove(call->timer);
    }
    g_object_unref(call->message);
    g_clear_pointer(&call->value, g_bytes_unref);
    g_free(call->key);
    g_free(call);
}

static int64_t
parse_wait_ms(const char *text)
{
    if (text == NULL) {
        return WAIT_DEFAULT_MS;
    }
    char *unit = NULL;
    int64_t number = g_ascii_strtoll(text, &unit, 10);
    if (g_str_equal(unit, "ms")) {
        return number;
    }
    return number * 1000;
}

static const char *
query_get(GHashTable *query, const char *name)
{
    return query == NULL ? NULL : g_hash_table_lookup(query, name);
}

/* Whether the query has @flag: libsoup leaves query members without a value
 * out of the decoded table. */
static bool
has_flag(SoupServerMessage *message, const char *flag)
{
    const char *query = g_uri_get_query(soup_server_message_get_uri(message));
    char **parts = g_strsplit(query == NULL ? "" : query, "&", -1);
    bool found = g_strv_contains((const char *const *)parts, flag);
    g_strfreev(parts);
    return found;
}

static struct store_call *
call_create(struct store_server *server, SoupServerMessage *message,
            const char *key, GHashTable *query)
{
    struct store_call *call = g_new0(struct store_call, 1);
    const char *index = query_get(query, "index");
    const char *cas = query_get(query, "cas");
    call->server = server;
    call->message = g_object_ref(message);
    call->key = g_strdup(key);
    call->keys_only = has_flag(message, "keys");
    call->recurse = call->keys_only || has_flag(message, "recurse");
    call->has_filter = query_get(query, "filter") != NULL;
    call->index = index == NULL ? 0 : g_ascii_strtoull(index, NULL, 10);
    call->wait_ms = parse_wait_ms(query_get(query, "wait"));
    call->cas = cas == NULL ? -1 : g_ascii_strtoll(cas, NULL, 10);
    return call;
}

static void
respond(struct store_server *server, SoupServerMessage *message,
        unsigned status, const char *text)
{
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, text, strlen(text));
    server->stats.bytes_out += strlen(text);
}

static uint64_t
call_current_index(const struct store_call *call)
{
    if (call->key == NULL) {
        return store_hosts_index(call->server->hosts);
    }
    return store_kv_index(call->server->kv, call->key, call->recurse);
}

static void
respond_to_read(struct store_call *call)
{
    struct store_server *server = call->server;
    char index[32];
    snprintf(index, sizeof(index), "%" PRIu64, call_current_index(call));
    soup_message_headers_replace(
        soup_server_message_get_response_headers(call->message),
        "X-Consul-Index", index);
    if (call->key == NULL) {
        respond(server, call->message, SOUP_STATUS_OK,
                call->has_filter ? "[]" : store_hosts_text(server->hosts));
        return;
    }
    char *text = call->keys_only
                     ? store_kv_render_keys(server->kv, call->key)
                     : store_kv_render(server->kv, call->key, call->recurse);
    if (text == NULL) {
        respond(server, call->message, SOUP_STATUS_NOT_FOUND, "");
        return;
    }
    respond(server, call->message, SOUP_STATUS_OK, text);
    g_free(text);
}

static void
finish_waiter(struct store_call *call)
{
    call->server->waiters = g_list_remove(call->server->waiters, call);
    respond_to_read(call);
    soup_server_message_unpause(call->message);
    call_destroy(call);
}

static gboolean
on_wait_timeout(void *data)
{
    struct store_call *call = data;
    call->timer = 0;
    if (!call->stalled) {
        finish_waiter(call);
    }
    return G_SOURCE_REMOVE;
}

static void
wake_waiters(struct store_server *server)
{
    GList *link = server->waiters;
    while (link != NULL) {
        struct store_call *call = link->data;
        link = link->next;
        if (!call->stalled && call_current_index(call) > call->index) {
            finish_waiter(call);
        }
    }
}

static void
stall_waiters(void *ctx)
{
    const struct store_server *server = ctx;
    for (GList *link = server->waiters; link != NULL; link = link->next) {
        struct store_call *call = link->data;
        call->stalled = true;
    }
}

static void
on_hosts_changed(void *ctx)
{
    wake_waiters(ctx);
}

static void
start_waiting(struct store_call *call)
{
    struct store_server *server = call->server;
    call->stalled = server->faults.silence_watches;
    call->timer = g_timeout_add((guint)call->wait_ms, on_wait_timeout, call);
    server->waiters = g_list_prepend(server->waiters, call);
    soup_server_message_pause(call->message);
}

static void
serve_read(struct store_call *call)
{
    if (call->index != 0 && call_current_index(call) <= call->index) {
        start_waiting(call);
        return;
    }
    respond_to_read(call);
    call_destroy(call);
}

static void
drop_response(SoupServerMessage *message)
{
    GIOStream *stream = soup_server_message_steal_connection(message);
    g_io_stream_close(stream, NULL, NULL);
    g_object_unref(stream);
}

static bool
apply_write(struct store_call *call)
{
    struct store_server *server = call->server;
    if (soup_server_message_get_method(call->message) != SOUP_METHOD_PUT) {
        return store_kv_delete(server->kv, call->key, call->cas);
    }
    if (call->value == NULL) {
        call->value = soup_message_body_flatten(
            soup_server_message_get_request_body(call->message));
    }
    server->stats.bytes_in += g_bytes_get_size(call->value);
    return store_kv_put(server->kv, call->key, call->value, call->cas);
}

static void
respond_to_write(struct store_call *call, bool written)
{
    struct store_server *server = call->server;
    if (!call->txn) {
        respond(server, call->message, SOUP_STATUS_OK,
                written ? "true" : "false");
        return;
    }
    uint64_t version = store_kv_index(server->kv, call->key, false);
    char *text = store_txn_render(call->key, version, written);
    respond(server, call->message,
            written ? SOUP_STATUS_OK : SOUP_STATUS_CONFLICT, text);
    g_free(text);
}

static void
serve_write(struct store_call *call)
{
    struct store_server *server = call->server;
    bool written = apply_write(call);
    if (store_faults_drop_response(&server->faults)) {
        drop_response(call->message);
    }
    else {
        respond_to_write(call, written);
    }
    call_destroy(call);
    wake_waiters(server);
}

static void
serve_call(struct store_call *call)
{
    if (soup_server_message_get_method(call->message) == SOUP_METHOD_GET) {
        serve_read(call);
        return;
    }
    serve_write(call);
}

static gboolean
on_delay_over(void *data)
{
    struct store_call *call = data;
    call->timer = 0;
    soup_server_message_unpause(call->message);
    serve_call(call);
    return G_SOURCE_REMOVE;
}

static void
hold_connection(struct store_server *server, SoupServerMessage *message)
{
    GIOStream *stream = soup_server_message_steal_connection(message);
    server->held_connections =
        g_list_prepend(server->held_connections, stream);
}

/* Counts the call, and returns whether a fault has handled it. */
static bool
handled_by_fault(struct store_server *server, SoupServerMessage *message,
                 bool hosts, bool is_watch)
{
    store_stats_count(&server->stats, soup_server_message_get_method(message),
                      hosts, is_watch);
    if (server->faults.drop) {
        hold_connection(server, message);
        return true;
    }
    if (server->faults.down) {
        respond(server, message, SOUP_STATUS_SERVICE_UNAVAILABLE, "down");
        return true;
    }
    return false;
}

static void
start_call(struct store_call *call)
{
    int64_t delay_ms = call->server->faults.delay_ms;
    if (delay_ms > 0) {
        soup_server_message_pause(call->message);
        call->timer = g_timeout_add((guint)delay_ms, on_delay_over, call);
        return;
    }
    serve_call(call);
}

static void
accept_call(struct store_server *server, SoupServerMessage *message,
            const char *key, GHashTable *query)
{
    bool is_watch = query_get(query, "index") != NULL;
    if (!handled_by_fault(server, message, key == NULL, is_watch)) {
        start_call(call_create(server, message, key, query));
    }
}

static void
handle_txn(SoupServer *http, SoupServerMessage *message, const char *path,
           GHashTable *query, void *data)
{
    (void)http;
    (void)path;
    (void)query;
    struct store_txn txn;
    GBytes *body = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    if (soup_server_message_get_method(message) != SOUP_METHOD_PUT ||
        !store_txn_parse(body, &txn)) {
        respond(data, message, SOUP_STATUS_BAD_REQUEST,
                "not a transaction of one cas operation");
    }
    else if (!handled_by_fault(data, message, false, false)) {
        struct store_call *call = call_create(data, message, txn.key, NULL);
        call->txn = true;
        call->cas = txn.index;
        call->value = g_bytes_ref(txn.value);
        start_call(call);
    }
    store_txn_clear(&txn);
    g_bytes_unref(body);
}

static void
handle_kv(SoupServer *http, SoupServerMessage *message, const char *path,
          GHashTable *query, void *data)
{
    (void)http;
    const char *method = soup_server_message_get_method(message);
    const char *key = path + strlen(KV_PATH);
    bool supported = method == SOUP_METHOD_GET || method == SOUP_METHOD_PUT ||
                     method == SOUP_METHOD_DELETE;
    if (!supported || !g_str_has_prefix(path, KV_PATH) || key[0] == '\0') {
        respond(data, message, SOUP_STATUS_BAD_REQUEST,
                "unsupported method or missing key");
        return;
    }
    accept_call(data, message, key, query);
}

static void
handle_hosts(SoupServer *http, SoupServerMessage *message, const char *path,
             GHashTable *query, void *data)
{
    (void)http;
    (void)path;
    if (soup_server_message_get_method(message) != SOUP_METHOD_GET) {
        respond(data, message, SOUP_STATUS_METHOD_NOT_ALLOWED, "");
        return;
    }
    accept_call(data, message, NULL, query);
}

static void
handle_standin(SoupServer *http, SoupServerMessage *message, const char *path,
               GHashTable *query, void *data)
{
    (void)http;
    (void)query;
    struct store_server *server = data;
    const struct store_control control = {
        .hosts = server->hosts,
        .faults = &server->faults,
        .stats = &server->stats,
        .stall_watches = stall_waiters,
        .ctx = server,
    };
    store_control_serve(&control, message, path);
}

static bool
listen_on(struct store_server *server, const char *address, uint16_t port,
          struct status *status)
{
    GError *error = NULL;
    GSocketAddress *socket_address =
        g_inet_socket_address_new_from_string(address, port);
    if (socket_address == NULL) {
        status_set(status, STATUS_INVALID, "invalid IP address: %s", address);
        return false;
    }
    GSocket *socket = store_listen(socket_address, &error);
    bool listening = socket != NULL && soup_server_listen_socket(
                                           server->http, socket, 0, &error);
    g_object_unref(socket_address);
    g_clear_object(&socket);
    if (!listening) {
        status_set(status, STATUS_UNAVAILABLE, "%s", error->message);
        g_error_free(error);
        return false;
    }
    GSList *uris = soup_server_get_uris(server->http);
    server->port = (uint16_t)g_uri_get_port(uris->data);
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    return true;
}

struct store_server *
store_server_create(const char *address, uint16_t port, struct status *status)
{
    struct store_server *server = g_new0(struct store_server, 1);
    server->http = soup_server_new(NULL, NULL);
    server->kv = store_kv_create();
    server->hosts = store_hosts_create((struct store_hosts_listener){
        .changed = on_hosts_changed,
        .ctx = server,
    });
    server->faults.random = random_seeded(1);
    store_stats_init(&server->stats);
    soup_server_add_handler(server->http, KV_PATH, handle_kv, server, NULL);
    soup_server_add_handler(server->http, TXN_PATH, handle_txn, server, NULL);
    soup_server_add_handler(server->http, HOSTS_PATH, handle_hosts, server,
                            NULL);
    soup_server_add_handler(server->http, "/standin", handle_standin, server,
                            NULL);
    if (!listen_on(server, address, port, status)) {
        store_server_destroy(server);
        return NULL;
    }
    return server;
}

void
store_server_destroy(struct store_server *server)
{
    if (server == NULL) {
        return;
    }
    soup_server_disconnect(server->http);
    g_list_free_full(server->waiters, (GDestroyNotify)call_destroy);
    g_list_free_full(server->held_connections, g_object_unref);
    g_object_unref(server->http);
    store_hosts_destroy(server->hosts);
    store_kv_destroy(server->kv);
    g_free(server);
}

uint16_t
store_server_port(const struct store_server *server)
{
    return server->port;
}
