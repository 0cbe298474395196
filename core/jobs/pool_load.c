/*
 * Demand on pools. Answers queues that ask several times their mean for some
 * seconds, by turns: demand is taken from work that arrives now and from work
 * that is left, never from long averages.
 */
#include "core/jobs/scheduler.h"

#include <math.h>

#include "scheduler_state.h"

enum {
    /* Arrivals of the last second count: a turn lasts some seconds. */
    ARRIVAL_TAU_MS = 1000,
    /* Work that is left is to be done in this time. */
    BACKLOG_HORIZON_MS = 1200,
};

/* Headroom over arrivals: declared run times are often too low. */
static const double ARRIVAL_HEADROOM = 1.25;

static double
decayed(const struct pool_load *load, int64_t now_ms)
{
    double passed_ms = (double)(now_ms - load->arrival_at_ms);
    return load->arrival_milli * exp(-passed_ms / ARRIVAL_TAU_MS);
}

void
sched_note_arrival(struct scheduler *sched, const struct job *job)
{
    if (job_lasts(job) || job->pool == NULL) {
        return;
    }
    struct pool_load *load = sched_pool_load(sched, job->pool);
    int64_t now_ms = sched_now(sched);
    load->arrival_milli =
        decayed(load, now_ms) + (double)job_core_ms(job) / ARRIVAL_TAU_MS;
    load->arrival_at_ms = now_ms;
}

static void
measure_job(struct scheduler *sched, const struct job *job)
{
    struct pool_load *load = sched_pool_load(sched, job->pool);
    uint32_t n_parts = job->n_occurrences * job->n_steps;
    for (uint32_t p = 0; p < n_parts; p++) {
        const struct job_step *step = &job->steps[p % job->n_steps];
        int64_t left = step->task_count - job->parts[p].done;
        int64_t milli = step->fills ? 0 : step->need.cpu_milli * left;
        if (step->long_running) {
            load->lasting_milli += milli;
        }
        else if (job->first_ms == 0) {
            load->backlog_core_ms += milli * step->estimate_ms;
        }
    }
}

static void
measure_backend(struct scheduler *sched, const struct backend *backend)
{
    struct pool_load *load = sched_pool_load(sched, backend->entry.pool);
    load->host_milli =
        MAX(load->host_milli, backend->entry.room.cpu_milli);
    if (backend->listed && !backend->leaving && !backend->entry.draining &&
        !backend->silent &&
        !sched_is_out(sched, backend->entry.data_centre)) {
        load->room_milli += backend->entry.room.cpu_milli;
        load->used_milli += backend->used.cpu_milli;
    }
}

void
sched_measure_pools(struct scheduler *sched)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pool_load *load = value;
        load->lasting_milli = 0;
        load->backlog_core_ms = 0;
        load->used_milli = 0;
        load->room_milli = 0;
        load->coming_milli = 0;
        load->host_milli = 0;
    }
    for (guint i = 0; i < sched->active->len; i++) {
        const struct job *job = g_ptr_array_index(sched->active, i);
        if (job->pool != NULL) {
            measure_job(sched, job);
        }
    }
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        measure_backend(sched, value);
    }
}

int64_t
pool_load_wanted_milli(const struct pool_load *load, int64_t now_ms)
{
    double arrivals = decayed(load, now_ms) * ARRIVAL_HEADROOM;
    double backlog = (double)load->backlog_core_ms / BACKLOG_HORIZON_MS;
    return load->lasting_milli + (int64_t)MAX(arrivals, backlog);
}
