/* Calls between the egretjobd processes. */
#ifndef EGRETJOBD_PEERS_H
#define EGRETJOBD_PEERS_H

#include "egretjobd/job_call.h"
#include "egretjobd/node.h"
#include "net/http_client.h"
#include "net/http_server.h"

/** peers_create() - listen for peers; NULL if the address can't be bound. */
struct peers *
peers_create(struct node *node);
void
peers_destroy(struct peers *peers);

/** peers_server_stats() - use of the address for peers. */
void
peers_server_stats(const struct peers *peers, struct http_server_stats *stats);

/** peers_call() - forward a caller's request to the process at @address;
 * JOB_ANSWER_USE_STORE if it can't answer, JOB_ANSWER_UNANSWERED if it
 * doesn't. */
void
peers_call(struct peers *peers, const char *address,
           const struct job_call *call, struct job_reply reply);

/** peers_fetch_operator_records() - ask a peer for the operator's records. */
void
peers_fetch_operator_records(struct peers *peers, const char *address,
                             void (*done)(void *ctx,
                                          const struct http_reply *reply),
                             void *ctx);

#endif
