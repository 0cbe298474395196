#include <string.h>

#include "wire/message.h"

static void
pack_text(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

static void
pack_nonce(msgpack_packer *packer, const uint8_t bytes[MESSAGE_NONCE_BYTES])
{
    msgpack_pack_bin_with_body(packer, bytes, MESSAGE_NONCE_BYTES);
}

/* Starts the message array; the caller packs @n_fields fields after it. */
static void
pack_envelope(msgpack_packer *packer, enum message_type type, size_t n_fields)
{
    msgpack_pack_array(packer, 2 + n_fields);
    msgpack_pack_uint32(packer, MESSAGE_VERSION);
    msgpack_pack_uint32(packer, type);
}

static void
encode_hello(msgpack_packer *packer, const struct message_hello *hello)
{
    pack_envelope(packer, MESSAGE_HELLO, 3);
    pack_text(packer, hello->incarnation);
    pack_text(packer, hello->name);
    pack_nonce(packer, hello->nonce);
}

static void
encode_heartbeat(msgpack_packer *packer, enum message_type type,
                 const struct message_heartbeat *heartbeat)
{
    pack_envelope(packer, type, 4);
    msgpack_pack_uint64(packer, heartbeat->number);
    msgpack_pack_uint64(packer, heartbeat->generation);
    msgpack_pack_uint64(packer, heartbeat->epoch);
    if (heartbeat->grants_lease) {
        msgpack_pack_true(packer);
    }
    else {
        msgpack_pack_false(packer);
    }
}

static void
encode_members(msgpack_packer *packer, const struct message_members *members)
{
    pack_envelope(packer, MESSAGE_MEMBERS, 2);
    msgpack_pack_uint64(packer, members->epoch);
    pack_text(packer, members->record);
}

static void
encode_config(msgpack_packer *packer, const struct message_config *config)
{
    pack_envelope(packer, MESSAGE_CONFIG, 3);
    msgpack_pack_uint64(packer, config->generation);
    pack_text(packer, config->head);
    msgpack_pack_array(packer, config->part_names->len);
    for (guint i = 0; i < config->part_names->len; i++) {
        msgpack_pack_array(packer, 2);
        pack_text(packer, config->part_names->pdata[i]);
        pack_text(packer, config->part_texts->pdata[i]);
    }
}

static void
encode_usage(msgpack_packer *packer, const struct message_usage *usage)
{
    pack_envelope(packer, MESSAGE_USAGE, 1);
    msgpack_pack_array(packer, usage->n_entries);
    for (size_t i = 0; i < usage->n_entries; i++) {
        const struct message_usage_entry *entry = &usage->entries[i];
        msgpack_pack_array(packer, 6);
        pack_text(packer, entry->team);
        pack_text(packer, entry->pool);
        msgpack_pack_uint32(packer, entry->running);
        msgpack_pack_uint32(packer, entry->queued);
        msgpack_pack_uint64(packer, entry->served_milli);
        msgpack_pack_uint32(packer, entry->free_permits);
    }
}

static void
encode_permit_request(msgpack_packer *packer,
                      const struct message_permit_request *request)
{
    pack_envelope(packer, MESSAGE_PERMIT_REQUEST, 2);
    pack_text(packer, request->team);
    msgpack_pack_uint32(packer, request->permits);
}

void
message_encode(const struct message *message, msgpack_sbuffer *buffer)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
    switch (message->type) {
    case MESSAGE_HELLO:
        encode_hello(&packer, &message->as.hello);
        break;
    case MESSAGE_PROOF:
        pack_envelope(&packer, MESSAGE_PROOF, 1);
        pack_nonce(&packer, message->as.proof.mac);
        break;
    case MESSAGE_HEARTBEAT:
    case MESSAGE_HEARTBEAT_ACK:
        encode_heartbeat(&packer, message->type, &message->as.heartbeat);
        break;
    case MESSAGE_MEMBERS:
        encode_members(&packer, &message->as.members);
        break;
    case MESSAGE_CONFIG:
        encode_config(&packer, &message->as.config);
        break;
    case MESSAGE_CONFIG_PULL:
        pack_envelope(&packer, MESSAGE_CONFIG_PULL, 1);
        msgpack_pack_uint64(&packer, message->as.config_pull.have_generation);
        break;
    case MESSAGE_USAGE:
        encode_usage(&packer, &message->as.usage);
        break;
    case MESSAGE_PERMIT_REQUEST:
        encode_permit_request(&packer, &message->as.permit_request);
        break;
    }
}
