/* Queries the state of attempts at backend servers, and stops lost ones. */
#ifndef EGRETD_STOPPER_H
#define EGRETD_STOPPER_H

#include <stdint.h>

#include "common/ms_clock.h"

/**
 * enum stop_state - what is known of an attempt at its backend server
 * @STOP_STATE_RUNNING: it runs, or its state could not be found out
 * @STOP_STATE_ENDED: it ran and has ended
 * @STOP_STATE_STOPPED: it was running and has been stopped
 * @STOP_STATE_NEVER_STARTED: it did not start and never will
 * @STOP_STATE_EXPIRED: the backend server did not answer by the deadline
 */
enum stop_state {
    STOP_STATE_RUNNING,
    STOP_STATE_ENDED,
    STOP_STATE_STOPPED,
    STOP_STATE_NEVER_STARTED,
    STOP_STATE_EXPIRED,
};

/**
 * struct stop_params - an attempt to query or stop
 * @number: number of the attempt, passed to @done
 * @task_name: id of the attempt at the backend server
 * @address: "IP:port" of the backend server
 * @deadline_ms: clock time from which failed calls aren't repeated
 */
struct stop_params {
    uint64_t number;
    const char *task_name;
    const char *address;
    int64_t deadline_ms;
};

/** struct stopper_options - @done is called once per stop or probe */
struct stopper_options {
    struct ms_clock clock;
    int64_t call_timeout_ms;
    void (*done)(void *ctx, uint64_t number, enum stop_state state);
    void *ctx;
};

struct stopper;

struct stopper *
stopper_create(const struct stopper_options *options);
void
stopper_destroy(struct stopper *stopper);

/** stopper_stop() - stop an attempt, with retries until it is known not to
 * run. */
void
stopper_stop(struct stopper *stopper, const struct stop_params *params);

/** stopper_probe() - query the state once, on a new connection. If the
 * backend server doesn't know the attempt, it is instructed never to start it.
 */
void
stopper_probe(struct stopper *stopper, const struct stop_params *params);

#endif
