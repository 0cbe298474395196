/*
 * Changing the configuration: fetch the active one, edit a copy, publish it
 * and wait until the gateways have activated it.
 */
#ifndef EGRETCTL_CHANGE_H
#define EGRETCTL_CHANGE_H

#include "ctl.h"

/**
 * struct config_change - an edit of the configuration requested by a command
 * @summary: one line for the history
 * @subject: path, as config_diff() writes it, that the command edits. If
 *           another operator has meanwhile changed something at or below this
 *           path, the result is CTL_CONFLICT; any other change is fetched and
 *           the edit repeated on top of it. NULL: every other change is a
 *           conflict.
 * @edit: changes or replaces @config, a copy of the active configuration or
 *        NULL if there is none; returns CTL_OK to go on
 * @ctx: passed to @edit
 * @quiet: do not print the differences
 */
struct config_change {
    const char *summary;
    const char *subject;
    enum ctl_exit (*edit)(void *ctx, const struct config *active,
                          struct config **config);
    void *ctx;
    bool quiet;
};

/** config_rebuild() - sorted and validated copy of an edited configuration;
 * prints the findings and returns NULL if it is invalid. */
struct config *
config_rebuild(const struct config *config);

/** change_publish() - fetch, edit, publish and, with --wait, wait for the
 * gateways. */
enum ctl_exit
change_publish(struct ctl *ctl, const struct config_change *change);

/** change_wait() - wait until @generation is active on every live gateway, or
 * until the time given with --wait is over. */
enum ctl_exit
change_wait(struct ctl *ctl, uint64_t generation);

#endif
