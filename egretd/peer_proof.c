#include "peer_proof.h"

#include <string.h>
#include <unistd.h>

static void
add_text(GHmac *hmac, const char *text)
{
    /* The terminating NUL keeps adjacent texts apart. */
    g_hmac_update(hmac, (const guchar *)text, (gssize)strlen(text) + 1);
}

void
peer_proof_make(const struct peer_proof *proof, const char *secret,
                uint8_t mac[MESSAGE_NONCE_BYTES])
{
    GHmac *hmac =
        g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)secret, strlen(secret));
    add_text(hmac, "egretglade peer link");
    add_text(hmac, proof->dialler ? "dialler" : "acceptor");
    g_hmac_update(hmac, proof->sender->nonce, MESSAGE_NONCE_BYTES);
    g_hmac_update(hmac, proof->receiver->nonce, MESSAGE_NONCE_BYTES);
    add_text(hmac, proof->sender->incarnation);
    add_text(hmac, proof->receiver->incarnation);
    gsize size_bytes = MESSAGE_NONCE_BYTES;
    g_hmac_get_digest(hmac, mac, &size_bytes);
    g_hmac_unref(hmac);
}

bool
peer_proof_make_nonce(uint8_t nonce[MESSAGE_NONCE_BYTES])
{
    return getentropy(nonce, MESSAGE_NONCE_BYTES) == 0;
}
