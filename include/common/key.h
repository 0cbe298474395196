/* API keys of teams, which callers send with requests: "egk.<id>.<secret>". */
#ifndef COMMON_KEY_H
#define COMMON_KEY_H

#include <stdbool.h>
#include <stddef.h>

#include "common/config.h"

enum {
    KEY_ID_BYTES = 12,
    KEY_SECRET_BYTES = 43,
    KEY_TEXT_MAX_BYTES = 64,
};

/** key_generate() - write a new random key to @text; false on failure. */
bool
key_generate(char text[KEY_TEXT_MAX_BYTES + 1]);

/** key_parse_id() - write the public id of key @text to @id; false when @text
 * is malformed. */
bool
key_parse_id(const char *text, char id[KEY_ID_BYTES + 1]);

/** key_hash() - SHA-256 of @text in hexadecimal. */
void
key_hash(const char *text, char hash_hex[CONFIG_HASH_HEX_BYTES + 1]);

/** key_matches() - constant-time comparison of @text with a stored key. */
bool
key_matches(const char *text, const struct config_key *key);

#endif
