/* Outlier ejection: hosts that keep failing get no tasks for a while. */
#ifndef CORE_OUTLIER_H
#define CORE_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Minimum number of failures in a row for an ejection. */
    OUTLIER_FAILURES_MIN = 5,
    OUTLIER_EJECTION_MIN_MS = 5000,
    OUTLIER_EJECTION_MAX_MS = 160000,
};

/**
 * enum outlier_state - how tasks are routed to a host
 * @OUTLIER_ROUTED: normally
 * @OUTLIER_EJECTED: not at all, until the ejection time has passed
 * @OUTLIER_PROBING: one attempt at a time, until one succeeds
 */
enum outlier_state {
    OUTLIER_ROUTED,
    OUTLIER_EJECTED,
    OUTLIER_PROBING,
};

/** struct outlier - failure history of one host; all zero for a new host */
struct outlier {
    enum outlier_state state;
    uint32_t failures_in_row;
    uint32_t ejections;
};

/** struct outlier_pool - outcomes of all hosts of a pool, and how many of the
 * hosts are ejected or being probed */
struct outlier_pool {
    float succeeded;
    float failed;
    uint32_t hosts;
    uint32_t ejected;
};

/** outlier_succeeded() - a task succeeded on the host. */
void
outlier_succeeded(struct outlier *host, struct outlier_pool *pool);

/**
 * outlier_failed() - a task failed on the host
 *
 * A host is ejected when it fails several times in a row while the rest of
 * its pool mostly succeeds. At most a third of the pool is ejected.
 *
 * Returns: for how long to eject the host, in ms; 0 not to eject it.
 */
int64_t
outlier_failed(struct outlier *host, struct outlier_pool *pool);

/** outlier_discount_failure() - take back a failure that the task caused. */
void
outlier_discount_failure(struct outlier *host);

/** outlier_probe() - the ejection time has passed; start probing. */
void
outlier_probe(struct outlier *host);

/** outlier_reinstate() - end an ejection or probing, because a probe succeeded
 * or the host leaves the pool. */
void
outlier_reinstate(struct outlier *host, struct outlier_pool *pool);

#endif
