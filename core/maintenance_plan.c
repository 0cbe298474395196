#include "core/fleet_pass.h"

enum {
    /* Demand may fill this much of what stays available. */
    QUIET_PERCENT = 95,
    /* A wave's record is written again after this part of it is done. */
    PROGRESS_PERCENT = 1,
};

/** struct wave_tally - a wave's hosts in this pass */
struct wave_tally {
    uint32_t done;
    uint32_t due;
    uint32_t working;
    uint32_t settled;
    GHashTable *held_out;
};

static bool
is_due(const struct wave_record *wave, const struct pass_host *host)
{
    const struct host_record *record = host->record;
    return record->wave < wave->number &&
           record->maintained_s <= wave->started_s - wave->older_than_s &&
           wave_selects(wave, record->pool, record->dc);
}

static bool
is_working(const struct wave_record *wave, const struct pass_host *host)
{
    enum host_state state = host->record->state;
    if (host->entry != NULL && host->entry->wave == wave->number &&
        (host->pending || state == HOST_DRAINING)) {
        return true;
    }
    return host->record->wave == wave->number &&
           (state == HOST_REBOOTING || state == HOST_RETURNING);
}

/* Another wave's reboot after the start of this one serves it, too. */
static bool
is_done(const struct wave_record *wave, const struct pass_host *host)
{
    const struct host_record *record = host->record;
    return record->wave == wave->number ||
           (record->wave > 0 && record->maintained_s > wave->started_s &&
            wave_selects(wave, record->pool, record->dc));
}

const struct wave_record *
maintenance_active_wave(struct fleet_pass *pass, const struct pass_pool *pool)
{
    for (size_t w = 0; w < pass->snapshot->n_waves; w++) {
        const struct wave_record *wave = pass->snapshot->waves[w];
        if (!wave_is_open(wave)) {
            continue;
        }
        for (guint i = 0; i < pool->members->len; i++) {
            const struct pass_host *host = pass_member(pass, pool, i);
            if (is_due(wave, host) || is_working(wave, host)) {
                return wave;
            }
        }
    }
    return NULL;
}

static bool
is_candidate(const struct wave_record *wave, const struct pass_host *host)
{
    return host->record->state == HOST_SERVING && host->healthy &&
           host->entry == NULL && !host->has_action && is_due(wave, host);
}

static int
compare_racks(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct pass_rack *left = *(struct pass_rack *const *)a;
    const struct pass_rack *right = *(struct pass_rack *const *)b;
    uint32_t room = *(const uint32_t *)data;
    bool left_begun = left->disrupted > 0;
    bool right_begun = right->disrupted > 0;
    if (left_begun != right_begun) {
        return left_begun ? -1 : 1;
    }
    bool left_fits = left->due <= room;
    bool right_fits = right->due <= room;
    if (left_fits != right_fits) {
        return left_fits ? -1 : 1;
    }
    if (left->due != right->due) {
        return left->due > right->due ? -1 : 1;
    }
    return left->rack < right->rack ? -1 : left->rack > right->rack;
}

/* Racks already begun come first, then those that fit as a whole: hosts of
 * one rack that are out together leave the reserve for the other racks. */
static GPtrArray *
order_racks(struct fleet_pass *pass, struct pass_pool *pool,
            const struct wave_record *wave)
{
    GPtrArray *racks = g_ptr_array_new();
    for (guint i = 0; i < pool->racks->len; i++) {
        struct pass_rack *rack =
            &g_array_index(pool->racks, struct pass_rack, i);
        rack->due = 0;
        for (uint32_t k = 0; k < rack->n_members; k++) {
            rack->due += is_candidate(
                wave, pass_member(pass, pool, rack->first_member + k));
        }
        if (rack->due > 0) {
            g_ptr_array_add(racks, rack);
        }
    }
    uint32_t floor_hosts = budget_min_available(pool);
    uint32_t room =
        pool->available > floor_hosts ? pool->available - floor_hosts : 0;
    g_ptr_array_sort_with_data(racks, compare_racks, &room);
    return racks;
}

static bool
is_quiet(struct fleet_pass *pass, struct pass_pool *pool,
         const struct pass_host *host)
{
    struct pool_history *memory = pool->history;
    if (memory->demand_known_ms == 0 || !host->available ||
        pool->config == NULL) {
        return true;
    }
    double left_slots =
        (double)(pool->available - 1) * pool->config->host_slots;
    if (memory->smoothed_slots * 100 <= left_slots * QUIET_PERCENT) {
        memory->load_wait_since_ms = INT64_MIN;
        return true;
    }
    int64_t now_ms = pass->snapshot->now_ms;
    if (memory->load_wait_since_ms == INT64_MIN) {
        memory->load_wait_since_ms = now_ms;
    }
    if (now_ms - memory->load_wait_since_ms >= pass->timings->patience_ms &&
        pool->disrupted == 0) {
        return true;
    }
    g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
               "a quieter queue: %.0f slots asked for, %.0f would stay",
               memory->smoothed_slots, left_slots);
    return false;
}

static void
plan_rack(struct fleet_pass *pass, struct pass_pool *pool,
          const struct pass_rack *rack, const struct wave_record *wave)
{
    for (uint32_t k = 0; k < rack->n_members; k++) {
        struct pass_host *host =
            pass_member(pass, pool, rack->first_member + k);
        if (!is_candidate(wave, host) || !budget_allows(pass, pool, host) ||
            !is_quiet(pass, pool, host)) {
            continue;
        }
        struct disruption_entry entry = {
            .wave = wave->number,
            .reason = "maintenance",
        };
        char why[FLEET_TEXT_BYTES];
        g_snprintf(why, sizeof(why), "wave %u, %u stay available, floor %u",
                   (unsigned)wave->number, pool->available - 1,
                   budget_min_available(pool));
        pass_add_admission(pass, host, &entry, why);
    }
}

static void
plan_pool(struct fleet_pass *pass, struct pass_pool *pool)
{
    const struct wave_record *wave = maintenance_active_wave(pass, pool);
    if (wave == NULL) {
        return;
    }
    if (wave->state == WAVE_PAUSED) {
        g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
                   "wave %u is paused", (unsigned)wave->number);
        return;
    }
    GPtrArray *racks = order_racks(pass, pool, wave);
    for (guint i = 0; i < racks->len; i++) {
        plan_rack(pass, pool, g_ptr_array_index(racks, i), wave);
    }
    g_ptr_array_unref(racks);
}

static void
hold_out(struct wave_tally *tally, const struct pass_host *host,
         const char *reason)
{
    g_hash_table_insert(tally->held_out, g_strdup(host->info->name),
                        g_strdup(reason));
}

static void
tally_host(const struct fleet_pass *pass, const struct wave_record *wave,
           const struct pass_host *host, struct wave_tally *tally)
{
    const struct host_record *record = host->record;
    if (is_working(wave, host)) {
        tally->working++;
        tally->due++;
        return;
    }
    if (is_done(wave, host)) {
        tally->done++;
        if (record->wave == wave->number && record->state == HOST_FAILED) {
            hold_out(tally, host, record->reason);
        }
        return;
    }
    if (!is_due(wave, host)) {
        return;
    }
    tally->due++;
    if (host->healthy && record->state != HOST_FAILED) {
        return;
    }
    const struct host_history *memory = host->history;
    int64_t since_ms = record->state == HOST_FAILED ? memory->state_since_ms
                                                    : memory->health_since_ms;
    if (pass->snapshot->now_ms - since_ms < pass->timings->settle_ms) {
        return;
    }
    tally->settled++;
    hold_out(tally, host, "down");
}

static bool
same_held_out(GHashTable *left, GHashTable *right)
{
    if (g_hash_table_size(left) != g_hash_table_size(right)) {
        return false;
    }
    GHashTableIter iter;
    void *host = NULL;
    g_hash_table_iter_init(&iter, left);
    while (g_hash_table_iter_next(&iter, &host, NULL)) {
        if (!g_hash_table_contains(right, host)) {
            return false;
        }
    }
    return true;
}

static bool
worth_writing(const struct wave_record *old, const struct wave_record *new)
{
    uint32_t step = MAX(1, new->total *PROGRESS_PERCENT / 100);
    return old->state != new->state || old->done + step <= new->done ||
           old->total != new->total ||
           (old->wait_reason == NULL) != (new->wait_reason == NULL) ||
           !same_held_out(old->held_out, new->held_out);
}

static const char *
wave_waits(struct fleet_pass *pass, const struct wave_record *wave)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        const struct pass_pool *pool = &pass->pools[i];
        if (pool->report->waits_for[0] != '\0' && pool->disrupted == 0 &&
            maintenance_active_wave(pass, pool) == wave) {
            return pool->report->waits_for;
        }
    }
    return NULL;
}

static int64_t
estimate_end_s(const struct fleet_pass *pass, const struct wave_record *wave)
{
    int64_t spent_s = pass->snapshot->now_s - wave->started_s;
    if (wave->done == 0 || spent_s <= 0) {
        return 0;
    }
    return pass->snapshot->now_s +
           spent_s * (wave->total - wave->done) / wave->done;
}

static void
write_wave(struct fleet_pass *pass, struct wave_record *wave)
{
    struct fleet_action *action = g_new0(struct fleet_action, 1);
    action->kind = FLEET_WRITE_WAVE;
    action->pool = g_strdup_printf("wave %u", (unsigned)wave->number);
    action->wave = wave;
    action->why =
        g_strdup_printf("%u of %u hosts done", wave->done, wave->total);
    g_ptr_array_add(pass->plan->actions, action);
}

static void
report_wave(struct fleet_pass *pass, const struct wave_record *wave)
{
    struct wave_tally tally = {
        .held_out =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
    for (size_t i = 0; i < pass->snapshot->n_hosts; i++) {
        const struct pass_host *host = &pass->hosts[i];
        if (host->pool != FLEET_INDEX_NONE) {
            tally_host(pass, wave, host, &tally);
        }
    }
    struct wave_record *next = wave_record_copy(wave);
    g_hash_table_unref(next->held_out);
    next->held_out = tally.held_out;
    next->done = tally.done;
    next->total = tally.done + tally.due;
    next->estimated_end_s = estimate_end_s(pass, next);
    g_free(next->wait_reason);
    next->wait_reason = g_strdup(wave_waits(pass, wave));
    if (tally.due == tally.settled && wave->state == WAVE_RUNNING) {
        next->state = WAVE_DONE;
        next->estimated_end_s = pass->snapshot->now_s;
    }
    if (worth_writing(wave, next)) {
        write_wave(pass, next);
    }
    else {
        wave_record_destroy(next);
    }
}

void
maintenance_plan(struct fleet_pass *pass)
{
    for (size_t i = 0; i < pass->n_pools; i++) {
        plan_pool(pass, &pass->pools[i]);
    }
    for (size_t i = 0; i < pass->snapshot->n_waves; i++) {
        if (wave_is_open(pass->snapshot->waves[i])) {
            report_wave(pass, pass->snapshot->waves[i]);
        }
    }
}
