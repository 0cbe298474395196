/* Model of the platform's key-value service: revisions, leases, history. */
#ifndef STANDINS_JOBS_KV_MODEL_H
#define STANDINS_JOBS_KV_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct kv_row - current state of a key, or a change of it
 * @value: base64 text; NULL if @deleted
 * @lease: lease that it is attached to; 0: none
 */
struct kv_row {
    char *key;
    char *value;
    int64_t revision;
    int64_t lease;
    bool deleted;
};

/** struct kv_lease - a lease; keys attached to it are deleted at its end */
struct kv_lease {
    int64_t id;
    int64_t ttl_ms;
    int64_t expires_ms;
};

/**
 * struct kv_model - the service
 * @rows: struct kv_row by key
 * @history: struct kv_row of every change, oldest first
 */
struct kv_model {
    GTree *rows;
    GPtrArray *history;
    GPtrArray *leases;
    int64_t revision;
    int64_t next_lease;
};

void
kv_model_init(struct kv_model *kv);
void
kv_model_clear(struct kv_model *kv);

const struct kv_row *
kv_model_get(const struct kv_model *kv, const char *key);

/** kv_model_put() - write a key; @value is base64 text. */
void
kv_model_put(struct kv_model *kv, const char *key, const char *value,
             int64_t lease);
void
kv_model_delete(struct kv_model *kv, const char *key);

/** kv_model_next_revision() - start a transaction at a new revision. */
void
kv_model_next_revision(struct kv_model *kv);

struct kv_lease *
kv_model_grant_lease(struct kv_model *kv, int64_t ttl_ms, int64_t now_ms);
struct kv_lease *
kv_model_find_lease(const struct kv_model *kv, int64_t id);
/** kv_model_revoke_lease() - end a lease and delete the keys attached to it.
 */
void
kv_model_revoke_lease(struct kv_model *kv, int64_t id);

/** kv_model_expire() - end the leases that have expired; true if the revision
 * changed. */
bool
kv_model_expire(struct kv_model *kv, int64_t now_ms);

#endif
