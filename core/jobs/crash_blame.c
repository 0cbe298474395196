/*
 * A poison task crashes each backend server that starts it, and the runs
 * beside it are lost as well. Whoever is packed beside it again dies with it
 * again. So only runs that had just started are suspects. A suspect starts
 * alone, and a second crash under it is proof. Outages and cuts look alike
 * until the backend server is back as a new incarnation; only that counts as a
 * crash.
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

bool
crash_isolated(const struct crash_record *record)
{
    return record->suspect || record->crashes >= CRASHES_MAX;
}

int64_t
crash_isolation_ms(const struct crash_record *record)
{
    return record->crashes >= CRASHES_MAX ? LATE_MAX_MS : FRESH_MAX_MS;
}

bool
crash_record_crash(struct crash_record *record, enum crash_role role,
                   bool alone)
{
    record->crashes++;
    record->suspect = record->suspect || role == CRASH_FRESH;
    uint32_t most = role == CRASH_FRESH ? CRASHES_MAX : LATE_CRASHES_MAX;
    return alone && record->crashes >= most;
}

bool
crash_proof_matters(const struct crash_record *record, bool service)
{
    uint32_t most = service ? SERVICE_CRASHES_MAX : CRASHES_MAX;
    return record->crashes + 1 >= most;
}

void
crash_record_clear(struct crash_record *record, bool proved)
{
    record->suspect = false;
    if (proved && record->crashes < CRASHES_MAX) {
        record->crashes = 0;
    }
}

int64_t
crash_service_backoff_ms(const struct crash_record *record)
{
    if (record->crashes < SERVICE_CRASHES_MAX) {
        return 0;
    }
    uint32_t quadruplings = record->crashes - SERVICE_CRASHES_MAX;
    return (int64_t)SERVICE_BACKOFF_MS
           << 2 * MIN(quadruplings,
                      (uint32_t)SERVICE_BACKOFF_QUADRUPLINGS_MAX);
}
