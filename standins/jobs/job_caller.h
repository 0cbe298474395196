/* A caller that submits jobs, polls their state and keeps statistics. */
#ifndef STANDINS_JOBS_JOB_CALLER_H
#define STANDINS_JOBS_JOB_CALLER_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct caller_queue - a queue as callers see it, with statistics of its jobs
 * @name: name in printed tables
 * @host: Host header
 * @prefix: path prefix
 * @key: key of a client account, or NULL on an open queue
 * @objective_ms: objective of the completion time
 * @refused: jobs given up before they were accepted
 * @given_up: jobs given up whose cancel was acknowledged
 * @times_ms: int64_t, time from arrival to completion of each job
 */
struct caller_queue {
    const char *name;
    const char *host;
    const char *prefix;
    const char *key;
    int64_t objective_ms;
    uint32_t submitted;
    uint32_t accepted;
    uint32_t refused;
    uint32_t completed;
    uint32_t within_objective;
    uint32_t failed;
    uint32_t cancelled;
    uint32_t given_up;
    GArray *times_ms;
};

struct job_caller;

/** job_caller_create() - @frontends: addresses of entry hosts, NULL-terminated
 */
struct job_caller *
job_caller_create(struct event_base *base, const char *const *frontends);
void
job_caller_destroy(struct job_caller *caller);

/** job_caller_submit() - submit a job and poll its state until it ends. */
void
job_caller_submit(struct job_caller *caller, struct caller_queue *queue,
                  const char *body);

/** job_caller_submit_to_cancel() - same, and cancel it after @cancel_ms; 0:
 * never. */
void
job_caller_submit_to_cancel(struct job_caller *caller,
                            struct caller_queue *queue, const char *body,
                            int64_t cancel_ms);

/**
 * job_caller_submit_to_give_up() - submit a job and cancel it after
 * @give_up_ms, whether it is accepted by then or not.
 *
 * It counts as given up once the cancel is acknowledged. Every other one is
 * then submitted once more, as by a request that was delayed.
 */
void
job_caller_submit_to_give_up(struct job_caller *caller,
                             struct caller_queue *queue, const char *body,
                             int64_t give_up_ms);

/** job_caller_report_cancels() - tell the emulator with this administration
 * address of acknowledged cancels. */
void
job_caller_report_cancels(struct job_caller *caller, const char *address);

/** job_caller_pending() - number of jobs that have not ended. */
uint32_t
job_caller_pending(const struct job_caller *caller);

/** job_caller_answered() - number of POST requests that got an answer. */
uint32_t
job_caller_answered(const struct job_caller *caller);

/** job_caller_refused() - paths of jobs that will never run: every attempt was
 * refused for good. */
const GPtrArray *
job_caller_refused(const struct job_caller *caller);

/** caller_queue_init() - initialise the statistics of a queue. */
void
caller_queue_init(struct caller_queue *queue);
void
caller_queue_clear(struct caller_queue *queue);

/** caller_queue_quantile_ms() - quantile of the completion times; 0: none. */
int64_t
caller_queue_quantile_ms(const struct caller_queue *queue, double quantile);

/**
 * http_call_sync() - send a request and run @base's loop until the answer
 * @key: key of a client account, or NULL
 * @text: request body, or NULL
 * @body: receives the answer's body, to be freed with g_free(); may be NULL
 *
 * Return: the HTTP status, 0 for no answer.
 */
int
http_call_sync(struct event_base *base, const char *address,
               const char *method, const char *path, const char *key,
               const char *text, char **body);

#endif
