/*
 * Decides which host serves which pool, for demand whose peak moves from pool
 * to pool within seconds. When a pool's demand exceeds its capacity, hosts
 * come from the spare pool or from pools between their peaks; idle hosts go
 * back to the spare pool.
 */
#include "core/jobs/scheduler.h"

#include <string.h>

#include "common/text.h"
#include "scheduler_state.h"

enum {
    PLAN_PERIOD_MS = 100,
    /* The previous leader may have sent host commands until its lease
     * ended. */
    TAKEOVER_MARGIN_MS = 300,
    /* A command that was in flight at the takeover shows in the host list by
     * then. */
    TAKEOVER_VISIBLE_MS = 800,
    /* A host that can't be emptied for a move in this time stays where it
     * is. */
    INTENT_TIMEOUT_MS = 6000,
    /* A move pays off only if the pool does without the host for at least this
     * long, so a shorter surplus is waited out. */
    SURPLUS_MIN_MS = 1500,
};

/* Idle hosts that a pool keeps for sudden demand. */
static const int64_t RESERVE_HOST_COUNT = 1;

static bool
is_spare(const struct scheduler *sched, struct pool_load *load)
{
    const struct pool_config *config = sched_pool_config(sched, load);
    return config != NULL && config->spare;
}

static void
send_host_command(struct scheduler *sched, struct host *host)
{
    host->command_in_flight = true;
    host->intent_ms = sched_now(sched);
    sched->command_budget.available--;
    g_free(host->commanded_incarnation);
    host->commanded_incarnation = g_strdup(host->backend_id);
    if (host->intent == HOST_REBOOTS) {
        sched->ops.reboot_host(sched->ops.ctx, host->name, host->wave);
    }
    else {
        sched->ops.move_host(sched->ops.ctx, host->name, host->target_pool);
    }
}

/* Stops service tasks, as far as their availability limits allow. */
static void
empty_host(struct scheduler *sched, const struct host *host)
{
    const struct backend *backend = sched_host_backend(sched, host);
    for (guint i = 0; backend != NULL && i < backend->runs->len; i++) {
        struct run *run = g_ptr_array_index(backend->runs, i);
        if (run_step(run)->long_running && run->state == RUN_WORKING &&
            sched_run_may_stop(run)) {
            sched_run_stop(sched, run);
        }
    }
}

/* Whether the previous leader may have sent a command within the command
 * gap. */
static bool
in_takeover_gap(const struct scheduler *sched)
{
    return sched_now(sched) < sched->takeover_ms +
                                  sched->timings.command_gap_ms +
                                  TAKEOVER_MARGIN_MS;
}

/* Whether a previous leader's last command for this host is long enough ago.
 * An incarnation that started before may still be ended by that command. */
static bool
command_allowed(const struct scheduler *sched, const struct host *host)
{
    return !host->commanded_before || !in_takeover_gap(sched);
}

static void
advance_host(struct scheduler *sched, struct host *host)
{
    int64_t now_ms = sched_now(sched);
    if (host->intent == HOST_STAYS || host->command_in_flight ||
        host->command_accepted || now_ms < host->retry_ms ||
        !command_allowed(sched, host)) {
        return;
    }
    if (sched_host_empty(sched, host)) {
        if (sched->command_budget.available >= 1) {
            send_host_command(sched, host);
        }
        return;
    }
    if (now_ms - host->intent_ms > INTENT_TIMEOUT_MS &&
        host->intent == HOST_MOVES) {
        sched_host_set_intent(sched, host, HOST_STAYS, NULL);
        return;
    }
    empty_host(sched, host);
}

static void
count_incoming_hosts(struct scheduler *sched)
{
    GHashTableIter iter;
    void *value;
    sched->spare_hosts = 0;
    g_hash_table_iter_init(&iter, sched->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct host *host = value;
        if (host->load != NULL && host->present && host->up &&
            host->intent == HOST_STAYS && is_spare(sched, host->load)) {
            sched->spare_hosts++;
        }
        if (host->intent == HOST_MOVES && host->target_pool != NULL) {
            sched_pool_load(sched, host->target_pool)->incoming_hosts++;
        }
        else if (host->intent == HOST_REBOOTS && host->command_accepted) {
            sched_pool_load(sched, host->pool)->incoming_hosts++;
        }
        else if (host->present && !host->up && host->commanded_before &&
                 in_takeover_gap(sched)) {
            /* Incoming by a command of the previous leader. */
            sched_pool_load(sched, host->pool)->incoming_hosts++;
        }
    }
}

/* Hosts beyond what the pool needs, including its reserve. */
static int64_t
surplus_hosts(const struct pool_load *load)
{
    return load->hosts + load->incoming_hosts -
           MAX(load->wanted_hosts, load->hosts_ahead) - RESERVE_HOST_COUNT;
}

static bool
host_is_movable(const struct scheduler *sched, const struct host *host)
{
    if (!host->present || !host->up || host->intent != HOST_STAYS ||
        host->command_accepted || host->command_in_flight || host->wave != 0) {
        return false;
    }
    const struct backend *backend = sched_host_backend(sched, host);
    return (backend == NULL ||
            (!backend->entry.draining && !sched_reserved_ahead(backend))) &&
           sched_host_empty(sched, host) && command_allowed(sched, host);
}

/* Best host to move to @target: a spare one, otherwise, unless @spare_only, an
 * idle one of a pool with a surplus. */
static struct host *
find_source(struct scheduler *sched, const struct pool_load *target,
            bool spare_only)
{
    struct host *best = NULL;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct host *host = value;
        if (host->load == NULL || host->load == target) {
            continue;
        }
        bool spare = is_spare(sched, host->load);
        if ((!spare &&
             (spare_only || best != NULL || surplus_hosts(host->load) <= 0)) ||
            !host_is_movable(sched, host) ||
            (host->data_centre != NULL &&
             sched_is_out_of_service(sched, host->data_centre))) {
            continue;
        }
        if (spare) {
            return host;
        }
        best = host;
    }
    return best;
}

static void
plan_move(struct scheduler *sched, struct host *host, const char *pool)
{
    sched_log_event(
        sched, "host_move_planned", "\"host\":%s,\"from\":%s,\"to\":%s",
        text_quote(host->name), text_quote(host->pool), text_quote(pool));
    sched_pool_load(sched, host->pool)->hosts--;
    sched_pool_load(sched, pool)->incoming_hosts++;
    sched_host_set_intent(sched, host, HOST_MOVES, pool);
    advance_host(sched, host);
}

/* Whether the pool has as many hosts as it needs now. */
static bool
grow_pool(struct scheduler *sched, struct pool_load *load)
{
    while (load->wanted_hosts > load->hosts + load->incoming_hosts) {
        struct host *host = sched->command_budget.available >= 1
                                ? find_source(sched, load, false)
                                : NULL;
        if (host == NULL) {
            return false;
        }
        plan_move(sched, host, load->pool);
    }
    return true;
}

static void
grow_pool_ahead(struct scheduler *sched, struct pool_load *load)
{
    while (load->hosts_ahead > load->hosts + load->incoming_hosts &&
           command_budget_allows_deferrable(
               &sched->command_budget, sched->timings.host_commands_per_s)) {
        struct host *host = find_source(sched, load, true);
        if (host == NULL) {
            return;
        }
        plan_move(sched, host, load->pool);
    }
}

static void
shrink_pool(struct scheduler *sched, struct pool_load *load, int64_t now_ms)
{
    const struct pool_config *spare = fleet_config_spare(sched->config);
    /* A new leader does not know the arrival rate yet. */
    bool recent_takeover = now_ms < sched->takeover_ms + TAKEOVER_VISIBLE_MS;
    if (spare == NULL || recent_takeover || surplus_hosts(load) <= 0) {
        load->surplus_since_ms = 0;
        return;
    }
    if (load->surplus_since_ms == 0) {
        load->surplus_since_ms = now_ms;
    }
    if (now_ms - load->surplus_since_ms < SURPLUS_MIN_MS &&
        !sched_rests_until_peak(sched, load, SURPLUS_MIN_MS, now_ms)) {
        return;
    }
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct host *host = value;
        if (surplus_hosts(load) <= 0 ||
            !command_budget_allows_deferrable(
                &sched->command_budget, sched->timings.host_commands_per_s)) {
            return;
        }
        if (host->load == load && host_is_movable(sched, host)) {
            plan_move(sched, host, spare->name);
        }
    }
}

/* Commands that have been due longest come first: maintenance, and unanswered
 * ones. */
static void
advance_hosts(struct scheduler *sched)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        advance_host(sched, value);
    }
}

static void
plan_pools(struct scheduler *sched)
{
    int64_t now_ms = sched_now(sched);
    count_incoming_hosts(sched);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pool_load *load = value;
        load->wanted_hosts = pool_load_wanted_hosts(load, now_ms);
    }
    sched_forecast_hosts(sched, now_ms);
    bool satisfied = true;
    for (guint i = 0; i < sched->config->pools->len; i++) {
        const struct pool_config *pool =
            g_ptr_array_index(sched->config->pools, i);
        if (!pool->spare) {
            satisfied &= grow_pool(sched, sched_pool_load(sched, pool->name));
        }
    }
    for (guint i = 0; satisfied && i < sched->config->pools->len; i++) {
        const struct pool_config *pool =
            g_ptr_array_index(sched->config->pools, i);
        if (!pool->spare) {
            grow_pool_ahead(sched, sched_pool_load(sched, pool->name));
        }
    }
    for (guint i = 0; i < sched->config->pools->len; i++) {
        const struct pool_config *pool =
            g_ptr_array_index(sched->config->pools, i);
        if (!pool->spare) {
            shrink_pool(sched, sched_pool_load(sched, pool->name), now_ms);
        }
    }
}

void
sched_plan_hosts(struct scheduler *sched)
{
    int64_t now_ms = sched_now(sched);
    if (now_ms < sched->plan_due_ms) {
        return;
    }
    sched->plan_due_ms = now_ms + PLAN_PERIOD_MS;
    command_budget_refill(&sched->command_budget,
                          sched->timings.host_commands_per_s, now_ms);
    sched_measure_pools(sched);
    if (now_ms >= sched->takeover_ms + TAKEOVER_VISIBLE_MS) {
        sched_plan_waves(sched);
    }
    advance_hosts(sched);
    if (sched->overload.level < SHED_HOST_MOVES) {
        plan_pools(sched);
    }
}
