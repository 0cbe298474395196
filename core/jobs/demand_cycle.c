/*
 * Load pattern: queues peak one after the other, each at several times its
 * average for some seconds, and again after about the same time. A host takes
 * longer to move than the first jobs of a peak may wait, so those are late
 * unless the hosts are there before the peak.
 */
#include "core/jobs/demand_cycle.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

enum {
    /* Time constant of the average; longer than the time between two peaks. */
    MEAN_TAU_MS = 20000,
    /* A pool of a few hosts grows fast enough without a forecast. */
    PEAK_HOSTS_MIN = 4,
    /* A second rise within this time belongs to the same peak. */
    PERIOD_MIN_MS = 6000,
    PERIOD_MAX_MS = 600000,
    /* A peak may be this much later than expected, and at most by a tenth of
     * the period. Hosts that wait longer cost more than late jobs. */
    LATE_MAX_MS = 2000,
    LATE_FRACTION = 10,
    /* Peaks in a row that were expected and did not come; then none is
     * expected until the next one. */
    MISSED_MAX = 1,
    INTERVALS_MAX = 256,
};

/* A peak begins above this multiple of the average, and ends below the
 * average. */
static const double PEAK_FACTOR = 2;
/* Fraction of the last peak's hosts that are moved ahead. The rest follows
 * when the peak has begun, since no two peaks are alike. */
static const double AHEAD_FRACTION = 0.7;
/* An interval between two peaks that differs more from the median contradicts
 * it. */
static const double INTERVAL_TOLERANCE = 0.15;

static void
remember_start(struct demand_cycle *cycle, int64_t now_ms)
{
    for (uint32_t i = DEMAND_STARTS_KEPT - 1; i > 0; i--) {
        cycle->starts_ms[i] = cycle->starts_ms[i - 1];
    }
    cycle->starts_ms[0] = now_ms;
    cycle->n_starts = MIN(cycle->n_starts + 1, (uint32_t)DEMAND_STARTS_KEPT);
}

bool
demand_cycle_observe(struct demand_cycle *cycle, int64_t hosts, int64_t now_ms)
{
    if (cycle->observed_ms != 0) {
        double kept =
            exp(-(double)(now_ms - cycle->observed_ms) / MEAN_TAU_MS);
        cycle->mean_hosts =
            cycle->mean_hosts * kept + (double)hosts * (1 - kept);
    }
    cycle->observed_ms = now_ms;
    if (cycle->peaking) {
        cycle->peak_hosts = MAX(cycle->peak_hosts, hosts);
        cycle->peaking = (double)hosts >= cycle->mean_hosts;
        return false;
    }
    if ((double)hosts <= PEAK_FACTOR * cycle->mean_hosts + PEAK_HOSTS_MIN) {
        return false;
    }
    cycle->peaking = true;
    if (cycle->n_starts > 0 && now_ms - cycle->starts_ms[0] < PERIOD_MIN_MS) {
        return false;
    }
    cycle->peak_hosts = hosts;
    remember_start(cycle, now_ms);
    return true;
}

static int
compare_intervals(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return left < right ? -1 : left > right;
}

int64_t
demand_period_ms(const struct demand_cycle *const *cycles, size_t n_cycles)
{
    int64_t intervals[INTERVALS_MAX];
    size_t n = 0;
    for (size_t i = 0; i < n_cycles; i++) {
        const struct demand_cycle *cycle = cycles[i];
        for (uint32_t s = 1; s < cycle->n_starts && n < INTERVALS_MAX; s++) {
            intervals[n++] = cycle->starts_ms[s - 1] - cycle->starts_ms[s];
        }
    }
    if (n == 0) {
        return 0;
    }
    qsort(intervals, n, sizeof(intervals[0]), compare_intervals);
    int64_t median = intervals[n / 2];
    size_t contradicting = 0;
    for (size_t i = 0; i < n; i++) {
        if (fabs((double)(intervals[i] - median)) >
            INTERVAL_TOLERANCE * (double)median) {
            contradicting++;
        }
    }
    bool regular = contradicting * 4 <= n && median <= PERIOD_MAX_MS;
    return regular ? median : 0;
}

int64_t
demand_cycle_next_ms(const struct demand_cycle *cycle, int64_t period_ms,
                     int64_t now_ms)
{
    if (period_ms <= 0 || cycle->n_starts == 0) {
        return 0;
    }
    int64_t late_ms = MIN((int64_t)LATE_MAX_MS, period_ms / LATE_FRACTION);
    int64_t passed = (now_ms - late_ms - cycle->starts_ms[0]) / period_ms;
    int64_t missed = MAX(passed, 0);
    return missed > MISSED_MAX
               ? 0
               : cycle->starts_ms[0] + (missed + 1) * period_ms;
}

int64_t
demand_cycle_hosts_ahead(const struct demand_cycle *cycle, int64_t period_ms,
                         int64_t lead_ms, int64_t now_ms)
{
    int64_t next_ms = demand_cycle_next_ms(cycle, period_ms, now_ms);
    if (next_ms == 0 || cycle->peaking || now_ms < next_ms - lead_ms) {
        return 0;
    }
    return (int64_t)(AHEAD_FRACTION * (double)cycle->peak_hosts);
}
