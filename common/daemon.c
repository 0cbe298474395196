#include "common/daemon.h"

#include <argp.h>
#include <glib.h>
#include <signal.h>

enum {
    VERSION_BYTES = 64,
};

struct arguments {
    const char *file;
    bool check;
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    switch (key) {
    case 'c':
        arguments->check = true;
        return 0;
    case ARGP_KEY_ARG:
        if (arguments->file != NULL) {
            argp_error(state, "more than one settings file given");
        }
        arguments->file = value;
        return 0;
    case ARGP_KEY_END:
        if (arguments->file == NULL) {
            argp_error(state, "no settings file given");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static int
run_with(const struct daemon_program *program,
         const struct arguments *arguments, struct findings *findings)
{
    struct settings *settings = settings_read(arguments->file, findings);
    char *secret =
        settings == NULL ? NULL : settings_read_secret(settings, findings);
    int status = DAEMON_EXIT_USAGE;
    findings_print(findings, stderr);
    if (secret != NULL && arguments->check) {
        printf("%s: no findings\n", arguments->file);
        status = DAEMON_EXIT_OK;
    }
    else if (secret != NULL) {
        log_open(program->name, settings->log_level);
        status = program->run(settings, secret);
        log_close();
    }
    g_free(secret);
    settings_destroy(settings);
    return status;
}

int
daemon_main(const struct daemon_program *program, int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"check", 'c', NULL, 0, "Check the settings and exit", 0},
        {0},
    };
    const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "SETTINGS",
        .doc = program->doc,
    };
    struct arguments arguments = {0};
    char version[VERSION_BYTES];
    g_snprintf(version, sizeof(version), "%s %s", program->name,
               EGRET_VERSION);
    argp_program_version = version;
    argp_err_exit_status = DAEMON_EXIT_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    signal(SIGPIPE, SIG_IGN);
    struct findings *findings = findings_create();
    int status = run_with(program, &arguments, findings);
    findings_destroy(findings);
    return status;
}
