/*
 * Pace at which the changes of backend servers' entries are read. At a peak of
 * a large fleet the answers take long, and changes pile up in the store: an
 * entry that says that its backend server is draining waits behind them, and
 * tasks go on starting there.
 */
#ifndef CORE_JOBS_ENTRY_WATCH_H
#define CORE_JOBS_ENTRY_WATCH_H

#include <stddef.h>
#include <stdint.h>

/** entry_watch_gap_ms() - how long to wait for further changes after an answer
 * with @n_changes of them; 0 if more than it holds may be waiting. */
int64_t
entry_watch_gap_ms(size_t n_changes);

#endif
