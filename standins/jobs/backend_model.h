/* Model of a backend server: runs, leases, fencing, completions. */
#ifndef STANDINS_JOBS_BACKEND_MODEL_H
#define STANDINS_JOBS_BACKEND_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/jobs/scheduler.h"

/**
 * struct model_task_run - a run on a backend server
 * @number: number of the run
 * @ends_ms: when it ends by itself
 * @stops_ms: when a stop command ends it; 0: no stop command
 * @fails: it ends as failed
 * @stalls: its reported progress does not change
 */
struct model_task_run {
    char *task;
    uint32_t number;
    int64_t ends_ms;
    int64_t stops_ms;
    bool fails;
    bool stalls;
};

/**
 * struct model_completion - end of a run, reported until it is acknowledged
 * @lease_expired: the lease expired after it, so its acknowledgement is not
 *                 taken as final
 */
struct model_completion {
    int64_t number;
    char *task;
    uint32_t run;
    enum completion_reason reason;
    bool lease_expired;
};

/**
 * struct model_backend - a backend server
 * @speed_percent: speed of its clock relative to true time, 98 to 100
 * @offset_ms: its clock at time 0
 * @token: highest fencing token seen
 * @until_ms: end of the lease, on its clock; 0: none
 * @stale_upto: by task, highest number of a run that was stopped or ended
 *              here; only a run with a higher number may start
 * @lease_max_ms: a longer lease is shortened to this; 0: never
 * @no_fence: accept commands with a lower token too
 * @no_lease_expiry: runs go on after the lease has expired
 */
struct model_backend {
    char id[16];
    int64_t speed_percent;
    int64_t offset_ms;
    int64_t token;
    int64_t until_ms;
    GPtrArray *runs;
    GPtrArray *completions;
    GHashTable *stale_upto;
    int64_t next_completion;
    int64_t lease_max_ms;
    bool no_fence;
    bool no_lease_expiry;
};

void
model_backend_init(struct model_backend *backend, int index,
                   int64_t speed_percent, int64_t offset_ms);
void
model_backend_clear(struct model_backend *backend);

/** model_backend_restart() - crash and start again under the same id: it holds
 * nothing of before, and its clock and its counts start anew. */
void
model_backend_restart(struct model_backend *backend, int64_t now_ms);

int64_t
model_backend_clock(const struct model_backend *backend, int64_t now_ms);

/** model_backend_advance() - end all runs that are due to end by @now_ms. */
void
model_backend_advance(struct model_backend *backend, int64_t now_ms);

/** model_backend_start() - handle a start command; @started receives whether a
 * new run started. */
enum start_answer
model_backend_start(struct model_backend *backend, const char *task,
                    uint32_t number, int64_t until_ms, int64_t token,
                    int64_t run_ms, bool fails, int64_t now_ms, bool *started);
/** model_backend_stop() - handle a stop command, which takes @stop_ms; false
 * if fenced. */
bool
model_backend_stop(struct model_backend *backend, const char *task,
                   uint32_t number, int64_t token, int64_t stop_ms,
                   int64_t now_ms);

/** model_backend_renew() - handle a report request: renew the lease and drop
 * completions up to @acked_completion; false if fenced. */
bool
model_backend_renew(struct model_backend *backend, int64_t until_ms,
                    int64_t acked_completion, int64_t token, int64_t now_ms);

#endif
