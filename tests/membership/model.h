/* Simulates five gateways that share one team limit under random faults. */
#ifndef TESTS_MEMBERSHIP_MODEL_H
#define TESTS_MEMBERSHIP_MODEL_H

#include <stdint.h>

/**
 * enum model_mutation - safety mechanisms that a run switches off
 * @MODEL_MUTATION_NO_WAIT, @MODEL_MUTATION_ANY_EPOCH,
 * @MODEL_MUTATION_NO_MAJORITY: the same bits as in enum members_mutation
 * @MODEL_MUTATION_NO_LEASE_CHECK: start tasks while registered, even without a
 *     quorum lease
 * @MODEL_MUTATION_HOLDING_AS_STORED: use the holding in the last record read,
 *     also while a write that lowers it is under way
 * @MODEL_MUTATION_RENEWAL_KEPT: go on as if the renewal record of a fenced
 *     gateway were deleted, without deleting it
 * @MODEL_MUTATION_STALE_LIMIT: start tasks after a pause without reading the
 *     newest limit first
 */
enum model_mutation {
    MODEL_MUTATION_NONE = 0,
    MODEL_MUTATION_NO_WAIT = 1 << 0,
    MODEL_MUTATION_ANY_EPOCH = 1 << 1,
    MODEL_MUTATION_NO_MAJORITY = 1 << 2,
    MODEL_MUTATION_NO_LEASE_CHECK = 1 << 3,
    MODEL_MUTATION_HOLDING_AS_STORED = 1 << 4,
    MODEL_MUTATION_RENEWAL_KEPT = 1 << 5,
    MODEL_MUTATION_STALE_LIMIT = 1 << 6,
};

/**
 * struct model_result - counts of one schedule
 * @violations: starts that took the team over its limit
 * @starts: all starts
 * @outage_starts: starts while no gateway reached the store
 * @late_outage_starts: of these, those more than two quorum lease durations
 *                      after the start of the outage
 * @joins: proposals to register
 * @reclaims: proposals to remove a gateway whose permits were all moved
 */
struct model_result {
    uint32_t violations;
    uint32_t starts;
    uint32_t outage_starts;
    uint32_t late_outage_starts;
    uint32_t reclaims;
    uint32_t joins;
};

/** model_run() - run one schedule; the same seed gives the same run. */
struct model_result
model_run(uint64_t seed, unsigned mutations);

#endif
