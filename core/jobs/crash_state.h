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

/* crash_attempt.c */
/* Stores where a suspect starts, before it does: the next leader has to know
 * which crash may be its doing. */
void
sched_crash_record_attempt(struct scheduler *sched, struct job *job,
                           struct job_task *task, const char *backend_id);

#endif
