#include "wire/message.h"

#include <string.h>

#include "msgpack_bounds.h"

enum {
    MESSAGE_OBJECTS_MAX = 1 << 16,
    ENVELOPE_FIELDS = 2,
    USAGE_FIELDS = 6,
};

/**
 * struct fields - sequential reader of a msgpack array
 * @next: index of the next item
 * @status: receives the first error
 */
struct fields {
    const msgpack_object *items;
    uint32_t n_items;
    uint32_t next;
    struct status *status;
};

static bool
field_error(struct fields *fields, const char *name, const char *reason)
{
    if (status_ok(fields->status)) {
        status_set(fields->status, STATUS_INVALID, "message field %s %s", name,
                   reason);
    }
    return false;
}

static const msgpack_object *
next_field(struct fields *fields, const char *name)
{
    if (fields->next >= fields->n_items) {
        field_error(fields, name, "is missing");
        return NULL;
    }
    return &fields->items[fields->next++];
}

static bool
read_uint(struct fields *fields, const char *name, uint64_t max,
          uint64_t *value)
{
    const msgpack_object *item = next_field(fields, name);
    if (item == NULL) {
        return false;
    }
    if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER || item->via.u64 > max) {
        return field_error(fields, name, "is not an integer in range");
    }
    *value = item->via.u64;
    return true;
}

static bool
read_uint32(struct fields *fields, const char *name, uint32_t *value)
{
    uint64_t wide;
    if (!read_uint(fields, name, UINT32_MAX, &wide)) {
        return false;
    }
    *value = (uint32_t)wide;
    return true;
}

static bool
read_bool(struct fields *fields, const char *name, bool *value)
{
    const msgpack_object *item = next_field(fields, name);
    if (item == NULL) {
        return false;
    }
    if (item->type != MSGPACK_OBJECT_BOOLEAN) {
        return field_error(fields, name, "is not a boolean");
    }
    *value = item->via.boolean;
    return true;
}

/* Reads a text that may be empty. */
static bool
read_any_text(struct fields *fields, const char *name, size_t max_bytes,
              char **value)
{
    const msgpack_object *item = next_field(fields, name);
    if (item == NULL) {
        return false;
    }
    if (item->type != MSGPACK_OBJECT_STR) {
        return field_error(fields, name, "is not a string");
    }
    const msgpack_object_str *text = &item->via.str;
    if (text->size > max_bytes) {
        return field_error(fields, name, "has a length out of range");
    }
    /* Also rejects NUL bytes within the text. */
    if (!g_utf8_validate_len(text->ptr, text->size, NULL)) {
        return field_error(fields, name, "is not valid UTF-8");
    }
    /* The pointer of an empty text may be NULL. */
    *value = text->size == 0 ? g_strdup("") : g_strndup(text->ptr, text->size);
    return true;
}

static bool
read_text(struct fields *fields, const char *name, size_t max_bytes,
          char **value)
{
    if (!read_any_text(fields, name, max_bytes, value)) {
        return false;
    }
    if ((*value)[0] == '\0') {
        g_clear_pointer(value, g_free);
        return field_error(fields, name, "has a length out of range");
    }
    return true;
}

static bool
read_bytes(struct fields *fields, const char *name,
           uint8_t value[MESSAGE_NONCE_BYTES])
{
    const msgpack_object *item = next_field(fields, name);
    if (item == NULL) {
        return false;
    }
    if (item->type != MSGPACK_OBJECT_BIN ||
        item->via.bin.size != MESSAGE_NONCE_BYTES) {
        return field_error(fields, name, "is not a byte string of 32 bytes");
    }
    memcpy(value, item->via.bin.ptr, MESSAGE_NONCE_BYTES);
    return true;
}

static bool
read_array(struct fields *fields, const char *name, uint32_t max_items,
           struct fields *inner)
{
    const msgpack_object *item = next_field(fields, name);
    if (item == NULL) {
        return false;
    }
    if (item->type != MSGPACK_OBJECT_ARRAY) {
        return field_error(fields, name, "is not an array");
    }
    if (item->via.array.size > max_items) {
        return field_error(fields, name, "has too many entries");
    }
    *inner = (struct fields){
        .items = item->via.array.ptr,
        .n_items = item->via.array.size,
        .status = fields->status,
    };
    return true;
}

static bool
at_end(struct fields *fields, const char *name)
{
    if (fields->next != fields->n_items) {
        return field_error(fields, name, "has extra entries");
    }
    return true;
}

static bool
decode_hello(struct fields *fields, struct message_hello *hello)
{
    return read_text(fields, "incarnation", MESSAGE_TEXT_MAX_BYTES,
                     &hello->incarnation) &&
           read_text(fields, "name", MESSAGE_TEXT_MAX_BYTES, &hello->name) &&
           read_bytes(fields, "nonce", hello->nonce);
}

static bool
decode_heartbeat(struct fields *fields, struct message_heartbeat *heartbeat)
{
    return read_uint(fields, "number", UINT64_MAX, &heartbeat->number) &&
           read_uint(fields, "generation", UINT64_MAX,
                     &heartbeat->generation) &&
           read_uint(fields, "epoch", UINT64_MAX, &heartbeat->epoch) &&
           read_bool(fields, "supports", &heartbeat->grants_lease);
}

static bool
decode_members(struct fields *fields, struct message_members *members)
{
    return read_uint(fields, "epoch", UINT64_MAX, &members->epoch) &&
           read_text(fields, "record", MESSAGE_DOCUMENT_MAX_BYTES,
                     &members->record);
}

static bool
decode_part(struct fields *parts, struct message_config *config)
{
    struct fields part;
    char *name = NULL;
    char *text = NULL;
    bool complete =
        read_array(parts, "part", 2, &part) &&
        read_text(&part, "part name", MESSAGE_TEXT_MAX_BYTES, &name) &&
        read_text(&part, "part text", MESSAGE_DOCUMENT_MAX_BYTES, &text) &&
        at_end(&part, "part");
    if (!complete) {
        g_free(name);
        g_free(text);
        return false;
    }
    g_ptr_array_add(config->part_names, name);
    g_ptr_array_add(config->part_texts, text);
    return true;
}

static bool
decode_config(struct fields *fields, struct message_config *config)
{
    struct fields parts = {0};
    config->part_names = g_ptr_array_new_with_free_func(g_free);
    config->part_texts = g_ptr_array_new_with_free_func(g_free);
    if (!read_uint(fields, "generation", UINT64_MAX, &config->generation) ||
        !read_text(fields, "head", MESSAGE_DOCUMENT_MAX_BYTES,
                   &config->head) ||
        !read_array(fields, "parts", MESSAGE_PARTS_MAX, &parts)) {
        return false;
    }
    while (parts.next < parts.n_items) {
        if (!decode_part(&parts, config)) {
            return false;
        }
    }
    return true;
}

static bool
decode_usage_entry(struct fields *entries, struct message_usage_entry *entry)
{
    struct fields fields;
    return read_array(entries, "usage entry", USAGE_FIELDS, &fields) &&
           read_any_text(&fields, "team", MESSAGE_TEXT_MAX_BYTES,
                         &entry->team) &&
           read_any_text(&fields, "pool", MESSAGE_TEXT_MAX_BYTES,
                         &entry->pool) &&
           read_uint32(&fields, "running", &entry->running) &&
           read_uint32(&fields, "queued", &entry->queued) &&
           read_uint(&fields, "served_milli", UINT64_MAX,
                     &entry->served_milli) &&
           read_uint32(&fields, "free_permits", &entry->free_permits) &&
           at_end(&fields, "usage entry");
}

static bool
decode_usage(struct fields *fields, struct message_usage *usage)
{
    struct fields entries = {0};
    if (!read_array(fields, "usage", MESSAGE_USAGE_MAX_ENTRIES, &entries)) {
        return false;
    }
    usage->entries = g_new0(struct message_usage_entry, entries.n_items);
    usage->n_entries = entries.n_items;
    for (size_t i = 0; i < usage->n_entries; i++) {
        if (!decode_usage_entry(&entries, &usage->entries[i])) {
            return false;
        }
    }
    return true;
}

static bool
decode_permit_request(struct fields *fields,
                      struct message_permit_request *request)
{
    return read_text(fields, "team", MESSAGE_TEXT_MAX_BYTES, &request->team) &&
           read_uint32(fields, "permits", &request->permits);
}

static bool
decode_body(struct fields *fields, struct message *message)
{
    switch (message->type) {
    case MESSAGE_HELLO:
        return decode_hello(fields, &message->as.hello);
    case MESSAGE_PROOF:
        return read_bytes(fields, "mac", message->as.proof.mac);
    case MESSAGE_HEARTBEAT:
    case MESSAGE_HEARTBEAT_ACK:
        return decode_heartbeat(fields, &message->as.heartbeat);
    case MESSAGE_MEMBERS:
        return decode_members(fields, &message->as.members);
    case MESSAGE_CONFIG:
        return decode_config(fields, &message->as.config);
    case MESSAGE_CONFIG_PULL:
        return read_uint(fields, "have_generation", UINT64_MAX,
                         &message->as.config_pull.have_generation);
    case MESSAGE_USAGE:
        return decode_usage(fields, &message->as.usage);
    case MESSAGE_PERMIT_REQUEST:
        return decode_permit_request(fields, &message->as.permit_request);
    }
    return field_error(fields, "type", "is unknown");
}

static bool
decode_envelope(struct fields *fields, struct message *message)
{
    uint64_t version;
    uint64_t type;
    if (!read_uint(fields, "version", UINT32_MAX, &version)) {
        return false;
    }
    if (version != MESSAGE_VERSION) {
        return field_error(fields, "version", "is not supported");
    }
    if (!read_uint(fields, "type", UINT8_MAX, &type)) {
        return false;
    }
    message->type = (enum message_type)type;
    return decode_body(fields, message) && at_end(fields, "message");
}

static bool
unpack(const uint8_t *bytes, size_t size_bytes, msgpack_unpacked *unpacked,
       struct status *status)
{
    if (size_bytes > MESSAGE_MAX_BYTES) {
        status_set(status, STATUS_TOO_LARGE,
                   "message of %zu bytes exceeds the size limit", size_bytes);
        return false;
    }
    size_t used_bytes = 0;
    if (!msgpack_bounds_hold(bytes, size_bytes, MESSAGE_OBJECTS_MAX) ||
        msgpack_unpack_next(unpacked, (const char *)bytes, size_bytes,
                            &used_bytes) != MSGPACK_UNPACK_SUCCESS ||
        unpacked->data.type != MSGPACK_OBJECT_ARRAY ||
        unpacked->data.via.array.size < ENVELOPE_FIELDS) {
        status_set(status, STATUS_INVALID,
                   "message is not a msgpack array of version and type");
        return false;
    }
    return true;
}

struct message *
message_decode(const uint8_t *bytes, size_t size_bytes, struct status *status)
{
    status_clear(status);
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    struct message *message = NULL;
    if (unpack(bytes, size_bytes, &unpacked, status)) {
        struct fields fields = {
            .items = unpacked.data.via.array.ptr,
            .n_items = unpacked.data.via.array.size,
            .status = status,
        };
        message = g_new0(struct message, 1);
        if (!decode_envelope(&fields, message)) {
            message_destroy(message);
            message = NULL;
        }
    }
    msgpack_unpacked_destroy(&unpacked);
    return message;
}

static void
clear_config(struct message_config *config)
{
    g_free(config->head);
    g_clear_pointer(&config->part_names, g_ptr_array_unref);
    g_clear_pointer(&config->part_texts, g_ptr_array_unref);
}

static void
clear_usage(struct message_usage *usage)
{
    for (size_t i = 0; i < usage->n_entries; i++) {
        g_free(usage->entries[i].team);
        g_free(usage->entries[i].pool);
    }
    g_free(usage->entries);
}

void
message_clear(struct message *message)
{
    switch (message->type) {
    case MESSAGE_HELLO:
        g_free(message->as.hello.incarnation);
        g_free(message->as.hello.name);
        break;
    case MESSAGE_MEMBERS:
        g_free(message->as.members.record);
        break;
    case MESSAGE_CONFIG:
        clear_config(&message->as.config);
        break;
    case MESSAGE_USAGE:
        clear_usage(&message->as.usage);
        break;
    case MESSAGE_PERMIT_REQUEST:
        g_free(message->as.permit_request.team);
        break;
    case MESSAGE_PROOF:
    case MESSAGE_HEARTBEAT:
    case MESSAGE_HEARTBEAT_ACK:
    case MESSAGE_CONFIG_PULL:
        break;
    }
    memset(&message->as, 0, sizeof(message->as));
}

void
message_destroy(struct message *message)
{
    if (message == NULL) {
        return;
    }
    message_clear(message);
    g_free(message);
}
