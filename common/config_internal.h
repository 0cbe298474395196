/* Functions shared by the files of the configuration reader. */
#ifndef COMMON_CONFIG_INTERNAL_H
#define COMMON_CONFIG_INTERNAL_H

#include "common/config.h"

/** config_check() - add findings about entries that contradict each other;
 * expects the entries in document order, before config_sort(). */
void
config_check(const struct config *config, const char *file,
             struct findings *findings);

/** config_sort() - sort the entries by name and build the key index. */
void
config_sort(struct config *config);

#endif
