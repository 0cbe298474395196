/* Which task a backend server's crash is laid to, and when a task that crashes
 * them is given up. */
#ifndef CORE_JOBS_CRASH_BLAME_H
#define CORE_JOBS_CRASH_BLAME_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Two crashes suffice to give a task up. */
    CRASHES_MAX = 2,
    /* Crashes long after a start, beside others that had just started, or
     * after a start that may not have been sent say less. One more is
     * required; two starts more are allowed after a third crash. */
    SHARED_CRASHES_MAX = 3,
    /* Limit of starts of a service task after which they back off. */
    SERVICE_CRASHES_MAX = 3,
};

/**
 * struct crash_record - what crashes say about a task; stored
 * @suspect: a backend server was lost just after it had started there; it is
 *           isolated at its next start
 * @crashes: crashes of backend servers that it may have caused
 * @alone: crashes that followed its start and that no other run may have
 *         caused, also those after a start that may not have been sent, which
 *         aren't among @crashes
 */
struct crash_record {
    bool suspect;
    uint32_t crashes;
    uint32_t alone;
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
 * @unexplained: backend servers have crashed by themselves a moment ago, so
 *               that one more crash is required
 *
 * Return: whether the task is the cause, so that it is to be given up.
 */
bool
crash_record_crash(struct crash_record *record, enum crash_role role,
                   bool alone, bool unexplained);

/**
 * crash_record_inherited() - count a crash where a previous leader was about
 * to start the task alone, or had
 *
 * Return: whether the task is the cause, so that it is to be given up.
 */
bool
crash_record_inherited(struct crash_record *record);

/**
 * crash_proof_matters() - whether one more crash would have the task given up,
 * or would have the next start of a service task back off.
 */
bool
crash_proof_matters(const struct crash_record *record, bool service);

/**
 * crash_record_other() - another task has most likely caused the crash that
 * made this one a suspect
 * @proved: it certainly has
 */
void
crash_record_other(struct crash_record *record, bool proved);

/**
 * crash_record_worked() - the task has worked alone for
 * crash_isolation_ms().
 */
void
crash_record_worked(struct crash_record *record);

/**
 * crash_may_join() - whether a suspect that has waited for a backend server to
 * itself may start beside others after all.
 */
bool
crash_may_join(const struct crash_record *record, int64_t waits_ms);

/**
 * crash_service_backoff_ms() - delay before a service task that crashes
 * backend servers starts again.
 */
int64_t
crash_service_backoff_ms(const struct crash_record *record);

#endif
