/* How late the process's event loop runs its timers. */
#ifndef EGRETJOBD_LOOP_LAG_H
#define EGRETJOBD_LOOP_LAG_H

#include <stdint.h>

#include "egretjobd/node.h"

struct loop_lag *
loop_lag_create(struct node *node);
void
loop_lag_destroy(struct loop_lag *lag);

/** loop_lag_start() - begin to measure. */
void
loop_lag_start(struct loop_lag *lag);

/** loop_lag_stop() - measure no longer. */
void
loop_lag_stop(struct loop_lag *lag);

/** loop_lag_take() - longest lag in ms since the last call. */
int64_t
loop_lag_take(struct loop_lag *lag);

#endif
