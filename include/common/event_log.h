/* One JSON line per decision on standard output; bounded, never blocks. */
#ifndef COMMON_EVENT_LOG_H
#define COMMON_EVENT_LOG_H

#include <stdint.h>

/** event_log_open() - @node names this process in every line. */
void
event_log_open(const char *node);

/**
 * event_log() - write one line
 * @event: kind of line; each kind has a budget of lines a second
 * @fields: printf format of further members, '"name":value' pairs, or ""
 *
 * All kinds together have a budget as well, beyond the first lines of each.
 * What passes a budget or finds the pipe full is dropped and counted; a
 * line "log_dropped" tells the count.
 */
void
event_log(const char *event, const char *fields, ...)
    __attribute__((format(printf, 2, 3)));

#endif
