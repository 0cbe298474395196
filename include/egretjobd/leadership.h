/*
 * Leader election among the egretjobd processes. One process at a time is the
 * leader and runs the scheduler; its leadership is a leased record in the
 * store.
 */
#ifndef EGRETJOBD_LEADERSHIP_H
#define EGRETJOBD_LEADERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "egretjobd/node.h"

struct leadership *
leadership_create(struct node *node);
void
leadership_destroy(struct leadership *leadership);

/** leadership_held() - whether this process is the leader, even if its lease
 * may have expired. */
bool
leadership_held(const struct leadership *leadership);

/** leadership_valid() - whether no other process can be the leader now. */
bool
leadership_valid(const struct leadership *leadership);

/** leadership_renewal_overdue() - whether the last successful renewal is
 * longer ago than renewals usually take. */
bool
leadership_renewal_overdue(const struct leadership *leadership);

/** leadership_token() - fencing token: store revision at which this process
 * became the leader. */
int64_t
leadership_token(const struct leadership *leadership);

/** leadership_inherited_lease_ms() - longest lease that the previous leader
 * may have left open on a backend server. */
int64_t
leadership_inherited_lease_ms(const struct leadership *leadership);

/** leadership_lease_left() - whether the previous leader has granted backend
 * server @id none; sets how long earlier leases may still run there. */
bool
leadership_lease_left(const struct leadership *leadership, const char *id,
                      int64_t *left_ms);

/** leadership_handovers() - how often this process has handed over leadership
 * because its host was slow. */
uint64_t
leadership_handovers(const struct leadership *leadership);

/** leadership_leader_address() - peer address of the leader, or NULL. */
const char *
leadership_leader_address(const struct leadership *leadership);

/** leadership_lose() - give up leadership at once: another leader was found or
 * the lease ended. */
void
leadership_lose(struct leadership *leadership, const char *why);

/** leadership_release() - hand over leadership before the process exits. */
void
leadership_release(struct leadership *leadership);

#endif
