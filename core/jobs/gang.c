#include "core/jobs/gang.h"

#include <stdbool.h>

static bool
contains(const GArray *numbers, uint32_t number)
{
    for (guint i = 0; i < numbers->len; i++) {
        if (g_array_index(numbers, uint32_t, i) == number) {
            return true;
        }
    }
    return false;
}

uint32_t
gang_failures(const struct step_progress *progress, uint32_t task_count)
{
    GArray *failed_runs = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (uint32_t t = 0; t < task_count; t++) {
        const struct job_task *task = &progress->tasks[t];
        for (uint32_t i = 0; i < task->failures; i++) {
            if (!contains(failed_runs, task->failed_runs[i])) {
                g_array_append_val(failed_runs, task->failed_runs[i]);
            }
        }
    }
    uint32_t failures = failed_runs->len;
    g_array_unref(failed_runs);
    return failures;
}

void
gang_share_checkpoint(struct step_progress *progress, uint32_t task_count)
{
    const struct job_task *newest = &progress->tasks[progress->newest_saved];
    for (uint32_t t = 0; t < task_count && newest->saved == NULL; t++) {
        newest = &progress->tasks[t];
    }
    char *saved = g_strdup(newest->saved);
    for (uint32_t t = 0; t < task_count; t++) {
        struct job_task *task = &progress->tasks[t];
        g_free(task->saved);
        task->saved = g_strdup(saved);
    }
    g_free(saved);
}
