/* standin-backend: all backend servers of a small fleet in one process. */
#include "backend.h"

#include <argp.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "standin-backend " EGRET_VERSION;

struct options {
    struct backend_layout layout;
    uint16_t admin_port;
    const char *hosts_out;
    const char *port_out;
};

enum option_key {
    OPTION_LAYOUT = 'l',
    OPTION_DCS = 'd',
    OPTION_RACK_SIZE = 'r',
    OPTION_SLOTS = 's',
    OPTION_CONNECTIONS = 'c',
    OPTION_PORT_BASE = 'p',
    OPTION_ADMIN_PORT = 'a',
    OPTION_HOSTS_OUT = 'o',
    OPTION_PORT_OUT = 'P',
};

static const struct argp_option argp_options[] = {
    {"layout", OPTION_LAYOUT, "POOL:COUNT,...", 0, "hosts per pool"},
    {"dcs", OPTION_DCS, "NAME,...", 0, "data centres"},
    {"rack-size", OPTION_RACK_SIZE, "N", 0, "hosts per rack (4)"},
    {"slots", OPTION_SLOTS, "N", 0, "slots per host (8)"},
    {"connections", OPTION_CONNECTIONS, "N", 0, "connections per host (64)"},
    {"port-base", OPTION_PORT_BASE, "PORT", 0,
     "first port (assigned by the kernel)"},
    {"admin-port", OPTION_ADMIN_PORT, "PORT", 0,
     "port of the admin interface (assigned by the kernel)"},
    {"hosts-out", OPTION_HOSTS_OUT, "FILE", 0, "write the host list to FILE"},
    {"port-out", OPTION_PORT_OUT, "FILE", 0,
     "write the admin port to FILE once all ports listen"},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct options *options = state->input;
    switch (key) {
    case OPTION_LAYOUT:
        options->layout.pools = arg;
        break;
    case OPTION_DCS:
        options->layout.dcs = arg;
        break;
    case OPTION_RACK_SIZE:
        options->layout.rack_size = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case OPTION_SLOTS:
        options->layout.slots = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case OPTION_CONNECTIONS:
        options->layout.connections = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case OPTION_PORT_BASE:
        options->layout.port_base = (uint16_t)strtoul(arg, NULL, 10);
        break;
    case OPTION_ADMIN_PORT:
        options->admin_port = (uint16_t)strtoul(arg, NULL, 10);
        break;
    case OPTION_HOSTS_OUT:
        options->hosts_out = arg;
        break;
    case OPTION_PORT_OUT:
        options->port_out = arg;
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

static void
init_backend(struct backend *backend)
{
    backend->admin = soup_server_new(NULL, NULL);
    backend->hosts = g_ptr_array_new();
    backend->runs = g_ptr_array_new();
    backend->tasks = g_hash_table_new(g_str_hash, g_str_equal);
    backend->team_counts = g_hash_table_new(g_str_hash, g_str_equal);
    backend->dc_counts = g_hash_table_new(g_str_hash, g_str_equal);
    backend->queue_counts = g_hash_table_new(g_str_hash, g_str_equal);
    backend->host_counts = g_hash_table_new(g_str_hash, g_str_equal);
    backend_admin_serve(backend);
}

static bool
write_files(const struct backend *backend, const struct options *options)
{
    GSList *uris = soup_server_get_uris(backend->admin);
    char *port = g_strdup_printf("%d\n", g_uri_get_port(uris->data));
    char *hosts = backend_hosts_json(backend);
    bool written = true;
    if (options->hosts_out != NULL) {
        written = g_file_set_contents(options->hosts_out, hosts, -1, NULL);
    }
    if (written && options->port_out != NULL) {
        written = g_file_set_contents(options->port_out, port, -1, NULL);
    }
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    g_free(hosts);
    g_free(port);
    return written;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        argp_options, parse_option, NULL,
        "Emulates the backend servers of a fleet on 127.0.0.1."};
    struct options options = {
        .layout = {.pools = "work:2",
                   .dcs = "split-1",
                   .rack_size = 4,
                   .slots = 8,
                   .connections = 64},
    };
    struct backend backend = {0};
    GError *error = NULL;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    init_backend(&backend);
    if (!backend_layout_make(&backend, &options.layout)) {
        return EXIT_FAILURE;
    }
    if (!soup_server_listen_local(backend.admin, options.admin_port,
                                  SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
        fprintf(stderr, "cannot listen on the admin port: %s\n",
                error->message);
        return EXIT_FAILURE;
    }
    if (!write_files(&backend, &options)) {
        fprintf(stderr, "cannot write the host list or the admin port\n");
        return EXIT_FAILURE;
    }
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    g_unix_signal_add(SIGTERM, on_signal, loop);
    g_unix_signal_add(SIGINT, on_signal, loop);
    g_main_loop_run(loop);
    return EXIT_SUCCESS;
}
