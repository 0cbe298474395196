/* What the source files about crashes share. */
#ifndef CORE_JOBS_CRASH_STATE_H
#define CORE_JOBS_CRASH_STATE_H

#include "scheduler_state.h"

enum {
    /* Crashes around a takeover have shown by then. */
    CRASH_INHERITED_MAX_MS = 8000,
};

/* crash_runs.c */
/* A run that was alone has most likely crashed its backend server, and the one
 * before as well: lets the other suspects of that loss start beside others.
 * @proved: the crash is not theirs. */
void
sched_crash_clear_others(struct scheduler *sched, struct job_task *cause,
                         bool proved);

/* The runs of @backend that were recorded when it fell silent go on. */
void
sched_crash_backend_answered(struct scheduler *sched,
                             const struct backend *backend);

/* crash_attempt.c */
/* Stores where a task has started that may crash its backend server, or is
 * about to: the next leader has to know which crash may be its doing. @shared:
 * that of others as well. */
void
sched_crash_record_attempt(struct scheduler *sched, struct job *job,
                           struct job_task *task, const char *backend_id,
                           bool shared);

#endif
