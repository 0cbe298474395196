/* Reading and replacing the configuration at the store. */
#ifndef STORE_CONFIG_STORE_H
#define STORE_CONFIG_STORE_H

#include "store/config_parts.h"
#include "store/store.h"

/**
 * struct config_snapshot - a generation as read from the store
 * @status: STATUS_OK, STATUS_NOT_FOUND (nothing was ever applied),
 *          STATUS_UNAVAILABLE, or STATUS_INVALID for a generation that can't
 *          be read; @head is then set if that much was readable
 * @head_version: version of the head, for config_publish()
 * @head_text: the head as stored
 * @texts: part names to part texts
 *
 * Valid during the callback, which may take members over by setting them to
 * NULL.
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
 * config_fetch() - read the generation in force
 * @known: part keys to part texts that need not be read again, or NULL
 *
 * Returns: a handle that is valid until the callback has been called.
 */
struct config_fetch *
config_fetch(struct store *store, GTree *known,
             struct config_fetch_callback callback);

/** config_fetch_from_head() - the same for a head that was just read. */
struct config_fetch *
config_fetch_from_head(struct store *store, const struct store_entry *head,
                       GTree *known, struct config_fetch_callback callback);

/** config_fetch_cancel() - no callback follows. */
void
config_fetch_cancel(struct config_fetch *fetch);

/**
 * struct config_publish_request - what to put in force
 * @base: head that the change was made on; NULL for the first generation
 * @base_version: its version, or STORE_VERSION_ABSENT
 * @above_generation: the new generation is higher than this, too; gateways may
 * hold more than a store that was set back
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
 * struct config_publish_result - how it ended
 * @status: STATUS_OK: the store holds the generation, or held it before a
 *          later one; STATUS_CONFLICT: another change came first and this one
 *          never was in force; STATUS_UNAVAILABLE: not written;
 *          STATUS_UNKNOWN: may be or come in force
 * @generation, @id: of the new generation
 * @head_version: version of the new head, 0 when it is not known
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
    /* Generations whose heads and parts are kept. */
    CONFIG_HISTORY_LENGTH = 50,
};

/**
 * config_prune() - delete heads and parts that are no longer needed
 * @generation, @head_version: of the head in force; nothing written after
 *                             that version is deleted, since an apply that
 *                             is under way may count on it
 */
void
config_prune(struct store *store, uint64_t generation, uint64_t head_version,
             void (*done)(void *ctx), void *ctx);

/**
 * struct config_history - heads that were in force, newest first
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

/** config_history_read() - follow the heads back from the one in force. */
void
config_history_read(struct store *store,
                    struct config_history_callback callback);

#endif
