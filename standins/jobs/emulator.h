/* Emulator of the prepared platform: store, backend servers and hosts. */
#ifndef STANDINS_JOBS_EMULATOR_H
#define STANDINS_JOBS_EMULATOR_H

#include <event2/event.h>

#include "backend_model.h"
#include "kv_model.h"
#include "net/http_server.h"

enum {
    EMULATOR_BACKENDS_MAX = 64,
    EMULATOR_TICK_MS = 5,
};

/**
 * struct emulated_host - a host and its current backend server
 * @unavailable_until_ms: it moves or reboots until then; 0: it is up
 * @seq: number of the last entry written to the store
 * @incarnation: number of restarts so far, part of the backend server's id
 * @unreachable: it runs, but answers no calls and writes no entry
 * @entry_due_ms: after a restart that nobody notices it writes no entry before
 *                then; 0: there was none
 * @cut_off_until_ms: as @unreachable, until then
 * @waiting_reports: struct waiting_report
 */
struct emulated_host {
    struct emulator *emulator;
    int index;
    char name[16];
    char *pool;
    char *data_centre;
    char *address;
    int64_t unavailable_until_ms;
    int64_t next_heartbeat_ms;
    int64_t incarnation_start_ms;
    int64_t seq;
    uint32_t incarnation;
    bool unreachable;
    int64_t entry_due_ms;
    int64_t cut_off_until_ms;
    struct model_backend backend;
    struct http_server *server;
    GPtrArray *waiting_reports;
};

/**
 * struct emulator - the platform
 * @store_down: the store answers every call with 503
 * @store_unresponsive: the store does not answer
 * @unreadable_key: reads of this key alone get 503; NULL: none
 * @withheld: calls that get no answer while the store or a backend server is
 *            unresponsive
 * @violated_invariant: invariant that the emulator violates on purpose, to
 *                      show that its check fails; NULL: none
 * @done_acked: tasks whose completion as done was acknowledged
 * @cancelled_ms: id of a job to the time at which its cancel was acknowledged
 * @maximum_milli: processor capacity that a client account may use at once; 0:
 *                 as much as its configuration says, which is not checked
 * @checks: starts checked
 * @tickets_missing: starts refused for lack of a valid ticket
 * @violations: violations found
 * @moves: moves and reboots of hosts that were accepted
 * @reads: reads of single keys
 * @value_bytes_max: a transaction with a longer value is rejected
 * @rejected: transactions rejected for that
 */
struct emulator {
    struct event_base *base;
    struct event *tick;
    struct kv_model kv;
    struct http_server *store;
    struct http_server *hosts_api;
    struct http_server *admin;
    GPtrArray *watches;
    struct emulated_host hosts[EMULATOR_BACKENDS_MAX];
    int n_hosts;
    bool store_down;
    bool store_unresponsive;
    char *unreadable_key;
    GPtrArray *withheld;
    char *violated_invariant;
    GHashTable *done_acked;
    GHashTable *cancelled_ms;
    int64_t maximum_milli;
    uint64_t checks;
    uint64_t tickets_missing;
    uint64_t violations;
    uint64_t moves;
    uint64_t reads;
    size_t value_bytes_max;
    uint64_t rejected;
};

int64_t
emulator_now_ms(void);

/* emulator_kv.c */
void
emulator_kv_request(void *ctx, struct http_exchange *exchange);
void
emulator_kv_answer_watches(struct emulator *emulator, int64_t now_ms);

/* emulator_hosts.c */
void
emulator_backend_request(void *ctx, struct http_exchange *exchange);
void
emulator_hosts_request(void *ctx, struct http_exchange *exchange);
void
emulator_hosts_tick(struct emulator *emulator, int64_t now_ms);
void
emulator_restart_host(struct emulated_host *host);
/* Restarts the backend server under the same id. Its entry tells of that only
 * seconds later, and it can't be reached for seconds after its first start. */
void
emulator_restart_unseen(struct emulated_host *host);
/* Listens for calls to the backend server. */
void
emulator_listen(struct emulated_host *host);

#endif
