/*
 * Chooses the peer that relays store calls. A network cut may affect some of
 * the peers as well, and many calls may be in flight when a relay fails.
 */
#include "core/jobs/relay_peer.h"

#include <glib.h>

void
relay_peer_choose(struct relay_peer *peer, char **peers)
{
    guint n_peers = peers == NULL ? 0 : g_strv_length(peers);
    g_free(peer->address);
    peer->address =
        n_peers == 0 ? NULL : g_strdup(peers[peer->choice_count++ % n_peers]);
}

void
relay_peer_failed(struct relay_peer *peer, const char *address, char **peers)
{
    if (g_strcmp0(address, peer->address) == 0) {
        relay_peer_choose(peer, peers);
    }
}

void
relay_peer_clear(struct relay_peer *peer)
{
    g_free(peer->address);
    peer->address = NULL;
}
