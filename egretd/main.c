#include <glib-unix.h>
#include <signal.h>

#include "common/daemon.h"
#include "common/log.h"
#include "egretd/gateway.h"

static gboolean
on_signal(void *data)
{
    gateway_shutdown(data);
    return G_SOURCE_CONTINUE;
}

static int
run_gateway(const struct settings *settings, const char *secret)
{
    struct status status;
    status_clear(&status);
    struct gateway *gateway = gateway_create(settings, secret);
    guint term = g_unix_signal_add(SIGTERM, on_signal, gateway);
    guint interrupt = g_unix_signal_add(SIGINT, on_signal, gateway);
    bool ran = gateway_run(gateway, &status);
    if (!ran) {
        log_line(LOG_LEVEL_ERROR, "failed", "reason=%s",
                 log_quote(status.message));
    }
    g_source_remove(term);
    g_source_remove(interrupt);
    gateway_destroy(gateway);
    return ran ? DAEMON_EXIT_OK : DAEMON_EXIT_FAILED;
}

int
main(int argc, char **argv)
{
    static const struct daemon_program program = {
        .name = "egretd",
        .doc = "Gateway between callers and backend servers.",
        .run = run_gateway,
    };
    return daemon_main(&program, argc, argv);
}
