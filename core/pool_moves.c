/*
 * Moves of hosts between pools: into pools that have fewer hosts than they
 * need, and of surplus hosts into the spare pool.
 */
#include <string.h>

#include "core/fleet_pass.h"

enum {
    /* A pool gives back its surplus divided by this at a time, but at least
     * one host. */
    SURPLUS_DIVISOR = 4,
};

static uint32_t
supply_hosts(const struct pass_pool *pool)
{
    return pool->usable + pool->incoming;
}

static bool
in_emergency(const struct pass_pool *pool)
{
    return supply_hosts(pool) <= pool->config->min_available_hosts;
}

/* Data centre in service where the pool has no host beyond its minimum there,
 * or FLEET_INDEX_NONE. */
static uint32_t
dc_below_minimum(const struct fleet_pass *pass, const struct pass_pool *pool)
{
    uint32_t min_hosts = pool->config->min_available_per_dc_hosts;
    for (guint dc = 0; min_hosts > 0 && dc < pass->dc_names->len; dc++) {
        if (g_array_index(pass->dc_in_service, bool, dc) &&
            pool->dc_usable[dc] <= min_hosts) {
            return dc;
        }
    }
    return FLEET_INDEX_NONE;
}

static bool
needs_hosts(const struct fleet_pass *pass, const struct pass_pool *pool)
{
    const struct config_pool *config = pool->config;
    if (config == NULL || config->spare) {
        return false;
    }
    if (config->max_hosts > 0 && supply_hosts(pool) >= config->max_hosts) {
        return false;
    }
    return supply_hosts(pool) < pool->needed ||
           dc_below_minimum(pass, pool) != FLEET_INDEX_NONE;
}

/* Count of hosts that @donor keeps when @pool needs one. */
static uint32_t
donor_min_hosts(const struct pass_pool *donor, const struct pass_pool *pool)
{
    if (donor->config == NULL) {
        return 0;
    }
    if (donor->config->spare || in_emergency(pool)) {
        return donor->needed;
    }
    return donor->shrink_threshold;
}

static bool
can_move(const struct pass_host *host)
{
    return host->available && host->entry == NULL && !host->has_action &&
           !host->info->suspect;
}

static uint32_t
rack_members(const struct pass_pool *pool, uint32_t rack)
{
    for (guint i = 0; i < pool->racks->len; i++) {
        const struct pass_rack *member_rack =
            &g_array_index(pool->racks, struct pass_rack, i);
        if (member_rack->rack == rack) {
            return member_rack->n_members;
        }
    }
    return 0;
}

/* Host of @donor that spreads @pool most evenly over data centres, then over
 * racks. */
static struct pass_host *
choose_host(struct fleet_pass *pass, struct pass_pool *donor,
            const struct pass_pool *pool, uint32_t dc)
{
    struct pass_host *best = NULL;
    uint64_t best_score = UINT64_MAX;
    for (guint i = 0; i < donor->members->len; i++) {
        struct pass_host *host = pass_member(pass, donor, i);
        if (!can_move(host) || (dc != FLEET_INDEX_NONE && host->dc != dc)) {
            continue;
        }
        uint64_t score = (uint64_t)pool->dc_usable[host->dc] << 32 |
                         rack_members(pool, host->rack);
        if (score < best_score) {
            best = host;
            best_score = score;
        }
    }
    return best;
}

static void
move_host(struct fleet_pass *pass, struct pass_host *host,
          struct pass_pool *pool, const char *why)
{
    struct pass_pool *donor = &pass->pools[host->pool];
    struct disruption_entry entry = {
        .reason = "move",
        .target = (char *)pool->info->name,
    };
    pass_add_admission(pass, host, &entry, why);
    donor->usable--;
    donor->outgoing++;
    donor->dc_usable[host->dc]--;
    pool->incoming++;
    pool->dc_usable[host->dc]++;
}

static bool
take_host_from(struct fleet_pass *pass, struct pass_pool *donor,
               struct pass_pool *pool)
{
    if (donor == pool || supply_hosts(donor) <= donor_min_hosts(donor, pool)) {
        return false;
    }
    uint32_t dc = dc_below_minimum(pass, pool);
    struct pass_host *host = choose_host(pass, donor, pool, dc);
    if (host == NULL || !budget_allows(pass, donor, host)) {
        return false;
    }
    char why[FLEET_TEXT_BYTES];
    g_snprintf(why, sizeof(why), "%s has %u of %u needed hosts",
               pool->info->name, supply_hosts(pool), pool->needed);
    move_host(pass, host, pool, why);
    return true;
}

static int
compare_donors(gconstpointer a, gconstpointer b)
{
    const struct pass_pool *left = *(struct pass_pool *const *)a;
    const struct pass_pool *right = *(struct pass_pool *const *)b;
    bool left_spare = left->config == NULL || left->config->spare;
    bool right_spare = right->config == NULL || right->config->spare;
    if (left_spare != right_spare) {
        return left_spare ? -1 : 1;
    }
    int64_t left_extra = (int64_t)supply_hosts(left) - left->needed;
    int64_t right_extra = (int64_t)supply_hosts(right) - right->needed;
    return left_extra > right_extra ? -1 : left_extra < right_extra;
}

static bool
add_one_host(struct fleet_pass *pass, GPtrArray *donors,
             struct pass_pool *pool)
{
    g_ptr_array_sort(donors, compare_donors);
    for (guint i = 0; i < donors->len; i++) {
        if (take_host_from(pass, g_ptr_array_index(donors, i), pool)) {
            return true;
        }
    }
    return false;
}

/* Whether @pool is to get a host before @than: pools at or below their budget
 * first, then those with the smaller fraction of the hosts they need. */
static bool
is_needier(const struct pass_pool *pool, const struct pass_pool *than)
{
    bool emergency = in_emergency(pool);
    if (emergency != in_emergency(than)) {
        return emergency;
    }
    return (uint64_t)supply_hosts(pool) * than->needed <
           (uint64_t)supply_hosts(than) * pool->needed;
}

static struct pass_pool *
neediest(struct fleet_pass *pass, const bool *tried)
{
    struct pass_pool *best = NULL;
    for (size_t i = 0; i < pass->n_pools; i++) {
        struct pass_pool *pool = &pass->pools[i];
        if (!tried[i] && needs_hosts(pass, pool) &&
            (best == NULL || is_needier(pool, best))) {
            best = pool;
        }
    }
    return best;
}

static void
grow_short_pools(struct fleet_pass *pass)
{
    bool *tried = g_new0(bool, pass->n_pools + 1);
    GPtrArray *donors = g_ptr_array_new();
    for (size_t i = 0; i < pass->n_pools; i++) {
        g_ptr_array_add(donors, &pass->pools[i]);
    }
    struct pass_pool *pool = neediest(pass, tried);
    while (pool != NULL) {
        if (!add_one_host(pass, donors, pool)) {
            tried[pool - pass->pools] = true;
            g_snprintf(
                pool->report->finding, FLEET_TEXT_BYTES,
                "has %u of %u needed hosts, and no other pool can give one",
                supply_hosts(pool), pool->needed);
        }
        pool = neediest(pass, tried);
    }
    g_ptr_array_unref(donors);
    g_free(tried);
}

static struct pass_pool *
find_spare(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        const struct config_pool *config = pass->pools[i].config;
        if (config != NULL && config->spare) {
            return &pass->pools[i];
        }
    }
    return NULL;
}

/* Count of hosts to move to the spare pool now. A pool that is no longer
 * configured gives all hosts at once. */
static uint32_t
surplus_to_release(const struct fleet_pass *pass, const struct pass_pool *pool)
{
    if (pool->config == NULL) {
        return pool->usable;
    }
    int64_t now_ms = pass->snapshot->now_ms;
    int64_t since_ms = pool->history->surplus_since_ms;
    int64_t moved_ms = (pass->snapshot->now_s - pool->last_moved_s) * 1000;
    int64_t hold_ms = pass->timings->surplus_hold_ms;
    if (pool->config->spare || since_ms == INT64_MIN ||
        now_ms - since_ms < hold_ms || moved_ms < hold_ms) {
        return 0;
    }
    uint32_t surplus = supply_hosts(pool) - pool->shrink_threshold;
    return MAX(1, surplus / SURPLUS_DIVISOR);
}

static void
release_surplus(struct fleet_pass *pass)
{
    struct pass_pool *spare = find_spare(pass);
    if (spare == NULL) {
        return;
    }
    for (size_t i = 0; i < pass->n_pools; i++) {
        struct pass_pool *pool = &pass->pools[i];
        for (uint32_t n = surplus_to_release(pass, pool); n > 0; n--) {
            struct pass_host *host =
                choose_host(pass, pool, spare, FLEET_INDEX_NONE);
            if (host == NULL || !budget_allows(pass, pool, host)) {
                break;
            }
            move_host(pass, host, spare, "pool has more hosts than it needs");
        }
    }
}

static void
report_findings(const struct fleet_pass *pass, struct pass_pool *pool)
{
    const struct config_pool *config = pool->config;
    char *finding = pool->report->finding;
    if (config == NULL) {
        if (pool->members->len > 0) {
            g_snprintf(finding, FLEET_TEXT_BYTES,
                       "%u hosts in a pool that is not configured",
                       pool->members->len);
        }
        return;
    }
    if (config->max_hosts > 0 &&
        config->min_available_hosts >= config->max_hosts) {
        g_snprintf(
            finding, FLEET_TEXT_BYTES,
            "min_available_hosts %u must be below max_hosts %u to allow "
            "maintenance",
            config->min_available_hosts, config->max_hosts);
    }
    else if (pool->usable == 0 && pool->longest_run_ms > 0) {
        g_snprintf(finding, FLEET_TEXT_BYTES,
                   "no usable host: queues of the pool cannot meet deadlines");
    }
}

void
pool_moves_plan(struct fleet_pass *pass)
{
    grow_short_pools(pass);
    release_surplus(pass);
    for (size_t i = 0; i < pass->n_pools; i++) {
        report_findings(pass, &pass->pools[i]);
    }
}
