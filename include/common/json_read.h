/* Typed reads from JSON objects that collect findings. */
#ifndef COMMON_JSON_READ_H
#define COMMON_JSON_READ_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/findings.h"

/**
 * struct json_place - a JSON object to read and its location
 * @object: the JSON object; NULL makes every read return its default
 * @file: document name for findings
 * @path: path of @object in the document, "$" for the root
 * @findings: receives every problem
 */
struct json_place {
    JsonObject *object;
    const char *file;
    const char *path;
    struct findings *findings;
};

/**
 * json_load_text() - parse @size_bytes bytes of JSON into @parser
 *
 * Unlike json-glib alone, refuses what it would cut short or spoil in silence:
 * U+0000 within strings and names, and halves of surrogate pairs.
 */
bool
json_load_text(JsonParser *parser, const char *text, size_t size_bytes,
               GError **error);

/** json_read_file() - parse a file; NULL with a finding on failure. */
JsonNode *
json_read_file(const char *file, struct findings *findings);

/** json_read_text() - parse @size_bytes of text, -1: up to its NUL; NULL with
 * a finding on failure. */
JsonNode *
json_read_text(const char *text, int64_t size_bytes, const char *file,
               struct findings *findings);

/** json_read_string() - required or optional string; borrowed, or NULL. */
const char *
json_read_string(const struct json_place *place, const char *member,
                 bool required);

/** json_read_int() - integer within [@min, @max], or @fallback. */
int64_t
json_read_int(const struct json_place *place, const char *member, int64_t min,
              int64_t max, int64_t fallback, bool required);

/** json_read_bool() - boolean, or @fallback. */
bool
json_read_bool(const struct json_place *place, const char *member,
               bool fallback);

/** json_read_array() - array member; borrowed, or NULL. */
JsonArray *
json_read_array(const struct json_place *place, const char *member,
                bool required);

/** json_read_object() - object member; borrowed, or NULL. */
JsonObject *
json_read_object(const struct json_place *place, const char *member,
                 bool required);

/** json_reject_unknown_members() - add a finding for each member that is not
 * in the NULL-terminated @members. */
void
json_reject_unknown_members(const struct json_place *place,
                            const char *const *members);

#endif
