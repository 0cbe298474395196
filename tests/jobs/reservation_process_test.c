/* A job whose task takes a whole backend server, beside a stream of small jobs
 * that would take each core that becomes free, while the leader is killed. */
#include <signal.h>
#include <stdio.h>

#include "process_fixture.h"

enum {
    /* Jobs of 12 cores that are always waiting or running: more than twice
     * what the 16 hosts of all pools can run at once. */
    STREAM_JOBS = 48,
    POLL_MS = 20,
    /* The pool has got its hosts and is full. */
    WARM_UP_MS = 9000,
    /* Refusals are retried meanwhile. The leader is killed at once then, so
     * that the large job waits. */
    ACCEPT_MS_MAX = 10000,
    /* A killed leader's lease has expired, and another one has taken over. */
    TAKEOVER_MS = 5000,
    /* Bounds the stream; far above what the job needs on a slow machine. */
    STREAM_MS_MAX = 40000,
};

/* Jobs of several lengths, whose tasks don't leave a backend server together.
 */
static const char *const small_bodies[] = {
    "{\"spec\":\"ms=1300\",\"steps\":[{\"count\":3,\"cpu\":4000,"
    "\"mem_mb\":900,\"estimate_ms\":1300}]}",
    "{\"spec\":\"ms=1700\",\"steps\":[{\"count\":3,\"cpu\":4000,"
    "\"mem_mb\":900,\"estimate_ms\":1700}]}",
    "{\"spec\":\"ms=2000\",\"steps\":[{\"count\":3,\"cpu\":4000,"
    "\"mem_mb\":900,\"estimate_ms\":2000}]}",
};
static const char large_body[] =
    "{\"spec\":\"ms=1000\",\"steps\":[{\"count\":1,\"cpu\":16000,"
    "\"mem_mb\":900,\"estimate_ms\":1000}]}";

/* The queue of the small jobs, counted apart. */
static struct caller_queue large_queue;

/* Runs the stream for @duration_ms, or until the large job has completed. */
static int64_t
stream(int64_t duration_ms)
{
    int64_t passed_ms = 0;
    while (passed_ms < duration_ms && large_queue.completed == 0) {
        while (job_caller_pending(fixture.caller) < STREAM_JOBS) {
            const char *body = small_bodies[fixture.quick.submitted %
                                            G_N_ELEMENTS(small_bodies)];
            job_caller_submit(fixture.caller, &fixture.quick, body);
        }
        run_for(POLL_MS, false);
        passed_ms += POLL_MS;
    }
    return passed_ms;
}

/* Guards against a large job that never starts beside small ones, also when
 * its reservation was lost with the leader, and against a reservation that
 * lets a backend server run more than its capacity. */
static void
test_reserved_start(void)
{
    large_queue = fixture.quick;
    large_queue.name = "large";
    caller_queue_init(&large_queue);
    stream(WARM_UP_MS);
    job_caller_submit(fixture.caller, &large_queue, large_body);
    for (int64_t ms = 0; ms < ACCEPT_MS_MAX && large_queue.accepted == 0;
         ms += POLL_MS) {
        stream(POLL_MS);
    }
    CU_ASSERT_EQUAL(large_queue.accepted, 1);
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    end_process(&fixture.entry_pids[leader], SIGKILL);
    int64_t waited_ms = stream(TAKEOVER_MS);
    start_entry_host(leader);
    waited_ms += stream(STREAM_MS_MAX);
    printf("large job completed %ld ms after the leader was killed, beside "
           "%u small ones\n",
           (long)waited_ms, fixture.quick.completed);
    /* The stream has not ended before it. */
    CU_ASSERT_EQUAL(large_queue.completed, 1);
    wait_ready(leader);
    /* Those that were refused at last may return late. */
    run_until_finished();
    run_until_finished();
    CU_ASSERT_EQUAL(large_queue.failed, 0);
    check_invariants();
    caller_queue_clear(&large_queue);
}

static const struct scenario scenarios[] = {
    {"reserved-start", test_reserved_start},
};

int
main(int argc, char **argv)
{
    fixture_set_scheduling("{\"reservations\":true}");
    return scenario_main(argc, argv, scenarios, G_N_ELEMENTS(scenarios));
}
