/* The store's transaction interface, which returns the version written. */
#ifndef STORE_STORE_TXN_H
#define STORE_STORE_TXN_H

#include <glib.h>
#include <stdint.h>

#define STORE_TXN_PATH "/v1/txn"

/** store_txn_cas() - request body of a transaction that writes one key if its
 * version is @version. */
GBytes *
store_txn_cas(const char *key, GBytes *value, uint64_t version);

/** store_txn_version() - version written, from the response body; 0 if it has
 * none. */
uint64_t
store_txn_version(GBytes *response);

#endif
