/* Proves that a backend server has crashed, and gives up those tasks that have
 * crashed several. */
#include "core/jobs/scheduler.h"

#include "common/text.h"
#include "crash_state.h"

enum {
    /* A backend server that crashed is back some seconds after; one that is
     * back later may have lost its runs to their leases first. */
    PROOF_MAX_MS = 6000,
    /* Connections to backend servers that crash together break together. Where
     * none breaks, the next report request has to time out first. */
    OUTAGE_WINDOW_MS = 150,
    OUTAGE_LATE_WINDOW_MS = 1000,
    /* One may fall silent by chance. */
    OUTAGE_OTHERS_MIN = 2,
    /* A backend server that answers again by then has lost a few answers, four
     * report requests at most; outages last longer. */
    SILENCE_BRIEF_MS = 4 * REPORT_RETRY_MS,
    /* Covers crashes up to PROOF_MAX_MS before the one that is judged, the
     * proof of which comes up to PROOF_MAX_MS after it. */
    UNEXPLAINED_RECENT_MS = 2 * PROOF_MAX_MS,
};

static void
crash_case_destroy(void *data)
{
    struct crash_case *lost = data;
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
sched_crash_init(struct scheduler *sched)
{
    sched->crashed = g_ptr_array_new();
    sched->open_crashes = g_ptr_array_new_with_free_func(crash_case_destroy);
}

void
sched_crash_clear(struct scheduler *sched)
{
    while (sched->crashed->len > 0) {
        sched_crash_dropped(sched, g_ptr_array_index(sched->crashed, 0));
    }
    g_ptr_array_unref(sched->crashed);
    g_ptr_array_unref(sched->open_crashes);
}

static bool
recent(const struct scheduler *sched, int64_t crash_ms)
{
    return crash_ms != 0 &&
           sched_now(sched) - crash_ms <= UNEXPLAINED_RECENT_MS;
}

void
sched_crash_expire(struct scheduler *sched)
{
    for (guint i = sched->open_crashes->len; i > 0; i--) {
        const struct crash_case *crash =
            g_ptr_array_index(sched->open_crashes, i - 1);
        if (!recent(sched, crash->proved_ms)) {
            g_ptr_array_remove_index(sched->open_crashes, i - 1);
        }
    }
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

static bool
has_suspect(const struct crash_case *crash,
            const struct crash_suspect *suspect)
{
    for (guint i = 0; i < crash->suspects->len; i++) {
        const struct crash_suspect *other =
            &g_array_index(crash->suspects, struct crash_suspect, i);
        if (other->job == suspect->job &&
            other->occurrence == suspect->occurrence &&
            other->step == suspect->step && other->index == suspect->index) {
            return true;
        }
    }
    return false;
}

/* Crashes of which @suspect is the cause need no other one. */
static void
close_crashes(struct scheduler *sched, const struct crash_suspect *suspect)
{
    for (guint i = sched->open_crashes->len; i > 0; i--) {
        if (has_suspect(g_ptr_array_index(sched->open_crashes, i - 1),
                        suspect)) {
            g_ptr_array_remove_index(sched->open_crashes, i - 1);
        }
    }
}

/* Whether backend servers crash by themselves just now, or may: there was a
 * crash that @suspect has not caused. What it has shared with others says
 * little then. */
static bool
by_themselves(const struct scheduler *sched,
              const struct crash_suspect *suspect)
{
    if (recent(sched, sched->unexplained_crash_ms)) {
        return true;
    }
    if (suspect_task(suspect)->crash.alone > 0) {
        return false;
    }
    for (guint i = 0; i < sched->open_crashes->len; i++) {
        const struct crash_case *crash =
            g_ptr_array_index(sched->open_crashes, i);
        if (recent(sched, crash->proved_ms) && !has_suspect(crash, suspect)) {
            return true;
        }
    }
    return false;
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
        unsure ? crash_record_inherited(
                     &task->crash, recent(sched, sched->unexplained_crash_ms))
               : crash_record_crash(&task->crash, lost->role, lost->alone,
                                    by_themselves(sched, suspect));
    /* The next leader must not count it again. */
    if (g_strcmp0(task->crash_backend, lost->backend_id) == 0) {
        g_clear_pointer(&task->crash_backend, g_free);
        task->crash_shared = false;
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
        close_crashes(sched, suspect);
        sched_crash_clear_others(sched, task, true);
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
        if (lost->role == CRASH_FRESH && !lost->alone) {
            lost->proved_ms = sched_now(sched);
            g_ptr_array_add(sched->open_crashes, g_steal_pointer(&lost));
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
sched_crash_unexplained(struct scheduler *sched, const struct host *host,
                        const struct former_backend *before,
                        const struct backend *after)
{
    /* Without an entry it isn't known which pool it serves now. */
    if (after == NULL ||
        after->entry.incarnation_start_ms <= before->incarnation_start_ms ||
        before->incarnation_start_ms == 0 || before->draining ||
        before->end_explained || host->commanded_before ||
        sched_now(sched) - before->removed_ms > PROOF_MAX_MS ||
        ended_by_order(host, before->pool, after) ||
        (host->commanded_incarnation != NULL &&
         g_strcmp0(host->commanded_incarnation, host->backend_id) == 0)) {
        return;
    }
    sched->unexplained_crash_ms = sched_now(sched);
    sched_log_event(sched, "crash_unexplained", "\"host\":%s,\"now\":\"%s\"",
                    text_quote(host->name), after->entry.id);
}

void
sched_crash_inherited(struct scheduler *sched, const struct host *host,
                      const struct backend *before,
                      const struct backend *after)
{
    if (before != NULL && before->registered && !before->entry.draining &&
        sched_now(sched) - sched->takeover_ms < CRASH_INHERITED_MAX_MS &&
        !ended_by_order(host, before->pool, after)) {
        g_hash_table_add(sched->crashed_ids, g_strdup(before->entry.id));
    }
}

/* Where answers get lost at random, some backend server has fallen silent at
 * any moment, and no crash would ever count. */
static void
forget_brief_silence(struct scheduler *sched, const struct backend *backend)
{
    if (sched_now(sched) - backend->silent_ms > SILENCE_BRIEF_MS) {
        return;
    }
    for (uint32_t i = 0; i < MIN(sched->silence_count, SILENCES_KEPT); i++) {
        if (sched->silences[i] == backend->silent_ms) {
            sched->silences[i] = INT64_MIN / 2;
            return;
        }
    }
}

void
sched_crash_backend_answers(struct scheduler *sched, struct backend *backend)
{
    forget_brief_silence(sched, backend);
    backend->end_explained = false;
    sched_crash_backend_answered(sched, backend);
    struct host *host =
        backend->entry.host == NULL
            ? NULL
            : g_hash_table_lookup(sched->hosts, backend->entry.host);
    if (host != NULL && host->crash != NULL &&
        g_strcmp0(host->crash->backend_id, backend->entry.id) == 0) {
        sched_crash_dropped(sched, host);
    }
}
