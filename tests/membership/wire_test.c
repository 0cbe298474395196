/*
 * Messages and frames from the network: what a peer sends must never crash a
 * gateway or make it allocate by an announced size, and a field that is wrong
 * is named in the error.
 */
#include <string.h>

#include "../suite.h"
#include "common/random.h"
#include "wire/frame.h"
#include "wire/message.h"

enum {
    FUZZ_ROUNDS = 20000,
    FUZZ_MAX_BYTES = 256,
};

static struct message_usage_entry usage_entries[] = {
    {"team-a", "pool-a", 3, 4, UINT64_MAX, 5},
    {"team-b", "pool-b", 0, 0, 0, 0},
};

static const struct message samples[] = {
    {.type = MESSAGE_HELLO,
     .as.hello = {.incarnation = "gw-1", .name = "gw", .nonce = {1, 2, 3}}},
    {.type = MESSAGE_PROOF, .as.proof = {.mac = {9, 8, 7}}},
    {.type = MESSAGE_HEARTBEAT,
     .as.heartbeat = {.number = 7, .generation = 8, .epoch = 9}},
    {.type = MESSAGE_HEARTBEAT_ACK,
     .as.heartbeat = {.number = UINT64_MAX, .epoch = 9, .grants_lease = true}},
    {.type = MESSAGE_MEMBERS,
     .as.members = {.epoch = 3, .record = "{\"epoch\":3}"}},
    {.type = MESSAGE_CONFIG_PULL, .as.config_pull = {.have_generation = 12}},
    {.type = MESSAGE_USAGE,
     .as.usage = {.entries = usage_entries, .n_entries = 2}},
    {.type = MESSAGE_PERMIT_REQUEST,
     .as.permit_request = {.team = "team-a", .permits = 3}},
};

static struct message *
decode(const msgpack_sbuffer *buffer, struct status *status)
{
    return message_decode((const uint8_t *)buffer->data, buffer->size, status);
}

/* A decoded message encodes to the same bytes. */
static void
check_round_trip(const struct message *message)
{
    struct status status;
    msgpack_sbuffer sent;
    msgpack_sbuffer again;
    msgpack_sbuffer_init(&sent);
    msgpack_sbuffer_init(&again);
    message_encode(message, &sent);
    struct message *decoded = decode(&sent, &status);
    CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
    message_encode(decoded, &again);
    CU_ASSERT_EQUAL(decoded->type, message->type);
    CU_ASSERT(sent.size == again.size &&
              memcmp(sent.data, again.data, sent.size) == 0);
    message_destroy(decoded);
    msgpack_sbuffer_destroy(&sent);
    msgpack_sbuffer_destroy(&again);
}

static void
test_round_trips(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
        check_round_trip(&samples[i]);
    }
    struct message config = {
        .type = MESSAGE_CONFIG,
        .as.config = {.generation = 4,
                      .head = "{}",
                      .part_names = g_ptr_array_new(),
                      .part_texts = g_ptr_array_new()},
    };
    g_ptr_array_add(config.as.config.part_names, "base");
    g_ptr_array_add(config.as.config.part_texts, "{\"a\":1}");
    check_round_trip(&config);
    g_ptr_array_unref(config.as.config.part_names);
    g_ptr_array_unref(config.as.config.part_texts);
}

/* msgpack decodes an empty string to a NULL pointer; readers of a message
 * expect a string. */
static void
test_empty_strings_are_not_null(void)
{
    struct status status;
    struct message_usage_entry entry = {.team = "", .pool = ""};
    struct message message = {
        .type = MESSAGE_USAGE,
        .as.usage = {.entries = &entry, .n_entries = 1},
    };
    msgpack_sbuffer sent;
    msgpack_sbuffer_init(&sent);
    message_encode(&message, &sent);
    struct message *decoded = decode(&sent, &status);
    CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
    CU_ASSERT_PTR_NOT_NULL_FATAL(decoded->as.usage.entries[0].team);
    CU_ASSERT_PTR_NOT_NULL_FATAL(decoded->as.usage.entries[0].pool);
    CU_ASSERT_STRING_EQUAL(decoded->as.usage.entries[0].team, "");
    CU_ASSERT_STRING_EQUAL(decoded->as.usage.entries[0].pool, "");
    message_destroy(decoded);
    msgpack_sbuffer_destroy(&sent);
}

static void
check_error(const char *bytes, size_t size_bytes, const char *field)
{
    struct status status;
    struct message *message =
        message_decode((const uint8_t *)bytes, size_bytes, &status);
    CU_ASSERT_PTR_NULL(message);
    CU_ASSERT_EQUAL(status.code, STATUS_INVALID);
    CU_ASSERT_PTR_NOT_NULL(strstr(status.message, field));
    message_destroy(message);
}

static void
test_errors_name_the_field(void)
{
    check_error("\x92\x02\x03", 3, "version");
    check_error("\x92\x01\x63", 3, "type");
    check_error("\x93\x01\x03\xa1x", 5, "number");
    check_error("\x95\x01\x03\x01\x01\xff", 6, "epoch");
    check_error("\x96\x01\x03\x01\x01\x01\x01", 7, "supports");
    check_error("\x97\x01\x03\x01\x01\x01\xc2\x01", 8, "has extra entries");
    check_error("\x94\x01\x0a\xa0\x01", 5, "team");
    check_error("\x94\x01\x0a\xa2x\x00\x01", 7, "team");
    check_error("\x94\x01\x0a\xa2\xc3\x28\x01", 7, "team");
    check_error("\x93\x01\x09\x91\x91\x01", 6, "team");
    check_error("\x93\x01\x02\xc4\x01x", 6, "mac");
}

static void
test_announced_sizes_are_bounded(void)
{
    /* An array of 2^32 - 1 entries in seven bytes, and nested ones. */
    check_error("\xdd\xff\xff\xff\xff\x01\x03", 7, "not a msgpack array");
    check_error("\x93\x01\x09\xdd\x7f\xff\xff\xff", 8, "not a msgpack array");
    check_error("\x93\x01\x0a\xdb\xff\xff\xff\xff", 8, "not a msgpack array");
    char deep[200];
    memset(deep, '\x91', sizeof(deep));
    check_error(deep, sizeof(deep), "not a msgpack array");
    /* Contains as many objects as announced, but more than any message may. */
    static const uint8_t header[] = {0xdd, 0x00, 0x02, 0x00, 0x00};
    size_t many_objects_bytes = sizeof(header) + (1 << 17);
    uint8_t *many_objects = g_malloc(many_objects_bytes);
    memset(many_objects, 0xc0, many_objects_bytes);
    memcpy(many_objects, header, sizeof(header));
    check_error((char *)many_objects, many_objects_bytes,
                "not a msgpack array");
    g_free(many_objects);
    struct status status;
    uint8_t *large = g_malloc0(MESSAGE_MAX_BYTES + 1);
    CU_ASSERT_PTR_NULL(message_decode(large, MESSAGE_MAX_BYTES + 1, &status));
    CU_ASSERT_EQUAL(status.code, STATUS_TOO_LARGE);
    g_free(large);
}

/* The decoder returns either a message or an error, never both or neither. */
static bool
try_decode(const uint8_t *bytes, size_t size_bytes)
{
    struct status status;
    /* A copy of the exact size lets a sanitizer detect reads past the end. */
    uint8_t *copy = g_memdup2(bytes, size_bytes);
    struct message *message = message_decode(copy, size_bytes, &status);
    bool accepted = message != NULL;
    CU_ASSERT(accepted == status_ok(&status));
    message_destroy(message);
    g_free(copy);
    return accepted;
}

static void
test_truncated_messages_are_refused(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
        msgpack_sbuffer buffer;
        msgpack_sbuffer_init(&buffer);
        message_encode(&samples[i], &buffer);
        for (size_t size = 0; size < buffer.size; size++) {
            CU_ASSERT_FALSE(try_decode((uint8_t *)buffer.data, size));
        }
        msgpack_sbuffer_destroy(&buffer);
    }
}

static void
test_fuzz(void)
{
    struct random random = random_seeded(1);
    uint32_t n_accepted = 0;
    for (uint32_t round = 0; round < FUZZ_ROUNDS; round++) {
        uint8_t bytes[FUZZ_MAX_BYTES];
        size_t size = 1 + random_below(&random, FUZZ_MAX_BYTES);
        for (size_t i = 0; i < size; i++) {
            bytes[i] = (uint8_t)random_next(&random);
        }
        try_decode(bytes, size);
        const struct message *sample =
            &samples[random_below(&random, G_N_ELEMENTS(samples))];
        msgpack_sbuffer buffer;
        msgpack_sbuffer_init(&buffer);
        message_encode(sample, &buffer);
        size_t flips = 1 + random_below(&random, 4);
        for (size_t i = 0; i < flips; i++) {
            uint32_t bit = random_below(&random, (uint32_t)(buffer.size * 8));
            buffer.data[bit / 8] ^= (char)(1 << bit % 8);
        }
        n_accepted += try_decode((uint8_t *)buffer.data, buffer.size);
        msgpack_sbuffer_destroy(&buffer);
    }
    /* Flipped bits in numbers and strings may give other valid messages. */
    CU_ASSERT(n_accepted > FUZZ_ROUNDS / 20 && n_accepted < FUZZ_ROUNDS);
}

static void
test_frames_in_pieces(void)
{
    struct status status;
    status_clear(&status);
    struct frame_reader *reader = frame_reader_create(8);
    GBytes *frame = frame_wrap("abcdefgh", 8);
    gsize size;
    const uint8_t *bytes = g_bytes_get_data(frame, &size);
    const uint8_t *content;
    size_t content_bytes;
    for (int round = 0; round < 3; round++) {
        for (gsize i = 0; i < size; i++) {
            CU_ASSERT_FALSE(
                frame_reader_next(reader, &content, &content_bytes, &status));
            frame_reader_feed(reader, bytes + i, 1);
        }
        CU_ASSERT(
            frame_reader_next(reader, &content, &content_bytes, &status));
        CU_ASSERT(content_bytes == 8 && memcmp(content, "abcdefgh", 8) == 0);
    }
    CU_ASSERT(status_ok(&status));
    g_bytes_unref(frame);
    frame_reader_destroy(reader);
}

static void
test_frame_bound(void)
{
    struct status status;
    status_clear(&status);
    static const uint8_t frames[] = {0, 0, 0, 1, 'x', 0, 0, 0, 9};
    struct frame_reader *reader = frame_reader_create(8);
    frame_reader_feed(reader, frames, sizeof(frames));
    const uint8_t *content;
    size_t content_bytes;
    CU_ASSERT(frame_reader_next(reader, &content, &content_bytes, &status));
    CU_ASSERT_FALSE(
        frame_reader_next(reader, &content, &content_bytes, &status));
    CU_ASSERT_EQUAL(status.code, STATUS_TOO_LARGE);
    frame_reader_destroy(reader);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"round trips", test_round_trips},
        {"empty strings are not NULL", test_empty_strings_are_not_null},
        {"errors name the field", test_errors_name_the_field},
        {"announced sizes are bounded", test_announced_sizes_are_bounded},
        {"truncated messages", test_truncated_messages_are_refused},
        {"fuzz", test_fuzz},
        {"frames in pieces", test_frames_in_pieces},
        {"frame bound", test_frame_bound},
    };
    return suite_main("wire", tests, G_N_ELEMENTS(tests));
}
