/*
 * Maintenance waves: which hosts of which racks are admitted to be rebooted
 * now, and the progress of each wave.
 */
#include "core/fleet_pass.h"

enum {
    /* Highest demand, as a share of the slots that would remain available,
     * at which a host is admitted. */
    MAX_LOAD_PERCENT = 95,
    /* A wave's record is written after this much more of it is completed. */
    PROGRESS_WRITE_PERCENT = 1,
};

/**
 * struct wave_progress - counts of a wave's hosts in this pass
 * @done: rebooted
 * @due: not done yet
 * @in_progress: of @due, admitted, draining, rebooting or returning
 * @skipped: of @due, down for wave_skip_ms: the wave can complete without them
 * @held_out: host name to reason, as in struct wave_record
 */
struct wave_progress {
    uint32_t done;
    uint32_t due;
    uint32_t in_progress;
    uint32_t skipped;
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
is_in_progress(const struct wave_record *wave, const struct pass_host *host)
{
    enum host_state state = host->record->state;
    if (host->entry != NULL && host->entry->wave == wave->number &&
        (host->pending || state == HOST_DRAINING)) {
        return true;
    }
    return host->record->wave == wave->number &&
           (state == HOST_REBOOTING || state == HOST_RETURNING);
}

/* A reboot by another wave after the start of this one counts, too. */
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
            if (is_due(wave, host) || is_in_progress(wave, host)) {
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
    uint32_t disruptable = *(const uint32_t *)data;
    bool left_started = left->disrupted > 0;
    bool right_started = right->disrupted > 0;
    if (left_started != right_started) {
        return left_started ? -1 : 1;
    }
    bool left_fits = left->due <= disruptable;
    bool right_fits = right->due <= disruptable;
    if (left_fits != right_fits) {
        return left_fits ? -1 : 1;
    }
    if (left->due != right->due) {
        return left->due > right->due ? -1 : 1;
    }
    return left->rack < right->rack ? -1 : left->rack > right->rack;
}

/* Racks with disrupted hosts come first, then those whose hosts can all be
 * disrupted at once: disrupting hosts of the same rack together keeps the
 * reserve for the loss of another rack. */
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
    uint32_t min_available = budget_min_available(pool);
    uint32_t disruptable =
        pool->available > min_available ? pool->available - min_available : 0;
    g_ptr_array_sort_with_data(racks, compare_racks, &disruptable);
    return racks;
}

/* Whether the demand allows @host to be disrupted. After load_wait_max_ms of
 * waiting, hosts are disrupted one at a time in spite of the demand. */
static bool
load_allows(struct fleet_pass *pass, struct pass_pool *pool,
            const struct pass_host *host)
{
    struct pool_history *history = pool->history;
    if (history->demand_known_ms == 0 || !host->available ||
        pool->config == NULL) {
        return true;
    }
    double remaining_slots =
        (double)(pool->available - 1) * pool->config->host_slots;
    if (history->smoothed_slots * 100 <= remaining_slots * MAX_LOAD_PERCENT) {
        history->load_wait_since_ms = INT64_MIN;
        return true;
    }
    int64_t now_ms = pass->snapshot->now_ms;
    if (history->load_wait_since_ms == INT64_MIN) {
        history->load_wait_since_ms = now_ms;
    }
    if (now_ms - history->load_wait_since_ms >=
            pass->timings->load_wait_max_ms &&
        pool->disrupted == 0) {
        return true;
    }
    g_snprintf(pool->report->waits_for, FLEET_TEXT_BYTES,
               "lower demand: %.0f slots needed, %.0f would remain",
               history->smoothed_slots, remaining_slots);
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
            !load_allows(pass, pool, host)) {
            continue;
        }
        struct disruption_entry entry = {
            .wave = wave->number,
            .reason = "maintenance",
        };
        char why[FLEET_TEXT_BYTES];
        g_snprintf(why, sizeof(why),
                   "wave %u, %u hosts stay available, at least %u required",
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
add_held_out(struct wave_progress *progress, const struct pass_host *host,
             const char *reason)
{
    g_hash_table_insert(progress->held_out, g_strdup(host->info->name),
                        g_strdup(reason));
}

static void
count_host(const struct fleet_pass *pass, const struct wave_record *wave,
           const struct pass_host *host, struct wave_progress *progress)
{
    const struct host_record *record = host->record;
    if (is_in_progress(wave, host)) {
        progress->in_progress++;
        progress->due++;
        return;
    }
    if (is_done(wave, host)) {
        progress->done++;
        if (record->wave == wave->number && record->state == HOST_FAILED) {
            add_held_out(progress, host, record->reason);
        }
        return;
    }
    if (!is_due(wave, host)) {
        return;
    }
    progress->due++;
    if (host->healthy && record->state != HOST_FAILED) {
        return;
    }
    const struct host_history *history = host->history;
    int64_t since_ms = record->state == HOST_FAILED ? history->state_since_ms
                                                    : history->health_since_ms;
    if (pass->snapshot->now_ms - since_ms < pass->timings->wave_skip_ms) {
        return;
    }
    progress->skipped++;
    add_held_out(progress, host, "down");
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
is_worth_writing(const struct wave_record *old, const struct wave_record *new)
{
    uint32_t step = MAX(1, new->total *PROGRESS_WRITE_PERCENT / 100);
    return old->state != new->state || old->done + step <= new->done ||
           old->total != new->total ||
           (old->wait_reason == NULL) != (new->wait_reason == NULL) ||
           !same_held_out(old->held_out, new->held_out);
}

static const char *
find_wait_reason(struct fleet_pass *pass, const struct wave_record *wave)
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
    struct wave_progress progress = {
        .held_out =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
    for (size_t i = 0; i < pass->snapshot->n_hosts; i++) {
        const struct pass_host *host = &pass->hosts[i];
        if (host->pool != FLEET_INDEX_NONE) {
            count_host(pass, wave, host, &progress);
        }
    }
    struct wave_record *next = wave_record_copy(wave);
    g_hash_table_unref(next->held_out);
    next->held_out = progress.held_out;
    next->done = progress.done;
    next->total = progress.done + progress.due;
    next->estimated_end_s = estimate_end_s(pass, next);
    g_free(next->wait_reason);
    next->wait_reason = g_strdup(find_wait_reason(pass, wave));
    if (progress.due == progress.skipped && wave->state == WAVE_RUNNING) {
        next->state = WAVE_DONE;
        next->estimated_end_s = pass->snapshot->now_s;
    }
    if (is_worth_writing(wave, next)) {
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
