/* standin-load: load generator for the demo, the process tests and the
 * benchmarks. */
#include "load.h"

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "standin-load " EGRET_VERSION;

struct options {
    const char *targets;
    const char *plan;
    const char *config;
    const char *backend;
    const char *out;
};

static const struct argp_option argp_options[] = {
    {"targets", 't', "IP:PORT,...", 0, "gateways"},
    {"plan", 'p', "FILE", 0, "load plan: what each team sends"},
    {"config", 'c', "FILE", 0, "configuration to read shares and limits from"},
    {"backend", 'b', "IP:PORT", 0, "admin address of standin-backend"},
    {"out", 'o', "FILE", 0, "write the results to FILE as JSON"},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct options *options = state->input;
    switch (key) {
    case 't':
        options->targets = arg;
        break;
    case 'p':
        options->plan = arg;
        break;
    case 'c':
        options->config = arg;
        break;
    case 'b':
        options->backend = arg;
        break;
    case 'o':
        options->out = arg;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static bool
prepare(struct load *load, const struct options *options)
{
    if (options->targets == NULL || options->plan == NULL) {
        fprintf(stderr, "--targets and --plan are required\n");
        return false;
    }
    load->targets = g_strsplit(options->targets, ",", -1);
    load->run_id = g_strdup_printf("%08x", g_random_int());
    load->teams = g_ptr_array_new();
    load->requests = g_ptr_array_new();
    if (!load_plan_read(load, options->plan)) {
        return false;
    }
    return options->config == NULL || load_config_read(load, options->config);
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        argp_options, parse_option, NULL,
        "Sends requests of several teams and checks their outcomes."};
    struct options options = {0};
    struct load load = {0};
    struct load_checks checks = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    if (!prepare(&load, &options)) {
        return EXIT_FAILURE;
    }
    load_run(&load);
    if (options.backend != NULL) {
        checks = load_check(&load, options.backend);
    }
    load_print_table(&load);
    if (options.out != NULL &&
        !load_write_results(&load, &checks, options.out)) {
        fprintf(stderr, "cannot write %s\n", options.out);
        return EXIT_FAILURE;
    }
    printf("invariants: %" PRIu64 " checked, %" PRIu64 " violated\n",
           checks.checked, checks.violated);
    bool ok = checks.violated == 0 && checks.checked > 0;
    return ok || options.backend == NULL ? EXIT_SUCCESS : EXIT_FAILURE;
}
