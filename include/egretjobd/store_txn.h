/* Transactions that store a batch of the scheduler's changes. */
#ifndef EGRETJOBD_STORE_TXN_H
#define EGRETJOBD_STORE_TXN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/jobs/scheduler.h"
#include "platform/kv.h"

enum {
    /* Per transaction: a condition and a write for each job and each backend
     * server, or two deletions for an expired job, and a condition on the
     * leader's record. */
    BATCH_CHANGES_MAX = 15,
};

/** struct txn_builder - entries of one transaction; owns their keys and
 * values */
struct txn_builder {
    GPtrArray *texts;
    GArray *conditions;
    GArray *puts;
    GPtrArray *deletes;
};

struct txn_builder
txn_builder_create(void);
void
txn_builder_clear(struct txn_builder *builder);

/** txn_builder_key() - @prefix and @id as one text that @builder owns. */
const char *
txn_builder_key(struct txn_builder *builder, const char *prefix,
                const char *id);

/** txn_builder_condition() - require @key to be at @revision; 0: absent. */
void
txn_builder_condition(struct txn_builder *builder, const char *key,
                      int64_t revision);

/** txn_builder_put() - write @value, which @builder takes over. */
void
txn_builder_put(struct txn_builder *builder, const char *key, char *value);

/** txn_builder_txn() - the transaction; valid until @builder changes. */
struct kv_txn
txn_builder_txn(const struct txn_builder *builder);

/**
 * store_txn_build() - the transaction that stores @batch
 * @token: fencing token of the leader, the revision of its record
 * @value_bytes_max: longest value that the store accepts
 */
struct txn_builder
store_txn_build(const struct scheduler *sched, const struct store_batch *batch,
                int64_t token, size_t value_bytes_max);

/**
 * store_txn_conflict() - handle a transaction whose conditions do not hold
 * @items: struct kv_item, current state of what it was conditional on
 *
 * Return: false if there is another leader; else the stored revisions were
 * adopted and the batch may be stored again.
 */
bool
store_txn_conflict(struct scheduler *sched, const struct store_batch *batch,
                   const GPtrArray *items, int64_t token);

/**
 * store_txn_wave_status() - the transaction that stores the state of a wave
 * @number: number of the wave, as in its keys
 * @done: whether it is complete
 * @started_hosts: hosts whose maintenance was accepted; taken over
 * @revision: revision of what was stored last; 0: nothing
 */
struct txn_builder
store_txn_wave_status(const char *number, bool done, char *started_hosts,
                      int64_t token, int64_t revision);

#endif
