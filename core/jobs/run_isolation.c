/* Runs beside which nothing else starts, and when that ends. */
#include "core/jobs/scheduler.h"

#include "crash_state.h"

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
        sched_crash_record_attempt(sched, run->job, run_task(run), NULL,
                                   false);
        sched_run_end_isolation(run);
        sched_backend_changed(sched, run->backend);
    }
}
