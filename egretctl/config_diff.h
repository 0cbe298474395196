/* Differences between two configurations, as lines of text. */
#ifndef EGRETCTL_CONFIG_DIFF_H
#define EGRETCTL_CONFIG_DIFF_H

#include "common/config.h"

/**
 * config_diff() - lines such as "teams[a].max_running: 10 -> 20"
 * @old_config: NULL for an empty one
 *
 * Returns: array of strings that it owns; empty if nothing differs.
 */
GPtrArray *
config_diff(const struct config *old_config, const struct config *new_config);

/** config_diff_touches() - whether a line concerns the path @subject or one
 * below it. */
bool
config_diff_touches(const GPtrArray *lines, const char *subject);

#endif
