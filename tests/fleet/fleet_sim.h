/* Controllers, a store and a platform in one process, step by step. */
#ifndef TESTS_FLEET_FLEET_SIM_H
#define TESTS_FLEET_FLEET_SIM_H

#include "common/random.h"
#include "core/fleet_planner.h"
#include "core/host_shard.h"

enum {
    SIM_LAG_STEPS_MAX = 16
};

/** struct sim_record - a stored value; views share it until it changes */
struct sim_record {
    uint64_t version;
    unsigned refs;
    void *data;
    void (*destroy)(void *data);
};

/**
 * struct sim_host - the platform's side of a host
 * @up: truth; controllers see it @lag steps later
 * @up_at_ms: when a failure or reboot ends
 * @fails_all_tasks: every task fails there until it is rebooted
 */
struct sim_host {
    char name[16];
    char *dc;
    char rack[16];
    char *initial_pool;
    bool up;
    bool reboot_requested;
    bool leaving;
    bool fails_all_tasks;
    int64_t up_at_ms;
    int64_t draining_since_ms;
};

/**
 * struct fleet_sim_options - shape and faults
 * @racks_to_pools: whole racks go to pools in turn, not single hosts
 * @*_percent: chance of a fault for each write or refresh
 * @host_fail_ppm: chance of a host's failure in each step, millionths
 * @rack_fail_ppm: the same for a rack
 */
struct fleet_sim_options {
    uint64_t seed;
    struct config *config;
    struct fleet_timings timings;
    uint32_t n_controllers;
    uint32_t racks_per_dc;
    uint32_t hosts_per_rack;
    bool racks_to_pools;
    int64_t step_ms;
    int64_t reboot_ms;
    int64_t drain_ms;
    int64_t down_ms;
    uint32_t host_list_lag_steps;
    uint32_t stale_read_percent;
    uint32_t stale_shard_read_percent;
    uint32_t delayed_write_percent;
    uint32_t lost_write_percent;
    uint32_t pause_percent;
    uint32_t host_fail_ppm;
    uint32_t rack_fail_ppm;
};

struct sim_controller;

/**
 * struct fleet_sim - all of it
 * @demand_slots: slots asked of each configured pool; below 0 for unknown
 * @violations: disruptions that a controller should have known to break a
 *              budget, and drains without an entry
 * @moves: hosts moved, by pool they went to
 */
struct fleet_sim {
    struct fleet_sim_options options;
    struct random random;
    int64_t now_ms;
    struct sim_host *hosts;
    uint32_t n_hosts;
    bool *host_up_history;
    struct sim_record *shards[HOST_SHARDS];
    struct sim_record **disruptions;
    struct sim_record **waves;
    uint32_t n_waves;
    uint64_t last_version;
    struct sim_controller *controllers;
    double *demand_slots;
    uint32_t *moves;
    uint32_t violations;
    uint32_t admissions;
    uint32_t reboots;
    uint32_t writes;
    uint32_t conflicts;
    bool store_down;
    bool failures_disabled;
};

struct fleet_sim *
fleet_sim_create(const struct fleet_sim_options *options);
void
fleet_sim_destroy(struct fleet_sim *sim);

/** fleet_sim_step() - let @step_ms pass. */
void
fleet_sim_step(struct fleet_sim *sim);

/** fleet_sim_plan() - one planning pass of the first controller, not
 * carried out; for measurements. */
void
fleet_sim_plan(struct fleet_sim *sim);

/** fleet_sim_start_wave() - over the whole fleet; returns its number. */
uint64_t
fleet_sim_start_wave(struct fleet_sim *sim);

/** fleet_sim_wave() - present record of a wave. */
struct wave_record *
fleet_sim_wave(struct fleet_sim *sim, uint64_t number);

/** fleet_sim_host_record() - present record of a host, or NULL. */
const struct host_record *
fleet_sim_host_record(struct fleet_sim *sim, const char *host);

/** fleet_sim_available() - hosts of a pool that serve, by truth. */
uint32_t
fleet_sim_available(struct fleet_sim *sim, const char *pool);

/** fleet_sim_fail_rack() - take a rack down. */
void
fleet_sim_fail_rack(struct fleet_sim *sim, const char *dc, const char *rack);

/** fleet_sim_config() - @n_pools pools "p0", ... with a budget each and one
 * spare pool "spare" over @n_dcs data centres "d0", ... */
struct config *
fleet_sim_config(uint32_t n_dcs, uint32_t n_pools, uint32_t budget);
void
fleet_sim_config_free(struct config *config);

#endif
