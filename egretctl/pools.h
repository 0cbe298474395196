/* Table of the pools, from the fleet status that the controllers store. */
#ifndef EGRETCTL_POOLS_H
#define EGRETCTL_POOLS_H

#include "ctl.h"
#include "table.h"

/** pools_tabulate() - one row for each pool of @config; cells stay empty for a
 * pool that is missing from the fleet status. */
struct table *
pools_tabulate(struct ctl *ctl, const struct config *config);

#endif
