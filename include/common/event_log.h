/* Structured event log on standard output: one JSON line per event, with
 * limited line rates; never blocks. */
#ifndef COMMON_EVENT_LOG_H
#define COMMON_EVENT_LOG_H

#include <stdint.h>

/** event_log_open() - start the log; @node identifies this process in every
 * line. */
void
event_log_open(const char *node);

/**
 * event_log() - write one line
 * @event: event name; the lines of each event are limited per second
 * @fields: printf format of further members, '"name":value' pairs, or "";
 *          text from outside the process must be passed through text_quote()
 *
 * The total of all events is limited too, not counting the first lines of
 * each event in a second. A line that exceeds a limit or finds the pipe full
 * is dropped and counted; a "log_dropped" line reports the count. None is cut
 * short: in place of a line that a pipe doesn't take whole, a "log_too_long"
 * line names the event and how many bytes it had.
 */
void
event_log(const char *event, const char *fields, ...)
    __attribute__((format(printf, 2, 3)));

#endif
