/* Histogram with exponentially growing buckets. */
#include "core/estimate.h"

#include <math.h>

enum {
    READY_RUNS_MIN = 8,
    /* At this many observations the counts are halved, so that old ones
     * fade. */
    DECAY_RUNS = 512,
};

static const double BUCKET_GROWTH = 1.25;

static int
bucket_of(int64_t run_ms)
{
    if (run_ms <= 1) {
        return 0;
    }
    int bucket = (int)(log((double)run_ms) / log(BUCKET_GROWTH));
    return bucket < ESTIMATE_BUCKETS ? bucket : ESTIMATE_BUCKETS - 1;
}

static double
bucket_middle_ms(int bucket)
{
    return pow(BUCKET_GROWTH, bucket + 0.5);
}

static void
decay(struct estimate *estimate)
{
    estimate->total = 0;
    estimate->sum_ms /= 2;
    for (int i = 0; i < ESTIMATE_BUCKETS; i++) {
        estimate->counts[i] /= 2;
        estimate->total += estimate->counts[i];
    }
}

void
estimate_add(struct estimate *estimate, int64_t run_ms)
{
    estimate->counts[bucket_of(run_ms)] += 1;
    estimate->total += 1;
    estimate->sum_ms += (double)run_ms;
    if (estimate->total >= DECAY_RUNS) {
        decay(estimate);
    }
}

bool
estimate_ready(const struct estimate *estimate)
{
    return estimate->total >= READY_RUNS_MIN;
}

int64_t
estimate_quantile_ms(const struct estimate *estimate, double quantile)
{
    double left = quantile * estimate->total;
    for (int i = 0; i < ESTIMATE_BUCKETS && estimate->total > 0; i++) {
        left -= estimate->counts[i];
        if (left <= 0) {
            return (int64_t)bucket_middle_ms(i);
        }
    }
    return 0;
}

double
estimate_mean_ms(const struct estimate *estimate)
{
    return estimate->total > 0 ? estimate->sum_ms / estimate->total : 0;
}
