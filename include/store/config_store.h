/* Reads, publishes and prunes the configuration at the store. */
#ifndef STORE_CONFIG_STORE_H
#define STORE_CONFIG_STORE_H

#include "store/config_parts.h"
#include "store/store.h"

/**
 * struct config_snapshot - a generation as read from the store
 * @status: STATUS_OK, STATUS_NOT_FOUND (no configuration was ever applied),
 *          STATUS_UNAVAILABLE, or STATUS_INVALID for a malformed generation;
 *          @head is then set if the head itself could be parsed
 * @head_version: store version of the head, for config_publish()
 * @head_text: the head as stored
 * @texts: map of part names to part texts
 *
 * Valid during the callback, which may take ownership of members by setting
 * them to NULL.
 */
struct config_snapshot {
    struct status status;
    uint64_t head_version;
    char *head_text;
    struct config_head *head;
    GTree *texts;
    struct config *config;
};

struct config_fetch_callback {
    void (*done)(void *ctx, struct config_snapshot *snapshot);
    void *ctx;
};

struct config_fetch;

/**
 * config_fetch() - read the active generation
 * @known: map of part keys to part texts that the caller already has and that
 *         are not read again, or NULL
 *
 * Returns: a handle that is valid until the callback has been called.
 */
struct config_fetch *
config_fetch(struct store *store, GTree *known,
             struct config_fetch_callback callback);

/** config_fetch_from_head() - like config_fetch(), but starts from a head that
 * the caller has read. */
struct config_fetch *
config_fetch_from_head(struct store *store, const struct store_entry *head,
                       GTree *known, struct config_fetch_callback callback);

/** config_fetch_cancel() - cancel @fetch; its callback is not called. */
void
config_fetch_cancel(struct config_fetch *fetch);

/**
 * struct config_publish_request - configuration to make active
 * @base: head that the change is based on; NULL for the first generation
 * @base_version: store version of @base, or STORE_VERSION_ABSENT
 * @above_generation: lower bound, exclusive, of the new generation number:
 *                    after a restore of the store from a backup, gateways may
 *                    hold a higher generation than the store
 */
struct config_publish_request {
    const struct config *config;
    const struct config_head *base;
    uint64_t base_version;
    uint64_t above_generation;
    const char *author;
    const char *summary;
    int64_t written_s;
};

/**
 * struct config_publish_result - outcome of config_publish()
 * @status: STATUS_OK: the generation is or was the active one;
 *          STATUS_CONFLICT: a concurrent change won, and this one was never
 *          active; STATUS_UNAVAILABLE: not written; STATUS_UNKNOWN: may be
 *          active or may still become active
 * @generation, @id: of the new generation
 * @head_version: store version of the new head, 0 if unknown
 */
struct config_publish_result {
    struct status status;
    uint64_t generation;
    const char *id;
    uint64_t head_version;
};

struct config_publish_callback {
    void (*done)(void *ctx, const struct config_publish_result *result);
    void *ctx;
};

void
config_publish(struct store *store,
               const struct config_publish_request *request,
               struct config_publish_callback callback);

enum {
    /* Generations whose heads and parts are retained. */
    CONFIG_HISTORY_LENGTH = 50,
};

/**
 * config_prune() - delete heads and parts that are no longer needed
 * @generation, @head_version: of the active head; nothing written after that
 *                             version is deleted, since a concurrent apply
 *                             may need it
 */
void
config_prune(struct store *store, uint64_t generation, uint64_t head_version,
             void (*done)(void *ctx), void *ctx);

/**
 * struct config_history - heads that were active, newest first
 * @heads: array of struct config_head
 */
struct config_history {
    struct status status;
    GPtrArray *heads;
};

struct config_history_callback {
    void (*done)(void *ctx, const struct config_history *history);
    void *ctx;
};

/** config_history_read() - read the active head and its predecessors, linked
 * by their previous ids. */
void
config_history_read(struct store *store,
                    struct config_history_callback callback);

#endif
