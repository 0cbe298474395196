/* Placement advice: queues whose policy allows only some backend servers. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

enum {
    BACKEND_COUNT = 60,
    TICKET_VALID_MS = 3000,
    /* 50 ms, and 5 ms for each of eight backend servers. */
    CALL_MS = 90,
    BLOCKED_COUNT = 150,
};

static const char four_tasks[] =
    "[{\"count\":4,\"cpu\":8000,\"mem_mb\":100,\"estimate_ms\":500}]";

/* Queue "p" needs placement advice; its backend servers are b00, b01, ... */
static void
init_with_advice(struct fleet_fixture *f, int n_backends)
{
    fixture_init(f, 0);
    ((struct queue_config *)g_ptr_array_index(f->config->queues, 0))
        ->needs_advice = true;
    for (int i = 0; i < n_backends; i++) {
        char id[8];
        char host[8];
        snprintf(id, sizeof(id), "b%02d", i);
        snprintf(host, sizeof(host), "m%02d", i);
        fixture_add_backend(f, id, "p", host);
    }
    fixture_reconcile(f);
}

/* Answers the open request for advice: @allowed_id gets a ticket, or none does
 * if NULL. */
static void
give_advice(struct fleet_fixture *f, const char *allowed_id)
{
    struct advice_grant grant = {.backend_id = allowed_id, .ticket = "t-1"};
    struct advice_answer answer = {.given = true,
                                   .valid_ms = TICKET_VALID_MS,
                                   .grants = &grant,
                                   .n_grants = allowed_id == NULL ? 0 : 1};
    scheduler_on_advice(f->sched, &answer);
    fixture_tick(f, f->now_ms + 10);
}

/* Tasks start only on backend servers that the advice allows, and each start
 * carries the ticket. */
static void
test_starts_need_a_ticket(void)
{
    struct fleet_fixture f;
    init_with_advice(&f, 3);
    fixture_add_job(&f, JOB_A, "p", four_tasks);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_REQUEST_ADVICE, NULL), 1);
    CU_ASSERT_STRING_EQUAL(fixture_last(&f, COMMAND_REQUEST_ADVICE)->task,
                           JOB_A ".0.0");
    /* One request at a time. */
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REQUEST_ADVICE, NULL), 1);
    give_advice(&f, "b01");
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b01"), 2);
    CU_ASSERT_STRING_EQUAL(fixture_last(&f, COMMAND_START)->ticket, "t-1");
    fixture_clear(&f);
}

/* In a large pool each request names few backend servers, and those that were
 * refused are not requested again. */
static void
test_requests_are_small(void)
{
    struct fleet_fixture f;
    init_with_advice(&f, BACKEND_COUNT);
    fixture_add_job(&f, JOB_A, "p", four_tasks);
    GHashTable *requested_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    uint32_t requests = 0;
    fixture_tick(&f, f.now_ms + 10);
    while (fixture_count(&f, COMMAND_REQUEST_ADVICE, NULL) > requests) {
        requests++;
        char **ids = g_strsplit(
            fixture_last(&f, COMMAND_REQUEST_ADVICE)->target, " ", 0);
        CU_ASSERT(g_strv_length(ids) <= 30);
        CU_ASSERT(requests > 1 || g_strv_length(ids) <= 8);
        for (char **id = ids; *id != NULL; id++) {
            CU_ASSERT_TRUE(g_hash_table_add(requested_ids, g_strdup(*id)));
        }
        g_strfreev(ids);
        give_advice(&f, NULL);
    }
    CU_ASSERT_EQUAL(g_hash_table_size(requested_ids), BACKEND_COUNT);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    g_hash_table_unref(requested_ids);
    fixture_clear(&f);
}

/* When tickets expire, advice is requested again for the backend servers that
 * were allowed before, and only for these if they suffice. */
static void
test_tickets_are_renewed(void)
{
    struct fleet_fixture f;
    init_with_advice(&f, 3);
    struct job *job = fixture_add_job(&f, JOB_A, "p",
                                      "[{\"count\":1,\"cpu\":8000,"
                                      "\"mem_mb\":100,\"estimate_ms\":500}]");
    fixture_tick(&f, f.now_ms + 10);
    give_advice(&f, "b01");
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b01"), 1);
    struct run_completion completion = {
        .number = 1, .task = JOB_A ".0.0.0", .run = 1, .reason = END_STOPPED};
    f.now_ms += TICKET_VALID_MS;
    fixture_report(&f, "b01", NULL, 0, &completion, 1);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_REQUEST_ADVICE, NULL), 2);
    CU_ASSERT_STRING_EQUAL(fixture_last(&f, COMMAND_REQUEST_ADVICE)->target,
                           "b01");
    give_advice(&f, "b01");
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b01"), 2);
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    fixture_clear(&f);
}

/* A ticket that a backend server refuses is dropped and requested anew. */
static void
test_refused_ticket(void)
{
    struct fleet_fixture f;
    init_with_advice(&f, 1);
    fixture_add_job(&f, JOB_A, "p", four_tasks);
    fixture_tick(&f, f.now_ms + 10);
    give_advice(&f, "b00");
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 2);
    for (guint i = 0; i < f.commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(f.commands, i);
        if (command->kind == COMMAND_START) {
            scheduler_on_start(f.sched, command->handle, START_NO_TICKET, 0);
        }
    }
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REQUEST_ADVICE, NULL), 2);
    fixture_clear(&f);
}

/* While the advice service is unavailable or busy, the request is repeated
 * after a delay, and other queues go on. */
static void
test_advice_unavailable(void)
{
    struct fleet_fixture f;
    init_with_advice(&f, 2);
    fixture_add_backend(&f, "c1", "q", "mq");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", four_tasks);
    fixture_add_job(&f, JOB_B, "q", four_tasks);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "c1"), 2);
    struct advice_answer unavailable = {.given = false};
    scheduler_on_advice(f.sched, &unavailable);
    fixture_tick(&f, f.now_ms + 50);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REQUEST_ADVICE, NULL), 1);
    fixture_tick(&f, f.now_ms + 150);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REQUEST_ADVICE, NULL), 2);
    fixture_clear(&f);
}

static void
add_team(struct fleet_fixture *f, const char *name, int64_t maximum_milli)
{
    struct team_config *team = g_new0(struct team_config, 1);
    team->name = g_strdup(name);
    team->maximum.cpu_milli = maximum_milli;
    g_ptr_array_add(f->config->teams, team);
    scheduler_configure(f->sched, f->config);
}

static void
add_job_of(struct fleet_fixture *f, const char *id, const char *team,
           const char *steps)
{
    struct job *job = fixture_create_job(f, id, "p", steps);
    g_free(job->team);
    job->team = g_strdup(team);
    scheduler_add_job(f->sched, job);
    job_unref(job);
}

/* Answers the open request as the platform does: the backend servers that it
 * names may run the step. */
static void
allow_all(struct fleet_fixture *f)
{
    char **ids =
        g_strsplit(fixture_last(f, COMMAND_REQUEST_ADVICE)->target, " ", -1);
    guint n_ids = g_strv_length(ids);
    struct advice_grant *grants = g_new0(struct advice_grant, n_ids + 1);
    for (guint i = 0; i < n_ids; i++) {
        grants[i] =
            (struct advice_grant){.backend_id = ids[i], .ticket = "t-1"};
    }
    struct advice_answer answer = {.given = true,
                                   .valid_ms = TICKET_VALID_MS,
                                   .grants = grants,
                                   .n_grants = n_ids};
    scheduler_on_advice(f->sched, &answer);
    g_free(grants);
    g_strfreev(ids);
}

/* Time until a job of another account starts, while @blocked jobs of one that
 * is at its maximum wait. A call takes CALL_MS. */
static int64_t
start_of_other_account_ms(const char *blocked_steps)
{
    struct fleet_fixture f;
    init_with_advice(&f, 8);
    add_team(&f, "full", 8000);
    add_team(&f, "other", 0);
    add_job_of(&f, JOB_A, "full",
               "[{\"count\":8,\"cpu\":1000,\"mem_mb\":100,"
               "\"long_running\":true}]");
    fixture_tick(&f, f.now_ms + 10);
    allow_all(&f);
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 8);
    for (int i = 0; i < BLOCKED_COUNT; i++) {
        char *id = g_strdup_printf("0000000000001%03x", i);
        add_job_of(&f, id, "full", blocked_steps);
        g_free(id);
    }
    fixture_tick(&f, f.now_ms + 10);
    add_job_of(&f, JOB_B, "other",
               "[{\"count\":4,\"cpu\":1500,\"mem_mb\":100,"
               "\"estimate_ms\":500}]");
    int64_t begin_ms = f.now_ms;
    int64_t sent_ms = begin_ms;
    uint32_t answered = 1;
    while (fixture_count(&f, COMMAND_START, NULL) == 8 &&
           f.now_ms < begin_ms + 18000) {
        fixture_tick(&f, f.now_ms + 10);
        if (fixture_count(&f, COMMAND_REQUEST_ADVICE, NULL) == answered) {
            sent_ms = f.now_ms;
        }
        else if (f.now_ms - sent_ms >= CALL_MS) {
            answered++;
            allow_all(&f);
        }
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 8 + 4);
    int64_t passed_ms = f.now_ms - begin_ms;
    fixture_clear(&f);
    return passed_ms;
}

/* Guards against jobs of a client account at its maximum that take all calls
 * for advice, so that no other account has a start. */
static void
test_account_at_its_maximum(void)
{
    /* One call, and the passes before and after it. */
    CU_ASSERT(
        start_of_other_account_ms("[{\"count\":4,\"cpu\":1000,\"mem_mb\":100,"
                                  "\"estimate_ms\":500}]") <= CALL_MS + 50);
    CU_ASSERT(start_of_other_account_ms(
                  "[{\"count\":4,\"cpu\":1000,\"mem_mb\":100,"
                  "\"estimate_ms\":500,\"gang\":true}]") <= CALL_MS + 50);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"starts need a ticket", test_starts_need_a_ticket},
        {"requests for advice are small", test_requests_are_small},
        {"tickets are renewed", test_tickets_are_renewed},
        {"a refused ticket is requested anew", test_refused_ticket},
        {"advice is unavailable", test_advice_unavailable},
        {"a client account at its maximum", test_account_at_its_maximum},
    };
    return suite_main("jobs advice", tests, sizeof(tests) / sizeof(tests[0]));
}
