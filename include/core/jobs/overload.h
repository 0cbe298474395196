/* How late the leader is, and what it sheds because of that. */
#ifndef CORE_JOBS_OVERLOAD_H
#define CORE_JOBS_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum shed_level - what is shed; each level includes those before it
 * @SHED_HOST_MOVES: no host is moved between pools
 * @SHED_THROTTLING: no CPU limit is raised again; lowering goes on
 * @SHED_REPORTS: run reports are requested less often
 * @SHED_JOBS: new jobs are refused
 */
enum shed_level {
    SHED_NOTHING,
    SHED_HOST_MOVES,
    SHED_THROTTLING,
    SHED_REPORTS,
    SHED_JOBS,
};

/**
 * struct overload - what was seen in the current interval, and the decision
 * @level: what is shed
 * @window: start commands that may be without an answer at once
 * @in_flight: start commands without an answer
 * @most_in_flight: highest @in_flight of the interval
 * @answered: answers to start commands in the interval
 * @late: those that came late
 * @missed: start commands that got no answer in the interval
 * @worst_lag_ms: longest delay of the process's own loop in the interval
 * @renewal_late: a renewal of the leadership came late in the interval
 * @begin_ms: begin of the interval; 0: none yet
 * @calm_since_ms: end of the last interval in which something was late
 * @exhausted: nothing was left to shed while few start commands could be open,
 *             and it hasn't become much better since
 */
struct overload {
    enum shed_level level;
    uint32_t window;
    uint32_t in_flight;
    uint32_t most_in_flight;
    uint32_t answered;
    uint32_t late;
    uint32_t missed;
    int64_t worst_lag_ms;
    bool renewal_late;
    int64_t begin_ms;
    int64_t calm_since_ms;
    bool exhausted;
};

void
overload_init(struct overload *overload);

/** overload_sent() - a start command was handed over for sending. */
void
overload_sent(struct overload *overload);

/**
 * overload_answered() - a start command is no longer in flight
 * @delay_ms: time since it was handed over; < 0: it got no answer
 */
void
overload_answered(struct overload *overload, int64_t delay_ms);

/** overload_not_sent() - a start command was dropped before it was sent. */
void
overload_not_sent(struct overload *overload);

/** overload_loop_lag() - the process's own loop ran @lag_ms late. */
void
overload_loop_lag(struct overload *overload, int64_t lag_ms);

/** overload_renewal_delay() - a renewal of the leadership took @delay_ms. */
void
overload_renewal_delay(struct overload *overload, int64_t delay_ms);

/** overload_update() - decide at the end of an interval; true if the level has
 * changed. */
bool
overload_update(struct overload *overload, int64_t now_ms);

/** overload_exhausted() - whether this process is late although it sheds all
 * it can; another host would serve better unless the load is too much for any.
 */
bool
overload_exhausted(const struct overload *overload);

/** overload_may_start() - whether another start command may be sent. */
bool
overload_may_start(const struct overload *overload);

/** overload_report_gap_ms() - least time between two report requests to one
 * backend server. */
int64_t
overload_report_gap_ms(const struct overload *overload);

/**
 * overload_patience_ms() - how much longer than usual to wait for an answer:
 * on a full link an answer that is late is still on its way.
 */
int64_t
overload_patience_ms(const struct overload *overload);

/** overload_retry_after_ms() - when a refused caller should return. */
int64_t
overload_retry_after_ms(const struct overload *overload);

/** shed_level_name() - stable lower-case name of @level. */
const char *
shed_level_name(enum shed_level level);

#endif
