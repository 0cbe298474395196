/* Client of the platform's key-value store. */
#ifndef PLATFORM_KV_H
#define PLATFORM_KV_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    /* The store accepts at most this many entries in a transaction. */
    KV_TXN_ENTRIES_MAX = 32,
    /* Longest value that it accepts unless the settings name another limit. */
    KV_VALUE_BYTES_DEFAULT = 1048576,
};

/**
 * enum kv_outcome - result of a call
 * @KV_NOT_FOUND: no such key or lease
 * @KV_CONFLICT: a condition of a transaction does not hold
 * @KV_COMPACTED: the history to watch has been compacted; read everything
 * again
 * @KV_REFUSED: certainly not carried out
 * @KV_REJECTED: the same, and the call is one that the store never accepts
 * @KV_UNKNOWN: no answer; it may have been carried out, or may be later
 */
enum kv_outcome {
    KV_OK,
    KV_NOT_FOUND,
    KV_CONFLICT,
    KV_COMPACTED,
    KV_REFUSED,
    KV_REJECTED,
    KV_UNKNOWN,
};

/**
 * struct kv_item - a key with its value, or a deletion
 * @value: decoded and NUL-terminated; NULL if @deleted
 * @revision: revision of the last change; 0: there is no such key
 * @lease: lease that it is attached to; 0: none
 */
struct kv_item {
    char *key;
    char *value;
    size_t value_bytes;
    int64_t revision;
    int64_t lease;
    bool deleted;
};

/**
 * struct kv_result - answer to a call
 * @items: struct kv_item; owned by the result
 * @has_more: the range continues after the last key of @items
 * @as_of: revision of the store at the time of a read
 * @revision: revision of a transaction
 * @lease: lease granted
 * @ttl_ms: its time to live
 */
struct kv_result {
    enum kv_outcome outcome;
    int status;
    GPtrArray *items;
    bool has_more;
    int64_t as_of;
    int64_t revision;
    int64_t lease;
    int64_t ttl_ms;
};

/** struct kv_condition - @key must be at @revision; 0: must not exist */
struct kv_condition {
    const char *key;
    int64_t revision;
};

/** struct kv_put - write @value under @key, attached to @lease if not 0 */
struct kv_put {
    const char *key;
    const char *value;
    int64_t lease;
};

/** struct kv_txn - atomic transaction of at most KV_TXN_ENTRIES_MAX entries */
struct kv_txn {
    const struct kv_condition *conditions;
    size_t n_conditions;
    const struct kv_put *puts;
    size_t n_puts;
    const char *const *deletes;
    size_t n_deletes;
};

/** struct kv_done - callback that receives the answer; called once */
struct kv_done {
    void (*call)(void *ctx, const struct kv_result *result);
    void *ctx;
};

/** kv_item_copy() - deep copy, to be freed with kv_item_destroy(). */
struct kv_item *
kv_item_copy(const struct kv_item *item);
/** kv_item_destroy() - free a struct kv_item; usable as a GDestroyNotify. */
void
kv_item_destroy(void *data);

struct kv;

/**
 * struct kv_route - callbacks that choose the route of calls to the store
 * @relay: returns the address of a peer that relays the next call, or NULL for
 *         the direct route; may be NULL itself: always direct
 * @report: receives the HTTP status of each answer, 0 for none, and the peer
 *          that relayed the call, which may be an earlier one, or NULL; may be
 *          NULL
 */
struct kv_route {
    const char *(*relay)(void *ctx);
    void (*report)(void *ctx, const char *relay, int status);
    void *ctx;
};

/* Path prefix of calls that a peer relays to the store. */
#define KV_RELAY_PREFIX "/relay"

/** kv_create() - client with one connection; calls are sent in order. */
struct kv *
kv_create(struct event_base *base, const char *address, int64_t timeout_ms,
          struct kv_route route);
void
kv_destroy(struct kv *kv);

/** kv_set_urgent() - read answers before those of other connections. */
void
kv_set_urgent(struct kv *kv);

/** kv_pending() - calls without an answer yet. */
uint32_t
kv_pending(const struct kv *kv);

void
kv_get(struct kv *kv, const char *key, struct kv_done done);

/** kv_range() - items under @prefix after key @after, which may be NULL. */
void
kv_range(struct kv *kv, const char *prefix, const char *after,
         struct kv_done done);

/**
 * kv_range_all() - all items under @prefix, read page by page
 *
 * The pages are not a snapshot. The result is as of its first page, so a watch
 * from there returns every change that a later page may have missed.
 */
void
kv_range_all(struct kv *kv, const char *prefix, struct kv_done done);

/** kv_watch() - changes under @prefix after a revision; waits at most
 * @wait_ms for the first. */
void
kv_watch(struct kv *kv, const char *prefix, int64_t after_revision,
         int64_t wait_ms, struct kv_done done);

void
kv_commit(struct kv *kv, const struct kv_txn *txn, struct kv_done done);

/** kv_txn_encode() - @txn as it is sent; g_free(). */
char *
kv_txn_encode(const struct kv_txn *txn);

/** kv_commit_encoded() - commit a transaction that kv_txn_encode() encoded. */
void
kv_commit_encoded(struct kv *kv, const char *body, struct kv_done done);

/** kv_lease_grant() - create a lease, which expires after @ttl_ms unless it is
 * renewed. */
void
kv_lease_grant(struct kv *kv, int64_t ttl_ms, struct kv_done done);
void
kv_lease_renew(struct kv *kv, int64_t lease, struct kv_done done);

/** kv_lease_revoke() - end a lease; the store deletes the keys attached to
 * it. */
void
kv_lease_revoke(struct kv *kv, int64_t lease, struct kv_done done);

#endif
