/* Starts the components of a process in order and stops them in reverse. */
#ifndef COMMON_SUPERVISOR_H
#define COMMON_SUPERVISOR_H

#include <stdbool.h>

#include "common/status.h"

/**
 * struct supervisor_child - one component of a process
 * @name: name for logs
 * @start: starts it; on failure sets the status and returns false
 * @stop: stops and frees it; called only after a successful start
 * @ctx: passed to @start and @stop
 */
struct supervisor_child {
    const char *name;
    bool (*start)(void *ctx, struct status *status);
    void (*stop)(void *ctx);
    void *ctx;
};

struct supervisor;

struct supervisor *
supervisor_create(void);

/** supervisor_destroy() - stop the running children, then free. */
void
supervisor_destroy(struct supervisor *supervisor);

/** supervisor_add() - append a child; it may itself be a supervisor. */
void
supervisor_add(struct supervisor *supervisor,
               const struct supervisor_child *child);

/** supervisor_start() - start children in order; on failure the children
 * already started are stopped and @status has the cause. */
bool
supervisor_start(struct supervisor *supervisor, struct status *status);

/** supervisor_stop() - stop children in reverse order. */
void
supervisor_stop(struct supervisor *supervisor);

/**
 * supervisor_restart() - stop child @name and all started after it, then
 * start them again in order
 */
bool
supervisor_restart(struct supervisor *supervisor, const char *name,
                   struct status *status);

/** supervisor_as_child() - wrap @supervisor as a child of another one. */
struct supervisor_child
supervisor_as_child(struct supervisor *supervisor, const char *name);

#endif
