/* egretfleetd: the fleet controller. */
#include <glib-unix.h>
#include <signal.h>

#include "common/daemon.h"
#include "common/log.h"
#include "egretfleetd/controller.h"

static gboolean
on_signal(void *data)
{
    controller_stop(data);
    return G_SOURCE_CONTINUE;
}

static int
run_controller(const struct settings *settings, const char *secret)
{
    struct status status;
    status_clear(&status);
    struct controller *controller = controller_create(settings, secret);
    guint term = g_unix_signal_add(SIGTERM, on_signal, controller);
    guint interrupt = g_unix_signal_add(SIGINT, on_signal, controller);
    bool ran = controller_run(controller, &status);
    if (!ran) {
        log_line(LOG_LEVEL_ERROR, "failed", "reason=%s",
                 log_quote(status.message));
    }
    g_source_remove(term);
    g_source_remove(interrupt);
    controller_destroy(controller);
    return ran ? DAEMON_EXIT_OK : DAEMON_EXIT_FAILED;
}

int
main(int argc, char **argv)
{
    static const struct daemon_program program = {
        .name = "egretfleetd",
        .doc = "Controller of pools, maintenance and data centres.",
        .run = run_controller,
    };
    return daemon_main(&program, argc, argv);
}
