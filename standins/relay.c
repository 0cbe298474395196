/* standin-relay: minimal HTTP relay, the baseline of the gateway benchmarks.
 */
#include <argp.h>
#include <glib-unix.h>
#include <inttypes.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "standin-relay " EGRET_VERSION;

enum {
    CONNECTIONS_MAX = 1024
};

/**
 * struct relay - relays all requests to one port to one target
 * @target: IP:port of the backend server
 * @new_connections: open a new connection to the target for each request
 * @last_task: number of the last task, part of its id
 */
struct relay {
    const char *target;
    const char *port_out;
    uint16_t port;
    bool new_connections;
    SoupServer *server;
    SoupSession *session;
    uint64_t last_task;
};

/**
 * struct relayed - one relayed request
 * @in: request of the client
 * @out: request to the target
 */
struct relayed {
    SoupServerMessage *in;
    SoupMessage *out;
};

static const struct argp_option argp_options[] = {
    {"target", 't', "IP:PORT", 0, "backend server"},
    {"port", 'p', "PORT", 0, "port to listen on (assigned by the kernel)"},
    {"port-out", 'P', "FILE", 0, "write the port to FILE"},
    {"new-connections", 'n', NULL, 0, "open a new connection per request"},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct relay *relay = state->input;
    switch (key) {
    case 't':
        relay->target = arg;
        break;
    case 'p':
        relay->port = (uint16_t)strtoul(arg, NULL, 10);
        break;
    case 'P':
        relay->port_out = arg;
        break;
    case 'n':
        relay->new_connections = true;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static void
on_response(GObject *session, GAsyncResult *result, gpointer data)
{
    struct relayed *relayed = data;
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(session), result, NULL);
    if (body == NULL) {
        soup_server_message_set_status(relayed->in, SOUP_STATUS_BAD_GATEWAY,
                                       NULL);
    }
    else {
        gsize size_bytes = 0;
        const char *text = g_bytes_get_data(body, &size_bytes);
        soup_server_message_set_status(
            relayed->in, soup_message_get_status(relayed->out), NULL);
        soup_server_message_set_response(relayed->in, "text/plain",
                                         SOUP_MEMORY_COPY, text, size_bytes);
        g_bytes_unref(body);
    }
    soup_server_message_unpause(relayed->in);
    g_object_unref(relayed->in);
    g_object_unref(relayed->out);
    g_free(relayed);
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    struct relay *relay = data;
    struct relayed *relayed = g_new0(struct relayed, 1);
    char *uri =
        g_strdup_printf("http://%s/v1/tasks/relay-%d-%" PRIu64, relay->target,
                        relay->port, ++relay->last_task);
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    GBytes *bytes = soup_message_body_flatten(body);
    relayed->in = g_object_ref(message);
    relayed->out = soup_message_new(SOUP_METHOD_POST, uri);
    soup_message_set_request_body_from_bytes(relayed->out, "text/plain",
                                             bytes);
    if (relay->new_connections) {
        soup_message_add_flags(relayed->out, SOUP_MESSAGE_NEW_CONNECTION);
        soup_message_headers_append(
            soup_message_get_request_headers(relayed->out), "Connection",
            "close");
    }
    else {
        soup_message_add_flags(relayed->out, SOUP_MESSAGE_IDEMPOTENT);
    }
    soup_server_message_pause(message);
    soup_session_send_and_read_async(relay->session, relayed->out,
                                     G_PRIORITY_DEFAULT, NULL, on_response,
                                     relayed);
    g_bytes_unref(bytes);
    g_free(uri);
}

static gboolean
on_signal(gpointer data)
{
    g_main_loop_quit(data);
    return G_SOURCE_CONTINUE;
}

static void
write_port(struct relay *relay)
{
    GSList *uris = soup_server_get_uris(relay->server);
    relay->port = (uint16_t)g_uri_get_port(uris->data);
    char *text = g_strdup_printf("%d\n", relay->port);
    if (relay->port_out != NULL) {
        g_file_set_contents(relay->port_out, text, -1, NULL);
    }
    g_free(text);
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {argp_options, parse_option, NULL,
                                     "Relays requests to one backend server."};
    struct relay relay = {0};
    GError *error = NULL;
    argp_parse(&argp, argc, argv, 0, NULL, &relay);
    if (relay.target == NULL) {
        fprintf(stderr, "--target is required\n");
        return EXIT_FAILURE;
    }
    relay.session = soup_session_new_with_options("max-conns", CONNECTIONS_MAX,
                                                  "max-conns-per-host",
                                                  CONNECTIONS_MAX, NULL);
    relay.server = soup_server_new(NULL, NULL);
    soup_server_add_handler(relay.server, NULL, on_request, &relay, NULL);
    if (!soup_server_listen_local(relay.server, relay.port,
                                  SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return EXIT_FAILURE;
    }
    write_port(&relay);
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    g_unix_signal_add(SIGTERM, on_signal, loop);
    g_unix_signal_add(SIGINT, on_signal, loop);
    g_main_loop_run(loop);
    return EXIT_SUCCESS;
}
