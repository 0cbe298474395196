/*
 * How calls reach the store: directly or, while it turns this process away,
 * through a peer that it serves.
 */
#ifndef EGRETJOBD_STORE_ROUTE_H
#define EGRETJOBD_STORE_ROUTE_H

#include "egretjobd/node.h"
#include "platform/kv.h"

struct store_route *
store_route_create(struct node *node);
void
store_route_destroy(struct store_route *route);

/** store_route_any() - for calls that may go through a peer. */
struct kv_route
store_route_any(struct store_route *route);

/** store_route_direct() - for calls that find out whether the direct way
 * works. */
struct kv_route
store_route_direct(struct store_route *route);

#endif
