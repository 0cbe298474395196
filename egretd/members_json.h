/* JSON form of the members record and of renewal records. */
#ifndef EGRETD_MEMBERS_JSON_H
#define EGRETD_MEMBERS_JSON_H

#include <glib.h>
#include <stdbool.h>

#include "common/status.h"
#include "core/members.h"

/** members_json_format() - text to store; freed with g_free(). */
char *
members_json_format(const struct members_record *record);

/** members_json_parse() - record out of stored text; NULL with
 * STATUS_INVALID and the place of the fault. */
struct members_record *
members_json_parse(const char *text, size_t size_bytes, struct status *status);

/** renewal_json_format() - renewal record; freed with g_free(). */
char *
renewal_json_format(uint64_t number, int64_t lease_ms);

/** renewal_json_lease_ms() - longest lease named in a renewal record; 0 when
 * it can't be read. */
int64_t
renewal_json_lease_ms(const char *text, size_t size_bytes);

#endif
