#include "common/key.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>
#include <sys/random.h>

#include "common/request_auth.h"

#define KEY_PREFIX "egk."

static const char alphabet[] = "abcdefghijklmnopqrstuvwxyz234567"
                               "ABCDEFGHIJKLMNOPQRSTUVWXYZ0189-_";

enum {
    ALPHABET_MASK = 63,
    /* Operators type ids: only lower-case letters and digits. */
    ID_ALPHABET_MASK = 31,
};

static bool
fill_random(char *text, size_t size_bytes, uint8_t mask)
{
    uint8_t bytes[KEY_SECRET_BYTES];
    if (getrandom(bytes, size_bytes, 0) != (ssize_t)size_bytes) {
        return false;
    }
    for (size_t i = 0; i < size_bytes; i++) {
        text[i] = alphabet[bytes[i] & mask];
    }
    text[size_bytes] = '\0';
    return true;
}

bool
key_generate(char text[KEY_TEXT_MAX_BYTES + 1])
{
    char id[KEY_ID_BYTES + 1];
    char secret[KEY_SECRET_BYTES + 1];
    if (!fill_random(id, KEY_ID_BYTES, ID_ALPHABET_MASK) ||
        !fill_random(secret, KEY_SECRET_BYTES, ALPHABET_MASK)) {
        return false;
    }
    g_snprintf(text, KEY_TEXT_MAX_BYTES + 1, KEY_PREFIX "%s.%s", id, secret);
    return true;
}

static bool
has_key_alphabet(const char *text, size_t size_bytes)
{
    for (size_t i = 0; i < size_bytes; i++) {
        if (text[i] == '\0' || strchr(alphabet, text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

bool
key_parse_id(const char *text, char id[KEY_ID_BYTES + 1])
{
    if (text == NULL || !g_str_has_prefix(text, KEY_PREFIX)) {
        return false;
    }
    const char *start = text + strlen(KEY_PREFIX);
    if (strlen(start) != KEY_ID_BYTES + 1 + KEY_SECRET_BYTES ||
        start[KEY_ID_BYTES] != '.' || !has_key_alphabet(start, KEY_ID_BYTES) ||
        !has_key_alphabet(start + KEY_ID_BYTES + 1, KEY_SECRET_BYTES)) {
        return false;
    }
    memcpy(id, start, KEY_ID_BYTES);
    id[KEY_ID_BYTES] = '\0';
    return true;
}

void
key_hash(const char *text, char hash_hex[CONFIG_HASH_HEX_BYTES + 1])
{
    char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
    memcpy(hash_hex, hash, CONFIG_HASH_HEX_BYTES + 1);
    g_free(hash);
}

bool
key_matches(const char *text, const struct config_key *key)
{
    char hash_hex[CONFIG_HASH_HEX_BYTES + 1];
    key_hash(text, hash_hex);
    return constant_time_equal(hash_hex, key->hash_hex, CONFIG_HASH_HEX_BYTES);
}
