/* Quantiles and mean of recently observed run times. */
#ifndef CORE_ESTIMATE_H
#define CORE_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

enum {
    ESTIMATE_BUCKETS = 64,
};

/**
 * struct estimate - decaying histogram; each bucket is 25 % wider than the one
 * before
 *
 * A single outlier hardly changes the quantiles, and old values lose weight as
 * new ones are added. All zero is a valid empty estimate.
 */
struct estimate {
    float counts[ESTIMATE_BUCKETS];
    float total;
    double sum_ms;
};

/** estimate_add() - add an observed run of @run_ms. */
void
estimate_add(struct estimate *estimate, int64_t run_ms);

/** estimate_ready() - whether there are enough observations to rely on. */
bool
estimate_ready(const struct estimate *estimate);

/** estimate_quantile_ms() - run time below which a fraction @quantile (0 to 1)
 * of the runs stays; 0 without observations. */
int64_t
estimate_quantile_ms(const struct estimate *estimate, double quantile);

/** estimate_mean_ms() - mean run time; 0 without observations. */
double
estimate_mean_ms(const struct estimate *estimate);

#endif
