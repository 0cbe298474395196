/* Forecast of the next demand peak of a pool from the peaks before. */
#ifndef CORE_JOBS_DEMAND_CYCLE_H
#define CORE_JOBS_DEMAND_CYCLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    /* Starts of peaks that are remembered, for as many periods less one. */
    DEMAND_STARTS_KEPT = 5,
};

/**
 * struct demand_cycle - peaks of one pool
 * @mean_hosts: hosts that it needed, decaying average
 * @observed_ms: when that was last updated; 0: never
 * @peaking: its demand is at a peak
 * @starts_ms: when peaks began, the last one first
 * @n_starts: how many of these are known
 * @peak_hosts: hosts that the last peak needed at most
 */
struct demand_cycle {
    double mean_hosts;
    int64_t observed_ms;
    bool peaking;
    int64_t starts_ms[DEMAND_STARTS_KEPT];
    uint32_t n_starts;
    int64_t peak_hosts;
};

/** demand_cycle_observe() - the pool needs @hosts now; whether a peak begins.
 */
bool
demand_cycle_observe(struct demand_cycle *cycle, int64_t hosts,
                     int64_t now_ms);

/**
 * demand_period_ms() - time between peaks that pools with this demand have in
 * common; 0: none is known
 * @cycles: one for each pool
 */
int64_t
demand_period_ms(const struct demand_cycle *const *cycles, size_t n_cycles);

/**
 * demand_cycle_next_ms() - when the next peak is expected to begin, which may
 * be a little earlier than @now_ms; 0: not known
 */
int64_t
demand_cycle_next_ms(const struct demand_cycle *cycle, int64_t period_ms,
                     int64_t now_ms);

/**
 * demand_cycle_hosts_ahead() - hosts that the pool should have already, for
 * its next peak; 0: none
 * @lead_ms: time until a host that is requested now takes work
 */
int64_t
demand_cycle_hosts_ahead(const struct demand_cycle *cycle, int64_t period_ms,
                         int64_t lead_ms, int64_t now_ms);

#endif
