/* A queue that the operator moves to another pool and back: which pools may
 * have runs of its jobs after a takeover. */
#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "platform/kv.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}]";

enum {
    BATCH = 15,
    LEASE_MS = 3000,
};

static void
move_queue(struct fleet_fixture *f, const char *pool)
{
    struct queue_config *queue = g_ptr_array_index(f->config->queues, 0);
    g_free(queue->pool);
    queue->pool = g_strdup(pool);
    scheduler_configure(f->sched, f->config);
}

/* The progress that is stored of a job whose queue was moved away when it
 * started; g_free(). */
static char *
start_in_other_pool(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_add_backend(&f, "b1", "q", "m1");
    fixture_reconcile(&f);
    move_queue(&f, "q");
    struct job *job = fixture_add_job(&f, JOB_A, "p", one_task);
    for (int i = 0; i < 3; i++) {
        fixture_tick(&f, f.now_ms + 10);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    char *progress = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
    fixture_clear(&f);
    return progress;
}

/* The queue was moved back before a takeover. Only the pool that the job's
 * record names was waited for, and the task started a second time. */
static void
test_moved_away_and_back(void)
{
    char *progress = start_in_other_pool();
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct backend_entry silent = {.id = (char *)"b1",
                                   .incarnation_start_ms = 1,
                                   .pool = (char *)"q",
                                   .address = (char *)"127.0.0.1:1",
                                   .data_centre = (char *)"dc"};
    scheduler_backend_inherited(f.sched, &silent, LEASE_MS);
    fixture_add_backend(&f, "b0", "p", "m0");
    struct job *job = fixture_create_job(&f, JOB_A, "p", one_task);
    job->inherited = true;
    CU_ASSERT(record_progress_apply(job, progress, strlen(progress)));
    scheduler_add_job(f.sched, job);
    job_unref(job);
    int64_t taken_over_ms = f.now_ms;
    while (fixture_count(&f, COMMAND_START, NULL) == 0 &&
           f.now_ms < taken_over_ms + 10000) {
        fixture_tick(&f, f.now_ms + 100);
        fixture_answer(&f, "b1",
                       (struct run_report){.outcome = REPORT_NO_ANSWER});
        fixture_report(&f, "b0", NULL, 0, NULL, 0);
    }
    CU_ASSERT(f.now_ms > taken_over_ms + LEASE_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 1);
    g_free(progress);
    fixture_clear(&f);
}

/* That it starts in another pool is stored before it does. */
static void
test_other_pool_is_stored_first(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b1", "q", "m1");
    fixture_reconcile(&f);
    move_queue(&f, "q");
    fixture_add_job(&f, JOB_A, "p", one_task);
    f.now_ms += 10;
    scheduler_tick(f.sched);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    struct store_batch *batch = scheduler_take_batch(f.sched, BATCH);
    CU_ASSERT_PTR_NOT_NULL_FATAL(batch);
    CU_ASSERT_EQUAL(batch->jobs->len, 1);
    f.now_ms += 10;
    scheduler_tick(f.sched);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    scheduler_batch_stored(f.sched, batch, true, 1);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    fixture_clear(&f);
}

/* A job in the pool of its record costs no write. */
static void
test_own_pool_is_not_stored(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    struct job *job = fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 1);
    CU_ASSERT_EQUAL(job->version, 0);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a queue moved away and back before a takeover",
         test_moved_away_and_back},
        {"another pool is stored before a start there",
         test_other_pool_is_stored_first},
        {"the pool of the record is not stored again",
         test_own_pool_is_not_stored},
    };
    return suite_main("jobs moved queue", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
