#include "core/share_plan.h"

#include <stdlib.h>

static double
wanted(const struct share_claim *claim)
{
    return claim->demand < claim->limit ? claim->demand : claim->limit;
}

/* Who is satisfied first when all are filled by weight comes first. */
static int
compare_level(const void *a, const void *b)
{
    const struct share_claim *x = a;
    const struct share_claim *y = b;
    return (x->fill_level > y->fill_level) - (x->fill_level < y->fill_level);
}

static double
total_weight(const struct share_claim *claims, size_t n_claims)
{
    double weight = 0;
    for (size_t i = 0; i < n_claims; i++) {
        weight += claims[i].weight;
    }
    return weight;
}

static double
fill(struct share_claim *claims, size_t n_claims, double slots)
{
    double weight = total_weight(claims, n_claims);
    for (size_t i = 0; i < n_claims; i++) {
        struct share_claim *claim = &claims[i];
        double due = weight > 0 ? slots * claim->weight / weight : 0;
        claim->allocated = wanted(claim) < due ? wanted(claim) : due;
        slots -= claim->allocated;
        weight -= claim->weight;
    }
    return slots;
}

static void
add_headroom(struct share_claim *claims, size_t n_claims, double slots)
{
    double weight = total_weight(claims, n_claims);
    for (size_t i = 0; i < n_claims && weight > 0; i++) {
        struct share_claim *claim = &claims[i];
        double given = claim->allocated + slots * claim->weight / weight;
        claim->allocated = given < claim->limit ? given : claim->limit;
    }
}

void
share_plan(struct share_claim *claims, size_t n_claims, double slots)
{
    if (n_claims == 0) {
        return;
    }
    for (size_t i = 0; i < n_claims; i++) {
        claims[i].fill_level = wanted(&claims[i]) / claims[i].weight;
    }
    qsort(claims, n_claims, sizeof(claims[0]), compare_level);
    double left = fill(claims, n_claims, slots);
    if (left > 1e-9) {
        add_headroom(claims, n_claims, left);
    }
}
