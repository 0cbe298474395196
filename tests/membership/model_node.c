#include "model_node.h"

#include <string.h>

enum {
    TIMEOUT_MS = 6 * MODEL_STEP_MS,
    HEARTBEAT_STEPS = 2,
};

bool
model_chance(struct model *model, uint32_t n)
{
    return random_below(&model->random, n) == 0;
}

void
model_node_start(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    *node = (struct model_node){
        .alive = true,
        .incarnation_id = ++model->n_incarnations,
        .limit = model->limit,
        .generation = model->generation,
        .limit_known_ms = INT64_MAX,
    };
    g_snprintf(node->incarnation, MODEL_NAME_BYTES, "g%u-%u",
               random_below(&model->random, 1000), node->incarnation_id);
    struct members_entry self = {
        .incarnation = node->incarnation,
        .name = node->incarnation,
        .address = "127.0.0.1",
        .dc = "a",
        .peer_port = (uint16_t)(at + 1),
        .http_port = 1,
    };
    node->members = members_create(&(struct members_options){
        .self = &self,
        .quorum_lease_ms = MODEL_QUORUM_LEASE_MS,
        .fence_after_ms = MODEL_QUORUM_LEASE_MS,
    });
    members_set_mutations(node->members, model->mutations & 7);
    node->quorum_lease =
        quorum_lease_create(node->incarnation, MODEL_QUORUM_LEASE_MS);
    node->permits = permits_create(node->incarnation);
    permits_set_limit(node->permits, node->limit, node->generation);
}

void
model_node_kill(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    members_destroy(node->members);
    quorum_lease_destroy(node->quorum_lease);
    permits_destroy(node->permits);
    *node = (struct model_node){
        .start_ms =
            model->now_ms + MODEL_STEP_MS * random_below(&model->random, 30),
    };
}

static struct model_call *
call_store(struct model *model, int at, enum model_call_kind kind)
{
    struct model_call *call = g_new0(struct model_call, 1);
    int64_t now_ms = model->now_ms;
    call->kind = kind;
    call->node = at;
    call->incarnation_id = model->nodes[at].incarnation_id;
    call->sent_ms = now_ms;
    call->timeout_ms = now_ms + TIMEOUT_MS;
    uint32_t slow = model_chance(model, 40) ? 60 : 2;
    call->arrive_ms =
        now_ms + MODEL_STEP_MS * random_below(&model->random, slow);
    call->answer_ms =
        call->arrive_ms + MODEL_STEP_MS * random_below(&model->random, 2);
    if (model->store_cut[at]) {
        call->arrive_ms = INT64_MAX;
        call->refused = model_chance(model, 2);
    }
    if (model_chance(model, 25)) {
        call->answer_ms = INT64_MAX;
    }
    g_ptr_array_add(model->calls, call);
    return call;
}

static struct model_message *
send_message(struct model *model, int from, int to,
             enum model_message_kind kind)
{
    if (model->peer_cut[from][to] || model_chance(model, 50)) {
        return NULL;
    }
    struct model_node *node = &model->nodes[from];
    struct model_message *message = g_new0(struct model_message, 1);
    message->kind = kind;
    message->from = from;
    message->to = to;
    g_strlcpy(message->sender, node->incarnation, MODEL_NAME_BYTES);
    message->sent_ms = model->now_ms;
    message->arrive_ms =
        model->now_ms + MODEL_STEP_MS * random_below(&model->random, 2);
    message->epoch = members_current(node->members)->epoch;
    g_ptr_array_add(model->messages, message);
    return message;
}

static void
apply_record(struct model *model, struct model_node *node,
             const struct members_record *record)
{
    if (!members_update(node->members, record, model->now_ms)) {
        return;
    }
    const char *voters[MODEL_RENEWALS_MAX];
    size_t n_voters = 0;
    for (size_t i = 0; i < record->n_entries; i++) {
        if (record->entries[i].state != MEMBERS_FENCED) {
            voters[n_voters++] = record->entries[i].incarnation;
        }
    }
    quorum_lease_set_voters(node->quorum_lease, voters, n_voters);
}

static void
handle_message(struct model *model, struct model_message *message)
{
    struct model_node *node = &model->nodes[message->to];
    if (message->kind == MODEL_MEMBERS_RECORD) {
        apply_record(model, node, message->record);
        return;
    }
    if (message->kind == MODEL_PERMIT_REQUEST) {
        permits_peer_request(node->permits, message->sender, 1);
        return;
    }
    members_peer_seen(node->members, message->sender, message->epoch,
                      model->now_ms);
    if (message->kind == MODEL_HEARTBEAT_ACK) {
        if (message->grants_lease) {
            quorum_lease_granted(node->quorum_lease, message->sender,
                                 message->sent_ms);
        }
        return;
    }
    struct model_message *ack =
        send_message(model, message->to, message->from, MODEL_HEARTBEAT_ACK);
    if (ack != NULL) {
        ack->sent_ms = message->sent_ms;
        ack->grants_lease = members_grants_lease(
            node->members, message->sender, message->epoch);
    }
    const struct members_record *record = members_current(node->members);
    /* Mostly lost: lease grants must end even if the peer never learns the
     * newer epoch. */
    if (message->epoch < record->epoch && model_chance(model, 4)) {
        struct model_message *push = send_message(
            model, message->to, message->from, MODEL_MEMBERS_RECORD);
        if (push != NULL) {
            push->record = members_record_copy(record);
        }
    }
}

static void
handle_members(struct model *model, struct model_node *node,
               struct model_call *call)
{
    node->members_busy = false;
    if (call->answer >= ANSWER_NOT_SENT) {
        return;
    }
    node->record_read = true;
    if (call->members != NULL && call->version > node->record_version) {
        node->record_version = call->version;
        node->record_epoch = call->members->epoch;
        apply_record(model, node, call->members);
    }
}

static void
handle_renewal(struct model_node *node, struct model_call *call)
{
    node->renewal_busy = false;
    if (call->answer == ANSWER_OK) {
        node->created = true;
        node->renewal_version = call->version;
        quorum_lease_renewed(node->quorum_lease, call->sent_ms);
    }
    else if (call->answer == ANSWER_CONFLICT && call->version == 0) {
        node->fenced = true;
    }
    else if (call->answer == ANSWER_CONFLICT) {
        node->created = true;
        node->renewal_version = call->version;
    }
}

static void
handle_renewals(struct model *model, struct model_node *node,
                struct model_call *call)
{
    node->renewal_reads_busy = false;
    if (call->answer != ANSWER_OK) {
        return;
    }
    const struct members_record *record = members_current(node->members);
    for (size_t i = 0; i < record->n_entries; i++) {
        uint64_t version = 0;
        for (size_t b = 0; b < call->n_renewals; b++) {
            if (strcmp(call->renewals[b].incarnation,
                       record->entries[i].incarnation) == 0) {
                version = call->renewals[b].version;
            }
        }
        members_renewal_read(node->members, record->entries[i].incarnation,
                             version, MODEL_TASK_LEASE_MS, call->sent_ms,
                             model->now_ms);
    }
}

static void
mark_reclaimed(struct model *model, struct model_node *node)
{
    const struct members_record *record = members_current(node->members);
    for (size_t i = 0; i < record->n_entries; i++) {
        const char *incarnation = record->entries[i].incarnation;
        if (members_reclaimable(node->members, incarnation,
                                MODEL_TASK_LEASE_MS, model->now_ms) &&
            !permits_incarnation_holds(node->permits, incarnation)) {
            members_reclaimed(node->members, incarnation);
        }
    }
}

static void
handle_permits(struct model *model, struct model_node *node,
               struct model_call *call)
{
    static const enum permits_write_result answers[] = {
        [ANSWER_OK] = PERMITS_WRITTEN,
        [ANSWER_CONFLICT] = PERMITS_REFUSED,
        [ANSWER_NOT_SENT] = PERMITS_NOT_SENT,
        [ANSWER_UNKNOWN] = PERMITS_UNKNOWN,
    };
    node->permits_busy = false;
    if (call->kind == CALL_PERMITS_CAS) {
        permits_written(node->permits, answers[call->answer], call->version);
    }
    if (call->answer < ANSWER_NOT_SENT) {
        permits_read(node->permits, call->permits, call->version);
        mark_reclaimed(model, node);
    }
}

static void
handle_answer(struct model *model, struct model_call *call)
{
    struct model_node *node = &model->nodes[call->node];
    switch (call->kind) {
    case CALL_MEMBERS_READ:
    case CALL_MEMBERS_CAS:
        handle_members(model, node, call);
        break;
    case CALL_RENEWAL_CAS:
        handle_renewal(node, call);
        break;
    case CALL_RENEWAL_DELETE:
        node->members_busy = false;
        if (call->answer == ANSWER_OK) {
            members_renewal_read(node->members, call->incarnation, 0, 0,
                                 call->sent_ms, model->now_ms);
        }
        break;
    case CALL_RENEWALS_READ:
        handle_renewals(model, node, call);
        break;
    case CALL_PERMITS_READ:
    case CALL_PERMITS_CAS:
        handle_permits(model, node, call);
        break;
    }
}

static bool
is_due(struct model *model, struct model_call *call)
{
    if (call->refused || (call->executed && call->answer_ms <= model->now_ms &&
                          call->answer_ms <= call->timeout_ms)) {
        if (call->refused) {
            call->answer = ANSWER_NOT_SENT;
        }
        return true;
    }
    return call->timeout_ms <= model->now_ms;
}

static void
deliver(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    for (guint i = 0; i < model->calls->len; i++) {
        struct model_call *call = model->calls->pdata[i];
        if (call->node != at || call->incarnation_id != node->incarnation_id ||
            call->delivered || !is_due(model, call)) {
            continue;
        }
        call->delivered = true;
        bool late = !call->refused &&
                    (!call->executed || call->answer_ms > call->timeout_ms);
        enum model_answer answer = call->answer;
        call->answer = late ? ANSWER_UNKNOWN : answer;
        handle_answer(model, call);
    }
    for (guint i = 0; i < model->messages->len; i++) {
        struct model_message *message = model->messages->pdata[i];
        if (message->to == at && message->arrive_ms <= model->now_ms) {
            message->arrive_ms = INT64_MAX;
            handle_message(model, message);
        }
    }
}

/* Another incarnation at the address of a member proves that the member's
 * process has ended. */
static void
detect_replaced(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    const struct members_record *record = members_current(node->members);
    for (size_t i = 0; i < record->n_entries; i++) {
        int other = record->entries[i].peer_port - 1;
        const struct model_node *there = &model->nodes[other];
        if (there->alive && other != at && !model->peer_cut[at][other] &&
            !model->peer_cut[other][at] &&
            there->paused_until_ms <= model->now_ms &&
            strcmp(there->incarnation, record->entries[i].incarnation) != 0) {
            members_process_ended(
                node->members, record->entries[i].incarnation, model->now_ms);
        }
    }
}

static void
write_members(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    struct members_action action;
    if (node->members_busy) {
        return;
    }
    bool current = node->record_read &&
                   node->record_epoch == members_current(node->members)->epoch;
    if (!current || model_chance(model, 4)) {
        node->members_busy = true;
        call_store(model, at, CALL_MEMBERS_READ);
    }
    else if (node->created &&
             members_next(node->members, model->now_ms, &action)) {
        bool clear = action.kind == MEMBERS_DELETE_RENEWAL;
        if (clear && (model->mutations & MODEL_MUTATION_RENEWAL_KEPT) != 0) {
            members_renewal_read(node->members, action.incarnation, 0, 0,
                                 model->now_ms, model->now_ms);
            return;
        }
        node->members_busy = true;
        struct model_call *call = call_store(
            model, at, clear ? CALL_RENEWAL_DELETE : CALL_MEMBERS_CAS);
        g_strlcpy(call->incarnation, action.incarnation, MODEL_NAME_BYTES);
        call->version = clear ? action.version : node->record_version;
        call->members = clear ? NULL : members_record_copy(action.proposal);
        model->result.joins += g_str_equal(action.reason, "join");
        model->result.reclaims += g_str_equal(action.reason, "remove");
    }
}

/** struct fleet_ctx - context of the callbacks of struct permits_fleet */
struct fleet_ctx {
    struct model_node *node;
    int64_t now_ms;
};

static bool
ctx_is_live(void *ctx, const char *incarnation)
{
    const struct fleet_ctx *fleet = ctx;
    const struct members_entry *entry = members_record_find(
        members_current(fleet->node->members), incarnation);
    return entry != NULL && entry->state == MEMBERS_LIVE;
}

static bool
ctx_reclaimable(void *ctx, const char *incarnation)
{
    struct fleet_ctx *fleet = ctx;
    return members_reclaimable(fleet->node->members, incarnation,
                               MODEL_TASK_LEASE_MS, fleet->now_ms);
}

static void
write_permits(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    if (node->permits_busy || !members_self_live(node->members)) {
        return;
    }
    struct fleet_ctx ctx = {node, model->now_ms};
    struct permits_fleet fleet = {
        .n_live = MODEL_NODES,
        .rank = (uint32_t)at,
        .is_live = ctx_is_live,
        .reclaimable = ctx_reclaimable,
        .ctx = &ctx,
    };
    uint32_t running = model_node_running(model, at);
    permits_observe(node->permits, running, random_below(&model->random, 3));
    struct permits_write write;
    if (permits_stale(node->permits)) {
        node->permits_busy = true;
        call_store(model, at, CALL_PERMITS_READ);
    }
    else if (permits_plan(node->permits, running, &fleet, &write)) {
        node->permits_busy = true;
        struct model_call *call = call_store(model, at, CALL_PERMITS_CAS);
        call->version = write.version;
        call->permits = permits_record_copy(write.record);
    }
    else if (permits_shortage(node->permits, &fleet) > 0 ||
             model_chance(model, 10)) {
        send_message(model, at, (int)random_below(&model->random, MODEL_NODES),
                     MODEL_PERMIT_REQUEST);
        permits_refresh(node->permits);
    }
}

static void
renew_lease(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    if (!node->renewal_busy) {
        node->renewal_busy = true;
        struct model_call *call = call_store(model, at, CALL_RENEWAL_CAS);
        g_strlcpy(call->incarnation, node->incarnation, MODEL_NAME_BYTES);
        call->version = node->renewal_version;
    }
    if (!node->renewal_reads_busy &&
        members_renewal_reads_due(node->members, model->now_ms)) {
        node->renewal_reads_busy = true;
        call_store(model, at, CALL_RENEWALS_READ);
    }
}

static void
update_limit(struct model *model, struct model_node *node)
{
    if (node->generation == model->generation) {
        return;
    }
    /* After a pause a gateway reads the newest generation before it starts
     * tasks. */
    if (node->paused_until_ms == model->now_ms &&
        (model->mutations & MODEL_MUTATION_STALE_LIMIT) == 0) {
        node->limit_known_ms = model->now_ms;
    }
    if (node->limit_known_ms == INT64_MAX) {
        node->limit_known_ms =
            model->now_ms + MODEL_STEP_MS * random_below(&model->random, 6);
    }
    if (node->limit_known_ms <= model->now_ms) {
        node->limit_known_ms = INT64_MAX;
        node->limit = model->limit;
        node->generation = model->generation;
        permits_set_limit(node->permits, node->limit, node->generation);
    }
}

static void
send_heartbeats(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    quorum_lease_granted(node->quorum_lease, node->incarnation, model->now_ms);
    for (int to = 0; to < MODEL_NODES; to++) {
        if (to != at) {
            send_message(model, at, to, MODEL_HEARTBEAT);
        }
    }
}

void
model_node_step(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    update_limit(model, node);
    deliver(model, at);
    if (members_self_fenced(node->members) || node->fenced) {
        model_node_kill(model, at);
        return;
    }
    detect_replaced(model, at);
    if ((model->now_ms / MODEL_STEP_MS + at) % HEARTBEAT_STEPS == 0) {
        send_heartbeats(model, at);
        renew_lease(model, at);
    }
    write_members(model, at);
    write_permits(model, at);
}

uint32_t
model_node_running(const struct model *model, int at)
{
    uint32_t running = 0;
    for (guint i = 0; i < model->tasks->len; i++) {
        const struct model_task *task =
            &g_array_index(model->tasks, struct model_task, i);
        running += task->node == at &&
                   task->incarnation_id == model->nodes[at].incarnation_id &&
                   task->end_known_ms > model->now_ms;
    }
    return running;
}

uint32_t
model_node_usable(const struct model *model, int at)
{
    const struct model_node *node = &model->nodes[at];
    const struct permits_record *record = permits_record(node->permits);
    if ((model->mutations & MODEL_MUTATION_HOLDING_AS_STORED) != 0 &&
        record != NULL) {
        return permits_record_held(record, node->incarnation);
    }
    return permits_usable(node->permits);
}
