/* Runs whose start command got no answer: it may have been carried out, may be
 * carried out later, or never. A report without the run leads to a stop, which
 * also keeps a start that is on its way from being carried out. */
#include "scheduler_state.h"

enum {
    /* A service task whose start command got no answer shows in a run report
     * by then; stopping it sooner could end one that works. */
    SERVICE_START_VISIBLE_MS = 2500,
};

bool
sched_stop_needs_report(const struct run *run)
{
    return run->state == RUN_STOPPING && run->stop_unconfirmed &&
           run->stop_acked_ms == 0 && run->job->state == JOB_ACTIVE;
}

bool
sched_stop_recalled(const struct run *run)
{
    return run->state == RUN_WORKING &&
           run->incarnation == run->backend->incarnation &&
           run->stop_count > run->stop_count_before;
}

bool
sched_stop_repeat_due(const struct scheduler *sched, const struct run *run)
{
    return !run->stop_pending && run->stop_acked_ms == 0 &&
           sched_now(sched) - run->stop_sent_ms >=
               sched_stop_retry_ms(run->stop_count);
}

static void
stop_unconfirmed(struct scheduler *sched, struct run *run,
                 int64_t requested_ms)
{
    bool service = run_step(run)->long_running;
    /* A service task may take a while to show. */
    int64_t shown_by_ms = service ? run->started_ms + SERVICE_START_VISIBLE_MS
                                  : run->answer_missed_ms;
    if (run->state == RUN_UNCERTAIN && requested_ms >= shown_by_ms) {
        sched_run_stop(sched, run);
        run->stop_unconfirmed = service;
    }
    else if (sched->leadership_valid && !sched->fenced &&
             sched_stop_needs_report(run) &&
             requested_ms >= run->stop_sent_ms &&
             sched_stop_repeat_due(sched, run)) {
        sched_send_stop(sched, run);
    }
}

void
sched_stop_unconfirmed(struct scheduler *sched, struct backend *backend,
                       int64_t requested_ms)
{
    for (guint i = 0; i < backend->runs->len; i++) {
        stop_unconfirmed(sched, g_ptr_array_index(backend->runs, i),
                         requested_ms);
    }
}
