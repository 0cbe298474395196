/* Whether a new job can still be served in a time that is of use. */
#ifndef CORE_JOBS_ADMISSION_H
#define CORE_JOBS_ADMISSION_H

#include <stdint.h>

/**
 * struct admission_input - what the decision is made from
 * @backlog_millicore_ms: declared work of the jobs before it, in thousandths
 * of a core times ms
 * @rate_milli: thousandths of a core that work on it
 * @critical_path_ms: declared run time of its longest chain of steps
 * @objective_ms: time in which it is to finish
 */
struct admission_input {
    double backlog_millicore_ms;
    double rate_milli;
    int64_t critical_path_ms;
    int64_t objective_ms;
};

/** admission_wait_ms() - expected wait until it starts. */
int64_t
admission_wait_ms(const struct admission_input *input);

/**
 * admission_retry_after_ms() - 0: accept; otherwise the job is known to finish
 * too late to be of use, and its caller should return after this time.
 */
int64_t
admission_retry_after_ms(const struct admission_input *input);

#endif
