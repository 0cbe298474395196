#include "core/jobs/job.h"

#include <string.h>

bool
resources_fit(const struct resources *available, const struct resources *need)
{
    return need->cpu_milli <= available->cpu_milli &&
           need->mem_mb <= available->mem_mb && need->gpus <= available->gpus;
}

void
resources_add(struct resources *total, const struct resources *by,
              int64_t factor)
{
    total->cpu_milli += by->cpu_milli * factor;
    total->mem_mb += by->mem_mb * factor;
    total->gpus += by->gpus * factor;
}

struct job *
job_create(uint32_t n_steps)
{
    struct job *job = g_new0(struct job, 1);
    job->n_steps = n_steps;
    job->steps = g_new0(struct job_step, n_steps);
    job->n_occurrences = 1;
    job->finished = g_array_new(FALSE, FALSE, sizeof(struct occurrence_range));
    job->open = g_ptr_array_new();
    job->ref_count = 1;
    return job;
}

struct job *
job_ref(struct job *job)
{
    job->ref_count++;
    return job;
}

void
job_unref(struct job *job)
{
    if (job == NULL || --job->ref_count > 0) {
        return;
    }
    job_free_occurrences(job);
    g_ptr_array_unref(job->open);
    g_array_unref(job->finished);
    for (uint32_t i = 0; i < job->n_steps; i++) {
        g_free(job->steps[i].after);
        g_free(job->steps[i].required_label);
        g_free(job->steps[i].data_rack);
        g_free(job->steps[i].image);
    }
    g_free(job->steps);
    g_free(job->queue);
    g_free(job->pool);
    g_free(job->team);
    g_free(job->text);
    g_free(job);
}

struct resources
job_step_backend_need(const struct job_step *step)
{
    struct resources need = step->need;
    if (step->best_effort) {
        need.cpu_milli = 0;
    }
    return need;
}

bool
job_step_ready(const struct job *job, uint32_t occurrence, uint32_t step)
{
    const struct job_step *this_step = &job->steps[step];
    for (uint32_t i = 0; i < this_step->n_after; i++) {
        uint32_t before = this_step->after[i];
        if (job_step_done(job, occurrence, before) <
            job->steps[before].task_count) {
            return false;
        }
    }
    return true;
}

int64_t
job_due_ms(const struct job *job, uint32_t occurrence)
{
    if (job->first_ms == 0) {
        return 0;
    }
    return job->first_ms + (int64_t)occurrence * job->interval_ms;
}

bool
job_is_service(const struct job *job)
{
    for (uint32_t i = 0; i < job->n_steps; i++) {
        if (job->steps[i].long_running) {
            return true;
        }
    }
    return false;
}

int64_t
job_critical_path_ms(const struct job *job)
{
    int64_t end_ms[JOB_STEPS_MAX] = {0};
    int64_t longest_ms = 0;
    for (uint32_t i = 0; i < job->n_steps; i++) {
        int64_t start_ms = 0;
        for (uint32_t a = 0; a < job->steps[i].n_after; a++) {
            start_ms = MAX(start_ms, end_ms[job->steps[i].after[a]]);
        }
        end_ms[i] = start_ms + job->steps[i].estimate_ms;
        longest_ms = MAX(longest_ms, end_ms[i]);
    }
    return longest_ms;
}

int64_t
job_millicore_ms(const struct job *job)
{
    int64_t sum = 0;
    for (uint32_t i = 0; i < job->n_steps; i++) {
        const struct job_step *step = &job->steps[i];
        sum += step->task_count * step->need.cpu_milli * step->estimate_ms;
    }
    return sum;
}

static void
describe_step(const struct job_step *step, GString *out)
{
    g_string_append_printf(out,
                           "%s%ux%" G_GINT64_FORMAT "c%" G_GINT64_FORMAT
                           "m%" G_GINT64_FORMAT "ms",
                           out->len > 0 ? " " : "", step->task_count,
                           step->need.cpu_milli, step->need.mem_mb,
                           step->estimate_ms);
    if (step->max_per_backend > 0) {
        g_string_append_printf(out, "/apart%u", step->max_per_backend);
    }
    if (step->tail_latency_target_ms > 0) {
        g_string_append_printf(out, "/tail%" G_GINT64_FORMAT,
                               step->tail_latency_target_ms);
    }
    if (step->max_unavailable > 0) {
        g_string_append_printf(out, "/miss%u", step->max_unavailable);
    }
    const struct {
        bool set;
        const char *name;
    } flags[] = {
        {step->long_running, "/lasts"},
        {step->best_effort, "/fills"},
        {step->checkpointing, "/saves"},
        {step->gang, "/gang"},
        {step->same_rack, "/rack"},
        {step->speculative, "/copies"},
        {step->required_label != NULL, "/label"},
        {step->data_rack != NULL, "/near"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
        if (flags[i].set) {
            g_string_append(out, flags[i].name);
        }
    }
}

char *
job_describe(const struct job *job)
{
    GString *out = g_string_new(NULL);
    for (uint32_t i = 0; i < job->n_steps; i++) {
        describe_step(&job->steps[i], out);
    }
    return g_string_free(out, FALSE);
}

bool
job_save_checkpoint(struct step_progress *progress, uint32_t index,
                    const char *saved)
{
    struct job_task *task = &progress->tasks[index];
    if (saved == NULL || saved[0] == '\0' ||
        g_strcmp0(task->saved, saved) == 0) {
        return false;
    }
    g_free(task->saved);
    task->saved = g_strdup(saved);
    progress->newest_saved = index;
    return true;
}

bool
job_task_record_failure(struct job_task *task, uint32_t run_number)
{
    for (uint32_t i = 0; i < task->failures; i++) {
        if (task->failed_runs[i] == run_number) {
            return false;
        }
    }
    task->failed_runs =
        g_renew(uint32_t, task->failed_runs, task->failures + 1);
    task->failed_runs[task->failures++] = run_number;
    return true;
}

void
job_mark_changed(struct job *job)
{
    job->version++;
}

const char *
job_state_name(enum job_state state)
{
    static const char *const names[] = {
        [JOB_ACTIVE] = "active",
        [JOB_COMPLETED] = "completed",
        [JOB_FAILED] = "failed",
        [JOB_CANCELLED] = "cancelled",
    };
    return names[state];
}
