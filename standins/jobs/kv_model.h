/* Model of the platform's key-value service: revisions, leases, history. */
#ifndef STANDINS_JOBS_KV_MODEL_H
#define STANDINS_JOBS_KV_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct kv_row - a key as it is, or as it was changed */
struct kv_row {
    char *key;
    char *value;
    int64_t revision;
    int64_t lease;
    bool deleted;
};

/** struct kv_lease - a lease */
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

/** kv_model_next_revision() - begin a transaction. */
void
kv_model_next_revision(struct kv_model *kv);

struct kv_lease *
kv_model_grant_lease(struct kv_model *kv, int64_t ttl_ms, int64_t now_ms);
struct kv_lease *
kv_model_find_lease(const struct kv_model *kv, int64_t id);
void
kv_model_revoke_lease(struct kv_model *kv, int64_t id);

/** kv_model_expire() - end leases that ran out; true if keys went. */
bool
kv_model_expire(struct kv_model *kv, int64_t now_ms);

#endif
