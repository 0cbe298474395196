/* Reads and cancels jobs in the store when the leader can't be reached. */
#ifndef EGRETJOBD_JOB_QUERIES_H
#define EGRETJOBD_JOB_QUERIES_H

#include "egretjobd/job_call.h"
#include "egretjobd/node.h"

struct job_queries *
job_queries_create(struct node *node);
void
job_queries_destroy(struct job_queries *queries);

/** job_queries_state() - state of a job: 200, 410 if there is no such job, 503
 * if the store could not be read. */
void
job_queries_state(struct job_queries *queries, const char *id,
                  struct job_reply reply);

/**
 * job_queries_cancel() - store a cancel message for the scheduler: 200, 410 if
 * there is no such job, 503 if nothing was stored, 504 if the outcome is
 * unknown.
 *
 * For a job that isn't stored a tombstone is, so that a request which is
 * still on its way is not accepted any more.
 */
void
job_queries_cancel(struct job_queries *queries, const struct job_call *call,
                   struct job_reply reply);

#endif
