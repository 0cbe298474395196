#include "core/fleet_pass.h"

static uint32_t
largest_rack(const struct pass_pool *pool)
{
    uint32_t largest = 0;
    for (guint i = 0; i < pool->racks->len; i++) {
        largest =
            MAX(largest,
                g_array_index(pool->racks, struct pass_rack, i).available);
    }
    return largest;
}

/* The reserve leaves room for one disruption at least, so that maintenance
 * ends in small pools too. */
static uint32_t
reserve_of(const struct pass_pool *pool)
{
    uint32_t sound = pool->members->len - pool->long_unavailable;
    uint32_t budget = pool->config->min_available_hosts;
    if (sound <= budget + 1) {
        return 0;
    }
    return MIN(largest_rack(pool), sound - budget - 1);
}

uint32_t
budget_min_available(const struct pass_pool *pool)
{
    if (pool->config == NULL) {
        return 0;
    }
    return pool->config->min_available_hosts + reserve_of(pool);
}

static struct pass_rack *
find_rack(const struct pass_pool *pool, const struct pass_host *host)
{
    for (guint i = 0; i < pool->racks->len; i++) {
        struct pass_rack *rack =
            &g_array_index(pool->racks, struct pass_rack, i);
        if (rack->rack == host->rack) {
            return rack;
        }
    }
    return NULL;
}

/* A data centre that is out comes back at any moment: at most half of the
 * pool's hosts there are disrupted meanwhile. */
static bool
allows_in_out_dc(const struct fleet_pass *pass, struct pass_pool *pool,
                 const struct pass_host *host)
{
    uint32_t members = 0;
    uint32_t disrupted = 0;
    for (guint i = 0; i < pool->racks->len; i++) {
        const struct pass_rack *rack =
            &g_array_index(pool->racks, struct pass_rack, i);
        if (rack->dc == host->dc) {
            members += rack->n_members;
            disrupted += rack->disrupted;
        }
    }
    if ((disrupted + 1) * 2 <= members) {
        return true;
    }
    g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
               "data centre %s is out and half of its hosts are disrupted",
               (const char *)g_ptr_array_index(pass->dc_names, host->dc));
    return false;
}

static bool
allows_in_dc(const struct fleet_pass *pass, struct pass_pool *pool,
             const struct pass_host *host)
{
    uint32_t least = pool->config->min_available_per_dc_hosts;
    if (pool->dc_available[host->dc] > least) {
        return true;
    }
    g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
               "%u available in data centre %s, %u have to stay",
               pool->dc_available[host->dc],
               (const char *)g_ptr_array_index(pass->dc_names, host->dc),
               least);
    return false;
}

static bool
allows_in_pool(struct pass_pool *pool, const struct pass_host *host)
{
    struct pass_rack *rack = find_rack(pool, host);
    rack->available--;
    uint32_t floor_hosts = budget_min_available(pool);
    rack->available++;
    if (pool->available > floor_hosts) {
        return true;
    }
    g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
               "%u available, %u have to stay, %u of them in reserve",
               pool->available, floor_hosts,
               floor_hosts - pool->config->min_available_hosts);
    return false;
}

bool
budget_allows(const struct fleet_pass *pass, struct pass_pool *pool,
              const struct pass_host *host)
{
    if (!pass->snapshot->host_list_fresh ||
        !pool->info->host_records_current) {
        g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
                   "the %s to be read anew",
                   pool->info->host_records_current ? "host list"
                                                    : "host records");
        return false;
    }
    if (pool->config == NULL) {
        return true;
    }
    if (!pass_dc_in_service(pass, host)) {
        return allows_in_out_dc(pass, pool, host);
    }
    return !host->available ||
           (allows_in_dc(pass, pool, host) && allows_in_pool(pool, host));
}

void
pass_add_admission(struct fleet_pass *pass, struct pass_host *host,
                   const struct disruption_entry *entry, const char *why)
{
    struct pass_pool *pool = &pass->pools[host->pool];
    struct fleet_action *action = g_new0(struct fleet_action, 1);
    action->kind = FLEET_ADMIT;
    action->pool = g_strdup(pool->info->name);
    action->host = g_strdup(host->info->name);
    action->entry = *entry;
    action->entry.admission = host->record->admission + 1;
    action->entry.admitted_s = pass->snapshot->now_s;
    action->entry.reason = g_strdup(entry->reason);
    action->entry.target = g_strdup(entry->target);
    action->why = g_strdup(why);
    g_ptr_array_add(pass->plan->actions, action);
    g_snprintf(pool->report->next_step, FLEET_TEXT_BYTES, "%s of %s",
               entry->reason, host->info->name);
    struct pass_rack *rack = find_rack(pool, host);
    if (host->available) {
        rack->available--;
        pool->available--;
        pool->dc_available[host->dc]--;
    }
    rack->disrupted++;
    pool->disrupted++;
    host->available = false;
    host->has_action = true;
}

static bool
can_give_back(const struct pass_host *host)
{
    if (host->has_action || !host->healthy) {
        return false;
    }
    if (host->pending) {
        return host->record->state == HOST_SERVING;
    }
    return host->record->state == HOST_DRAINING &&
           g_strcmp0(host->record->reason, "suspect") != 0;
}

/* Hosts that have not started to drain come first, then the latest. */
static bool
is_better(const struct pass_host *host, const struct pass_host *best)
{
    if (best == NULL || host->pending != best->pending) {
        return best == NULL || host->pending;
    }
    return host->record->since_s > best->record->since_s;
}

static struct pass_host *
choose_to_give_back(struct fleet_pass *pass, struct pass_pool *pool,
                    uint32_t dc)
{
    struct pass_host *best = NULL;
    for (guint i = 0; i < pool->members->len; i++) {
        struct pass_host *host = pass_member(pass, pool, i);
        bool wanted = dc == FLEET_INDEX_NONE ? pass_dc_in_service(pass, host)
                                             : host->dc == dc;
        if (wanted && can_give_back(host) && is_better(host, best)) {
            best = host;
        }
    }
    return best;
}

static void
give_back(struct fleet_pass *pass, struct pass_host *host)
{
    struct host_record *record =
        pass_add_host_write(pass, host, HOST_SERVING, "cancelled");
    g_clear_pointer(&record->target, g_free);
    if (host->pending) {
        record->admission = host->entry->admission;
    }
}

/* Returns how many of @wanted hosts were given back. */
static uint32_t
give_back_some(struct fleet_pass *pass, struct pass_pool *pool, uint32_t dc,
               uint32_t wanted)
{
    uint32_t given = 0;
    while (given < wanted) {
        struct pass_host *host = choose_to_give_back(pass, pool, dc);
        if (host == NULL) {
            break;
        }
        give_back(pass, host);
        given++;
    }
    return given;
}

void
budget_cancel_disruptions(struct fleet_pass *pass, struct pass_pool *pool)
{
    if (pool->config == NULL || pool->disrupted == 0) {
        return;
    }
    uint32_t given = 0;
    uint32_t least = pool->config->min_available_per_dc_hosts;
    for (guint dc = 0; dc < pass->dc_names->len; dc++) {
        if (g_array_index(pass->dc_in_service, bool, dc) &&
            pool->dc_available[dc] < least) {
            given +=
                give_back_some(pass, pool, dc, least - pool->dc_available[dc]);
        }
    }
    uint32_t floor_hosts = budget_min_available(pool);
    uint32_t available = pool->available + given;
    if (available < floor_hosts) {
        give_back_some(pass, pool, FLEET_INDEX_NONE, floor_hosts - available);
    }
}
