/*
 * Seeded model of schedulers, backend servers, the store and the messages
 * between them. Drives the real scheduler; messages get lost, come late and
 * overtake each other, holders lose the store and are replaced.
 */
#ifndef TESTS_JOBS_MODEL_H
#define TESTS_JOBS_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum model_mutation - one mechanism taken away
 * @MUTATION_NO_FENCE: backend servers take orders of any holder
 * @MUTATION_NO_REPORT_WAIT: a new holder trusts what it does not see
 * @MUTATION_NO_REGISTRATION: a new holder isn't told which backend servers
 * were used
 * @MUTATION_NO_STOP_WAIT: a new holder does not wait for stops of the one
 * before
 * @MUTATION_ACK_UNSTORED: ends are acknowledged before they are stored
 * @MUTATION_NO_LEASE_EXPIRY: leases never end at backend servers
 */
enum model_mutation {
    MUTATION_NONE,
    MUTATION_NO_FENCE,
    MUTATION_NO_REPORT_WAIT,
    MUTATION_NO_REGISTRATION,
    MUTATION_NO_STOP_WAIT,
    MUTATION_ACK_UNSTORED,
    MUTATION_NO_LEASE_EXPIRY,
    MUTATIONS,
};

/**
 * struct model_result - what a schedule showed
 * @violation: a promise that was broken, or NULL; static text
 * @starts: runs that backend servers began
 * @takeovers: changes of the holder
 * @completed: jobs shown as completed
 * @unfinished: jobs not finished although the fleet was calm at the end
 */
struct model_result {
    const char *violation;
    uint32_t starts;
    uint32_t takeovers;
    uint32_t completed;
    uint32_t unfinished;
};

/** model_run() - one schedule. */
struct model_result
model_run(uint32_t seed, enum model_mutation mutation);

/** model_mutation_name() - stable name for reports. */
const char *
model_mutation_name(enum model_mutation mutation);

#endif
