/* Which task a backend server's crash is laid to, and when a task that crashes
 * them is given up. */
#ifndef CORE_JOBS_CRASH_BLAME_H
#define CORE_JOBS_CRASH_BLAME_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Two crashes suffice to give a task up. */
    CRASHES_MAX = 2,
    /* Crashes of long-running runs say less, so one more is required. */
    LATE_CRASHES_MAX = 3,
    /* Limit of starts of a service task after which they back off. */
    SERVICE_CRASHES_MAX = 3,
};

/**
 * struct crash_record - what crashes say about a task; stored
 * @suspect: a backend server was lost just after it had started there; it is
 *           isolated at its next start
 * @crashes: crashes of backend servers that it may have caused
 */
struct crash_record {
    bool suspect;
    uint32_t crashes;
};

/**
 * enum crash_role - a run's part in the loss of its backend server
 * @CRASH_BYSTANDER: it had worked for too long to be the cause
 * @CRASH_LATE: it may be the cause if no other run had just started
 * @CRASH_FRESH: it had just started, as far as is known
 */
enum crash_role {
    CRASH_BYSTANDER,
    CRASH_LATE,
    CRASH_FRESH,
};

/**
 * crash_role_of() - part of a run in the loss of its backend server
 * @age_ms: time for which the run is known to have worked, on the clock of its
 *          backend server
 */
enum crash_role
crash_role_of(int64_t age_ms);

/**
 * crash_isolated() - whether the task starts alone.
 */
bool
crash_isolated(const struct crash_record *record);

/**
 * crash_isolation_ms() - time for which a run has to work before others may
 * start beside it.
 */
int64_t
crash_isolation_ms(const struct crash_record *record);

/**
 * crash_record_crash() - count a crash that certainly took place
 * @role: part of the task's run in it, not CRASH_BYSTANDER
 * @alone: no other run may be the cause
 *
 * Return: whether the task is the cause, so that it is to be given up.
 */
bool
crash_record_crash(struct crash_record *record, enum crash_role role,
                   bool alone);

/**
 * crash_proof_matters() - whether one more crash would have the task given up,
 * or would have the next start of a service task back off.
 */
bool
crash_proof_matters(const struct crash_record *record, bool service);

/**
 * crash_record_clear() - the task may start beside others again
 * @proved: it hasn't caused the crash that made it a suspect
 */
void
crash_record_clear(struct crash_record *record, bool proved);

/**
 * crash_service_backoff_ms() - delay before a service task that crashes
 * backend servers starts again.
 */
int64_t
crash_service_backoff_ms(const struct crash_record *record);

#endif
