/*
 * A poison task crashes each backend server that starts it, and the runs
 * beside it are lost as well. Only runs that had just started are suspects.
 * Suspects start alone, since packing would place the same tasks beside each
 * other again, and a second crash under one that is alone is proof. Outages
 * and cuts look the same until the backend server is back as a new
 * incarnation, so only that counts as a crash. While backend servers also
 * crash without such runs, one that crashes just after a start may do so by
 * chance, so that takes one crash more.
 */
#include "core/jobs/crash_blame.h"

#include <glib.h>

enum {
    /* A crash at the start comes well before this; a run report this much
     * later shows that the task doesn't cause one. */
    FRESH_MAX_MS = 100,
    /* Longer than the lease, so that a crash after the start of the task shows
     * as such while it is isolated. */
    LATE_MAX_MS = 3500,
    /* A suspicion alone must not keep a task from running for as long as a
     * crash does. */
    JOIN_AFTER_MS = 3000,
    /* More than the time in which a crashed backend server is back, so that a
     * pool isn't short of one all the time. */
    SERVICE_BACKOFF_MS = 15000,
    SERVICE_BACKOFF_QUADRUPLINGS_MAX = 3,
};

enum crash_role
crash_role_of(int64_t age_ms)
{
    if (age_ms < FRESH_MAX_MS) {
        return CRASH_FRESH;
    }
    return age_ms < LATE_MAX_MS ? CRASH_LATE : CRASH_BYSTANDER;
}

/* A crash after a start that may not have been sent counts among those alone
 * only. */
static uint32_t
likely_crashes(const struct crash_record *record)
{
    return MAX(record->crashes, record->alone);
}

bool
crash_isolated(const struct crash_record *record)
{
    return record->suspect || record->alone > 0 ||
           record->crashes >= CRASHES_MAX;
}

int64_t
crash_isolation_ms(const struct crash_record *record)
{
    return record->crashes >= CRASHES_MAX ? LATE_MAX_MS : FRESH_MAX_MS;
}

bool
crash_record_crash(struct crash_record *record, enum crash_role role,
                   bool alone, bool unexplained)
{
    record->crashes++;
    record->alone += alone && role == CRASH_FRESH;
    record->suspect = record->suspect || role == CRASH_FRESH;
    if (role == CRASH_FRESH && alone) {
        return record->crashes >=
                   (unexplained ? SHARED_CRASHES_MAX : CRASHES_MAX) ||
               record->alone >= SHARED_CRASHES_MAX;
    }
    return (role == CRASH_FRESH || alone) &&
           record->crashes >= SHARED_CRASHES_MAX;
}

bool
crash_record_inherited(struct crash_record *record)
{
    record->alone++;
    return record->alone >= SHARED_CRASHES_MAX;
}

bool
crash_proof_matters(const struct crash_record *record, bool service)
{
    uint32_t most = service ? SERVICE_CRASHES_MAX : CRASHES_MAX;
    return likely_crashes(record) + 1 >= most;
}

void
crash_record_other(struct crash_record *record, bool proved)
{
    if (record->alone > 0) {
        return;
    }
    record->suspect = false;
    if (proved) {
        record->crashes = 0;
    }
}

void
crash_record_worked(struct crash_record *record)
{
    *record = (struct crash_record){0};
}

bool
crash_may_join(const struct crash_record *record, int64_t waits_ms)
{
    return record->alone == 0 && record->crashes < CRASHES_MAX &&
           waits_ms >= JOIN_AFTER_MS;
}

int64_t
crash_service_backoff_ms(const struct crash_record *record)
{
    uint32_t crashes = likely_crashes(record);
    if (crashes < SERVICE_CRASHES_MAX) {
        return 0;
    }
    uint32_t quadruplings = crashes - SERVICE_CRASHES_MAX;
    return (int64_t)SERVICE_BACKOFF_MS
           << 2 * MIN(quadruplings,
                      (uint32_t)SERVICE_BACKOFF_QUADRUPLINGS_MAX);
}
