/*
 * Commits transactions, with a second attempt on another connection if the
 * first one is not answered in the usual time. The conditions of a transaction
 * no longer hold once it has been carried out, so the second attempt is
 * idempotent. If an answer is lost or a connection is unresponsive, it gives
 * the outcome of the first attempt sooner than the timeout would.
 */
#ifndef EGRETJOBD_COMMITTER_H
#define EGRETJOBD_COMMITTER_H

#include "platform/kv.h"

struct committer;

/**
 * committer_create() - commits one transaction at a time
 * @timeout_ms: time after which an attempt counts as unanswered
 */
struct committer *
committer_create(struct event_base *base, const char *address,
                 int64_t timeout_ms, struct kv_route route);
void
committer_destroy(struct committer *committer);

/**
 * committer_commit() - send @txn; only when no other one is open
 *
 * The outcome is KV_UNKNOWN only if no attempt got an answer, and KV_REFUSED
 * only if no attempt can have been carried out.
 */
void
committer_commit(struct committer *committer, const struct kv_txn *txn,
                 struct kv_done done);

#endif
