/* How late the process's event loop runs a timer. */
#ifndef EGRETJOBD_LOOP_LAG_H
#define EGRETJOBD_LOOP_LAG_H

#include <stdint.h>

#include "egretjobd/node.h"
#include "net/loop_priority.h"

/** loop_lag_create() - @priority: of the timer; LOOP_IDLE measures how long
 * the loop takes to have nothing left to do. */
struct loop_lag *
loop_lag_create(struct node *node, enum loop_priority priority);
void
loop_lag_destroy(struct loop_lag *lag);

/** loop_lag_start() - begin to measure. */
void
loop_lag_start(struct loop_lag *lag);

/** loop_lag_stop() - measure no longer. */
void
loop_lag_stop(struct loop_lag *lag);

/**
 * struct lag_sample - how late the timer was since the last sample, in ms
 * @worst_ms: at most
 * @mean_ms: on average
 */
struct lag_sample {
    int64_t worst_ms;
    int64_t mean_ms;
};

struct lag_sample
loop_lag_take(struct loop_lag *lag);

#endif
