/* Messages between gateways and their msgpack encoding. */
#ifndef WIRE_MESSAGE_H
#define WIRE_MESSAGE_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/status.h"

enum {
    MESSAGE_VERSION = 1,
    MESSAGE_TEXT_MAX_BYTES = 255,
    MESSAGE_NONCE_BYTES = 32,
    MESSAGE_USAGE_MAX_ENTRIES = 4096,
    MESSAGE_PARTS_MAX = 1024,
    MESSAGE_DOCUMENT_MAX_BYTES = 1000000,
    MESSAGE_MAX_BYTES = 2 << 20,
};

/**
 * enum message_type - kinds of messages; numbers are part of the protocol
 * @MESSAGE_HELLO: first message of both ends of a link: identity and a nonce
 * @MESSAGE_PROOF: HMAC over both nonces; ends the handshake
 * @MESSAGE_HEARTBEAT: requests a lease grant, with a sequence number
 * @MESSAGE_HEARTBEAT_ACK: reply to a heartbeat: lease granted or not
 * @MESSAGE_MEMBERS: the members record, to a peer that has an older one
 * @MESSAGE_CONFIG: head and parts of a newer generation
 * @MESSAGE_CONFIG_PULL: requests a MESSAGE_CONFIG
 * @MESSAGE_USAGE: usage of pools by team on the sender
 * @MESSAGE_PERMIT_REQUEST: requests that the receiver transfers permits that
 *                          it holds to the sender
 */
enum message_type {
    MESSAGE_HELLO = 1,
    MESSAGE_PROOF = 2,
    MESSAGE_HEARTBEAT = 3,
    MESSAGE_HEARTBEAT_ACK = 4,
    MESSAGE_MEMBERS = 5,
    MESSAGE_CONFIG = 7,
    MESSAGE_CONFIG_PULL = 8,
    MESSAGE_USAGE = 9,
    MESSAGE_PERMIT_REQUEST = 10,
};

struct message_hello {
    char *incarnation;
    char *name;
    uint8_t nonce[MESSAGE_NONCE_BYTES];
};

struct message_proof {
    uint8_t mac[MESSAGE_NONCE_BYTES];
};

/**
 * struct message_heartbeat - a heartbeat or the reply to one
 * @number: sequence number chosen by the requester, echoed in the reply
 * @generation: active configuration generation of the sender
 * @epoch: newest members epoch known to the sender
 * @grants_lease: in a reply: the sender grants the requester its lease and
 *                counts towards the requester's majority
 */
struct message_heartbeat {
    uint64_t number;
    uint64_t generation;
    uint64_t epoch;
    bool grants_lease;
};

/**
 * struct message_members - the members record as stored
 * @epoch: epoch of the record
 * @record: JSON text
 */
struct message_members {
    uint64_t epoch;
    char *record;
};

/**
 * struct message_config - a generation as stored
 * @generation: generation number
 * @head: JSON text of the head
 * @part_names, @part_texts: names and texts of the parts, in the same order
 */
struct message_config {
    uint64_t generation;
    char *head;
    GPtrArray *part_names;
    GPtrArray *part_texts;
};

struct message_config_pull {
    uint64_t have_generation;
};

/**
 * struct message_usage_entry - one team's usage of one pool at the sender
 * @team: empty for the reserve of a pool
 * @pool: empty in an entry that reports permits only
 * @running: attempts running on backend servers
 * @queued: waiting tasks
 * @served_milli: service received since the sender's start, in thousandths of
 *                the service unit
 * @free_permits: permits of the team that the sender holds and does not use
 */
struct message_usage_entry {
    char *team;
    char *pool;
    uint32_t running;
    uint32_t queued;
    uint64_t served_milli;
    uint32_t free_permits;
};

struct message_usage {
    struct message_usage_entry *entries;
    size_t n_entries;
};

struct message_permit_request {
    char *team;
    uint32_t permits;
};

/** struct message - one decoded message; @type selects the member of @as. */
struct message {
    enum message_type type;
    union {
        struct message_hello hello;
        struct message_proof proof;
        struct message_heartbeat heartbeat;
        struct message_members members;
        struct message_config config;
        struct message_config_pull config_pull;
        struct message_usage usage;
        struct message_permit_request permit_request;
    } as;
};

/** message_encode() - append @message to @buffer. */
void
message_encode(const struct message *message, msgpack_sbuffer *buffer);

/**
 * message_decode() - decode a message from untrusted bytes
 *
 * Returns: the message, or NULL with STATUS_INVALID or STATUS_TOO_LARGE in
 * @status, with the name of the invalid field.
 */
struct message *
message_decode(const uint8_t *bytes, size_t size_bytes, struct status *status);

/** message_clear() - free what the members own, but not @message itself. */
void
message_clear(struct message *message);

/** message_destroy() - free a message returned by message_decode(). */
void
message_destroy(struct message *message);

#endif
