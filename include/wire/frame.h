/* Length-prefixed msgpack frames between egretglade processes. */
#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

enum {
    FRAME_HEADER_BYTES = 4,
    FRAME_MAX_BYTES = 2 << 20,
    /* Limit until the peer has proved that it knows the shared secret. */
    FRAME_UNAUTHENTICATED_MAX_BYTES = 512,
};

/**
 * struct frame_reader - splits a byte stream into frames
 *
 * A frame is a big-endian 32-bit length followed by that many bytes.
 */
struct frame_reader;

struct frame_reader *
frame_reader_create(size_t max_bytes);
void
frame_reader_destroy(struct frame_reader *reader);

/** frame_reader_set_max() - change the size limit of later frames. */
void
frame_reader_set_max(struct frame_reader *reader, size_t max_bytes);

/** frame_reader_feed() - append bytes read from the stream. */
void
frame_reader_feed(struct frame_reader *reader, const uint8_t *bytes,
                  size_t size_bytes);

/**
 * frame_reader_next() - take the next complete frame
 * @bytes, @size_bytes: the frame's content, valid until the next call
 * @status: set to STATUS_TOO_LARGE when the length exceeds the limit; the
 *          stream can't be used any more
 *
 * Returns: whether there was a complete frame.
 */
bool
frame_reader_next(struct frame_reader *reader, const uint8_t **bytes,
                  size_t *size_bytes, struct status *status);

/** frame_wrap() - one buffer with the header and a copy of @content. */
GBytes *
frame_wrap(const void *content, size_t size_bytes);

#endif
