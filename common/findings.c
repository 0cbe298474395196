#include "common/findings.h"

#include <glib.h>

struct findings {
    GPtrArray *items;
};

static void
finding_destroy(void *data)
{
    struct finding *finding = data;
    g_free(finding->file);
    g_free(finding->path);
    g_free(finding->reason);
    g_free(finding);
}

struct findings *
findings_create(void)
{
    struct findings *findings = g_new0(struct findings, 1);
    findings->items = g_ptr_array_new_with_free_func(finding_destroy);
    return findings;
}

void
findings_destroy(struct findings *findings)
{
    if (findings == NULL) {
        return;
    }
    g_ptr_array_unref(findings->items);
    g_free(findings);
}

void
findings_add(struct findings *findings, const char *file, const char *path,
             const char *reason, ...)
{
    struct finding *finding = g_new0(struct finding, 1);
    va_list args;
    va_start(args, reason);
    finding->file = g_strdup(file);
    finding->path = g_strdup(path);
    finding->reason = g_strdup_vprintf(reason, args);
    va_end(args);
    g_ptr_array_add(findings->items, finding);
}

size_t
findings_count(const struct findings *findings)
{
    return findings->items->len;
}

const struct finding *
findings_get(const struct findings *findings, size_t i)
{
    return g_ptr_array_index(findings->items, i);
}

void
findings_print(const struct findings *findings, FILE *stream)
{
    for (size_t i = 0; i < findings_count(findings); i++) {
        const struct finding *finding = findings_get(findings, i);
        fprintf(stream, "%s: %s: %s\n", finding->file, finding->path,
                finding->reason);
    }
}
