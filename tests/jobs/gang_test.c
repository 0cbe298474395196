/* Gangs whose members end, or were run, under several leaders. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "fleet_fixture.h"
#include "platform/kv.h"

#define JOB_A "00000000000000a1"

enum {
    MEMBER_COUNT = 4,
    /* Of the queues of the fixture. */
    ATTEMPT_COUNT = 3,
    PASS_MS = 100,
    CALM_MS = 15000,
};

/* One member fills more than half of a backend server. */
static const char gang[] =
    "[{\"count\":4,\"cpu\":9000,\"mem_mb\":10,\"estimate_ms\":500,"
    "\"gang\":true,\"checkpointing\":true},"
    "{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":500,"
    "\"after\":[0]}]";

static void
init_fleet(struct fleet_fixture *f)
{
    static const char *const pools[] = {"p", "p", "p", "p", "p", NULL};
    fixture_init(f, 1);
    fixture_add_hosts(f, pools);
}

static struct job *
inherit_job(struct fleet_fixture *f, const char *record)
{
    struct job *job = fixture_create_job(f, JOB_A, "p", gang);
    job->inherited = true;
    if (record != NULL) {
        CU_ASSERT(record_progress_apply(job, record, strlen(record)));
    }
    scheduler_add_job(f->sched, job);
    job_unref(job);
    return job;
}

/* Passes for @duration_ms, in which no backend server reports anything. */
static void
pass_calmly(struct fleet_fixture *f, int64_t duration_ms)
{
    static const char *const ids[] = {"b0", "b1", "b2", "b3", "b4"};
    int64_t until_ms = f->now_ms + duration_ms;
    while (f->now_ms < until_ms) {
        fixture_tick(f, f->now_ms + PASS_MS);
        for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
            fixture_report(f, ids[i], NULL, 0, NULL, 0);
        }
    }
}

/* The end of a member as "b@member" lists it. */
static void
report_end(struct fleet_fixture *f, uint32_t member,
           enum completion_reason reason, uint32_t run, int64_t number)
{
    char id[8];
    char task[JOB_ID_CHARS + 16];
    snprintf(id, sizeof(id), "b%u", member);
    snprintf(task, sizeof(task), JOB_A ".0.0.%u", member);
    struct run_completion end = {.number = number,
                                 .task = task,
                                 .run = run,
                                 .reason = reason,
                                 .saved = ""};
    fixture_report(f, id, NULL, 0, &end, 1);
}

/* Guards against a gang that is neither done nor started again, since the next
 * leader reads the ends of all of its members but one: the list of that one is
 * gone with its backend server. */
static void
test_one_end_stands_for_all(void)
{
    for (uint32_t lost = 0; lost < MEMBER_COUNT; lost++) {
        struct fleet_fixture f;
        init_fleet(&f);
        const struct job *job = inherit_job(&f, NULL);
        for (uint32_t t = 0; t < MEMBER_COUNT; t++) {
            if (t != lost) {
                report_end(&f, t, END_DONE, 1, 1);
            }
        }
        pass_calmly(&f, CALM_MS);
        CU_ASSERT_EQUAL(job_step_done(job, 0, 0), MEMBER_COUNT);
        /* The step after the gang starts, and nothing of the gang does. */
        CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
        const struct recorded_command *start = fixture_last(&f, COMMAND_START);
        CU_ASSERT_PTR_NOT_NULL_FATAL(start);
        CU_ASSERT_STRING_EQUAL(start->task, JOB_A ".0.1.0");
        fixture_clear(&f);
    }
}

/* Guards against the same in the record of a leader of an earlier version. */
static void
test_half_done_record(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    const struct job *job =
        inherit_job(&f, "{\"state\":\"active\",\"occurrences\":[0],"
                        "\"parts\":[\"dd.d\",\".\"]}");
    CU_ASSERT_EQUAL(job_step_done(job, 0, 0), MEMBER_COUNT);
    pass_calmly(&f, CALM_MS);
    const struct recorded_command *start = fixture_last(&f, COMMAND_START);
    CU_ASSERT_PTR_NOT_NULL_FATAL(start);
    CU_ASSERT_STRING_EQUAL(start->task, JOB_A ".0.1.0");
    fixture_clear(&f);
}

/* Run of member @member on the backend server that was told to start it. */
static const struct run *
run_of(const struct job *job, uint32_t member)
{
    return job_step_progress((struct job *)job, 0, 0)->tasks[member].run;
}

/* The end of the run that is the @number-th of all members, with checkpoints
 * of their own, named by @saved and the member: member @failed ends as failed,
 * the others as broken. */
static void
report_failed_run(struct fleet_fixture *f, const struct job *job,
                  uint32_t number, uint32_t failed, const char *saved)
{
    fixture_accept_starts(f);
    for (uint32_t t = 0; t < MEMBER_COUNT; t++) {
        const struct run *run = run_of(job, t);
        CU_ASSERT_PTR_NOT_NULL_FATAL(run);
        char *id = g_strdup(run->backend->entry.id);
        char *task = g_strdup_printf(JOB_A ".0.0.%u", t);
        char *checkpoint = g_strdup_printf("%s%u", saved, t);
        struct run_completion end = {.number = number,
                                     .task = task,
                                     .run = run->number,
                                     .reason =
                                         t == failed ? END_FAILED : END_BROKEN,
                                     .saved = checkpoint};
        fixture_report(f, id, NULL, 0, &end, 1);
        g_free(id);
        g_free(task);
        g_free(checkpoint);
    }
}

static void
pass_until_start(struct fleet_fixture *f, uint32_t starts)
{
    int64_t until_ms = f->now_ms + CALM_MS;
    while (f->now_ms < until_ms &&
           fixture_count(f, COMMAND_START, NULL) < starts) {
        fixture_tick(f, f->now_ms + PASS_MS);
    }
}

/* Guards against members that start again from different checkpoints, so that
 * the gang never begins to work. */
static void
test_members_share_a_checkpoint(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_reconcile(&f);
    const struct job *job = fixture_add_job(&f, JOB_A, "p", gang);
    pass_until_start(&f, MEMBER_COUNT);
    report_failed_run(&f, job, 1, 0, "s");
    pass_until_start(&f, 2 * MEMBER_COUNT);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 2 * MEMBER_COUNT);
    for (uint32_t t = 0; t < MEMBER_COUNT; t++) {
        /* That of the last report. */
        CU_ASSERT_EQUAL(
            g_strcmp0(
                job_step_progress((struct job *)job, 0, 0)->tasks[t].saved,
                "s3"),
            0);
    }
    fixture_clear(&f);
}

/* Guards against a gang that is started up to attempts times per member, since
 * another member fails each time. */
static void
test_attempts_count_by_gang(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(&f, JOB_A, "p", gang);
    job_ref(job);
    for (uint32_t number = 1; number <= ATTEMPT_COUNT; number++) {
        pass_until_start(&f, number * MEMBER_COUNT);
        CU_ASSERT_EQUAL_FATAL(job->state, JOB_ACTIVE);
        report_failed_run(&f, job, number, number % MEMBER_COUNT, "s");
    }
    CU_ASSERT_EQUAL(job->state, JOB_FAILED);
    pass_until_start(&f, (ATTEMPT_COUNT + 1) * MEMBER_COUNT);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL),
                    ATTEMPT_COUNT * MEMBER_COUNT);
    job_unref(job);
    fixture_clear(&f);
}

/* The same under a leader that reads the failures instead of tracking them. */
static void
test_attempts_count_by_gang_untracked(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    const struct job *job = inherit_job(&f, NULL);
    for (uint32_t t = 0; t < ATTEMPT_COUNT; t++) {
        CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
        report_end(&f, t, END_FAILED, t + 1, 1);
    }
    CU_ASSERT_EQUAL(job->state, JOB_FAILED);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"the end of one member stands for all", test_one_end_stands_for_all},
        {"a record of a gang that is done in part", test_half_done_record},
        {"members share a checkpoint", test_members_share_a_checkpoint},
        {"attempts count by gang", test_attempts_count_by_gang},
        {"attempts count by gang, read by the next leader",
         test_attempts_count_by_gang_untracked},
    };
    return suite_main("jobs gang", tests, G_N_ELEMENTS(tests));
}
