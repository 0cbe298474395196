/* Peer that relays store calls while this process can't reach the store. */
#ifndef CORE_JOBS_RELAY_PEER_H
#define CORE_JOBS_RELAY_PEER_H

#include <stdint.h>

/**
 * struct relay_peer - the peer in use
 * @address: its address, or NULL
 * @choice_count: number of choices so far; a random start spreads processes
 *                over the peers
 */
struct relay_peer {
    char *address;
    uint32_t choice_count;
};

/**
 * relay_peer_choose() - switch to the next of @peers, NULL-terminated or NULL.
 */
void
relay_peer_choose(struct relay_peer *peer, char **peers);

/**
 * relay_peer_failed() - handle a call through @address that failed
 *
 * Calls through an earlier peer may fail long after another one was chosen;
 * they don't cause another switch.
 */
void
relay_peer_failed(struct relay_peer *peer, const char *address, char **peers);

void
relay_peer_clear(struct relay_peer *peer);

#endif
