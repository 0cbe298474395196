/* Schedules: messages on their way, faults, callers, and what is judged. */
#include "model_state.h"

#include <stdio.h>
#include <string.h>

#include "egretjobd/records.h"

static const char *const mutation_names[] = {
    [MUTATION_NONE] = "none",
    [MUTATION_NO_FENCE] = "no fencing token",
    [MUTATION_NO_BARRIER] = "no wait for lists after a takeover",
    [MUTATION_NO_REGISTRY] = "no record of used backend servers",
    [MUTATION_NO_SETTLE] = "no wait for stops of the holder before",
    [MUTATION_ACK_UNSTORED] = "ends acknowledged before they are stored",
    [MUTATION_NO_LAPSE] = "leases that never end",
};

const char *
model_mutation_name(enum model_mutation mutation)
{
    return mutation_names[mutation];
}

bool
chance(struct sim *sim, double probability)
{
    return g_rand_double(sim->random) < probability;
}

bool
troubled(const struct sim *sim)
{
    return sim->now_ms < CALM_MS;
}

void
broken(struct sim *sim, const char *what)
{
    if (sim->result.broken == NULL) {
        sim->result.broken = what;
    }
}

static int
compare_messages(const void *a, const void *b, void *ctx)
{
    (void)ctx;
    const struct message *x = a;
    const struct message *y = b;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

static void
message_free(void *data)
{
    struct message *message = data;
    g_free(message->task);
    if (message->values != NULL) {
        g_ptr_array_unref(message->values);
    }
    g_free(message);
}

struct message *
send_message(struct sim *sim, enum message_kind kind, struct holder *holder,
             int64_t delay_ms)
{
    struct message *message = g_new0(struct message, 1);
    message->kind = kind;
    message->holder = holder;
    message->at_ms = sim->now_ms + delay_ms;
    message->order = sim->next_order++;
    g_sequence_insert_sorted(sim->messages, message, compare_messages, NULL);
    return message;
}

int64_t
network_ms(struct sim *sim)
{
    return g_rand_int_range(sim->random, 1, 12);
}

/* An order: lost, late or on time; its caller learns of a loss later. */
void
send_order(struct sim *sim, struct holder *holder, struct message order)
{
    bool cut = holder->cut_from[order.backend];
    bool lost = troubled(sim) && !cut && chance(sim, 0.04);
    bool late = lost && chance(sim, 0.6);
    if (cut || lost) {
        struct message *answer =
            send_message(sim, MESSAGE_ANSWER, holder, CALL_TIMEOUT_MS);
        answer->answers = order.kind;
        answer->backend = order.backend;
        answer->handle = order.handle;
        answer->answer = START_NO_ANSWER;
    }
    if (cut || (lost && !late)) {
        g_free(order.task);
        return;
    }
    int64_t delay_ms =
        late ? g_rand_int_range(sim->random, 1500, 9000) : network_ms(sim);
    struct message *sent = send_message(sim, order.kind, holder, delay_ms);
    int64_t at_ms = sent->at_ms;
    uint64_t number = sent->order;
    *sent = order;
    sent->at_ms = at_ms;
    sent->order = number;
    sent->holder = holder;
    sent->answer_lost = lost;
}

/* Cuts, renewals and changes of the holder, a tenth of a second at a time. */
static void
play_faults(struct sim *sim)
{
    struct holder *holder = sim->current;
    if (!holder->cut_from_store) {
        holder->valid_until_ms = sim->now_ms + DUTY_MS;
    }
    if (troubled(sim) && !holder->cut_from_store && chance(sim, 0.02)) {
        holder->cut_from_store = true;
    }
    for (int i = 0; i < BACKENDS; i++) {
        if (troubled(sim) && chance(sim, 0.01)) {
            holder->cut_from[i] = !holder->cut_from[i];
        }
        if (!troubled(sim)) {
            holder->cut_from[i] = false;
        }
    }
    scheduler_set_outage(holder->sched, holder->cut_from_store);
    if (holder->cut_from_store && sim->now_ms > holder->valid_until_ms + 50) {
        take_over(sim);
    }
    else if (troubled(sim) && chance(sim, 0.01)) {
        /* The process is killed; another takes over. */
        holder->gone = true;
        take_over(sim);
    }
}

static void
tick_holders(struct sim *sim)
{
    for (guint i = 0; i < sim->holders->len; i++) {
        struct holder *holder = g_ptr_array_index(sim->holders, i);
        if (holder->gone || scheduler_fenced(holder->sched)) {
            continue;
        }
        scheduler_set_leadership_valid(holder->sched,
                                       sim->now_ms < holder->valid_until_ms);
        scheduler_tick(holder->sched);
        flush(holder);
    }
}

static void
submit(struct sim *sim, int index)
{
    static const char body[] =
        "{\"spec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":1500,\"mem_mb\":100,"
        "\"estimate_ms\":600},{\"count\":2,\"cpu\":2500,\"mem_mb\":100,"
        "\"estimate_ms\":900,\"after\":[0]}]}";
    struct stored_job *stored = &sim->jobs[index];
    struct job_envelope envelope = {
        .queue = "q",
        .pool = "p",
        .team = "",
        .attempts = 50,
        .accepted_unix_ms = sim_unix(sim),
        .body = body,
        .body_bytes = strlen(body),
    };
    stored->value = record_job_encode(&envelope);
    struct job *job =
        record_job_decode(stored->id, stored->value, strlen(stored->value));
    scheduler_add_job(sim->current->sched, job);
    job_unref(job);
}

static void
play_callers(struct sim *sim)
{
    for (int i = 0; i < JOBS; i++) {
        struct stored_job *stored = &sim->jobs[i];
        if (stored->value == NULL && sim->now_ms >= (i + 1) * 900) {
            submit(sim, i);
        }
        if (stored->value != NULL && i == 1 && !stored->cancelled &&
            sim->now_ms >= 3500) {
            stored->cancelled =
                scheduler_cancel(sim->current->sched, stored->id);
        }
    }
}

static void
sim_init(struct sim *sim, uint32_t seed, enum model_mutation mutation)
{
    sim->random = g_rand_new_with_seed(seed);
    sim->mutation = mutation;
    sim->now_ms = 1000;
    sim->next_token = 1;
    sim->messages = g_sequence_new(message_free);
    sim->registered =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->done_noted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->holders = g_ptr_array_new();
    sim->config = fleet_config_create();
    struct pool_config *pool = g_new0(struct pool_config, 1);
    pool->name = g_strdup("p");
    g_ptr_array_add(sim->config->pools, pool);
    for (int i = 0; i < BACKENDS; i++) {
        model_backend_init(&sim->backends[i], i,
                           98 + g_rand_int_range(sim->random, 0, 3),
                           g_rand_int_range(sim->random, 1000, 900000));
        sim->backends[i].no_fence = mutation == MUTATION_NO_FENCE;
        sim->backends[i].no_lapse = mutation == MUTATION_NO_LAPSE;
    }
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(sim->jobs[i].id, sizeof(sim->jobs[i].id), "%016x", i + 1);
    }
}

static void
sim_clear(struct sim *sim)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(sim->messages);
    for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        struct message *message = g_sequence_get(iter);
        if (message->batch != NULL) {
            scheduler_batch_stored(message->holder->sched, message->batch,
                                   false, 0);
        }
    }
    g_sequence_free(sim->messages);
    for (guint i = 0; i < sim->holders->len; i++) {
        struct holder *holder = g_ptr_array_index(sim->holders, i);
        scheduler_destroy(holder->sched);
        g_free(holder);
    }
    g_ptr_array_unref(sim->holders);
    g_hash_table_unref(sim->registered);
    g_hash_table_unref(sim->done_noted);
    fleet_config_destroy(sim->config);
    for (int i = 0; i < BACKENDS; i++) {
        model_backend_clear(&sim->backends[i]);
    }
    for (int i = 0; i < JOBS; i++) {
        g_free(sim->jobs[i].value);
        g_free(sim->jobs[i].progress);
    }
    g_rand_free(sim->random);
}

static void
judge_end(struct sim *sim)
{
    for (int i = 0; i < JOBS; i++) {
        const struct job *job =
            scheduler_find_job(sim->current->sched, sim->jobs[i].id);
        if (job == NULL) {
            broken(sim, "an accepted job is not known");
        }
        else if (job->state == JOB_ACTIVE) {
            sim->result.unfinished++;
        }
        else if (job->state == JOB_COMPLETED) {
            sim->result.completed++;
        }
        else if (job->state == JOB_FAILED) {
            broken(sim, "a job failed without its attempts used");
        }
    }
}

struct model_result
model_run(uint32_t seed, enum model_mutation mutation)
{
    struct sim sim = {0};
    sim_init(&sim, seed, mutation);
    take_over(&sim);
    int64_t next_fault_ms = sim.now_ms;
    while (sim.now_ms < LENGTH_MS && sim.result.broken == NULL) {
        GSequenceIter *first = g_sequence_get_begin_iter(sim.messages);
        const struct message *next =
            g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
        if (next != NULL && next->at_ms <= sim.now_ms) {
            struct message *message = g_sequence_get(first);
            deliver(&sim, message);
            g_sequence_remove(first);
            continue;
        }
        if (sim.now_ms >= next_fault_ms) {
            next_fault_ms = sim.now_ms + 100;
            play_faults(&sim);
            play_callers(&sim);
        }
        tick_holders(&sim);
        sim.now_ms += 10;
    }
    if (sim.result.broken == NULL) {
        judge_end(&sim);
    }
    sim_clear(&sim);
    return sim.result;
}
