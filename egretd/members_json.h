/* JSON form of the members record and of renewal records. */
#ifndef EGRETD_MEMBERS_JSON_H
#define EGRETD_MEMBERS_JSON_H

#include <glib.h>
#include <stdbool.h>

#include "common/status.h"
#include "core/members.h"

/** members_json_format() - @record as JSON; free it with g_free(). */
char *
members_json_format(const struct members_record *record);

/** members_json_parse() - record from JSON; NULL with STATUS_INVALID and the
 * path and reason of the first fault. */
struct members_record *
members_json_parse(const char *text, size_t size_bytes, struct status *status);

/** renewal_json_format() - renewal record as JSON; free it with g_free().
 * @number counts this incarnation's writes. */
char *
renewal_json_format(uint64_t number, int64_t lease_ms);

/** renewal_json_lease_ms() - longest task lease that a renewal record names; 0
 * if it is malformed. */
int64_t
renewal_json_lease_ms(const char *text, size_t size_bytes);

#endif
