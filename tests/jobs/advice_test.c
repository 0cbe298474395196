/* Queues whose policy allows only some backend servers. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

enum {
    BACKENDS = 60,
    VALID_MS = 3000,
};

static const char four_tasks[] =
    "[{\"count\":4,\"cpu\":8000,\"mem_mb\":100,\"estimate_ms\":500}]";

/* Queue "p" needs advice; its backend servers are b00, b01, ... */
static void
start_advised(struct fleet_fixture *f, int n_backends)
{
    fixture_init(f, 0);
    ((struct queue_config *)g_ptr_array_index(f->config->queues, 0))
        ->needs_advice = true;
    for (int i = 0; i < n_backends; i++) {
        char id[8];
        char host[8];
        snprintf(id, sizeof(id), "b%02d", i);
        snprintf(host, sizeof(host), "m%02d", i);
        fixture_backend(f, id, "p", host);
    }
    fixture_settle(f);
}

/* Answers the open question: @good is allowed, or nobody if NULL. */
static void
answer(struct fleet_fixture *f, const char *good)
{
    struct advice_grant row = {.backend_id = good, .ticket = "t-1"};
    struct advice_answer given = {.given = true,
                                  .valid_ms = VALID_MS,
                                  .grants = &row,
                                  .n_grants = good == NULL ? 0 : 1};
    scheduler_on_advice(f->sched, &given);
    fixture_tick(f, f->now_ms + 10);
}

/* Nothing starts on a backend server that was not named, and a start carries
 * its ticket. */
static void
test_starts_need_a_ticket(void)
{
    struct fleet_fixture f;
    start_advised(&f, 3);
    fixture_job(&f, JOB_A, "p", four_tasks);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_START, NULL), 0);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, ORDER_ADVISE, NULL), 1);
    CU_ASSERT_STRING_EQUAL(fixture_last(&f, ORDER_ADVISE)->task, JOB_A ".0.0");
    /* One question at a time. */
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_ADVISE, NULL), 1);
    answer(&f, "b01");
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_START, NULL), 2);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_START, "b01"), 2);
    CU_ASSERT_STRING_EQUAL(fixture_last(&f, ORDER_START)->ticket, "t-1");
    fixture_clear(&f);
}

/* A large pool: a question names few, and what was refused is not asked
 * again. */
static void
test_questions_are_small(void)
{
    struct fleet_fixture f;
    start_advised(&f, BACKENDS);
    fixture_job(&f, JOB_A, "p", four_tasks);
    GHashTable *asked =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    uint32_t questions = 0;
    fixture_tick(&f, f.now_ms + 10);
    while (fixture_count(&f, ORDER_ADVISE, NULL) > questions) {
        questions++;
        char **ids =
            g_strsplit(fixture_last(&f, ORDER_ADVISE)->target, " ", 0);
        CU_ASSERT(g_strv_length(ids) <= 30);
        CU_ASSERT(questions > 1 || g_strv_length(ids) <= 8);
        for (char **id = ids; *id != NULL; id++) {
            CU_ASSERT_TRUE(g_hash_table_add(asked, g_strdup(*id)));
        }
        g_strfreev(ids);
        answer(&f, NULL);
    }
    CU_ASSERT_EQUAL(g_hash_table_size(asked), BACKENDS);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_START, NULL), 0);
    g_hash_table_unref(asked);
    fixture_clear(&f);
}

/* Tickets end: those who were allowed are asked about again, and only they
 * if they suffice. */
static void
test_tickets_are_renewed(void)
{
    struct fleet_fixture f;
    start_advised(&f, 3);
    struct job *job = fixture_job(&f, JOB_A, "p",
                                  "[{\"count\":1,\"cpu\":8000,"
                                  "\"mem_mb\":100,\"estimate_ms\":500}]");
    fixture_tick(&f, f.now_ms + 10);
    answer(&f, "b01");
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_START, "b01"), 1);
    struct run_completion end = {
        .number = 1, .task = JOB_A ".0.0.0", .run = 1, .reason = END_STOPPED};
    f.now_ms += VALID_MS;
    fixture_lists(&f, "b01", NULL, 0, &end, 1);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_START, NULL), 1);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, ORDER_ADVISE, NULL), 2);
    CU_ASSERT_STRING_EQUAL(fixture_last(&f, ORDER_ADVISE)->target, "b01");
    answer(&f, "b01");
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_START, "b01"), 2);
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    fixture_clear(&f);
}

/* A ticket that is not taken is forgotten and asked for again. */
static void
test_refused_ticket(void)
{
    struct fleet_fixture f;
    start_advised(&f, 1);
    fixture_job(&f, JOB_A, "p", four_tasks);
    fixture_tick(&f, f.now_ms + 10);
    answer(&f, "b00");
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, ORDER_START, NULL), 2);
    for (guint i = 0; i < f.orders->len; i++) {
        const struct order *order = g_ptr_array_index(f.orders, i);
        if (order->kind == ORDER_START) {
            scheduler_on_start(f.sched, order->handle, START_NO_TICKET, 0);
        }
    }
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_START, NULL), 2);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_ADVISE, NULL), 2);
    fixture_clear(&f);
}

/* The service is away or busy: the question is asked again after a pause, and
 * other queues go on. */
static void
test_service_away(void)
{
    struct fleet_fixture f;
    start_advised(&f, 2);
    fixture_backend(&f, "c1", "q", "mq");
    fixture_settle(&f);
    fixture_job(&f, JOB_A, "p", four_tasks);
    fixture_job(&f, JOB_B, "q", four_tasks);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_START, "c1"), 2);
    struct advice_answer none = {.given = false};
    scheduler_on_advice(f.sched, &none);
    fixture_tick(&f, f.now_ms + 50);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_ADVISE, NULL), 1);
    fixture_tick(&f, f.now_ms + 150);
    CU_ASSERT_EQUAL(fixture_count(&f, ORDER_ADVISE, NULL), 2);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"starts need a ticket", test_starts_need_a_ticket},
        {"questions are small", test_questions_are_small},
        {"tickets are renewed", test_tickets_are_renewed},
        {"a refused ticket", test_refused_ticket},
        {"the service is away", test_service_away},
    };
    return suite_main("jobs advice", tests, sizeof(tests) / sizeof(tests[0]));
}
