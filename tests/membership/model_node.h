/* One gateway of the model, with its messages and tasks. */
#ifndef TESTS_MEMBERSHIP_MODEL_NODE_H
#define TESTS_MEMBERSHIP_MODEL_NODE_H

#include "common/random.h"
#include "core/quorum_lease.h"
#include "model.h"
#include "model_store.h"

enum {
    MODEL_NODES = 5,
    MODEL_STEP_MS = 50,
    MODEL_QUORUM_LEASE_MS = 400,
    MODEL_TASK_LEASE_MS = 600,
    /* Steps within which every start has to respect a changed limit. */
    MODEL_LIMIT_STEPS = 20,
};

/**
 * struct model_task - an attempt at a backend server
 * @incarnation_id: incarnation of @node that started it
 * @end_ms: when it ends
 * @end_known_ms: when the gateway knows that it has ended
 */
struct model_task {
    int node;
    uint32_t incarnation_id;
    int64_t end_ms;
    int64_t end_known_ms;
};

enum model_message_kind {
    MODEL_HEARTBEAT,
    MODEL_HEARTBEAT_ACK,
    MODEL_MEMBERS_RECORD,
    MODEL_PERMIT_REQUEST,
};

/**
 * struct model_message - a message between two gateways
 * @sent_ms: when it was sent; in an answer, when the heartbeat was sent
 * @epoch: newest members epoch known to the sender
 * @grants_lease: in an answer to a heartbeat: whether it grants a lease
 */
struct model_message {
    enum model_message_kind kind;
    int from;
    int to;
    char sender[MODEL_NAME_BYTES];
    int64_t arrive_ms;
    int64_t sent_ms;
    uint64_t epoch;
    bool grants_lease;
    struct members_record *record;
};

/**
 * struct model_node - one gateway and its calls under way
 * @start_ms: when a killed gateway starts again
 * @created: its renewal record exists in the store
 * @limit_known_ms: when it learns a changed limit; INT64_MAX for no change
 */
struct model_node {
    bool alive;
    int64_t paused_until_ms;
    int64_t start_ms;
    uint32_t incarnation_id;
    char incarnation[MODEL_NAME_BYTES];
    struct members *members;
    struct quorum_lease *quorum_lease;
    struct permits *permits;
    bool members_busy;
    bool renewal_busy;
    bool renewal_reads_busy;
    bool permits_busy;
    bool created;
    bool fenced;
    uint64_t renewal_version;
    bool record_read;
    uint64_t record_epoch;
    uint64_t record_version;
    uint32_t limit;
    uint64_t generation;
    int64_t limit_known_ms;
};

/**
 * struct model - state of one schedule
 * @limits: limits of the last steps; the highest bounds what may run
 */
struct model {
    struct random random;
    unsigned mutations;
    int64_t now_ms;
    struct model_store store;
    struct model_node nodes[MODEL_NODES];
    uint32_t n_incarnations;
    GPtrArray *calls;
    GPtrArray *messages;
    GArray *tasks;
    bool store_cut[MODEL_NODES];
    bool peer_cut[MODEL_NODES][MODEL_NODES];
    int64_t faults_until_ms;
    int64_t outage_since_ms;
    uint32_t limit;
    uint64_t generation;
    uint32_t limits[MODEL_LIMIT_STEPS];
    struct model_result result;
};

/** model_chance() - true with probability 1/@n. */
bool
model_chance(struct model *model, uint32_t n);

void
model_node_start(struct model *model, int at);
void
model_node_kill(struct model *model, int at);

/** model_node_step() - handle arrived answers and messages, then send
 * heartbeats and writes that are due. */
void
model_node_step(struct model *model, int at);

/** model_node_running() - attempts that the node counts as running. */
uint32_t
model_node_running(const struct model *model, int at);

/** model_node_usable() - attempts that its permits allow. */
uint32_t
model_node_usable(const struct model *model, int at);

#endif
