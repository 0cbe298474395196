/* Finds the runs that may have crashed their backend server. What counts as
 * proof is in crash_blame.h. */
#include "core/jobs/scheduler.h"

#include "crash_state.h"

enum {
    /* Connections to backend servers that crash together break together. Where
     * none breaks, the next report request has to time out first. */
    NOTICED_LATE_MS = 1000,
    /* A task that would be given up, or back off, waits this long for the
     * proof. */
    PROOF_WAIT_MS = 2000,
};

static bool
blamable(const struct run *run)
{
    return run->job->state == JOB_ACTIVE && !run_task(run)->done;
}

/* Whether it is known to have started on the current incarnation. */
static bool
has_started(const struct run *run)
{
    return run->confirmed_ms != 0 && !run->other_clock &&
           run->incarnation == run->backend->incarnation;
}

static enum crash_role
role_of(const struct run *run)
{
    return crash_role_of(run->age_ms);
}

/* The members of a gang start together, so they are suspects together. */
static bool
same_suspect(const struct run *a, const struct run *b)
{
    return a->job == b->job && a->occurrence == b->occurrence &&
           a->step == b->step && (run_step(a)->gang || a->index == b->index);
}

static void
clear_group_of_step(const struct job_step *step,
                    struct step_progress *progress, uint32_t group,
                    bool proved)
{
    for (uint32_t t = 0; t < step->task_count; t++) {
        struct job_task *task = &progress->tasks[t];
        /* One that was lost again has not been cleared by that. */
        if (task->crash_group == group && task->crash_losses <= 1) {
            crash_record_other(&task->crash, proved);
            task->crash_group = proved ? 0 : group;
        }
    }
}

/* Lets the other suspects of the same loss start beside others. Those that run
 * alone are left to it. @proved: the crash of that loss is not theirs. */
static void
clear_group(struct job *job, uint32_t group, bool proved)
{
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        for (uint32_t s = 0; s < job->n_steps; s++) {
            clear_group_of_step(&job->steps[s], &occurrence->steps[s], group,
                                proved);
        }
    }
}

/* A run that was alone has most likely crashed its backend server, and the one
 * before as well. */
void
sched_crash_clear_others(struct scheduler *sched, struct job_task *cause,
                         bool proved)
{
    uint32_t group = cause->crash_group;
    if (group == 0) {
        return;
    }
    struct crash_record record = cause->crash;
    for (guint i = 0; i < sched->active->len; i++) {
        clear_group(g_ptr_array_index(sched->active, i), group, proved);
    }
    cause->crash = record;
    cause->crash_group = group;
}

static bool
has_fresh_run(const struct backend *backend)
{
    for (guint i = 0; i < backend->runs->len; i++) {
        if (role_of(g_ptr_array_index(backend->runs, i)) == CRASH_FRESH) {
            return true;
        }
    }
    return false;
}

/* Whether a run that may be the cause is known to have started; starts without
 * an answer were sent after the crash then, most likely. */
static bool
fresh_confirmed(const struct backend *backend)
{
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (blamable(run) && role_of(run) == CRASH_FRESH && has_started(run)) {
            return true;
        }
    }
    return false;
}

/* A leader that ends before the leases here do leaves nothing else that says
 * which runs were lost. */
static void
record_silent(struct scheduler *sched, const struct backend *backend)
{
    bool confirmed = fresh_confirmed(backend);
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (!run->isolated && blamable(run) && role_of(run) == CRASH_FRESH &&
            (!confirmed || has_started(run))) {
            sched_crash_record_attempt(sched, run->job, run_task(run),
                                       backend->entry.id, true);
        }
    }
}

void
sched_crash_not_caused(struct scheduler *sched, const struct run *run)
{
    struct job_task *task = run_task(run);
    if (task->crash_shared &&
        g_strcmp0(task->crash_backend, run->backend->entry.id) == 0) {
        sched_crash_record_attempt(sched, run->job, task, NULL, false);
    }
}

void
sched_crash_backend_answered(struct scheduler *sched,
                             const struct backend *backend)
{
    for (guint i = 0; i < backend->runs->len; i++) {
        sched_crash_not_caused(sched, g_ptr_array_index(backend->runs, i));
    }
}

/* Whether a drain or a host command ends the backend server. */
static bool
ends_by_order(const struct scheduler *sched, const struct backend *backend)
{
    const struct host *host =
        backend->entry.host == NULL
            ? NULL
            : g_hash_table_lookup(sched->hosts, backend->entry.host);
    return backend->entry.draining ||
           (host != NULL &&
            (host->command_accepted || host->command_in_flight));
}

void
sched_crash_backend_silent(struct scheduler *sched, struct backend *backend)
{
    backend->silent_ms = sched_now(sched);
    if (!has_fresh_run(backend) && !ends_by_order(sched, backend)) {
        sched->silences[sched->silence_count++ % SILENCES_KEPT] =
            backend->silent_ms;
    }
    record_silent(sched, backend);
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (run->isolated && role_of(run) == CRASH_FRESH &&
            run->confirmed_ms != 0) {
            sched_crash_clear_others(sched, run_task(run), false);
        }
    }
}

/* Marks the suspects. Their next start waits until that is stored: a leader
 * that took over without it would start them beside others. */
static void
mark_suspect(struct scheduler *sched, const struct run *run, uint32_t group)
{
    struct job_task *task = run_task(run);
    /* The first loss says with whom it shares the suspicion. */
    task->crash_group = task->crash_group == 0 ? group : task->crash_group;
    bool service = run_step(run)->long_running;
    if ((run->isolated && !service) ||
        crash_proof_matters(&task->crash, service)) {
        task->wait_until_ms =
            MAX(task->wait_until_ms, sched_now(sched) + PROOF_WAIT_MS);
    }
    task->crash.suspect = true;
    task->crash_losses++;
    sched_mark_dirty(sched, run->job);
    task->crash_version = run->job->version;
}

static struct crash_case *
collect_suspects(struct scheduler *sched, const struct backend *backend)
{
    enum crash_role role = CRASH_LATE;
    bool confirmed = false;
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (blamable(run) && role_of(run) == CRASH_FRESH) {
            role = CRASH_FRESH;
            confirmed = confirmed || has_started(run);
        }
    }
    uint32_t group = ++sched->crash_groups;
    struct crash_case *lost = g_new0(struct crash_case, 1);
    lost->backend_id = g_strdup(backend->entry.id);
    lost->pool = backend->pool;
    lost->silent_ms = backend->silent_ms;
    lost->lost_ms = sched_now(sched);
    lost->role = role;
    /* A stray beside an isolated run has come after it. */
    lost->alone = backend->strays->len == 0 || backend->isolated_runs > 0;
    lost->suspects = g_array_new(FALSE, FALSE, sizeof(struct crash_suspect));
    const struct run *first = NULL;
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (run->isolated) {
            lost->isolated_in = run->isolated_in;
        }
        /* Most starts without an answer were sent after the crash. */
        if (role_of(run) != role || (confirmed && !has_started(run))) {
            continue;
        }
        first = first == NULL ? run : first;
        lost->noticed_late =
            lost->noticed_late ||
            backend->silent_ms - run->started_ms > NOTICED_LATE_MS;
        lost->alone = lost->alone && same_suspect(first, run);
        if (!blamable(run)) {
            continue;
        }
        struct crash_suspect suspect = {
            .job = job_ref(run->job),
            .occurrence = run->occurrence,
            .step = run->step,
            .index = run->index,
            .started = has_started(run),
            .isolated = run->isolated,
        };
        g_array_append_val(lost->suspects, suspect);
        if (role == CRASH_FRESH) {
            mark_suspect(sched, run, group);
        }
    }
    return lost;
}

void
sched_crash_suspected(struct scheduler *sched, struct backend *backend)
{
    /* Also a run that nobody wants any more may have crashed it, or one of a
     * previous leader. */
    if (backend->unreconciled || backend->strays->len > 0 ||
        has_fresh_run(backend)) {
        backend->end_explained = true;
    }
    if (backend->runs->len == 0 || backend->entry.host == NULL ||
        backend->entry.draining) {
        return;
    }
    struct host *host = sched_host_find_or_add(sched, backend->entry.host);
    sched_crash_dropped(sched, host);
    host->crash = collect_suspects(sched, backend);
    g_ptr_array_add(sched->crashed, host);
    sched_log_event(sched, "crash_suspected",
                    "\"backend\":\"%s\",\"suspects\":%u,\"fresh\":%s,"
                    "\"alone\":%s",
                    backend->entry.id, host->crash->suspects->len,
                    host->crash->role == CRASH_FRESH ? "true" : "false",
                    host->crash->alone ? "true" : "false");
}
