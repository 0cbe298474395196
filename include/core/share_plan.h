/* Weighted max-min fair division of slots. */
#ifndef CORE_SHARE_PLAN_H
#define CORE_SHARE_PLAN_H

#include <stddef.h>

/**
 * struct share_claim - one claimant
 * @weight: relative share when the demand exceeds the slots
 * @demand: slots it could use now
 * @limit: maximum number of slots
 * @fill_level: slots per weight that satisfy it; set by share_plan()
 * @allocated: slots it gets; set by share_plan()
 * @owner: for the caller, not used by share_plan()
 */
struct share_claim {
    double weight;
    double demand;
    double limit;
    double fill_level;
    double allocated;
    void *owner;
};

/**
 * share_plan() - divide @slots among @claims
 *
 * Slots that a claimant can't use go to the others by weight. Slots beyond the
 * whole demand are added as headroom by weight, up to the limits. Sorts
 * @claims; O(n log n).
 */
void
share_plan(struct share_claim *claims, size_t n_claims, double slots);

#endif
