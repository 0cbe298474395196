/* Status code and message of an operation. */
#ifndef COMMON_STATUS_H
#define COMMON_STATUS_H

#include <stdbool.h>

enum {
    STATUS_MESSAGE_BYTES = 256
};

/**
 * enum status_code - result of an operation
 * @STATUS_OK: done
 * @STATUS_INVALID: the input is malformed
 * @STATUS_NOT_FOUND: no such object
 * @STATUS_CONFLICT: a concurrent change won; read again
 * @STATUS_DENIED: authentication or authorization failed
 * @STATUS_UNAVAILABLE: the other side definitely did not carry out the request
 * @STATUS_UNKNOWN: the other side may or may not have carried out the request
 * @STATUS_TOO_LARGE: a size limit was exceeded
 * @STATUS_INTERNAL: a bug or a failed system call
 */
enum status_code {
    STATUS_OK,
    STATUS_INVALID,
    STATUS_NOT_FOUND,
    STATUS_CONFLICT,
    STATUS_DENIED,
    STATUS_UNAVAILABLE,
    STATUS_UNKNOWN,
    STATUS_TOO_LARGE,
    STATUS_INTERNAL,
};

/**
 * struct status - code and message of the last operation
 * @code: what happened
 * @message: one line for an operator; empty when @code is STATUS_OK. One that
 *           doesn't fit ends in "[...]".
 */
struct status {
    enum status_code code;
    char message[STATUS_MESSAGE_BYTES];
};

/** status_set() - store a code and a printf-style message; returns @code. */
enum status_code
status_set(struct status *status, enum status_code code, const char *format,
           ...) __attribute__((format(printf, 3, 4)));

/** status_clear() - reset to STATUS_OK with an empty message. */
void
status_clear(struct status *status);

/** status_ok() - whether @status holds STATUS_OK. */
bool
status_ok(const struct status *status);

/** status_code_name() - stable lower-case name of @code, for logs. */
const char *
status_code_name(enum status_code code);

#endif
