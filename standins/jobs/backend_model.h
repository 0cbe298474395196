/* Model of a backend server: leases, fencing, ends, checkpoints. */
#ifndef STANDINS_JOBS_BACKEND_MODEL_H
#define STANDINS_JOBS_BACKEND_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/jobs/scheduler.h"

/**
 * struct model_task_run - a run on a backend server
 * @stops_ms: when a stop ends it; 0: not told to stop
 * @stalls: its progress stands still
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
 * struct model_completion - an end that is listed until it is acknowledged
 * @lease_expired: the lease ran out after it, so that it counts as not noted
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
 * @speed_percent: its clock against true time, 98 to 100
 * @offset_ms: its clock at time 0
 * @until_ms: end of the lease, on its clock; 0: none
 * @stale_upto: highest number of a run stopped or ended here, by task
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
    bool no_fence;
    bool no_lease_expiry;
};

void
model_backend_init(struct model_backend *backend, int index,
                   int64_t speed_percent, int64_t offset_ms);
void
model_backend_clear(struct model_backend *backend);

int64_t
model_backend_clock(const struct model_backend *backend, int64_t now_ms);

/** model_backend_advance() - let runs end that end by @now_ms. */
void
model_backend_advance(struct model_backend *backend, int64_t now_ms);

/** model_backend_start() - an order arrives; @started tells whether a run
 * began. */
enum start_answer
model_backend_start(struct model_backend *backend, const char *task,
                    uint32_t number, int64_t until_ms, int64_t token,
                    int64_t run_ms, bool fails, int64_t now_ms, bool *started);
bool
model_backend_stop(struct model_backend *backend, const char *task,
                   uint32_t number, int64_t token, int64_t stop_ms,
                   int64_t now_ms);

/** model_backend_renew() - a list call arrives; false if fenced. */
bool
model_backend_renew(struct model_backend *backend, int64_t until_ms,
                    int64_t acked_completion, int64_t token, int64_t now_ms);

#endif
