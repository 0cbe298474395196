/*
 * Simulates fleet controllers, the store and the platform (hosts, failures,
 * reboots) step by step in one process, with faults, and counts decisions that
 * a controller should not have made.
 */
#ifndef TESTS_FLEET_FLEET_SIM_H
#define TESTS_FLEET_FLEET_SIM_H

#include "common/random.h"
#include "core/fleet_planner.h"
#include "core/host_shard.h"

enum {
    SIM_LAG_STEPS_MAX = 16,
    SIM_WAVES_MAX = 16,
};

/** struct sim_record - one version of a stored record; the store and the
 * controllers that have read it hold references */
struct sim_record {
    uint64_t version;
    unsigned refs;
    void *data;
    void (*destroy)(void *data);
};

/**
 * struct sim_host - actual state of a host
 * @initial_pool: pool that it joins while it has no record
 * @up: controllers see it up to host_list_lag_steps later
 * @reboot_requested: its record requests a reboot
 * @fails_all_tasks: every task fails there until it is rebooted
 * @up_at_ms: when a failure or reboot ends
 * @draining_since_ms: when its record went into the state draining
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
 * struct fleet_sim_options - size of the fleet and faults
 * @racks_to_pools: assign whole racks to the pools in turn, not single hosts
 * @step_ms: time between two steps
 * @reboot_ms: duration of a reboot
 * @drain_ms: time until a draining host has no more tasks
 * @down_ms: duration of a failure
 * @host_list_lag_steps: greatest delay of the host list
 * @stale_read_percent: chance that a controller keeps an old disruption record
 *                      or wave record when it reads
 * @stale_shard_read_percent: the same for a shard of host records
 * @delayed_write_percent: chance that a controller writes its previous plan
 *                         instead of making a new one
 * @lost_write_percent: chance that a plan is not written at all
 * @pause_percent: chance that a controller pauses after planning, for up to
 *                 60 steps
 * @host_fail_ppm: chance that a host fails in a step, in millionths
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
 * struct fleet_sim - state of a simulation
 * @host_up_history: for each of the last SIM_LAG_STEPS_MAX steps, whether each
 *                   host was up
 * @last_version: last version given to a record
 * @demand_slots: demand for each configured pool; below 0 for unknown
 * @moves: hosts moved, by the pool that they moved to
 * @violations: admissions that broke a budget by what the controller knew,
 *              drains without an admission, and moves of hosts that were not
 *              draining
 * @conflicts: writes refused because the record had changed
 * @store_down: controllers can neither read nor write
 * @failures_disabled: no more random failures
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

/** fleet_sim_step() - simulate @step_ms: the platform, then every controller
 * in an order that starts at a random one. */
void
fleet_sim_step(struct fleet_sim *sim);

/** fleet_sim_plan() - a planning pass of the first controller, without writing
 * the plan; for benchmarks. */
void
fleet_sim_plan(struct fleet_sim *sim);

/** fleet_sim_start_wave() - start a maintenance wave for all hosts; returns
 * its number. */
uint64_t
fleet_sim_start_wave(struct fleet_sim *sim);

/** fleet_sim_wave() - stored record of a wave. */
struct wave_record *
fleet_sim_wave(struct fleet_sim *sim, uint64_t number);

/** fleet_sim_host_record() - stored record of a host, or NULL. */
const struct host_record *
fleet_sim_host_record(struct fleet_sim *sim, const char *host);

/** fleet_sim_available() - hosts actually available in a pool: up, serving,
 * not admitted to a disruption, in a data centre that is in service. */
uint32_t
fleet_sim_available(struct fleet_sim *sim, const char *pool);

/** fleet_sim_fail_rack() - take all hosts of a rack down for @down_ms. */
void
fleet_sim_fail_rack(struct fleet_sim *sim, const char *dc, const char *rack);

/** fleet_sim_config() - configuration with @n_dcs data centres "d0", ...,
 * @n_pools pools "p0", ... that keep @budget hosts available each, and the
 * spare pool "spare". */
struct config *
fleet_sim_config(uint32_t n_dcs, uint32_t n_pools, uint32_t budget);
void
fleet_sim_config_free(struct config *config);

#endif
