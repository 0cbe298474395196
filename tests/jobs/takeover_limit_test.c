/* After a takeover the maximum of a client account counts what backend servers
 * may run that have not answered the new leader yet. */
#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "fleet_fixture.h"
#include "platform/kv.h"

#define JOB_A "00000000000000a1"
#define JOB_B "00000000000000b1"
#define JOB_C "00000000000000c1"

enum {
    PASS_MS = 100,
    LEASE_MS = 3000,
    /* A lease on a clock that runs 2 % slow, and a margin. */
    LEASE_OVER_MS = 3500,
};

/* Tasks of one core, which no backend server ends. */
static const char sixteen[] =
    "[{\"count\":16,\"cpu\":1000,\"mem_mb\":100,\"gpu\":1,"
    "\"estimate_ms\":9000}]";
static const char four[] =
    "[{\"count\":4,\"cpu\":1000,\"mem_mb\":100,\"gpu\":1,"
    "\"estimate_ms\":9000}]";
static const char best_effort[] =
    "[{\"count\":16,\"cpu\":4000,\"mem_mb\":100,\"estimate_ms\":9000,"
    "\"fills\":true}]";

static void
set_maximum(struct fleet_fixture *f, struct resources maximum)
{
    struct team_config *team = g_ptr_array_index(f->config->teams, 0);
    team->maximum = maximum;
}

/* A backend server on record that may run tasks and gives no answer. */
static void
inherit_backend(struct fleet_fixture *f, const char *id, const char *pool,
                int64_t cpu_milli)
{
    struct backend_entry entry = {
        .id = (char *)id,
        .incarnation_start_ms = 1,
        .pool = (char *)pool,
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
        .capacity = {.cpu_milli = cpu_milli, .mem_mb = 64000, .gpus = 100},
    };
    scheduler_backend_inherited(f->sched, &entry, LEASE_MS);
}

/* A backend server with accelerators that answers. */
static void
list_backend(struct fleet_fixture *f)
{
    struct backend_entry entry = {
        .id = (char *)"b1",
        .incarnation_start_ms = 1,
        .pool = (char *)"q",
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
        .host = (char *)"m1",
        .capacity = {.cpu_milli = 16000, .mem_mb = 64000, .gpus = 100},
    };
    scheduler_backend_updated(f->sched, &entry);
}

static struct job *
inherit_job(struct fleet_fixture *f, const char *id, const char *pool,
            const char *steps)
{
    struct job *job = fixture_create_job(f, id, pool, steps);
    job->inherited = true;
    scheduler_add_job(f->sched, job);
    job_unref(job);
    return job;
}

/* Passes until @until_ms; "b1" answers each report request with its runs,
 * "b0" none. */
static void
run_until(struct fleet_fixture *f, int64_t until_ms)
{
    while (f->now_ms < until_ms) {
        fixture_tick(f, f->now_ms + PASS_MS);
        fixture_accept_starts(f);
        fixture_answer(f, "b0",
                       (struct run_report){.outcome = REPORT_NO_ANSWER});
        const struct backend *backend = scheduler_find_backend(f->sched, "b1");
        struct reported_run running[64] = {0};
        size_t n_running = 0;
        for (guint i = 0; i < backend->runs->len; i++) {
            const struct run *run = g_ptr_array_index(backend->runs, i);
            running[n_running++] = (struct reported_run){
                .task =
                    g_strdup_printf("%s.%u.%u.%u", run->job->id,
                                    run->occurrence, run->step, run->index),
                .number = run->number,
                .percent = 10,
            };
        }
        fixture_report(f, "b1", running, n_running, NULL, 0);
        for (size_t i = 0; i < n_running; i++) {
            g_free((char *)running[i].task);
        }
    }
}

/* A leader that took over from one that had started @inherited_steps in
 * @inherited_pool, and has a new job of four tasks in pool "q". */
static void
take_over(struct fleet_fixture *f, const char *inherited_pool,
          const char *inherited_steps, struct resources maximum)
{
    fixture_init(f, 1);
    set_maximum(f, maximum);
    inherit_backend(f, "b0", inherited_pool, 16000);
    list_backend(f);
    inherit_job(f, JOB_A, inherited_pool, inherited_steps);
    fixture_add_job(f, JOB_B, "q", four);
}

/* Starts of the new job before and after the leases of the silent backend
 * server are over. */
static void
check_starts(struct fleet_fixture *f, uint32_t before, uint32_t after)
{
    int64_t taken_over_ms = f->now_ms;
    run_until(f, taken_over_ms + LEASE_MS - PASS_MS);
    CU_ASSERT_EQUAL(fixture_count(f, COMMAND_START, "b1"), before);
    run_until(f, taken_over_ms + LEASE_OVER_MS);
    CU_ASSERT_EQUAL(fixture_count(f, COMMAND_START, "b1"), after);
}

/* 16 cores ran on a backend server that was cut off when the leader was
 * killed; the next leader started more beside them. */
static void
test_cut_off(void)
{
    static const struct resources maxima[] = {
        {.cpu_milli = 16000}, {.mem_mb = 1600}, {.gpus = 16}};
    for (size_t i = 0; i < G_N_ELEMENTS(maxima); i++) {
        struct fleet_fixture f;
        take_over(&f, "p", sixteen, maxima[i]);
        check_starts(&f, 0, 4);
        fixture_clear(&f);
    }
}

/* What is left of the maximum may be used at once. */
static void
test_room_left(void)
{
    struct fleet_fixture f;
    take_over(&f, "p", sixteen, (struct resources){.cpu_milli = 18000});
    check_starts(&f, 2, 4);
    fixture_clear(&f);
    take_over(&f, "p", sixteen, (struct resources){0});
    check_starts(&f, 4, 4);
    fixture_clear(&f);
}

/* No more may run there than its capacity holds, unless that is unknown, or
 * the tasks reserve none. */
static void
test_capacity(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    set_maximum(&f, (struct resources){.cpu_milli = 16000});
    inherit_backend(&f, "b0", "p", 12000);
    list_backend(&f);
    inherit_job(&f, JOB_A, "p", sixteen);
    fixture_add_job(&f, JOB_B, "q", four);
    check_starts(&f, 4, 4);
    fixture_clear(&f);

    fixture_init(&f, 1);
    set_maximum(&f, (struct resources){.cpu_milli = 16000});
    inherit_backend(&f, "b0", "p", 0);
    list_backend(&f);
    inherit_job(&f, JOB_A, "p", sixteen);
    fixture_add_job(&f, JOB_B, "q", four);
    check_starts(&f, 0, 4);
    fixture_clear(&f);

    take_over(&f, "p", best_effort, (struct resources){.cpu_milli = 64000});
    check_starts(&f, 0, 4);
    fixture_clear(&f);
}

/* Runs of a job that was cancelled a moment ago may not have stopped; those of
 * one that was cancelled long ago have. */
static void
test_cancelled(void)
{
    static const struct {
        int64_t ended_ago_ms;
        uint32_t starts;
    } cancels[] = {{1000, 0}, {60000, 4}};
    for (size_t i = 0; i < G_N_ELEMENTS(cancels); i++) {
        struct fleet_fixture f;
        fixture_init(&f, 1);
        set_maximum(&f, (struct resources){.cpu_milli = 16000});
        inherit_backend(&f, "b0", "p", 16000);
        list_backend(&f);
        struct job *job = fixture_create_job(&f, JOB_A, "p", sixteen);
        job->inherited = true;
        job->state = JOB_CANCELLED;
        job->ended_unix_ms = job->accepted_unix_ms - cancels[i].ended_ago_ms;
        char *record = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
        CU_ASSERT(record_progress_apply(job, record, strlen(record)));
        g_free(record);
        scheduler_add_job(f.sched, job);
        job_unref(job);
        fixture_add_job(&f, JOB_B, "q", four);
        check_starts(&f, cancels[i].starts, 4);
        fixture_clear(&f);
    }
    /* Cancelled by the new leader, before it knows of any run. */
    struct fleet_fixture f;
    take_over(&f, "p", sixteen, (struct resources){.cpu_milli = 16000});
    scheduler_cancel(f.sched, JOB_A);
    check_starts(&f, 0, 4);
    fixture_clear(&f);
}

/* Runs that reports show are known, and count once. */
static void
test_reported(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    set_maximum(&f, (struct resources){.cpu_milli = 8000});
    inherit_backend(&f, "b1", "q", 16000);
    list_backend(&f);
    inherit_job(&f, JOB_A, "q", four);
    fixture_tick(&f, f.now_ms + PASS_MS);
    struct reported_run running[4] = {0};
    char names[4][40];
    for (int t = 0; t < 4; t++) {
        g_snprintf(names[t], sizeof(names[t]), JOB_A ".0.0.%d", t);
        running[t] =
            (struct reported_run){.task = names[t], .number = 1, .percent = 5};
    }
    fixture_report(&f, "b1", running, 4, NULL, 0);
    fixture_add_job(&f, JOB_B, "q", four);
    run_until(&f, f.now_ms + 1500);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 4);
    fixture_clear(&f);
}

/* The second of two takeovers in a row: jobs that the leader between them had
 * started count as well, and the backend server stays on record with its
 * capacity. */
static void
test_two_takeovers(void)
{
    struct fleet_fixture f;
    take_over(&f, "p", sixteen, (struct resources){.cpu_milli = 20000});
    check_starts(&f, 4, 4);
    fixture_clear(&f);

    fixture_init(&f, 2);
    set_maximum(&f, (struct resources){.cpu_milli = 20000});
    inherit_backend(&f, "b0", "p", 16000);
    struct backend_entry entry = {.id = (char *)"b2",
                                  .incarnation_start_ms = 1,
                                  .pool = (char *)"q",
                                  .address = (char *)"127.0.0.1:1",
                                  .data_centre = (char *)"dc",
                                  .capacity = {16000, 64000, 100}};
    char *record = record_backend_encode(&entry);
    struct backend_entry read;
    CU_ASSERT(record_backend_decode("b2", record, strlen(record), &read));
    CU_ASSERT_EQUAL(read.capacity.cpu_milli, 16000);
    CU_ASSERT_EQUAL(read.capacity.mem_mb, 64000);
    CU_ASSERT_EQUAL(read.capacity.gpus, 100);
    scheduler_backend_inherited(f.sched, &read, LEASE_MS);
    backend_entry_clear(&read);
    g_free(record);
    list_backend(&f);
    inherit_job(&f, JOB_A, "p", sixteen);
    inherit_job(&f, JOB_B, "q", four);
    fixture_add_job(&f, JOB_C, "q", four);
    int64_t taken_over_ms = f.now_ms;
    run_until(&f, taken_over_ms + LEASE_MS - PASS_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 0);
    fixture_clear(&f);
}

/* Of a task's failed runs those beyond the eighth were forgotten with each
 * leader, and the task started more often than its queue allows. */
static void
test_attempts(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct job *job = fixture_create_job(&f, JOB_A, "p", four);
    struct job_task *task = &job_step_progress(job, 0, 0)->tasks[1];
    for (uint32_t run = 1; run <= 12; run++) {
        CU_ASSERT_TRUE(job_task_record_failure(task, run));
        CU_ASSERT_FALSE(job_task_record_failure(task, run));
    }
    char *record = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
    job_unref(job);
    job = fixture_create_job(&f, JOB_A, "p", four);
    CU_ASSERT(record_progress_apply(job, record, strlen(record)));
    task = &job_step_progress(job, 0, 0)->tasks[1];
    CU_ASSERT_EQUAL(task->failures, 12);
    CU_ASSERT_FALSE(job_task_record_failure(task, 12));
    job_unref(job);
    g_free(record);
    fixture_clear(&f);
}

int
main(void)
{
    const struct suite_test tests[] = {
        {"what a cut-off backend server may run counts", test_cut_off},
        {"what is left of a maximum is used", test_room_left},
        {"no more counts than its capacity holds", test_capacity},
        {"a cancelled job counts until its runs have ended", test_cancelled},
        {"runs that reports show count once", test_reported},
        {"two takeovers in a row count the same", test_two_takeovers},
        {"failed runs beyond the eighth count", test_attempts},
    };
    return suite_main("limits after a takeover", tests, G_N_ELEMENTS(tests));
}
