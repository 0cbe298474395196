#include "kv_model.h"

#include <string.h>

static void
row_free(void *data)
{
    struct kv_row *row = data;
    g_free(row->key);
    g_free(row->value);
    g_free(row);
}

static int
compare_keys(const void *a, const void *b, void *ctx)
{
    (void)ctx;
    return strcmp(a, b);
}

void
kv_model_init(struct kv_model *kv)
{
    *kv = (struct kv_model){.revision = 1, .next_lease = 1};
    kv->rows = g_tree_new_full(compare_keys, NULL, NULL, row_free);
    kv->history = g_ptr_array_new_with_free_func(row_free);
    kv->leases = g_ptr_array_new_with_free_func(g_free);
}

void
kv_model_clear(struct kv_model *kv)
{
    g_tree_unref(kv->rows);
    g_ptr_array_unref(kv->history);
    g_ptr_array_unref(kv->leases);
}

const struct kv_row *
kv_model_get(const struct kv_model *kv, const char *key)
{
    return g_tree_lookup(kv->rows, key);
}

static void
append_history(struct kv_model *kv, const struct kv_row *row, bool deleted)
{
    struct kv_row *change = g_new0(struct kv_row, 1);
    *change = *row;
    change->key = g_strdup(row->key);
    change->value = deleted ? NULL : g_strdup(row->value);
    change->revision = kv->revision;
    change->deleted = deleted;
    g_ptr_array_add(kv->history, change);
}

void
kv_model_next_revision(struct kv_model *kv)
{
    kv->revision++;
}

void
kv_model_put(struct kv_model *kv, const char *key, const char *value,
             int64_t lease)
{
    struct kv_row *row = g_new0(struct kv_row, 1);
    row->key = g_strdup(key);
    row->value = g_strdup(value);
    row->revision = kv->revision;
    row->lease = lease;
    g_tree_replace(kv->rows, row->key, row);
    append_history(kv, row, false);
}

void
kv_model_delete(struct kv_model *kv, const char *key)
{
    const struct kv_row *row = kv_model_get(kv, key);
    if (row != NULL) {
        append_history(kv, row, true);
        g_tree_remove(kv->rows, key);
    }
}

struct kv_lease *
kv_model_grant_lease(struct kv_model *kv, int64_t ttl_ms, int64_t now_ms)
{
    struct kv_lease *lease = g_new0(struct kv_lease, 1);
    lease->id = kv->next_lease++;
    lease->ttl_ms = ttl_ms;
    lease->expires_ms = now_ms + ttl_ms;
    g_ptr_array_add(kv->leases, lease);
    return lease;
}

struct kv_lease *
kv_model_find_lease(const struct kv_model *kv, int64_t id)
{
    for (guint i = 0; i < kv->leases->len; i++) {
        struct kv_lease *lease = g_ptr_array_index(kv->leases, i);
        if (lease->id == id) {
            return lease;
        }
    }
    return NULL;
}

struct lease_keys {
    int64_t lease;
    GPtrArray *keys;
};

static gboolean
collect_key(void *key, void *value, void *data)
{
    const struct kv_row *row = value;
    struct lease_keys *found = data;
    if (row->lease == found->lease) {
        g_ptr_array_add(found->keys, g_strdup(key));
    }
    return FALSE;
}

void
kv_model_revoke_lease(struct kv_model *kv, int64_t id)
{
    struct kv_lease *lease = kv_model_find_lease(kv, id);
    if (lease == NULL) {
        return;
    }
    struct lease_keys found = {
        .lease = id,
        .keys = g_ptr_array_new_with_free_func(g_free),
    };
    g_tree_foreach(kv->rows, collect_key, &found);
    kv_model_next_revision(kv);
    for (guint i = 0; i < found.keys->len; i++) {
        kv_model_delete(kv, g_ptr_array_index(found.keys, i));
    }
    g_ptr_array_unref(found.keys);
    g_ptr_array_remove(kv->leases, lease);
}

bool
kv_model_expire(struct kv_model *kv, int64_t now_ms)
{
    int64_t before = kv->revision;
    for (guint i = kv->leases->len; i > 0; i--) {
        const struct kv_lease *lease = g_ptr_array_index(kv->leases, i - 1);
        if (lease->expires_ms <= now_ms) {
            kv_model_revoke_lease(kv, lease->id);
        }
    }
    return kv->revision != before;
}
