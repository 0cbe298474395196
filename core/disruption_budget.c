/*
 * Disruption budget of a pool: how many of its hosts may be out of service on
 * purpose at a time, and which disruptions to cancel when too few hosts are
 * available.
 */
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

/* The reserve covers the loss of the largest rack, but allows at least one
 * disruption at a time, so that maintenance completes in small pools too. */
static uint32_t
reserve_hosts(const struct pass_pool *pool)
{
    uint32_t recoverable = pool->members->len - pool->long_unavailable;
    uint32_t budget = pool->config->min_available_hosts;
    if (recoverable <= budget + 1) {
        return 0;
    }
    return MIN(largest_rack(pool), recoverable - budget - 1);
}

uint32_t
budget_min_available(const struct pass_pool *pool)
{
    if (pool->config == NULL) {
        return 0;
    }
    return pool->config->min_available_hosts + reserve_hosts(pool);
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

/* A data centre that is out of service may be put back at any moment: at most
 * half of the pool's hosts there are disrupted at a time. */
static bool
allows_in_dc_out_of_service(const struct fleet_pass *pass,
                            struct pass_pool *pool,
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
               "data centre %s is out of service and half of the pool's hosts "
               "there are disrupted",
               (const char *)g_ptr_array_index(pass->dc_names, host->dc));
    return false;
}

static bool
allows_in_dc(const struct fleet_pass *pass, struct pass_pool *pool,
             const struct pass_host *host)
{
    uint32_t min_hosts = pool->config->min_available_per_dc_hosts;
    if (pool->dc_available[host->dc] > min_hosts) {
        return true;
    }
    g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
               "%u hosts available in data centre %s, at least %u required",
               pool->dc_available[host->dc],
               (const char *)g_ptr_array_index(pass->dc_names, host->dc),
               min_hosts);
    return false;
}

static bool
allows_in_pool(struct pass_pool *pool, const struct pass_host *host)
{
    struct pass_rack *rack = find_rack(pool, host);
    rack->available--;
    uint32_t min_available = budget_min_available(pool);
    rack->available++;
    if (pool->available > min_available) {
        return true;
    }
    g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
               "%u hosts available, at least %u required, including a reserve "
               "of %u",
               pool->available, min_available,
               min_available - pool->config->min_available_hosts);
    return false;
}

bool
budget_allows(const struct fleet_pass *pass, struct pass_pool *pool,
              const struct pass_host *host)
{
    if (!pass->snapshot->host_list_fresh ||
        !pool->info->host_records_current) {
        g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
                   "an up-to-date read of the %s",
                   pool->info->host_records_current ? "host list"
                                                    : "host records");
        return false;
    }
    if (pool->config == NULL) {
        return true;
    }
    if (!pass_dc_in_service(pass, host)) {
        return allows_in_dc_out_of_service(pass, pool, host);
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
can_cancel(const struct pass_host *host)
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

/* Prefers hosts that have not started to drain, then those whose state changed
 * last. */
static bool
is_better_to_cancel(const struct pass_host *host, const struct pass_host *best)
{
    if (best == NULL || host->pending != best->pending) {
        return best == NULL || host->pending;
    }
    return host->record->since_s > best->record->since_s;
}

static struct pass_host *
choose_to_cancel(struct fleet_pass *pass, struct pass_pool *pool, uint32_t dc)
{
    struct pass_host *best = NULL;
    for (guint i = 0; i < pool->members->len; i++) {
        struct pass_host *host = pass_member(pass, pool, i);
        bool wanted = dc == FLEET_INDEX_NONE ? pass_dc_in_service(pass, host)
                                             : host->dc == dc;
        if (wanted && can_cancel(host) && is_better_to_cancel(host, best)) {
            best = host;
        }
    }
    return best;
}

static void
cancel_disruption(struct fleet_pass *pass, struct pass_host *host)
{
    struct host_record *record =
        pass_add_host_write(pass, host, HOST_SERVING, "cancelled");
    g_clear_pointer(&record->target, g_free);
    if (host->pending) {
        record->admission = host->entry->admission;
    }
}

/* Cancels up to @wanted disruptions in data centre @dc, or in all that are in
 * service for FLEET_INDEX_NONE; returns how many. */
static uint32_t
cancel_disruptions(struct fleet_pass *pass, struct pass_pool *pool,
                   uint32_t dc, uint32_t wanted)
{
    uint32_t cancelled = 0;
    while (cancelled < wanted) {
        struct pass_host *host = choose_to_cancel(pass, pool, dc);
        if (host == NULL) {
            break;
        }
        cancel_disruption(pass, host);
        cancelled++;
    }
    return cancelled;
}

void
budget_cancel_disruptions(struct fleet_pass *pass, struct pass_pool *pool)
{
    if (pool->config == NULL || pool->disrupted == 0) {
        return;
    }
    uint32_t cancelled = 0;
    uint32_t min_hosts = pool->config->min_available_per_dc_hosts;
    for (guint dc = 0; dc < pass->dc_names->len; dc++) {
        if (g_array_index(pass->dc_in_service, bool, dc) &&
            pool->dc_available[dc] < min_hosts) {
            cancelled += cancel_disruptions(
                pass, pool, dc, min_hosts - pool->dc_available[dc]);
        }
    }
    uint32_t min_available = budget_min_available(pool);
    uint32_t available = pool->available + cancelled;
    if (available < min_available) {
        cancel_disruptions(pass, pool, FLEET_INDEX_NONE,
                           min_available - available);
    }
}
