/* What the project knows and wants of one host. */
#ifndef CORE_HOST_STATE_H
#define CORE_HOST_STATE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum host_state - where a host stands
 * @HOST_SERVING: takes work and counts as available
 * @HOST_DRAINING: takes no new work; what runs finishes
 * @HOST_REBOOTING: the platform is asked to reboot it
 * @HOST_RETURNING: takes work again, but does not count as available yet
 * @HOST_FAILED: taken out after a failure
 */
enum host_state {
    HOST_SERVING,
    HOST_DRAINING,
    HOST_REBOOTING,
    HOST_RETURNING,
    HOST_FAILED,
};

enum {
    HOST_STATE_COUNT = HOST_FAILED + 1
};

/**
 * struct host_record - one host's record in the store
 * @pool: the one pool the host belongs to
 * @target: pool it moves to once drained, or NULL
 * @reason: why it is in @state
 * @since_s: wall time of the last change of @state or @pool
 * @maintained_s: wall time of its last planned reboot, or of its adoption
 * @moved_s: wall time of its last move between pools, 0 for never
 * @admission: number of the last admitted disruption that it took up or
 *             gave back; only rises
 * @wave: number of the last wave that rebooted it or held it out
 * @seen_down: rebooting, and the host list has shown it as down since
 */
struct host_record {
    char *pool;
    char *dc;
    char *rack;
    char *target;
    char *reason;
    enum host_state state;
    int64_t since_s;
    int64_t maintained_s;
    int64_t moved_s;
    uint64_t admission;
    uint64_t wave;
    bool seen_down;
};

struct host_record *
host_record_copy(const struct host_record *record);
void
host_record_destroy(struct host_record *record);

/** host_state_name() - lower-case name as stored. */
const char *
host_state_name(enum host_state state);

/** host_state_parse() - state of @name; false when there is none. */
bool
host_state_parse(const char *name, enum host_state *state);

/** host_state_accepts_work() - whether gateways may start tasks there. */
bool
host_state_accepts_work(enum host_state state);

#endif
