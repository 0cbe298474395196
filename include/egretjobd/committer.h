/*
 * Transactions that are sent twice when the first sending gets no answer in
 * the usual time. Each has conditions that hold only before it was carried
 * out, so a second sending changes nothing more; it tells sooner than a
 * timeout what became of the first when answers are lost or a connection has
 * gone silent.
 */
#ifndef EGRETJOBD_COMMITTER_H
#define EGRETJOBD_COMMITTER_H

#include "platform/kv.h"

struct committer;

/**
 * committer_create() - commits one transaction at a time
 * @timeout_ms: silence after which a sending has no answer
 */
struct committer *
committer_create(struct event_base *base, const char *address,
                 int64_t timeout_ms, struct kv_route route);
void
committer_destroy(struct committer *committer);

/**
 * committer_commit() - send @txn; not while another one is open
 *
 * The outcome is KV_UNKNOWN only if no sending got an answer, and KV_REFUSED
 * only if none may have been carried out.
 */
void
committer_commit(struct committer *committer, const struct kv_txn *txn,
                 struct kv_done done);

#endif
