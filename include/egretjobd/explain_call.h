/* Operators' question where a job would be placed. */
#ifndef EGRETJOBD_EXPLAIN_CALL_H
#define EGRETJOBD_EXPLAIN_CALL_H

#include "egretjobd/node.h"

struct http_exchange;

/** EXPLAIN_PATH - path of the question, with the query parameters queue and,
 * optionally, account; the body is a job as callers send it */
#define EXPLAIN_PATH "/explain"

/** explain_call_matches() - whether @exchange asks that question. */
bool
explain_call_matches(const struct http_exchange *exchange);

/**
 * explain_call_serve() - answer it
 *
 * Replies 200 with the explanation, 400 to a malformed job, 404 for an unknown
 * queue or client account, 421 with the metrics address of the leader if that
 * is another process, and 503 if no leader can answer. The job isn't added.
 */
void
explain_call_serve(const struct node *node, struct http_exchange *exchange);

#endif
