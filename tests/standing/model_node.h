/* One gateway of the fleet model and what surrounds it. */
#ifndef TESTS_STANDING_MODEL_NODE_H
#define TESTS_STANDING_MODEL_NODE_H

#include "common/random.h"
#include "core/quorum_lease.h"
#include "model.h"
#include "model_store.h"

enum {
    MODEL_NODES = 5,
    MODEL_STEP_MS = 50,
    MODEL_SUPPORT_MS = 400,
    MODEL_LEASE_MS = 600,
    /* Steps after which a changed limit binds every start. */
    MODEL_LIMIT_STEPS = 20,
};

/** struct model_task - an attempt at a backend server */
struct model_task {
    int node;
    uint32_t life;
    int64_t end_ms;
    int64_t known_ms;
};

enum model_note_kind {
    NOTE_BEAT,
    NOTE_ACK,
    NOTE_RECORD,
    NOTE_WANT,
};

/** struct model_note - a message between two gateways */
struct model_note {
    enum model_note_kind kind;
    int from;
    int to;
    char sender[MODEL_NAME_BYTES];
    int64_t arrive_ms;
    int64_t asked_ms;
    uint64_t epoch;
    bool supports;
    struct members_record *record;
};

struct model_node {
    bool alive;
    int64_t paused_until_ms;
    int64_t start_ms;
    uint32_t life;
    char incarnation[MODEL_NAME_BYTES];
    struct members *members;
    struct quorum_lease *freshness;
    struct permits *permits;
    bool members_busy;
    bool beat_busy;
    bool beats_busy;
    bool permits_busy;
    bool created;
    bool fenced;
    uint64_t beat_version;
    bool record_read;
    uint64_t record_epoch;
    uint64_t record_version;
    uint32_t limit;
    uint64_t generation;
    int64_t learn_ms;
};

struct model {
    struct random random;
    unsigned faults;
    int64_t now_ms;
    struct model_store store;
    struct model_node nodes[MODEL_NODES];
    uint32_t lives;
    GPtrArray *calls;
    GPtrArray *notes;
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

/** model_chance() - true in one of @n cases. */
bool
model_chance(struct model *model, uint32_t n);

void
model_node_start(struct model *model, int at);
void
model_node_kill(struct model *model, int at);

/** model_node_step() - deliver what has come, then do one heartbeat. */
void
model_node_step(struct model *model, int at);

/** model_node_running() - attempts that the node counts. */
uint32_t
model_node_running(const struct model *model, int at);

/** model_node_usable() - attempts it may count. */
uint32_t
model_node_usable(const struct model *model, int at);

#endif
