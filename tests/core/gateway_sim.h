/*
 * Simulates several gateways (dispatchers) that share hosts, step by step.
 * Hosts refuse attempts when their slots are full; the gateways exchange their
 * usage.
 */
#ifndef TESTS_CORE_GATEWAY_SIM_H
#define TESTS_CORE_GATEWAY_SIM_H

#include "common/random.h"
#include "config_fixture.h"

enum {
    SIM_GATEWAYS_MAX = 7,
    SIM_TEAMS_MAX = 8,
    SIM_HOSTS_MAX = 64,
    SIM_TICK_MS = 5,
    SIM_EXCHANGE_INTERVAL_MS = 500,
};

/**
 * struct sim_options - parameters of a simulation
 * @run_ms: mean run time of a team's tasks; exponentially distributed
 * @urgent: teams whose tasks go to "queue-1", an urgent queue of pool 0
 * @exchange_usage: whether gateways report their usage to each other
 * @rate: tasks per second that a team submits to a gateway
 * @host_fails: whether a task fails on a host; NULL for never
 */
struct sim_options {
    uint64_t seed;
    uint32_t gateways;
    uint32_t teams;
    uint32_t hosts;
    uint32_t slots;
    enum service_unit unit;
    uint32_t share_permille[SIM_TEAMS_MAX];
    int64_t run_ms[SIM_TEAMS_MAX];
    bool urgent[SIM_TEAMS_MAX];
    bool exchange_usage;
    double (*rate)(uint32_t team, uint32_t gateway, int64_t now_ms);
    bool (*host_fails)(uint32_t host, uint32_t team, int64_t now_ms);
};

/**
 * struct sim_team - counters of a team
 * @refused_on_submit: tasks refused by dispatch_submit()
 * @refused_in_queue: tasks refused later
 * @busy_slot_ms: time for which its tasks have used slots
 * @wait_max_ms: longest time from arrival to start
 */
struct sim_team {
    uint64_t submitted;
    uint64_t refused_on_submit;
    uint64_t refused_in_queue;
    uint64_t done;
    uint64_t failed;
    int64_t busy_slot_ms;
    int64_t wait_max_ms;
};

/** struct sim_attempt - an attempt on a host, with the result it will have at
 * @ends_ms */
struct sim_attempt {
    uint64_t attempt;
    uint32_t gateway;
    uint32_t team;
    uint32_t host;
    int64_t ends_ms;
    enum attempt_result result;
};

struct sim {
    struct sim_options options;
    struct random random;
    struct fixture *fixture;
    struct dispatch *dispatch[SIM_GATEWAYS_MAX];
    int64_t now_ms;
    uint32_t host_running[SIM_HOSTS_MAX];
    uint64_t host_starts[SIM_HOSTS_MAX];
    /* Open attempts, of struct sim_attempt. */
    GArray *attempts;
    /* Team and arrival time, by task number. */
    GArray *task_teams;
    GArray *task_submit_times;
    struct sim_team teams[SIM_TEAMS_MAX];
    uint64_t refused_by_reason[REASON_COUNT];
    uint64_t host_refusals;
    uint64_t starts;
};

struct sim *
sim_create(const struct sim_options *options);
void
sim_destroy(struct sim *sim);

/** sim_run() - simulate @for_ms. */
void
sim_run(struct sim *sim, int64_t for_ms);

/** sim_reset_counters() - set all counters to 0, after warm-up. */
void
sim_reset_counters(struct sim *sim);

/** sim_update_hosts() - give the fixture's hosts to all gateways. */
void
sim_update_hosts(struct sim *sim);

/** sim_share_error() - largest relative deviation of a team's service from its
 * share, |service - due| / due. */
double
sim_share_error(const struct sim *sim);

/** sim_utilization() - used fraction of the slot time within @for_ms. */
double
sim_utilization(const struct sim *sim, int64_t for_ms);

#endif
