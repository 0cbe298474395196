#include "model.h"

#include <string.h>

#include "model_node.h"

enum {
    STEP_COUNT = 400,
    FIRST_LIMIT = 5,
    FAULT_KIND_COUNT = 6,
};

static void
destroy_message(void *data)
{
    struct model_message *message = data;
    members_record_destroy(message->record);
    g_free(message);
}

static void
cut_peers(struct model *model,
          bool (*cuts)(struct model *model, int from, int to, unsigned group),
          unsigned group)
{
    for (int from = 0; from < MODEL_NODES; from++) {
        for (int to = 0; to < MODEL_NODES; to++) {
            model->peer_cut[from][to] = cuts(model, from, to, group);
        }
    }
}

static bool
cut_between_groups(struct model *model, int from, int to, unsigned group)
{
    return (group >> from & 1) != (group >> to & 1);
}

static bool
cut_at_random(struct model *model, int from, int to, unsigned group)
{
    return model_chance(model, 3);
}

static bool
cut_nothing(struct model *model, int from, int to, unsigned group)
{
    return false;
}

/* Cuts the gateways whose bit is set in @group off from the store. */
static void
cut_store(struct model *model, unsigned group)
{
    for (int at = 0; at < MODEL_NODES; at++) {
        model->store_cut[at] = (group >> at & 1) != 0;
    }
}

static void
choose_faults(struct model *model)
{
    unsigned all = (1U << MODEL_NODES) - 1;
    unsigned group = random_below(&model->random, all + 1);
    uint32_t kind = random_below(&model->random, FAULT_KIND_COUNT);
    cut_peers(model, cut_nothing, 0);
    cut_store(model, 0);
    if (kind == 1) {
        cut_store(model, all);
    }
    else if (kind == 2) {
        cut_store(model, group);
        cut_peers(model, cut_between_groups, group);
    }
    else if (kind == 3) {
        cut_store(model, group);
        cut_peers(model, cut_at_random, 0);
    }
    else if (kind == 4) {
        /* Two gateways reach the store, the other three only each other. */
        unsigned pair = 3U << random_below(&model->random, MODEL_NODES - 1);
        cut_store(model, all & ~pair);
        cut_peers(model, cut_between_groups, pair);
    }
    else if (kind == 5) {
        /* One gateway without the store has links to only two of the four
         * others. */
        int lone = (int)random_below(&model->random, MODEL_NODES);
        cut_store(model, 1U << lone);
        for (int i = 1; i <= 2; i++) {
            model->peer_cut[lone][(lone + i) % MODEL_NODES] = true;
            model->peer_cut[(lone + i) % MODEL_NODES][lone] = true;
        }
    }
    uint32_t steps = 10 + random_below(&model->random, 120);
    model->faults_until_ms = model->now_ms + (int64_t)steps * MODEL_STEP_MS;
}

static void
inject_faults(struct model *model, int step)
{
    if (model->faults_until_ms <= model->now_ms) {
        choose_faults(model);
    }
    if (model_chance(model, 60)) {
        model->limit = 1 + random_below(&model->random, FIRST_LIMIT);
        model->generation++;
    }
    model->limits[step % MODEL_LIMIT_STEPS] = model->limit;
    bool outage = true;
    for (int at = 0; at < MODEL_NODES; at++) {
        struct model_node *node = &model->nodes[at];
        outage = outage && model->store_cut[at];
        if (!node->alive) {
            continue;
        }
        if (model_chance(model, 400)) {
            model_node_kill(model, at);
        }
        else if (model_chance(model, 150)) {
            uint32_t steps = model_chance(model, 2) ? 10 : 80;
            node->paused_until_ms =
                model->now_ms +
                MODEL_STEP_MS * random_below(&model->random, steps);
        }
    }
    if (!outage) {
        model->outage_since_ms = model->now_ms;
    }
}

static void
execute_calls(struct model *model)
{
    for (guint i = 0; i < model->calls->len; i++) {
        struct model_call *call = model->calls->pdata[i];
        if (!call->executed && !call->refused &&
            call->arrive_ms <= model->now_ms) {
            model_store_execute(&model->store, call);
        }
    }
}

static bool
call_finished(const struct model *model, const struct model_call *call)
{
    const struct model_node *node = &model->nodes[call->node];
    bool outcome_known =
        call->delivered || node->incarnation_id != call->incarnation_id;
    return outcome_known &&
           (call->executed || call->refused || call->arrive_ms == INT64_MAX);
}

static void
remove_finished(struct model *model)
{
    for (guint i = model->calls->len; i > 0; i--) {
        if (call_finished(model, model->calls->pdata[i - 1])) {
            g_ptr_array_remove_index(model->calls, i - 1);
        }
    }
    for (guint i = model->messages->len; i > 0; i--) {
        struct model_message *message = model->messages->pdata[i - 1];
        if (message->arrive_ms == INT64_MAX ||
            !model->nodes[message->to].alive) {
            g_ptr_array_remove_index(model->messages, i - 1);
        }
    }
    for (guint i = model->tasks->len; i > 0; i--) {
        if (g_array_index(model->tasks, struct model_task, i - 1)
                .end_known_ms <= model->now_ms) {
            g_array_remove_index(model->tasks, i - 1);
        }
    }
}

static void
check_limit(struct model *model)
{
    uint32_t running = 0;
    for (guint i = 0; i < model->tasks->len; i++) {
        running += g_array_index(model->tasks, struct model_task, i).end_ms >
                   model->now_ms;
    }
    uint32_t bound = 0;
    for (size_t i = 0; i < MODEL_LIMIT_STEPS; i++) {
        bound = MAX(bound, model->limits[i]);
    }
    model->result.violations += running > bound;
}

static void
start_task(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    bool lease_held =
        model->now_ms < quorum_lease_expires_ms(node->quorum_lease);
    if ((model->mutations & MODEL_MUTATION_NO_LEASE_CHECK) != 0) {
        lease_held = members_self_live(node->members);
    }
    if (!lease_held ||
        model_node_running(model, at) >= model_node_usable(model, at)) {
        return;
    }
    int64_t steps =
        1 + random_below(&model->random, MODEL_TASK_LEASE_MS / MODEL_STEP_MS);
    struct model_task task = {
        .node = at,
        .incarnation_id = node->incarnation_id,
        .end_ms = model->now_ms + steps * MODEL_STEP_MS,
        .end_known_ms = model->now_ms + MODEL_TASK_LEASE_MS,
    };
    if (!model_chance(model, 8)) {
        task.end_known_ms =
            task.end_ms + MODEL_STEP_MS * random_below(&model->random, 3);
    }
    g_array_append_val(model->tasks, task);
    int64_t outage_ms = model->now_ms - model->outage_since_ms;
    model->result.starts++;
    model->result.outage_starts += outage_ms > 0;
    model->result.late_outage_starts += outage_ms > 2 * MODEL_QUORUM_LEASE_MS;
    check_limit(model);
}

static void
step_node(struct model *model, int at)
{
    struct model_node *node = &model->nodes[at];
    if (!node->alive) {
        if (node->start_ms <= model->now_ms) {
            model_node_start(model, at);
        }
        return;
    }
    if (node->paused_until_ms > model->now_ms) {
        return;
    }
    /* A process that resumes may start a task before anything else runs. */
    if (model_chance(model, 2)) {
        start_task(model, at);
    }
    model_node_step(model, at);
    if (node->alive && model_chance(model, 2)) {
        start_task(model, at);
    }
}

static void
clear_model(struct model *model)
{
    for (int at = 0; at < MODEL_NODES; at++) {
        if (model->nodes[at].alive) {
            model_node_kill(model, at);
        }
    }
    g_ptr_array_unref(model->calls);
    g_ptr_array_unref(model->messages);
    g_array_unref(model->tasks);
    model_store_clear(&model->store);
}

struct model_result
model_run(uint64_t seed, unsigned mutations)
{
    struct model model = {
        .random = random_seeded(seed),
        .mutations = mutations,
        .now_ms = MODEL_STEP_MS,
        .calls = g_ptr_array_new_with_free_func(model_call_destroy),
        .messages = g_ptr_array_new_with_free_func(destroy_message),
        .tasks = g_array_new(FALSE, FALSE, sizeof(struct model_task)),
        .limit = FIRST_LIMIT,
        .generation = 1,
        .faults_until_ms = 2 * MODEL_QUORUM_LEASE_MS,
    };
    for (int step = 0; step < STEP_COUNT; step++) {
        inject_faults(&model, step);
        execute_calls(&model);
        for (int at = 0; at < MODEL_NODES; at++) {
            step_node(&model, at);
        }
        remove_finished(&model);
        model.now_ms += MODEL_STEP_MS;
    }
    clear_model(&model);
    return model.result;
}
