/*
 * State changes of single hosts: on admissions, drained hosts, reboots, losses
 * and returns. Creates records of new hosts, removes those of lost ones, and
 * releases disruption entries that are no longer needed.
 */
#include "core/fleet_pass.h"

/* How long this controller has seen the host in its present state. */
static int64_t
time_in_state_ms(const struct fleet_pass *pass, const struct pass_host *host)
{
    return pass->snapshot->now_ms - host->history->state_since_ms;
}

static int64_t
time_in_health_ms(const struct fleet_pass *pass, const struct pass_host *host)
{
    return pass->snapshot->now_ms - host->history->health_since_ms;
}

static const struct wave_record *
find_wave(const struct fleet_pass *pass, uint64_t number)
{
    for (size_t i = 0; i < pass->snapshot->n_waves; i++) {
        if (pass->snapshot->waves[i]->number == number) {
            return pass->snapshot->waves[i];
        }
    }
    return NULL;
}

/* Whether the reason that the host was admitted for still applies: its wave
 * is running, or its target pool is configured. */
static bool
is_still_required(const struct fleet_pass *pass, const struct pass_host *host)
{
    const struct disruption_entry *entry = host->entry;
    if (entry == NULL) {
        return false;
    }
    if (entry->target != NULL) {
        uint32_t target = fleet_index_pool(pass, entry->target);
        return target != FLEET_INDEX_NONE &&
               pass->pools[target].config != NULL;
    }
    if (entry->wave == 0) {
        return true;
    }
    const struct wave_record *wave = find_wave(pass, entry->wave);
    return wave != NULL && wave->state == WAVE_RUNNING;
}

static bool
mark_lost(struct fleet_pass *pass, struct pass_host *host)
{
    if (host->healthy ||
        time_in_health_ms(pass, host) < pass->timings->fail_after_ms) {
        return false;
    }
    struct host_record *record =
        pass_add_host_write(pass, host, HOST_FAILED, "lost");
    g_clear_pointer(&record->target, g_free);
    return true;
}

/* Consumes the pending entry without a disruption, when the host can't start
 * to drain on it. */
static void
void_entry(struct fleet_pass *pass, struct pass_host *host)
{
    struct host_record *record =
        pass_add_host_write(pass, host, host->record->state, "cancelled");
    record->admission = host->entry->admission;
}

static void
start_drain(struct fleet_pass *pass, struct pass_host *host)
{
    struct host_record *record =
        pass_add_host_write(pass, host, HOST_DRAINING, host->entry->reason);
    record->admission = host->entry->admission;
    g_free(record->target);
    record->target = g_strdup(host->entry->target);
}

static void
plan_serving(struct fleet_pass *pass, struct pass_host *host)
{
    if (host->pending) {
        if (host->healthy && is_still_required(pass, host)) {
            start_drain(pass, host);
        }
        else {
            void_entry(pass, host);
        }
        return;
    }
    if (mark_lost(pass, host) || !host->info->suspect || host->entry != NULL) {
        return;
    }
    struct pass_pool *pool = &pass->pools[host->pool];
    if (host->available && budget_allows(pass, pool, host)) {
        struct disruption_entry entry = {.reason = "suspect"};
        pass_add_admission(pass, host, &entry,
                           "gateways report that every task fails");
    }
}

/* Gateways may start tasks on the host until drain_margin_ms after it was
 * recorded as draining; a task runs at most longest_run_ms. */
static bool
is_drained(const struct fleet_pass *pass, const struct pass_host *host)
{
    int64_t margin_ms = pass->timings->drain_margin_ms;
    int64_t drain_max_ms = pass->pools[host->pool].longest_run_ms + margin_ms;
    int64_t since_ms = time_in_state_ms(pass, host);
    return since_ms >= drain_max_ms ||
           (host->info->drained && since_ms >= margin_ms);
}

static void
finish_move(struct fleet_pass *pass, struct pass_host *host)
{
    struct host_record *record =
        pass_add_host_write(pass, host, HOST_SERVING, "moved");
    g_free(record->pool);
    record->pool = record->target;
    record->target = NULL;
    record->moved_s = pass->snapshot->now_s;
}

static void
start_reboot(struct fleet_pass *pass, struct pass_host *host)
{
    struct host_record *record =
        pass_add_host_write(pass, host, HOST_REBOOTING, host->record->reason);
    record->seen_down = false;
    record->wave = MAX(record->wave, host->entry->wave);
}

static void
plan_draining(struct fleet_pass *pass, struct pass_host *host)
{
    if (mark_lost(pass, host)) {
        return;
    }
    if (!is_still_required(pass, host)) {
        struct host_record *record =
            pass_add_host_write(pass, host, HOST_SERVING, "cancelled");
        g_clear_pointer(&record->target, g_free);
        return;
    }
    if (!is_drained(pass, host)) {
        return;
    }
    if (host->record->target != NULL) {
        finish_move(pass, host);
    }
    else {
        start_reboot(pass, host);
    }
}

static void
plan_rebooting(struct fleet_pass *pass, struct pass_host *host)
{
    bool up = host->info->listed && host->info->live;
    if (!host->record->seen_down && !up) {
        pass_add_host_write(pass, host, HOST_REBOOTING, host->record->reason)
            ->seen_down = true;
        return;
    }
    if (host->record->seen_down && host->healthy) {
        struct host_record *record =
            pass_add_host_write(pass, host, HOST_RETURNING, "rebooted");
        record->maintained_s = pass->snapshot->now_s;
        record->seen_down = false;
        return;
    }
    if (time_in_state_ms(pass, host) < pass->timings->reboot_timeout_ms) {
        return;
    }
    if (up) {
        pass_add_host_write(pass, host, HOST_RETURNING, "reboot-unseen");
    }
    else {
        pass_add_host_write(pass, host, HOST_FAILED, "no-return");
    }
}

static void
plan_returning(struct fleet_pass *pass, struct pass_host *host)
{
    if (mark_lost(pass, host)) {
        return;
    }
    if (host->info->suspect) {
        pass_add_host_write(pass, host, HOST_FAILED, "suspect");
        return;
    }
    int64_t stable_ms =
        MIN(time_in_state_ms(pass, host), time_in_health_ms(pass, host));
    if (host->healthy && stable_ms >= pass->timings->recovery_ms) {
        pass_add_host_write(pass, host, HOST_SERVING, host->record->reason);
    }
}

static void
remove_record(struct fleet_pass *pass, struct pass_host *host)
{
    if (host->info->listed || host->entry != NULL ||
        time_in_state_ms(pass, host) < pass->timings->record_retention_ms) {
        return;
    }
    struct fleet_action *action = g_new0(struct fleet_action, 1);
    action->kind = FLEET_REMOVE_HOST;
    action->pool = g_strdup(host->record->pool);
    action->host = g_strdup(host->info->name);
    action->why = g_strdup("missing from the host list");
    g_ptr_array_add(pass->plan->actions, action);
    host->has_action = true;
}

static void
plan_failed(struct fleet_pass *pass, struct pass_host *host)
{
    if (g_strcmp0(host->record->reason, "suspect") == 0 && host->healthy) {
        if (time_in_state_ms(pass, host) >= pass->timings->suspect_hold_ms) {
            pass_add_host_write(pass, host, HOST_REBOOTING, "suspect")
                ->seen_down = false;
        }
        return;
    }
    if (host->healthy) {
        pass_add_host_write(pass, host, HOST_RETURNING, "back");
        return;
    }
    remove_record(pass, host);
}

static void
plan_recorded_host(struct fleet_pass *pass, struct pass_host *host)
{
    if (host->pending && host->record->state != HOST_SERVING) {
        void_entry(pass, host);
        return;
    }
    switch (host->record->state) {
    case HOST_SERVING:
        plan_serving(pass, host);
        break;
    case HOST_DRAINING:
        plan_draining(pass, host);
        break;
    case HOST_REBOOTING:
        plan_rebooting(pass, host);
        break;
    case HOST_RETURNING:
        plan_returning(pass, host);
        break;
    case HOST_FAILED:
        plan_failed(pass, host);
        break;
    }
}

static const char *
spare_pool(const struct config *config)
{
    for (size_t i = 0; i < config->n_pools; i++) {
        if (config->pools[i].spare) {
            return config->pools[i].name;
        }
    }
    return NULL;
}

static void
create_record(struct fleet_pass *pass, struct pass_host *host)
{
    const char *pool = host->info->initial_pool;
    uint32_t index = fleet_index_pool(pass, pool);
    const char *reason = "adopted";
    if (index == FLEET_INDEX_NONE || pass->pools[index].config == NULL) {
        pool = spare_pool(pass->snapshot->config);
        reason = "adopted-unknown-pool";
    }
    if (pool == NULL || !host->healthy) {
        return;
    }
    struct fleet_action *action = g_new0(struct fleet_action, 1);
    action->kind = FLEET_WRITE_HOST;
    action->pool = g_strdup(pool);
    action->host = g_strdup(host->info->name);
    action->why = g_strdup(reason);
    action->record = g_new0(struct host_record, 1);
    *action->record = (struct host_record){
        .pool = g_strdup(pool),
        .dc = g_strdup(host->info->dc),
        .rack = g_strdup(host->info->rack),
        .reason = g_strdup(reason),
        .state = HOST_SERVING,
        .since_s = pass->snapshot->now_s,
        .maintained_s = pass->snapshot->now_s,
    };
    g_ptr_array_add(pass->plan->actions, action);
}

void
host_transitions_plan(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->snapshot->n_hosts; i++) {
        struct pass_host *host = &pass->hosts[i];
        if (host->info->damaged || host->has_action) {
            continue;
        }
        if (host->record == NULL) {
            create_record(pass, host);
        }
        else if (host->pool != FLEET_INDEX_NONE) {
            plan_recorded_host(pass, host);
        }
    }
}

static void
release_entry(struct fleet_pass *pass, const struct pass_pool *pool,
              const char *host, const struct disruption_entry *entry)
{
    struct fleet_action *action = g_new0(struct fleet_action, 1);
    action->kind = FLEET_RELEASE;
    action->pool = g_strdup(pool->info->name);
    action->host = g_strdup(host);
    action->entry.admission = entry->admission;
    action->why = g_strdup("served");
    g_ptr_array_add(pass->plan->actions, action);
}

static int
compare_host_name(const void *key, const void *element)
{
    const struct pass_host *host = element;
    return g_strcmp0(key, host->info->name);
}

/* Whether an entry is no longer needed. The records read here may be out of
 * date: a record must show that the entry was used, whatever pool it names,
 * and a missing record counts only once the entry is older than
 * record_retention_ms. */
static bool
is_entry_obsolete(const struct fleet_pass *pass, const struct pass_host *host,
                  const struct pass_pool *pool,
                  const struct disruption_entry *entry)
{
    if (host == NULL || host->record == NULL) {
        int64_t age_s = pass->snapshot->now_s - entry->admitted_s;
        return age_s * 1000 > pass->timings->record_retention_ms &&
               (host == NULL || !host->info->damaged);
    }
    if (entry->admission > host->record->admission) {
        return false;
    }
    return g_strcmp0(host->record->pool, pool->info->name) != 0 ||
           host->record->state == HOST_SERVING ||
           host->record->state == HOST_FAILED;
}

void
host_transitions_release(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        const struct pass_pool *pool = &pass->pools[i];
        if (pool->info->disruptions == NULL) {
            continue;
        }
        GHashTableIter iter;
        void *name = NULL;
        void *entry = NULL;
        g_hash_table_iter_init(&iter, pool->info->disruptions->entries);
        while (g_hash_table_iter_next(&iter, &name, &entry)) {
            const struct pass_host *host =
                bsearch(name, pass->hosts, pass->snapshot->n_hosts,
                        sizeof(pass->hosts[0]), compare_host_name);
            if (is_entry_obsolete(pass, host, pool, entry)) {
                release_entry(pass, pool, name, entry);
            }
        }
    }
}
