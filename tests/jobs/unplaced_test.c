/* Jobs whose starts are refused while a pass places them: they are placed by a
 * later pass, whatever kind of work they are. */
#include "../suite.h"
#include "fleet_fixture.h"

enum {
    JOB_COUNT = 20,
    /* Of each kind, these may start at once. */
    TASKS_PER_JOB = 5,
    PASS_MS = 100,
    /* For all starts, a window of which may be without an answer. */
    SETTLE_MS = 1000,
};

static const char short_tasks[] =
    "[{\"count\":3,\"cpu\":200,\"mem_mb\":10,\"estimate_ms\":500},"
    "{\"count\":2,\"cpu\":200,\"mem_mb\":10,\"estimate_ms\":500}]";
static const char gang[] =
    "[{\"count\":5,\"cpu\":200,\"mem_mb\":10,\"estimate_ms\":500,"
    "\"gang\":true}]";
static const char rack_gang[] =
    "[{\"count\":5,\"cpu\":200,\"mem_mb\":10,\"estimate_ms\":500,"
    "\"gang\":true,\"same_rack\":true}]";
static const char service[] =
    "[{\"count\":5,\"cpu\":200,\"mem_mb\":10,\"long_running\":true}]";

static void
init_fleet(struct fleet_fixture *f, const char *steps)
{
    static const char *const pools[] = {"p", "p", "p", "p", NULL};
    fixture_init(f, 1);
    fixture_add_hosts(f, pools);
    fixture_reconcile(f);
    for (int i = 0; i < JOB_COUNT; i++) {
        char *id = g_strdup_printf("00000000000000%02x", i);
        fixture_add_job(f, id, "p", steps);
        g_free(id);
    }
}

/* Passes in which every start is carried out. */
static void
pass_calmly(struct fleet_fixture *f)
{
    int64_t until_ms = f->now_ms + SETTLE_MS;
    while (f->now_ms < until_ms) {
        fixture_tick(f, f->now_ms + PASS_MS);
        fixture_accept_starts(f);
    }
}

/* Tasks with a run, of all jobs. */
static uint32_t
count_runs(const struct fleet_fixture *f)
{
    struct sched_stats stats;
    scheduler_stats(f->sched, &stats);
    return stats.runs;
}

static const char *const kinds[] = {short_tasks, gang, rack_gang, service};

/* Guards against accepted jobs that no pass looks at any more, since their
 * starts ended inside the pass that sent them. */
static void
test_refused_in_pass(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct fleet_fixture f;
        init_fleet(&f, kinds[i]);
        f.refuse_starts = true;
        for (int pass = 0; pass < 3; pass++) {
            fixture_tick(&f, f.now_ms + PASS_MS);
            CU_ASSERT_EQUAL(count_runs(&f), 0);
        }
        f.refuse_starts = false;
        pass_calmly(&f);
        CU_ASSERT_EQUAL(count_runs(&f), JOB_COUNT * TASKS_PER_JOB);
        fixture_clear(&f);
    }
}

/* Guards against the same where the leadership ends in the pass, and against a
 * pass that decides thousands of starts of which none may be sent. */
static void
test_leadership_ends_in_pass(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct fleet_fixture f;
        init_fleet(&f, kinds[i]);
        f.starts_end_leadership = true;
        fixture_tick(&f, f.now_ms + PASS_MS);
        /* A gang is decided as a whole. */
        CU_ASSERT(fixture_count(&f, COMMAND_START, NULL) <= TASKS_PER_JOB);
        CU_ASSERT_EQUAL(count_runs(&f), 0);
        f.starts_end_leadership = false;
        scheduler_set_leadership_valid(f.sched, true);
        pass_calmly(&f);
        CU_ASSERT_EQUAL(count_runs(&f), JOB_COUNT * TASKS_PER_JOB);
        fixture_clear(&f);
    }
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"starts refused in a pass", test_refused_in_pass},
        {"leadership ends in a pass", test_leadership_ends_in_pass},
    };
    return suite_main("jobs unplaced", tests, G_N_ELEMENTS(tests));
}
