/* Takes hosts that fail everything out of routing, for a while. */
#ifndef CORE_OUTLIER_H
#define CORE_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Fewest failures in a row, without a success between. */
    OUTLIER_FAILURES_MIN = 5,
    OUTLIER_EJECTION_MIN_MS = 5000,
    OUTLIER_EJECTION_MAX_MS = 160000,
};

/**
 * enum outlier_state - how a host takes part in routing
 * @OUTLIER_ROUTED: normally
 * @OUTLIER_EJECTED: not at all until its time has passed
 * @OUTLIER_PROBING: with one attempt at a time until one succeeds
 */
enum outlier_state {
    OUTLIER_ROUTED,
    OUTLIER_EJECTED,
    OUTLIER_PROBING,
};

/** struct outlier - record of one host; zero is a host without history */
struct outlier {
    enum outlier_state state;
    uint32_t failures_in_row;
    uint32_t ejections;
};

/** struct outlier_pool - outcomes of all hosts of a pool, and how many are
 * not taking part normally */
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
 * A host is taken out when it fails in a row while the rest of its pool
 * mostly succeeds, and never more than a third of the pool.
 *
 * Returns: for how long to take the host out, in ms; 0 to leave it in.
 */
int64_t
outlier_failed(struct outlier *host, struct outlier_pool *pool);

/** outlier_discount_failure() - a failure turned out to be the task's fault.
 */
void
outlier_discount_failure(struct outlier *host);

/** outlier_probe() - the time out has passed. */
void
outlier_probe(struct outlier *host);

/** outlier_reinstate() - the host leaves the pool. */
void
outlier_reinstate(struct outlier *host, struct outlier_pool *pool);

#endif
