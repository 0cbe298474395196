#include "core/fleet_planner.h"

#include "core/fleet_pass.h"

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
remember_host(struct fleet_planner *planner, struct pass_host *host,
              int64_t now_ms)
{
    struct host_history *memory =
        g_hash_table_lookup(planner->hosts, host->info->name);
    enum host_state state =
        host->record != NULL ? host->record->state : HOST_SERVING;
    if (memory == NULL) {
        memory = g_new0(struct host_history, 1);
        *memory = (struct host_history){
            .state = state,
            .healthy = host->healthy,
            .state_since_ms = now_ms,
            .health_since_ms = now_ms,
        };
        g_hash_table_insert(planner->hosts, g_strdup(host->info->name),
                            memory);
    }
    if (memory->state != state) {
        memory->state = state;
        memory->state_since_ms = now_ms;
    }
    if (memory->healthy != host->healthy) {
        memory->healthy = host->healthy;
        memory->health_since_ms = now_ms;
    }
    memory->pass = planner->pass;
    host->history = memory;
}

static void
remember_pool(struct fleet_planner *planner, struct pass_pool *pool)
{
    struct pool_history *memory =
        g_hash_table_lookup(planner->pools, pool->info->name);
    if (memory == NULL) {
        memory = g_new0(struct pool_history, 1);
        memory->surplus_since_ms = INT64_MIN;
        memory->load_wait_since_ms = INT64_MIN;
        g_hash_table_insert(planner->pools, g_strdup(pool->info->name),
                            memory);
    }
    pool->history = memory;
}

static gboolean
is_forgotten(gpointer name, gpointer value, gpointer data)
{
    (void)name;
    const struct host_history *memory = value;
    const struct fleet_planner *planner = data;
    return memory->pass != planner->pass;
}

static void
remember(struct fleet_planner *planner, struct fleet_pass *pass)
{
    planner->pass++;
    for (size_t i = 0; i < pass->snapshot->n_hosts; i++) {
        remember_host(planner, &pass->hosts[i], pass->snapshot->now_ms);
    }
    if (g_hash_table_size(planner->hosts) > pass->snapshot->n_hosts) {
        g_hash_table_foreach_remove(planner->hosts, is_forgotten, planner);
    }
    for (size_t i = 0; i < pass->n_pools; i++) {
        remember_pool(planner, &pass->pools[i]);
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
start_reports(struct fleet_pass *pass)
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
end_reports(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        struct pass_pool *pool = &pass->pools[i];
        pool->report->needed = pool->needed;
        pool->report->shrink_threshold = pool->shrink_threshold;
        pool->report->demand_slots = pool->history->smoothed_slots;
    }
}

/* An empty list is a fault of the platform rather than the loss of all. */
static bool
list_is_sound(const struct fleet_snapshot *facts)
{
    if (!facts->host_list_fresh) {
        return false;
    }
    for (size_t i = 0; i < facts->n_hosts; i++) {
        if (facts->hosts[i].listed) {
            return true;
        }
    }
    return false;
}

static void
plan_steps(struct fleet_pass *pass)
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
                   const struct fleet_snapshot *facts)
{
    struct fleet_plan *plan = g_new0(struct fleet_plan, 1);
    plan->actions = g_ptr_array_new_with_free_func(action_destroy);
    plan->reports = g_array_new(FALSE, TRUE, sizeof(struct fleet_pool_report));
    struct fleet_pass pass = {
        .timings = &planner->timings,
        .snapshot = facts,
        .plan = plan,
    };
    fleet_index_build(&pass);
    remember(planner, &pass);
    start_reports(&pass);
    pool_needs_update(&pass);
    if (list_is_sound(facts)) {
        plan_steps(&pass);
    }
    host_transitions_release(&pass);
    end_reports(&pass);
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
