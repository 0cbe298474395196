/* State of one run of egretctl and what its commands share. */
#ifndef EGRETCTL_CTL_H
#define EGRETCTL_CTL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "store/config_store.h"
#include "store/store.h"

/**
 * enum ctl_exit - exit codes, part of the interface
 * @CTL_OK: done
 * @CTL_REFUSED: findings, or the request makes no sense now
 * @CTL_USAGE: wrong command line or settings
 * @CTL_CONFLICT: another operator's change came first
 * @CTL_NO_STORE: the store can't be reached; nothing was changed
 * @CTL_UNKNOWN: the change may or may not come into force
 * @CTL_PENDING: accepted by the store, not yet in force everywhere
 */
enum ctl_exit {
    CTL_OK = 0,
    CTL_REFUSED = 1,
    CTL_USAGE = 2,
    CTL_CONFLICT = 3,
    CTL_NO_STORE = 4,
    CTL_UNKNOWN = 5,
    CTL_PENDING = 6,
};

/** enum ctl_flag - options, as bits, that a command takes */
enum ctl_flag {
    CTL_FLAG_WAIT = 1 << 0,
    CTL_FLAG_YES = 1 << 1,
    CTL_FLAG_EXPIRES = 1 << 2,
    CTL_FLAG_POOL = 1 << 3,
    CTL_FLAG_DC = 1 << 4,
    CTL_FLAG_OLDER_THAN = 1 << 5,
};

/**
 * struct ctl_options - the command line
 * @given: bits of enum ctl_flag that were given
 * @expires_s, @older_than_s: durations in seconds
 * @wait_s: longest time to wait for gateways
 * @pools, @dcs: selection of a wave
 */
struct ctl_options {
    char *store_url;
    char *secret_file;
    bool json;
    unsigned given;
    int64_t expires_s;
    int64_t older_than_s;
    int64_t wait_s;
    GPtrArray *pools;
    GPtrArray *dcs;
};

struct ctl {
    struct ctl_options options;
    struct store *store;
    GMainLoop *loop;
    char *author;
};

/** struct ctl_entry - a key of the store, owned by the caller. */
struct ctl_entry {
    struct status status;
    char *value;
    uint64_t version;
};

/** ctl_option_given() - whether an option was given. */
bool
ctl_option_given(const struct ctl *ctl, enum ctl_flag flag);

/** ctl_fail() - print a message to standard error; returns @code. */
enum ctl_exit
ctl_fail(enum ctl_exit code, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** ctl_fail_status() - the same for a status of the store. */
enum ctl_exit
ctl_fail_status(const struct status *status);

/** ctl_get() - read a key and wait for the answer. */
struct ctl_entry
ctl_get(struct ctl *ctl, const char *key);

/** ctl_list() - call @each for every entry below a prefix. */
struct status
ctl_list(struct ctl *ctl, const char *prefix,
         void (*each)(void *ctx, const struct store_entry *entry), void *ctx);

/** ctl_cas() - write a key and wait for the outcome. */
struct ctl_entry
ctl_cas(struct ctl *ctl, const char *key, const char *value, uint64_t version);

void
ctl_entry_clear(struct ctl_entry *entry);

/** ctl_fetch() - read the configuration in force; the caller clears it. */
struct config_snapshot
ctl_fetch(struct ctl *ctl);

/** ctl_fetch_generation() - an earlier one, as long as it is kept. */
struct config_snapshot
ctl_fetch_generation(struct ctl *ctl, uint64_t generation);

/** ctl_head() - head at the store, or NULL; config_head_destroy() it. */
struct config_head *
ctl_head(struct ctl *ctl);

void
ctl_snapshot_clear(struct config_snapshot *snapshot);

/** struct ctl_publish_result - outcome of ctl_publish() */
struct ctl_publish_result {
    struct status status;
    uint64_t generation;
    char id[CONFIG_ID_BYTES + 1];
};

/** ctl_publish() - put @config in force on top of @base, with a generation
 * above @above. */
struct ctl_publish_result
ctl_publish(struct ctl *ctl, const struct config_snapshot *base,
            const struct config *config, const char *summary, uint64_t above);

/** ctl_print_json() - print @root, indented. */
void
ctl_print_json(JsonNode *root);

#endif
