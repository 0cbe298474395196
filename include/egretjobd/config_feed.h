/* The operator's orders: configuration, data centres out, waves. */
#ifndef EGRETJOBD_CONFIG_FEED_H
#define EGRETJOBD_CONFIG_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include "core/jobs/fleet_config.h"
#include "core/jobs/scheduler.h"
#include "egretjobd/node.h"
#include "platform/kv.h"

struct config_feed *
config_feed_create(struct node *node);
void
config_feed_destroy(struct config_feed *feed);

/** config_feed_current() - configuration in force, or NULL. */
const struct fleet_config *
config_feed_current(const struct config_feed *feed);

/** config_feed_fresh() - whether nothing newer can be in force for long
 * enough to matter; without it no keyed work is taken. */
bool
config_feed_fresh(const struct config_feed *feed);

/** config_feed_out_of_service() - data centres that are out; NULL-terminated.
 */
char **
config_feed_out_of_service(const struct config_feed *feed);

/** config_feed_waves() - struct host_wave, all that are ordered. */
const GPtrArray *
config_feed_waves(const struct config_feed *feed);

/** config_feed_encode() - what a peer needs to take over the operator's
 * orders from here; g_free(); NULL if not fresh. */
char *
config_feed_encode(const struct config_feed *feed);

/** config_feed_peers() - addresses of other processes; NULL-terminated. */
char **
config_feed_peers(const struct config_feed *feed);

#endif
