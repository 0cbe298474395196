/* Decides when and on which host each waiting task starts. */
#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/config.h"
#include "core/outcome.h"

/**
 * struct dispatch_host - a backend server, from the platform's host list and
 * the fleet records
 * @name: unique name
 * @address: "IP:port"
 * @pool: pool of its host record; NULL or "" when it has none
 * @dc: data centre
 * @rack: rack within the data centre
 * @slots: number of tasks it runs at a time
 * @connections: number of connections it accepts from all gateways together
 * @accepting: whether it takes new tasks (live, not leaving or draining)
 */
struct dispatch_host {
    const char *name;
    const char *address;
    const char *pool;
    const char *dc;
    const char *rack;
    uint32_t slots;
    uint32_t connections;
    bool accepting;
};

/**
 * struct dispatch_task - a request to queue; strings are copied
 * @id: unique on this gateway
 * @team, @queue: names in the configuration
 * @key_id: id of the API key in the request; NULL on open queues
 * @key_hash_hex: SHA-256 of the API key in the request; NULL on open queues
 * @idempotent: may run more than once
 * @forwarded: came from another gateway and must not be forwarded again
 */
struct dispatch_task {
    uint64_t id;
    const char *team;
    const char *queue;
    const char *key_id;
    const char *key_hash_hex;
    bool idempotent;
    bool forwarded;
};

/**
 * enum dispatch_action_type - what the user of the dispatcher has to do next
 * @DISPATCH_START: send attempt @attempt of the task to @host
 * @DISPATCH_FORWARD: forward the task to gateway @peer, which has free permits
 * @DISPATCH_REFUSE: answer the caller with @outcome and @reason
 */
enum dispatch_action_type {
    DISPATCH_START,
    DISPATCH_FORWARD,
    DISPATCH_REFUSE,
};

/**
 * struct dispatch_action - one decision
 * @attempt: unique number of the attempt, for DISPATCH_START
 * @host, @address: chosen backend server; valid until the next call
 * @lease_ms: lease of the attempt, to be sent to the backend server
 * @peer: chosen gateway; valid until the next call
 * @retry_after_ms: for refusals, hint when to retry; 0 for none
 */
struct dispatch_action {
    enum dispatch_action_type type;
    uint64_t task;
    uint64_t attempt;
    const char *host;
    const char *address;
    int64_t lease_ms;
    const char *peer;
    enum outcome outcome;
    enum reason reason;
    int64_t retry_after_ms;
};

/**
 * enum attempt_result - how an attempt or a forwarding ended
 * @ATTEMPT_DONE: complete answer received, the task succeeded
 * @ATTEMPT_FAILED: complete answer received, the task ran and failed there
 * @ATTEMPT_REFUSED: the backend server answered that it did not run the task
 * @ATTEMPT_NOT_SENT: no byte of the request was sent
 * @ATTEMPT_LOST: the request was sent at least in part, and no complete answer
 *                was received
 * @ATTEMPT_STOPPED: after a cancellation, the backend server answered that it
 *                   stopped the task or never started it
 */
enum attempt_result {
    ATTEMPT_DONE,
    ATTEMPT_FAILED,
    ATTEMPT_REFUSED,
    ATTEMPT_NOT_SENT,
    ATTEMPT_LOST,
    ATTEMPT_STOPPED,
};

/**
 * struct dispatch_usage - one team's use of one pool on one gateway
 * @team: name; "" for the sum over teams of @pool that are not reported one by
 *        one. Such an entry has in @served_milli the slots that the gateway
 *        needs free for urgent tasks, in thousandths of a slot
 * @pool: name; "" when the team has only free permits to report
 * @running, @queued: current numbers of attempts and of waiting tasks
 * @served_milli: service since start, in thousandths of a service unit
 * @free_permits: permits of the team that are not in use
 */
struct dispatch_usage {
    const char *team;
    const char *pool;
    uint32_t running;
    uint32_t queued;
    uint64_t served_milli;
    uint32_t free_permits;
};

/** struct dispatch_options - how to create a dispatcher */
struct dispatch_options {
    uint64_t seed;
    /* Data centre of this gateway, preferred when load is equal. */
    const char *dc;
};

struct dispatch;

struct dispatch *
dispatch_create(const struct dispatch_options *options);
void
dispatch_destroy(struct dispatch *dispatch);

/** dispatch_set_config() - apply a new generation; @config must stay valid
 * until the next call. Waiting tasks of removed queues and teams are refused
 * by the next dispatch_next(). */
void
dispatch_set_config(struct dispatch *dispatch, const struct config *config);

/** dispatch_set_hosts() - replace the list of backend servers. Running
 * attempts on removed hosts stay counted until they are resolved. */
void
dispatch_set_hosts(struct dispatch *dispatch,
                   const struct dispatch_host *hosts, size_t n_hosts);

/** dispatch_set_quorum_lease() - nothing starts at or after @expires_ms. */
void
dispatch_set_quorum_lease(struct dispatch *dispatch, int64_t expires_ms);

/** dispatch_set_permits() - set how many attempts of @team_name may run on
 * this gateway at a time. */
void
dispatch_set_permits(struct dispatch *dispatch, const char *team_name,
                     uint32_t permits);

/** dispatch_team_running() - attempts of @team_name that are running or may
 * still run. */
uint32_t
dispatch_team_running(const struct dispatch *dispatch, const char *team_name);

/** dispatch_team_queued() - waiting tasks of @team_name. */
uint32_t
dispatch_team_queued(const struct dispatch *dispatch, const char *team_name);

/**
 * dispatch_submit() - queue a task
 *
 * Returns: REASON_NONE when queued; otherwise why it is refused (it was not
 * run), with a hint when to retry in *@retry_after_ms.
 */
enum reason
dispatch_submit(struct dispatch *dispatch,
                const struct dispatch_task *submitted, int64_t now_ms,
                int64_t *retry_after_ms);

/**
 * dispatch_next() - get the next decision
 *
 * Returns: whether @action was filled. After every event, call it until it
 * returns false.
 */
bool
dispatch_next(struct dispatch *dispatch, int64_t now_ms,
              struct dispatch_action *action);

/** dispatch_wake_ms() - when to call dispatch_next() again even without an
 * event; INT64_MAX for never. */
int64_t
dispatch_wake_ms(const struct dispatch *dispatch, int64_t now_ms);

/**
 * dispatch_may_send() - last check immediately before an attempt is sent:
 * quorum lease, key, data centre, host, team limit
 *
 * Returns: REASON_NONE, or why the attempt must not be sent; then report
 * ATTEMPT_NOT_SENT.
 */
enum reason
dispatch_may_send(const struct dispatch *dispatch, uint64_t attempt_id,
                  int64_t now_ms);

/** dispatch_sent() - the first byte of the attempt is about to be sent. */
void
dispatch_sent(struct dispatch *dispatch, uint64_t attempt_id, int64_t now_ms);

/**
 * dispatch_attempt_ended() - report how an attempt ended
 *
 * After ATTEMPT_LOST the attempt stays counted against the team's permits
 * and the host's slots until dispatch_attempt_resolved() or until its lease
 * has expired.
 *
 * Returns: true when the task has ended, so that the received answer is to be
 * passed on; false when dispatch_next() will return another action for the
 * task, a retry or a refusal.
 */
bool
dispatch_attempt_ended(struct dispatch *dispatch, uint64_t attempt_id,
                       enum attempt_result result, int64_t now_ms);

/** dispatch_attempt_resolved() - a lost attempt is known to run no more. */
void
dispatch_attempt_resolved(struct dispatch *dispatch, uint64_t attempt_id,
                          int64_t now_ms);

/** dispatch_forward_ended() - report how forwarding of @task_id ended; returns
 * the same as dispatch_attempt_ended(). */
bool
dispatch_forward_ended(struct dispatch *dispatch, uint64_t task_id,
                       enum attempt_result result, int64_t now_ms);

/**
 * dispatch_cancel() - the caller cancelled the task
 * @attempt: set to the attempt to cancel at its backend server, or 0
 *
 * Returns: true when the task was still waiting and was removed; false when an
 * attempt or forwarding is in progress or the task is not known.
 */
bool
dispatch_cancel(struct dispatch *dispatch, uint64_t task_id, uint64_t *attempt,
                int64_t now_ms);

/** dispatch_drain() - the gateway shuts down: refuse new tasks, and waiting
 * ones that can't be started or forwarded. */
void
dispatch_drain(struct dispatch *dispatch);

/** dispatch_host_load() - number of tasks that a host runs, as reported in any
 * of its answers. */
void
dispatch_host_load(struct dispatch *dispatch, const char *host_name,
                   uint32_t running, int64_t now_ms);

/** dispatch_usage_get() - get this gateway's usage; entries are valid until
 * the next call. */
size_t
dispatch_usage_get(struct dispatch *dispatch,
                   const struct dispatch_usage **entries, int64_t now_ms);

/** dispatch_peer_usage() - gateway @peer_name reported its usage. */
void
dispatch_peer_usage(struct dispatch *dispatch, const char *peer_name,
                    const struct dispatch_usage *entries, size_t n_entries,
                    int64_t now_ms);

/** dispatch_peer_removed() - discard the usage that @peer_name reported. */
void
dispatch_peer_removed(struct dispatch *dispatch, const char *peer_name);

/** struct dispatch_explanation - why a queue waits, for operators */
struct dispatch_explanation {
    const char *queue;
    uint32_t queued;
    uint32_t running;
    uint32_t hosts;
    uint32_t hosts_accepting;
    uint32_t hosts_ejected;
    uint32_t slots;
    uint32_t slots_busy;
    int64_t oldest_ms;
    int64_t estimated_run_ms;
    enum reason waits_for;
};

/** dispatch_explain() - get the state of a queue; false when it is not
 * known. */
bool
dispatch_explain(const struct dispatch *dispatch, const char *queue_name,
                 int64_t now_ms, struct dispatch_explanation *explanation);

#endif
