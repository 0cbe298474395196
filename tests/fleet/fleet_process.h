/* Runs fleet controllers as processes on a stand-in store, and emulates the
 * platform, which reboots the hosts whose records request it. */
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

/**
 * struct platform_host - actual state of a host
 * @reboot_requested: its record requests a reboot
 * @never_returns: stays down after a reboot
 * @up_at_ms: when a failure or reboot ends
 */
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
 * struct fleet_process - fleet of one test
 * @records: host name to struct host_record, as last read from the store
 * @disruptions: pool name to struct disruption_record, as last read
 * @sample_timer: emulates the platform and reads the store
 * @read_pending: a read of the store has not finished
 * @budget_violations: samples that showed a pool below its budget while hosts
 *                     were admitted; a host that failed so recently that a
 *                     controller may not know counts as available
 * @moves: changes of a host's pool
 * @moves_without_drain: moves of hosts that were not draining
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
 * struct fleet_process_options - size of the fleet
 * @fleet_settings: JSON object for the "fleet" member of the settings, or
 *                  NULL for short timings
 * @racks_per_dc: racks of four hosts in each of the data centres "d0", "d1"
 *                and "d2"; the hosts join @pools in turn
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

/** fleet_process_configure() - publish a configuration; @dc_out names a data
 * centre that is out of service, or NULL. */
void
fleet_process_configure(struct fleet_process *fleet, const char *dc_out);

/** fleet_process_run() - run until @done returns true, at most for @limit_ms;
 * returns whether it did. */
bool
fleet_process_run(struct fleet_process *fleet, int64_t limit_ms,
                  bool (*done)(struct fleet_process *fleet));

/** fleet_process_start_wave() - start maintenance wave @number for all hosts.
 */
void
fleet_process_start_wave(struct fleet_process *fleet, unsigned number);

/** fleet_process_wave() - stored record of a wave; free it with
 * wave_record_destroy(). */
struct wave_record *
fleet_process_wave(struct fleet_process *fleet, unsigned number);

/** fleet_process_set_faults() - set the store's fault switches. */
void
fleet_process_set_faults(struct fleet_process *fleet, const char *json);

/** fleet_process_fail_rack() - take all hosts of a rack down for @down_ms. */
void
fleet_process_fail_rack(struct fleet_process *fleet, const char *dc,
                        const char *rack, int64_t down_ms);

/** fleet_process_stop_sampling() - stop emulating the platform and reading the
 * store. */
void
fleet_process_stop_sampling(struct fleet_process *fleet);

/** fleet_process_count() - number of hosts recorded in @pool and @state; NULL
 * and -1 for any. */
unsigned
fleet_process_count(struct fleet_process *fleet, const char *pool, int state);

#endif
