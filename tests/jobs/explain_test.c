/* What the scheduler says of a job that isn't sent. */
#include <string.h>

#include "../suite.h"
#include "core/jobs/explain.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

static const char small_task[] =
    "[{\"count\":1,\"cpu\":4000,\"mem_mb\":100,\"estimate_ms\":900}]";
static const char full_server[] =
    "[{\"count\":1,\"cpu\":16000,\"mem_mb\":100,\"estimate_ms\":900}]";

static struct step_explanation
explain(struct fleet_fixture *f, const char *steps)
{
    struct job_explanation explanation;
    struct job *job = fixture_create_job(f, JOB_B, "p", steps);
    guint before = f->commands->len;
    CU_ASSERT_FATAL(scheduler_explain(f->sched, job, &explanation));
    CU_ASSERT_STRING_EQUAL(explanation.pool, "p");
    CU_ASSERT_EQUAL(explanation.refusal_ms, 0);
    /* A question must leave no trace. */
    CU_ASSERT_EQUAL(f->commands->len, before);
    CU_ASSERT_PTR_NULL(scheduler_find_job(f->sched, JOB_B));
    job_unref(job);
    return explanation.steps[0];
}

/* Guards against an explanation that names another backend server than the one
 * on which the job then starts. */
static void
test_names_the_server(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_add_backend(&f, "b2", "p", "m2");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", small_task);
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    struct step_explanation step = explain(&f, small_task);
    CU_ASSERT_EQUAL(step.reason, WAIT_NONE);
    CU_ASSERT_EQUAL(step.servers, 2);
    CU_ASSERT_EQUAL(step.allowed, 2);
    CU_ASSERT_EQUAL(step.most_free_milli, 16000);
    CU_ASSERT_PTR_NOT_NULL_FATAL(step.backend_id);
    fixture_add_job(&f, JOB_B, "p", small_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_STRING_EQUAL(fixture_last(&f, COMMAND_START)->target,
                           step.backend_id);
    fixture_clear(&f);
}

/* Guards against a wrong reason: each task lacks one thing only. */
static void
test_names_the_reason(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    CU_ASSERT_EQUAL(explain(&f, small_task).reason, WAIT_NO_SERVER);
    fixture_add_backend(&f, "b1", "p", "m1");
    CU_ASSERT_EQUAL(explain(&f, small_task).reason, WAIT_NO_SERVER);
    fixture_reconcile(&f);
    CU_ASSERT_EQUAL(explain(&f, full_server).reason, WAIT_NONE);
    fixture_add_job(&f, JOB_A, "p", small_task);
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    struct step_explanation full = explain(&f, full_server);
    CU_ASSERT_EQUAL(full.reason, WAIT_CAPACITY);
    CU_ASSERT_EQUAL(full.suitable, 1);
    CU_ASSERT_EQUAL(full.fitting, 0);
    CU_ASSERT_EQUAL(full.most_free_milli, 12000);
    CU_ASSERT_EQUAL(explain(&f, "[{\"count\":1,\"cpu\":100,\"mem_mb\":1,"
                                "\"estimate_ms\":900,\"requires\":\"z\"}]")
                        .reason,
                    WAIT_CONSTRAINTS);
    CU_ASSERT_EQUAL(explain(&f, "[{\"count\":1,\"cpu\":100,\"mem_mb\":1,"
                                "\"estimate_ms\":900}]")
                        .reason,
                    WAIT_NONE);
    struct team_config *team = g_ptr_array_index(f.config->teams, 0);
    team->maximum.cpu_milli = 5000;
    scheduler_configure(f.sched, f.config);
    CU_ASSERT_EQUAL(explain(&f, small_task).reason, WAIT_MAXIMUM);
    team->maximum.cpu_milli = 0;
    scheduler_configure(f.sched, f.config);
    scheduler_set_leadership_valid(f.sched, false);
    CU_ASSERT_EQUAL(explain(&f, small_task).reason, WAIT_SUSPENDED);
    fixture_clear(&f);
}

static void
test_later_steps_and_unknown_queues(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_reconcile(&f);
    struct job_explanation explanation;
    struct job *job = fixture_create_job(
        &f, JOB_B, "p",
        "[{\"count\":1,\"cpu\":100,\"mem_mb\":1,\"estimate_ms\":9},"
        "{\"count\":1,\"cpu\":100,\"mem_mb\":1,\"estimate_ms\":9,"
        "\"after\":[0]}]");
    CU_ASSERT_FATAL(scheduler_explain(f.sched, job, &explanation));
    CU_ASSERT_EQUAL(explanation.steps[0].reason, WAIT_NONE);
    CU_ASSERT_EQUAL(explanation.steps[1].reason, WAIT_STEPS);
    CU_ASSERT_PTR_NULL(explanation.steps[1].backend_id);
    job_unref(job);
    job = fixture_create_job(&f, JOB_B, "gone", small_task);
    CU_ASSERT_FALSE(scheduler_explain(f.sched, job, &explanation));
    job_unref(job);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"names the backend server on which a job then starts",
         test_names_the_server},
        {"names what a task waits for", test_names_the_reason},
        {"later steps wait, and unknown queues are told",
         test_later_steps_and_unknown_queues},
    };
    return suite_main("jobs explain", tests, sizeof(tests) / sizeof(tests[0]));
}
