/* Hosts of pools under load and during maintenance. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"

/* A maintenance wave makes no more hosts unavailable than allowed and is not
 * reported done before its hosts were maintained. */
static void
test_wave_keeps_its_limit(void)
{
    static const char *const pools[] = {"p", "p", "p", "p", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    char *hosts[] = {(char *)"m0", (char *)"m1", (char *)"m2", (char *)"m3",
                     NULL};
    struct host_wave wave = {.number = 7,
                             .hosts = hosts,
                             .max_unavailable = 2,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    fixture_tick(&f, f.now_ms + 4000);
    fixture_tick(&f, f.now_ms + 200);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 2);
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 7));
    for (int i = 0; i < 4; i++) {
        scheduler_on_host_command(f.sched, hosts[i], 7, HOST_COMMAND_DONE);
    }
    fixture_tick(&f, f.now_ms + 200);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 2);
    char *begun = scheduler_wave_started_hosts(f.sched, 7);
    char **begun_hosts = g_strsplit(begun, " ", 0);
    CU_ASSERT_EQUAL(g_strv_length(begun_hosts), 2);
    g_strfreev(begun_hosts);
    g_free(begun);
    fixture_clear(&f);
}

/* A pool keeps as many hosts as the anti-affinity of a step needs, even if
 * their processors are idle. */
static void
test_spread_keeps_hosts(void)
{
    static const char *const pools[] = {"p", "p", "p", "p", "p", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":4,\"cpu\":100,\"mem_mb\":10,"
                    "\"long_running\":true,\"anti_affinity\":1}]");
    for (int i = 0; i < 45; i++) {
        fixture_tick(&f, f.now_ms + 100);
        for (int b = 0; b < 5; b++) {
            fixture_accept_starts(&f);
        }
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 4);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_MOVE, NULL), 0);
    fixture_clear(&f);
}

/* Jobs beyond the capacity of pool "p" arrive; returns the hosts that are
 * moved there at once. */
static uint32_t
hosts_moved_at_peak(struct fleet_fixture *f)
{
    int64_t peak_ms = f->now_ms;
    for (int i = 0; i < 12; i++) {
        char id[JOB_ID_CHARS + 1];
        snprintf(id, sizeof(id), "%016x", i);
        fixture_add_job(f, id, "p",
                        "[{\"count\":6,\"cpu\":1500,\"mem_mb\":100,"
                        "\"estimate_ms\":900}]");
    }
    fixture_tick(f, f->now_ms + 150);
    uint32_t to_p = 0;
    for (guint i = 0; i < f->commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(f->commands, i);
        if (command->kind == COMMAND_MOVE && strcmp(command->task, "p") == 0) {
            to_p++;
            CU_ASSERT(command->at_ms - peak_ms <= 150);
        }
    }
    return to_p;
}

/* At a peak beyond its capacity a pool gets hosts at once, from the spare pool
 * and from an idle pool. */
static void
test_peak_brings_hosts(void)
{
    static const char *const pools[] = {"p", "p", "q", "q", "q",
                                        "q", "s", "s", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    fixture_tick(&f, f.now_ms + 3400);
    /* Both spare hosts and the hosts that the idle pool does not keep. */
    CU_ASSERT(hosts_moved_at_peak(&f) >= 4);
    fixture_clear(&f);
}

/* An entry claims the largest capacity that an entry may have, and nothing
 * answers there. Its pool gets hosts at a peak as it does without it. */
static void
test_unanswered_entry_sizes_no_pool(void)
{
    static const char *const pools[] = {"p", "p", "q", "q", "q",
                                        "q", "s", "s", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    struct backend_entry odd = {
        .id = (char *)"odd",
        .incarnation_start_ms = 1,
        .pool = (char *)"p",
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
        .capacity = {.cpu_milli = 10000000, .mem_mb = 100000000},
    };
    scheduler_backend_updated(f.sched, &odd);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REQUEST_REPORT, "odd"), 1);
    struct run_report no_answer = {.outcome = REPORT_NO_ANSWER};
    fixture_answer(&f, "odd", no_answer);
    fixture_tick(&f, f.now_ms + 3400);
    CU_ASSERT(hosts_moved_at_peak(&f) >= 4);
    fixture_clear(&f);
}

/* A single large job does not make a pool grow and shrink. */
static void
test_single_jobs_move_nothing(void)
{
    static const char *const pools[] = {"p", "p", "s", "s", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    fixture_tick(&f, f.now_ms + 3400);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":8,\"cpu\":1800,\"mem_mb\":100,"
                    "\"estimate_ms\":2000}]");
    for (int i = 0; i < 10; i++) {
        fixture_tick(&f, f.now_ms + 100);
        fixture_accept_starts(&f);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 8);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_MOVE, NULL), 0);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a wave keeps its limit", test_wave_keeps_its_limit},
        {"spread keeps hosts in the pool", test_spread_keeps_hosts},
        {"a peak brings hosts", test_peak_brings_hosts},
        {"an unanswered entry sizes no pool",
         test_unanswered_entry_sizes_no_pool},
        {"single jobs move nothing", test_single_jobs_move_nothing},
    };
    return suite_main("jobs pools", tests, sizeof(tests) / sizeof(tests[0]));
}
