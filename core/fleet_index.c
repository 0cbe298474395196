/*
 * Index of a planning pass: resolves names of pools, data centres and racks to
 * indexes, and counts the hosts of each pool by state.
 */
#include "core/fleet_pass.h"

struct rack_key {
    uint32_t dc;
    const char *rack;
};

static guint
rack_key_hash(gconstpointer data)
{
    const struct rack_key *key = data;
    return g_str_hash(key->rack) * 31 + key->dc;
}

static gboolean
rack_key_equal(gconstpointer a, gconstpointer b)
{
    const struct rack_key *left = a;
    const struct rack_key *right = b;
    return left->dc == right->dc && g_str_equal(left->rack, right->rack);
}

static void
index_pools(struct fleet_pass *pass)
{
    const struct fleet_snapshot *snapshot = pass->snapshot;
    pass->n_pools = snapshot->n_pools;
    pass->pools = g_new0(struct pass_pool, snapshot->n_pools + 1);
    pass->pool_index = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < snapshot->n_pools; i++) {
        struct pass_pool *pool = &pass->pools[i];
        pool->info = &snapshot->pools[i];
        pool->members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        pool->racks = g_array_new(FALSE, TRUE, sizeof(struct pass_rack));
        g_hash_table_insert(pass->pool_index, (char *)snapshot->pools[i].name,
                            GUINT_TO_POINTER(i + 1));
    }
    const struct config *config = snapshot->config;
    for (size_t i = 0; i < config->n_pools; i++) {
        uint32_t index = fleet_index_pool(pass, config->pools[i].name);
        if (index != FLEET_INDEX_NONE) {
            pass->pools[index].config = &config->pools[i];
        }
    }
    for (size_t i = 0; i < config->n_queues; i++) {
        uint32_t index = fleet_index_pool(pass, config->queues[i].pool);
        if (index != FLEET_INDEX_NONE) {
            struct pass_pool *pool = &pass->pools[index];
            pool->longest_run_ms =
                MAX(pool->longest_run_ms, config->queues[i].max_run_ms);
        }
    }
}

uint32_t
fleet_index_pool(const struct fleet_pass *pass, const char *name)
{
    if (name == NULL) {
        return FLEET_INDEX_NONE;
    }
    return GPOINTER_TO_UINT(g_hash_table_lookup(pass->pool_index, name)) - 1;
}

static uint32_t
add_dc(struct fleet_pass *pass, GHashTable *dcs, const char *name,
       bool in_service)
{
    uint32_t index = pass->dc_names->len;
    g_ptr_array_add(pass->dc_names, (char *)name);
    g_array_append_val(pass->dc_in_service, in_service);
    g_hash_table_insert(dcs, (char *)name, GUINT_TO_POINTER(index + 1));
    return index;
}

static GHashTable *
index_dcs(struct fleet_pass *pass)
{
    const struct config *config = pass->snapshot->config;
    pass->dc_names = g_ptr_array_new();
    pass->dc_in_service = g_array_new(FALSE, FALSE, sizeof(bool));
    GHashTable *dcs = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < config->n_dcs; i++) {
        add_dc(pass, dcs, config->dcs[i].name,
               config->dcs[i].state == DC_IN_SERVICE);
    }
    return dcs;
}

static uint32_t
find_or_add_dc(struct fleet_pass *pass, GHashTable *dcs, const char *name)
{
    uint32_t found = GPOINTER_TO_UINT(g_hash_table_lookup(dcs, name));
    return found > 0 ? found - 1 : add_dc(pass, dcs, name, true);
}

/* A host without a record counts as incoming for the pool that it will join:
 * otherwise hosts would be moved into that pool from others while the records
 * of a new fleet are being created. */
static void
count_unrecorded_host(struct fleet_pass *pass, const struct pass_host *host)
{
    uint32_t pool = fleet_index_pool(pass, host->info->initial_pool);
    if (host->record == NULL && !host->info->damaged && host->healthy &&
        pool != FLEET_INDEX_NONE && pass_dc_in_service(pass, host)) {
        pass->pools[pool].incoming++;
        pass->pools[pool].dc_usable[host->dc]++;
    }
}

static void
index_host(struct fleet_pass *pass, struct pass_host *host, uint32_t index)
{
    host->healthy =
        host->info->listed && host->info->live && !host->info->leaving;
    host->pool = FLEET_INDEX_NONE;
    if (host->record == NULL) {
        return;
    }
    host->pool = fleet_index_pool(pass, host->record->pool);
    if (host->pool == FLEET_INDEX_NONE) {
        return;
    }
    struct pass_pool *pool = &pass->pools[host->pool];
    const struct disruption_record *disruptions =
        pass->snapshot->pools[host->pool].disruptions;
    if (disruptions != NULL) {
        host->entry =
            g_hash_table_lookup(disruptions->entries, host->info->name);
    }
    host->pending = host->entry != NULL &&
                    host->entry->admission > host->record->admission;
    host->available = host->record->state == HOST_SERVING && host->healthy &&
                      !host->pending && pass_dc_in_service(pass, host);
    uint64_t member = (uint64_t)host->rack << 32 | index;
    g_array_append_val(pool->members, member);
}

static void
index_hosts(struct fleet_pass *pass, GHashTable *dcs)
{
    size_t n = pass->snapshot->n_hosts;
    pass->hosts = g_new0(struct pass_host, n + 1);
    struct rack_key *keys = g_new(struct rack_key, n + 1);
    GHashTable *racks = g_hash_table_new(rack_key_hash, rack_key_equal);
    for (size_t i = 0; i < n; i++) {
        struct pass_host *host = &pass->hosts[i];
        host->info = &pass->snapshot->hosts[i];
        host->record = host->info->record;
        const struct host_record *record = host->record;
        const char *dc = record != NULL ? record->dc : host->info->dc;
        const char *rack = record != NULL ? record->rack : host->info->rack;
        host->dc = find_or_add_dc(pass, dcs, dc != NULL ? dc : "");
        keys[i] = (struct rack_key){
            .dc = host->dc,
            .rack = rack != NULL ? rack : "",
        };
        uint32_t found =
            GPOINTER_TO_UINT(g_hash_table_lookup(racks, &keys[i]));
        host->rack = found > 0 ? found - 1 : g_hash_table_size(racks);
        if (found == 0) {
            g_hash_table_insert(racks, &keys[i],
                                GUINT_TO_POINTER(host->rack + 1));
        }
        index_host(pass, host, (uint32_t)i);
    }
    g_hash_table_destroy(racks);
    g_free(keys);
}

static int
compare_members(gconstpointer a, gconstpointer b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? -1 : left > right;
}

static bool
is_long_unavailable(const struct fleet_pass *pass,
                    const struct pass_host *host)
{
    enum host_state state = host->record->state;
    return state == HOST_FAILED || host->info->leaving ||
           !pass_dc_in_service(pass, host) ||
           (state == HOST_RETURNING && host->entry == NULL);
}

static bool
is_disrupted(const struct pass_host *host)
{
    enum host_state state = host->record->state;
    return host->pending || state == HOST_DRAINING ||
           state == HOST_REBOOTING ||
           (state == HOST_RETURNING && host->entry != NULL);
}

static const char *
move_target(const struct pass_host *host)
{
    if (host->pending) {
        return host->entry->target;
    }
    return host->record->state == HOST_DRAINING ? host->record->target : NULL;
}

static void
count_usable(struct fleet_pass *pass, struct pass_pool *pool,
             const struct pass_host *host)
{
    if (host->record->state == HOST_FAILED || host->info->leaving ||
        !pass_dc_in_service(pass, host)) {
        return;
    }
    const char *target = move_target(host);
    if (target == NULL) {
        pool->usable++;
        pool->dc_usable[host->dc]++;
        return;
    }
    pool->outgoing++;
    uint32_t index = fleet_index_pool(pass, target);
    if (index != FLEET_INDEX_NONE) {
        pass->pools[index].incoming++;
        pass->pools[index].dc_usable[host->dc]++;
    }
}

static struct pass_rack *
current_rack(struct pass_pool *pool, const struct pass_host *host,
             guint member)
{
    struct pass_rack *last = NULL;
    if (pool->racks->len > 0) {
        last = &g_array_index(pool->racks, struct pass_rack,
                              pool->racks->len - 1);
    }
    if (last != NULL && last->rack == host->rack) {
        return last;
    }
    struct pass_rack rack = {
        .rack = host->rack,
        .dc = host->dc,
        .first_member = member,
    };
    g_array_append_val(pool->racks, rack);
    return &g_array_index(pool->racks, struct pass_rack, pool->racks->len - 1);
}

static void
count_member(struct fleet_pass *pass, struct pass_pool *pool, guint i)
{
    const struct pass_host *host = pass_member(pass, pool, i);
    if (host->record == NULL) {
        return;
    }
    struct pass_rack *rack = current_rack(pool, host, i);
    rack->n_members++;
    if (host->available) {
        rack->available++;
        pool->available++;
        pool->dc_available[host->dc]++;
    }
    if (is_disrupted(host)) {
        rack->disrupted++;
        pool->disrupted++;
    }
    else if (!host->healthy || host->record->state == HOST_FAILED) {
        pool->failed++;
    }
    pool->long_unavailable += is_long_unavailable(pass, host);
    pool->last_moved_s = MAX(pool->last_moved_s, host->record->moved_s);
    count_usable(pass, pool, host);
}

void
fleet_index_build(struct fleet_pass *pass)
{
    index_pools(pass);
    GHashTable *dcs = index_dcs(pass);
    index_hosts(pass, dcs);
    g_hash_table_destroy(dcs);
    for (size_t i = 0; i < pass->n_pools; i++) {
        pass->pools[i].dc_available = g_new0(uint32_t, pass->dc_names->len);
        pass->pools[i].dc_usable = g_new0(uint32_t, pass->dc_names->len);
    }
    for (size_t i = 0; i < pass->snapshot->n_hosts; i++) {
        count_unrecorded_host(pass, &pass->hosts[i]);
    }
    for (size_t i = 0; i < pass->n_pools; i++) {
        struct pass_pool *pool = &pass->pools[i];
        g_array_sort(pool->members, compare_members);
        for (guint k = 0; k < pool->members->len; k++) {
            count_member(pass, pool, k);
        }
    }
}

void
fleet_index_clear(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        g_array_unref(pass->pools[i].members);
        g_array_unref(pass->pools[i].racks);
        g_free(pass->pools[i].dc_available);
        g_free(pass->pools[i].dc_usable);
    }
    g_free(pass->pools);
    g_free(pass->hosts);
    g_hash_table_destroy(pass->pool_index);
    g_ptr_array_unref(pass->dc_names);
    g_array_unref(pass->dc_in_service);
}

struct pass_host *
pass_member(struct fleet_pass *pass, const struct pass_pool *pool, guint i)
{
    return &pass->hosts[(uint32_t)g_array_index(pool->members, uint64_t, i)];
}

bool
pass_dc_in_service(const struct fleet_pass *pass, const struct pass_host *host)
{
    return g_array_index(pass->dc_in_service, bool, host->dc);
}
