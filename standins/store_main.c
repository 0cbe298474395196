/* standin-store: in-memory key-value store and host list for tests. */
#include <argp.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>

#include "store_server.h"

const char *argp_program_version = "standin-store " EGRET_VERSION;

struct arguments {
    const char *address;
    uint16_t port;
};

static const struct argp_option options[] = {
    {"address", 'a', "IP", 0, "IP address to listen on (127.0.0.1)", 0},
    {"port", 'p', "PORT", 0,
     "port to listen on; 0: assigned by the kernel (0)", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    guint64 port = 0;
    switch (key) {
    case 'a':
        arguments->address = arg;
        return 0;
    case 'p':
        if (!g_ascii_string_to_unsigned(arg, 10, 0, UINT16_MAX, &port, NULL)) {
            argp_error(state, "invalid port: %s", arg);
        }
        arguments->port = (uint16_t)port;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "In-memory key-value store and host list for tests.",
};

static gboolean
on_signal(void *loop)
{
    g_main_loop_quit(loop);
    return G_SOURCE_CONTINUE;
}

int
main(int argc, char **argv)
{
    struct arguments arguments = {.address = "127.0.0.1"};
    struct status status = {.code = STATUS_OK};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    struct store_server *server =
        store_server_create(arguments.address, arguments.port, &status);
    if (server == NULL) {
        fprintf(stderr, "standin-store: %s\n", status.message);
        return EXIT_FAILURE;
    }
    printf("port=%u\n", store_server_port(server));
    fflush(stdout);
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    g_unix_signal_add(SIGTERM, on_signal, loop);
    g_unix_signal_add(SIGINT, on_signal, loop);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    store_server_destroy(server);
    return EXIT_SUCCESS;
}
