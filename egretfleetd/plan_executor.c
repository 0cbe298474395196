#include "egretfleetd/plan_executor.h"

#include "common/log.h"
#include "core/record_edit.h"
#include "core/stagger.h"
#include "store/store_keys.h"

enum {
    /* How long a controller goes on in a pool without waiting again. */
    TURN_KEPT_MS = 30000,
};

/** struct wanted - a step that stays planned, and since when */
struct wanted {
    int64_t since_ms;
    uint64_t pass;
};

struct plan_executor {
    struct plan_executor_options options;
    GHashTable *wanted;
    GHashTable *acted_ms;
    GHashTable *busy;
    uint64_t pass;
    uint64_t writes;
};

/** struct pending_write - a write until its outcome is known */
struct pending_write {
    struct plan_executor *actor;
    char *key;
    uint32_t shard;
};

struct plan_executor *
plan_executor_create(const struct plan_executor_options *options)
{
    struct plan_executor *actor = g_new0(struct plan_executor, 1);
    actor->options = *options;
    actor->wanted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    actor->acted_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    actor->busy = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return actor;
}

void
plan_executor_destroy(struct plan_executor *actor)
{
    if (actor == NULL) {
        return;
    }
    g_hash_table_destroy(actor->wanted);
    g_hash_table_destroy(actor->acted_ms);
    g_hash_table_destroy(actor->busy);
    g_free(actor);
}

static int64_t
now_ms(const struct plan_executor *actor)
{
    return ms_clock_now(&actor->options.clock);
}

static int64_t
delay_ms(const struct plan_executor *actor, const char *pool)
{
    const int64_t *acted_ms = g_hash_table_lookup(actor->acted_ms, pool);
    if (acted_ms != NULL && now_ms(actor) - *acted_ms < TURN_KEPT_MS) {
        return 0;
    }
    return stagger_delay_ms(actor->options.settings->name, pool,
                            actor->options.settings->fleet.turn_ms);
}

static char *
step_name(const struct fleet_action *action)
{
    const char *state =
        action->record == NULL ? "" : host_state_name(action->record->state);
    /* Any admission will do: which host is chosen may vary. */
    const char *host = action->kind == FLEET_ADMIT || action->host == NULL
                           ? ""
                           : action->host;
    return g_strdup_printf("%s|%s|%s|%s", fleet_action_kind_name(action->kind),
                           action->pool, host, state);
}

static bool
is_our_turn(struct plan_executor *actor, const struct fleet_action *action)
{
    char *name = step_name(action);
    struct wanted *wanted = g_hash_table_lookup(actor->wanted, name);
    if (wanted == NULL) {
        wanted = g_new0(struct wanted, 1);
        wanted->since_ms = now_ms(actor);
        g_hash_table_insert(actor->wanted, g_strdup(name), wanted);
    }
    wanted->pass = actor->pass;
    g_free(name);
    return now_ms(actor) - wanted->since_ms >= delay_ms(actor, action->pool);
}

static gboolean
is_unwanted(gpointer name, gpointer value, gpointer data)
{
    (void)name;
    const struct wanted *wanted = value;
    const struct plan_executor *actor = data;
    return wanted->pass != actor->pass;
}

static void
take_answer(struct plan_executor *actor, const struct pending_write *write,
            const struct store_entry *entry)
{
    struct fleet_view *view = actor->options.view;
    if (g_str_has_prefix(write->key, STORE_KEY_HOSTS)) {
        host_records_put(fleet_view_records(view), write->shard, entry);
        return;
    }
    record_table_put(fleet_view_disruptions(view), entry);
    record_table_put(fleet_view_waves(view), entry);
}

static void
written(void *ctx, const struct store_result *result)
{
    struct pending_write *write = ctx;
    struct plan_executor *actor = write->actor;
    g_hash_table_remove(actor->busy, write->key);
    counters_add(actor->options.counters, "egret_fleet_writes_total",
                 status_ok(&result->status) ? "outcome=\"written\""
                                            : "outcome=\"refused\"",
                 1);
    if (!status_ok(&result->status)) {
        log_line(LOG_LEVEL_INFO, "write-failed", "key=%s status=%s",
                 log_quote(write->key), status_code_name(result->status.code));
    }
    for (size_t i = 0; i < result->n_entries; i++) {
        take_answer(actor, write, &result->entries[i]);
    }
    g_free(write->key);
    g_free(write);
}

static char *
writer_name(struct plan_executor *actor)
{
    return g_strdup_printf("%s:%" G_GINT64_FORMAT ":%" G_GUINT64_FORMAT,
                           actor->options.settings->name, g_get_real_time(),
                           ++actor->writes);
}

static void
send_write(struct plan_executor *actor, char *key, uint32_t shard, char *text,
           size_t size_bytes, uint64_t version)
{
    struct pending_write *write = g_new0(struct pending_write, 1);
    write->actor = actor;
    write->key = key;
    write->shard = shard;
    g_hash_table_add(actor->busy, g_strdup(key));
    store_cas(actor->options.store, key, text, size_bytes, version,
              (struct store_callback){.done = written, .ctx = write});
    g_free(text);
}

static void
log_step(const struct fleet_action *action)
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
note_step(struct plan_executor *actor, const struct fleet_action *action)
{
    log_step(action);
    int64_t *acted_ms = g_new(int64_t, 1);
    *acted_ms = now_ms(actor);
    g_hash_table_insert(actor->acted_ms, g_strdup(action->pool), acted_ms);
    char labels[64];
    g_snprintf(labels, sizeof(labels), "kind=\"%s\"",
               fleet_action_kind_name(action->kind));
    counters_add(actor->options.counters, "egret_fleet_steps_total", labels,
                 1);
}

static void
note_steps(struct plan_executor *actor, const GPtrArray *steps)
{
    for (guint i = 0; i < steps->len; i++) {
        note_step(actor, g_ptr_array_index(steps, i));
    }
}

static void
write_shard(struct plan_executor *actor, char *key, const GPtrArray *steps)
{
    const struct fleet_action *first = g_ptr_array_index(steps, 0);
    uint32_t shard = host_shard_index(first->host);
    struct host_records *records = fleet_view_records(actor->options.view);
    struct host_shard *next =
        record_edit_shard(host_records_shard(records, shard), steps);
    g_free(next->write_id);
    next->write_id = writer_name(actor);
    size_t size_bytes = 0;
    char *text = host_shard_serialise(next, &size_bytes);
    host_shard_destroy(next);
    note_steps(actor, steps);
    send_write(actor, key, shard, text, size_bytes,
               host_records_version(records, shard));
}

static void
write_disruptions(struct plan_executor *actor, char *key, const char *pool,
                  const GPtrArray *steps)
{
    struct fleet_view *view = actor->options.view;
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
        item != NULL ? item->record : NULL, steps, versions);
    g_free(next->write_id);
    next->write_id = writer_name(actor);
    size_t size_bytes = 0;
    char *text = disruption_record_serialise(next, &size_bytes);
    disruption_record_destroy(next);
    note_steps(actor, steps);
    send_write(actor, key, 0, text, size_bytes,
               item != NULL ? item->version : STORE_VERSION_ABSENT);
}

static void
write_wave(struct plan_executor *actor, char *key, const GPtrArray *steps)
{
    const struct fleet_action *action = g_ptr_array_index(steps, 0);
    char name[24];
    g_snprintf(name, sizeof(name), "%" G_GUINT64_FORMAT, action->wave->number);
    const struct record_item *item =
        record_table_find(fleet_view_waves(actor->options.view), name);
    if (item == NULL) {
        g_free(key);
        return;
    }
    struct wave_record *next = wave_record_copy(action->wave);
    g_free(next->write_id);
    next->write_id = writer_name(actor);
    size_t size_bytes = 0;
    char *text = wave_record_serialise(next, &size_bytes);
    wave_record_destroy(next);
    note_steps(actor, steps);
    send_write(actor, key, 0, text, size_bytes, item->version);
}

static char *
key_of(const struct fleet_action *action)
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
write_record(struct plan_executor *actor, const char *key,
             const GPtrArray *steps)
{
    const struct fleet_action *first = g_ptr_array_index(steps, 0);
    switch (first->kind) {
    case FLEET_WRITE_HOST:
    case FLEET_REMOVE_HOST:
        write_shard(actor, g_strdup(key), steps);
        break;
    case FLEET_ADMIT:
    case FLEET_RELEASE:
        write_disruptions(actor, g_strdup(key), first->pool, steps);
        break;
    case FLEET_WRITE_WAVE:
        write_wave(actor, g_strdup(key), steps);
        break;
    }
}

static void
unref_steps(void *steps)
{
    g_ptr_array_unref(steps);
}

void
plan_executor_run(struct plan_executor *actor, const struct fleet_plan *plan)
{
    GHashTable *by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_steps);
    actor->pass++;
    for (guint i = 0; i < plan->actions->len; i++) {
        struct fleet_action *action = g_ptr_array_index(plan->actions, i);
        char *key = key_of(action);
        if (!is_our_turn(actor, action) ||
            g_hash_table_contains(actor->busy, key)) {
            g_free(key);
            continue;
        }
        GPtrArray *steps = g_hash_table_lookup(by_key, key);
        if (steps == NULL) {
            steps = g_ptr_array_new();
            g_hash_table_insert(by_key, g_strdup(key), steps);
        }
        g_ptr_array_add(steps, action);
        g_free(key);
    }
    g_hash_table_foreach_remove(actor->wanted, is_unwanted, actor);
    GHashTableIter iter;
    void *key = NULL;
    void *steps = NULL;
    g_hash_table_iter_init(&iter, by_key);
    while (g_hash_table_iter_next(&iter, &key, &steps)) {
        write_record(actor, key, steps);
    }
    g_hash_table_destroy(by_key);
}
