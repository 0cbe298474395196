/* One planning pass from snapshot to plan, and the history between passes. */
#include "core/fleet_planner.h"

#include "core/fleet_pass.h"

/**
 * struct fleet_planner - history between passes
 * @hosts: host name to struct host_history
 * @pools: pool name to struct pool_history
 * @pass: number of the present pass
 */
struct fleet_planner {
    struct fleet_timings timings;
    GHashTable *hosts;
    GHashTable *pools;
    uint64_t pass;
};

static const char *const kind_names[] = {
    [FLEET_WRITE_HOST] = "write-host", [FLEET_REMOVE_HOST] = "remove-host",
    [FLEET_ADMIT] = "admit",           [FLEET_RELEASE] = "release",
    [FLEET_WRITE_WAVE] = "write-wave",
};

const char *
fleet_action_kind_name(enum fleet_action_kind kind)
{
    return kind_names[kind];
}

struct fleet_planner *
fleet_planner_create(const struct fleet_timings *timings)
{
    struct fleet_planner *planner = g_new0(struct fleet_planner, 1);
    planner->timings = *timings;
    planner->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    planner->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return planner;
}

void
fleet_planner_destroy(struct fleet_planner *planner)
{
    if (planner == NULL) {
        return;
    }
    g_hash_table_destroy(planner->hosts);
    g_hash_table_destroy(planner->pools);
    g_free(planner);
}

static void
update_host_history(struct fleet_planner *planner, struct pass_host *host,
                    int64_t now_ms)
{
    struct host_history *history =
        g_hash_table_lookup(planner->hosts, host->info->name);
    enum host_state state =
        host->record != NULL ? host->record->state : HOST_SERVING;
    if (history == NULL) {
        history = g_new0(struct host_history, 1);
        *history = (struct host_history){
            .state = state,
            .healthy = host->healthy,
            .state_since_ms = now_ms,
            .health_since_ms = now_ms,
        };
        g_hash_table_insert(planner->hosts, g_strdup(host->info->name),
                            history);
    }
    if (history->state != state) {
        history->state = state;
        history->state_since_ms = now_ms;
    }
    if (history->healthy != host->healthy) {
        history->healthy = host->healthy;
        history->health_since_ms = now_ms;
    }
    history->pass = planner->pass;
    host->history = history;
}

static void
update_pool_history(struct fleet_planner *planner, struct pass_pool *pool)
{
    struct pool_history *history =
        g_hash_table_lookup(planner->pools, pool->info->name);
    if (history == NULL) {
        history = g_new0(struct pool_history, 1);
        history->surplus_since_ms = INT64_MIN;
        history->load_wait_since_ms = INT64_MIN;
        g_hash_table_insert(planner->pools, g_strdup(pool->info->name),
                            history);
    }
    pool->history = history;
}

static gboolean
is_stale(gpointer name, gpointer value, gpointer data)
{
    (void)name;
    const struct host_history *history = value;
    const struct fleet_planner *planner = data;
    return history->pass != planner->pass;
}

static void
update_history(struct fleet_planner *planner, struct fleet_pass *pass)
{
    planner->pass++;
    for (size_t i = 0; i < pass->snapshot->n_hosts; i++) {
        update_host_history(planner, &pass->hosts[i], pass->snapshot->now_ms);
    }
    if (g_hash_table_size(planner->hosts) > pass->snapshot->n_hosts) {
        g_hash_table_foreach_remove(planner->hosts, is_stale, planner);
    }
    for (size_t i = 0; i < pass->n_pools; i++) {
        update_pool_history(planner, &pass->pools[i]);
    }
}

struct host_record *
pass_add_host_write(struct fleet_pass *pass, struct pass_host *host,
                    enum host_state state, const char *reason)
{
    struct fleet_action *action = g_new0(struct fleet_action, 1);
    action->kind = FLEET_WRITE_HOST;
    action->pool = g_strdup(host->record->pool);
    action->host = g_strdup(host->info->name);
    action->record = host_record_copy(host->record);
    action->record->state = state;
    if (state != host->record->state) {
        action->record->since_s = pass->snapshot->now_s;
    }
    g_free(action->record->reason);
    action->record->reason = g_strdup(reason);
    action->why = g_strdup(reason);
    g_ptr_array_add(pass->plan->actions, action);
    host->has_action = true;
    struct fleet_pool_report *report = pass->pools[host->pool].report;
    g_snprintf(report->next_step, FLEET_TEXT_BYTES, "%s becomes %s (%s)",
               host->info->name, host_state_name(state),
               reason != NULL ? reason : "");
    return action->record;
}

static void
init_reports(struct fleet_pass *pass)
{
    g_array_set_size(pass->plan->reports, (guint)pass->n_pools);
    for (size_t i = 0; i < pass->n_pools; i++) {
        struct pass_pool *pool = &pass->pools[i];
        pool->report =
            &g_array_index(pass->plan->reports, struct fleet_pool_report, i);
        *pool->report = (struct fleet_pool_report){
            .hosts = pool->members->len,
            .usable = pool->usable,
            .incoming = pool->incoming,
            .available = pool->available,
            .disrupted = pool->disrupted,
            .failed = pool->failed,
        };
        g_strlcpy(pool->report->pool, pool->info->name,
                  sizeof(pool->report->pool));
        if (pool->config != NULL) {
            pool->report->budget = pool->config->min_available_hosts;
            pool->report->reserve =
                budget_min_available(pool) - pool->report->budget;
        }
    }
}

static void
complete_reports(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        struct pass_pool *pool = &pass->pools[i];
        pool->report->needed = pool->needed;
        pool->report->shrink_threshold = pool->shrink_threshold;
        pool->report->demand_slots = pool->history->smoothed_slots;
    }
}

/* An empty host list means a fault of the platform, not the loss of every
 * host. */
static bool
host_list_is_valid(const struct fleet_snapshot *snapshot)
{
    if (!snapshot->host_list_fresh) {
        return false;
    }
    for (size_t i = 0; i < snapshot->n_hosts; i++) {
        if (snapshot->hosts[i].listed) {
            return true;
        }
    }
    return false;
}

static void
plan_actions(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        budget_cancel_disruptions(pass, &pass->pools[i]);
    }
    host_transitions_plan(pass);
    pool_moves_plan(pass);
    maintenance_plan(pass);
}

static void
action_destroy(void *data)
{
    struct fleet_action *action = data;
    g_free(action->pool);
    g_free(action->host);
    g_free(action->why);
    g_free(action->entry.reason);
    g_free(action->entry.target);
    host_record_destroy(action->record);
    wave_record_destroy(action->wave);
    g_free(action);
}

struct fleet_plan *
fleet_planner_pass(struct fleet_planner *planner,
                   const struct fleet_snapshot *snapshot)
{
    struct fleet_plan *plan = g_new0(struct fleet_plan, 1);
    plan->actions = g_ptr_array_new_with_free_func(action_destroy);
    plan->reports = g_array_new(FALSE, TRUE, sizeof(struct fleet_pool_report));
    struct fleet_pass pass = {
        .timings = &planner->timings,
        .snapshot = snapshot,
        .plan = plan,
    };
    fleet_index_build(&pass);
    update_history(planner, &pass);
    init_reports(&pass);
    pool_needs_update(&pass);
    if (host_list_is_valid(snapshot)) {
        plan_actions(&pass);
    }
    host_transitions_release(&pass);
    complete_reports(&pass);
    fleet_index_clear(&pass);
    return plan;
}

void
fleet_plan_destroy(struct fleet_plan *plan)
{
    if (plan == NULL) {
        return;
    }
    g_ptr_array_unref(plan->actions);
    g_array_unref(plan->reports);
    g_free(plan);
}
