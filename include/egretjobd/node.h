/* One egretjobd process and its components. */
#ifndef EGRETJOBD_NODE_H
#define EGRETJOBD_NODE_H

#include <event2/event.h>
#include <stdbool.h>

#include "common/ms_clock.h"
#include "platform/job_settings.h"

struct config_feed;
struct leadership;
struct leader;
struct frontend;
struct peers;
struct acceptor;
struct job_queries;
struct store_route;

/**
 * struct node - state shared by all components
 * @clock: monotonic time that includes time suspended
 * @unix_clock: Unix time in ms
 * @leader: the scheduler with its connections while this process is the
 *          leader, else NULL
 */
struct node {
    struct event_base *base;
    const struct job_settings *settings;
    struct ms_clock clock;
    struct ms_clock unix_clock;
    struct store_route *store_route;
    struct config_feed *feed;
    struct leadership *leadership;
    struct leader *leader;
    struct acceptor *acceptor;
    struct job_queries *job_queries;
    struct peers *peers;
    struct frontend *frontend;
    bool stopping;
};

/** node_now() - time of the node's monotonic clock in ms. */
static inline int64_t
node_now(const struct node *node)
{
    return ms_clock_now(&node->clock);
}

/** node_run() - serve until a stop signal; returns the exit status. */
int
node_run(const struct job_settings *settings);

/** timer_set() - arm @timer to fire in @delay_ms. */
void
timer_set(struct event *timer, int64_t delay_ms);

#endif
