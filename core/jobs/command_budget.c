/*
 * Limits host commands to the rate that the platform accepts. Many idle hosts
 * may be returned just as another pool needs hosts for a peak: queued commands
 * would delay the urgent ones, and would keep hosts that are still usable out
 * of service.
 */
#include "scheduler_state.h"

/* Fraction of the rate that may be sent at once; the rest is refilled over
 * time, so that no second exceeds the whole rate. */
static const double BURST_FRACTION = 0.25;
/* Fraction of the burst that is reserved for commands that can't wait. */
static const double RESERVED_BURST_FRACTION = 0.5;

void
command_budget_refill(struct command_budget *budget, double per_s,
                      int64_t now_ms)
{
    double burst = MAX(per_s * BURST_FRACTION, 1);
    if (budget->refilled_ms == 0) {
        budget->available = burst;
    }
    else {
        double passed_s = (double)(now_ms - budget->refilled_ms) / 1000;
        budget->available += passed_s * per_s * (1 - BURST_FRACTION);
    }
    budget->available = MIN(budget->available, burst);
    budget->refilled_ms = now_ms;
}

bool
command_budget_allows_deferrable(const struct command_budget *budget,
                                 double per_s)
{
    return budget->available >=
           1 + per_s * BURST_FRACTION * RESERVED_BURST_FRACTION;
}
