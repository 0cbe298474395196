/* Reading a file and laying it over what is in force. */
#ifndef EGRETCTL_CMD_APPLY_H
#define EGRETCTL_CMD_APPLY_H

#include <json-glib/json-glib.h>

#include "common/config.h"

/** apply_read_file() - checked document; prints findings, NULL then. */
JsonNode *
apply_read_file(const char *file);

/** apply_merge() - what applying @root on top of @active gives: keys and
 * states of data centres that the file does not mention stay. */
struct config *
apply_merge(JsonNode *root, const char *file, const struct config *active);

#endif
