#include "msgpack_bounds.h"

/**
 * struct token - header of one msgpack object
 * @header_bytes: size of the header including its length field
 * @payload_bytes: size of the text, byte string or number after the header
 * @children: number of objects in the array or map
 */
struct token {
    size_t header_bytes;
    uint64_t payload_bytes;
    uint64_t children;
};

static uint64_t
read_length(const uint8_t *bytes, size_t size_bytes, size_t length_bytes)
{
    uint64_t length = 0;
    for (size_t i = 1; i <= length_bytes && i < size_bytes; i++) {
        length = length << 8 | bytes[i];
    }
    return length;
}

/* Header with a length field, followed by that many bytes and @extra_bytes. */
static struct token
read_sized(const uint8_t *bytes, size_t size_bytes, size_t length_bytes,
           uint64_t extra_bytes)
{
    return (struct token){
        .header_bytes = 1 + length_bytes,
        .payload_bytes =
            read_length(bytes, size_bytes, length_bytes) + extra_bytes,
    };
}

/* Header with a count field; each entry consists of @per_entry objects. */
static struct token
read_container(const uint8_t *bytes, size_t size_bytes, size_t length_bytes,
               uint64_t per_entry)
{
    return (struct token){
        .header_bytes = 1 + length_bytes,
        .children = read_length(bytes, size_bytes, length_bytes) * per_entry,
    };
}

static struct token
read_long_token(const uint8_t *bytes, size_t size_bytes)
{
    /* float 32 and 64, uint 8 to 64, int 8 to 64 */
    static const uint8_t number_bytes[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8};
    uint8_t first_byte = bytes[0];
    /* bin 8, 16 and 32 */
    if (first_byte >= 0xc4 && first_byte <= 0xc6) {
        return read_sized(bytes, size_bytes, (size_t)1 << (first_byte - 0xc4),
                          0);
    }
    /* ext 8, 16 and 32: one more byte for the type */
    if (first_byte >= 0xc7 && first_byte <= 0xc9) {
        return read_sized(bytes, size_bytes, (size_t)1 << (first_byte - 0xc7),
                          1);
    }
    if (first_byte >= 0xca && first_byte <= 0xd3) {
        return (struct token){1, number_bytes[first_byte - 0xca], 0};
    }
    /* fixext 1 to 16: one more byte for the type */
    if (first_byte >= 0xd4 && first_byte <= 0xd8) {
        return (struct token){1, ((uint64_t)1 << (first_byte - 0xd4)) + 1, 0};
    }
    /* str 8, 16 and 32 */
    if (first_byte >= 0xd9 && first_byte <= 0xdb) {
        return read_sized(bytes, size_bytes, (size_t)1 << (first_byte - 0xd9),
                          0);
    }
    /* array 16 and 32 */
    if (first_byte == 0xdc || first_byte == 0xdd) {
        return read_container(bytes, size_bytes, first_byte == 0xdc ? 2 : 4,
                              1);
    }
    /* map 16 and 32 */
    if (first_byte == 0xde || first_byte == 0xdf) {
        return read_container(bytes, size_bytes, first_byte == 0xde ? 2 : 4,
                              2);
    }
    /* Integers in the first byte, nil and booleans. */
    return (struct token){1, 0, 0};
}

static struct token
read_token(const uint8_t *bytes, size_t size_bytes)
{
    uint8_t first_byte = bytes[0];
    /* fixmap */
    if (first_byte >= 0x80 && first_byte <= 0x8f) {
        return (struct token){1, 0, (first_byte & 0x0f) * 2};
    }
    /* fixarray */
    if (first_byte >= 0x90 && first_byte <= 0x9f) {
        return (struct token){1, 0, first_byte & 0x0f};
    }
    /* fixstr */
    if (first_byte >= 0xa0 && first_byte <= 0xbf) {
        return (struct token){1, first_byte & 0x1f, 0};
    }
    return read_long_token(bytes, size_bytes);
}

bool
msgpack_bounds_hold(const uint8_t *bytes, size_t size_bytes,
                    size_t max_objects)
{
    uint64_t pending = 1;
    uint64_t objects = 1;
    while (pending > 0) {
        if (size_bytes == 0) {
            return false;
        }
        struct token token = read_token(bytes, size_bytes);
        if (token.header_bytes > size_bytes ||
            token.payload_bytes > size_bytes - token.header_bytes) {
            return false;
        }
        size_t token_bytes = token.header_bytes + (size_t)token.payload_bytes;
        bytes += token_bytes;
        size_bytes -= token_bytes;
        objects += token.children;
        pending += token.children - 1;
        if (objects > max_objects || pending > size_bytes) {
            return false;
        }
    }
    return size_bytes == 0;
}
