/*
 * Occurrences of a job. Only open ones take memory: those that may have
 * progress, and the next one to start. Finished ones are kept as ranges.
 */
#include <string.h>

#include "core/jobs/job.h"

/* Position of @occurrence among the open ones, or where it belongs. */
static guint
open_position(const struct job *job, uint32_t occurrence)
{
    guint low = 0;
    guint high = job->open->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        const struct job_occurrence *other =
            g_ptr_array_index(job->open, middle);
        if (other->number < occurrence) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

struct job_occurrence *
job_find_occurrence(const struct job *job, uint32_t occurrence)
{
    guint position = open_position(job, occurrence);
    if (position == job->open->len) {
        return NULL;
    }
    struct job_occurrence *found = g_ptr_array_index(job->open, position);
    return found->number == occurrence ? found : NULL;
}

/* First range that ends at @occurrence or later. */
static guint
range_position(const struct job *job, uint32_t occurrence)
{
    guint low = 0;
    guint high = job->finished->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        if (g_array_index(job->finished, struct occurrence_range, middle)
                .last < occurrence) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

bool
job_occurrence_finished(const struct job *job, uint32_t occurrence)
{
    guint position = range_position(job, occurrence);
    return position < job->finished->len &&
           g_array_index(job->finished, struct occurrence_range, position)
                   .first <= occurrence;
}

void
job_finish_occurrences(struct job *job, uint32_t first, uint32_t last)
{
    struct occurrence_range merged = {first, last};
    /* Ranges that touch or overlap the new one become part of it. */
    guint position = range_position(job, first == 0 ? 0 : first - 1);
    while (position < job->finished->len) {
        const struct occurrence_range *range =
            &g_array_index(job->finished, struct occurrence_range, position);
        if (range->first > last && range->first - last > 1) {
            break;
        }
        merged.first = MIN(merged.first, range->first);
        merged.last = MAX(merged.last, range->last);
        job->n_finished -= range->last - range->first + 1;
        g_array_remove_index(job->finished, position);
    }
    g_array_insert_val(job->finished, position, merged);
    job->n_finished += merged.last - merged.first + 1;
}

/* One that is finished may be opened again for a run that is still there. */
static void
mark_done(const struct job *job, struct job_occurrence *occurrence)
{
    for (uint32_t s = 0; s < job->n_steps; s++) {
        struct step_progress *progress = &occurrence->steps[s];
        progress->done = job->steps[s].task_count;
        for (uint32_t t = 0; t < progress->done; t++) {
            progress->tasks[t].done = true;
        }
    }
    occurrence->started = true;
}

struct job_occurrence *
job_open_occurrence(struct job *job, uint32_t number)
{
    guint position = open_position(job, number);
    if (position < job->open->len) {
        struct job_occurrence *found = g_ptr_array_index(job->open, position);
        if (found->number == number) {
            return found;
        }
    }
    struct job_occurrence *occurrence = g_new0(struct job_occurrence, 1);
    occurrence->number = number;
    occurrence->steps = g_new0(struct step_progress, job->n_steps);
    for (uint32_t s = 0; s < job->n_steps; s++) {
        occurrence->steps[s].tasks =
            g_new0(struct job_task, job->steps[s].task_count);
    }
    if (job_occurrence_finished(job, number)) {
        mark_done(job, occurrence);
    }
    g_ptr_array_insert(job->open, (gint)position, occurrence);
    return occurrence;
}

struct step_progress *
job_step_progress(struct job *job, uint32_t occurrence, uint32_t step)
{
    return &job_open_occurrence(job, occurrence)->steps[step];
}

uint32_t
job_step_done(const struct job *job, uint32_t occurrence, uint32_t step)
{
    const struct job_occurrence *open = job_find_occurrence(job, occurrence);
    if (open != NULL) {
        return open->steps[step].done;
    }
    return job_occurrence_finished(job, occurrence)
               ? job->steps[step].task_count
               : 0;
}

bool
job_task_finish(struct job *job, uint32_t occurrence, uint32_t step,
                uint32_t index)
{
    struct step_progress *progress = job_step_progress(job, occurrence, step);
    struct job_task *task = &progress->tasks[index];
    if (job->steps[step].long_running || task->done) {
        return false;
    }
    task->done = true;
    progress->done++;
    return true;
}

uint32_t
job_next_occurrence(const struct job *job, uint32_t from)
{
    uint32_t number = from;
    while (number < job->n_occurrences) {
        guint position = range_position(job, number);
        const struct occurrence_range *range =
            position < job->finished->len
                ? &g_array_index(job->finished, struct occurrence_range,
                                 position)
                : NULL;
        if (range != NULL && range->first <= number) {
            number = range->last + 1;
        }
        else if (job_find_occurrence(job, number) != NULL) {
            number++;
        }
        else {
            return number;
        }
    }
    return job->n_occurrences;
}

static void
occurrence_free(const struct job *job, struct job_occurrence *occurrence)
{
    for (uint32_t s = 0; s < job->n_steps; s++) {
        struct step_progress *progress = &occurrence->steps[s];
        for (uint32_t t = 0; t < job->steps[s].task_count; t++) {
            g_free(progress->tasks[t].saved);
            g_free(progress->tasks[t].avoid);
            g_free(progress->tasks[t].failed_runs);
            g_free(progress->tasks[t].crash_backend);
        }
        g_free(progress->tasks);
        step_advice_destroy(progress->advice);
    }
    g_free(occurrence->steps);
    g_free(occurrence);
}

void
job_free_occurrences(struct job *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        occurrence_free(job, g_ptr_array_index(job->open, i));
    }
    g_ptr_array_set_size(job->open, 0);
}

static bool
occurrence_done(const struct job *job, const struct job_occurrence *occurrence)
{
    for (uint32_t s = 0; s < job->n_steps; s++) {
        if (occurrence->steps[s].done < job->steps[s].task_count) {
            return false;
        }
    }
    return true;
}

static bool
occurrence_in_use(const struct job *job,
                  const struct job_occurrence *occurrence)
{
    for (uint32_t s = 0; s < job->n_steps; s++) {
        const struct job_task *tasks = occurrence->steps[s].tasks;
        for (uint32_t t = 0; t < job->steps[s].task_count; t++) {
            if (tasks[t].run != NULL || tasks[t].strays > 0) {
                return true;
            }
        }
    }
    return false;
}

void
job_close_occurrences(struct job *job)
{
    guint kept = 0;
    for (guint i = 0; i < job->open->len; i++) {
        struct job_occurrence *occurrence = g_ptr_array_index(job->open, i);
        bool done = occurrence_done(job, occurrence);
        if ((!done && job->state == JOB_ACTIVE) ||
            occurrence_in_use(job, occurrence)) {
            g_ptr_array_index(job->open, kept++) = occurrence;
            continue;
        }
        if (done) {
            job_finish_occurrences(job, occurrence->number,
                                   occurrence->number);
        }
        occurrence_free(job, occurrence);
    }
    g_ptr_array_set_size(job->open, (int)kept);
}

bool
job_all_done(const struct job *job)
{
    uint32_t done = job->n_finished;
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        done += !job_occurrence_finished(job, occurrence->number) &&
                occurrence_done(job, occurrence);
    }
    return done >= job->n_occurrences;
}

/* Number of occurrences that are due, from the first on. */
static uint32_t
due_count(const struct job *job, int64_t unix_ms)
{
    if (job->first_ms == 0 || job->interval_ms <= 0) {
        return job->first_ms <= unix_ms ? job->n_occurrences : 0;
    }
    if (unix_ms < job->first_ms) {
        return 0;
    }
    int64_t count = (unix_ms - job->first_ms) / job->interval_ms + 1;
    return (uint32_t)MIN(count, (int64_t)job->n_occurrences);
}

uint32_t
job_due_unopened(const struct job *job, int64_t unix_ms)
{
    uint32_t due = due_count(job, unix_ms);
    uint32_t taken = 0;
    for (guint i = 0; i < job->finished->len; i++) {
        const struct occurrence_range *range =
            &g_array_index(job->finished, struct occurrence_range, i);
        if (range->first < due) {
            taken += MIN(range->last, due - 1) - range->first + 1;
        }
    }
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        taken += occurrence->number < due &&
                 !job_occurrence_finished(job, occurrence->number);
    }
    return due - taken;
}

uint32_t
job_task_count(const struct job *job)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < job->n_steps; i++) {
        count += job->steps[i].task_count;
    }
    return count;
}

uint32_t
job_open_max(const struct job *job)
{
    uint32_t most = JOB_OPEN_TASKS_MAX / MAX(job_task_count(job), 1);
    if (job->open_max != 0) {
        most = MIN(most, job->open_max);
    }
    return CLAMP(most, 1, (uint32_t)JOB_OPEN_OCCURRENCES_MAX);
}
