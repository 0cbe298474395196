#include "commands.h"

#include <stdlib.h>
#include <string.h>

/* Sorted by name for bsearch(). */
static const struct command commands[] = {
    {
        .name = "apply",
        .arguments = "FILE",
        .summary = "apply a configuration file",
        .min_args = 1,
        .max_args = 1,
        .flags = CTL_FLAG_WAIT | CTL_FLAG_YES,
        .run = command_apply,
    },
    {
        .name = "check",
        .arguments = "FILE...",
        .summary = "validate configuration or settings files",
        .min_args = 1,
        .max_args = INT32_MAX,
        .offline = true,
        .run = command_check,
    },
    {
        .name = "dc in",
        .arguments = "NAME",
        .summary = "take a data centre back into service",
        .min_args = 1,
        .max_args = 1,
        .flags = CTL_FLAG_WAIT,
        .run = command_dc_in,
    },
    {
        .name = "dc out",
        .arguments = "NAME",
        .summary =
            "take a data centre out of service: no more work starts there",
        .min_args = 1,
        .max_args = 1,
        .flags = CTL_FLAG_WAIT,
        .run = command_dc_out,
    },
    {
        .name = "diff",
        .arguments = "FILE | GENERATION [GENERATION]",
        .summary = "show differences from the configuration in force",
        .min_args = 1,
        .max_args = 2,
        .run = command_diff,
    },
    {
        .name = "explain",
        .arguments = "QUEUE",
        .summary = "show what a queue waits for, by gateway",
        .min_args = 1,
        .max_args = 1,
        .run = command_explain,
    },
    {
        .name = "gateway forget",
        .arguments = "INCARNATION",
        .summary =
            "declare that the process of an unreachable gateway has ended",
        .min_args = 1,
        .max_args = 1,
        .flags = CTL_FLAG_YES,
        .run = command_gateway_forget,
    },
    {
        .name = "gateway list",
        .arguments = "",
        .summary = "list the registered gateways",
        .run = command_gateway_list,
    },
    {
        .name = "get",
        .arguments = "[GENERATION]",
        .summary = "print the configuration in force, or an earlier one",
        .max_args = 1,
        .run = command_get,
    },
    {
        .name = "history",
        .arguments = "",
        .summary = "list the stored generations",
        .run = command_history,
    },
    {
        .name = "job",
        .arguments = "ID LOG...",
        .summary =
            "print the timeline of a job from the logs of the entry hosts",
        .min_args = 2,
        .max_args = INT32_MAX,
        .offline = true,
        .run = command_job,
    },
    {
        .name = "key issue",
        .arguments = "TEAM",
        .summary =
            "create a key for a team and print it; it is not shown again",
        .min_args = 1,
        .max_args = 1,
        .flags = CTL_FLAG_WAIT | CTL_FLAG_EXPIRES,
        .run = command_key_issue,
    },
    {
        .name = "key list",
        .arguments = "[TEAM]",
        .summary = "list keys by id",
        .max_args = 1,
        .run = command_key_list,
    },
    {
        .name = "key withdraw",
        .arguments = "ID",
        .summary = "revoke a key",
        .min_args = 1,
        .max_args = 1,
        .flags = CTL_FLAG_WAIT,
        .run = command_key_withdraw,
    },
    {
        .name = "maintain pause",
        .arguments = "WAVE",
        .summary = "start no more drains of a wave",
        .min_args = 1,
        .max_args = 1,
        .run = command_maintain_pause,
    },
    {
        .name = "maintain resume",
        .arguments = "WAVE",
        .summary = "resume a paused wave",
        .min_args = 1,
        .max_args = 1,
        .run = command_maintain_resume,
    },
    {
        .name = "maintain start",
        .arguments = "",
        .summary = "reboot every selected host once, within the budgets",
        .flags = CTL_FLAG_POOL | CTL_FLAG_DC | CTL_FLAG_OLDER_THAN,
        .run = command_maintain_start,
    },
    {
        .name = "maintain status",
        .arguments = "[WAVE]",
        .summary = "show the waves and what they wait for",
        .max_args = 1,
        .run = command_maintain_status,
    },
    {
        .name = "maintain stop",
        .arguments = "WAVE",
        .summary = "end a wave; it cannot be resumed",
        .min_args = 1,
        .max_args = 1,
        .run = command_maintain_stop,
    },
    {
        .name = "place",
        .arguments = "ADDRESS QUEUE FILE [ACCOUNT]",
        .summary = "show where a job would be placed now, and why, without "
                   "sending it; ADDRESS serves the metrics of a job daemon",
        .min_args = 3,
        .max_args = 4,
        .offline = true,
        .run = command_place,
    },
    {
        .name = "status",
        .arguments = "",
        .summary = "show gateways, data centres and pools",
        .run = command_status,
    },
};

static int
compare_command(const void *name, const void *entry)
{
    return strcmp(name, ((const struct command *)entry)->name);
}

static const struct command *
find_name(const char *name)
{
    return bsearch(name, commands, G_N_ELEMENTS(commands), sizeof(commands[0]),
                   compare_command);
}

const struct command *
command_find(int n_words, char **words, int *used)
{
    const struct command *found = NULL;
    if (n_words > 1) {
        char *name = g_strdup_printf("%s %s", words[0], words[1]);
        found = find_name(name);
        g_free(name);
        *used = 2;
    }
    if (found == NULL && n_words > 0) {
        found = find_name(words[0]);
        *used = 1;
    }
    return found;
}

const struct command *
command_list(size_t *n_commands)
{
    *n_commands = G_N_ELEMENTS(commands);
    return commands;
}
