/* Client of the platform's key-value service. */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/ms_clock.h"
#include "common/status.h"

enum {
    STORE_VALUE_MAX_BYTES = 1000000,
    /* Version to pass to store_cas() when the key must not exist. */
    STORE_VERSION_ABSENT = 0,
};

/**
 * struct store_entry - a key with its value
 * @key: full key
 * @value: value; ends with a NUL that @size_bytes does not count
 * @version: changes with every write of the key, only rises
 */
struct store_entry {
    char *key;
    char *value;
    size_t size_bytes;
    uint64_t version;
};

/**
 * struct store_result - result of one store call
 * @status: STATUS_OK, STATUS_NOT_FOUND (get), STATUS_CONFLICT (cas: the key
 *          has another version; @entries then holds the current entry, or
 *          nothing if the key is absent), STATUS_UNAVAILABLE (not written),
 *          STATUS_UNKNOWN (may have been written: the key could not be read
 *          back, or the response was lost and the key now has another value,
 *          given in @entries)
 * @entries: entries read; for a successful cas one entry with the new
 *           version
 * @index: store index of the response, for watches
 */
struct store_result {
    struct status status;
    const struct store_entry *entries;
    size_t n_entries;
    uint64_t index;
};

/**
 * struct store_callback - receives results
 * @done: called once for a call, repeatedly for a watch; the result is valid
 *        during the callback
 * @abandoned: called instead of @done when store_destroy() cancels a call, to
 *             release @ctx; may be NULL
 * @ctx: passed to @done and @abandoned
 */
struct store_callback {
    void (*done)(void *ctx, const struct store_result *result);
    void (*abandoned)(void *ctx);
    void *ctx;
};

struct store;

/**
 * struct store_options - address and timeouts of the store
 * @url: base URL, http://IP:PORT
 * @timeout_ms: deadline of one call
 * @watch_wait_ms: longest time one long-poll request of a watch waits
 * @clock: time source
 */
struct store_options {
    const char *url;
    int64_t timeout_ms;
    int64_t watch_wait_ms;
    struct ms_clock clock;
};

struct store *
store_create(const struct store_options *options);

/** store_destroy() - cancels every call and watch; no @done follows. */
void
store_destroy(struct store *store);

/** store_get() - read one key, or all keys below a prefix ending in '/'; a
 * prefix with no keys is STATUS_OK without entries. */
void
store_get(struct store *store, const char *key,
          struct store_callback callback);

/**
 * store_cas() - write @key if its version is @version
 *
 * When the response is lost, the key is read back: if it holds exactly @value
 * at a version above @version, the write is reported as successful. Where two
 * writers could write the same value, values therefore include a writer id.
 */
void
store_cas(struct store *store, const char *key, const char *value,
          size_t size_bytes, uint64_t version, struct store_callback callback);

/** store_delete() - remove @key if its version is @version. */
void
store_delete(struct store *store, const char *key, uint64_t version,
             struct store_callback callback);

struct store_watch;

/**
 * store_watch_create() - follow a key, or all keys below a prefix
 *
 * @callback is called with the current state first, then after every change,
 * and with STATUS_UNAVAILABLE when the store becomes unreachable. A request
 * without a response within its wait plus the timeout is cancelled and sent
 * again on a new connection.
 */
struct store_watch *
store_watch_create(struct store *store, const char *key,
                   struct store_callback callback);
void
store_watch_destroy(struct store_watch *watch);

/** store_last_answer_ms() - clock time of the last response, or INT64_MIN. */
int64_t
store_last_answer_ms(const struct store *store);

/** struct store_stats - calls and bytes since the start, for metrics. */
struct store_stats {
    uint64_t calls;
    uint64_t failures;
    uint64_t read_backs;
    uint64_t bytes_in;
    uint64_t bytes_out;
};

struct store_stats
store_stats_get(const struct store *store);

#endif
