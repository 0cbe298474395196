/* Host lists that were requested before what the scheduler knows by now. */
#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}]";

enum {
    /* The fixture's Unix time minus its clock. */
    UNIX_OFFSET_MS = 1000000000,
    /* Of a leader that was killed; the longest that a backend server takes. */
    LONG_LEASE_MS = 8500,
};

/* Host m0, whose wall clock is behind, restarts by itself: c0 takes the place
 * of b0 and runs the only task. Returns when it restarted. */
static int64_t
init_with_clock_behind(struct fleet_fixture *f, int64_t behind_ms)
{
    static const char *const pools[] = {"p", "p", NULL};
    fixture_init(f, 0);
    fixture_add_hosts(f, pools);
    fixture_drain_backend(f, "b1", "p", "m1");
    fixture_reconcile(f);
    int64_t restarted_ms = f->now_ms;
    f->incarnation_start_ms = restarted_ms + UNIX_OFFSET_MS - behind_ms;
    fixture_add_backend(f, "c0", "p", "m0");
    scheduler_backend_removed(f->sched, "b0");
    fixture_tick(f, f->now_ms + 10);
    fixture_report(f, "c0", NULL, 0, NULL, 0);
    fixture_add_job(f, JOB_A, "p", one_task);
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, "c0"), 1);
    fixture_accept_starts(f);
    /* A second start would go there. */
    f->incarnation_start_ms = 1;
    fixture_add_backend(f, "b1", "p", "m1");
    f->incarnation_start_ms = restarted_ms + UNIX_OFFSET_MS - behind_ms;
    fixture_tick(f, f->now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, NULL), 1);
    return restarted_ms;
}

static int64_t
init_with_new_incarnation(struct fleet_fixture *f)
{
    return init_with_clock_behind(f, 0);
}

/* The task works on, and reports of it are read. */
static void
work_on(struct fleet_fixture *f, int64_t duration_ms)
{
    const struct recorded_command *start = fixture_last(f, COMMAND_START);
    int64_t end_ms = f->now_ms + duration_ms;
    for (int32_t percent = 1; f->now_ms < end_ms; percent++) {
        struct reported_run running = {.task = start->task,
                                       .number = start->number,
                                       .saved = "",
                                       .percent = percent};
        fixture_tick(f, f->now_ms + 200);
        fixture_report(f, "c0", &running, 1, NULL, 0);
    }
    CU_ASSERT_EQUAL_FATAL(fixture_count(f, COMMAND_START, NULL), 1);
}

static void
read_list(struct fleet_fixture *f, const struct host_info *info,
          int64_t requested_ms)
{
    scheduler_hosts_read(f->sched, info, 1, requested_ms);
    fixture_tick(f, f->now_ms + 100);
    fixture_tick(f, f->now_ms + 100);
}

/* The list names the earlier incarnation of a host, and runs of the current
 * one were started a second time. */
static void
test_late_list_names_earlier_incarnation(void)
{
    struct fleet_fixture f;
    int64_t restarted_ms = init_with_new_incarnation(&f);
    read_list(&f,
              &(struct host_info){.host = "m0",
                                  .pool = "p",
                                  .backend_id = "b0",
                                  .data_centre = "dc",
                                  .up = true},
              restarted_ms - 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* The list shows a host as it was before its current incarnation started. */
static void
test_late_list_shows_host_away(void)
{
    struct fleet_fixture f;
    int64_t restarted_ms = init_with_new_incarnation(&f);
    work_on(&f, 6000);
    read_list(&f,
              &(struct host_info){.host = "m0",
                                  .pool = "p",
                                  .data_centre = "dc",
                                  .unavailable = true},
              restarted_ms - 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* The same, and by its wall clock the incarnation started long before the
 * request. */
static void
test_late_list_shows_host_with_clock_behind(void)
{
    struct fleet_fixture f;
    int64_t restarted_ms = init_with_clock_behind(&f, 6000);
    work_on(&f, 1000);
    read_list(&f,
              &(struct host_info){.host = "m0",
                                  .pool = "p",
                                  .data_centre = "dc",
                                  .unavailable = true},
              restarted_ms - 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A delayed read shows an entry of the earlier incarnation under the id that
 * both have. */
static void
test_late_entry_of_earlier_incarnation(void)
{
    struct fleet_fixture f;
    init_with_new_incarnation(&f);
    f.incarnation_start_ms--;
    fixture_add_backend(&f, "c0", "p", "m0");
    f.incarnation_start_ms++;
    fixture_tick(&f, f.now_ms + 100);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    work_on(&f, 1000);
    fixture_clear(&f);
}

/* The list was requested before a move was accepted: the host is not taken for
 * one that stays, which would be moved again. */
static void
test_late_list_undoes_no_command(void)
{
    static const char *const pools[] = {"p", "q", "q", "q", "q", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    for (int i = 0; i < 300 && fixture_last(&f, COMMAND_MOVE) == NULL; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    const struct recorded_command *move = fixture_last(&f, COMMAND_MOVE);
    CU_ASSERT_PTR_NOT_NULL_FATAL(move);
    int64_t requested_ms = f.now_ms;
    fixture_tick(&f, f.now_ms + 100);
    scheduler_on_host_command(f.sched, move->target, 0, HOST_COMMAND_DONE);
    fixture_tick(&f, f.now_ms + 3000);
    char backend_id[] = "b0";
    backend_id[1] = move->target[1];
    read_list(&f,
              &(struct host_info){.host = move->target,
                                  .pool = "q",
                                  .backend_id = backend_id,
                                  .data_centre = "dc",
                                  .up = true},
              requested_ms);
    for (int i = 0; i < 100; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_MOVE, move->target), 1);
    fixture_clear(&f);
}

/* A host that was moved to the spare pool has no entry there. The list shows
 * it under another id, so it can be moved again at the next peak. */
static void
test_list_shows_accepted_move(void)
{
    static const char *const pools[] = {"p", "q", "q", "q", "q", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    for (int i = 0; i < 300 && fixture_last(&f, COMMAND_MOVE) == NULL; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    const struct recorded_command *move = fixture_last(&f, COMMAND_MOVE);
    CU_ASSERT_PTR_NOT_NULL_FATAL(move);
    CU_ASSERT_STRING_EQUAL(move->task, "s");
    scheduler_on_host_command(f.sched, move->target, 0, HOST_COMMAND_DONE);
    fixture_tick(&f, f.now_ms + 2100);
    read_list(&f,
              &(struct host_info){.host = move->target,
                                  .pool = "s",
                                  .backend_id = "spare",
                                  .data_centre = "dc",
                                  .up = true},
              f.now_ms);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":64,\"cpu\":1000,\"mem_mb\":100,"
                    "\"estimate_ms\":1000}]");
    fixture_tick(&f, f.now_ms + 100);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_MOVE, move->target), 2);
    fixture_clear(&f);
}

/* Lists of hosts m0, m1, ..., without the one at @left_out. */
static void
read_list_without(struct fleet_fixture *f, size_t n_hosts, size_t left_out)
{
    static const char *const names[][2] = {{"m0", "b0"}, {"m1", "b1"}};
    struct host_info infos[G_N_ELEMENTS(names)];
    size_t n_infos = 0;
    for (size_t i = 0; i < n_hosts; i++) {
        if (i != left_out) {
            infos[n_infos++] = (struct host_info){.host = names[i][0],
                                                  .pool = "p",
                                                  .backend_id = names[i][1],
                                                  .data_centre = "dc",
                                                  .up = true};
        }
    }
    fixture_tick(f, f->now_ms + 1000);
    scheduler_hosts_read(f->sched, infos, n_infos, f->now_ms);
}

static void
init_with_wave(struct fleet_fixture *f)
{
    static const char *const pools[] = {"p", "p", NULL};
    static char *hosts[] = {(char *)"m0", (char *)"m1", NULL};
    fixture_init(f, 0);
    fixture_add_hosts(f, pools);
    fixture_reconcile(f);
    struct host_wave wave = {.number = 4,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f->now_ms};
    scheduler_wave_set(f->sched, &wave);
}

/* One list leaves out a host that stays, and the wave was said to be complete
 * without its maintenance. */
static void
test_wave_waits_for_host_left_out(void)
{
    struct fleet_fixture f;
    init_with_wave(&f);
    scheduler_wave_host_started(f.sched, 4, "m0");
    read_list_without(&f, 2, 1);
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    read_list_without(&f, 2, 2);
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    read_list_without(&f, 2, 1);
    read_list_without(&f, 2, 1);
    /* Its backend server is still there. */
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    scheduler_backend_removed(f.sched, "b1");
    CU_ASSERT_TRUE(scheduler_wave_done(f.sched, 4));
    fixture_clear(&f);
}

/* The same of a host that no list has shown to this leader. */
static void
test_wave_waits_for_host_never_listed(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    static char *hosts[] = {(char *)"m1", NULL};
    struct host_wave wave = {.number = 4,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    read_list_without(&f, 2, 1);
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    read_list_without(&f, 2, 1);
    CU_ASSERT_TRUE(scheduler_wave_done(f.sched, 4));
    fixture_clear(&f);
}

/* One list leaves out a host that is away for its maintenance, and another
 * one was rebooted beside it. */
static void
test_host_left_out_counts_as_unavailable(void)
{
    struct fleet_fixture f;
    init_with_wave(&f);
    for (int i = 0; i < 100 && fixture_last(&f, COMMAND_REBOOT) == NULL; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_REBOOT, NULL), 1);
    bool first = fixture_count(&f, COMMAND_REBOOT, "m0") == 1;
    scheduler_on_host_command(f.sched, first ? "m0" : "m1", 4,
                              HOST_COMMAND_DONE);
    read_list_without(&f, 2, first ? 0 : 1);
    for (int i = 0; i < 5; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 1);
    fixture_clear(&f);
}

/* An answer without rows says nothing of the fleet. */
static void
test_empty_list_is_no_list(void)
{
    struct fleet_fixture f;
    init_with_wave(&f);
    scheduler_wave_host_started(f.sched, 4, "m0");
    scheduler_backend_removed(f.sched, "b1");
    for (int i = 0; i < 3; i++) {
        fixture_tick(&f, f.now_ms + 1000);
        scheduler_hosts_read(f.sched, NULL, 0, f.now_ms);
    }
    CU_ASSERT_FALSE(scheduler_wave_done(f.sched, 4));
    fixture_clear(&f);
}

/* The leader that moved host m1 to the spare pool is gone. The record and the
 * entry of its last backend server are still there, and that gives no answer.
 * Returns when that was seen. */
static int64_t
init_after_move(struct fleet_fixture *f)
{
    fixture_init(f, 1);
    f->incarnation_start_ms = f->now_ms + UNIX_OFFSET_MS - 1000;
    struct backend_entry moved = {.id = (char *)"b1",
                                  .incarnation_start_ms =
                                      f->incarnation_start_ms,
                                  .pool = (char *)"p",
                                  .host = (char *)"m1",
                                  .address = (char *)"127.0.0.1:1",
                                  .data_centre = (char *)"dc"};
    scheduler_backend_inherited(f->sched, &moved, LONG_LEASE_MS);
    fixture_add_backend(f, "b1", "p", "m1");
    fixture_add_backend(f, "b2", "p", "m2");
    struct job *job = fixture_add_job(f, JOB_A, "p", one_task);
    job->inherited = true;
    return f->now_ms;
}

static void
work_without_answer(struct fleet_fixture *f, int64_t end_ms)
{
    while (f->now_ms < end_ms) {
        fixture_tick(f, f->now_ms + 100);
        fixture_answer(f, "b1",
                       (struct run_report){.outcome = REPORT_NO_ANSWER});
        fixture_report(f, "b2", NULL, 0, NULL, 0);
    }
}

static const struct host_info in_spare_pool = {.host = "m1",
                                               .pool = "s",
                                               .backend_id = "",
                                               .data_centre = "dc",
                                               .up = true};

/* After a takeover inherited jobs waited for the longest lease of a backend
 * server whose host the previous leader had moved, although the list of hosts
 * showed that. */
static void
test_list_shows_move_of_previous_leader(void)
{
    struct fleet_fixture f;
    int64_t taken_over_ms = init_after_move(&f);
    work_without_answer(&f, taken_over_ms + 1000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    read_list(&f, &in_spare_pool, f.now_ms);
    work_without_answer(&f, taken_over_ms + 2000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b2"), 1);
    fixture_clear(&f);
}

/* The host that the previous leader moved was not used at the next peak. */
static void
test_host_moved_by_previous_leader_is_used(void)
{
    struct fleet_fixture f;
    int64_t taken_over_ms = init_after_move(&f);
    work_without_answer(&f, taken_over_ms + 1000);
    read_list(&f, &in_spare_pool, f.now_ms);
    fixture_add_job(&f, "00000000000000bb", "p",
                    "[{\"count\":64,\"cpu\":1000,\"mem_mb\":100,"
                    "\"estimate_ms\":1000}]");
    work_without_answer(&f, taken_over_ms + 2000);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_MOVE, "m1"), 1);
    fixture_clear(&f);
}

/* The same list, requested before the backend server was seen, shows the host
 * as it was before it came from the spare pool. */
static void
test_late_list_shows_host_in_earlier_pool(void)
{
    struct fleet_fixture f;
    int64_t taken_over_ms = init_after_move(&f);
    work_without_answer(&f, taken_over_ms + 1000);
    read_list(&f, &in_spare_pool, taken_over_ms - 1);
    read_list(&f, &in_spare_pool, taken_over_ms);
    work_without_answer(&f, taken_over_ms + LONG_LEASE_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    work_without_answer(&f, taken_over_ms + LONG_LEASE_MS * 102 / 100 + 600);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b2"), 1);
    fixture_clear(&f);
}

/* A list shows that a host has another backend server, but not which of the
 * two is the newer one, as long as the host has stayed in its pool. */
static void
test_list_names_other_backend_in_same_pool(void)
{
    struct fleet_fixture f;
    int64_t taken_over_ms = init_after_move(&f);
    work_without_answer(&f, taken_over_ms + 1000);
    struct host_info info = in_spare_pool;
    info.pool = "p";
    read_list(&f, &info, f.now_ms);
    work_without_answer(&f, taken_over_ms + LONG_LEASE_MS);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a late list names the earlier incarnation",
         test_late_list_names_earlier_incarnation},
        {"a late list shows the host away", test_late_list_shows_host_away},
        {"a late list shows a host whose clock is behind",
         test_late_list_shows_host_with_clock_behind},
        {"a late list undoes no command", test_late_list_undoes_no_command},
        {"a list shows the effect of an accepted move",
         test_list_shows_accepted_move},
        {"a list shows the move of a previous leader",
         test_list_shows_move_of_previous_leader},
        {"a host that a previous leader moved is used again",
         test_host_moved_by_previous_leader_is_used},
        {"a late list shows a host in its earlier pool",
         test_late_list_shows_host_in_earlier_pool},
        {"a list names another backend server in the same pool",
         test_list_names_other_backend_in_same_pool},
        {"a late entry shows the earlier incarnation",
         test_late_entry_of_earlier_incarnation},
        {"a wave waits for a host that a list leaves out",
         test_wave_waits_for_host_left_out},
        {"a wave waits for a host that no list has shown",
         test_wave_waits_for_host_never_listed},
        {"a host that a list leaves out counts as unavailable",
         test_host_left_out_counts_as_unavailable},
        {"an empty list is no list", test_empty_list_is_no_list},
    };
    return suite_main("jobs late host list", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
