/*
 * Pace at which the changes of backend servers' entries are read. At a peak of
 * a large fleet the answers take long, and changes pile up in the store: an
 * entry that says that its backend server is draining waits behind them, and
 * tasks go on starting there.
 */
#ifndef CORE_JOBS_ENTRY_WATCH_H
#define CORE_JOBS_ENTRY_WATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct entry_watch - how far the changes that were read are behind
 * @writes: struct entry_watch_write, oldest first; those of this process that
 *          are newer than the changes that were read
 * @full: the last answer held as many changes as one can
 */
struct entry_watch {
    GArray *writes;
    bool full;
};

/** struct entry_watch_write - a write that was stored at @revision */
struct entry_watch_write {
    int64_t revision;
    int64_t at_ms;
};

void
entry_watch_init(struct entry_watch *watch);
void
entry_watch_clear(struct entry_watch *watch);

/** entry_watch_written() - a write of this process was answered at @now_ms. */
void
entry_watch_written(struct entry_watch *watch, int64_t revision,
                    int64_t now_ms);

/** entry_watch_answered() - an answer with @n_changes has been applied, after
 * which the entries are as of revision @as_of. */
void
entry_watch_answered(struct entry_watch *watch, int64_t as_of,
                     size_t n_changes);

/**
 * entry_watch_unread_since_ms() - since when changes have been waiting unread
 *
 * Returns: a time at which the store was already ahead of what was read, on
 * the clock of entry_watch_written(); 0: nothing is known to be waiting. The
 * revisions of this process's own writes show it. An answer that isn't full
 * has all that there was.
 */
int64_t
entry_watch_unread_since_ms(const struct entry_watch *watch);

/** entry_watch_gap_ms() - how long to wait for further changes after an answer
 * with @n_changes of them; 0 if more than it holds may be waiting. */
int64_t
entry_watch_gap_ms(size_t n_changes);

#endif
