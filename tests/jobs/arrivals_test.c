/* Hosts requested for arriving jobs; each test replays a load. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"

enum {
    SPARE_HOSTS = 160,
    TICK_MS = 100,
    /* Duration of a job: two steps of a second each. */
    JOB_MS = 2000,
    STEADY_LOAD_MS = 20000,
};

/* Nine cores for a second, then nine cores for another second. */
static const char two_steps[] =
    "[{\"count\":9,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":1000},"
    "{\"count\":9,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":1000,"
    "\"after\":[0]}]";

/** struct arrival - a job and when it ends; @ends_ms: 0 after its end */
struct arrival {
    char id[JOB_ID_CHARS + 1];
    int64_t ends_ms;
};

static void
init_with_spare_hosts(struct fleet_fixture *f)
{
    fixture_init(f, 0);
    fixture_add_backend(f, "p1", "p", "hp1");
    struct host_info infos[SPARE_HOSTS + 1] = {{.host = "hp1",
                                                .pool = "p",
                                                .backend_id = "p1",
                                                .data_centre = "dc",
                                                .up = true}};
    char names[SPARE_HOSTS][16];
    for (int i = 0; i < SPARE_HOSTS; i++) {
        snprintf(names[i], sizeof(names[i]), "hs%d", i);
        infos[i + 1] = (struct host_info){
            .host = names[i], .pool = "s", .data_centre = "dc", .up = true};
    }
    fixture_reconcile(f);
    scheduler_hosts_read(f->sched, infos, SPARE_HOSTS + 1, f->now_ms);
    fixture_tick(f, f->now_ms + TICK_MS);
}

/* Runs one tick in which @n_jobs arrive; jobs whose time is over are cancelled
 * as a stand-in for their end. */
static void
run_tick(struct fleet_fixture *f, GArray *arrivals, int n_jobs)
{
    for (int i = 0; i < n_jobs; i++) {
        struct arrival arrival = {.ends_ms = f->now_ms + JOB_MS};
        snprintf(arrival.id, sizeof(arrival.id), "%016x", arrivals->len);
        fixture_add_job(f, arrival.id, "p", two_steps);
        g_array_append_val(arrivals, arrival);
    }
    for (guint i = 0; i < arrivals->len; i++) {
        struct arrival *arrival = &g_array_index(arrivals, struct arrival, i);
        if (arrival->ends_ms != 0 && f->now_ms >= arrival->ends_ms) {
            scheduler_cancel(f->sched, arrival->id);
            arrival->ends_ms = 0;
        }
    }
    fixture_tick(f, f->now_ms + TICK_MS);
}

/* A peak builds up over four seconds to 120 jobs a second. Hosts take work
 * 1.5 s after they are requested, so after two seconds the hosts that the
 * third second needs have to be requested. */
static void
test_rise_is_extrapolated(void)
{
    struct fleet_fixture f;
    init_with_spare_hosts(&f);
    GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
    double due = 0;
    for (int64_t t_ms = 0; t_ms < 2000; t_ms += TICK_MS) {
        due += 120.0 * (double)t_ms / 4000 * TICK_MS / 1000;
        int n_jobs = (int)due;
        due -= n_jobs;
        run_tick(&f, arrivals, n_jobs);
    }
    uint32_t requested = fixture_count(&f, COMMAND_MOVE, NULL);
    printf("%u hosts requested ", requested);
    /* 90 jobs a second of 18 core-seconds would need 119 hosts. */
    CU_ASSERT(requested >= 55);
    g_array_unref(arrivals);
    fixture_clear(&f);
}

/* The random variation of a steady load is not taken for a rise. */
static void
test_steady_load_is_not_a_rise(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        struct fleet_fixture f;
        init_with_spare_hosts(&f);
        GRand *rng = g_rand_new_with_seed(seed);
        GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
        for (int64_t t_ms = 0; t_ms < STEADY_LOAD_MS; t_ms += TICK_MS) {
            int n_jobs = 0;
            for (int i = 0; i < 8; i++) {
                n_jobs += g_rand_double(rng) < 0.1;
            }
            run_tick(&f, arrivals, n_jobs);
        }
        uint32_t requested = fixture_count(&f, COMMAND_MOVE, NULL);
        printf("%u ", requested);
        /* 8 jobs a second need 11 hosts, a random cluster of arrivals twice as
         * many. */
        CU_ASSERT(requested <= 22);
        g_array_unref(arrivals);
        g_rand_free(rng);
        fixture_clear(&f);
    }
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a rise is extrapolated", test_rise_is_extrapolated},
        {"a steady load is not taken for a rise",
         test_steady_load_is_not_a_rise},
    };
    return suite_main("jobs arrivals", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
