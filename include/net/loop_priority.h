/* Priorities of the events of one loop. */
#ifndef NET_LOOP_PRIORITY_H
#define NET_LOOP_PRIORITY_H

/**
 * enum loop_priority - an event waits while any of a higher priority is active
 * @LOOP_URGENT: clients marked as urgent
 * @LOOP_USUAL: what libevent gives new events
 * @LOOP_IDLE: runs only when nothing else is left to do
 * @LOOP_PRIORITIES: for event_base_priority_init()
 */
enum loop_priority {
    LOOP_URGENT,
    LOOP_USUAL,
    LOOP_IDLE,
    LOOP_PRIORITIES,
};

#endif
