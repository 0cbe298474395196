#include "wire/frame.h"

#include <string.h>

/**
 * struct frame_reader - splits a byte stream into frames
 * @buffer: bytes received
 * @start_bytes: offset of the next frame in @buffer; the bytes before it were
 *               returned and are removed by the next frame_reader_feed()
 * @max_bytes: largest content accepted
 */
struct frame_reader {
    GByteArray *buffer;
    size_t start_bytes;
    size_t max_bytes;
};

struct frame_reader *
frame_reader_create(size_t max_bytes)
{
    struct frame_reader *reader = g_new0(struct frame_reader, 1);
    reader->buffer = g_byte_array_new();
    reader->max_bytes = max_bytes;
    return reader;
}

void
frame_reader_destroy(struct frame_reader *reader)
{
    if (reader == NULL) {
        return;
    }
    g_byte_array_unref(reader->buffer);
    g_free(reader);
}

void
frame_reader_set_max(struct frame_reader *reader, size_t max_bytes)
{
    reader->max_bytes = max_bytes;
}

static void
drop_consumed(struct frame_reader *reader)
{
    if (reader->start_bytes > 0) {
        g_byte_array_remove_range(reader->buffer, 0,
                                  (guint)reader->start_bytes);
        reader->start_bytes = 0;
    }
}

void
frame_reader_feed(struct frame_reader *reader, const uint8_t *bytes,
                  size_t size_bytes)
{
    drop_consumed(reader);
    g_byte_array_append(reader->buffer, bytes, (guint)size_bytes);
}

bool
frame_reader_next(struct frame_reader *reader, const uint8_t **bytes,
                  size_t *size_bytes, struct status *status)
{
    const uint8_t *at = reader->buffer->data + reader->start_bytes;
    size_t left_bytes = reader->buffer->len - reader->start_bytes;
    if (left_bytes < FRAME_HEADER_BYTES) {
        return false;
    }
    uint32_t header;
    memcpy(&header, at, sizeof(header));
    size_t content_bytes = GUINT32_FROM_BE(header);
    if (content_bytes > reader->max_bytes) {
        status_set(status, STATUS_TOO_LARGE,
                   "frame of %zu bytes exceeds the limit of %zu",
                   content_bytes, reader->max_bytes);
        return false;
    }
    if (left_bytes - FRAME_HEADER_BYTES < content_bytes) {
        return false;
    }
    *bytes = at + FRAME_HEADER_BYTES;
    *size_bytes = content_bytes;
    reader->start_bytes += FRAME_HEADER_BYTES + content_bytes;
    return true;
}

GBytes *
frame_wrap(const void *content, size_t size_bytes)
{
    uint8_t *frame = g_malloc(FRAME_HEADER_BYTES + size_bytes);
    uint32_t header = GUINT32_TO_BE((uint32_t)size_bytes);
    memcpy(frame, &header, sizeof(header));
    if (size_bytes > 0) {
        memcpy(frame + FRAME_HEADER_BYTES, content, size_bytes);
    }
    return g_bytes_new_take(frame, FRAME_HEADER_BYTES + size_bytes);
}
