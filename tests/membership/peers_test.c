/*
 * Links between two gateways: each pair keeps exactly one link, a peer without
 * the secret or with invalid input gets none, and a link that stops passing
 * frames without being closed is replaced.
 */
#include <string.h>

#include "../suite.h"
#include "link_fixture.h"

enum {
    IDLE_TIMEOUT_MS = 400,
    /* No link is idle for as long while a starved machine gets to the test. */
    NEVER_IDLE_MS = 60000,
};

/* The two gateways; their incarnations are "a" and "b". */
static struct node low;
static struct node high;

static bool
both_linked(void *ctx)
{
    return peers_get_stats(low.peers).linked == 1 &&
           peers_get_stats(high.peers).linked == 1;
}

static void
set_members_of_both(uint16_t high_port)
{
    uint16_t low_port = peers_port(low.peers);
    node_set_members(&low, "a", low_port, "b", high_port);
    node_set_members(&high, "a", low_port, "b", high_port);
}

static void
start_with_idle_timeout(const char *low_secret, const char *high_secret,
                        int64_t idle_timeout_ms)
{
    node_start(&low, "a", low_secret, 0, idle_timeout_ms);
    node_start(&high, "b", high_secret, 0, idle_timeout_ms);
}

static void
start_both(const char *low_secret, const char *high_secret)
{
    start_with_idle_timeout(low_secret, high_secret, IDLE_TIMEOUT_MS);
}

static void
stop_both(void)
{
    node_stop(&low);
    node_stop(&high);
}

static bool
heartbeats_arrived(void *ctx)
{
    return high.n_heartbeats > 0 && low.n_heartbeats > 0;
}

static void
test_one_link_for_a_pair(void)
{
    start_with_idle_timeout("secret", "secret", NEVER_IDLE_MS);
    set_members_of_both(peers_port(high.peers));
    CU_ASSERT(wait_until(both_linked, NULL));
    node_send_heartbeat(&low);
    node_send_heartbeat(&high);
    CU_ASSERT(wait_until(heartbeats_arrived, NULL));
    CU_ASSERT_EQUAL(low.n_up, 1);
    CU_ASSERT_EQUAL(high.n_up, 1);
    CU_ASSERT_EQUAL(peers_get_stats(low.peers).rejected, 0);
    stop_both();
}

static bool
high_rejected(void *n)
{
    return peers_get_stats(high.peers).rejected >=
           (uint64_t)GPOINTER_TO_UINT(n);
}

static void
test_wrong_secret(void)
{
    start_both("secret", "other");
    set_members_of_both(peers_port(high.peers));
    CU_ASSERT(wait_until(high_rejected, GUINT_TO_POINTER(2)));
    CU_ASSERT_EQUAL(low.n_up + high.n_up, 0);
    stop_both();
}

/* Sends raw bytes to @high and closes. */
static void
send_raw(const void *bytes, size_t size_bytes)
{
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *connection = g_socket_client_connect_to_host(
        client, "127.0.0.1", peers_port(high.peers), NULL, NULL);
    g_output_stream_write_all(
        g_io_stream_get_output_stream(G_IO_STREAM(connection)), bytes,
        size_bytes, NULL, NULL, NULL);
    g_object_unref(connection);
    g_object_unref(client);
}

static void
test_invalid_input_on_the_port(void)
{
    static const uint8_t oversized[] = {0x00, 0x00, 0x02, 0x01, 0x93};
    static const uint8_t huge[] = {0xff, 0xff, 0xff, 0xff};
    static const uint8_t truncated[] = {0x00, 0x00, 0x00, 0x40, 0x93, 0x01};
    static const uint8_t proof_first[] = {0, 0, 0, 4, 0x93, 1, 2, 0xc0};
    static const char http[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    start_with_idle_timeout("secret", "secret", NEVER_IDLE_MS);
    set_members_of_both(peers_port(high.peers));
    CU_ASSERT(wait_until(both_linked, NULL));
    send_raw(oversized, sizeof(oversized));
    send_raw(huge, sizeof(huge));
    send_raw(truncated, sizeof(truncated));
    send_raw(proof_first, sizeof(proof_first));
    send_raw(http, strlen(http));
    send_raw("", 0);
    CU_ASSERT(wait_until(high_rejected, GUINT_TO_POINTER(6)));
    node_send_heartbeat(&low);
    node_send_heartbeat(&high);
    CU_ASSERT(wait_until(heartbeats_arrived, NULL));
    CU_ASSERT_EQUAL(high.n_up, 1);
    stop_both();
}

/** struct relay - forwards connections to the port @target */
struct relay {
    GSocketService *service;
    GPtrArray *connections;
    GCancellable *cancellable;
    uint16_t port;
    uint16_t target;
};

static gboolean
relay_accept(GSocketService *service, GSocketConnection *in, GObject *source,
             void *ctx)
{
    struct relay *relay = ctx;
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *out = g_socket_client_connect_to_host(
        client, "127.0.0.1", relay->target, NULL, NULL);
    GIOStream *ends[] = {G_IO_STREAM(in), G_IO_STREAM(out)};
    for (size_t i = 0; i < 2; i++) {
        g_output_stream_splice_async(
            g_io_stream_get_output_stream(ends[1 - i]),
            g_io_stream_get_input_stream(ends[i]), G_OUTPUT_STREAM_SPLICE_NONE,
            G_PRIORITY_DEFAULT, relay->cancellable, NULL, NULL);
    }
    g_ptr_array_add(relay->connections, g_object_ref(in));
    g_ptr_array_add(relay->connections, out);
    g_object_unref(client);
    return TRUE;
}

static void
relay_start(struct relay *relay, uint16_t target)
{
    relay->service = g_socket_service_new();
    relay->connections = g_ptr_array_new_with_free_func(g_object_unref);
    relay->cancellable = g_cancellable_new();
    relay->target = target;
    relay->port = g_socket_listener_add_any_inet_port(
        G_SOCKET_LISTENER(relay->service), NULL, NULL);
    g_signal_connect(relay->service, "incoming", G_CALLBACK(relay_accept),
                     relay);
}

/* Present connections stay open but forward nothing any more. */
static void
relay_stop_forwarding(struct relay *relay)
{
    g_cancellable_cancel(relay->cancellable);
    g_object_unref(relay->cancellable);
    relay->cancellable = g_cancellable_new();
}

static void
relay_stop(struct relay *relay)
{
    g_socket_service_stop(relay->service);
    g_socket_listener_close(G_SOCKET_LISTENER(relay->service));
    g_object_unref(relay->service);
    relay_stop_forwarding(relay);
    g_main_context_iteration(NULL, FALSE);
    g_ptr_array_unref(relay->connections);
    g_object_unref(relay->cancellable);
}

static gboolean
send_heartbeats(void *ctx)
{
    node_send_heartbeat(&low);
    node_send_heartbeat(&high);
    return G_SOURCE_CONTINUE;
}

static bool
link_replaced(void *ctx)
{
    return low.n_down >= 1 && low.n_up >= 2 && both_linked(NULL);
}

static void
test_idle_link_is_replaced(void)
{
    struct relay relay;
    start_both("secret", "secret");
    relay_start(&relay, peers_port(high.peers));
    set_members_of_both(relay.port);
    guint heartbeat_timer =
        g_timeout_add(IDLE_TIMEOUT_MS / 8, send_heartbeats, NULL);
    CU_ASSERT(wait_until(both_linked, NULL));
    relay_stop_forwarding(&relay);
    CU_ASSERT(wait_until(link_replaced, NULL));
    g_source_remove(heartbeat_timer);
    stop_both();
    relay_stop(&relay);
}

static bool
replacement_reported(void *ctx)
{
    return low.replaced != NULL;
}

static void
test_replaced_process_is_reported(void)
{
    start_both("secret", "secret");
    uint16_t port = peers_port(high.peers);
    set_members_of_both(port);
    CU_ASSERT(wait_until(both_linked, NULL));
    node_stop(&high);
    node_start(&high, "c", "secret", port, IDLE_TIMEOUT_MS);
    CU_ASSERT(wait_until(replacement_reported, NULL));
    CU_ASSERT_STRING_EQUAL(low.replaced, "b");
    stop_both();
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"one link for a pair", test_one_link_for_a_pair},
        {"wrong secret", test_wrong_secret},
        {"invalid input on the port", test_invalid_input_on_the_port},
        {"idle link is replaced", test_idle_link_is_replaced},
        {"replaced process is reported", test_replaced_process_is_reported},
    };
    return suite_main("peers", tests, G_N_ELEMENTS(tests));
}
