#include "fleet_sim.h"

#include "core/record_edit.h"

/**
 * struct sim_controller - a controller and what it has read
 * @plan: result of its last planning pass
 * @host_up_seen: host list as it has read it
 * @dc_in_service_seen: states of the data centres that it has read
 * @versions: versions of the @shards
 */
struct sim_controller {
    struct fleet_planner *planner;
    struct fleet_plan *plan;
    struct sim_record *shards[HOST_SHARDS];
    struct sim_record **disruptions;
    struct sim_record **waves;
    uint32_t n_waves;
    bool *host_up_seen;
    bool *dc_in_service_seen;
    uint64_t versions[HOST_SHARDS];
    int64_t paused_until_ms;
};

static struct sim_record *
record_create(struct fleet_sim *sim, void *data, void (*destroy)(void *))
{
    struct sim_record *record = g_new0(struct sim_record, 1);
    record->version = ++sim->last_version;
    record->refs = 1;
    record->data = data;
    record->destroy = destroy;
    return record;
}

static void
record_unref(struct sim_record *record)
{
    if (record != NULL && --record->refs == 0) {
        record->destroy(record->data);
        g_free(record);
    }
}

static void
record_set(struct sim_record **slot, struct sim_record *record)
{
    if (record != NULL) {
        record->refs++;
    }
    record_unref(*slot);
    *slot = record;
}

static void
destroy_shard(void *data)
{
    host_shard_destroy(data);
}

static void
destroy_disruptions(void *data)
{
    disruption_record_destroy(data);
}

static void
destroy_wave(void *data)
{
    wave_record_destroy(data);
}

struct config *
fleet_sim_config(uint32_t n_dcs, uint32_t n_pools, uint32_t budget)
{
    struct config *config = g_new0(struct config, 1);
    config->n_dcs = n_dcs;
    config->dcs = g_new0(struct config_dc, n_dcs);
    for (uint32_t i = 0; i < n_dcs; i++) {
        config->dcs[i].name = g_strdup_printf("d%u", i);
    }
    config->n_pools = n_pools + 1;
    config->pools = g_new0(struct config_pool, config->n_pools);
    config->n_queues = n_pools;
    config->queues = g_new0(struct config_queue, n_pools);
    for (uint32_t i = 0; i <= n_pools; i++) {
        struct config_pool *pool = &config->pools[i];
        pool->name =
            i < n_pools ? g_strdup_printf("p%u", i) : g_strdup("spare");
        pool->spare = i == n_pools;
        pool->min_available_hosts = i < n_pools ? budget : 0;
        pool->host_slots = 8;
        if (i < n_pools) {
            config->queues[i].pool = pool->name;
            config->queues[i].max_run_ms = 1000000;
        }
    }
    return config;
}

void
fleet_sim_config_free(struct config *config)
{
    for (size_t i = 0; i < config->n_dcs; i++) {
        g_free(config->dcs[i].name);
    }
    for (size_t i = 0; i < config->n_pools; i++) {
        g_free(config->pools[i].name);
    }
    g_free(config->dcs);
    g_free(config->pools);
    g_free(config->queues);
    g_free(config);
}

static void
make_hosts(struct fleet_sim *sim)
{
    const struct fleet_sim_options *options = &sim->options;
    const struct config *config = options->config;
    sim->n_hosts = (uint32_t)config->n_dcs * options->racks_per_dc *
                   options->hosts_per_rack;
    sim->hosts = g_new0(struct sim_host, sim->n_hosts);
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        struct sim_host *host = &sim->hosts[i];
        uint32_t rack = i / options->hosts_per_rack;
        g_snprintf(host->name, sizeof(host->name), "w%05u", i);
        g_snprintf(host->rack, sizeof(host->rack), "r%u",
                   rack % options->racks_per_dc);
        host->dc = config->dcs[rack / options->racks_per_dc].name;
        uint32_t turn = options->racks_to_pools ? rack : i;
        host->initial_pool = config->pools[turn % config->n_pools].name;
        host->up = true;
    }
}

struct fleet_sim *
fleet_sim_create(const struct fleet_sim_options *options)
{
    struct fleet_sim *sim = g_new0(struct fleet_sim, 1);
    sim->options = *options;
    sim->random = random_seeded(options->seed);
    make_hosts(sim);
    size_t n_pools = options->config->n_pools;
    sim->host_up_history = g_new0(bool, sim->n_hosts *SIM_LAG_STEPS_MAX);
    for (uint32_t i = 0; i < sim->n_hosts * SIM_LAG_STEPS_MAX; i++) {
        sim->host_up_history[i] = true;
    }
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        sim->shards[i] =
            record_create(sim, host_shard_create(), destroy_shard);
    }
    sim->disruptions = g_new0(struct sim_record *, n_pools);
    for (size_t i = 0; i < n_pools; i++) {
        sim->disruptions[i] = record_create(sim, disruption_record_create(),
                                            destroy_disruptions);
    }
    sim->waves = g_new0(struct sim_record *, SIM_WAVES_MAX);
    sim->demand_slots = g_new0(double, n_pools);
    sim->moves = g_new0(uint32_t, n_pools);
    for (size_t i = 0; i < n_pools; i++) {
        sim->demand_slots[i] = -1;
    }
    sim->controllers = g_new0(struct sim_controller, options->n_controllers);
    for (uint32_t i = 0; i < options->n_controllers; i++) {
        struct sim_controller *controller = &sim->controllers[i];
        controller->planner = fleet_planner_create(&options->timings);
        controller->disruptions = g_new0(struct sim_record *, n_pools);
        controller->waves = g_new0(struct sim_record *, SIM_WAVES_MAX);
        controller->host_up_seen = g_new0(bool, sim->n_hosts);
        controller->dc_in_service_seen = g_new0(bool, options->config->n_dcs);
    }
    return sim;
}

void
fleet_sim_destroy(struct fleet_sim *sim)
{
    size_t n_pools = sim->options.config->n_pools;
    for (uint32_t c = 0; c < sim->options.n_controllers; c++) {
        struct sim_controller *controller = &sim->controllers[c];
        for (uint32_t i = 0; i < HOST_SHARDS; i++) {
            record_unref(controller->shards[i]);
        }
        for (size_t i = 0; i < n_pools; i++) {
            record_unref(controller->disruptions[i]);
        }
        for (uint32_t i = 0; i < SIM_WAVES_MAX; i++) {
            record_unref(controller->waves[i]);
        }
        fleet_planner_destroy(controller->planner);
        fleet_plan_destroy(controller->plan);
        g_free(controller->disruptions);
        g_free(controller->waves);
        g_free(controller->host_up_seen);
        g_free(controller->dc_in_service_seen);
    }
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        record_unref(sim->shards[i]);
    }
    for (size_t i = 0; i < n_pools; i++) {
        record_unref(sim->disruptions[i]);
    }
    for (uint32_t i = 0; i < SIM_WAVES_MAX; i++) {
        record_unref(sim->waves[i]);
    }
    g_free(sim->controllers);
    g_free(sim->disruptions);
    g_free(sim->waves);
    g_free(sim->host_up_history);
    g_free(sim->demand_slots);
    g_free(sim->moves);
    g_free(sim->hosts);
    g_free(sim);
}

const struct host_record *
fleet_sim_host_record(struct fleet_sim *sim, const char *host)
{
    const struct host_shard *shard = sim->shards[host_shard_index(host)]->data;
    return g_hash_table_lookup(shard->hosts, host);
}

struct wave_record *
fleet_sim_wave(struct fleet_sim *sim, uint64_t number)
{
    return sim->waves[number - 1]->data;
}

uint64_t
fleet_sim_start_wave(struct fleet_sim *sim)
{
    struct wave_record *wave = wave_record_create();
    wave->number = ++sim->n_waves;
    wave->started_s = sim->now_ms / 1000;
    sim->waves[sim->n_waves - 1] = record_create(sim, wave, destroy_wave);
    return wave->number;
}

void
fleet_sim_fail_rack(struct fleet_sim *sim, const char *dc, const char *rack)
{
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        struct sim_host *host = &sim->hosts[i];
        if (g_str_equal(host->dc, dc) && g_str_equal(host->rack, rack)) {
            host->up = false;
            host->up_at_ms = sim->now_ms + sim->options.down_ms;
        }
    }
}

static bool
random_percent(struct fleet_sim *sim, uint32_t percent)
{
    return random_below(&sim->random, 100) < percent;
}

static void
inject_failures(struct fleet_sim *sim, struct sim_host *host, uint32_t i)
{
    const struct fleet_sim_options *options = &sim->options;
    if (sim->failures_disabled) {
        return;
    }
    if (i % options->hosts_per_rack == 0 && options->rack_fail_ppm > 0 &&
        random_below(&sim->random, 1000000) < options->rack_fail_ppm) {
        fleet_sim_fail_rack(sim, host->dc, host->rack);
    }
    else if (options->host_fail_ppm > 0 && host->up &&
             random_below(&sim->random, 1000000) < options->host_fail_ppm) {
        host->up = false;
        host->up_at_ms = sim->now_ms + options->down_ms;
    }
}

static void
step_host(struct fleet_sim *sim, struct sim_host *host, uint32_t i)
{
    const struct host_record *record = fleet_sim_host_record(sim, host->name);
    bool reboot_requested = record != NULL && record->state == HOST_REBOOTING;
    if (reboot_requested && !host->reboot_requested) {
        host->reboot_requested = true;
        host->up = false;
        host->fails_all_tasks = false;
        host->up_at_ms = sim->now_ms + sim->options.reboot_ms;
        sim->reboots++;
    }
    host->reboot_requested = reboot_requested;
    inject_failures(sim, host, i);
    if (!host->up && sim->now_ms >= host->up_at_ms) {
        host->up = true;
    }
    if (record == NULL || record->state != HOST_DRAINING) {
        host->draining_since_ms = sim->now_ms;
    }
}

static void
step_platform(struct fleet_sim *sim)
{
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        step_host(sim, &sim->hosts[i], i);
    }
    uint32_t slot =
        (uint32_t)(sim->now_ms / sim->options.step_ms) % SIM_LAG_STEPS_MAX;
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        sim->host_up_history[slot * sim->n_hosts + i] = sim->hosts[i].up;
    }
}

static void
read_store(struct fleet_sim *sim, struct sim_controller *controller)
{
    uint32_t stale = sim->options.stale_read_percent;
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        if (controller->shards[i] == NULL ||
            !random_percent(sim, sim->options.stale_shard_read_percent)) {
            record_set(&controller->shards[i], sim->shards[i]);
            controller->versions[i] = sim->shards[i]->version;
        }
    }
    for (size_t i = 0; i < sim->options.config->n_pools; i++) {
        if (controller->disruptions[i] == NULL ||
            !random_percent(sim, stale)) {
            record_set(&controller->disruptions[i], sim->disruptions[i]);
        }
    }
    controller->n_waves = sim->n_waves;
    for (uint32_t i = 0; i < sim->n_waves; i++) {
        if (controller->waves[i] == NULL || !random_percent(sim, stale)) {
            record_set(&controller->waves[i], sim->waves[i]);
        }
    }
    uint32_t lag =
        random_below(&sim->random, sim->options.host_list_lag_steps + 1);
    uint32_t slot = (uint32_t)(sim->now_ms / sim->options.step_ms +
                               SIM_LAG_STEPS_MAX - lag) %
                    SIM_LAG_STEPS_MAX;
    memcpy(controller->host_up_seen,
           &sim->host_up_history[slot * sim->n_hosts],
           sim->n_hosts * sizeof(bool));
    for (size_t i = 0; i < sim->options.config->n_dcs; i++) {
        controller->dc_in_service_seen[i] =
            sim->options.config->dcs[i].state == DC_IN_SERVICE;
    }
}

static bool
host_records_current(const struct sim_controller *controller, size_t pool)
{
    const struct disruption_record *record =
        controller->disruptions[pool]->data;
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        if (controller->versions[i] < record->min_shard_versions[i]) {
            return false;
        }
    }
    return true;
}

static struct fleet_host *
build_fleet_hosts(struct fleet_sim *sim,
                  const struct sim_controller *controller)
{
    struct fleet_host *hosts = g_new0(struct fleet_host, sim->n_hosts);
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        const struct sim_host *host = &sim->hosts[i];
        const struct host_shard *shard =
            controller->shards[host_shard_index(host->name)]->data;
        hosts[i] = (struct fleet_host){
            .name = host->name,
            .record = g_hash_table_lookup(shard->hosts, host->name),
            .listed = true,
            .live = controller->host_up_seen[i],
            .leaving = host->leaving,
            .dc = host->dc,
            .rack = host->rack,
            .initial_pool = host->initial_pool,
            .drained =
                sim->now_ms - host->draining_since_ms >= sim->options.drain_ms,
            .suspect = host->fails_all_tasks,
        };
    }
    return hosts;
}

static void
run_planner(struct fleet_sim *sim, struct sim_controller *controller)
{
    const struct config *config = sim->options.config;
    struct fleet_host *hosts = build_fleet_hosts(sim, controller);
    struct fleet_pool_info *pools =
        g_new0(struct fleet_pool_info, config->n_pools);
    const struct wave_record *waves[SIM_WAVES_MAX];
    for (size_t i = 0; i < config->n_pools; i++) {
        pools[i] = (struct fleet_pool_info){
            .name = config->pools[i].name,
            .disruptions = controller->disruptions[i]->data,
            .host_records_current = host_records_current(controller, i),
            .demand_known = sim->demand_slots[i] >= 0,
            .demand_slots = sim->demand_slots[i],
        };
    }
    for (uint32_t i = 0; i < controller->n_waves; i++) {
        waves[i] = controller->waves[i]->data;
    }
    struct fleet_snapshot snapshot = {
        .now_ms = sim->now_ms,
        .now_s = sim->now_ms / 1000,
        .host_list_fresh = true,
        .config = config,
        .hosts = hosts,
        .n_hosts = sim->n_hosts,
        .pools = pools,
        .n_pools = config->n_pools,
        .waves = waves,
        .n_waves = controller->n_waves,
    };
    fleet_plan_destroy(controller->plan);
    controller->plan = fleet_planner_pass(controller->planner, &snapshot);
    g_free(hosts);
    g_free(pools);
}

static size_t
pool_index(const struct fleet_sim *sim, const char *name)
{
    size_t i = 0;
    while (!g_str_equal(sim->options.config->pools[i].name, name)) {
        i++;
    }
    return i;
}

static bool
counts_as_available(struct fleet_sim *sim, const struct sim_host *host,
                    const char *pool)
{
    const struct host_record *record = fleet_sim_host_record(sim, host->name);
    if (record == NULL || record->state != HOST_SERVING ||
        !g_str_equal(record->pool, pool)) {
        return false;
    }
    const struct disruption_record *disruptions =
        sim->disruptions[pool_index(sim, pool)]->data;
    const struct disruption_entry *entry =
        g_hash_table_lookup(disruptions->entries, host->name);
    return entry == NULL || entry->admission <= record->admission;
}

static size_t
dc_index(const struct fleet_sim *sim, const char *dc)
{
    size_t i = 0;
    while (!g_str_equal(sim->options.config->dcs[i].name, dc)) {
        i++;
    }
    return i;
}

uint32_t
fleet_sim_available(struct fleet_sim *sim, const char *pool)
{
    uint32_t available = 0;
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        const struct sim_host *host = &sim->hosts[i];
        available += host->up && counts_as_available(sim, host, pool) &&
                     sim->options.config->dcs[dc_index(sim, host->dc)].state ==
                         DC_IN_SERVICE;
    }
    return available;
}

/* Whether a host of @pool failed after the controller had read its record as
 * serving: then the controller could not know that it is not available. */
static bool
failed_since_read(struct fleet_sim *sim,
                  const struct sim_controller *controller,
                  const struct sim_host *host, const char *pool)
{
    const struct host_record *now = fleet_sim_host_record(sim, host->name);
    const struct host_shard *read =
        controller->shards[host_shard_index(host->name)]->data;
    const struct host_record *known =
        g_hash_table_lookup(read->hosts, host->name);
    if (now == NULL || known == NULL || known->state != HOST_SERVING ||
        !g_str_equal(now->pool, pool)) {
        return false;
    }
    return now->state == HOST_FAILED || (now->state == HOST_RETURNING &&
                                         g_strcmp0(now->reason, "back") == 0);
}

/* Available hosts according to the present records, but with the failures and
 * states of data centres that the controller had read; in @dc, or in all if it
 * is NULL. */
static uint32_t
expected_available(struct fleet_sim *sim,
                   const struct sim_controller *controller, const char *pool,
                   const char *dc)
{
    uint32_t available = 0;
    for (uint32_t i = 0; i < sim->n_hosts; i++) {
        const struct sim_host *host = &sim->hosts[i];
        available += controller->host_up_seen[i] && !host->leaving &&
                     controller->dc_in_service_seen[dc_index(sim, host->dc)] &&
                     (dc == NULL || g_str_equal(host->dc, dc)) &&
                     (counts_as_available(sim, host, pool) ||
                      failed_since_read(sim, controller, host, pool));
    }
    return available;
}

/* Whether the host was available as far as the controller knew. Disrupting one
 * that was not can't break a budget. */
static bool
was_available(const struct fleet_sim *sim,
              const struct sim_controller *controller,
              const struct sim_host *host)
{
    return controller->host_up_seen[host - sim->hosts] &&
           controller->dc_in_service_seen[dc_index(sim, host->dc)];
}

static const struct sim_host *
find_host(const struct fleet_sim *sim, const char *name)
{
    return &sim->hosts[g_ascii_strtoull(name + 1, NULL, 10)];
}

static void
check_budget(struct fleet_sim *sim, const struct sim_controller *controller,
             size_t pool, const char *name)
{
    const struct config_pool *config = &sim->options.config->pools[pool];
    const struct sim_host *host = find_host(sim, name);
    if (!was_available(sim, controller, host)) {
        return;
    }
    sim->violations += expected_available(sim, controller, config->name,
                                          NULL) < config->min_available_hosts;
    sim->violations +=
        expected_available(sim, controller, config->name, host->dc) <
        config->min_available_per_dc_hosts;
}

/* Counts a violation if a host starts to drain without an entry of the same
 * admission in its pool's present disruption record. */
static void
check_drain(struct fleet_sim *sim, const struct fleet_action *action)
{
    const struct host_record *before =
        fleet_sim_host_record(sim, action->host);
    if (before == NULL || before->state == HOST_DRAINING ||
        action->record->state != HOST_DRAINING) {
        return;
    }
    const struct disruption_record *disruptions =
        sim->disruptions[pool_index(sim, before->pool)]->data;
    const struct disruption_entry *entry =
        g_hash_table_lookup(disruptions->entries, action->host);
    sim->violations +=
        entry == NULL || entry->admission != action->record->admission;
}

/* Counts moves to each pool, and a violation if the host was not draining. */
static void
count_move(struct fleet_sim *sim, const struct fleet_action *action)
{
    const struct host_record *before =
        fleet_sim_host_record(sim, action->host);
    if (before == NULL || g_str_equal(before->pool, action->record->pool)) {
        return;
    }
    sim->moves[pool_index(sim, action->record->pool)]++;
    sim->violations += before->state != HOST_DRAINING;
}

static void
write_shard(struct fleet_sim *sim, uint32_t shard, const GPtrArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        const struct fleet_action *action = g_ptr_array_index(actions, i);
        if (action->kind == FLEET_WRITE_HOST) {
            check_drain(sim, action);
            count_move(sim, action);
        }
    }
    struct sim_record *next = record_create(
        sim, record_edit_shard(sim->shards[shard]->data, actions),
        destroy_shard);
    record_unref(sim->shards[shard]);
    sim->shards[shard] = next;
}

static void
write_disruptions(struct fleet_sim *sim,
                  const struct sim_controller *controller, size_t pool,
                  const GPtrArray *actions)
{
    struct sim_record *next =
        record_create(sim,
                      record_edit_disruptions(sim->disruptions[pool]->data,
                                              actions, controller->versions),
                      destroy_disruptions);
    record_unref(sim->disruptions[pool]);
    sim->disruptions[pool] = next;
    for (guint i = 0; i < actions->len; i++) {
        const struct fleet_action *action = g_ptr_array_index(actions, i);
        if (action->kind == FLEET_ADMIT) {
            sim->admissions++;
            check_budget(sim, controller, pool, action->host);
        }
    }
}

/* The actions of @plan that change one record: host shard @slot for
 * FLEET_WRITE_HOST, the disruption record of pool @slot for FLEET_ADMIT. */
static GPtrArray *
actions_for_record(struct fleet_sim *sim, const struct fleet_plan *plan,
                   enum fleet_action_kind kind, size_t slot)
{
    GPtrArray *actions = g_ptr_array_new();
    for (guint i = 0; i < plan->actions->len; i++) {
        struct fleet_action *action = g_ptr_array_index(plan->actions, i);
        bool on_shard = kind == FLEET_WRITE_HOST &&
                        (action->kind == FLEET_WRITE_HOST ||
                         action->kind == FLEET_REMOVE_HOST) &&
                        host_shard_index(action->host) == slot;
        bool on_pool =
            kind == FLEET_ADMIT &&
            (action->kind == FLEET_ADMIT || action->kind == FLEET_RELEASE) &&
            pool_index(sim, action->pool) == slot;
        if (on_shard || on_pool) {
            g_ptr_array_add(actions, action);
        }
    }
    return actions;
}

/* Whether a compare-and-swap succeeds: the record still has the version that
 * the controller read. False without actions. */
static bool
cas_succeeds(struct fleet_sim *sim, const struct sim_record *read,
             const struct sim_record *present, const GPtrArray *actions)
{
    if (actions->len == 0) {
        return false;
    }
    sim->writes++;
    if (read->version != present->version) {
        sim->conflicts++;
        return false;
    }
    return true;
}

static void
write_plan(struct fleet_sim *sim, struct sim_controller *controller)
{
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        GPtrArray *actions =
            actions_for_record(sim, controller->plan, FLEET_WRITE_HOST, i);
        if (cas_succeeds(sim, controller->shards[i], sim->shards[i],
                         actions)) {
            write_shard(sim, i, actions);
        }
        g_ptr_array_unref(actions);
    }
    for (size_t i = 0; i < sim->options.config->n_pools; i++) {
        GPtrArray *actions =
            actions_for_record(sim, controller->plan, FLEET_ADMIT, i);
        if (cas_succeeds(sim, controller->disruptions[i], sim->disruptions[i],
                         actions)) {
            write_disruptions(sim, controller, i, actions);
        }
        g_ptr_array_unref(actions);
    }
    for (guint i = 0; i < controller->plan->actions->len; i++) {
        const struct fleet_action *action =
            g_ptr_array_index(controller->plan->actions, i);
        if (action->kind != FLEET_WRITE_WAVE) {
            continue;
        }
        uint64_t slot = action->wave->number - 1;
        if (controller->waves[slot]->version == sim->waves[slot]->version) {
            struct sim_record *next = record_create(
                sim, wave_record_copy(action->wave), destroy_wave);
            record_unref(sim->waves[slot]);
            sim->waves[slot] = next;
        }
    }
}

/* One pass of a controller: read, plan, write. With delayed_write_percent it
 * instead writes its previous plan, on the versions read then; after a pause
 * that plan can be old. */
static void
step_controller(struct fleet_sim *sim, struct sim_controller *controller)
{
    if (sim->now_ms < controller->paused_until_ms) {
        return;
    }
    if (controller->plan != NULL &&
        random_percent(sim, sim->options.delayed_write_percent) &&
        !sim->store_down) {
        write_plan(sim, controller);
        return;
    }
    if (sim->store_down) {
        return;
    }
    read_store(sim, controller);
    run_planner(sim, controller);
    if (random_percent(sim, sim->options.pause_percent)) {
        controller->paused_until_ms =
            sim->now_ms +
            sim->options.step_ms * (1 + random_below(&sim->random, 60));
        return;
    }
    if (!random_percent(sim, sim->options.lost_write_percent)) {
        write_plan(sim, controller);
    }
}

void
fleet_sim_step(struct fleet_sim *sim)
{
    sim->now_ms += sim->options.step_ms;
    step_platform(sim);
    uint32_t n = sim->options.n_controllers;
    uint32_t first = random_below(&sim->random, n);
    for (uint32_t i = 0; i < n; i++) {
        step_controller(sim, &sim->controllers[(first + i) % n]);
    }
}

void
fleet_sim_plan(struct fleet_sim *sim)
{
    run_planner(sim, &sim->controllers[0]);
}
