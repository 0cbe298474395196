#include "core/jobs/gang.h"

#include <glib.h>

void
gang_share_checkpoint(struct step_progress *progress, uint32_t task_count)
{
    const struct job_task *newest = &progress->tasks[progress->newest_saved];
    for (uint32_t t = 0; t < task_count && newest->saved == NULL; t++) {
        newest = &progress->tasks[t];
    }
    for (uint32_t t = 0; t < task_count; t++) {
        struct job_task *task = &progress->tasks[t];
        if (g_strcmp0(task->saved, newest->saved) != 0) {
            g_free(task->saved);
            task->saved = g_strdup(newest->saved);
        }
    }
}
