/* Questions about jobs that the store answers when no scheduler does. */
#ifndef EGRETJOBD_QUESTIONS_H
#define EGRETJOBD_QUESTIONS_H

#include "egretjobd/job_call.h"
#include "egretjobd/node.h"

struct questions *
questions_create(struct node *node);
void
questions_destroy(struct questions *questions);

/** questions_state() - state of a job: 200, 410 if there is none, 503. */
void
questions_state(struct questions *questions, const char *id,
                struct job_reply reply);

/** questions_cancel() - leave a note for the scheduler that a job is
 * cancelled: 200, 410 if there is none, 503 if nothing was done, 504. */
void
questions_cancel(struct questions *questions, const char *id,
                 struct job_reply reply);

#endif
