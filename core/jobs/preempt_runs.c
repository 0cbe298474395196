/* Preemption of runs by tasks of a higher priority. */
#include "core/jobs/scheduler.h"

#include "placer.h"

void
placer_preempt(struct placer *placer, const struct placement_request *request)
{
    (void)placer;
    (void)request;
}
