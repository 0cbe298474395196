/* Weighted max-min fair division of slots. */
#ifndef CORE_SHARE_PLAN_H
#define CORE_SHARE_PLAN_H

#include <stddef.h>

/**
 * struct share_claim - one claimant
 * @weight: part it is due when all want more than there is
 * @demand: slots it could use now
 * @limit: most slots it may have
 * @fill_level: used by the division
 * @allocated: result, in slots
 * @owner: not used by the division
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
 * What a claimant can't use goes to the others by weight. Slots that nobody
 * wants are added as headroom by weight, up to the limits. Sorts @claims;
 * O(n log n).
 */
void
share_plan(struct share_claim *claims, size_t n_claims, double slots);

#endif
