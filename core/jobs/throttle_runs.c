/* Applies the CPU limit to the best-effort tasks that run beside
 * latency-sensitive ones. */
#include "core/jobs/scheduler.h"

#include <stdio.h>

#include "scheduler_state.h"

enum {
    THROTTLE_RETRY_MS = 300,
};

static bool
run_is_latency_sensitive(const struct run *run)
{
    return run_step(run)->tail_latency_target_ms > 0;
}

bool
sched_backend_mixed(const struct backend *backend)
{
    return backend->latency_sensitive_runs > 0 &&
           backend->best_effort_runs > 0;
}

static double
worst_latency_ratio(const struct backend *backend)
{
    double worst_ratio = 0;
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (run_is_latency_sensitive(run) && run->state == RUN_WORKING) {
            double ratio = (double)run->load_metric /
                           (double)run_step(run)->tail_latency_target_ms;
            worst_ratio = MAX(worst_ratio, ratio);
        }
    }
    return worst_ratio;
}

static void
send_throttle(struct scheduler *sched, struct run *run, int32_t percent)
{
    char name[JOB_ID_CHARS + 48];
    snprintf(name, sizeof(name), "%s.%u.%u.%u", run->job->id, run->occurrence,
             run->step, run->index);
    run->throttle_sent_ms = sched_now(sched);
    run->throttle_percent = percent;
    run->throttle_pending = true;
    struct throttle_command command = {
        .backend = run->backend,
        .handle = run->handle,
        .task = name,
        .number = run->number,
        .percent = percent,
    };
    sched_log_event(sched, "task_paced",
                    "\"task\":\"%s\",\"backend\":\"%s\",\"percent\":%d", name,
                    run->backend->entry.id, percent);
    sched->ops.throttle(sched->ops.ctx, &command);
}

/* Under overload a limit is lowered, but not raised again. */
static bool
may_set_limit(const struct scheduler *sched, const struct run *run,
              int32_t limit_percent)
{
    return sched->overload.level < SHED_THROTTLING ||
           run->cpu_limit_percent < 0 ||
           limit_percent < run->cpu_limit_percent;
}

void
sched_throttle_backend(struct scheduler *sched, struct backend *backend)
{
    if (sched->ops.throttle == NULL || backend->best_effort_runs == 0 ||
        backend->unresponsive) {
        return;
    }
    int32_t limit_percent = 100;
    if (sched_backend_mixed(backend)) {
        limit_percent = backend->throttle.cpu_limit_percent;
        /* Each run report is one sample of the tail latencies. */
        if (backend->throttle.changed_ms == 0 ||
            backend->report_read_ms > backend->throttle_sample_ms) {
            limit_percent = throttle_update(&backend->throttle,
                                            worst_latency_ratio(backend),
                                            sched_now(sched));
            backend->throttle_sample_ms = backend->report_read_ms;
        }
    }
    for (guint i = 0; i < backend->runs->len; i++) {
        struct run *run = g_ptr_array_index(backend->runs, i);
        if (run_step(run)->best_effort && run->state == RUN_WORKING &&
            run->cpu_limit_percent != limit_percent &&
            may_set_limit(sched, run, limit_percent) &&
            !run->throttle_pending &&
            sched_now(sched) - run->throttle_sent_ms >= THROTTLE_RETRY_MS) {
            send_throttle(sched, run, limit_percent);
        }
    }
}

void
sched_throttle(struct scheduler *sched)
{
    if (sched->ops.throttle == NULL) {
        return;
    }
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sched_throttle_backend(sched, value);
    }
}

void
scheduler_on_throttle(struct scheduler *sched, uint64_t handle,
                      int32_t percent, bool acked)
{
    struct run *run = g_hash_table_lookup(sched->runs, &handle);
    if (run == NULL) {
        return;
    }
    if (!run->throttle_pending || percent != run->throttle_percent) {
        /* Of two commands, either may have been carried out last. */
        run->cpu_limit_percent = -1;
        return;
    }
    run->throttle_pending = false;
    /* Without an answer it may have been set all the same. */
    run->cpu_limit_percent = acked ? percent : -1;
    /* The limit changes its progress, so a stall is measured from here. */
    run->percent_clock_ms = 0;
    run->unchanged_ms = 0;
}
