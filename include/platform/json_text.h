/* Helpers that read and write JSON. */
#ifndef PLATFORM_JSON_TEXT_H
#define PLATFORM_JSON_TEXT_H

#include <cjson/cJSON.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** JSON_WHOLE_MAX - a JSON number is read as a double, which holds every whole
 * number up to this exactly */
static const int64_t JSON_WHOLE_MAX = INT64_C(1) << 53;

/** json_text_add() - append @text to @out as a JSON string. */
void
json_text_add(GString *out, const char *text);

/** json_text_get() - string member, or NULL if missing or of another type. */
const char *
json_text_get(const cJSON *object, const char *member);

/** json_int_get() - integer member without its fraction, or @fallback if
 * missing, not a number, or beyond JSON_WHOLE_MAX. */
int64_t
json_int_get(const cJSON *object, const char *member, int64_t fallback);

/** json_int_of() - @item as json_int_get() reads it; it may be NULL. */
int64_t
json_int_of(const cJSON *item, int64_t fallback);

/** json_whole_get() - read @item as a whole number from @minimum to @maximum,
 * both within JSON_WHOLE_MAX; false if it isn't one, or NULL. */
bool
json_whole_get(const cJSON *item, int64_t minimum, int64_t maximum,
               int64_t *value);

/** json_bool_get() - boolean member, false if missing. */
bool
json_bool_get(const cJSON *object, const char *member);

#endif
