/* Table of the commands of egretctl. */
#ifndef EGRETCTL_COMMANDS_H
#define EGRETCTL_COMMANDS_H

#include "ctl.h"

/**
 * struct command - one command
 * @name: first word, or first two words if it has subcommands
 * @arguments: shown in the help text
 * @summary: shown in the help text
 * @flags: accepted options, bits of enum ctl_flag
 * @offline: needs no connection to the store
 * @run: runs it; @args has between @min_args and @max_args strings
 */
struct command {
    const char *name;
    const char *arguments;
    const char *summary;
    int min_args;
    int max_args;
    unsigned flags;
    bool offline;
    enum ctl_exit (*run)(struct ctl *ctl, int n_args, char **args);
};

/**
 * command_find() - look up a command by the words of the command line
 * @used: receives how many of the words belong to its name
 *
 * Returns: the command, or NULL.
 */
const struct command *
command_find(int n_words, char **words, int *used);

/** command_list() - all commands, sorted by name. */
const struct command *
command_list(size_t *n_commands);

enum ctl_exit
command_apply(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_check(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_dc_in(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_dc_out(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_diff(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_explain(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_gateway_forget(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_gateway_list(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_get(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_history(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_job(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_key_issue(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_key_list(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_key_withdraw(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_maintain_pause(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_maintain_resume(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_maintain_start(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_maintain_status(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_maintain_stop(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_place(struct ctl *ctl, int n_args, char **args);
enum ctl_exit
command_status(struct ctl *ctl, int n_args, char **args);

#endif
