#include "core/jobs/scheduler.h"

#include <stdarg.h>
#include <string.h>

#include "common/text.h"
#include "scheduler_state.h"

enum {
    /* What no event triggers is found by a pass over everything. */
    FULL_PASS_MS = 100,
};

static void
run_destroy(void *data)
{
    struct run *run = data;
    job_unref(run->job);
    g_free(run);
}

static void
backend_value_destroy(void *data)
{
    backend_destroy(data);
}

static void
job_value_destroy(void *data)
{
    job_unref(data);
}

static void
team_usage_destroy(void *data)
{
    struct team_usage *usage = data;
    if (usage->unseen_by_pool != NULL) {
        g_hash_table_unref(usage->unseen_by_pool);
    }
    g_free(usage->team);
    g_free(usage);
}

static void
host_destroy(void *data)
{
    struct host *host = data;
    g_free(host->name);
    g_free(host->pool);
    g_free(host->data_centre);
    g_free(host->backend_id);
    g_free(host->target_pool);
    g_free(host->commanded_incarnation);
    g_free(host);
}

static void
pool_load_destroy(void *data)
{
    struct pool_load *load = data;
    for (guint i = 0; i < load->unplaced->len; i++) {
        job_unref(g_ptr_array_index(load->unplaced, i));
    }
    g_ptr_array_unref(load->unplaced);
    sched_reservations_destroy(load);
    sched_share_clear(load);
    pool_index_clear(&load->index);
    g_free(load->pool);
    g_free(load);
}

static void
wave_destroy(void *data)
{
    struct wave *wave = data;
    g_ptr_array_unref(wave->hosts);
    g_hash_table_unref(wave->started);
    g_free(wave);
}

struct scheduler *
scheduler_create(const struct sched_timings *timings,
                 const struct sched_ops *ops, uint32_t term,
                 struct ms_clock clock, struct ms_clock unix_clock)
{
    struct scheduler *sched = g_new0(struct scheduler, 1);
    sched->timings = *timings;
    sched->lease_accepted_max_ms = timings->lease_max_ms;
    sched->timings.lease_max_ms = sched_timings_lease_ms(timings);
    sched->ops = *ops;
    sched->term = term;
    sched->reserved_term = term;
    sched->clock = clock;
    sched->unix_clock = unix_clock;
    sched->takeover_ms = ms_clock_now(&clock);
    sched->leases_written_ms = sched->takeover_ms;
    sched->list_sent =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sched->list_stored =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sched->next_handle = 1;
    overload_init(&sched->overload);
    sched->backends = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                            backend_value_destroy);
    sched->former_backends =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    sched->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                        job_value_destroy);
    sched->active = g_ptr_array_new();
    sched->runs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, run_destroy);
    sched->strays = g_hash_table_new(g_int64_hash, g_int64_equal);
    sched->team_usage = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                              team_usage_destroy);
    sched->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_destroy);
    sched->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         pool_load_destroy);
    sched->closing = g_ptr_array_new();
    sched->draining = g_ptr_array_new();
    sched->contenders = g_ptr_array_new();
    sched_crash_init(sched);
    sched->crashed_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sched->waves = g_ptr_array_new_with_free_func(wave_destroy);
    sched->holds = g_ptr_array_new();
    sched->report_deadlines = deadline_heap_create();
    g_queue_init(&sched->dirty);
    sched->to_register = g_ptr_array_new_with_free_func(g_free);
    sched->to_release = g_ptr_array_new_with_free_func(g_free);
    sched->backend_records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&sched->finished);
    sched_advice_init(sched);
    return sched;
}

void
sched_job_closing(struct scheduler *sched, struct job *job)
{
    if (!job->closing) {
        job->closing = true;
        g_ptr_array_add(sched->closing, job_ref(job));
    }
}

/* Not at once: those that handle an event still use the progress. */
static void
close_occurrences(struct scheduler *sched)
{
    for (guint i = 0; i < sched->closing->len; i++) {
        struct job *job = g_ptr_array_index(sched->closing, i);
        job->closing = false;
        job_close_occurrences(job);
        job_unref(job);
    }
    g_ptr_array_set_size(sched->closing, 0);
}

void
scheduler_destroy(struct scheduler *sched)
{
    if (sched == NULL) {
        return;
    }
    sched_advice_clear(sched);
    sched_crash_clear(sched);
    sched_holds_clear(sched);
    close_occurrences(sched);
    g_ptr_array_unref(sched->closing);
    g_hash_table_unref(sched->crashed_ids);
    sched_strays_clear(sched);
    g_hash_table_unref(sched->runs);
    g_hash_table_unref(sched->backends);
    g_hash_table_unref(sched->former_backends);
    g_hash_table_unref(sched->list_sent);
    g_hash_table_unref(sched->list_stored);
    g_ptr_array_unref(sched->active);
    g_hash_table_unref(sched->jobs);
    g_hash_table_unref(sched->team_usage);
    g_hash_table_unref(sched->hosts);
    g_hash_table_unref(sched->pools);
    g_ptr_array_unref(sched->draining);
    g_ptr_array_unref(sched->contenders);
    g_ptr_array_unref(sched->waves);
    while (!g_queue_is_empty(&sched->dirty)) {
        job_unref(g_queue_pop_head(&sched->dirty));
    }
    deadline_heap_destroy(sched->report_deadlines);
    if (sched->racks != NULL) {
        g_hash_table_unref(sched->racks);
    }
    share_order_clear(&sched->share_order);
    g_ptr_array_unref(sched->to_register);
    g_ptr_array_unref(sched->to_release);
    g_hash_table_unref(sched->backend_records);
    g_queue_clear(&sched->finished);
    g_strfreev(sched->out_of_service);
    g_free(sched);
}

void
sched_log_event(struct scheduler *sched, const char *event, const char *format,
                ...)
{
    if (sched->ops.log_event == NULL) {
        return;
    }
    va_list args;
    va_start(args, format);
    char *fields = g_strdup_vprintf(format, args);
    va_end(args);
    sched->ops.log_event(sched->ops.ctx, event, fields);
    g_free(fields);
}

void
scheduler_set_policy(struct scheduler *sched,
                     const struct sched_policy *policy)
{
    sched->policy = *policy;
    if (sched->policy.share_window_ms == 0) {
        sched->policy.share_window_ms = SHARE_WINDOW_DEFAULT_MS;
    }
}

void
scheduler_configure(struct scheduler *sched, const struct fleet_config *config)
{
    sched->config = config;
    sched->generation++;
    /* Queues may have other pools now. */
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GPtrArray *jobs = ((struct pool_load *)value)->unplaced;
        for (guint i = 0; i < jobs->len; i++) {
            struct job *job = g_ptr_array_index(jobs, i);
            job->unplaced = false;
            job_unref(job);
        }
        g_ptr_array_set_size(jobs, 0);
    }
    g_hash_table_iter_init(&iter, sched->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sched_job_refs(sched, value);
        sched_job_unplaced(sched, value);
    }
    sched->full_pass_ms = 0;
}

void
scheduler_set_out_of_service(struct scheduler *sched, char **data_centres)
{
    g_strfreev(sched->out_of_service);
    sched->out_of_service = g_strdupv(data_centres);
    sched->full_pass_ms = 0;
}

bool
sched_is_out_of_service(const struct scheduler *sched, const char *data_centre)
{
    return sched->out_of_service != NULL &&
           g_strv_contains((const char *const *)sched->out_of_service,
                           data_centre);
}

void
scheduler_set_leadership_valid(struct scheduler *sched, bool valid)
{
    if (sched->leadership_valid != valid) {
        sched_log_event(sched, valid ? "orders_allowed" : "orders_suspended",
                        "\"term\":%u", sched->term);
    }
    sched->leadership_valid = valid;
}

void
scheduler_set_outage(struct scheduler *sched, bool outage)
{
    if (sched->outage == outage) {
        return;
    }
    sched->outage = outage;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct backend *backend = value;
        sched_report_at_once(sched, backend);
    }
}

void
scheduler_on_fenced(struct scheduler *sched)
{
    sched->fenced = true;
}

void
scheduler_loop_lag(struct scheduler *sched, int64_t lag_ms)
{
    overload_loop_lag(&sched->overload, lag_ms);
    sched->stats.loop_lag_ms = lag_ms;
}

void
scheduler_renewal_delay(struct scheduler *sched, int64_t delay_ms)
{
    overload_renewal_delay(&sched->overload, delay_ms);
}

bool
scheduler_exhausted(const struct scheduler *sched)
{
    return overload_exhausted(&sched->overload);
}

int64_t
scheduler_patience_ms(const struct scheduler *sched)
{
    return overload_patience_ms(&sched->overload);
}

bool
scheduler_refuses_jobs(const struct scheduler *sched, int64_t *retry_after_ms)
{
    *retry_after_ms = overload_retry_after_ms(&sched->overload);
    return sched->overload.level >= SHED_JOBS;
}

bool
scheduler_fenced(const struct scheduler *sched)
{
    return sched->fenced;
}

struct pool_load *
sched_pool_load(struct scheduler *sched, const char *pool)
{
    struct pool_load *load = g_hash_table_lookup(sched->pools, pool);
    if (load == NULL) {
        load = g_new0(struct pool_load, 1);
        load->pool = g_strdup(pool);
        load->unplaced = g_ptr_array_new();
        pool_index_init(&load->index);
        g_hash_table_insert(sched->pools, load->pool, load);
    }
    return load;
}

void
sched_mark_dirty(struct scheduler *sched, struct job *job)
{
    job_mark_changed(job);
    if (!job->storing && !job->dirty) {
        job->dirty = true;
        /* A caller waits for a cancel to be stored. */
        if (job->state == JOB_CANCELLED) {
            g_queue_push_head(&sched->dirty, job_ref(job));
        }
        else {
            g_queue_push_tail(&sched->dirty, job_ref(job));
        }
    }
    if (sched->ops.store != NULL) {
        sched->ops.store(sched->ops.ctx);
    }
}

void
scheduler_add_job(struct scheduler *sched, struct job *job)
{
    if (g_hash_table_contains(sched->jobs, job->id)) {
        return;
    }
    job_ref(job);
    g_hash_table_insert(sched->jobs, job->id, job);
    sched_job_refs(sched, job);
    if (job->state != JOB_ACTIVE) {
        g_queue_push_tail(&sched->finished, job);
        return;
    }
    job->active_index = sched->active->len;
    g_ptr_array_add(sched->active, job);
    uint32_t next = job_next_occurrence(job, 0);
    if (job->open->len == 0 && next < job->n_occurrences) {
        job_open_occurrence(job, next);
    }
    sched_job_unplaced(sched, job);
    if (!job->inherited) {
        sched_record_arrival(sched, job);
    }
    if (job->stored_version < job->version) {
        /* It differs from its record. */
        sched_mark_dirty(sched, job);
    }
    if (job_all_done(job)) {
        sched_finish_job(sched, job, JOB_COMPLETED);
    }
}

struct job *
scheduler_find_job(const struct scheduler *sched, const char *id)
{
    return g_hash_table_lookup(sched->jobs, id);
}

static void
stop_runs_of(struct scheduler *sched, struct job *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        for (uint32_t s = 0; s < job->n_steps; s++) {
            for (uint32_t t = 0; t < job->steps[s].task_count; t++) {
                struct run *run = occurrence->steps[s].tasks[t].run;
                if (run != NULL) {
                    sched_run_stop(sched, run);
                }
            }
        }
    }
}

void
sched_finish_job(struct scheduler *sched, struct job *job,
                 enum job_state state)
{
    if (job->state != JOB_ACTIVE) {
        return;
    }
    job->state = state;
    job->ended_unix_ms = ms_clock_now(&sched->unix_clock);
    struct job *last =
        g_ptr_array_index(sched->active, sched->active->len - 1);
    last->active_index = job->active_index;
    g_ptr_array_remove_index_fast(sched->active, job->active_index);
    g_queue_push_tail(&sched->finished, job);
    sched_log_event(sched, "job_finished",
                    "\"job\":\"%s\",\"queue\":%s,\"state\":\"%s\","
                    "\"after_ms\":%" G_GINT64_FORMAT,
                    job->id, text_quote(job->queue), job_state_name(state),
                    ms_clock_now(&sched->unix_clock) - job->accepted_unix_ms);
    sched_mark_dirty(sched, job);
    stop_runs_of(sched, job);
    sched_job_closing(sched, job);
}

bool
scheduler_cancel(struct scheduler *sched, const char *id)
{
    struct job *job = scheduler_find_job(sched, id);
    if (job == NULL) {
        return false;
    }
    sched_finish_job(sched, job, JOB_CANCELLED);
    return true;
}

void
scheduler_cancels_read(struct scheduler *sched, int64_t requested_ms)
{
    sched->cancels_read_ms = MAX(sched->cancels_read_ms, requested_ms);
}

bool
sched_cancels_outdated(const struct scheduler *sched)
{
    return sched->cancels_read_ms != 0 &&
           sched_now(sched) - sched->cancels_read_ms >
               sched->timings.cancel_ms - CANCEL_MARGIN_MS;
}

bool
sched_starts_allowed(const struct scheduler *sched)
{
    return sched->leadership_valid && !sched->fenced &&
           !sched_cancels_outdated(sched);
}

int64_t
scheduler_waiting(const struct scheduler *sched, const char *queue)
{
    int64_t waiting = 0;
    for (guint i = 0; i < sched->active->len; i++) {
        const struct job *job = g_ptr_array_index(sched->active, i);
        if (!job->started && strcmp(job->queue, queue) == 0) {
            waiting++;
        }
    }
    return waiting;
}

int64_t
scheduler_tick(struct scheduler *sched)
{
    int64_t now_ms = sched_now(sched);
    sched->ticks++;
    if (sched->config == NULL) {
        return now_ms + FULL_PASS_MS;
    }
    if (overload_update(&sched->overload, now_ms)) {
        sched_log_event(sched, "shedding", "\"what\":\"%s\",\"window\":%u",
                        shed_level_name(sched->overload.level),
                        sched->overload.window);
    }
    close_occurrences(sched);
    sched_settle_incarnations(sched);
    bool full = now_ms >= sched->full_pass_ms;
    if (full) {
        sched->full_pass_ms = now_ms + FULL_PASS_MS;
        sched_expire_backends(sched);
        sched_register_backends(sched);
        sched_check_reports(sched);
        sched_check_open_leases(sched);
    }
    if (sched->leadership_valid && !sched->fenced) {
        if (full) {
            sched_watch_runs(sched);
            sched_watch_strays(sched);
            sched_throttle(sched);
        }
        sched_move_off_draining(sched);
        sched_place_tasks(sched);
        sched_request_advice(sched);
        sched_plan_hosts(sched);
    }
    sched_request_reports(sched);
    if (sched->ops.store != NULL &&
        (!g_queue_is_empty(&sched->dirty) || sched->to_register->len > 0 ||
         sched->to_release->len > 0)) {
        sched->ops.store(sched->ops.ctx);
    }
    return MIN(
        sched->full_pass_ms,
        MAX(deadline_heap_first_ms(sched->report_deadlines), now_ms + 1));
}

void
scheduler_stats(const struct scheduler *sched, struct sched_stats *stats)
{
    *stats = sched->stats;
    stats->jobs_active = sched->active->len;
    stats->runs = g_hash_table_size(sched->runs);
    stats->backends = g_hash_table_size(sched->backends);
    stats->shed = sched->overload.level;
    stats->start_window = sched->overload.window;
    stats->starts_in_flight = sched->overload.in_flight;
    stats->holds = sched->holds->len;
    stats->backends_unreconciled = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct backend *backend = value;
        if (backend->unreconciled) {
            stats->backends_unreconciled++;
        }
    }
}
