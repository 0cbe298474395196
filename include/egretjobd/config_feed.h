/* Follows the operator's records in the store: configuration, data centres out
 * of service, maintenance waves. */
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

/** config_feed_current() - active configuration, or NULL. */
const struct fleet_config *
config_feed_current(const struct config_feed *feed);

/**
 * config_feed_fresh() - whether the active configuration was confirmed within
 * the age limit of the settings
 *
 * While it is not, callers' requests are refused.
 */
bool
config_feed_fresh(const struct config_feed *feed);

/** config_feed_out_of_service() - names of data centres that are out of
 * service; NULL-terminated. */
char **
config_feed_out_of_service(const struct config_feed *feed);

/** config_feed_waves() - maintenance waves as struct host_wave. */
const GPtrArray *
config_feed_waves(const struct config_feed *feed);

/** config_feed_encode() - the operator's records as JSON for a peer that can't
 * read the store; g_free(); NULL if they are not fresh. */
char *
config_feed_encode(const struct config_feed *feed);

/** config_feed_peers() - peer addresses of the other processes;
 * NULL-terminated. */
char **
config_feed_peers(const struct config_feed *feed);

/** config_feed_strongest_cores() - processor capacity of the strongest of the
 * other processes' hosts, in cores; 0: unknown. */
double
config_feed_strongest_cores(const struct config_feed *feed);

#endif
