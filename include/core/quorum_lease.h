/* Whether this gateway may start work: renewals and support. */
#ifndef CORE_QUORUM_LEASE_H
#define CORE_QUORUM_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct quorum_lease - standing of one gateway incarnation
 *
 * The incarnation may start work only while its last renewal at the store,
 * or support by a majority of the registered gateways, was asked for less
 * than the support period ago. All times are this process's own.
 */
struct quorum_lease;

/**
 * quorum_lease_create() - a gateway that has no standing yet
 * @self: name of this incarnation
 * @support_ms: length of the support period
 */
struct quorum_lease *
quorum_lease_create(const char *self, int64_t support_ms);
void
quorum_lease_destroy(struct quorum_lease *lease);

/** quorum_lease_set_voters() - registered incarnations. While this one is not
 * among them it has no standing. */
void
quorum_lease_set_voters(struct quorum_lease *lease, const char *const *voters,
                        size_t n_voters);

/** quorum_lease_renewed() - a renewal asked for at @asked_ms succeeded. */
void
quorum_lease_renewed(struct quorum_lease *lease, int64_t asked_ms);

/** quorum_lease_granted() - voter @peer answered a beat sent at @asked_ms
 * with support; for this incarnation itself, that it sent beats then. */
void
quorum_lease_granted(struct quorum_lease *lease, const char *peer,
                     int64_t asked_ms);

/** quorum_lease_fence() - this incarnation never has standing again. */
void
quorum_lease_fence(struct quorum_lease *lease);

/** quorum_lease_expires_ms() - first time at which no work may start. */
int64_t
quorum_lease_expires_ms(const struct quorum_lease *lease);

#endif
