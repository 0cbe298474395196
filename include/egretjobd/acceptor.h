/* Writes submitted jobs to the store, several per transaction. */
#ifndef EGRETJOBD_ACCEPTOR_H
#define EGRETJOBD_ACCEPTOR_H

#include "egretjobd/job_call.h"
#include "egretjobd/node.h"

struct acceptor *
acceptor_create(struct node *node);
void
acceptor_destroy(struct acceptor *acceptor);

/**
 * acceptor_submit() - write a job to the store
 *
 * Replies 200 once the job is stored, 503 if it certainly will not be stored,
 * and 504 if the outcome is unknown.
 */
void
acceptor_submit(struct acceptor *acceptor, const struct job_call *call,
                struct job_reply reply);

/**
 * acceptor_refuse() - refuse a new job, unless it is being stored already
 * @refusal: 429 or 503, and when the caller should return; the caller gets 504
 *           instead if another process may have stored the job
 */
void
acceptor_refuse(struct acceptor *acceptor, const struct job_call *call,
                struct job_reply reply, const struct job_answer *refusal);

/**
 * acceptor_answer_pending() - reply to all open requests before the process
 * exits: 504 if the job may be stored, else 503
 */
void
acceptor_answer_pending(struct acceptor *acceptor);

#endif
