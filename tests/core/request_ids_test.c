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
table(const char *self)
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

/* An id that @owner owns among @members and @before did among the rest. */
static char *
id_moving(const char *owner, const char *before)
{
    static const char *const two[] = {"a", "b"};
    for (uint32_t i = 0;; i++) {
        char *id = g_strdup_printf("id-%u", i);
        if (!strcmp(rendezvous_owner(three, 3, "team", id), owner) &&
            !strcmp(rendezvous_owner(two, 2, "team", id), before)) {
            return id;
        }
        g_free(id);
    }
}

static void
test_join_answer_conflict(void)
{
    struct request_ids *ids = table("a");
    static const char *const alone[] = {"a"};
    request_ids_set_members(ids, alone, 1, 1, 0);
    struct request_decision decision;
    struct request_id wanted = request("x", 1);
    request_ids_claim(ids, &wanted, 0, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_RUN);
    wanted.task = 2;
    request_ids_claim(ids, &wanted, 1, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_WAIT);
    wanted.body_hash_hex = "h2";
    request_ids_claim(ids, &wanted, 1, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_ANSWER);
    CU_ASSERT_EQUAL(decision.reason, REASON_ID_CONFLICT);
    GBytes *answer = g_bytes_new_static("ok", 2);
    request_ids_finished(ids, "team", "x", OUTCOME_DONE, REASON_NONE, answer,
                         2, &decision);
    CU_ASSERT_EQUAL(decision.n_tasks, 2);
    CU_ASSERT_EQUAL(decision.tasks[1], 2);
    wanted = request("x", 3);
    request_ids_claim(ids, &wanted, RETENTION_MS, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_ANSWER);
    CU_ASSERT_PTR_EQUAL(decision.answer, answer);
    g_bytes_unref(answer);
    request_ids_claim(ids, &wanted, RETENTION_MS * 3, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_RUN);
    request_ids_finished(ids, "team", "x", OUTCOME_NOT_RUN, REASON_DEADLINE,
                         NULL, RETENTION_MS * 3, &decision);
    CU_ASSERT_EQUAL(request_ids_count(ids), 0);
    request_ids_destroy(ids);
}

static void
test_old_owner_alive(void)
{
    struct request_ids *a = table("a");
    struct request_ids *c = table("c");
    request_ids_set_members(a, three, 1, 1, 0);
    request_ids_set_members(a, three, 2, 2, 0);
    char *id = id_moving("c", "a");
    struct request_decision decision;
    struct request_id wanted = request(id, 1);
    request_ids_claim(a, &wanted, 0, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_RUN);
    request_ids_set_members(c, three, 3, 3, 10);
    request_ids_claim(c, &wanted, 10, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_QUERY);
    CU_ASSERT_STRING_EQUAL(decision.peer, "a");
    struct id_query_reply report;
    request_ids_query(a, "team", id, "c", 11, &report);
    CU_ASSERT_EQUAL(report.result, ID_QUERY_RUNNING);
    request_ids_query_answered(c, "team", id, "a", &report, 12, &decision);
    CU_ASSERT_EQUAL(decision.verdict, REQUEST_FORWARD);
    g_free(id);
    request_ids_destroy(a);
    request_ids_destroy(c);
}

static enum reason
reason_after_owner_gone(bool first_attempt)
{
    struct request_ids *a = table("a");
    static const char *const two[] = {"a", "b"};
    request_ids_set_members(a, three, 3, 1, 0);
    request_ids_set_members(a, two, 2, 2, 10);
    char *id = id_moving("c", "a");
    struct request_decision decision;
    struct request_id wanted = request(id, 1);
    wanted.first_attempt = first_attempt;
    request_ids_claim(a, &wanted, 20, &decision);
    g_free(id);
    enum reason reason = decision.reason;
    CU_ASSERT_EQUAL(decision.verdict,
                    first_attempt ? REQUEST_RUN : REQUEST_ANSWER);
    request_ids_destroy(a);
    return reason;
}

static void
test_old_owner_gone(void)
{
    CU_ASSERT_EQUAL(reason_after_owner_gone(false), REASON_ID_OWNER_GONE);
    CU_ASSERT_EQUAL(reason_after_owner_gone(true), REASON_NONE);
}

static void
test_bound(void)
{
    struct request_ids *ids = table("a");
    static const char *const alone[] = {"a"};
    request_ids_set_members(ids, alone, 1, 1, 0);
    struct request_decision decision;
    for (uint32_t i = 0; i < 101; i++) {
        char *id = g_strdup_printf("id-%u", i);
        struct request_id wanted = request(id, i);
        request_ids_claim(ids, &wanted, 0, &decision);
        g_free(id);
    }
    CU_ASSERT_EQUAL(decision.reason, REASON_OVERLOAD);
    CU_ASSERT_EQUAL(request_ids_count(ids), 100);
    request_ids_destroy(ids);
}

enum {
    SCHEDULES = 1500,
    STEPS = 120,
    GATEWAYS = 12,
    IDS = 4,
    MAX_MAIL = 4096,
};

enum mail_type {
    MAIL_CLAIM,
    MAIL_ASK,
    MAIL_TOLD,
};

struct mail {
    enum mail_type type;
    uint32_t from;
    uint32_t to;
    uint32_t id;
    uint32_t hops;
    bool first_attempt;
    struct id_query_reply report;
};

struct fleet {
    struct random random;
    struct request_ids *tables[GATEWAYS];
    char names[GATEWAYS][4];
    bool alive[GATEWAYS];
    bool member[GATEWAYS];
    uint32_t started;
    uint64_t epoch;
    struct mail mail[MAX_MAIL];
    uint32_t n_mail;
    bool claimed[IDS];
    uint32_t runs[IDS];
    uint64_t total_runs;
    int64_t now_ms;
};

static const char *const id_names[IDS] = {"w", "x", "y", "z"};

static void
post(struct fleet *fleet, struct mail mail)
{
    if (fleet->n_mail < MAX_MAIL) {
        fleet->mail[fleet->n_mail++] = mail;
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
    const char *members[GATEWAYS];
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
    if (fleet->started == GATEWAYS) {
        return;
    }
    uint32_t i = fleet->started++;
    g_snprintf(fleet->names[i], sizeof(fleet->names[i]), "g%u", i);
    fleet->tables[i] = table(fleet->names[i]);
    fleet->alive[i] = fleet->member[i] = true;
    fleet->epoch++;
    learn_members(fleet, i);
}

static void
act(struct fleet *fleet, uint32_t gateway, const struct mail *mail,
    const struct request_decision *decision)
{
    struct mail next = *mail;
    next.from = gateway;
    if (decision->verdict == REQUEST_RUN) {
        fleet->runs[mail->id]++;
        fleet->total_runs++;
    }
    else if (decision->verdict == REQUEST_FORWARD) {
        next.type = MAIL_CLAIM;
        next.hops++;
        next.to = gateway_index(fleet, decision->peer);
        post(fleet, next);
    }
    else if (decision->verdict == REQUEST_QUERY) {
        next.type = MAIL_ASK;
        next.to = gateway_index(fleet, decision->peer);
        post(fleet, next);
    }
}

static void
deliver_ask(struct fleet *fleet, struct mail mail)
{
    struct mail answer = mail;
    answer.type = MAIL_TOLD;
    answer.from = mail.to;
    answer.to = mail.from;
    answer.report = (struct id_query_reply){.result = ID_QUERY_UNREACHABLE};
    bool lost = random_below(&fleet->random, 10) == 0;
    if (fleet->alive[mail.to] && !lost) {
        request_ids_query(fleet->tables[mail.to], "team", id_names[mail.id],
                          fleet->names[mail.from], fleet->now_ms,
                          &answer.report);
        for (size_t i = 0; i < answer.report.n_earlier_owners; i++) {
            uint32_t j = gateway_index(fleet, answer.report.earlier_owners[i]);
            answer.report.earlier_owners[i] = fleet->names[j];
        }
    }
    post(fleet, answer);
}

static void
deliver(struct fleet *fleet)
{
    if (fleet->n_mail == 0) {
        return;
    }
    uint32_t pick = random_below(&fleet->random, fleet->n_mail);
    struct mail mail = fleet->mail[pick];
    fleet->mail[pick] = fleet->mail[--fleet->n_mail];
    if (mail.type == MAIL_ASK) {
        deliver_ask(fleet, mail);
        return;
    }
    if (!fleet->alive[mail.to]) {
        return;
    }
    struct request_decision decision;
    struct request_ids *ids = fleet->tables[mail.to];
    if (mail.type == MAIL_TOLD) {
        request_ids_query_answered(ids, "team", id_names[mail.id],
                                   fleet->names[mail.from], &mail.report,
                                   fleet->now_ms, &decision);
    }
    else {
        struct request_id wanted = request(id_names[mail.id], 1);
        wanted.first_attempt = mail.first_attempt;
        wanted.hops = mail.hops;
        request_ids_claim(ids, &wanted, fleet->now_ms, &decision);
    }
    act(fleet, mail.to, &mail, &decision);
}

static void
claim_somewhere(struct fleet *fleet)
{
    uint32_t id = random_below(&fleet->random, IDS);
    struct mail mail = {
        .type = MAIL_CLAIM,
        .to = random_below(&fleet->random, fleet->started),
        .id = id,
        .first_attempt = !fleet->claimed[id],
    };
    fleet->claimed[id] = true;
    post(fleet, mail);
}

/* Fencing takes longer than a gateway that misses a change of the members
 * keeps its standing, so all that work know the set before a removal. */
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
lose_gateway(struct fleet *fleet)
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
        claim_somewhere(fleet);
    }
    else if (roll < 75) {
        deliver(fleet);
    }
    else if (roll < 80) {
        start_gateway(fleet);
    }
    else if (roll < 84) {
        lose_gateway(fleet);
    }
    else {
        uint32_t i = random_below(&fleet->random, fleet->started);
        if (fleet->alive[i]) {
            learn_members(fleet, i);
        }
    }
    fleet->now_ms += random_below(&fleet->random, 100);
}

static uint64_t
run_schedule(uint64_t seed, uint32_t *most_runs)
{
    struct fleet *fleet = g_new0(struct fleet, 1);
    fleet->random = random_seeded(seed);
    start_gateway(fleet);
    start_gateway(fleet);
    start_gateway(fleet);
    for (uint32_t i = 0; i < STEPS; i++) {
        step(fleet);
    }
    for (uint32_t i = 0; i < IDS; i++) {
        *most_runs = MAX(*most_runs, fleet->runs[i]);
    }
    for (uint32_t i = 0; i < fleet->started; i++) {
        request_ids_destroy(fleet->tables[i]);
    }
    uint64_t runs = fleet->total_runs;
    g_free(fleet);
    return runs;
}

static void
test_schedules(void)
{
    uint64_t runs = 0;
    for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
        uint32_t most_runs = 0;
        runs += run_schedule(seed, &most_runs);
        if (most_runs > 1) {
            printf("\n  seed %llu\n", (unsigned long long)seed);
        }
        CU_ASSERT_FATAL(most_runs <= 1);
    }
    CU_ASSERT(runs > SCHEDULES);
    printf(" %llu runs ", (unsigned long long)runs);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"join, answer, conflict", test_join_answer_conflict},
        {"old owner alive", test_old_owner_alive},
        {"old owner gone", test_old_owner_gone},
        {"bound", test_bound},
        {"schedules", test_schedules},
    };
    return suite_main("request ids", tests, G_N_ELEMENTS(tests));
}
