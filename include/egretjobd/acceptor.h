/* Stores accepted jobs, several in one transaction. */
#ifndef EGRETJOBD_ACCEPTOR_H
#define EGRETJOBD_ACCEPTOR_H

#include "egretjobd/job_call.h"
#include "egretjobd/node.h"

struct acceptor *
acceptor_create(struct node *node);
void
acceptor_destroy(struct acceptor *acceptor);

/**
 * acceptor_submit() - store a job; answers 200 once it is stored, 503 if it
 * certainly never will be, 504 if that is not known
 */
void
acceptor_submit(struct acceptor *acceptor, const struct job_call *call,
                struct job_reply reply);

/** acceptor_answer_pending() - answer everything that is open, truly, before
 * the process ends. */
void
acceptor_answer_pending(struct acceptor *acceptor);

#endif
