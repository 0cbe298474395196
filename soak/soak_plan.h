/* Faults of a soak run, determined by its seed alone. */
#ifndef SOAK_SOAK_PLAN_H
#define SOAK_SOAK_PLAN_H

#include <glib.h>
#include <stdint.h>

/**
 * enum soak_fault_kind - kind of a fault
 * @FAULT_KILL: an entry host gets SIGKILL and is started again
 * @FAULT_PAUSE: an entry host is stopped with SIGSTOP, then continued
 * @FAULT_LEAVE: an entry host gets SIGTERM and is started again
 * @FAULT_STORE_DOWN: the store refuses all calls
 * @FAULT_STORE_UNRESPONSIVE: the store does not answer
 * @FAULT_LINK_REFUSED: connections of an entry host to the store are closed
 * @FAULT_LINK_UNRESPONSIVE: its open connections get no answers, new ones
 *                           work
 * @FAULT_LINK_ONE_WAY: answers of the store to it are lost
 * @FAULT_LINK_SLOW: its calls to the store are delayed
 * @FAULT_LINK_RESET: some of its calls lose their connection, carried out or
 *                    not
 * @FAULT_BACKEND_UNREACHABLE: a backend server is unreachable and runs on
 * @FAULT_HOST_CRASH: a host restarts and loses its runs
 * @FAULT_KILL_LEADER: the entry host that leads gets SIGKILL and is started
 *                     again; comes in series
 * @FAULT_HANGUP: an entry host gets SIGHUP
 * @FAULT_CONFIG: the operator writes a newer configuration
 * @FAULT_RESTART_UNSEEN: a backend server restarts under the same id; nothing
 *                        tells of it for seconds, and it can't be reached
 * after its first start
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
    FAULT_KILL_LEADER,
    FAULT_HANGUP,
    FAULT_CONFIG,
    FAULT_RESTART_UNSEEN,
    FAULT_KIND_COUNT,
};

/**
 * struct soak_fault - a fault
 * @at_ms: when it begins, from the start of the run
 * @duration_ms: how long it lasts
 * @target: index of the entry host, backend server or host
 */
struct soak_fault {
    enum soak_fault_kind kind;
    int64_t at_ms;
    int64_t duration_ms;
    int target;
};

/** soak_plan_create() - struct soak_fault by time; g_array_unref(). */
GArray *
soak_plan_create(uint32_t seed, int n_entries, int n_backends,
                 int64_t length_ms);

/** soak_fault_name() - stable lower-case name for the output. */
const char *
soak_fault_name(enum soak_fault_kind kind);

#endif
