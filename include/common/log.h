/* Log lines of key=value pairs, written through log4c. */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdbool.h>

enum log_level {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARN,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG,
};

/** log_open() - start logging to standard error; call once. */
void
log_open(const char *program, enum log_level level);

/** log_close() - flush and release. */
void
log_close(void);

/** log_enabled() - whether lines of @level are written. */
bool
log_enabled(enum log_level level);

/**
 * log_line() - write one line of key=value pairs
 * @event: value of the first pair, "event=..."
 * @format: printf format of the further pairs; text from outside the process
 *          must be passed through log_quote()
 */
void
log_line(enum log_level level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/**
 * log_quote() - quote a value so that it stays one value in one line
 *
 * Returns: @text if it needs no quotes, else a quoted copy in one of a few
 * static buffers, which later calls reuse; bytes that are no printable ASCII
 * are written as \\xNN.
 */
const char *
log_quote(const char *text);

#endif
