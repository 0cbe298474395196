#include "common/counters.h"

#include <inttypes.h>
#include <string.h>

struct counters {
    GTree *values;
};

static int
compare_names(const void *a, const void *b, void *ctx)
{
    (void)ctx;
    return strcmp(a, b);
}

struct counters *
counters_create(void)
{
    struct counters *counters = g_new0(struct counters, 1);
    counters->values = g_tree_new_full(compare_names, NULL, g_free, g_free);
    return counters;
}

void
counters_destroy(struct counters *counters)
{
    if (counters == NULL) {
        return;
    }
    g_tree_unref(counters->values);
    g_free(counters);
}

int64_t *
counters_slot(struct counters *counters, const char *name, const char *labels)
{
    char *key = labels == NULL ? g_strdup(name)
                               : g_strdup_printf("%s{%s}", name, labels);
    int64_t *slot = g_tree_lookup(counters->values, key);
    if (slot != NULL) {
        g_free(key);
        return slot;
    }
    slot = g_new0(int64_t, 1);
    g_tree_insert(counters->values, key, slot);
    return slot;
}

void
counters_add(struct counters *counters, const char *name, const char *labels,
             int64_t amount)
{
    *counters_slot(counters, name, labels) += amount;
}

void
counters_set(struct counters *counters, const char *name, const char *labels,
             int64_t value)
{
    *counters_slot(counters, name, labels) = value;
}

static gboolean
render_value(void *key, void *value, void *ctx)
{
    g_string_append_printf(ctx, "%s %" PRId64 "\n", (const char *)key,
                           *(int64_t *)value);
    return FALSE;
}

void
counters_render(const struct counters *counters, GString *out)
{
    g_tree_foreach(counters->values, render_value, out);
}
