/* A non-idempotent request id runs at most once, also when the gateway that
 * owns it changes. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "common/random.h"
#include "core/rendezvous.h"
#include "core/request_ids.h"

enum {
    RETENTION_MS = 60000,
};

static const char *const three[] = {"a", "b", "c"};

static struct request_ids *
create_table(const char *self)
{
    return request_ids_create(&(struct request_ids_options){
        .self = self,
        .max_entries = 100,
        .retention_ms = RETENTION_MS,
    });
}

static struct request_id
request(const char *id, uint64_t task)
{
    return (struct request_id){
        .team = "team",
        .id = id,
        .body_hash_hex = "h1",
        .task = task,
    };
}

/* An id that @owner owns among the members a, b and c, and @owner_without_c
 * among a and b. */
static char *
find_moving_id(const char *owner, const char *owner_without_c)
{
    static const char *const two[] = {"a", "b"};
    for (uint32_t i = 0;; i++) {
        char *id = g_strdup_printf("id-%u", i);
        if (!strcmp(rendezvous_owner(three, 3, "team", id), owner) &&
            !strcmp(rendezvous_owner(two, 2, "team", id), owner_without_c)) {
            return id;
        }
        g_free(id);
    }
}

/* A repeated request waits for the run, gets its answer within the retention
 * time, and conflicts if its body differs. After that, or if it was not run,
 * the id runs anew. */
static void
test_wait_answer_conflict(void)
{
    struct request_ids *ids = create_table("a");
    static const char *const alone[] = {"a"};
    request_ids_set_members(ids, alone, 1, 1, 0);
    struct request_decision decision;
    struct request_id request_id = request("x", 1);
    request_ids_claim(ids, &request_id, 0, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_RUN);
    request_id.task = 2;
    request_ids_claim(ids, &request_id, 1, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_WAIT);
    request_id.body_hash_hex = "h2";
    request_ids_claim(ids, &request_id, 1, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_ANSWER);
    CU_ASSERT_EQUAL(decision.reason, REASON_ID_CONFLICT);
    GBytes *answer = g_bytes_new_static("ok", 2);
    request_ids_finished(ids, "team", "x", OUTCOME_DONE, REASON_NONE, answer,
                         2, &decision);
    CU_ASSERT_EQUAL(decision.n_tasks, 2);
    CU_ASSERT_EQUAL(decision.tasks[1], 2);
    request_id = request("x", 3);
    request_ids_claim(ids, &request_id, RETENTION_MS, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_ANSWER);
    CU_ASSERT_PTR_EQUAL(decision.answer, answer);
    g_bytes_unref(answer);
    request_ids_claim(ids, &request_id, RETENTION_MS * 3, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_RUN);
    request_ids_finished(ids, "team", "x", OUTCOME_NOT_RUN, REASON_DEADLINE,
                         NULL, RETENTION_MS * 3, &decision);
    CU_ASSERT_EQUAL(request_ids_count(ids), 0);
    request_ids_destroy(ids);
}

/* The id runs at its previous owner when a member joins and becomes the owner:
 * the new owner has to query the previous one, not run it a second time. */
static void
test_previous_owner_alive(void)
{
    struct request_ids *a = create_table("a");
    struct request_ids *c = create_table("c");
    request_ids_set_members(a, three, 1, 1, 0);
    request_ids_set_members(a, three, 2, 2, 0);
    char *id = find_moving_id("c", "a");
    struct request_decision decision;
    struct request_id request_id = request(id, 1);
    request_ids_claim(a, &request_id, 0, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_RUN);
    request_ids_set_members(c, three, 3, 3, 10);
    request_ids_claim(c, &request_id, 10, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_QUERY);
    CU_ASSERT_STRING_EQUAL(decision.peer, "a");
    struct id_query_reply reply;
    request_ids_query(a, "team", id, "c", 11, &reply);
    CU_ASSERT_EQUAL(reply.result, ID_QUERY_RUNNING);
    request_ids_query_answered(c, "team", id, "a", &reply, 12, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_FORWARD);
    g_free(id);
    request_ids_destroy(a);
    request_ids_destroy(c);
}

static enum reason
reason_after_owner_gone(bool first_attempt)
{
    struct request_ids *a = create_table("a");
    static const char *const two[] = {"a", "b"};
    request_ids_set_members(a, three, 3, 1, 0);
    request_ids_set_members(a, two, 2, 2, 10);
    char *id = find_moving_id("c", "a");
    struct request_decision decision;
    struct request_id request_id = request(id, 1);
    request_id.first_attempt = first_attempt;
    request_ids_claim(a, &request_id, 20, &decision);
    g_free(id);
    enum reason reason = decision.reason;
    CU_ASSERT_EQUAL(decision.verdict,
                    first_attempt ? REQUEST_RUN : REQUEST_ANSWER);
    request_ids_destroy(a);
    return reason;
}

/* The previous owner left without handing over its ids, so an earlier run
 * can't be ruled out. Only the first attempt of a request may run. */
static void
test_previous_owner_gone(void)
{
    CU_ASSERT_EQUAL(reason_after_owner_gone(false), REASON_ID_OWNER_GONE);
    CU_ASSERT_EQUAL(reason_after_owner_gone(true), REASON_NONE);
}

/* At the limit new ids are refused; forgetting an entry within its retention
 * time could run its request twice. */
static void
test_entry_limit(void)
{
    struct request_ids *ids = create_table("a");
    static const char *const alone[] = {"a"};
    request_ids_set_members(ids, alone, 1, 1, 0);
    struct request_decision decision;
    for (uint32_t i = 0; i < 101; i++) {
        char *id = g_strdup_printf("id-%u", i);
        struct request_id request_id = request(id, i);
        request_ids_claim(ids, &request_id, 0, &decision);
        g_free(id);
    }
    CU_ASSERT_EQUAL(decision.reason, REASON_OVERLOAD);
    CU_ASSERT_EQUAL(request_ids_count(ids), 100);
    request_ids_destroy(ids);
}

enum {
    SCHEDULE_COUNT = 1500,
    STEP_COUNT = 120,
    GATEWAYS_MAX = 12,
    ID_COUNT = 4,
    MESSAGES_MAX = 4096,
};

enum message_type {
    MESSAGE_CLAIM,
    MESSAGE_QUERY,
    MESSAGE_QUERY_REPLY,
};

struct message {
    enum message_type type;
    uint32_t from;
    uint32_t to;
    uint32_t id;
    uint32_t hops;
    bool first_attempt;
    struct id_query_reply reply;
};

struct fleet {
    struct random random;
    struct request_ids *tables[GATEWAYS_MAX];
    char names[GATEWAYS_MAX][4];
    bool alive[GATEWAYS_MAX];
    bool member[GATEWAYS_MAX];
    uint32_t started;
    uint64_t epoch;
    struct message messages[MESSAGES_MAX];
    uint32_t n_messages;
    bool claimed[ID_COUNT];
    uint32_t runs[ID_COUNT];
    uint64_t total_runs;
    int64_t now_ms;
};

static const char *const id_names[ID_COUNT] = {"w", "x", "y", "z"};

static void
send_message(struct fleet *fleet, struct message message)
{
    if (fleet->n_messages < MESSAGES_MAX) {
        fleet->messages[fleet->n_messages++] = message;
    }
}

static uint32_t
gateway_index(const struct fleet *fleet, const char *name)
{
    uint32_t i = 0;
    while (strcmp(fleet->names[i], name) != 0) {
        i++;
    }
    return i;
}

static void
learn_members(struct fleet *fleet, uint32_t gateway)
{
    const char *members[GATEWAYS_MAX];
    size_t n = 0;
    for (uint32_t i = 0; i < fleet->started; i++) {
        if (fleet->member[i]) {
            members[n++] = fleet->names[i];
        }
    }
    request_ids_set_members(fleet->tables[gateway], members, n, fleet->epoch,
                            fleet->now_ms);
}

static void
start_gateway(struct fleet *fleet)
{
    if (fleet->started == GATEWAYS_MAX) {
        return;
    }
    uint32_t i = fleet->started++;
    g_snprintf(fleet->names[i], sizeof(fleet->names[i]), "g%u", i);
    fleet->tables[i] = create_table(fleet->names[i]);
    fleet->alive[i] = fleet->member[i] = true;
    fleet->epoch++;
    learn_members(fleet, i);
}

static void
carry_out(struct fleet *fleet, uint32_t gateway, const struct message *message,
          const struct request_decision *decision)
{
    struct message next = *message;
    next.from = gateway;
    if (decision->verdict == REQUEST_RUN) {
        fleet->runs[message->id]++;
        fleet->total_runs++;
    }
    else if (decision->verdict == REQUEST_FORWARD) {
        next.type = MESSAGE_CLAIM;
        next.hops++;
        next.to = gateway_index(fleet, decision->peer);
        send_message(fleet, next);
    }
    else if (decision->verdict == REQUEST_QUERY) {
        next.type = MESSAGE_QUERY;
        next.to = gateway_index(fleet, decision->peer);
        send_message(fleet, next);
    }
}

static void
deliver_query(struct fleet *fleet, struct message message)
{
    struct message reply = message;
    reply.type = MESSAGE_QUERY_REPLY;
    reply.from = message.to;
    reply.to = message.from;
    reply.reply = (struct id_query_reply){.result = ID_QUERY_UNREACHABLE};
    bool lost = random_below(&fleet->random, 10) == 0;
    if (fleet->alive[message.to] && !lost) {
        request_ids_query(fleet->tables[message.to], "team",
                          id_names[message.id], fleet->names[message.from],
                          fleet->now_ms, &reply.reply);
        for (size_t i = 0; i < reply.reply.n_earlier_owners; i++) {
            uint32_t j = gateway_index(fleet, reply.reply.earlier_owners[i]);
            reply.reply.earlier_owners[i] = fleet->names[j];
        }
    }
    send_message(fleet, reply);
}

static void
deliver_one(struct fleet *fleet)
{
    if (fleet->n_messages == 0) {
        return;
    }
    uint32_t pick = random_below(&fleet->random, fleet->n_messages);
    struct message message = fleet->messages[pick];
    fleet->messages[pick] = fleet->messages[--fleet->n_messages];
    if (message.type == MESSAGE_QUERY) {
        deliver_query(fleet, message);
        return;
    }
    if (!fleet->alive[message.to]) {
        return;
    }
    struct request_decision decision;
    struct request_ids *ids = fleet->tables[message.to];
    if (message.type == MESSAGE_QUERY_REPLY) {
        request_ids_query_answered(ids, "team", id_names[message.id],
                                   fleet->names[message.from], &message.reply,
                                   fleet->now_ms, &decision);
    }
    else {
        struct request_id request_id = request(id_names[message.id], 1);
        request_id.first_attempt = message.first_attempt;
        request_id.hops = message.hops;
        request_ids_claim(ids, &request_id, fleet->now_ms, &decision);
    }
    carry_out(fleet, message.to, &message, &decision);
}

static void
claim_at_random_gateway(struct fleet *fleet)
{
    uint32_t id = random_below(&fleet->random, ID_COUNT);
    struct message message = {
        .type = MESSAGE_CLAIM,
        .to = random_below(&fleet->random, fleet->started),
        .id = id,
        .first_attempt = !fleet->claimed[id],
    };
    fleet->claimed[id] = true;
    send_message(fleet, message);
}

/* A gateway that misses a change of the members loses its quorum lease before
 * another gateway can be fenced. Before a removal, all gateways that still
 * work therefore know the present members. */
static void
remove_member(struct fleet *fleet, uint32_t gone)
{
    for (uint32_t i = 0; i < fleet->started; i++) {
        if (fleet->alive[i]) {
            learn_members(fleet, i);
        }
    }
    fleet->member[gone] = false;
    fleet->epoch++;
}

static void
lose_or_remove_gateway(struct fleet *fleet)
{
    uint32_t i = random_below(&fleet->random, fleet->started);
    if (fleet->alive[i]) {
        fleet->alive[i] = false;
    }
    else if (fleet->member[i]) {
        remove_member(fleet, i);
    }
}

static void
step(struct fleet *fleet)
{
    uint32_t roll = random_below(&fleet->random, 100);
    if (roll < 25) {
        claim_at_random_gateway(fleet);
    }
    else if (roll < 75) {
        deliver_one(fleet);
    }
    else if (roll < 80) {
        start_gateway(fleet);
    }
    else if (roll < 84) {
        lose_or_remove_gateway(fleet);
    }
    else {
        uint32_t i = random_below(&fleet->random, fleet->started);
        if (fleet->alive[i]) {
            learn_members(fleet, i);
        }
    }
    fleet->now_ms += random_below(&fleet->random, 100);
}

/* Gateways join, die and are removed while requests and queries travel, arrive
 * in any order or get lost. Returns the runs; @max_runs: most runs of one id.
 */
static uint64_t
run_schedule(uint64_t seed, uint32_t *max_runs)
{
    struct fleet *fleet = g_new0(struct fleet, 1);
    fleet->random = random_seeded(seed);
    start_gateway(fleet);
    start_gateway(fleet);
    start_gateway(fleet);
    for (uint32_t i = 0; i < STEP_COUNT; i++) {
        step(fleet);
    }
    for (uint32_t i = 0; i < ID_COUNT; i++) {
        *max_runs = MAX(*max_runs, fleet->runs[i]);
    }
    for (uint32_t i = 0; i < fleet->started; i++) {
        request_ids_destroy(fleet->tables[i]);
    }
    uint64_t runs = fleet->total_runs;
    g_free(fleet);
    return runs;
}

/* No id may run twice, whichever gateway owned it at the time. */
static void
test_schedules(void)
{
    uint64_t runs = 0;
    for (uint64_t seed = 1; seed <= SCHEDULE_COUNT; seed++) {
        uint32_t max_runs = 0;
        runs += run_schedule(seed, &max_runs);
        if (max_runs > 1) {
            printf("\n  seed %llu\n", (unsigned long long)seed);
        }
        CU_ASSERT_FATAL(max_runs <= 1);
    }
    CU_ASSERT(runs > SCHEDULE_COUNT);
    printf(" %llu runs ", (unsigned long long)runs);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"wait, answer, conflict", test_wait_answer_conflict},
        {"previous owner alive", test_previous_owner_alive},
        {"previous owner gone", test_previous_owner_gone},
        {"entry limit", test_entry_limit},
        {"random schedules", test_schedules},
    };
    return suite_main("request ids", tests, G_N_ELEMENTS(tests));
}
