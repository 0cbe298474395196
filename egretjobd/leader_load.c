/* Reads the stored state after a takeover, then watches the backend
 * servers. */
#include "leader_state.h"

#include <string.h>

#include "common/event_log.h"
#include "common/text.h"
#include "core/jobs/entry_watch.h"
#include "egretjobd/leadership.h"
#include "egretjobd/records.h"
#include "egretjobd/store_route.h"
#include "platform/decode.h"
#include "platform/json_text.h"

enum {
    LOAD_RETRY_MS = 100,
    BACKEND_WATCH_MS = 1000,
    LOAD_TIMEOUT_MS = 1500,
    WATCH_RETRY_MS = 100,
};

static const char *const stage_prefixes[] = {
    [STAGE_PROGRESS] = RECORD_PROGRESS_PREFIX,
    [STAGE_JOBS] = RECORD_JOB_PREFIX,
    [STAGE_REGISTERED] = RECORD_BACKEND_PREFIX,
    [STAGE_WAVES] = RECORD_WAVE_PREFIX,
    [STAGE_HOST_COMMANDS] = RECORD_HOSTS_PREFIX,
    [STAGE_BACKENDS] = PLATFORM_BACKEND_PREFIX,
    [STAGE_INBOX] = RECORD_INBOX_PREFIX,
};

struct job *
leader_decode_job(const struct leader *leader, const char *id,
                  const char *value, size_t bytes)
{
    struct job *job = record_job_decode(id, value, bytes);
    if (job == NULL) {
        event_log("record_unreadable", "\"job\":%s", text_quote(id));
        return NULL;
    }
    job->open_max =
        record_open_max(job, leader->node->settings->value_bytes_max);
    return job;
}

void
leader_add_job(struct leader *leader, struct job *job)
{
    scheduler_add_job(leader->sched, job);
    leader_inbox_job_added(leader->inbox, job->id);
}

void
leader_add_stored_job(struct leader *leader, const char *id,
                      const struct kv_item *item)
{
    if (item->value == NULL || scheduler_find_job(leader->sched, id) != NULL) {
        return;
    }
    struct job *job =
        leader_decode_job(leader, id, item->value, item->value_bytes);
    if (job == NULL) {
        return;
    }
    job->inherited = leader->stage < STAGE_READY;
    const struct kv_item *progress = g_hash_table_lookup(leader->progress, id);
    if (progress != NULL) {
        record_progress_apply(job, progress->value, progress->value_bytes);
        job->revision = progress->revision;
    }
    leader_add_job(leader, job);
    job_unref(job);
}

/* Progress is applied before the jobs. Only the leader writes it. */
static void
apply_progress(struct leader *leader, const char *id,
               const struct kv_item *item)
{
    if (item->value == NULL) {
        return;
    }
    g_hash_table_replace(leader->progress, g_strdup(id), kv_item_copy(item));
}

/* Such an entry may change with each heartbeat, so it is logged once until it
 * is usable or gone. */
static void
log_unusable_entry(struct leader *leader, const char *id, const char *error)
{
    if (!g_hash_table_add(leader->unusable_ids, g_strdup(id))) {
        return;
    }
    event_log("backend_entry_unusable", "\"backend\":%s,\"reason\":%s",
              text_quote(id), text_quote(error));
}

/* An entry that can't be used is treated like a missing one: it takes nothing
 * new, and what runs there ends only with proof. */
static void
apply_backend(struct leader *leader, const char *id,
              const struct kv_item *item)
{
    struct backend_entry entry;
    char *error = NULL;
    if (item->deleted || item->value == NULL) {
        g_hash_table_remove(leader->unusable_ids, id);
        scheduler_backend_removed(leader->sched, id);
        return;
    }
    g_hash_table_add(leader->listed_ids, g_strdup(id));
    if (!decode_backend(id, item->value, item->value_bytes, &entry, &error)) {
        log_unusable_entry(leader, id, error);
        g_free(error);
        scheduler_backend_removed(leader->sched, id);
        return;
    }
    g_hash_table_remove(leader->unusable_ids, id);
    scheduler_backend_updated(leader->sched, &entry);
    backend_entry_clear(&entry);
}

static void
apply_inherited_backend(struct leader *leader, const char *id,
                        const struct kv_item *item)
{
    struct backend_entry entry;
    scheduler_set_backend_record(leader->sched, id, item->revision);
    if (item->value != NULL &&
        record_backend_decode(id, item->value, item->value_bytes, &entry)) {
        scheduler_backend_inherited(
            leader->sched, &entry,
            leadership_inherited_lease_ms(leader->node->leadership));
        int64_t left_ms;
        if (leadership_lease_left(leader->node->leadership, id, &left_ms)) {
            scheduler_lease_left(leader->sched, id, left_ms);
        }
        backend_entry_clear(&entry);
    }
}

/* Applies the hosts of a wave whose maintenance was accepted under an earlier
 * leader. */
static void
apply_wave_hosts(struct leader *leader, const char *number,
                 const struct kv_item *item)
{
    leader_set_wave_revision(leader, number, item->revision);
    char **hosts = text_list_read(item->value);
    for (char **host = hosts; *host != NULL; host++) {
        scheduler_wave_host_started(leader->sched,
                                    g_ascii_strtoll(number, NULL, 10), *host);
    }
    g_strfreev(hosts);
}

static void
apply_record(struct leader *leader, enum leader_stage kind,
             const struct kv_item *item)
{
    const char *id = item->key + strlen(stage_prefixes[kind]);
    switch (kind) {
    case STAGE_PROGRESS:
        apply_progress(leader, id, item);
        break;
    case STAGE_JOBS:
        leader_add_stored_job(leader, id, item);
        break;
    case STAGE_REGISTERED:
        apply_inherited_backend(leader, id, item);
        break;
    case STAGE_WAVES:
        apply_wave_hosts(leader, id, item);
        break;
    case STAGE_HOST_COMMANDS:
        host_commands_load(leader->host_commands, item);
        break;
    case STAGE_BACKENDS:
        apply_backend(leader, id, item);
        break;
    case STAGE_INBOX:
    case STAGE_READY:
        break;
    }
}

static void
start_inbox(struct leader *leader)
{
    struct record_range *range = &leader->ranges[STAGE_INBOX];
    leader_inbox_start(leader->inbox, range->items,
                       leader->ranges[STAGE_JOBS].requested_ms,
                       range->requested_ms);
    g_ptr_array_set_size(range->items, 0);
}

static void
finish_load(struct leader *leader)
{
    /* Entries of pools that don't exist are told by it. */
    leader_config_changed(leader);
    for (int stage = 0; stage < STAGE_INBOX; stage++) {
        struct record_range *range = &leader->ranges[stage];
        leader->stage = (enum leader_stage)stage;
        for (guint i = 0; i < range->items->len; i++) {
            apply_record(leader, leader->stage,
                         g_ptr_array_index(range->items, i));
        }
        g_ptr_array_set_size(range->items, 0);
    }
    scheduler_longer_leases(leader->sched, leadership_inherited_lease_ms(
                                               leader->node->leadership));
    leader->stage = STAGE_READY;
    leader->backends_as_of = leader->ranges[STAGE_BACKENDS].as_of;
    g_hash_table_remove_all(leader->progress);
    struct sched_stats stats;
    scheduler_stats(leader->sched, &stats);
    event_log("leader_ready", "\"jobs\":%u,\"backends\":%u,\"unsettled\":%u",
              stats.jobs_active, stats.backends, stats.backends_unreconciled);
    leader_config_changed(leader);
    leader_operator_records_changed(leader);
    leader_add_early_jobs(leader);
    start_inbox(leader);
    leader_watch_backends(leader);
    leader_schedule_tick(leader);
}

static void
on_range(void *ctx, const struct kv_result *result)
{
    struct record_range *range = ctx;
    struct leader *leader = range->leader;
    if (result->outcome != KV_OK) {
        timer_set(range->retry, LOAD_RETRY_MS);
        return;
    }
    g_ptr_array_unref(range->items);
    range->items = g_ptr_array_ref(result->items);
    range->as_of = result->as_of;
    range->complete = true;
    for (int stage = 0; stage < STAGE_READY; stage++) {
        if (!leader->ranges[stage].complete) {
            return;
        }
    }
    finish_load(leader);
}

static void
load_range(struct record_range *range)
{
    range->requested_ms = node_now(range->leader->node);
    kv_range_all(range->kv, stage_prefixes[range->stage],
                 (struct kv_done){.call = on_range, .ctx = range});
}

static void
on_range_retry(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    load_range(ctx);
}

/* Reads all ranges in parallel and applies them in order at the end. Earlier
 * leaders can no longer write, since their transactions are conditional on the
 * leader's record, so no read misses a write of theirs that another read has
 * seen. */
void
leader_load_records(struct leader *leader)
{
    struct node *node = leader->node;
    for (int stage = 0; stage < STAGE_READY; stage++) {
        struct record_range *range = &leader->ranges[stage];
        range->leader = leader;
        range->stage = (enum leader_stage)stage;
        range->kv =
            kv_create(node->base, node->settings->store_address,
                      LOAD_TIMEOUT_MS, store_route_any(node->store_route));
        range->items = g_ptr_array_new_with_free_func(kv_item_destroy);
        range->retry = evtimer_new(node->base, on_range_retry, range);
        load_range(range);
    }
}

void
leader_load_destroy(struct leader *leader)
{
    for (int stage = 0; stage < STAGE_READY; stage++) {
        struct record_range *range = &leader->ranges[stage];
        kv_destroy(range->kv);
        g_ptr_array_unref(range->items);
        event_free(range->retry);
    }
}

static gboolean
not_listed(void *id, void *value, void *listed_ids)
{
    (void)value;
    return !g_hash_table_contains(listed_ids, id);
}

/* After a complete read, removes backend servers that it did not return. */
static void
drop_unlisted_backends(struct leader *leader)
{
    g_hash_table_foreach_remove(leader->unusable_ids, not_listed,
                                leader->listed_ids);
    GPtrArray *ids = scheduler_backend_ids(leader->sched);
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        if (!g_hash_table_contains(leader->listed_ids, id)) {
            scheduler_backend_removed(leader->sched, id);
        }
    }
    g_ptr_array_unref(ids);
}

static void
on_backends_read(void *ctx, const struct kv_result *result)
{
    struct leader *leader = ctx;
    if (result->outcome != KV_OK) {
        leader->backends_as_of = 0;
        timer_set(leader->watch_timer, WATCH_RETRY_MS);
        return;
    }
    for (guint i = 0; i < result->items->len; i++) {
        apply_record(leader, STAGE_BACKENDS,
                     g_ptr_array_index(result->items, i));
    }
    drop_unlisted_backends(leader);
    leader->backends_as_of = result->as_of;
    leader_schedule_tick(leader);
    timer_set(leader->watch_timer, 0);
}

static void
on_backend_events(void *ctx, const struct kv_result *result)
{
    struct leader *leader = ctx;
    if (result->outcome == KV_OK) {
        for (guint i = 0; i < result->items->len; i++) {
            apply_record(leader, STAGE_BACKENDS,
                         g_ptr_array_index(result->items, i));
        }
        leader->backends_as_of = MAX(leader->backends_as_of, result->as_of);
        leader_schedule_tick(leader);
        timer_set(leader->watch_timer, entry_watch_gap_ms(result->items->len));
        return;
    }
    /* The history was compacted or the connection is unresponsive: read all
     * entries again. */
    leader->backends_as_of = 0;
    timer_set(leader->watch_timer, WATCH_RETRY_MS);
}

void
leader_watch_backends(struct leader *leader)
{
    g_hash_table_remove_all(leader->listed_ids);
    if (leader->backends_as_of == 0) {
        kv_range_all(
            leader->backend_watch, PLATFORM_BACKEND_PREFIX,
            (struct kv_done){.call = on_backends_read, .ctx = leader});
        return;
    }
    kv_watch(leader->backend_watch, PLATFORM_BACKEND_PREFIX,
             leader->backends_as_of, BACKEND_WATCH_MS,
             (struct kv_done){.call = on_backend_events, .ctx = leader});
}
