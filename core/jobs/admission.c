/*
 * Load pattern: more work arrives for minutes than a pool, with the hosts that
 * can still be moved to it, gets done. Jobs that are accepted all the same
 * wait until their result is of no use. A peak of some seconds is no such
 * load: its jobs are done late, but in a time that is of use.
 */
#include "core/jobs/admission.h"

#include <glib.h>

enum {
    /* A result later than this many objectives is of no use to its caller. */
    USEFUL_OBJECTIVES = 3,
    RETRY_AFTER_MIN_MS = 1000,
    RETRY_AFTER_MAX_MS = 30000,
    WAIT_MAX_MS = 3600000,
};

/* Declared run times are rough, so only a clear excess is refused. */
static const double EXCESS_FACTOR = 1.25;

int64_t
admission_wait_ms(const struct admission_input *input)
{
    if (input->backlog_millicore_ms <= 0) {
        return 0;
    }
    double wait_ms = input->backlog_millicore_ms / MAX(input->rate_milli, 1);
    return (int64_t)MIN(wait_ms, WAIT_MAX_MS);
}

int64_t
admission_retry_after_ms(const struct admission_input *input)
{
    int64_t useful_ms = input->objective_ms * USEFUL_OBJECTIVES;
    int64_t finish_ms = admission_wait_ms(input) + input->critical_path_ms;
    if ((double)finish_ms <= (double)useful_ms * EXCESS_FACTOR) {
        return 0;
    }
    /* By then the backlog is one that it could finish behind in time. */
    return CLAMP(finish_ms - useful_ms, RETRY_AFTER_MIN_MS,
                 RETRY_AFTER_MAX_MS);
}
