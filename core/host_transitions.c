#include "core/fleet_pass.h"

/* How long the host has been in its state, as this controller saw it. */
static int64_t
state_ms(const struct fleet_pass *pass, const struct pass_host *host)
{
    return pass->snapshot->now_ms - host->history->state_since_ms;
}

static int64_t
health_ms(const struct fleet_pass *pass, const struct pass_host *host)
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

/* Whether what the host was admitted for is still wanted. */
static bool
still_wanted(const struct fleet_pass *pass, const struct pass_host *host)
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
lost(struct fleet_pass *pass, struct pass_host *host)
{
    if (host->healthy || health_ms(pass, host) < pass->timings->lost_ms) {
        return false;
    }
    struct host_record *record =
        pass_add_host_write(pass, host, HOST_FAILED, "lost");
    g_clear_pointer(&record->target, g_free);
    return true;
}

/* An entry that the host can't take up is used up without a disruption. */
static void
use_up_entry(struct fleet_pass *pass, struct pass_host *host)
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
step_serving(struct fleet_pass *pass, struct pass_host *host)
{
    if (host->pending) {
        if (host->healthy && still_wanted(pass, host)) {
            start_drain(pass, host);
        }
        else {
            use_up_entry(pass, host);
        }
        return;
    }
    if (lost(pass, host) || !host->info->suspect || host->entry != NULL) {
        return;
    }
    struct pass_pool *pool = &pass->pools[host->pool];
    if (host->available && budget_allows(pass, pool, host)) {
        struct disruption_entry entry = {.reason = "suspect"};
        pass_add_admission(pass, host, &entry, "fails every task");
    }
}

static bool
is_drained(const struct fleet_pass *pass, const struct pass_host *host)
{
    int64_t margin_ms = pass->timings->drain_margin_ms;
    int64_t longest_ms = pass->pools[host->pool].longest_run_ms + margin_ms;
    int64_t since_ms = state_ms(pass, host);
    return since_ms >= longest_ms ||
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
step_draining(struct fleet_pass *pass, struct pass_host *host)
{
    if (lost(pass, host)) {
        return;
    }
    if (!still_wanted(pass, host)) {
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
step_rebooting(struct fleet_pass *pass, struct pass_host *host)
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
    if (state_ms(pass, host) < pass->timings->return_ms) {
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
step_returning(struct fleet_pass *pass, struct pass_host *host)
{
    if (lost(pass, host)) {
        return;
    }
    if (host->info->suspect) {
        pass_add_host_write(pass, host, HOST_FAILED, "suspect");
        return;
    }
    int64_t proven_ms = MIN(state_ms(pass, host), health_ms(pass, host));
    if (host->healthy && proven_ms >= pass->timings->prove_ms) {
        pass_add_host_write(pass, host, HOST_SERVING, host->record->reason);
    }
}

static void
retire(struct fleet_pass *pass, struct pass_host *host)
{
    if (host->info->listed || host->entry != NULL ||
        state_ms(pass, host) < pass->timings->retire_ms) {
        return;
    }
    struct fleet_action *action = g_new0(struct fleet_action, 1);
    action->kind = FLEET_REMOVE_HOST;
    action->pool = g_strdup(host->record->pool);
    action->host = g_strdup(host->info->name);
    action->why = g_strdup("gone for good");
    g_ptr_array_add(pass->plan->actions, action);
    host->has_action = true;
}

static void
step_failed(struct fleet_pass *pass, struct pass_host *host)
{
    if (g_strcmp0(host->record->reason, "suspect") == 0 && host->healthy) {
        if (state_ms(pass, host) >= pass->timings->repair_ms) {
            pass_add_host_write(pass, host, HOST_REBOOTING, "suspect")
                ->seen_down = false;
        }
        return;
    }
    if (host->healthy) {
        pass_add_host_write(pass, host, HOST_RETURNING, "back");
        return;
    }
    retire(pass, host);
}

static void
step_recorded(struct fleet_pass *pass, struct pass_host *host)
{
    if (host->pending && host->record->state != HOST_SERVING) {
        use_up_entry(pass, host);
        return;
    }
    switch (host->record->state) {
    case HOST_SERVING:
        step_serving(pass, host);
        break;
    case HOST_DRAINING:
        step_draining(pass, host);
        break;
    case HOST_REBOOTING:
        step_rebooting(pass, host);
        break;
    case HOST_RETURNING:
        step_returning(pass, host);
        break;
    case HOST_FAILED:
        step_failed(pass, host);
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
adopt(struct fleet_pass *pass, struct pass_host *host)
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
            adopt(pass, host);
        }
        else if (host->pool != FLEET_INDEX_NONE) {
            step_recorded(pass, host);
        }
    }
}

static void
release(struct fleet_pass *pass, const struct pass_pool *pool,
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

/* Only the host's record tells that an entry was taken up: the pool or the
 * absence of a record may be out of date as read here. */
static bool
has_served(const struct fleet_pass *pass, const struct pass_host *host,
           const struct pass_pool *pool, const struct disruption_entry *entry)
{
    if (host == NULL || host->record == NULL) {
        int64_t age_s = pass->snapshot->now_s - entry->admitted_s;
        return age_s * 1000 > pass->timings->retire_ms &&
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
            if (has_served(pass, host, pool, entry)) {
                release(pass, pool, name, entry);
            }
        }
    }
}
