/* The duty to schedule: who holds it, and for how long that is certain. */
#ifndef EGRETJOBD_LEADERSHIP_H
#define EGRETJOBD_LEADERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "egretjobd/node.h"

struct leadership *
leadership_create(struct node *node);
void
leadership_destroy(struct leadership *leadership);

/** leadership_held() - whether this process holds the duty, valid or not. */
bool
leadership_held(const struct leadership *leadership);

/** leadership_valid() - whether no other process can hold it at this moment.
 */
bool
leadership_valid(const struct leadership *leadership);

/** leadership_renewal_overdue() - whether renewals have begun to fail. */
bool
leadership_renewal_overdue(const struct leadership *leadership);

/** leadership_token() - fencing token: revision of the store that won the
 * duty. */
int64_t
leadership_token(const struct leadership *leadership);

/** leadership_inherited_lease_ms() - longest lease that the holder before may
 * have left open. */
int64_t
leadership_inherited_lease_ms(const struct leadership *leadership);

/** leadership_leader_address() - peer address of the process that holds it, or
 * NULL. */
const char *
leadership_leader_address(const struct leadership *leadership);

/** leadership_lose() - another holder was met: stop at once. */
void
leadership_lose(struct leadership *leadership, const char *why);

/** leadership_release() - hand the duty over before leaving. */
void
leadership_release(struct leadership *leadership);

#endif
