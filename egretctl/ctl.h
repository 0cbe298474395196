/* State of one invocation of egretctl, and helpers shared by its commands. */
#ifndef EGRETCTL_CTL_H
#define EGRETCTL_CTL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "store/config_store.h"
#include "store/store.h"

/**
 * enum ctl_exit - exit codes, part of the public interface
 * @CTL_OK: success
 * @CTL_REFUSED: invalid input, or not possible in the present state
 * @CTL_USAGE: wrong command line or settings
 * @CTL_CONFLICT: another operator's change came first
 * @CTL_NO_STORE: the store can't be reached; nothing was changed
 * @CTL_UNKNOWN: the change may or may not have been stored
 * @CTL_PENDING: written to the store, not yet active on every live gateway
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

/** enum ctl_flag - bits for the options that only some commands accept */
enum ctl_flag {
    CTL_FLAG_WAIT = 1 << 0,
    CTL_FLAG_YES = 1 << 1,
    CTL_FLAG_EXPIRES = 1 << 2,
    CTL_FLAG_POOL = 1 << 3,
    CTL_FLAG_DC = 1 << 4,
    CTL_FLAG_OLDER_THAN = 1 << 5,
};

/**
 * struct ctl_options - options from the command line and the settings file
 * @given: bits of enum ctl_flag for the options that were given
 * @expires_s, @older_than_s: durations in seconds
 * @wait_s: longest time to wait for the gateways
 * @pools, @dcs: hosts that a maintenance wave selects; empty for all
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

/** struct ctl_entry - value of a key in the store, owned by the caller */
struct ctl_entry {
    struct status status;
    char *value;
    uint64_t version;
};

/** ctl_option_given() - whether an option was given. */
bool
ctl_option_given(const struct ctl *ctl, enum ctl_flag flag);

/** ctl_fail() - print an error message; returns @code. */
enum ctl_exit
ctl_fail(enum ctl_exit code, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** ctl_fail_status() - print the message of a failed store request; returns
 * the exit code for it. */
enum ctl_exit
ctl_fail_status(const struct status *status);

/** ctl_get() - read a key; blocks until the store has responded. */
struct ctl_entry
ctl_get(struct ctl *ctl, const char *key);

/** ctl_list() - call @each for every entry below a prefix. */
struct status
ctl_list(struct ctl *ctl, const char *prefix,
         void (*each)(void *ctx, const struct store_entry *entry), void *ctx);

/** ctl_cas() - write a key if its version is still @version; blocks until the
 * store has responded. */
struct ctl_entry
ctl_cas(struct ctl *ctl, const char *key, const char *value, uint64_t version);

void
ctl_entry_clear(struct ctl_entry *entry);

/** ctl_fetch() - read the active configuration; free it with
 * ctl_snapshot_clear(). */
struct config_snapshot
ctl_fetch(struct ctl *ctl);

/** ctl_fetch_generation() - read an earlier configuration that is still
 * stored. */
struct config_snapshot
ctl_fetch_generation(struct ctl *ctl, uint64_t generation);

/** ctl_head() - read the configuration head, or NULL; free it with
 * config_head_destroy(). */
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

/** ctl_publish() - publish @config as the successor of @base, with a
 * generation higher than @above. */
struct ctl_publish_result
ctl_publish(struct ctl *ctl, const struct config_snapshot *base,
            const struct config *config, const char *summary, uint64_t above);

/** ctl_print_json() - print @root, indented. */
void
ctl_print_json(JsonNode *root);

#endif
