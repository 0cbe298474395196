/* Outcome of a task, and the reason for it. */
#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

/**
 * enum outcome - outcome of a task, as reported to the caller
 * @OUTCOME_DONE: it ran and the complete answer is passed on
 * @OUTCOME_NOT_RUN: it certainly did not run and never will
 * @OUTCOME_UNKNOWN: it may have run or may still run
 */
enum outcome {
    OUTCOME_DONE,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
};

/** enum reason - why a task was refused, delayed or lost. REASON_NEVER_RUNS:
 * it failed on too many hosts; REASON_ANSWER_NOT_KEPT: it ran earlier, but its
 * answer was not stored */
enum reason {
    REASON_NONE,
    REASON_UNKNOWN_QUEUE,
    REASON_UNKNOWN_TEAM,
    REASON_KEY_MISSING,
    REASON_KEY_REFUSED,
    REASON_KEY_EXPIRED,
    REASON_QUEUE_FULL,
    REASON_DEADLINE,
    REASON_TEAM_LIMIT,
    REASON_NO_CAPACITY,
    REASON_NO_HOST,
    REASON_DC_OUT_OF_SERVICE,
    REASON_NO_QUORUM_LEASE,
    REASON_NEVER_RUNS,
    REASON_RETRY_BUDGET,
    REASON_CANCELLED,
    REASON_SHUTDOWN,
    REASON_OVERLOAD,
    REASON_BACKEND_LOST,
    REASON_BACKEND_REFUSED,
    REASON_ANSWER_TRUNCATED,
    REASON_TIMEOUT,
    REASON_ID_OWNER_GONE,
    REASON_ID_CONFLICT,
    REASON_ANSWER_NOT_KEPT,
    REASON_BAD_REQUEST,
    REASON_BODY_TOO_LARGE,
    REASON_COUNT,
};

/** outcome_name() - "done", "not-run" or "unknown". */
const char *
outcome_name(enum outcome outcome);

/** reason_name() - stable lower-case name, part of the protocol. */
const char *
reason_name(enum reason reason);

#endif
