/*
 * Requests placement advice: which backend servers may run a step of a queue
 * whose policy allows only some of them. The platform answers one request at a
 * time per host, in a time that grows with the number of backend servers in
 * it. So a request names only as many as the step is likely to need, and steps
 * are taken in the order in which their jobs are placed.
 */
#include "core/jobs/scheduler.h"

#include <string.h>

#include "scheduler_state.h"

enum {
    /* The platform accepts up to 100 per request; latency objectives assume at
     * most 30. */
    ADVICE_BACKENDS_MAX = 30,
    ADVICE_RETRY_MS = 150,
    /* A ticket must still be valid when the start command arrives. */
    TICKET_MARGIN_MS = 150,
};

/* Assumed fraction of backend servers that may run a step, before any
 * answer. */
static const double INITIAL_ALLOWED_FRACTION = 0.5;
/* Weight of the latest answer in the moving average of the allowed
 * fraction. */
static const double ALLOWED_FRACTION_WEIGHT = 0.2;
/* More candidates than needed: some may be full by the time of the answer. */
static const double CANDIDATE_SURPLUS_FACTOR = 1.25;

struct advice_request {
    struct scheduler *sched;
    struct job *job;
    uint32_t occurrence;
    uint32_t step;
    int64_t now_ms;
};

static int64_t
tasks_that_fit(const struct backend *backend, const struct job_step *step)
{
    int64_t fit = INT32_MAX;
    const struct resources *need = &step->need;
    if (need->cpu_milli > 0 && !step->best_effort) {
        fit = (backend->entry.capacity.cpu_milli - backend->used.cpu_milli) /
              need->cpu_milli;
    }
    if (need->mem_mb > 0) {
        fit =
            MIN(fit, (backend->entry.capacity.mem_mb - backend->used.mem_mb) /
                         need->mem_mb);
    }
    if (step->max_per_backend > 0) {
        fit = MIN(fit, (int64_t)step->max_per_backend);
    }
    return MAX(fit, 1);
}

static int64_t
tasks_waiting(const struct advice_request *request)
{
    const struct step_progress *progress =
        job_step_progress(request->job, request->occurrence, request->step);
    int64_t waiting = 0;
    for (uint32_t t = 0; t < request->job->steps[request->step].task_count;
         t++) {
        const struct job_task *task = &progress->tasks[t];
        waiting += task->run == NULL && !task->done && task->strays == 0 &&
                   task->wait_until_ms <= request->now_ms;
    }
    return waiting;
}

static int
compare_ids(const void *a, const void *b)
{
    const struct backend *x = *(const struct backend *const *)a;
    const struct backend *y = *(const struct backend *const *)b;
    return strcmp(x->entry.id, y->entry.id);
}

/* Backend servers to request advice about. Those that were allowed before come
 * first: only their tickets have expired. */
static GPtrArray *
choose_candidates(const struct advice_request *request,
                  const struct pool_load *pool)
{
    struct scheduler *sched = request->sched;
    const struct job_step *step = &request->job->steps[request->step];
    const struct step_advice *advice =
        job_step_progress(request->job, request->occurrence, request->step)
            ->advice;
    GPtrArray *expired = g_ptr_array_new();
    GPtrArray *not_requested = g_ptr_array_new();
    double tasks_left =
        (double)tasks_waiting(request) * CANDIDATE_SURPLUS_FACTOR;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct backend *backend = value;
        if (backend->pool != pool ||
            !sched_backend_can_run(sched, backend, request->job,
                                   request->occurrence, request->step)) {
            continue;
        }
        enum advice_status status = step_advice_status(
            advice, backend->entry.id, backend->entry.incarnation_start_ms,
            request->now_ms);
        if (status == ADVICE_GRANTED) {
            tasks_left -= (double)tasks_that_fit(backend, step);
        }
        else if (status != ADVICE_REFUSED) {
            g_ptr_array_add(status == ADVICE_EXPIRED ? expired : not_requested,
                            backend);
        }
    }
    /* Sorted by id, so that the same load gives the same requests. */
    g_ptr_array_sort(expired, compare_ids);
    g_ptr_array_sort(not_requested, compare_ids);
    GPtrArray *candidates = g_ptr_array_new();
    for (guint i = 0;
         tasks_left > 0 && candidates->len < ADVICE_BACKENDS_MAX &&
         i < expired->len + not_requested->len;
         i++) {
        bool was_allowed = i < expired->len;
        struct backend *backend =
            was_allowed ? g_ptr_array_index(expired, i)
                        : g_ptr_array_index(not_requested, i - expired->len);
        tasks_left -= (double)tasks_that_fit(backend, step) *
                      (was_allowed ? 1 : sched->advice.allowed_fraction);
        g_ptr_array_add(candidates, backend);
    }
    g_ptr_array_unref(expired);
    g_ptr_array_unref(not_requested);
    return candidates;
}

static void
send_advice_call(const struct advice_request *request, GPtrArray *backends)
{
    struct scheduler *sched = request->sched;
    struct advice_call *call = &sched->advice;
    call->job = job_ref(request->job);
    call->occurrence = request->occurrence;
    call->step = request->step;
    call->sent_ms = request->now_ms;
    call->backend_ids = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < backends->len; i++) {
        const struct backend *backend = g_ptr_array_index(backends, i);
        g_ptr_array_add(call->backend_ids, g_strdup(backend->entry.id));
    }
    char step[JOB_ID_CHARS + 32];
    g_snprintf(step, sizeof(step), "%s.%u.%u", request->job->id,
               request->occurrence, request->step);
    sched_log_event(sched, "advice_asked", "\"step\":\"%s\",\"backends\":%u",
                    step, backends->len);
    g_ptr_array_add(call->backend_ids, NULL);
    sched->ops.request_advice(sched->ops.ctx, step,
                              (const char *const *)call->backend_ids->pdata);
}

/* Whether a task of the step could start now, if some backend server may run
 * it: a call that is spent on another is lost to all other jobs. */
static bool
could_start(const struct advice_request *request)
{
    const struct job_step *step = &request->job->steps[request->step];
    int64_t waiting = tasks_waiting(request);
    /* A gang starts whole. */
    int64_t n_tasks = step->gang ? step->task_count : 1;
    struct resources need = {0};
    resources_add(&need, &step->need, n_tasks);
    return waiting >= n_tasks &&
           job_step_ready(request->job, request->occurrence, request->step) &&
           sched_team_allows(request->sched, request->job, &need);
}

static bool
request_advice_for_job(struct scheduler *sched, struct job *job,
                       const struct pool_load *pool)
{
    int64_t unix_ms = ms_clock_now(&sched->unix_clock);
    struct advice_request request = {
        .sched = sched, .job = job, .now_ms = sched_now(sched)};
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        uint32_t k = occurrence->number;
        if (job_due_ms(job, k) > unix_ms) {
            return false;
        }
        for (uint32_t s = 0; s < job->n_steps; s++) {
            request.occurrence = k;
            request.step = s;
            if (!could_start(&request)) {
                continue;
            }
            GPtrArray *backends = choose_candidates(&request, pool);
            bool any = backends->len > 0;
            if (any) {
                send_advice_call(&request, backends);
            }
            g_ptr_array_unref(backends);
            if (any) {
                return true;
            }
        }
    }
    return false;
}

void
sched_request_advice(struct scheduler *sched)
{
    if (sched->ops.request_advice == NULL || sched->advice.job != NULL ||
        sched_now(sched) < sched->advice.retry_ms) {
        return;
    }
    for (guint i = 0; i < sched->config->pools->len; i++) {
        const struct pool_config *config =
            g_ptr_array_index(sched->config->pools, i);
        const struct pool_load *pool = sched_pool_load(sched, config->name);
        for (guint k = 0; k < pool->unplaced->len; k++) {
            struct job *job = g_ptr_array_index(pool->unplaced, k);
            if (job->refs.queue != NULL && job->refs.queue->needs_advice &&
                !sched_inherited_runs_open(sched, pool, job) &&
                request_advice_for_job(sched, job, pool)) {
                return;
            }
        }
    }
}

static void
finish_advice_call(struct scheduler *sched)
{
    g_ptr_array_unref(sched->advice.backend_ids);
    job_unref(sched->advice.job);
    sched->advice.backend_ids = NULL;
    sched->advice.job = NULL;
}

static const struct advice_grant *
find_grant(const struct advice_answer *answer, const char *id)
{
    for (size_t i = 0; i < answer->n_grants; i++) {
        if (strcmp(answer->grants[i].backend_id, id) == 0) {
            return &answer->grants[i];
        }
    }
    return NULL;
}

void
scheduler_on_advice(struct scheduler *sched,
                    const struct advice_answer *answer)
{
    struct advice_call *call = &sched->advice;
    if (call->job == NULL) {
        return;
    }
    if (!answer->given) {
        call->retry_ms = sched_now(sched) + ADVICE_RETRY_MS;
        sched_log_event(sched, "advice_missing", "\"job\":\"%s\"",
                        call->job->id);
        finish_advice_call(sched);
        return;
    }
    if (job_find_occurrence(call->job, call->occurrence) == NULL) {
        /* It has finished meanwhile. */
        finish_advice_call(sched);
        return;
    }
    struct step_progress *progress =
        job_step_progress(call->job, call->occurrence, call->step);
    if (progress->advice == NULL) {
        progress->advice = step_advice_create();
    }
    for (guint i = 0; i + 1 < call->backend_ids->len; i++) {
        const char *id = g_ptr_array_index(call->backend_ids, i);
        const struct backend *backend = scheduler_find_backend(sched, id);
        const struct advice_grant *grant = find_grant(answer, id);
        int64_t incarnation_start_ms =
            backend == NULL ? 0 : backend->entry.incarnation_start_ms;
        if (grant == NULL) {
            step_advice_refuse(progress->advice, id, incarnation_start_ms);
        }
        else {
            step_advice_grant(
                progress->advice, id, incarnation_start_ms, grant->ticket,
                call->sent_ms + answer->valid_ms - TICKET_MARGIN_MS);
        }
        call->allowed_fraction +=
            ALLOWED_FRACTION_WEIGHT *
            ((grant == NULL ? 0 : 1) - call->allowed_fraction);
    }
    finish_advice_call(sched);
}

void
sched_advice_init(struct scheduler *sched)
{
    sched->advice.allowed_fraction = INITIAL_ALLOWED_FRACTION;
}

void
sched_advice_clear(struct scheduler *sched)
{
    if (sched->advice.job != NULL) {
        finish_advice_call(sched);
    }
}
