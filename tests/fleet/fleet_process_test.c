/* Fleet controllers as processes, with faults of the store, hosts and
 * controllers. */
#include <signal.h>

#include "../suite.h"
#include "fleet_process.h"

static const char *const pools[] = {"p0", "p1", "spare"};
static const unsigned budgets[] = {5, 5, 0};

static void
start(struct fleet_process *fleet, const unsigned *min_available,
      unsigned n_controllers)
{
    fleet_process_start(fleet, &(struct fleet_process_options){
                                   .pools = pools,
                                   .budgets = min_available,
                                   .n_pools = G_N_ELEMENTS(pools),
                                   .n_controllers = n_controllers,
                                   .racks_per_dc = 2,
                               });
}

static bool
adopted(struct fleet_process *fleet)
{
    return g_hash_table_size(fleet->records) == fleet->n_hosts &&
           fleet_process_count(fleet, NULL, HOST_SERVING) == fleet->n_hosts;
}

static bool
wave_done(struct fleet_process *fleet)
{
    struct wave_record *wave = fleet_process_wave(fleet, 1);
    bool done = wave != NULL && wave->state == WAVE_DONE;
    wave_record_destroy(wave);
    return done;
}

static bool
disrupted(struct fleet_process *fleet)
{
    return fleet_process_count(fleet, NULL, HOST_REBOOTING) > 0;
}

/* A wave with several faults at once: lost answers of the store, an old host
 * list, a rack failure, and controllers that stop and go on with old data. No
 * budget may be broken, and every host is rebooted exactly once. */
static void
test_wave_under_faults(void)
{
    struct fleet_process fleet;
    start(&fleet, budgets, 3);
    CU_ASSERT_FATAL(fleet_process_run(&fleet, 8000, adopted));
    fleet_process_set_faults(&fleet, "{\"lose_answers_percent\": 20,"
                                     " \"lag_hosts_ms\": 200}");
    fleet_process_start_wave(&fleet, 1);
    CU_ASSERT(fleet_process_run(&fleet, 5000, disrupted));
    fleet_process_fail_rack(&fleet, "d1", "r0", 2500);
    fleet_process_run(&fleet, 500, NULL);
    g_subprocess_send_signal(fleet.controllers[0], SIGSTOP);
    fleet_process_run(&fleet, 1000, NULL);
    g_subprocess_send_signal(fleet.controllers[1], SIGSTOP);
    g_subprocess_send_signal(fleet.controllers[0], SIGCONT);
    fleet_process_run(&fleet, 1000, NULL);
    g_subprocess_send_signal(fleet.controllers[1], SIGCONT);
    CU_ASSERT(fleet_process_run(&fleet, 30000, wave_done));
    CU_ASSERT_EQUAL(fleet.budget_violations, 0);
    CU_ASSERT_EQUAL(fleet.moves_without_drain, 0);
    CU_ASSERT(fleet.admissions > 0);
    unsigned rebooted = 0;
    for (unsigned i = 0; i < fleet.n_hosts; i++) {
        CU_ASSERT(fleet.hosts[i].n_reboots <= 1);
        rebooted += fleet.hosts[i].n_reboots;
    }
    CU_ASSERT_EQUAL(rebooted, fleet.n_hosts);
    fleet_process_stop(&fleet);
}

static bool
all_serving(struct fleet_process *fleet)
{
    return fleet_process_count(fleet, NULL, HOST_SERVING) == fleet->n_hosts;
}

/* While the store is unreachable no further reboot begins, and hosts that were
 * rebooting come up; the wave goes on afterwards. */
static void
test_store_outage(void)
{
    struct fleet_process fleet;
    start(&fleet, budgets, 2);
    CU_ASSERT_FATAL(fleet_process_run(&fleet, 8000, adopted));
    fleet_process_start_wave(&fleet, 1);
    CU_ASSERT(fleet_process_run(&fleet, 5000, disrupted));
    fleet_process_set_faults(&fleet, "{\"down\": true}");
    fleet_process_run(&fleet, 3000, NULL);
    unsigned before = 0;
    unsigned after = 0;
    for (unsigned i = 0; i < fleet.n_hosts; i++) {
        before += fleet.hosts[i].n_reboots;
    }
    fleet_process_run(&fleet, 1000, NULL);
    for (unsigned i = 0; i < fleet.n_hosts; i++) {
        after += fleet.hosts[i].n_reboots;
        CU_ASSERT(fleet.hosts[i].up);
    }
    CU_ASSERT_EQUAL(before, after);
    fleet_process_set_faults(&fleet, "{\"down\": false}");
    CU_ASSERT(fleet_process_run(&fleet, 20000, wave_done));
    CU_ASSERT(fleet_process_run(&fleet, 3000, all_serving));
    CU_ASSERT_EQUAL(fleet.budget_violations, 0);
    fleet_process_stop(&fleet);
}

static bool
pools_filled(struct fleet_process *fleet)
{
    unsigned usable[2] = {0};
    for (unsigned i = 0; i < fleet->n_hosts; i++) {
        const struct platform_host *host = &fleet->hosts[i];
        const struct host_record *record =
            g_hash_table_lookup(fleet->records, host->name);
        for (unsigned p = 0; p < 2; p++) {
            usable[p] += record != NULL && !g_str_equal(host->dc, "d0") &&
                         record->state == HOST_SERVING &&
                         g_str_equal(record->pool, pools[p]);
        }
    }
    return usable[0] == 7 && usable[1] == 7;
}

/* p0 and p1 have 8 hosts each and need 7. A data centre out of service takes
 * three of them, so two move into each pool; they stay after its return. */
static void
test_dc_out_and_back(void)
{
    static const unsigned high[] = {6, 6, 0};
    struct fleet_process fleet;
    start(&fleet, high, 3);
    CU_ASSERT_FATAL(fleet_process_run(&fleet, 8000, adopted));
    CU_ASSERT_EQUAL(fleet.moves, 0);
    fleet_process_configure(&fleet, "d0");
    CU_ASSERT(fleet_process_run(&fleet, 8000, pools_filled));
    unsigned moved_out = fleet.moves;
    CU_ASSERT_EQUAL(moved_out, 4);
    fleet_process_configure(&fleet, NULL);
    fleet_process_run(&fleet, 3000, NULL);
    /* Without reported demand no pool is known to have too many hosts. */
    CU_ASSERT_EQUAL(fleet.moves, moved_out);
    CU_ASSERT_EQUAL(fleet.budget_violations, 0);
    CU_ASSERT_EQUAL(fleet.moves_without_drain, 0);
    fleet_process_stop(&fleet);
}

static bool
host_5_held_out(struct fleet_process *fleet)
{
    struct wave_record *wave = fleet_process_wave(fleet, 1);
    bool held = wave != NULL && wave->state == WAVE_DONE &&
                g_hash_table_contains(wave->held_out, "w0005");
    wave_record_destroy(wave);
    return held;
}

/* A host that does not come up after its reboot is recorded as failed and held
 * out of the wave, which must not wait for it forever. */
static void
test_host_does_not_return(void)
{
    struct fleet_process fleet;
    start(&fleet, budgets, 2);
    CU_ASSERT_FATAL(fleet_process_run(&fleet, 8000, adopted));
    fleet.hosts[5].never_returns = true;
    fleet_process_start_wave(&fleet, 1);
    CU_ASSERT(fleet_process_run(&fleet, 30000, host_5_held_out));
    const struct host_record *record =
        g_hash_table_lookup(fleet.records, "w0005");
    CU_ASSERT_EQUAL(record->state, HOST_FAILED);
    CU_ASSERT_EQUAL(fleet.budget_violations, 0);
    fleet_process_stop(&fleet);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"wave under faults", test_wave_under_faults},
        {"store outage", test_store_outage},
        {"data centre out and back", test_dc_out_and_back},
        {"host does not return", test_host_does_not_return},
    };
    return suite_main("fleet-process", tests, G_N_ELEMENTS(tests));
}
