/* Stored record of a host: its pool and its state in the maintenance cycle. */
#ifndef CORE_HOST_STATE_H
#define CORE_HOST_STATE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum host_state - state of a host
 * @HOST_SERVING: accepts work and counts as available
 * @HOST_DRAINING: accepts no new work; running tasks finish
 * @HOST_REBOOTING: a reboot is requested from the platform
 * @HOST_RETURNING: accepts work again, but does not count as available until
 *                  it has been healthy for long enough
 * @HOST_FAILED: out of service after a failure
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
 * @pool: pool that the host belongs to
 * @target: pool it moves to once drained, or NULL
 * @reason: why the host is in @state
 * @since_s: wall time of the last change of @state or @pool
 * @maintained_s: wall time of its last planned reboot, or of the creation of
 *                the record
 * @moved_s: wall time of its last move between pools, 0 for never
 * @admission: number of the last admission that the host started to drain on
 *             or that was cancelled; never decreases
 * @wave: number of the last maintenance wave that rebooted it
 * @seen_down: in HOST_REBOOTING: the host list has shown the host as down
 *             since the reboot was requested
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

/** host_state_name() - lower-case name, as stored. */
const char *
host_state_name(enum host_state state);

/** host_state_parse() - set @state from its name; false if @name is unknown.
 */
bool
host_state_parse(const char *name, enum host_state *state);

/** host_state_accepts_work() - whether gateways may start tasks there. */
bool
host_state_accepts_work(enum host_state state);

#endif
