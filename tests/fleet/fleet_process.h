/* Controllers as processes on a stand-in store, and a platform that reboots
 * the hosts whose records ask for it. */
#ifndef TESTS_FLEET_FLEET_PROCESS_H
#define TESTS_FLEET_FLEET_PROCESS_H

#include "../store/store_process.h"
#include "core/disruption_record.h"
#include "core/host_shard.h"
#include "core/wave_record.h"
#include "store/store.h"

enum {
    CONTROLLERS_MAX = 3,
    POOLS_MAX = 64,
    SAMPLE_INTERVAL_MS = 100,
};

/** struct platform_host - truth about one host */
struct platform_host {
    char name[16];
    char dc[8];
    char rack[16];
    char pool[64];
    bool up;
    bool leaving;
    bool reboot_requested;
    bool never_returns;
    int64_t up_at_ms;
    int64_t down_since_ms;
    unsigned n_reboots;
};

/**
 * struct fleet_process - one test's fleet
 * @budget_violations: admissions that left a pool below its budget, failures
 * that the list had shown for long counted
 * @moves: changes of a host's pool
 * @moves_without_drain: those of hosts that were not draining
 */
struct fleet_process {
    struct store_process store_process;
    struct store *store;
    char *directory;
    GSubprocess *controllers[CONTROLLERS_MAX];
    unsigned n_controllers;
    struct platform_host *hosts;
    unsigned n_hosts;
    const char *pools[POOLS_MAX];
    unsigned budgets[POOLS_MAX];
    unsigned n_pools;
    GHashTable *records;
    GHashTable *disruptions;
    guint sample_timer;
    bool read_pending;
    unsigned budget_violations;
    unsigned admissions;
    unsigned moves;
    unsigned moves_without_drain;
};

/**
 * struct fleet_process_options - shape of the fleet
 * @fleet_settings: JSON object for the "fleet" member of the settings, or
 *                  NULL for short delays
 * @racks_per_dc: racks of four hosts in each of the data centres "d0", "d1"
 *                and "d2"; hosts are dealt to @pools in turn
 */
struct fleet_process_options {
    const char *fleet_settings;
    const char *const *pools;
    const unsigned *budgets;
    unsigned n_pools;
    unsigned n_controllers;
    unsigned racks_per_dc;
};

void
fleet_process_start(struct fleet_process *fleet,
                    const struct fleet_process_options *options);
void
fleet_process_stop(struct fleet_process *fleet);

/** fleet_process_configure() - put a configuration in force; @dc_out names a
 * data centre that is out, or NULL. */
void
fleet_process_configure(struct fleet_process *fleet, const char *dc_out);

/** fleet_process_run() - let time pass until @done says so, or for
 * @limit_ms; returns whether it did. */
bool
fleet_process_run(struct fleet_process *fleet, int64_t limit_ms,
                  bool (*done)(struct fleet_process *fleet));

/** fleet_process_start_wave() - create wave @number over everything. */
void
fleet_process_start_wave(struct fleet_process *fleet, unsigned number);

/** fleet_process_wave() - present record of a wave; destroy it. */
struct wave_record *
fleet_process_wave(struct fleet_process *fleet, unsigned number);

/** fleet_process_set_faults() - set the store's fault switches. */
void
fleet_process_set_faults(struct fleet_process *fleet, const char *json);

/** fleet_process_fail_rack() - take a rack down for @down_ms. */
void
fleet_process_fail_rack(struct fleet_process *fleet, const char *dc,
                        const char *rack, int64_t down_ms);

/** fleet_process_stop_sampling() - stop playing the platform and reading. */
void
fleet_process_stop_sampling(struct fleet_process *fleet);

/** fleet_process_count() - hosts with a record in @pool and @state; NULL and
 * -1 for any. */
unsigned
fleet_process_count(struct fleet_process *fleet, const char *pool, int state);

#endif
