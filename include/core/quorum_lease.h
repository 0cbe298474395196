/* Quorum lease of a gateway: it may start work only while it holds it. */
#ifndef CORE_QUORUM_LEASE_H
#define CORE_QUORUM_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct quorum_lease - lease of one gateway incarnation
 *
 * The lease is held while the last successful renewal at the store, or the
 * last grants by a majority of the registered gateways, were requested less
 * than the lease duration ago. All times are those of this process's clock.
 */
struct quorum_lease;

/**
 * quorum_lease_create() - a lease that is not held yet
 * @self: name of this incarnation
 * @duration_ms: how long a renewal or grant is valid, from its request on
 */
struct quorum_lease *
quorum_lease_create(const char *self, int64_t duration_ms);
void
quorum_lease_destroy(struct quorum_lease *lease);

/** quorum_lease_set_voters() - set the registered incarnations. While this one
 * is not among them, it does not hold the lease. */
void
quorum_lease_set_voters(struct quorum_lease *lease, const char *const *voters,
                        size_t n_voters);

/** quorum_lease_renewed() - a renewal at the store that was sent at @sent_ms
 * succeeded. */
void
quorum_lease_renewed(struct quorum_lease *lease, int64_t sent_ms);

/** quorum_lease_granted() - voter @peer answered a heartbeat that was sent at
 * @sent_ms with a grant. For this incarnation's own vote: it sent heartbeats
 * at @sent_ms. */
void
quorum_lease_granted(struct quorum_lease *lease, const char *peer,
                     int64_t sent_ms);

/** quorum_lease_fence() - this incarnation never holds the lease again. */
void
quorum_lease_fence(struct quorum_lease *lease);

/** quorum_lease_expires_ms() - time from which no work may start; INT64_MIN
 * when this incarnation is fenced, not registered or never held the lease. */
int64_t
quorum_lease_expires_ms(const struct quorum_lease *lease);

#endif
