/* Job daemon: takes jobs from callers and runs them on backend servers. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/event_log.h"
#include "common/findings.h"
#include "egretjobd/node.h"
#include "platform/job_settings.h"

#define SETTINGS_VARIABLE "EGRETGLADE_BOOT"

const char *argp_program_version = "egretjobd " EGRET_VERSION;

struct arguments {
    const char *settings_path;
    bool check;
};

static const struct argp_option options[] = {
    {"check", 'c', NULL, 0, "check the settings and exit", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    switch (key) {
    case 'c':
        arguments->check = true;
        return 0;
    case ARGP_KEY_ARG:
        if (arguments->settings_path != NULL) {
            argp_usage(state);
        }
        arguments->settings_path = arg;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "[SETTINGS]",
        .doc = "Takes jobs from callers and runs them on backend servers. "
               "SETTINGS is the path of the settings file; without it the "
               "environment variable " SETTINGS_VARIABLE " gives it.",
    };
    struct arguments arguments = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.settings_path == NULL) {
        arguments.settings_path = getenv(SETTINGS_VARIABLE);
    }
    struct findings *findings = findings_create();
    struct job_settings *settings =
        job_settings_read(arguments.settings_path, findings);
    findings_print(findings, stderr);
    findings_destroy(findings);
    if (settings == NULL) {
        return EXIT_FAILURE;
    }
    int result = EXIT_SUCCESS;
    if (!arguments.check) {
        event_log_open(settings->node_name);
        result = node_run(settings);
    }
    job_settings_destroy(settings);
    return result;
}
