/* Jobs with many occurrences: what the scheduler holds and stores of them
 * grows with what is open, and one that the store rejects holds up nobody
 * else. */
#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "fleet_fixture.h"
#include "platform/decode.h"
#include "platform/kv.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

enum {
    HOUR_MS = 3600000,
    /* Four times what one open occurrence of 120 tasks takes. */
    YEAR_RECORD_BYTES_MAX = 1000,
    /* Longer than the fixture keeps finished jobs. */
    RETENTION_MS = 1100000,
    BATCH = 15,
    REJECTIONS_MAX = 20,
};

static const char two_tasks[] =
    "[{\"count\":2,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}]";
static const char wide_step[] =
    "[{\"count\":120,\"cpu\":100,\"mem_mb\":10,\"estimate_ms\":400}]";

static struct job *
create_timed(struct fleet_fixture *f, const char *id, const char *steps,
             uint32_t times, int64_t interval_ms)
{
    struct job *job = fixture_create_job(f, id, "p", steps);
    job->n_occurrences = times;
    job->first_ms = job->accepted_unix_ms;
    job->interval_ms = interval_ms;
    return job;
}

static struct job *
add_timed(struct fleet_fixture *f, const char *id, const char *steps,
          uint32_t times, int64_t interval_ms)
{
    struct job *job = create_timed(f, id, steps, times, interval_ms);
    scheduler_add_job(f->sched, job);
    job_unref(job);
    return job;
}

/* Ends every run of @backend_id as done. */
static void
end_runs(struct fleet_fixture *f, const char *backend_id, int64_t *number)
{
    struct backend *backend = scheduler_find_backend(f->sched, backend_id);
    guint n_runs = backend->runs->len;
    struct run_completion *ended = g_new0(struct run_completion, n_runs + 1);
    for (guint i = 0; i < n_runs; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        ended[i] = (struct run_completion){
            .number = ++*number,
            .task = g_strdup_printf("%s.%u.%u.%u", run->job->id,
                                    run->occurrence, run->step, run->index),
            .run = run->number,
            .reason = END_DONE,
        };
    }
    fixture_report(f, backend_id, NULL, 0, ended, n_runs);
    for (guint i = 0; i < n_runs; i++) {
        g_free((char *)ended[i].task);
    }
    g_free(ended);
}

/* Hourly for a year: the record took a byte for each task of each occurrence,
 * more than a value may have. */
static void
test_record_of_a_year(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    struct job *job = add_timed(&f, JOB_A, wide_step, 8760, HOUR_MS);
    int64_t number = 0;
    for (int i = 0; i < 3; i++) {
        fixture_tick(&f, f.now_ms + 10);
        fixture_accept_starts(&f);
        end_runs(&f, "b0", &number);
    }
    CU_ASSERT(job->started);
    CU_ASSERT(job->open->len <= 1);
    char *record = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
    CU_ASSERT(strlen(record) < YEAR_RECORD_BYTES_MAX);
    g_free(record);
    fixture_clear(&f);
}

/* All occurrences are due at once: memory and record follow those that run,
 * each runs once, and the next leader starts none of them again. */
static void
test_backlog(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    struct job *job = add_timed(&f, JOB_A, two_tasks, 1000, 0);
    int64_t number = 0;
    size_t longest = 0;
    char *half = NULL;
    for (int i = 0; i < 400 && job->state == JOB_ACTIVE; i++) {
        fixture_tick(&f, f.now_ms + 120);
        fixture_accept_starts(&f);
        /* Those that a backend server of 16 cores runs, and the next one. */
        CU_ASSERT(job->open->len <= 9);
        char *record = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
        longest = MAX(longest, strlen(record));
        if (i == 60) {
            half = g_strdup(record);
        }
        g_free(record);
        end_runs(&f, "b0", &number);
        g_ptr_array_set_size(f.commands, 0);
    }
    CU_ASSERT_EQUAL(job->state, JOB_COMPLETED);
    CU_ASSERT_EQUAL(number, 2000);
    CU_ASSERT(longest < YEAR_RECORD_BYTES_MAX);
    fixture_clear(&f);

    fixture_init(&f, 1);
    job = create_timed(&f, JOB_A, two_tasks, 1000, 0);
    CU_ASSERT(record_progress_apply(job, half, strlen(half)));
    CU_ASSERT(job->n_finished > 0);
    char *again = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
    CU_ASSERT_STRING_EQUAL(again, half);
    CU_ASSERT_EQUAL(job_next_occurrence(job, 0),
                    job->n_finished + job->open->len);
    job_unref(job);
    g_free(again);
    g_free(half);
    fixture_clear(&f);
}

/* Records that name no occurrences, as earlier versions wrote them. */
static void
test_earlier_record(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct job *job = create_timed(&f, JOB_A, two_tasks, 3, HOUR_MS);
    static const char record[] = "{\"state\":\"active\",\"parts\":[\"dd\","
                                 "\".d\",\"..\"],\"tasks\":[[1,0,\"s\",7]]}";
    CU_ASSERT(record_progress_apply(job, record, strlen(record)));
    CU_ASSERT_EQUAL(job->n_finished, 1);
    CU_ASSERT_EQUAL(job_step_done(job, 0, 0), 2);
    CU_ASSERT_EQUAL(job_step_done(job, 1, 0), 1);
    CU_ASSERT_EQUAL(job_step_done(job, 2, 0), 0);
    CU_ASSERT_EQUAL(job_step_progress(job, 1, 0)->tasks[0].failures, 1);
    CU_ASSERT_EQUAL(job->open->len, 1);
    job_unref(job);
    fixture_clear(&f);
}

/* A late report of a finished occurrence: its run is stopped, and none of its
 * tasks starts again. */
static void
test_late_run_of_finished(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    struct job *job = add_timed(&f, JOB_A, two_tasks, 5, HOUR_MS);
    int64_t number = 0;
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    end_runs(&f, "b0", &number);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT(job_occurrence_finished(job, 0));
    g_ptr_array_set_size(f.commands, 0);
    struct reported_run late = {.task = JOB_A ".0.0.1", .number = 1};
    fixture_report(&f, "b0", &late, 1, NULL, 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, "b0"), 1);
    fixture_tick(&f, f.now_ms + 200);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 0);
    CU_ASSERT_EQUAL(job->n_finished, 1);
    fixture_clear(&f);
}

/* A record that is too long leaves out checkpoints before failed runs, and
 * never what is done. */
static void
test_long_record(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    struct job *job = fixture_create_job(&f, JOB_A, "p", wide_step);
    struct step_progress *progress = job_step_progress(job, 0, 0);
    for (int t = 0; t < 120; t++) {
        progress->tasks[t].saved = g_strnfill(40, 's');
        job_task_record_failure(&progress->tasks[t], 1001);
    }
    progress->tasks[0].done = true;
    progress->done = 1;
    static const struct {
        size_t bytes_max;
        uint32_t failures;
        bool saved;
    } limits[] = {{20000, 1, true}, {4000, 1, false}, {500, 0, false}};
    for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
        char *record = record_progress_encode(job, limits[i].bytes_max);
        CU_ASSERT(strlen(record) <= limits[i].bytes_max);
        struct job *next = fixture_create_job(&f, JOB_A, "p", wide_step);
        CU_ASSERT(record_progress_apply(next, record, strlen(record)));
        const struct step_progress *read = job_step_progress(next, 0, 0);
        CU_ASSERT(read->tasks[0].done);
        CU_ASSERT_EQUAL(read->tasks[1].failures, limits[i].failures);
        CU_ASSERT_EQUAL(read->tasks[1].saved != NULL, limits[i].saved);
        job_unref(next);
        g_free(record);
    }
    job_unref(job);
    fixture_clear(&f);
}

/* As many occurrences are open as have room in a record. */
static void
test_open_occurrences(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    struct job *job = create_timed(&f, JOB_A, wide_step, 5000, 0);
    for (size_t bytes_max = 1000; bytes_max < 100000; bytes_max += 997) {
        job->open_max = record_open_max(job, bytes_max);
        CU_ASSERT(job->open_max > 0);
        job_free_occurrences(job);
        /* One in two is done, so that ranges and open ones alternate. */
        for (uint32_t k = 0; k < job_open_max(job); k++) {
            struct step_progress *progress =
                job_step_progress(job, 2 * k + 2, 0);
            progress->tasks[0].done = true;
            progress->done = 1;
            if (!job_occurrence_finished(job, 2 * k + 1)) {
                job_finish_occurrences(job, 2 * k + 1, 2 * k + 1);
            }
        }
        char *record = record_progress_encode(job, bytes_max);
        CU_ASSERT(strlen(record) <= bytes_max);
        g_free(record);
    }
    CU_ASSERT_EQUAL(record_open_max(job, 300), 0);
    job_unref(job);
    fixture_clear(&f);
}

/* A job that took longer than finished jobs are kept was unknown right after
 * its end. */
static void
test_kept_after_end(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    struct job *job = add_timed(&f, JOB_A, two_tasks, 2, RETENTION_MS);
    int64_t number = 0;
    for (int i = 0; i < 2; i++) {
        fixture_tick(&f, f.now_ms + 10);
        fixture_accept_starts(&f);
        end_runs(&f, "b0", &number);
        fixture_tick(&f, f.now_ms + (i == 0 ? RETENTION_MS : 10));
        fixture_report(&f, "b0", NULL, 0, NULL, 0);
    }
    CU_ASSERT_EQUAL(job->state, JOB_COMPLETED);
    fixture_tick(&f, f.now_ms + RETENTION_MS / 2);
    CU_ASSERT_PTR_EQUAL(scheduler_find_job(f.sched, JOB_A), job);
    fixture_tick(&f, f.now_ms + RETENTION_MS);
    CU_ASSERT_PTR_NULL(scheduler_find_job(f.sched, JOB_A));
    fixture_clear(&f);
}

/* A start that is answered at once as not sent frees its run, which was still
 * used: the leader's process ended (seen under sanitizers). */
static void
test_start_not_sent(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    f.refuse_starts = true;
    add_timed(&f, JOB_A, two_tasks, 3, HOUR_MS);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 2);
    f.refuse_starts = false;
    fixture_tick(&f, f.now_ms + 200);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 4);
    fixture_clear(&f);
}

static bool
has_job(const struct store_batch *batch, const char *id)
{
    for (guint i = 0; i < batch->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(batch->jobs, i);
        if (strcmp(job->id, id) == 0) {
            return true;
        }
    }
    return false;
}

/* The store rejects whatever has the progress of one job while that is active.
 * The transaction was sent again without end, with the others' changes. */
static void
test_rejected(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    struct job *bad = fixture_add_job(&f, JOB_A, "p", two_tasks);
    struct job *good = fixture_add_job(&f, JOB_B, "p", two_tasks);
    fixture_tick(&f, f.now_ms + 10);
    fixture_accept_starts(&f);
    int64_t number = 0;
    end_runs(&f, "b0", &number);
    scheduler_tick(f.sched);
    uint32_t rejections = 0;
    struct store_batch *batch;
    while (rejections < REJECTIONS_MAX &&
           (batch = scheduler_take_batch(f.sched, BATCH)) != NULL) {
        if (has_job(batch, JOB_A) && bad->state != JOB_FAILED) {
            rejections++;
            scheduler_batch_rejected(f.sched, batch);
            continue;
        }
        scheduler_batch_stored(f.sched, batch, true, 1);
    }
    CU_ASSERT(rejections < REJECTIONS_MAX);
    CU_ASSERT_EQUAL(good->state, JOB_COMPLETED);
    CU_ASSERT_EQUAL(good->stored_version, good->version);
    CU_ASSERT_EQUAL(bad->stored_version, bad->version);
    fixture_tick(&f, f.now_ms + 200);
    fixture_report(&f, "b0", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 2000);
    CU_ASSERT_EQUAL(fixture_last(&f, COMMAND_REQUEST_REPORT)->acked_completion,
                    number);
    fixture_clear(&f);
}

/* Schedules that can't be kept are refused with the place. */
static void
test_bad_schedules(void)
{
    static const struct {
        const char *schedule;
        const char *place;
    } schedules[] = {
        {"\"times\":-1", "$.times"},
        {"\"times\":1e12", "$.times"},
        {"\"times\":\"many\"", "$.times"},
        {"\"times\":3,\"first_ms\":-5", "$.first_ms"},
        {"\"times\":3,\"first_ms\":1,\"interval_ms\":-1", "$.interval_ms"},
        {"\"times\":1000000,\"interval_ms\":1e12", "$.interval_ms"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(schedules); i++) {
        char *body =
            g_strdup_printf("{\"spec\":\"\",\"steps\":[{\"count\":1}],%s}",
                            schedules[i].schedule);
        char *error = NULL;
        CU_ASSERT_PTR_NULL(decode_job(body, strlen(body), &error));
        CU_ASSERT(error != NULL &&
                  g_str_has_prefix(error, schedules[i].place));
        g_free(error);
        g_free(body);
    }
}

int
main(void)
{
    const struct suite_test tests[] = {
        {"the record of a year's occurrences is short", test_record_of_a_year},
        {"a backlog of occurrences takes what runs", test_backlog},
        {"records of earlier versions are read", test_earlier_record},
        {"a late run of a finished occurrence is stopped",
         test_late_run_of_finished},
        {"a long record leaves out checkpoints first", test_long_record},
        {"open occurrences fit into a record", test_open_occurrences},
        {"a job that the store rejects holds up no other", test_rejected},
        {"a job is kept from its end on", test_kept_after_end},
        {"a start that isn't sent frees its run", test_start_not_sent},
        {"schedules that can't be kept are refused", test_bad_schedules},
    };
    return suite_main("timed jobs", tests, G_N_ELEMENTS(tests));
}
