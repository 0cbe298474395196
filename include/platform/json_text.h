/* Helpers that read and write JSON. */
#ifndef PLATFORM_JSON_TEXT_H
#define PLATFORM_JSON_TEXT_H

#include <cjson/cJSON.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** json_text_add() - append @text to @out as a JSON string. */
void
json_text_add(GString *out, const char *text);

/** json_text_get() - string member, or NULL if missing or of another type. */
const char *
json_text_get(const cJSON *object, const char *member);

/** json_int_get() - integer member, or @fallback if missing or not a
 * number. */
int64_t
json_int_get(const cJSON *object, const char *member, int64_t fallback);

/** json_bool_get() - boolean member, false if missing. */
bool
json_bool_get(const cJSON *object, const char *member);

#endif
