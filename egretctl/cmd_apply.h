/* Reading a configuration file and merging it into the active configuration.
 */
#ifndef EGRETCTL_CMD_APPLY_H
#define EGRETCTL_CMD_APPLY_H

#include <json-glib/json-glib.h>

#include "common/config.h"

/** apply_read_file() - parsed and validated document; prints the findings and
 * returns NULL if it is invalid. */
JsonNode *
apply_read_file(const char *file);

/** apply_merge() - configuration that results from applying @root: keys and
 * states of data centres that the file does not mention are taken from
 * @active. */
struct config *
apply_merge(JsonNode *root, const char *file, const struct config *active);

#endif
