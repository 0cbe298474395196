/* Questions about jobs that the store answers when no scheduler does. */
#ifndef EGRETJOBD_JOB_QUERIES_H
#define EGRETJOBD_JOB_QUERIES_H

#include "egretjobd/job_call.h"
#include "egretjobd/node.h"

struct job_queries *
job_queries_create(struct node *node);
void
job_queries_destroy(struct job_queries *queries);

/** job_queries_state() - state of a job: 200, 410 if there is none, 503. */
void
job_queries_state(struct job_queries *queries, const char *id,
                  struct job_reply reply);

/** job_queries_cancel() - leave a note for the scheduler that a job is
 * cancelled: 200, 410 if there is none, 503 if nothing was done, 504. */
void
job_queries_cancel(struct job_queries *queries, const char *id,
                   struct job_reply reply);

#endif
