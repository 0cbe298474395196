/*
 * How calls reach the store: directly or, while it turns this process away,
 * through a peer that it serves.
 */
#ifndef EGRETJOBD_STORE_PATH_H
#define EGRETJOBD_STORE_PATH_H

#include "egretjobd/node.h"
#include "platform/kv.h"

struct store_path *
store_path_create(struct node *node);
void
store_path_destroy(struct store_path *path);

/** store_path_any() - for calls that may go through a peer. */
struct kv_path
store_path_any(struct store_path *path);

/** store_path_direct() - for calls that find out whether the direct way
 * works. */
struct kv_path
store_path_direct(struct store_path *path);

#endif
