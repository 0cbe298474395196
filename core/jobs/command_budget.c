/*
 * Orders about hosts within the rate that the platform accepts. Answers many
 * idle hosts that are given back just as a peak asks for others: orders that
 * wait in a line would hold up the urgent ones, and keep hosts that still
 * serve out of use.
 */
#include "scheduler_state.h"

/* Share of the rate that may be given at once, the rest as time goes on: no
 * second sees more than the whole. */
static const double BURST_FRACTION = 0.25;
/* Share of the burst that is kept for what can't wait. */
static const double RESERVED_BURST_FRACTION = 0.5;

void
command_budget_refill(struct command_budget *budget, double per_s,
                      int64_t now_ms)
{
    double burst = MAX(per_s * BURST_FRACTION, 1);
    if (budget->refilled_ms == 0) {
        budget->left = burst;
    }
    else {
        double passed_s = (double)(now_ms - budget->refilled_ms) / 1000;
        budget->left += passed_s * per_s * (1 - BURST_FRACTION);
    }
    budget->left = MIN(budget->left, burst);
    budget->refilled_ms = now_ms;
}

bool
command_budget_allows_deferrable(const struct command_budget *budget,
                                 double per_s)
{
    return budget->left >=
           1 + per_s * BURST_FRACTION * RESERVED_BURST_FRACTION;
}
