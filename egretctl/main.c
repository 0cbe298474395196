#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "commands.h"
#include "common/json_read.h"

#define SETTINGS_VARIABLE "EGRETCTL_SETTINGS"

enum {
    STORE_TIMEOUT_MS = 2000,
    WATCH_WAIT_MS = 10000,
    KEY_YES = 256,
    KEY_EXPIRES,
    KEY_POOL,
    KEY_DC,
    KEY_OLDER_THAN,
    HOST_NAME_MAX_BYTES = 64,
    /* Healthy gateways need less; those that are late are reported. */
    DEFAULT_WAIT_S = 15,
};

const char *argp_program_version = "egretctl " EGRET_VERSION;

struct arguments {
    struct ctl_options options;
    GPtrArray *words;
};

static const struct argp_option options[] = {
    {"store", 's', "URL", 0, "base URL of the key-value service", 0},
    {"secret-file", 'S', "FILE", 0,
     "secret shared with the gateways, for their status", 0},
    {"json", 'j', 0, 0, "print JSON in place of tables", 0},
    {"wait", 'w', "TIME", OPTION_ARG_OPTIONAL,
     "wait until the change is in force everywhere, 15s at most or TIME", 1},
    {"yes", KEY_YES, 0, 0, "confirm an operation that can do harm", 1},
    {"expires", KEY_EXPIRES, "TIME", 0,
     "lifetime of a key: a number and s, m, h or d", 1},
    {"pool", KEY_POOL, "POOL", 0, "only hosts of this pool; repeatable", 2},
    {"dc", KEY_DC, "NAME", 0, "only hosts in this data centre; repeatable", 2},
    {"older-than", KEY_OLDER_THAN, "TIME", 0,
     "only hosts not rebooted for this long", 2},
    {0},
};

/* Parses a number with the unit s, m, h or d; returns seconds. */
static int64_t
parse_duration_s(const char *text, struct argp_state *state)
{
    static const struct {
        char unit;
        int64_t seconds;
    } units[] = {{'s', 1}, {'m', 60}, {'h', 3600}, {'d', 86400}};
    char *end = NULL;
    guint64 number = g_ascii_strtoull(text, &end, 10);
    for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
        bool fits = number > 0 && number < INT32_MAX;
        if (fits && end[0] == units[i].unit && end[1] == '\0') {
            return (int64_t)number * units[i].seconds;
        }
    }
    argp_error(state, "expected a duration such as 90d or 12h, got: %s", text);
    return 0;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    struct ctl_options *parsed = &arguments->options;
    switch (key) {
    case 's':
        g_free(parsed->store_url);
        parsed->store_url = g_strdup(arg);
        return 0;
    case 'S':
        g_free(parsed->secret_file);
        parsed->secret_file = g_strdup(arg);
        return 0;
    case 'j':
        parsed->json = true;
        return 0;
    case 'w':
        parsed->given |= CTL_FLAG_WAIT;
        parsed->wait_s =
            arg == NULL ? DEFAULT_WAIT_S : parse_duration_s(arg, state);
        return 0;
    case KEY_YES:
        parsed->given |= CTL_FLAG_YES;
        return 0;
    case KEY_EXPIRES:
        parsed->given |= CTL_FLAG_EXPIRES;
        parsed->expires_s = parse_duration_s(arg, state);
        return 0;
    case KEY_POOL:
        parsed->given |= CTL_FLAG_POOL;
        g_ptr_array_add(parsed->pools, arg);
        return 0;
    case KEY_DC:
        parsed->given |= CTL_FLAG_DC;
        g_ptr_array_add(parsed->dcs, arg);
        return 0;
    case KEY_OLDER_THAN:
        parsed->given |= CTL_FLAG_OLDER_THAN;
        parsed->older_than_s = parse_duration_s(arg, state);
        return 0;
    case ARGP_KEY_ARG:
        g_ptr_array_add(arguments->words, arg);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static char *
list_commands(int key, const char *text, void *input)
{
    (void)input;
    if (key != ARGP_KEY_HELP_POST_DOC) {
        return (char *)text;
    }
    size_t n_commands = 0;
    const struct command *commands = command_list(&n_commands);
    GString *help = g_string_new("Commands:\n");
    for (size_t i = 0; i < n_commands; i++) {
        g_string_append_printf(help, "  %s %s\n      %s\n", commands[i].name,
                               commands[i].arguments, commands[i].summary);
    }
    char *copy = strdup(help->str);
    g_string_free(help, TRUE);
    return copy;
}

static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .args_doc = "COMMAND [ARGUMENT...]",
    .doc =
        "Command line for operators of egretglade.\v"
        "Exit status: 0 success, 1 refused, 2 usage, 3 conflict, 4 store not "
        "reachable, 5 outcome unknown, 6 accepted but not yet in force "
        "everywhere.",
    .help_filter = list_commands,
};

static void
read_default(const struct json_place *place, const char *member, char **into)
{
    const char *text = json_read_string(place, member, false);
    if (*into == NULL) {
        *into = g_strdup(text);
    }
}

/* Options on the command line take precedence over the settings file. */
static bool
read_settings(struct ctl_options *parsed)
{
    static const char *const members[] = {"store_url", "secret_file", NULL};
    const char *file = g_getenv(SETTINGS_VARIABLE);
    if (file == NULL) {
        return true;
    }
    struct findings *findings = findings_create();
    JsonNode *root = json_read_file(file, findings);
    if (root != NULL) {
        struct json_place place = {
            .object = json_node_get_object(root),
            .file = file,
            .path = "$",
            .findings = findings,
        };
        json_reject_unknown_members(&place, members);
        read_default(&place, "store_url", &parsed->store_url);
        read_default(&place, "secret_file", &parsed->secret_file);
        json_node_unref(root);
    }
    bool good = findings_count(findings) == 0;
    findings_print(findings, stderr);
    findings_destroy(findings);
    return good;
}

static char *
create_author(void)
{
    char host[HOST_NAME_MAX_BYTES] = "";
    gethostname(host, sizeof(host) - 1);
    return g_strdup_printf("%s@%s", g_get_user_name(), host);
}

static enum ctl_exit
run_command(const struct command *command, const struct arguments *arguments,
            int n_args, char **args)
{
    struct ctl ctl = {.options = arguments->options};
    if (!command->offline && ctl.options.store_url == NULL) {
        return ctl_fail(CTL_USAGE, "no store: give --store or set store_url "
                                   "in the file named by " SETTINGS_VARIABLE);
    }
    ctl.loop = g_main_loop_new(NULL, FALSE);
    ctl.author = create_author();
    if (!command->offline) {
        ctl.store = store_create(&(struct store_options){
            .url = ctl.options.store_url,
            .timeout_ms = STORE_TIMEOUT_MS,
            .watch_wait_ms = WATCH_WAIT_MS,
            .clock = ms_clock_system(),
        });
    }
    enum ctl_exit code = command->run(&ctl, n_args, args);
    store_destroy(ctl.store);
    g_main_loop_unref(ctl.loop);
    g_free(ctl.author);
    return code;
}

static enum ctl_exit
run_command_line(struct arguments *arguments)
{
    int used = 0;
    int n_words = (int)arguments->words->len;
    char **words = (char **)arguments->words->pdata;
    const struct command *command = command_find(n_words, words, &used);
    if (command == NULL) {
        return ctl_fail(CTL_USAGE, "unknown command; see egretctl --help");
    }
    int n_args = n_words - used;
    if (n_args < command->min_args || n_args > command->max_args) {
        return ctl_fail(CTL_USAGE, "usage: egretctl %s %s", command->name,
                        command->arguments);
    }
    if ((arguments->options.given & ~command->flags) != 0) {
        return ctl_fail(CTL_USAGE,
                        "%s does not accept one of the options given",
                        command->name);
    }
    if (!read_settings(&arguments->options)) {
        return CTL_USAGE;
    }
    return run_command(command, arguments, n_args, words + used);
}

int
main(int argc, char **argv)
{
    struct arguments arguments = {
        .options.pools = g_ptr_array_new(),
        .options.dcs = g_ptr_array_new(),
        .words = g_ptr_array_new(),
    };
    argp_err_exit_status = CTL_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    enum ctl_exit code = run_command_line(&arguments);
    g_ptr_array_unref(arguments.options.pools);
    g_ptr_array_unref(arguments.options.dcs);
    g_ptr_array_unref(arguments.words);
    g_free(arguments.options.store_url);
    g_free(arguments.options.secret_file);
    return (int)code;
}
