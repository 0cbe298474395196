/* Service tasks whose runs end by themselves: they start again until their job
 * is cancelled, under the leader that started them and under those that read
 * its records. */
#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "fleet_fixture.h"
#include "platform/kv.h"

#define JOB_A "00000000000000a1"

enum {
    TASK_COUNT = 3,
    PASS_MS = 100,
    /* An inherited job starts once reports have settled what runs. */
    CALM_MS = 15000,
    TIMED_OCCURRENCES = 3,
    ENDS = 40,
};

/* One task fills more than half of a backend server. */
static const char service[] =
    "[{\"count\":3,\"cpu\":9000,\"mem_mb\":10,\"long_running\":true}]";
static const char service_gang[] =
    "[{\"count\":3,\"cpu\":9000,\"mem_mb\":10,\"long_running\":true,"
    "\"gang\":true}]";
/* The service waits for a short task, and another one waits for the service.
 */
static const char mixed[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":500},"
    "{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"long_running\":true,"
    "\"after\":[0]},"
    "{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":500,"
    "\"after\":[1]}]";

static const char *const backend_ids[] = {"b0", "b1", "b2", "b3"};

static void
init_fleet(struct fleet_fixture *f)
{
    static const char *const pools[] = {"p", "p", "p", "p", NULL};
    fixture_init(f, 1);
    fixture_add_hosts(f, pools);
}

/* A job with the progress that a previous leader has stored; NULL: none. */
static struct job *
inherit_job(struct fleet_fixture *f, const char *steps, const char *record)
{
    struct job *job = fixture_create_job(f, JOB_A, "p", steps);
    job->inherited = true;
    if (record != NULL) {
        CU_ASSERT(record_progress_apply(job, record, strlen(record)));
    }
    scheduler_add_job(f->sched, job);
    job_unref(job);
    return job;
}

static const struct run *
run_of(struct job *job, uint32_t occurrence, uint32_t step, uint32_t index)
{
    return job_step_progress(job, occurrence, step)->tasks[index].run;
}

/* Runs that @id is known to have, as it reports them; returns their number.
 * Free the tasks with clear_running(). */
static size_t
running_on(const struct fleet_fixture *f, const char *id,
           struct reported_run running[])
{
    const struct backend *backend = scheduler_find_backend(f->sched, id);
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        running[i] = (struct reported_run){
            .task = g_strdup_printf("%s.%u.%u.%u", run->job->id,
                                    run->occurrence, run->step, run->index),
            .number = run->number,
            .saved = "",
            .percent = 100,
        };
    }
    return backend->runs->len;
}

static void
clear_running(struct reported_run running[], size_t n_running)
{
    for (size_t i = 0; i < n_running; i++) {
        g_free((char *)running[i].task);
    }
}

/* Passes in which every start is carried out, and nothing ends. */
static void
pass_calmly(struct fleet_fixture *f, int64_t duration_ms)
{
    int64_t until_ms = f->now_ms + duration_ms;
    while (f->now_ms < until_ms) {
        fixture_tick(f, f->now_ms + PASS_MS);
        fixture_accept_starts(f);
        for (size_t i = 0; i < G_N_ELEMENTS(backend_ids); i++) {
            struct reported_run running[64];
            size_t n_running = running_on(f, backend_ids[i], running);
            fixture_report(f, backend_ids[i], running, n_running, NULL, 0);
            clear_running(running, n_running);
        }
    }
}

/* The end of a run that its backend server lists as @number. */
static void
report_end(struct fleet_fixture *f, const char *id, const char *task,
           uint32_t run, enum completion_reason reason, int64_t number)
{
    struct run_completion end = {.number = number,
                                 .task = task,
                                 .run = run,
                                 .reason = reason,
                                 .saved = ""};
    fixture_report(f, id, NULL, 0, &end, 1);
}

/* Ends the run of a task by itself. */
static void
end_run(struct fleet_fixture *f, const struct run *run,
        enum completion_reason reason, int64_t number)
{
    CU_ASSERT_PTR_NOT_NULL_FATAL(run);
    char *task = g_strdup_printf("%s.%u.%u.%u", run->job->id, run->occurrence,
                                 run->step, run->index);
    char *id = g_strdup(run->backend->entry.id);
    uint32_t run_number = run->number;
    report_end(f, id, task, run_number, reason, number);
    g_free(task);
    g_free(id);
}

static bool
all_run(struct job *job, uint32_t step)
{
    bool all = true;
    for (uint32_t t = 0; t < job->steps[step].task_count; t++) {
        all = all && run_of(job, 0, step, t) != NULL;
    }
    return all;
}

/* Guards against a service task that never starts again after an end as done,
 * and a job that is shown as completed when all of its tasks have ended so. */
static void
test_ends_as_done(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(&f, JOB_A, "p", service);
    pass_calmly(&f, PASS_MS);
    for (uint32_t t = 0; t < TASK_COUNT; t++) {
        uint32_t before = run_of(job, 0, 0, t)->number;
        end_run(&f, run_of(job, 0, 0, t), END_DONE, 1 + t);
        pass_calmly(&f, PASS_MS);
        CU_ASSERT_PTR_NOT_NULL_FATAL(run_of(job, 0, 0, t));
        CU_ASSERT(run_of(job, 0, 0, t)->number > before);
    }
    /* All of them before the next pass. */
    for (uint32_t t = 0; t < TASK_COUNT; t++) {
        end_run(&f, run_of(job, 0, 0, t), END_DONE, 10 + t);
    }
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    CU_ASSERT_EQUAL(job_step_done(job, 0, 0), 0);
    pass_calmly(&f, PASS_MS);
    CU_ASSERT(all_run(job, 0));
    fixture_clear(&f);
}

/* Guards against the same for ends that only the next leader reads, and
 * against its stopping a later run for the end of an earlier one. */
static void
test_untracked_ends(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    struct job *job = inherit_job(&f, service, NULL);
    for (uint32_t t = 0; t < TASK_COUNT; t++) {
        char *task = g_strdup_printf(JOB_A ".0.0.%u", t);
        report_end(&f, backend_ids[t], task, 1, END_DONE, 1);
        g_free(task);
    }
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    pass_calmly(&f, CALM_MS);
    CU_ASSERT_FATAL(all_run(job, 0));
    const struct run *later = run_of(job, 0, 0, 0);
    const char *other =
        strcmp(later->backend->entry.id, "b3") == 0 ? "b2" : "b3";
    report_end(&f, other, JOB_A ".0.0.0", 1, END_DONE, 2);
    pass_calmly(&f, PASS_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    CU_ASSERT_PTR_EQUAL(run_of(job, 0, 0, 0), later);
    fixture_clear(&f);
}

/* Guards against a gang of service tasks that ends as done for good, tracked
 * or read by the next leader. */
static void
test_gang_ends_as_done(void)
{
    for (int tracked = 0; tracked <= 1; tracked++) {
        struct fleet_fixture f;
        init_fleet(&f);
        struct job *job = inherit_job(&f, service_gang, NULL);
        if (tracked) {
            pass_calmly(&f, CALM_MS);
            CU_ASSERT_FATAL(all_run(job, 0));
        }
        for (uint32_t t = 0; t < TASK_COUNT; t++) {
            char *task = g_strdup_printf(JOB_A ".0.0.%u", t);
            if (tracked) {
                end_run(&f, run_of(job, 0, 0, t), END_DONE, 1);
            }
            else {
                report_end(&f, backend_ids[t], task, 1, END_DONE, 1);
            }
            g_free(task);
        }
        CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
        pass_calmly(&f, CALM_MS);
        CU_ASSERT(all_run(job, 0));
        fixture_clear(&f);
    }
}

/* Guards against a step after a service that starts since the service has
 * ended, and against short steps of the job that run twice. */
static void
test_mixed_steps(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(&f, JOB_A, "p", mixed);
    pass_calmly(&f, PASS_MS);
    end_run(&f, run_of(job, 0, 0, 0), END_DONE, 1);
    pass_calmly(&f, PASS_MS);
    for (int64_t number = 2; number < 6; number++) {
        end_run(&f, run_of(job, 0, 1, 0), END_DONE, number);
        pass_calmly(&f, PASS_MS);
    }
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    CU_ASSERT_EQUAL(job_step_done(job, 0, 0), 1);
    CU_ASSERT_PTR_NULL(run_of(job, 0, 0, 0));
    CU_ASSERT_PTR_NOT_NULL(run_of(job, 0, 1, 0));
    CU_ASSERT_PTR_NULL(run_of(job, 0, 2, 0));
    fixture_clear(&f);
}

static struct job *
create_timed(struct fleet_fixture *f)
{
    struct job *job = fixture_create_job(
        f, JOB_A, "p",
        "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":500},"
        "{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"long_running\":true}]");
    job->n_occurrences = TIMED_OCCURRENCES;
    job->first_ms = job->accepted_unix_ms;
    job->interval_ms = 0;
    return job;
}

static void
check_timed(struct fleet_fixture *f, struct job *job)
{
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    CU_ASSERT_EQUAL(job->n_finished, 0);
    for (uint32_t k = 0; k < TIMED_OCCURRENCES; k++) {
        CU_ASSERT_EQUAL(job_step_done(job, k, 0), 1);
        CU_ASSERT_PTR_NULL(run_of(job, k, 0, 0));
        CU_ASSERT_PTR_NOT_NULL(run_of(job, k, 1, 0));
    }
    fixture_clear(f);
}

/* Guards against an occurrence that is forgotten with its service tasks. */
static void
test_timed_service(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_reconcile(&f);
    struct job *job = create_timed(&f);
    scheduler_add_job(f.sched, job);
    job_unref(job);
    pass_calmly(&f, PASS_MS);
    for (uint32_t k = 0; k < TIMED_OCCURRENCES; k++) {
        end_run(&f, run_of(job, k, 0, 0), END_DONE, 10 * k + 1);
        end_run(&f, run_of(job, k, 1, 0), END_DONE, 10 * k + 2);
        pass_calmly(&f, PASS_MS);
    }
    check_timed(&f, job);
}

/* Guards against tasks that an earlier version has stored as done, some or all
 * of them. */
static void
test_records_of_services(void)
{
    static const char *const records[] = {
        "{\"state\":\"active\",\"occurrences\":[0],\"parts\":[\".d.\"]}",
        "{\"state\":\"active\",\"parts\":[\"dd.\"]}",
        "{\"state\":\"active\",\"finished\":[[0,0]],\"occurrences\":[],"
        "\"parts\":[]}",
        "{\"state\":\"completed\",\"ended_unix_ms\":1000050000}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
        struct fleet_fixture f;
        init_fleet(&f);
        struct job *job = inherit_job(&f, service, records[i]);
        if (job->state != JOB_ACTIVE) {
            CU_FAIL("a service has ended by itself");
            fixture_clear(&f);
            continue;
        }
        CU_ASSERT_EQUAL(job->ended_unix_ms, 0);
        CU_ASSERT(job->started);
        pass_calmly(&f, CALM_MS);
        CU_ASSERT(all_run(job, 0));
        /* What callers read from the store is right again. */
        CU_ASSERT(job->stored_version > 0);
        CU_ASSERT_EQUAL(job->stored_version, job->version);
        char *record = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
        CU_ASSERT_PTR_NOT_NULL(strstr(record, "\"parts\":[]"));
        g_free(record);
        fixture_clear(&f);
    }
}

/* The same where short tasks of the job are done: they stay so. */
static void
test_records_of_timed_services(void)
{
    static const char *const records[] = {
        "{\"state\":\"active\",\"finished\":[[0,1]],\"occurrences\":[2],"
        "\"parts\":[\"d\",\".\"]}",
        "{\"state\":\"completed\",\"ended_unix_ms\":1000050000}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
        struct fleet_fixture f;
        init_fleet(&f);
        struct job *job = create_timed(&f);
        job->inherited = true;
        CU_ASSERT(record_progress_apply(job, records[i], strlen(records[i])));
        /* The next version reads the same from the record of this one. */
        char *again = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
        job_unref(job);
        job = create_timed(&f);
        job->inherited = true;
        CU_ASSERT(record_progress_apply(job, again, strlen(again)));
        g_free(again);
        scheduler_add_job(f.sched, job);
        job_unref(job);
        pass_calmly(&f, CALM_MS);
        check_timed(&f, job);
    }
}

/* Guards against memory and records that grow with the occurrences that an
 * earlier version has stored as finished. */
static void
test_record_of_many_occurrences(void)
{
    static const char record[] =
        "{\"state\":\"active\",\"finished\":[[0,1000000]],\"occurrences\":[],"
        "\"parts\":[]}";
    struct fleet_fixture f;
    init_fleet(&f);
    struct job *job = create_timed(&f);
    job->n_occurrences = 2000000;
    job->open_max = record_open_max(job, 50000);
    CU_ASSERT(record_progress_apply(job, record, strlen(record)));
    CU_ASSERT(job->open->len > 0);
    CU_ASSERT(job->open->len <= job_open_max(job));
    char *again = record_progress_encode(job, 50000);
    CU_ASSERT(strlen(again) <= 50000);
    g_free(again);
    job_unref(job);
    fixture_clear(&f);
}

/* Guards against a cancelled service that starts again. */
static void
test_cancelled(void)
{
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(&f, JOB_A, "p", service);
    pass_calmly(&f, PASS_MS);
    uint32_t starts = fixture_count(&f, COMMAND_START, NULL);
    end_run(&f, run_of(job, 0, 0, 0), END_DONE, 1);
    CU_ASSERT(scheduler_cancel(f.sched, JOB_A));
    for (uint32_t t = 1; t < TASK_COUNT; t++) {
        end_run(&f, run_of(job, 0, 0, t), END_DONE, 10 + t);
    }
    pass_calmly(&f, CALM_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), starts);
    CU_ASSERT_EQUAL(job->state, JOB_CANCELLED);
    fixture_clear(&f);

    init_fleet(&f);
    job = inherit_job(
        &f, service, "{\"state\":\"cancelled\",\"ended_unix_ms\":1000099999}");
    report_end(&f, "b0", JOB_A ".0.0.0", 1, END_DONE, 1);
    pass_calmly(&f, CALM_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    CU_ASSERT_EQUAL(job->state, JOB_CANCELLED);
    fixture_clear(&f);
}

/* Number of starts while each run of the only task ends at once as @reason. */
static uint32_t
starts_of(enum completion_reason reason)
{
    struct fleet_fixture f;
    init_fleet(&f);
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(
        &f, JOB_A, "p",
        "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"long_running\":true}]");
    for (int i = 0; i < ENDS; i++) {
        fixture_tick(&f, f.now_ms + PASS_MS / 10);
        fixture_accept_starts(&f);
        const struct run *run = run_of(job, 0, 0, 0);
        if (run != NULL) {
            end_run(&f, run, reason, i + 1);
        }
    }
    uint32_t starts = fixture_count(&f, COMMAND_START, NULL);
    CU_ASSERT_EQUAL(job->state, JOB_ACTIVE);
    fixture_clear(&f);
    return starts;
}

/* Guards against ends as done that are restarted at another pace than the
 * other ends of a service task. */
static void
test_pace(void)
{
    uint32_t starts = starts_of(END_DONE);
    CU_ASSERT(starts > 1);
    CU_ASSERT_EQUAL(starts, starts_of(END_FAILED));
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a service task ends as done", test_ends_as_done},
        {"the next leader reads ends as done", test_untracked_ends},
        {"a gang of service tasks ends as done", test_gang_ends_as_done},
        {"steps before and after a service", test_mixed_steps},
        {"occurrences of a service", test_timed_service},
        {"records with done service tasks", test_records_of_services},
        {"records with done occurrences of services",
         test_records_of_timed_services},
        {"a record with many occurrences", test_record_of_many_occurrences},
        {"a cancelled service", test_cancelled},
        {"pace of restarts", test_pace},
    };
    return suite_main("jobs service end", tests, G_N_ELEMENTS(tests));
}
