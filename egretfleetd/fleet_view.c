/* Combines all data that a controller reads into the planner's snapshot. */
#include "egretfleetd/fleet_view.h"

#include "core/disruption_record.h"
#include "core/wave_record.h"
#include "egretfleetd/fleet_demand.h"
#include "store/store_keys.h"

struct fleet_view {
    struct fleet_view_options options;
    struct host_list *list;
    struct host_records *records;
    struct record_table *disruptions;
    struct record_table *waves;
    struct fleet_demand *demand;
    struct fleet_snapshot snapshot;
    GArray *hosts;
    GArray *pools;
    GPtrArray *wave_list;
};

static void *
parse_disruptions(const char *text, size_t size_bytes, const char *file,
                  struct findings *findings)
{
    return disruption_record_parse(text, size_bytes, file, findings);
}

static void
destroy_disruptions(void *record)
{
    disruption_record_destroy(record);
}

static void *
parse_wave(const char *text, size_t size_bytes, const char *file,
           struct findings *findings)
{
    return wave_record_parse(text, size_bytes, file, findings);
}

static void
destroy_wave(void *record)
{
    wave_record_destroy(record);
}

static const struct record_kind disruption_kind = {
    .prefix = STORE_KEY_DISRUPTIONS,
    .parse = parse_disruptions,
    .destroy = destroy_disruptions,
};

static const struct record_kind wave_kind = {
    .prefix = STORE_KEY_WAVES,
    .parse = parse_wave,
    .destroy = destroy_wave,
};

static void
on_host_list(void *ctx, const struct host_list_view *list)
{
    (void)list;
    struct fleet_view *view = ctx;
    view->options.changed(view->options.ctx);
}

static void
on_shard(void *ctx, uint32_t shard)
{
    (void)shard;
    struct fleet_view *view = ctx;
    view->options.changed(view->options.ctx);
}

static struct record_table *
create_table(struct fleet_view *view, const struct record_kind *kind)
{
    return record_table_create(&(struct record_table_options){
        .store = view->options.store,
        .kind = kind,
        .changed = view->options.changed,
        .ctx = view->options.ctx,
    });
}

struct fleet_view *
fleet_view_create(const struct fleet_view_options *options)
{
    const struct settings *settings = options->settings;
    struct fleet_view *view = g_new0(struct fleet_view, 1);
    view->options = *options;
    view->hosts = g_array_new(FALSE, TRUE, sizeof(struct fleet_host));
    view->pools = g_array_new(FALSE, TRUE, sizeof(struct fleet_pool_info));
    view->wave_list = g_ptr_array_new();
    view->records = host_records_create(&(struct host_records_options){
        .store = options->store,
        .changed = on_shard,
        .ctx = view,
    });
    view->list = host_list_create(&(struct host_list_options){
        .url = settings->hosts_url,
        .timeout_ms = settings->store_timeout_ms,
        .wait_ms = settings->fleet.list_stale_ms / 4,
        .clock = options->clock,
        .changed = on_host_list,
        .ctx = view,
    });
    view->disruptions = create_table(view, &disruption_kind);
    view->waves = create_table(view, &wave_kind);
    view->demand = fleet_demand_create(&(struct fleet_demand_options){
        .store = options->store,
        .timings = settings->fleet,
        .clock = options->clock,
    });
    return view;
}

void
fleet_view_destroy(struct fleet_view *view)
{
    if (view == NULL) {
        return;
    }
    fleet_demand_destroy(view->demand);
    record_table_destroy(view->waves);
    record_table_destroy(view->disruptions);
    host_list_destroy(view->list);
    host_records_destroy(view->records);
    g_array_unref(view->hosts);
    g_array_unref(view->pools);
    g_ptr_array_unref(view->wave_list);
    g_free(view);
}

bool
fleet_view_ready(const struct fleet_view *view)
{
    return config_feed_current(view->options.feed) != NULL &&
           host_records_ready(view->records) &&
           record_table_ready(view->disruptions) &&
           record_table_ready(view->waves);
}

static void
add_host(struct fleet_view *view, const struct fleet_host *base)
{
    struct fleet_host host = *base;
    uint32_t shard = host_shard_index(host.name);
    const struct host_shard *stored = host_records_shard(view->records, shard);
    host.record = g_hash_table_lookup(stored->hosts, host.name);
    host.damaged = g_hash_table_contains(stored->damaged, host.name);
    if (host.record != NULL && host.record->state == HOST_DRAINING) {
        host.drained = fleet_demand_drained(view->demand, host.name);
    }
    host.suspect = fleet_demand_suspect(view->demand, host.name);
    g_array_append_val(view->hosts, host);
}

static void
add_listed(struct fleet_view *view, const struct host_list_view *list)
{
    for (size_t i = 0; i < list->n_hosts; i++) {
        const struct host_list_host *listed = &list->hosts[i];
        struct fleet_host host = {
            .name = listed->name,
            .listed = true,
            .live = listed->live,
            .leaving = listed->leaving,
            .dc = listed->dc,
            .rack = listed->rack,
            .initial_pool = listed->pool,
        };
        add_host(view, &host);
    }
}

static int
compare_hosts(gconstpointer a, gconstpointer b)
{
    const struct fleet_host *left = a;
    const struct fleet_host *right = b;
    return g_strcmp0(left->name, right->name);
}

/* Adds hosts that have a record but are not in the host list. The list is
 * sorted by name; only these hosts make another sort necessary. */
static void
add_unlisted(struct fleet_view *view, const struct host_list_view *list)
{
    guint n_listed = view->hosts->len;
    for (uint32_t shard = 0; shard < HOST_SHARDS; shard++) {
        GHashTableIter iter;
        void *name = NULL;
        g_hash_table_iter_init(
            &iter, host_records_shard(view->records, shard)->hosts);
        while (g_hash_table_iter_next(&iter, &name, NULL)) {
            if (host_list_find(list, name) == NULL) {
                add_host(view, &(struct fleet_host){.name = name});
            }
        }
    }
    if (view->hosts->len > n_listed) {
        g_array_sort(view->hosts, compare_hosts);
    }
}

static bool
host_records_are_current(const struct fleet_view *view,
                         const struct disruption_record *record)
{
    for (uint32_t shard = 0; record != NULL && shard < HOST_SHARDS; shard++) {
        if (host_records_version(view->records, shard) <
            record->min_shard_versions[shard]) {
            return false;
        }
    }
    return true;
}

static void
add_pool(struct fleet_view *view, GHashTable *added, const char *name)
{
    if (!g_hash_table_add(added, (char *)name)) {
        return;
    }
    const struct record_item *item =
        record_table_find(view->disruptions, name);
    struct fleet_pool_info pool = {
        .name = name,
        .disruptions = item != NULL ? item->record : NULL,
        .host_records_current =
            item == NULL || (item->record != NULL &&
                             host_records_are_current(view, item->record)),
    };
    pool.demand_known =
        fleet_demand_pool_slots(view->demand, name, &pool.demand_slots);
    g_array_append_val(view->pools, pool);
}

static void
add_pools(struct fleet_view *view, const struct config *config)
{
    GHashTable *added = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < config->n_pools; i++) {
        add_pool(view, added, config->pools[i].name);
    }
    for (guint i = 0; i < view->hosts->len; i++) {
        const struct fleet_host *host =
            &g_array_index(view->hosts, struct fleet_host, i);
        if (host->record != NULL) {
            add_pool(view, added, host->record->pool);
        }
    }
    GHashTableIter iter;
    void *name = NULL;
    g_hash_table_iter_init(&iter, record_table_items(view->disruptions));
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        add_pool(view, added, name);
    }
    g_hash_table_destroy(added);
}

static int
compare_waves(gconstpointer a, gconstpointer b)
{
    const struct wave_record *left = *(struct wave_record *const *)a;
    const struct wave_record *right = *(struct wave_record *const *)b;
    return left->number < right->number ? -1 : left->number > right->number;
}

static void
add_waves(struct fleet_view *view)
{
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, record_table_items(view->waves));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct record_item *item = value;
        if (item->record != NULL) {
            g_ptr_array_add(view->wave_list, item->record);
        }
    }
    g_ptr_array_sort(view->wave_list, compare_waves);
}

const struct fleet_snapshot *
fleet_view_snapshot(struct fleet_view *view)
{
    const struct config *config = config_feed_current(view->options.feed);
    const struct host_list_view *list = host_list_view(view->list);
    g_array_set_size(view->hosts, 0);
    g_array_set_size(view->pools, 0);
    g_ptr_array_set_size(view->wave_list, 0);
    add_listed(view, list);
    add_unlisted(view, list);
    add_pools(view, config);
    add_waves(view);
    view->snapshot = (struct fleet_snapshot){
        .now_ms = ms_clock_now(&view->options.clock),
        .now_s = g_get_real_time() / G_USEC_PER_SEC,
        .host_list_fresh = fleet_view_list_age_ms(view) <=
                           view->options.settings->fleet.list_stale_ms,
        .config = config,
        .hosts = (const struct fleet_host *)view->hosts->data,
        .n_hosts = view->hosts->len,
        .pools = (const struct fleet_pool_info *)view->pools->data,
        .n_pools = view->pools->len,
        .waves = (const struct wave_record *const *)view->wave_list->pdata,
        .n_waves = view->wave_list->len,
    };
    return &view->snapshot;
}

struct host_records *
fleet_view_records(struct fleet_view *view)
{
    return view->records;
}

struct record_table *
fleet_view_disruptions(struct fleet_view *view)
{
    return view->disruptions;
}

struct record_table *
fleet_view_waves(struct fleet_view *view)
{
    return view->waves;
}

int64_t
fleet_view_list_age_ms(const struct fleet_view *view)
{
    int64_t last_ms = host_list_last_answer_ms(view->list);
    return last_ms == INT64_MIN ? INT64_MAX
                                : ms_clock_now(&view->options.clock) - last_ms;
}
