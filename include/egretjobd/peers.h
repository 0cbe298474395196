/* Calls between the processes of the job subsystem. */
#ifndef EGRETJOBD_PEERS_H
#define EGRETJOBD_PEERS_H

#include "egretjobd/job_call.h"
#include "egretjobd/node.h"
#include "net/http_client.h"

/** peers_create() - serve peers; NULL if the address can't be had. */
struct peers *
peers_create(struct node *node);
void
peers_destroy(struct peers *peers);

/** peers_call() - let the process at @address answer a caller's request;
 * JOB_ANSWER_ASK_STORE if it can't, JOB_ANSWER_NONE if it is silent. */
void
peers_call(struct peers *peers, const char *address,
           const struct job_call *call, struct job_reply reply);

/** peers_fetch_operator_records() - ask for the operator's orders as the peer
 * knows them. */
void
peers_fetch_operator_records(struct peers *peers, const char *address,
                             void (*done)(void *ctx,
                                          const struct http_reply *reply),
                             void *ctx);

#endif
