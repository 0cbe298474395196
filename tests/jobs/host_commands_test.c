/* Host commands within their allowed rate; each test replays a load. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

#define JOB_A "00000000000000aa"

enum {
    IDLE_HOSTS = 100,
    COMMANDS_PER_S = 64,
};

static const int64_t FAR_FUTURE_UNIX_MS = 4000000000000;

/* Lists many idle hosts in pool "q" and one in "p". */
static void
init_with_idle_hosts(struct fleet_fixture *f, uint32_t term,
                     int64_t incarnation_start_ms)
{
    fixture_init(f, term);
    f->incarnation_start_ms = incarnation_start_ms;
    fixture_add_backend(f, "p1", "p", "hp1");
    for (int i = 0; i < IDLE_HOSTS; i++) {
        char id[16];
        char host[16];
        snprintf(id, sizeof(id), "q%d", i);
        snprintf(host, sizeof(host), "hq%d", i);
        fixture_add_backend(f, id, "q", host);
    }
    struct host_info infos[IDLE_HOSTS + 1] = {{.host = "hp1",
                                               .pool = "p",
                                               .backend_id = "p1",
                                               .data_centre = "dc",
                                               .up = true}};
    char names[IDLE_HOSTS][2][16];
    for (int i = 0; i < IDLE_HOSTS; i++) {
        snprintf(names[i][0], sizeof(names[i][0]), "hq%d", i);
        snprintf(names[i][1], sizeof(names[i][1]), "q%d", i);
        infos[i + 1] = (struct host_info){.host = names[i][0],
                                          .pool = "q",
                                          .backend_id = names[i][1],
                                          .data_centre = "dc",
                                          .up = true};
    }
    fixture_reconcile(f);
    scheduler_hosts_read(f->sched, infos, IDLE_HOSTS + 1, f->now_ms);
}

static uint32_t
moves_to(const struct fleet_fixture *f, const char *pool, int64_t since_ms)
{
    uint32_t count = 0;
    for (guint i = 0; i < f->commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(f->commands, i);
        if (command->kind == COMMAND_MOVE && command->at_ms > since_ms &&
            (pool == NULL || strcmp(command->task, pool) == 0)) {
            count++;
        }
    }
    return count;
}

/* Idle hosts of a large fleet return to the spare pool no faster than the
 * platform accepts host commands; commands beyond that rate would wait there.
 */
static void
test_moves_keep_to_the_rate(void)
{
    struct fleet_fixture f;
    init_with_idle_hosts(&f, 0, 1);
    uint32_t most_per_s = 0;
    for (int i = 0; i < 60; i++) {
        fixture_tick(&f, f.now_ms + 100);
        most_per_s = MAX(most_per_s, moves_to(&f, NULL, f.now_ms - 1000));
    }
    CU_ASSERT(most_per_s <= COMMANDS_PER_S);
    CU_ASSERT(most_per_s >= COMMANDS_PER_S / 2);
    CU_ASSERT(moves_to(&f, "s", 0) >= 95);
    fixture_clear(&f);
}

/* A peak begins while idle hosts return to the spare pool: moves for the peak
 * are sent at once, not after the moves that are due. */
static void
test_peak_goes_before_returning_hosts(void)
{
    struct fleet_fixture f;
    init_with_idle_hosts(&f, 0, 1);
    while (moves_to(&f, "s", 0) < 10) {
        fixture_tick(&f, f.now_ms + 50);
    }
    int64_t peak_ms = f.now_ms;
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":64,\"cpu\":1000,\"mem_mb\":100,"
                    "\"estimate_ms\":1000}]");
    fixture_tick(&f, f.now_ms + 100);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT(moves_to(&f, "p", peak_ms) >= 4);
    fixture_clear(&f);
}

/* After a takeover no command may be sent for some seconds about hosts that
 * the previous leader sent commands about; idle ones take tasks until then. */
static void
test_hosts_serve_until_commands_are_allowed(void)
{
    struct fleet_fixture f;
    init_with_idle_hosts(&f, 1, 1000100000);
    for (int i = 0; i < IDLE_HOSTS; i++) {
        char host[16];
        snprintf(host, sizeof(host), "hq%d", i);
        scheduler_host_commanded_before(f.sched, host);
    }
    for (int i = 0; i < 28; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    fixture_add_job(&f, JOB_A, "q",
                    "[{\"count\":1000,\"cpu\":1600,\"mem_mb\":100,"
                    "\"estimate_ms\":1000}]");
    /* Start commands in flight are limited by those that were answered. */
    for (int i = 0; i < 50; i++) {
        fixture_tick(&f, f.now_ms + 10);
        fixture_accept_starts(&f);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1000);
    fixture_clear(&f);
}

/* A peak just after a takeover: spare hosts that the previous leader sent no
 * command about are moved at once, the others when the command gap is over. */
static void
test_spare_hosts_after_a_takeover(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    f.incarnation_start_ms = 1000100000;
    fixture_add_backend(&f, "p1", "p", "hp1");
    struct host_info infos[] = {
        {.host = "hp1",
         .pool = "p",
         .backend_id = "p1",
         .data_centre = "dc",
         .up = true},
        {.host = "s1", .pool = "s", .data_centre = "dc", .up = true},
        {.host = "s2", .pool = "s", .data_centre = "dc", .up = true},
    };
    scheduler_host_commanded_before(f.sched, "s2");
    fixture_reconcile(&f);
    scheduler_hosts_read(f.sched, infos, G_N_ELEMENTS(infos), f.now_ms);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":64,\"cpu\":1000,\"mem_mb\":100,"
                    "\"estimate_ms\":1000}]");
    int64_t taken_over_ms = f.now_ms;
    fixture_tick(&f, f.now_ms + 100);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_MOVE, "s1"), 1);
    while (f.now_ms < taken_over_ms + 3000) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_MOVE, "s2"), 0);
    fixture_tick(&f, f.now_ms + 400);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_MOVE, "s2"), 1);
    fixture_clear(&f);
}

/* The platform refuses a host command because another leader has used a
 * higher token. This one sends nothing more with its own. */
static void
test_fenced_host_command_ends_the_term(void)
{
    struct fleet_fixture f;
    init_with_idle_hosts(&f, 0, 1);
    for (int i = 0; i < 30; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    const struct recorded_command *move = fixture_last(&f, COMMAND_MOVE);
    CU_ASSERT_PTR_NOT_NULL_FATAL(move);
    scheduler_on_host_command(f.sched, move->target, 0, HOST_COMMAND_FENCED);
    CU_ASSERT(scheduler_fenced(f.sched));
    uint32_t sent = f.commands->len;
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":1,\"cpu\":100,\"estimate_ms\":500}]");
    for (int i = 0; i < 40; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(f.commands->len, sent);
    fixture_clear(&f);
}

/* A host restarts by itself while its reboot is in flight. The command may
 * still be carried out, so the host takes nothing and counts as unavailable.
 */
static void
reboot_beside_restart(bool answer_missing)
{
    static const char *const pools[] = {"p", "p", NULL};
    static char *hosts[] = {(char *)"m0", (char *)"m1", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    struct host_wave wave = {.number = 4,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    for (int i = 0; i < 100 && fixture_last(&f, COMMAND_REBOOT) == NULL; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_REBOOT, "m0"), 1);
    f.incarnation_start_ms = f.now_ms + 1000000000;
    fixture_add_backend(&f, "c0", "p", "m0");
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "c0", NULL, 0, NULL, 0);
    /* Work that starts there makes the other host the cheaper one. */
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":2,\"cpu\":16000,\"mem_mb\":10,"
                    "\"estimate_ms\":9000}]");
    fixture_tick(&f, f.now_ms + 10);
    const struct recorded_command *start = fixture_last(&f, COMMAND_START);
    for (guint i = 0; i < f.commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(f.commands, i);
        if (command->kind == COMMAND_START &&
            strcmp(command->target, "b1") == 0) {
            start = command;
        }
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(start);
    struct run_completion done = {.number = 1,
                                  .task = start->task,
                                  .run = start->number,
                                  .reason = END_DONE,
                                  .saved = ""};
    f.incarnation_start_ms = 1;
    fixture_report(&f, "b1", NULL, 0, &done, 1);
    if (answer_missing) {
        scheduler_on_host_command(f.sched, "m0", 4, HOST_COMMAND_UNKNOWN);
    }
    for (int i = 0; i < 30; i++) {
        fixture_tick(&f, f.now_ms + 100);
        fixture_report(&f, "b1", NULL, 0, NULL, 0);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, "m1"), 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, "m0") > 1,
                    answer_missing);
    fixture_clear(&f);
}

static void
test_reboot_in_flight_beside_restart(void)
{
    reboot_beside_restart(false);
}

static void
test_unanswered_reboot_beside_restart(void)
{
    reboot_beside_restart(true);
}

/* The previous leader has sent a reboot that is still on its way at the
 * takeover, and one more host was rebooted beside it than the wave allows. */
static void
test_inherited_reboot_counts(void)
{
    static const char *const pools[] = {"p", "p", "p", NULL};
    static char *hosts[] = {(char *)"m0", (char *)"m1", (char *)"m2", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 1);
    scheduler_host_commanded_before(f.sched, "m1");
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    struct host_wave wave = {.number = 4,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    for (int i = 0; i < 50; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    /* Its own command goes to the same host. */
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 1);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, "m1"), 1);
    scheduler_on_host_command(f.sched, "m1", 4, HOST_COMMAND_DONE);
    f.incarnation_start_ms = f.now_ms + 1000000000 + 2000;
    fixture_tick(&f, f.now_ms + 2000);
    fixture_add_backend(&f, "c1", "p", "m1");
    f.incarnation_start_ms = 1;
    for (int i = 0; i < 10; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 2);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, "m1"), 1);
    fixture_clear(&f);
}

/* A wave waits for such a command no longer than it may be on its way. */
static void
test_inherited_command_is_waited_out(void)
{
    static const char *const pools[] = {"p", "p", "p", NULL};
    static char *hosts[] = {(char *)"m0", (char *)"m1", (char *)"m2", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 1);
    scheduler_host_commanded_before(f.sched, "m1");
    scheduler_host_commanded_before(f.sched, "m2");
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    struct host_wave wave = {.number = 4,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    for (int i = 0; i < 95; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 0);
    for (int i = 0; i < 10; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 1);
    fixture_clear(&f);
}

/* The previous leader's command may still be on its way to a host whose
 * backend server has been up for long. This leader sent its own within that
 * time. */
static void
test_command_gap_of_an_old_incarnation(void)
{
    static const char *const pools[] = {"p", "p", NULL};
    static char *hosts[] = {(char *)"m1", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 1);
    int64_t taken_over_ms = f.now_ms;
    scheduler_host_commanded_before(f.sched, "m1");
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    struct host_wave wave = {.number = 4,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    while (f.now_ms < taken_over_ms + 3000) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, NULL), 0);
    for (int i = 0; i < 10; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, "m1"), 1);
    fixture_clear(&f);
}

/* A move gets no answer, and the entry shows that it was carried out. It was
 * sent again, and the host took nothing meanwhile. */
static void
test_move_shown_by_its_entry(void)
{
    static const char *const pools[] = {"p", "q", "q", "q", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p",
                    "[{\"count\":64,\"cpu\":1000,\"mem_mb\":100,"
                    "\"estimate_ms\":1000}]");
    for (int i = 0; i < 20 && fixture_last(&f, COMMAND_MOVE) == NULL; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    const struct recorded_command *move = fixture_last(&f, COMMAND_MOVE);
    CU_ASSERT_PTR_NOT_NULL_FATAL(move);
    CU_ASSERT_STRING_EQUAL_FATAL(move->task, "p");
    char *host = g_strdup(move->target);
    scheduler_on_host_command(f.sched, host, 0, HOST_COMMAND_UNKNOWN);
    fixture_accept_starts(&f);
    f.incarnation_start_ms = f.now_ms + 1000000000;
    fixture_add_backend(&f, "c9", "p", host);
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "c9", NULL, 0, NULL, 0);
    for (int i = 0; i < 20; i++) {
        fixture_tick(&f, f.now_ms + 100);
        fixture_accept_starts(&f);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_MOVE, host), 1);
    CU_ASSERT(fixture_count(&f, COMMAND_START, "c9") > 0);
    g_free(host);
    fixture_clear(&f);
}

/* The entry of another writer claims to be a later incarnation of a host.
 * Once that was rebooted, the claim counted as the host that is back, and one
 * more was rebooted than the wave allows. */
static void
reboot_beside_claim(const char *pool)
{
    const char *const pools[] = {pool, "s", NULL};
    static char *hosts[] = {(char *)"m0", (char *)"m1", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    f.incarnation_start_ms = FAR_FUTURE_UNIX_MS;
    fixture_add_backend(&f, "odd", "p", "m0");
    f.incarnation_start_ms = 1;
    fixture_tick(&f, f.now_ms + 10);
    if (strcmp(pool, "p") == 0) {
        fixture_report(&f, "b0", NULL, 0, NULL, 0);
    }
    fixture_answer(&f, "odd",
                   (struct run_report){.outcome = REPORT_NO_ANSWER});
    fixture_tick(&f, f.now_ms + 10);
    struct host_wave wave = {.number = 4,
                             .hosts = hosts,
                             .max_unavailable = 1,
                             .within_ms = 20000,
                             .seen_ms = f.now_ms};
    scheduler_wave_set(f.sched, &wave);
    for (int i = 0; i < 50 && fixture_last(&f, COMMAND_REBOOT) == NULL; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_REBOOT, "m0"), 1);
    scheduler_on_host_command(f.sched, "m0", 4, HOST_COMMAND_DONE);
    for (int i = 0; i < 10; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, "m1"), 0);
    /* The host is back, and the other one follows. */
    f.incarnation_start_ms = f.now_ms + 1000000000 + 2000;
    fixture_tick(&f, f.now_ms + 2000);
    fixture_add_backend(&f, "c0", pool, "m0");
    fixture_tick(&f, f.now_ms + 10);
    if (strcmp(pool, "p") == 0) {
        fixture_report(&f, "c0", NULL, 0, NULL, 0);
    }
    f.incarnation_start_ms = 1;
    for (int i = 0; i < 10; i++) {
        fixture_tick(&f, f.now_ms + 100);
    }
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REBOOT, "m1"), 1);
    fixture_clear(&f);
}

static void
test_claim_beside_reboot(void)
{
    reboot_beside_claim("p");
}

/* A spare one is not asked, so it refutes nothing. */
static void
test_claim_beside_reboot_of_spare_host(void)
{
    reboot_beside_claim("s");
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a fenced host command ends the term",
         test_fenced_host_command_ends_the_term},
        {"moves keep to the rate", test_moves_keep_to_the_rate},
        {"a peak goes before returning idle hosts",
         test_peak_goes_before_returning_hosts},
        {"hosts serve until commands are allowed",
         test_hosts_serve_until_commands_are_allowed},
        {"spare hosts after a takeover", test_spare_hosts_after_a_takeover},
        {"a reboot of the previous leader counts",
         test_inherited_reboot_counts},
        {"a command of the previous leader is waited out",
         test_inherited_command_is_waited_out},
        {"the command gap of an old incarnation",
         test_command_gap_of_an_old_incarnation},
        {"a move that its entry shows", test_move_shown_by_its_entry},
        {"a reboot in flight while its host restarts",
         test_reboot_in_flight_beside_restart},
        {"an unanswered reboot while its host restarts",
         test_unanswered_reboot_beside_restart},
        {"a claim to be a host that is rebooted", test_claim_beside_reboot},
        {"a claim to be a spare host that is rebooted",
         test_claim_beside_reboot_of_spare_host},
    };
    return suite_main("jobs host commands", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
