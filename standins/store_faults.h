/* Faults that tests inject into the stand-in store. */
#ifndef STANDINS_STORE_FAULTS_H
#define STANDINS_STORE_FAULTS_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/findings.h"
#include "common/random.h"

/**
 * struct store_faults - faults injected now
 * @down: every call is answered with status 503
 * @drop: calls are accepted but never answered
 * @silence_watches: watches, including those already waiting, are never
 *                   answered
 * @lose_answers_percent: probability that a write takes effect, but its
 *                        connection is closed without a response
 * @delay_ms: delay before a call is executed
 * @lag_hosts_ms: delay before a change of the host list becomes visible
 */
struct store_faults {
    bool down;
    bool drop;
    bool silence_watches;
    uint32_t lose_answers_percent;
    int64_t delay_ms;
    int64_t lag_hosts_ms;
    struct random random;
};

/** store_faults_read() - set the faults that @root names and keep the others;
 * if a value is invalid, change nothing, add findings and return false. */
bool
store_faults_read(struct store_faults *faults, JsonNode *root,
                  struct findings *findings);

/** store_faults_drop_response() - decide at random whether the next write is
 * left without a response. */
bool
store_faults_drop_response(struct store_faults *faults);

#endif
