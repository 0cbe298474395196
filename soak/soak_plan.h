/* What goes wrong in a soak run; decided by its seed alone. */
#ifndef SOAK_SOAK_PLAN_H
#define SOAK_SOAK_PLAN_H

#include <glib.h>
#include <stdint.h>

/**
 * enum soak_fault_kind - a fault from outside
 * @FAULT_KILL: an entry host is killed and started again
 * @FAULT_PAUSE: an entry host stands still
 * @FAULT_LEAVE: an entry host is told to stop and started again
 * @FAULT_STORE_DOWN: the store refuses everybody
 * @FAULT_STORE_UNRESPONSIVE: the store answers nobody
 * @FAULT_LINK_REFUSED: connections of an entry host to the store are closed
 * @FAULT_LINK_UNRESPONSIVE: its open connections go silent, new ones work
 * @FAULT_LINK_ONE_WAY: answers of the store to it are lost
 * @FAULT_LINK_SLOW: its calls to the store are late
 * @FAULT_LINK_RESET: some of its calls lose their connection, done or not
 * @FAULT_BACKEND_UNREACHABLE: a backend server is not reachable and runs on
 * @FAULT_HOST_CRASH: a host starts anew
 */
enum soak_fault_kind {
    FAULT_KILL,
    FAULT_PAUSE,
    FAULT_LEAVE,
    FAULT_STORE_DOWN,
    FAULT_STORE_UNRESPONSIVE,
    FAULT_LINK_REFUSED,
    FAULT_LINK_UNRESPONSIVE,
    FAULT_LINK_ONE_WAY,
    FAULT_LINK_SLOW,
    FAULT_LINK_RESET,
    FAULT_BACKEND_UNREACHABLE,
    FAULT_HOST_CRASH,
    FAULT_KINDS,
};

/**
 * struct soak_fault - one fault
 * @at_ms: from the start of the run
 * @duration_ms: how long
 * @target: entry host or backend server
 */
struct soak_fault {
    enum soak_fault_kind kind;
    int64_t at_ms;
    int64_t duration_ms;
    int target;
};

/** soak_plan_create() - struct soak_fault, in the order of their time. */
GArray *
soak_plan_create(uint32_t seed, int n_entries, int n_backends,
                 int64_t length_ms);

/** soak_fault_name() - stable lower-case name. */
const char *
soak_fault_name(enum soak_fault_kind kind);

#endif
