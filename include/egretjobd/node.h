/* One process of the job subsystem and the parts it is made of. */
#ifndef EGRETJOBD_NODE_H
#define EGRETJOBD_NODE_H

#include <event2/event.h>
#include <stdbool.h>

#include "common/ms_clock.h"
#include "platform/boot.h"

struct config_feed;
struct duty;
struct leader;
struct front;
struct peers;
struct acceptor;
struct questions;
struct store_path;

/**
 * struct node - what all parts share
 * @clock: time that also counts while the machine is frozen
 * @unix_clock: Unix time in ms
 * @leader: the scheduler's carrier while this process holds the duty
 */
struct node {
    struct event_base *base;
    const struct boot *boot;
    struct ms_clock clock;
    struct ms_clock unix_clock;
    struct store_path *path;
    struct config_feed *feed;
    struct duty *duty;
    struct leader *leader;
    struct acceptor *acceptor;
    struct questions *questions;
    struct peers *peers;
    struct front *front;
    bool leaving;
};

/** node_now() - the node's clock. */
static inline int64_t
node_now(const struct node *node)
{
    return ms_clock_now(&node->clock);
}

/** node_run() - serve until told to stop; returns the exit status. */
int
node_run(const struct boot *boot);

/**
 * timer_set() - arm @timer to fire in @delay_ms
 */
void
timer_set(struct event *timer, int64_t delay_ms);

#endif
