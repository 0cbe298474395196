/* Rendezvous hashing: which member owns an id. */
#ifndef CORE_RENDEZVOUS_H
#define CORE_RENDEZVOUS_H

#include <stddef.h>
#include <stdint.h>

/**
 * rendezvous_owner() - the member with the highest hash for (@scope, @id)
 *
 * Adding a member moves ids only to it; removing one moves only the ids that
 * it owned.
 *
 * Returns: one of @members, independent of their order; NULL without members.
 */
const char *
rendezvous_owner(const char *const *members, size_t n_members,
                 const char *scope, const char *id);

#endif
