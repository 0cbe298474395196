#include "core/rendezvous.h"

#include <string.h>

static uint64_t
hash_text(uint64_t hash, const char *text)
{
    /* FNV-1a; hashing the terminator too makes the hash depend on where one
     * text ends and the next begins. */
    do {
        hash = (hash ^ (uint8_t)*text) * UINT64_C(0x100000001B3);
    } while (*text++ != '\0');
    return hash;
}

/* 64-bit finalizer of MurmurHash3. */
static uint64_t
mix(uint64_t hash)
{
    hash = (hash ^ (hash >> 33)) * UINT64_C(0xFF51AFD7ED558CCD);
    hash = (hash ^ (hash >> 33)) * UINT64_C(0xC4CEB9FE1A85EC53);
    return hash ^ (hash >> 33);
}

const char *
rendezvous_owner(const char *const *members, size_t n_members,
                 const char *scope, const char *id)
{
    uint64_t key = hash_text(UINT64_C(0xCBF29CE484222325), scope);
    key = hash_text(key, id);
    const char *owner = NULL;
    uint64_t highest = 0;
    for (size_t i = 0; i < n_members; i++) {
        uint64_t weight = mix(hash_text(key, members[i]));
        if (owner == NULL || weight > highest ||
            (weight == highest && strcmp(members[i], owner) < 0)) {
            owner = members[i];
            highest = weight;
        }
    }
    return owner;
}
