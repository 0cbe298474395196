/* Transactions of the stand-in store: one compare-and-swap operation each. */
#ifndef STANDINS_STORE_TXN_H
#define STANDINS_STORE_TXN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct store_txn - a transaction with a single "cas" operation
 * @index: required modify index, 0 for an absent key
 */
struct store_txn {
    char *key;
    GBytes *value;
    int64_t index;
};

/** store_txn_parse() - parse a transaction; false when @body is anything else.
 * The caller clears @txn in both cases. */
bool
store_txn_parse(GBytes *body, struct store_txn *txn);

void
store_txn_clear(struct store_txn *txn);

/** store_txn_render() - response body to a transaction. */
char *
store_txn_render(const char *key, uint64_t version, bool written);

#endif
