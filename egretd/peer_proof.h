/* Challenge and response by which gateways prove that they know the shared
 * secret. */
#ifndef EGRETD_PEER_PROOF_H
#define EGRETD_PEER_PROOF_H

#include <stdbool.h>

#include "wire/message.h"

/**
 * struct peer_proof - what a proof covers
 * @dialler: whether the sender of the proof made the connection
 * @sender, @receiver: HELLO of both ends
 */
struct peer_proof {
    bool dialler;
    const struct message_hello *sender;
    const struct message_hello *receiver;
};

/** peer_proof_make() - HMAC-SHA-256 over @proof, keyed with @secret. */
void
peer_proof_make(const struct peer_proof *proof, const char *secret,
                uint8_t mac[MESSAGE_NONCE_BYTES]);

/** peer_proof_make_nonce() - fresh random nonce; false on failure. */
bool
peer_proof_make_nonce(uint8_t nonce[MESSAGE_NONCE_BYTES]);

#endif
