/* Carries out planned actions, by compare-and-swap on the stored records. */
#include "egretfleetd/plan_executor.h"

#include "common/log.h"
#include "core/record_edit.h"
#include "core/stagger.h"
#include "store/store_keys.h"

enum {
    /* Time after an action in a pool in which this controller carries out
     * further ones there without a delay. */
    STAGGER_EXEMPT_MS = 30000,
};

/**
 * struct planned_action - action that recent passes have planned
 * @since_ms: time of the first pass of those in a row that planned it
 * @pass: number of the last pass that planned it
 */
struct planned_action {
    int64_t since_ms;
    uint64_t pass;
};

/**
 * struct plan_executor - state of the executor
 * @planned_actions: identity of an action to struct planned_action
 * @last_action_ms: pool name to time of the last action there, int64_t
 * @busy_keys: set of keys with a write in progress
 * @pass: number of the present pass
 * @writes: count of writes, for their ids
 */
struct plan_executor {
    struct plan_executor_options options;
    GHashTable *planned_actions;
    GHashTable *last_action_ms;
    GHashTable *busy_keys;
    uint64_t pass;
    uint64_t writes;
};

/** struct pending_write - write in progress; freed with its outcome */
struct pending_write {
    struct plan_executor *executor;
    char *key;
    uint32_t shard;
};

struct plan_executor *
plan_executor_create(const struct plan_executor_options *options)
{
    struct plan_executor *executor = g_new0(struct plan_executor, 1);
    executor->options = *options;
    executor->planned_actions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    executor->last_action_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    executor->busy_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return executor;
}

void
plan_executor_destroy(struct plan_executor *executor)
{
    if (executor == NULL) {
        return;
    }
    g_hash_table_destroy(executor->planned_actions);
    g_hash_table_destroy(executor->last_action_ms);
    g_hash_table_destroy(executor->busy_keys);
    g_free(executor);
}

static int64_t
now_ms(const struct plan_executor *executor)
{
    return ms_clock_now(&executor->options.clock);
}

static int64_t
delay_ms(const struct plan_executor *executor, const char *pool)
{
    const int64_t *last_action_ms =
        g_hash_table_lookup(executor->last_action_ms, pool);
    if (last_action_ms != NULL &&
        now_ms(executor) - *last_action_ms < STAGGER_EXEMPT_MS) {
        return 0;
    }
    return stagger_delay_ms(executor->options.settings->name, pool,
                            executor->options.settings->fleet.stagger_max_ms);
}

/* Identity of an action across passes. */
static char *
action_identity(const struct fleet_action *action)
{
    const char *state =
        action->record == NULL ? "" : host_state_name(action->record->state);
    /* Without the host of an admission: passes may choose different hosts,
     * and the delay must not start again for each of them. */
    const char *host = action->kind == FLEET_ADMIT || action->host == NULL
                           ? ""
                           : action->host;
    return g_strdup_printf("%s|%s|%s|%s", fleet_action_kind_name(action->kind),
                           action->pool, host, state);
}

static bool
is_due(struct plan_executor *executor, const struct fleet_action *action)
{
    char *name = action_identity(action);
    struct planned_action *planned_action =
        g_hash_table_lookup(executor->planned_actions, name);
    if (planned_action == NULL) {
        planned_action = g_new0(struct planned_action, 1);
        planned_action->since_ms = now_ms(executor);
        g_hash_table_insert(executor->planned_actions, g_strdup(name),
                            planned_action);
    }
    planned_action->pass = executor->pass;
    g_free(name);
    return now_ms(executor) - planned_action->since_ms >=
           delay_ms(executor, action->pool);
}

static gboolean
is_no_longer_planned(gpointer name, gpointer value, gpointer data)
{
    (void)name;
    const struct planned_action *planned_action = value;
    const struct plan_executor *executor = data;
    return planned_action->pass != executor->pass;
}

static void
apply_entry(struct plan_executor *executor, const struct pending_write *write,
            const struct store_entry *entry)
{
    struct fleet_view *view = executor->options.view;
    if (g_str_has_prefix(write->key, STORE_KEY_HOSTS)) {
        host_records_update(fleet_view_records(view), write->shard, entry);
        return;
    }
    record_table_put(fleet_view_disruptions(view), entry);
    record_table_put(fleet_view_waves(view), entry);
}

static void
on_written(void *ctx, const struct store_result *result)
{
    struct pending_write *write = ctx;
    struct plan_executor *executor = write->executor;
    g_hash_table_remove(executor->busy_keys, write->key);
    counters_add(executor->options.counters, "egret_fleet_writes_total",
                 status_ok(&result->status) ? "outcome=\"written\""
                                            : "outcome=\"refused\"",
                 1);
    if (!status_ok(&result->status)) {
        log_line(LOG_LEVEL_INFO, "write-failed", "key=%s status=%s",
                 log_quote(write->key), status_code_name(result->status.code));
    }
    for (size_t i = 0; i < result->n_entries; i++) {
        apply_entry(executor, write, &result->entries[i]);
    }
    g_free(write->key);
    g_free(write);
}

static char *
new_write_id(struct plan_executor *executor)
{
    return g_strdup_printf("%s:%" G_GINT64_FORMAT ":%" G_GUINT64_FORMAT,
                           executor->options.settings->name, g_get_real_time(),
                           ++executor->writes);
}

static void
send_write(struct plan_executor *executor, char *key, uint32_t shard,
           char *text, size_t size_bytes, uint64_t version)
{
    struct pending_write *write = g_new0(struct pending_write, 1);
    write->executor = executor;
    write->key = key;
    write->shard = shard;
    g_hash_table_add(executor->busy_keys, g_strdup(key));
    store_cas(executor->options.store, key, text, size_bytes, version,
              (struct store_callback){.done = on_written, .ctx = write});
    g_free(text);
}

static void
log_action(const struct fleet_action *action)
{
    const char *state = "";
    if (action->record != NULL) {
        state = host_state_name(action->record->state);
    }
    const char *target = action->entry.target;
    log_line(LOG_LEVEL_INFO, "placement",
             "step=%s pool=%s host=%s state=%s target=%s reason=%s",
             fleet_action_kind_name(action->kind), log_quote(action->pool),
             log_quote(action->host != NULL ? action->host : ""), state,
             log_quote(target != NULL ? target : ""), log_quote(action->why));
}

static void
record_action(struct plan_executor *executor,
              const struct fleet_action *action)
{
    log_action(action);
    int64_t *last_action_ms = g_new(int64_t, 1);
    *last_action_ms = now_ms(executor);
    g_hash_table_insert(executor->last_action_ms, g_strdup(action->pool),
                        last_action_ms);
    char labels[64];
    g_snprintf(labels, sizeof(labels), "kind=\"%s\"",
               fleet_action_kind_name(action->kind));
    counters_add(executor->options.counters, "egret_fleet_steps_total", labels,
                 1);
}

static void
record_actions(struct plan_executor *executor, const GPtrArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        record_action(executor, g_ptr_array_index(actions, i));
    }
}

static void
write_shard(struct plan_executor *executor, char *key,
            const GPtrArray *actions)
{
    const struct fleet_action *first = g_ptr_array_index(actions, 0);
    uint32_t shard = host_shard_index(first->host);
    struct host_records *records = fleet_view_records(executor->options.view);
    struct host_shard *next =
        record_edit_shard(host_records_shard(records, shard), actions);
    g_free(next->write_id);
    next->write_id = new_write_id(executor);
    size_t size_bytes = 0;
    char *text = host_shard_serialise(next, &size_bytes);
    host_shard_destroy(next);
    record_actions(executor, actions);
    send_write(executor, key, shard, text, size_bytes,
               host_records_version(records, shard));
}

static void
write_disruptions(struct plan_executor *executor, char *key, const char *pool,
                  const GPtrArray *actions)
{
    struct fleet_view *view = executor->options.view;
    const struct record_item *item =
        record_table_find(fleet_view_disruptions(view), pool);
    if (item != NULL && item->record == NULL) {
        g_free(key);
        return;
    }
    uint64_t versions[HOST_SHARDS];
    for (uint32_t i = 0; i < HOST_SHARDS; i++) {
        versions[i] = host_records_version(fleet_view_records(view), i);
    }
    struct disruption_record *next = record_edit_disruptions(
        item != NULL ? item->record : NULL, actions, versions);
    g_free(next->write_id);
    next->write_id = new_write_id(executor);
    size_t size_bytes = 0;
    char *text = disruption_record_serialise(next, &size_bytes);
    disruption_record_destroy(next);
    record_actions(executor, actions);
    send_write(executor, key, 0, text, size_bytes,
               item != NULL ? item->version : STORE_VERSION_ABSENT);
}

static void
write_wave(struct plan_executor *executor, char *key, const GPtrArray *actions)
{
    const struct fleet_action *action = g_ptr_array_index(actions, 0);
    char name[24];
    g_snprintf(name, sizeof(name), "%" G_GUINT64_FORMAT, action->wave->number);
    const struct record_item *item =
        record_table_find(fleet_view_waves(executor->options.view), name);
    if (item == NULL) {
        g_free(key);
        return;
    }
    struct wave_record *next = wave_record_copy(action->wave);
    g_free(next->write_id);
    next->write_id = new_write_id(executor);
    size_t size_bytes = 0;
    char *text = wave_record_serialise(next, &size_bytes);
    wave_record_destroy(next);
    record_actions(executor, actions);
    send_write(executor, key, 0, text, size_bytes, item->version);
}

static char *
record_key(const struct fleet_action *action)
{
    switch (action->kind) {
    case FLEET_WRITE_HOST:
    case FLEET_REMOVE_HOST:
        return host_records_key(host_shard_index(action->host));
    case FLEET_ADMIT:
    case FLEET_RELEASE:
        return g_strconcat(STORE_KEY_DISRUPTIONS, action->pool, NULL);
    case FLEET_WRITE_WAVE:
        break;
    }
    return g_strdup_printf("%s%" G_GUINT64_FORMAT, STORE_KEY_WAVES,
                           action->wave->number);
}

static void
write_record(struct plan_executor *executor, const char *key,
             const GPtrArray *actions)
{
    const struct fleet_action *first = g_ptr_array_index(actions, 0);
    switch (first->kind) {
    case FLEET_WRITE_HOST:
    case FLEET_REMOVE_HOST:
        write_shard(executor, g_strdup(key), actions);
        break;
    case FLEET_ADMIT:
    case FLEET_RELEASE:
        write_disruptions(executor, g_strdup(key), first->pool, actions);
        break;
    case FLEET_WRITE_WAVE:
        write_wave(executor, g_strdup(key), actions);
        break;
    }
}

static void
unref_actions(void *actions)
{
    g_ptr_array_unref(actions);
}

void
plan_executor_run(struct plan_executor *executor,
                  const struct fleet_plan *plan)
{
    GHashTable *by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_actions);
    executor->pass++;
    for (guint i = 0; i < plan->actions->len; i++) {
        struct fleet_action *action = g_ptr_array_index(plan->actions, i);
        char *key = record_key(action);
        if (!is_due(executor, action) ||
            g_hash_table_contains(executor->busy_keys, key)) {
            g_free(key);
            continue;
        }
        GPtrArray *actions = g_hash_table_lookup(by_key, key);
        if (actions == NULL) {
            actions = g_ptr_array_new();
            g_hash_table_insert(by_key, g_strdup(key), actions);
        }
        g_ptr_array_add(actions, action);
        g_free(key);
    }
    g_hash_table_foreach_remove(executor->planned_actions,
                                is_no_longer_planned, executor);
    GHashTableIter iter;
    void *key = NULL;
    void *actions = NULL;
    g_hash_table_iter_init(&iter, by_key);
    while (g_hash_table_iter_next(&iter, &key, &actions)) {
        write_record(executor, key, actions);
    }
    g_hash_table_destroy(by_key);
}
