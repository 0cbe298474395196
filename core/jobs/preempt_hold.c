/*
 * Capacity of backend servers that is kept for the steps whose tasks have
 * preempted runs there, see preempt_runs.c. Nothing else takes it until a task
 * of the step has started or the time is over. It is kept as free capacity is
 * counted: what was taken when the runs were stopped, and becomes free later,
 * is neither promised twice nor taken by others.
 */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

static bool
hold_is_for(const struct hold *hold, const struct job *job,
            uint32_t occurrence, uint32_t step)
{
    return hold->job == job && hold->occurrence == occurrence &&
           hold->step == step;
}

static void
hold_count(struct hold *hold, int64_t factor)
{
    resources_add(&hold->backend->held, &hold->need, factor);
}

void
sched_hold_add(struct scheduler *sched, const struct hold *wanted)
{
    struct hold *hold = g_new0(struct hold, 1);
    *hold = *wanted;
    job_ref(hold->job);
    g_ptr_array_add(sched->holds, hold);
    hold_count(hold, 1);
}

static void
hold_remove(struct scheduler *sched, guint index)
{
    struct hold *hold = g_ptr_array_index(sched->holds, index);
    if (hold->run == 0) {
        hold_count(hold, -1);
    }
    job_unref(hold->job);
    g_free(hold);
    g_ptr_array_remove_index(sched->holds, index);
}

void
sched_holds_drop(struct scheduler *sched, const struct backend *backend)
{
    for (guint i = sched->holds->len; i > 0; i--) {
        const struct hold *hold = g_ptr_array_index(sched->holds, i - 1);
        if (hold->backend == backend) {
            hold_remove(sched, i - 1);
        }
    }
}

void
sched_holds_clear(struct scheduler *sched)
{
    while (sched->holds->len > 0) {
        hold_remove(sched, sched->holds->len - 1);
    }
    g_ptr_array_unref(sched->holds);
}

bool
sched_backend_held(const struct backend *backend)
{
    const struct resources *held = &backend->held;
    return held->cpu_milli != 0 || held->mem_mb != 0 || held->gpus != 0;
}

struct resources
sched_room_for(const struct scheduler *sched, const struct backend *backend,
               const struct job *job, uint32_t occurrence, uint32_t step)
{
    struct resources room = backend->entry.capacity;
    resources_add(&room, &backend->used, -1);
    resources_add(&room, &backend->held, -1);
    for (guint i = 0; sched_backend_held(backend) && i < sched->holds->len;
         i++) {
        const struct hold *hold = g_ptr_array_index(sched->holds, i);
        if (hold->backend == backend && hold->run == 0 &&
            hold_is_for(hold, job, occurrence, step)) {
            resources_add(&room, &hold->need, 1);
        }
    }
    return room;
}

void
sched_hold_take(struct scheduler *sched, const struct run *run)
{
    for (guint i = 0; i < sched->holds->len; i++) {
        struct hold *hold = g_ptr_array_index(sched->holds, i);
        if (hold->backend == run->backend && hold->run == 0 &&
            hold_is_for(hold, run->job, run->occurrence, run->step)) {
            hold_count(hold, -1);
            hold->run = run->handle;
            return;
        }
    }
}

uint32_t
sched_tasks_without_hold(const struct scheduler *sched, const struct job *job,
                         uint32_t occurrence_number, uint32_t step,
                         guint n_holds)
{
    const struct job_occurrence *occurrence =
        job_find_occurrence(job, occurrence_number);
    uint32_t waiting = 0;
    for (uint32_t t = 0; occurrence != NULL && t < job->steps[step].task_count;
         t++) {
        const struct job_task *task = &occurrence->steps[step].tasks[t];
        waiting +=
            task->run == NULL && !task->done && !crash_isolated(&task->crash);
    }
    for (guint i = 0; i < n_holds && waiting > 0; i++) {
        const struct hold *hold = g_ptr_array_index(sched->holds, i);
        waiting -=
            hold->run == 0 && hold_is_for(hold, job, occurrence_number, step);
    }
    return waiting;
}

static bool
hold_wanted(const struct scheduler *sched, const struct hold *hold,
            guint index)
{
    return sched_now(sched) < hold->until_ms &&
           hold->job->state == JOB_ACTIVE &&
           sched_backend_usable(sched, hold->backend) &&
           sched_tasks_without_hold(sched, hold->job, hold->occurrence,
                                    hold->step, index) > 0;
}

void
sched_holds_update(struct scheduler *sched)
{
    for (guint i = sched->holds->len; i > 0; i--) {
        struct hold *hold = g_ptr_array_index(sched->holds, i - 1);
        const struct run *run =
            hold->run == 0 ? NULL
                           : g_hash_table_lookup(sched->runs, &hold->run);
        if (run != NULL &&
            (run->state == RUN_STARTING || run->state == RUN_UNCERTAIN)) {
            continue;
        }
        if (run != NULL) {
            hold_remove(sched, i - 1);
            continue;
        }
        if (hold->run != 0) {
            /* Its start was refused. */
            hold->run = 0;
            hold_count(hold, 1);
        }
        if (!hold_wanted(sched, hold, i - 1)) {
            hold_remove(sched, i - 1);
        }
    }
}

int64_t
sched_held_milli(const struct scheduler *sched, const struct pool_load *pool)
{
    int64_t sum_milli = 0;
    for (guint i = 0; i < sched->holds->len; i++) {
        const struct hold *hold = g_ptr_array_index(sched->holds, i);
        if (hold->backend->pool == pool) {
            sum_milli += hold->need.cpu_milli;
        }
    }
    return sum_milli;
}

bool
sched_job_held_for(const struct scheduler *sched, const struct job *job)
{
    for (guint i = 0; i < sched->holds->len; i++) {
        const struct hold *hold = g_ptr_array_index(sched->holds, i);
        if (hold->job == job) {
            return true;
        }
    }
    return false;
}
