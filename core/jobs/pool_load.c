/*
 * Demand on pools. Queues peak one after the other, each at several times its
 * average for a few seconds, so demand is computed from recent arrivals and
 * remaining work, never from long averages.
 */
#include "core/jobs/scheduler.h"

#include <math.h>

#include "core/jobs/admission.h"

#include "scheduler_state.h"

enum {
    /* Time constants of the arrival averages; peaks last only some seconds. */
    ARRIVAL_TAU_MS = 2000,
    RECENT_TAU_MS = 600,
    /* Delay until a host that is requested now takes work. */
    LOOK_AHEAD_MS = 1500,
    /* Ready tasks are to be done within this time, or all run at once if they
     * take longer. */
    READY_HORIZON_MS = 500,
    /* With a shorter wait no job is refused. */
    BEHIND_MS = 2000,
};

/* Fraction of a host's capacity that tasks of uneven sizes can use. */
static const double HOST_USABLE_FRACTION = 0.85;
/* Fraction of the random variation of the recent rate that a rise has to
 * exceed. It is below 1 because a host too many costs less than callers that
 * wait. */
static const double RISE_NOISE_FACTOR = 0.65;
/* Lower bound of the allowed fraction: a policy that allows fewer backend
 * servers than this gets no further hosts for it. */
static const double ALLOWED_FRACTION_MIN = 0.2;

static double
decayed(const struct pool_load *load, double value, double tau_ms,
        int64_t now_ms)
{
    return value * exp(-(double)(now_ms - load->arrival_at_ms) / tau_ms);
}

/*
 * Expected arrival rate by the time a host that is requested now takes work:
 * the slow average plus the extrapolated rise of the recent one, as far as it
 * exceeds random variation. Both averages lag behind a steady rise by their
 * time constants.
 */
static double
expected_milli(const struct pool_load *load, int64_t now_ms)
{
    double slow = decayed(load, load->arrival_milli, ARRIVAL_TAU_MS, now_ms);
    double recent = decayed(load, load->recent_milli, RECENT_TAU_MS, now_ms);
    double jobs = decayed(load, load->recent_jobs, RECENT_TAU_MS, now_ms);
    double noise = jobs > 0 ? RISE_NOISE_FACTOR * recent / sqrt(jobs) : recent;
    double rise = recent - slow - noise;
    if (rise <= 0) {
        return slow;
    }
    return slow + rise +
           rise * (RECENT_TAU_MS + LOOK_AHEAD_MS) /
               (ARRIVAL_TAU_MS - RECENT_TAU_MS);
}

void
sched_record_arrival(struct scheduler *sched, struct job *job)
{
    struct pool_load *load = job->refs.pool;
    if (job_is_service(job) || load == NULL) {
        return;
    }
    int64_t now_ms = sched_now(sched);
    double work = (double)job_millicore_ms(job);
    load->arrival_milli =
        decayed(load, load->arrival_milli, ARRIVAL_TAU_MS, now_ms) +
        work / ARRIVAL_TAU_MS;
    load->recent_milli =
        decayed(load, load->recent_milli, RECENT_TAU_MS, now_ms) +
        work / RECENT_TAU_MS;
    load->recent_jobs =
        decayed(load, load->recent_jobs, RECENT_TAU_MS, now_ms) + 1;
    load->arrival_at_ms = now_ms;
    load->backlog_millicore_ms += work;
    sched_share_add_backlog(sched, job, work, true);
}

/* @tasks_left: tasks of the step that may run and are not done.
 * @allowed_fraction: fraction of the backend servers that may run the step. */
static void
measure_step(struct pool_load *load, const struct job_step *step,
             int64_t tasks_left, double allowed_fraction)
{
    if (tasks_left == 0) {
        return;
    }
    struct resources need = job_step_backend_need(step);
    if (step->max_per_backend > 0) {
        int64_t hosts =
            (tasks_left + step->max_per_backend - 1) / step->max_per_backend;
        load->spread_hosts = MAX(load->spread_hosts,
                                 (int64_t)((double)hosts / allowed_fraction));
    }
    tasks_left = (int64_t)((double)tasks_left / allowed_fraction);
    if (step->long_running) {
        resources_add(&load->service_need, &need, tasks_left);
        return;
    }
    resources_add(&load->ready, &need, tasks_left);
    load->ready_milli += need.cpu_milli * tasks_left *
                         MIN(step->estimate_ms, READY_HORIZON_MS) /
                         READY_HORIZON_MS;
}

static void
measure_job(struct scheduler *sched, struct job *job, int64_t unix_ms)
{
    struct pool_load *load = job->refs.pool;
    const struct queue_config *queue = job->refs.queue;
    const struct job_remaining *remaining = job_remaining(job);
    if (!remaining->service && job->first_ms == 0) {
        bool attainable = unix_ms <= remaining->attainable_until_ms;
        double work = (double)remaining->millicore_ms;
        load->backlog_millicore_ms += attainable ? work : 0;
        sched_share_add_backlog(sched, job, work, attainable);
    }
    double allowed_fraction =
        queue != NULL && queue->needs_advice
            ? MAX(sched->advice.allowed_fraction, ALLOWED_FRACTION_MIN)
            : 1;
    uint32_t unopened = job_due_unopened(job, unix_ms);
    for (uint32_t s = 0; s < job->n_steps; s++) {
        const struct job_step *step = &job->steps[s];
        for (guint i = 0; i < job->open->len; i++) {
            const struct job_occurrence *occurrence =
                g_ptr_array_index(job->open, i);
            if (job_due_ms(job, occurrence->number) <= unix_ms &&
                job_step_ready(job, occurrence->number, s)) {
                measure_step(load, step,
                             step->task_count - occurrence->steps[s].done,
                             allowed_fraction);
            }
        }
        if (step->n_after == 0) {
            measure_step(load, step, (int64_t)unopened * step->task_count,
                         allowed_fraction);
        }
    }
}

static void
measure_backend(struct scheduler *sched, const struct backend *backend)
{
    struct pool_load *load = backend->pool;
    const struct resources *capacity = &backend->entry.capacity;
    /* An entry to which nothing has answered may be no backend server at all;
     * too large a host here would leave its pool without hosts for good. */
    if (backend->report_received) {
        load->largest_host.cpu_milli =
            MAX(load->largest_host.cpu_milli, capacity->cpu_milli);
        load->largest_host.mem_mb =
            MAX(load->largest_host.mem_mb, capacity->mem_mb);
        load->largest_host.gpus = MAX(load->largest_host.gpus, capacity->gpus);
    }
    if (backend->listed && !backend->leaving && !backend->entry.draining &&
        !backend->unresponsive &&
        !sched_is_out_of_service(sched, backend->entry.data_centre)) {
        load->hosts++;
        load->used_milli += backend->used.cpu_milli;
        sched_share_add_capacity(sched, backend);
    }
}

void
sched_measure_pools(struct scheduler *sched)
{
    int64_t unix_ms = ms_clock_now(&sched->unix_clock);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pool_load *load = value;
        load->service_need = (struct resources){0};
        load->ready = (struct resources){0};
        load->ready_milli = 0;
        load->spread_hosts = 0;
        load->hosts = 0;
        load->incoming_hosts = 0;
        load->used_milli = 0;
        load->backlog_millicore_ms = 0;
        sched_share_reset(sched, load);
    }
    for (guint i = 0; i < sched->active->len; i++) {
        struct job *job = g_ptr_array_index(sched->active, i);
        if (job->refs.pool != NULL) {
            measure_job(sched, job, unix_ms);
        }
    }
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        measure_backend(sched, value);
    }
}

static double
hosts_for(double need, int64_t per_host)
{
    return per_host == 0 ? 0
                         : need / ((double)per_host * HOST_USABLE_FRACTION);
}

int64_t
pool_load_wanted_hosts(const struct pool_load *load, int64_t now_ms)
{
    double milli =
        MAX(expected_milli(load, now_ms), (double)load->ready_milli);
    double by_cpu = hosts_for((double)load->service_need.cpu_milli + milli,
                              load->largest_host.cpu_milli);
    double by_memory = hosts_for((double)load->service_need.mem_mb,
                                 load->largest_host.mem_mb);
    double by_gpus =
        hosts_for((double)(load->service_need.gpus + load->ready.gpus),
                  load->largest_host.gpus);
    int64_t hosts = (int64_t)ceil(MAX(MAX(by_cpu, by_memory), by_gpus));
    return MAX(hosts, load->spread_hosts);
}

/* While tasks wait for answers to start commands it is this process or its
 * link that limits them, and only what runs counts. */
double
sched_working_milli(const struct scheduler *sched,
                    const struct pool_load *load)
{
    if (sched->start_waits) {
        return (double)load->used_milli;
    }
    int64_t hosts = load->hosts + load->incoming_hosts + sched->spare_hosts;
    return (double)(hosts * load->largest_host.cpu_milli) *
               HOST_USABLE_FRACTION -
           (double)load->service_need.cpu_milli;
}

int64_t
scheduler_refusal_ms(struct scheduler *sched, const char *pool,
                     const struct job *job)
{
    const struct pool_load *load = sched_pool_load(sched, pool);
    const struct queue_config *queue =
        sched->config == NULL ? NULL
                              : fleet_config_queue(sched->config, job->queue);
    if (queue == NULL || load->largest_host.cpu_milli == 0 ||
        job->first_ms > 0 || job_is_service(job)) {
        return 0;
    }
    if (sched->policy.account_shares || sched->policy.queue_priorities) {
        return sched_share_refusal_ms(sched, load, queue, job);
    }
    struct admission_input input = {
        .backlog_millicore_ms = load->backlog_millicore_ms,
        .rate_milli = sched_working_milli(sched, load),
        .critical_path_ms = job_critical_path_ms(job),
    };
    input.objective_ms =
        (int64_t)(queue->deadline_factor * (double)input.critical_path_ms) +
        queue->objective_ms;
    return admission_retry_after_ms(&input);
}

bool
scheduler_pool_behind(struct scheduler *sched, const char *pool)
{
    const struct pool_load *load = sched_pool_load(sched, pool);
    struct admission_input input = {
        .backlog_millicore_ms = load->backlog_millicore_ms +
                                sched_share_late_millicore_ms(sched, load),
        .rate_milli = sched_working_milli(sched, load),
    };
    return admission_wait_ms(&input) > BEHIND_MS;
}
