/* Command line shared by the daemons. */
#ifndef COMMON_DAEMON_H
#define COMMON_DAEMON_H

#include "common/settings.h"

/**
 * struct daemon_program - what differs between the daemons
 * @name: program name
 * @doc: one sentence for --help
 * @run: serves until the process is asked to stop; returns the exit status
 */
struct daemon_program {
    const char *name;
    const char *doc;
    int (*run)(const struct settings *settings, const char *secret);
};

/** enum daemon_exit - exit statuses of the daemons */
enum daemon_exit {
    DAEMON_EXIT_OK = 0,
    DAEMON_EXIT_FAILED = 1,
    DAEMON_EXIT_USAGE = 2,
};

/** daemon_main() - parse arguments, read settings, run. */
int
daemon_main(const struct daemon_program *program, int argc, char **argv);

#endif
