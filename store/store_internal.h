/* Types and functions shared by the files of the store client. */
#ifndef STORE_STORE_INTERNAL_H
#define STORE_STORE_INTERNAL_H

#include <libsoup/soup.h>

#include "store/store.h"
#include "store_exchange.h"

struct store {
    SoupSession *session;
    char *url;
    int64_t timeout_ms;
    int64_t watch_wait_ms;
    struct ms_clock clock;
    GList *exchanges;
    GList *watches;
    struct store_stats stats;
    int64_t last_answer_ms;
};

/** store_key_path() - path of @key below the store's URL with @query. */
char *
store_key_path(const char *key, const char *query);

/** store_is_prefix() - whether @key ends in '/' and so means all keys below
 * it. */
bool
store_is_prefix(const char *key);

/**
 * store_reply_read() - convert the reply to a read into a result
 * @entries: receives the entries; empty unless the status is STATUS_OK
 */
void
store_reply_read(const struct exchange_reply *reply, const char *key,
                 GArray *entries, struct store_result *result);

/** store_entries_create() - array of struct store_entry that frees them. */
GArray *
store_entries_create(void);

#endif
