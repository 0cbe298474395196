/* standin-proxy: TCP proxy between any two processes that injects network
 * faults. */
#include "proxy.h"

#include <argp.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "standin-proxy " EGRET_VERSION;

struct options {
    uint16_t admin_port;
    uint64_t seed;
    const char *port_out;
};

static const struct argp_option argp_options[] = {
    {"admin-port", 'a', "PORT", 0,
     "port of the admin interface (assigned by the kernel)"},
    {"port-out", 'P', "FILE", 0, "write the admin port to FILE"},
    {"seed", 's', "N", 0, "seed of the random number generator (1)"},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct options *options = state->input;
    switch (key) {
    case 'a':
        options->admin_port = (uint16_t)strtoul(arg, NULL, 10);
        break;
    case 'P':
        options->port_out = arg;
        break;
    case 's':
        options->seed = strtoull(arg, NULL, 10);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static gboolean
on_signal(gpointer data)
{
    g_main_loop_quit(data);
    return G_SOURCE_CONTINUE;
}

static bool
write_port(const struct proxy *proxy, const char *file)
{
    GSList *uris = soup_server_get_uris(proxy->admin);
    char *text = g_strdup_printf("%d\n", g_uri_get_port(uris->data));
    bool written = file == NULL || g_file_set_contents(file, text, -1, NULL);
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    g_free(text);
    return written;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        argp_options, parse_option, NULL,
        "Forwards TCP connections and injects faults on request."};
    struct options options = {.seed = 1};
    GError *error = NULL;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    struct proxy proxy = {
        .routes = g_hash_table_new(g_str_hash, g_str_equal),
        .admin = soup_server_new(NULL, NULL),
        .client = g_socket_client_new(),
        .random = random_seeded(options.seed),
    };
    proxy_admin_serve(&proxy);
    if (!soup_server_listen_local(proxy.admin, options.admin_port,
                                  SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
        fprintf(stderr, "cannot listen on the admin port: %s\n",
                error->message);
        return EXIT_FAILURE;
    }
    if (!write_port(&proxy, options.port_out)) {
        return EXIT_FAILURE;
    }
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    g_unix_signal_add(SIGTERM, on_signal, loop);
    g_unix_signal_add(SIGINT, on_signal, loop);
    g_main_loop_run(loop);
    return EXIT_SUCCESS;
}
