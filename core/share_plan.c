/* Water filling: claims are satisfied in the order in which a common level of
 * slots per weight reaches them. */
#include "core/share_plan.h"

#include <stdlib.h>

static double
usable_slots(const struct share_claim *claim)
{
    return claim->demand < claim->limit ? claim->demand : claim->limit;
}

/* Orders claims by the slots per weight at which they are satisfied. */
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
allocate(struct share_claim *claims, size_t n_claims, double slots)
{
    double weight = total_weight(claims, n_claims);
    for (size_t i = 0; i < n_claims; i++) {
        struct share_claim *claim = &claims[i];
        double due = weight > 0 ? slots * claim->weight / weight : 0;
        claim->allocated =
            usable_slots(claim) < due ? usable_slots(claim) : due;
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
        double share = claim->allocated + slots * claim->weight / weight;
        claim->allocated = share < claim->limit ? share : claim->limit;
    }
}

void
share_plan(struct share_claim *claims, size_t n_claims, double slots)
{
    if (n_claims == 0) {
        return;
    }
    for (size_t i = 0; i < n_claims; i++) {
        claims[i].fill_level = usable_slots(&claims[i]) / claims[i].weight;
    }
    qsort(claims, n_claims, sizeof(claims[0]), compare_level);
    double left = allocate(claims, n_claims, slots);
    if (left > 1e-9) {
        add_headroom(claims, n_claims, left);
    }
}
