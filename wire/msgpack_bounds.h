/* Checks the lengths in msgpack data before it is unpacked. */
#ifndef WIRE_MSGPACK_BOUNDS_H
#define WIRE_MSGPACK_BOUNDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * msgpack_bounds_hold() - whether @bytes is exactly one object with at most
 * @max_objects objects in total and every length within @size_bytes
 *
 * The unpacker allocates as many entries as an array header states, so the
 * headers are first checked against the number of bytes received.
 */
bool
msgpack_bounds_hold(const uint8_t *bytes, size_t size_bytes,
                    size_t max_objects);

#endif
