/* Names of outcomes and reasons, as sent to callers. */
#include "core/outcome.h"

const char *
outcome_name(enum outcome outcome)
{
    static const char *const names[] = {
        [OUTCOME_DONE] = "done",
        [OUTCOME_NOT_RUN] = "not-run",
        [OUTCOME_UNKNOWN] = "unknown",
    };
    return names[outcome];
}

const char *
reason_name(enum reason reason)
{
    static const char *const names[REASON_COUNT] = {
        [REASON_NONE] = "none",
        [REASON_UNKNOWN_QUEUE] = "unknown-queue",
        [REASON_UNKNOWN_TEAM] = "unknown-team",
        [REASON_KEY_MISSING] = "key-missing",
        [REASON_KEY_REFUSED] = "key-refused",
        [REASON_KEY_EXPIRED] = "key-expired",
        [REASON_QUEUE_FULL] = "queue-full",
        [REASON_DEADLINE] = "deadline",
        [REASON_TEAM_LIMIT] = "team-limit",
        [REASON_NO_CAPACITY] = "no-capacity",
        [REASON_NO_HOST] = "no-host",
        [REASON_DC_OUT_OF_SERVICE] = "dc-out",
        [REASON_NO_QUORUM_LEASE] = "no-standing",
        [REASON_NEVER_RUNS] = "never-runs",
        [REASON_RETRY_BUDGET] = "retry-budget",
        [REASON_CANCELLED] = "cancelled",
        [REASON_SHUTDOWN] = "shutdown",
        [REASON_OVERLOAD] = "overload",
        [REASON_BACKEND_LOST] = "backend-lost",
        [REASON_BACKEND_REFUSED] = "backend-refused",
        [REASON_ANSWER_TRUNCATED] = "answer-truncated",
        [REASON_TIMEOUT] = "timeout",
        [REASON_ID_OWNER_GONE] = "id-owner-gone",
        [REASON_ID_CONFLICT] = "id-conflict",
        [REASON_ANSWER_NOT_KEPT] = "answer-not-kept",
        [REASON_BAD_REQUEST] = "bad-request",
        [REASON_BODY_TOO_LARGE] = "body-too-large",
    };
    return names[reason];
}
