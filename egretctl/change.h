/* A change of the configuration, from the version read to being in force. */
#ifndef EGRETCTL_CHANGE_H
#define EGRETCTL_CHANGE_H

#include "ctl.h"

/**
 * struct config_change - what a command wants changed
 * @summary: one line for the history
 * @subject: path, as config_diff() writes it, of what it is about; when
 *           another operator has just changed the same, it is a conflict,
 *           else the change is made again on top. NULL makes every other
 *           change a conflict.
 * @edit: changes or replaces @config, a copy of what is in force or NULL;
 *        returns CTL_OK to go on
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

/** config_rebuild() - sorted and checked copy of an edited configuration;
 * prints findings and returns NULL when it does not fit together. */
struct config *
config_rebuild(const struct config *config);

/** change_publish() - read, edit, publish and, with --wait, wait. */
enum ctl_exit
change_publish(struct ctl *ctl, const struct config_change *change);

/** change_wait() - until @generation is in force on every live gateway. */
enum ctl_exit
change_wait(struct ctl *ctl, uint64_t generation);

#endif
