/*
 * Route of calls to the store: direct, or relayed by a peer while the store
 * does not answer this process or refuses its calls.
 */
#ifndef EGRETJOBD_STORE_ROUTE_H
#define EGRETJOBD_STORE_ROUTE_H

#include "egretjobd/node.h"
#include "platform/kv.h"

struct store_route *
store_route_create(struct node *node);
void
store_route_destroy(struct store_route *route);

/** store_route_any() - for calls that a peer may relay. */
struct kv_route
store_route_any(struct store_route *route);

/** store_route_direct() - for calls that always go direct, and so detect when
 * the direct route works again. */
struct kv_route
store_route_direct(struct store_route *route);

#endif
