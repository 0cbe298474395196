/* Finds the runs that may have crashed their backend server, and gives up
 * those tasks that have. What counts as proof is in crash_blame.h. */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

enum {
    /* A backend server that crashed is back some seconds after; one that is
     * back later may have lost its runs to their leases first. */
    PROOF_MAX_MS = 6000,
    /* Connections to backend servers that crash together break together. Where
     * none breaks, the next report request has to time out first. */
    OUTAGE_WINDOW_MS = 150,
    NOTICED_LATE_MS = 1000,
    OUTAGE_LATE_WINDOW_MS = 1000,
    /* One may fall silent by chance. */
    OUTAGE_OTHERS_MIN = 2,
    /* A task that would be given up, or back off, waits this long for the
     * proof. */
    PROOF_WAIT_MS = 2000,
    /* Crashes around a takeover have shown by then. */
    INHERITED_MAX_MS = 8000,
};

/* Stores where a suspect starts, before it does: the next leader has to know
 * which crash may be its doing. */
static void
record_attempt(struct scheduler *sched, struct job *job, struct job_task *task,
               const char *backend_id)
{
    if (g_strcmp0(task->crash_backend, backend_id) == 0) {
        return;
    }
    g_free(task->crash_backend);
    task->crash_backend = g_strdup(backend_id);
    sched_mark_dirty(sched, job);
    task->crash_version = job->version;
}

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
crash_case_destroy(struct crash_case *lost)
{
    if (lost == NULL) {
        return;
    }
    for (guint i = 0; i < lost->suspects->len; i++) {
        job_unref(g_array_index(lost->suspects, struct crash_suspect, i).job);
    }
    g_array_unref(lost->suspects);
    g_free(lost->backend_id);
    g_free(lost);
}

static struct crash_case *
case_take(struct scheduler *sched, struct host *host)
{
    struct crash_case *lost = host->crash;
    host->crash = NULL;
    g_ptr_array_remove_fast(sched->crashed, host);
    return lost;
}

void
sched_crash_dropped(struct scheduler *sched, struct host *host)
{
    crash_case_destroy(case_take(sched, host));
}

void
sched_crash_expire(struct scheduler *sched)
{
    for (guint i = sched->crashed->len; i > 0; i--) {
        struct host *host = g_ptr_array_index(sched->crashed, i - 1);
        if (sched_now(sched) - host->crash->lost_ms > PROOF_MAX_MS) {
            sched_crash_dropped(sched, host);
        }
    }
}

uint32_t
sched_crashed_isolated(const struct scheduler *sched,
                       const struct pool_load *pool)
{
    uint32_t count = 0;
    for (guint i = 0; i < sched->crashed->len; i++) {
        const struct host *host = g_ptr_array_index(sched->crashed, i);
        count += host->crash->isolated_in == pool &&
                 sched_now(sched) - host->crash->lost_ms <= PROOF_MAX_MS;
    }
    return count;
}

static struct job_task *
suspect_task(const struct crash_suspect *suspect)
{
    return &job_step_progress(suspect->job, suspect->occurrence, suspect->step)
                ->tasks[suspect->index];
}

/* Lets the other suspects of the same loss start beside others. Those that run
 * alone are left to it. @proved: the crash of that loss is not theirs. */
static void
clear_group(struct job *job, uint32_t group, bool proved)
{
    uint32_t n_progress = job->n_occurrences * job->n_steps;
    for (uint32_t p = 0; p < n_progress; p++) {
        uint32_t n_tasks = job->steps[p % job->n_steps].task_count;
        for (uint32_t t = 0; t < n_tasks; t++) {
            struct job_task *task = &job->progress[p].tasks[t];
            /* One that was lost again has not been cleared by that. */
            if (task->crash_group == group && task->crash_losses <= 1) {
                crash_record_other(&task->crash, proved);
                task->crash_group = proved ? 0 : group;
            }
        }
    }
}

/* A run that was alone has most likely crashed its backend server, and the one
 * before as well. */
static void
clear_others(struct scheduler *sched, struct job_task *cause, bool proved)
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

void
sched_crash_backend_silent(struct scheduler *sched, struct backend *backend)
{
    backend->silent_ms = sched_now(sched);
    bool fresh = false;
    for (guint i = 0; i < backend->runs->len; i++) {
        fresh = fresh ||
                role_of(g_ptr_array_index(backend->runs, i)) == CRASH_FRESH;
    }
    if (!fresh) {
        sched->silences[sched->silence_count++ % SILENCES_KEPT] =
            backend->silent_ms;
    }
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        if (run->isolated && role_of(run) == CRASH_FRESH &&
            run->confirmed_ms != 0) {
            clear_others(sched, run_task(run), false);
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

/* Whether other backend servers, on which no run can be the cause, fell silent
 * at the same time: an outage. */
static bool
in_outage(const struct scheduler *sched, const struct crash_case *lost)
{
    int64_t window_ms =
        lost->noticed_late ? OUTAGE_LATE_WINDOW_MS : OUTAGE_WINDOW_MS;
    uint32_t others = 0;
    for (uint32_t i = 0;
         lost->silent_ms != 0 && i < MIN(sched->silence_count, SILENCES_KEPT);
         i++) {
        others += ABS(sched->silences[i] - lost->silent_ms) <= window_ms;
    }
    return others >= OUTAGE_OTHERS_MIN;
}

static void
blame(struct scheduler *sched, const struct crash_case *lost,
      const struct crash_suspect *suspect)
{
    struct job *job = suspect->job;
    struct job_task *task = suspect_task(suspect);
    /* A start without an answer may not have been carried out. */
    bool unsure = !suspect->started;
    if (job->state != JOB_ACTIVE || task->done ||
        (unsure && !(suspect->isolated && lost->alone))) {
        return;
    }
    bool service = job->steps[suspect->step].long_running;
    /* Backend servers that go down and up by turns look the same to a task
     * that has worked on them for a while. */
    if (service && lost->role != CRASH_FRESH) {
        return;
    }
    bool guilty =
        unsure ? crash_record_inherited(&task->crash)
               : crash_record_crash(&task->crash, lost->role, lost->alone);
    /* The next leader must not count it again. */
    if (g_strcmp0(task->crash_backend, lost->backend_id) == 0) {
        g_clear_pointer(&task->crash_backend, g_free);
    }
    /* Every outage would write the records of all that it hits, for little. */
    if (crash_isolated(&task->crash)) {
        sched_mark_dirty(sched, job);
        task->crash_version = job->version;
    }
    if (lost->alone) {
        sched_log_event(sched, "crash_blamed",
                        "\"task\":\"%s.%u.%u.%u\",\"backend\":\"%s\","
                        "\"crashes\":%u",
                        job->id, suspect->occurrence, suspect->step,
                        suspect->index, lost->backend_id, task->crash.crashes);
    }
    if (service) {
        if (lost->alone) {
            task->wait_until_ms =
                sched_now(sched) + crash_service_backoff_ms(&task->crash);
        }
        return;
    }
    task->wait_until_ms = 0;
    if (guilty) {
        clear_others(sched, task, true);
        sched_finish_job(sched, job, JOB_FAILED);
    }
}

/* An incarnation that was ended by an order has not crashed; one that moves to
 * another pool was ended by an order of a previous leader. */
static bool
ended_by_order(const struct host *host, const struct pool_load *before,
               const struct backend *after)
{
    return host->command_accepted || host->command_in_flight ||
           (after != NULL && after->pool != before);
}

void
sched_crash_proved(struct scheduler *sched, struct host *host,
                   const struct backend *after)
{
    struct crash_case *lost = case_take(sched, host);
    if (lost != NULL && !in_outage(sched, lost) &&
        !ended_by_order(host, lost->pool, after) &&
        sched_now(sched) - lost->lost_ms <= PROOF_MAX_MS) {
        for (guint i = 0; i < lost->suspects->len; i++) {
            blame(sched, lost,
                  &g_array_index(lost->suspects, struct crash_suspect, i));
        }
    }
    crash_case_destroy(lost);
}

void
sched_crash_proved_of(struct scheduler *sched, struct host *host,
                      const char *backend_id, const struct backend *after)
{
    if (host->crash != NULL &&
        g_strcmp0(host->crash->backend_id, backend_id) == 0) {
        sched_crash_proved(sched, host, after);
    }
}

void
sched_crash_inherited(struct scheduler *sched, const struct host *host,
                      const struct backend *before,
                      const struct backend *after)
{
    if (before != NULL && before->registered && !before->entry.draining &&
        sched_now(sched) - sched->takeover_ms < INHERITED_MAX_MS &&
        !ended_by_order(host, before->pool, after)) {
        g_hash_table_add(sched->crashed_ids, g_strdup(before->entry.id));
    }
}

bool
sched_crash_settle_inherited(struct scheduler *sched, struct job *job,
                             uint32_t occurrence, uint32_t step,
                             uint32_t index)
{
    struct job_task *task =
        &job_step_progress(job, occurrence, step)->tasks[index];
    bool service = job->steps[step].long_running;
    if (service && task->crash_version == 0 &&
        sched_now(sched) <
            sched->takeover_ms + crash_service_backoff_ms(&task->crash)) {
        return false;
    }
    if (task->crash_backend == NULL || task->crash_version != 0) {
        return true;
    }
    bool crashed =
        g_hash_table_contains(sched->crashed_ids, task->crash_backend);
    const struct backend *backend =
        scheduler_find_backend(sched, task->crash_backend);
    bool lives =
        backend != NULL && backend->report_received && !backend->unresponsive;
    if (!crashed && !lives && !service &&
        sched_now(sched) - sched->takeover_ms < INHERITED_MAX_MS) {
        return false;
    }
    if (crashed && crash_record_inherited(&task->crash) && !service) {
        sched_finish_job(sched, job, JOB_FAILED);
        return false;
    }
    record_attempt(sched, job, task, NULL);
    return true;
}

bool
sched_start_recorded(struct scheduler *sched, struct job *job,
                     struct job_task *task, const char *backend_id)
{
    if (sched->outage) {
        return true;
    }
    record_attempt(sched, job, task, backend_id);
    return job->stored_version >= task->crash_version;
}

void
sched_crash_backend_answers(struct scheduler *sched,
                            const struct backend *backend)
{
    struct host *host =
        backend->entry.host == NULL
            ? NULL
            : g_hash_table_lookup(sched->hosts, backend->entry.host);
    if (host != NULL && host->crash != NULL &&
        g_strcmp0(host->crash->backend_id, backend->entry.id) == 0) {
        sched_crash_dropped(sched, host);
    }
}

static void
count_isolated(struct run *run, int factor)
{
    run->backend->isolated_runs += (uint32_t)factor;
    run->isolated_in->isolated_runs += (uint32_t)factor;
}

void
sched_run_isolate(struct run *run)
{
    run->isolated = crash_isolated(&run_task(run)->crash);
    if (run->isolated) {
        run->isolated_in = run->backend->pool;
        count_isolated(run, 1);
    }
}

void
sched_run_end_isolation(struct run *run)
{
    if (run->isolated) {
        count_isolated(run, -1);
        run->isolated = false;
    }
}

void
sched_run_worked_until(struct scheduler *sched, struct run *run,
                       int64_t clock_ms)
{
    if (clock_ms == 0) {
        return;
    }
    if (run->first_clock_ms == 0) {
        run->first_clock_ms = clock_ms;
    }
    run->age_ms = MAX(run->age_ms, clock_ms - run->first_clock_ms);
    struct crash_record *record = &run_task(run)->crash;
    if (run->isolated && run->age_ms >= crash_isolation_ms(record)) {
        crash_record_worked(record);
        run_task(run)->crash_group = 0;
        run_task(run)->crash_losses = 0;
        run_task(run)->wait_until_ms = 0;
        record_attempt(sched, run->job, run_task(run), NULL);
        sched_run_end_isolation(run);
        sched_backend_changed(sched, run->backend);
    }
}
