/* JSON form of a team's permit record. */
#ifndef EGRETD_PERMITS_JSON_H
#define EGRETD_PERMITS_JSON_H

#include <stddef.h>

#include "common/status.h"
#include "core/permits.h"

/** permits_json_format() - @record as JSON; free it with g_free(). */
char *
permits_json_format(const struct permits_record *record);

/** permits_json_parse() - record from JSON; NULL with STATUS_INVALID and the
 * path and reason of the first fault. */
struct permits_record *
permits_json_parse(const char *text, size_t size_bytes, struct status *status);

#endif
