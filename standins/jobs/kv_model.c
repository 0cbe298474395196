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
    kv->grants = g_ptr_array_new_with_free_func(g_free);
}

void
kv_model_clear(struct kv_model *kv)
{
    g_tree_unref(kv->rows);
    g_ptr_array_unref(kv->history);
    g_ptr_array_unref(kv->grants);
}

const struct kv_row *
kv_model_get(const struct kv_model *kv, const char *key)
{
    return g_tree_lookup(kv->rows, key);
}

static void
note_change(struct kv_model *kv, const struct kv_row *row, bool deleted)
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
    note_change(kv, row, false);
}

void
kv_model_delete(struct kv_model *kv, const char *key)
{
    const struct kv_row *row = kv_model_get(kv, key);
    if (row != NULL) {
        note_change(kv, row, true);
        g_tree_remove(kv->rows, key);
    }
}

struct kv_grant *
kv_model_grant(struct kv_model *kv, int64_t ttl_ms, int64_t now_ms)
{
    struct kv_grant *grant = g_new0(struct kv_grant, 1);
    grant->id = kv->next_lease++;
    grant->ttl_ms = ttl_ms;
    grant->ends_ms = now_ms + ttl_ms;
    g_ptr_array_add(kv->grants, grant);
    return grant;
}

struct kv_grant *
kv_model_find_grant(const struct kv_model *kv, int64_t id)
{
    for (guint i = 0; i < kv->grants->len; i++) {
        struct kv_grant *grant = g_ptr_array_index(kv->grants, i);
        if (grant->id == id) {
            return grant;
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
kv_model_end_grant(struct kv_model *kv, int64_t id)
{
    struct kv_grant *grant = kv_model_find_grant(kv, id);
    if (grant == NULL) {
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
    g_ptr_array_remove(kv->grants, grant);
}

bool
kv_model_expire(struct kv_model *kv, int64_t now_ms)
{
    int64_t before = kv->revision;
    for (guint i = kv->grants->len; i > 0; i--) {
        const struct kv_grant *grant = g_ptr_array_index(kv->grants, i - 1);
        if (grant->ends_ms <= now_ms) {
            kv_model_end_grant(kv, grant->id);
        }
    }
    return kv->revision != before;
}
