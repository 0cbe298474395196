/*
 * Explains where a job would be placed by the facts of this moment. Counts the
 * backend servers that are left after each condition, in the order in which
 * placement checks them; the first condition that leaves none is the reason to
 * wait.
 */
#include "core/jobs/explain.h"

#include "placer.h"

static const char *const reason_names[] = {
    [WAIT_NONE] = "none",
    [WAIT_STEPS] = "earlier steps",
    [WAIT_TIME] = "its time",
    [WAIT_SUSPENDED] = "leadership not confirmed",
    [WAIT_ADVICE] = "placement advice",
    [WAIT_MAXIMUM] = "maximum of the client account",
    [WAIT_NO_SERVER] = "no backend server takes work",
    [WAIT_CONSTRAINTS] = "no backend server satisfies its constraints",
    [WAIT_CAPACITY] = "free capacity",
    [WAIT_RESERVED] = "free capacity is kept for other tasks",
};

const char *
wait_reason_name(enum wait_reason reason)
{
    return reason_names[reason];
}

static void
count_backend(const struct placer *placer, const struct backend *backend,
              const struct placement_request *request,
              struct step_explanation *step)
{
    struct scheduler *sched = placer->sched;
    if (backend->pool != placer->pool || !backend->listed) {
        return;
    }
    step->servers++;
    if (!sched_backend_usable(sched, backend)) {
        return;
    }
    step->usable++;
    if (!placer_suitable(placer, backend, request)) {
        return;
    }
    step->suitable++;
    int64_t free_milli =
        backend->entry.capacity.cpu_milli - backend->used.cpu_milli;
    step->most_free_milli = MAX(step->most_free_milli, free_milli);
    if (!placer_has_capacity(backend, request->step)) {
        return;
    }
    step->fitting++;
    if (sched_backend_can_run(sched, backend, request->job,
                              request->occurrence, request->step_index)) {
        step->allowed++;
    }
}

static enum wait_reason
first_obstacle(const struct step_explanation *step)
{
    if (step->usable == 0) {
        return WAIT_NO_SERVER;
    }
    if (step->suitable == 0) {
        return WAIT_CONSTRAINTS;
    }
    if (step->fitting == 0) {
        return WAIT_CAPACITY;
    }
    return step->allowed == 0 ? WAIT_RESERVED : WAIT_NONE;
}

static enum wait_reason
wait_before_placement(const struct placer *placer, const struct job *job,
                      uint32_t step_index)
{
    const struct job_step *step = &job->steps[step_index];
    if (step->n_after > 0) {
        return WAIT_STEPS;
    }
    if (job->first_ms > placer->unix_ms) {
        return WAIT_TIME;
    }
    if (!sched_starts_allowed(placer->sched)) {
        return WAIT_SUSPENDED;
    }
    if (job->refs.queue->needs_advice) {
        return WAIT_ADVICE;
    }
    return sched_team_allows(placer->sched, job, &step->need) ? WAIT_NONE
                                                              : WAIT_MAXIMUM;
}

static void
explain_step(const struct placer *placer, const struct job *job,
             uint32_t step_index, struct step_explanation *explanation)
{
    struct scheduler *sched = placer->sched;
    struct placement_request request = {
        .job = job,
        .step = &job->steps[step_index],
        .step_index = step_index,
    };
    if (request.step->data_rack != NULL && sched->racks != NULL) {
        request.data_rack =
            g_hash_table_lookup(sched->racks, request.step->data_rack);
    }
    *explanation = (struct step_explanation){0};
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count_backend(placer, value, &request, explanation);
    }
    explanation->reason = wait_before_placement(placer, job, step_index);
    if (explanation->reason == WAIT_NONE) {
        explanation->reason = first_obstacle(explanation);
    }
    if (explanation->reason == WAIT_NONE) {
        const struct backend *backend =
            placer_choose_backend(placer, &request);
        explanation->backend_id = backend == NULL ? NULL : backend->entry.id;
    }
}

bool
scheduler_explain(struct scheduler *sched, struct job *job,
                  struct job_explanation *explanation)
{
    sched_job_refs(sched, job);
    if (job->refs.queue == NULL || job->refs.pool == NULL) {
        return false;
    }
    struct placer placer = {
        .sched = sched,
        .now_ms = sched_now(sched),
        .unix_ms = ms_clock_now(&sched->unix_clock),
        .pool = job->refs.pool,
    };
    *explanation = (struct job_explanation){
        .pool = placer.pool->pool,
        .waiting = scheduler_waiting(sched, job->queue),
    };
    if (scheduler_pool_behind(sched, placer.pool->pool)) {
        explanation->refusal_ms =
            scheduler_refusal_ms(sched, placer.pool->pool, job);
    }
    for (uint32_t s = 0; s < job->n_steps; s++) {
        explain_step(&placer, job, s, &explanation->steps[s]);
    }
    return true;
}
