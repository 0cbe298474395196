/*
 * Messages for the scheduler about jobs and cancels that another process
 * stored while it could not reach the leader. The inbox is polled, since a
 * watch may miss a change. A message is deleted once its effect is stored.
 */
#include "leader_state.h"

#include <string.h>

#include "common/event_log.h"
#include "egretjobd/records.h"

enum {
    INBOX_INTERVAL_MS = 500,
    /* Jobs read at once. Dozens of entry hosts that can't reach the leader
     * may store jobs faster than one read after the other finds them. */
    FETCH_MAX = 32,
    /* Per transaction: a condition and a deletion for each message, and a
     * condition on the leader's record. */
    DELETES_MAX = 15,
    /* Passes that take longer, or find jobs that have waited longer, are
     * logged; others take some milliseconds. */
    PASS_LATE_MS = 1000,
};

/**
 * struct inbox_fetch - a read of the job that a message names
 * @cancel: the message cancels it
 */
struct inbox_fetch {
    struct leader *leader;
    char *id;
    bool cancel;
};

/* Logs a pass that was late or left messages unread. */
static void
log_pass(struct leader *leader)
{
    struct inbox_pass *pass = &leader->inbox_pass;
    pass->took_ms = node_now(leader->node) - leader->inbox_requested_ms;
    if (pass->left_out == 0 && pass->took_ms < PASS_LATE_MS &&
        pass->oldest_ms < PASS_LATE_MS) {
        return;
    }
    event_log("inbox_pass",
              "\"took_ms\":%" G_GINT64_FORMAT ",\"messages\":%u,"
              "\"fetched\":%u,\"failed\":%u,\"left_out\":%u,"
              "\"oldest_ms\":%" G_GINT64_FORMAT,
              pass->took_ms, pass->messages, pass->fetched, pass->failed,
              pass->left_out, pass->oldest_ms);
}

/* Sets when the next pass begins, once nothing of this one is open. */
static void
next_pass(struct leader *leader)
{
    if (!leader->inbox_reading && leader->inbox_fetches == 0) {
        log_pass(leader);
        timer_set(leader->inbox_timer,
                  leader->inbox_progress ? 0 : INBOX_INTERVAL_MS);
    }
}

/* Notes how long a job that was found has waited to be read. */
static void
note_age(struct leader *leader, const char *id)
{
    const struct job *job = scheduler_find_job(leader->sched, id);
    if (job != NULL) {
        int64_t age_ms =
            ms_clock_now(&leader->node->unix_clock) - job->accepted_unix_ms;
        leader->inbox_pass.oldest_ms =
            MAX(leader->inbox_pass.oldest_ms, age_ms);
    }
}

static void
on_job(void *ctx, const struct kv_result *result)
{
    struct inbox_fetch *fetch = ctx;
    struct leader *leader = fetch->leader;
    leader->inbox_fetches--;
    if (result->outcome == KV_OK && result->items->len > 0) {
        leader_add_stored_job(leader, fetch->id,
                              g_ptr_array_index(result->items, 0));
        note_age(leader, fetch->id);
        if (fetch->cancel) {
            scheduler_cancel(leader->sched, fetch->id);
        }
        leader->inbox_progress = true;
        leader_schedule_tick(leader);
    }
    else if (result->outcome == KV_NOT_FOUND) {
        /* The message has outlived its job. */
        g_hash_table_add(leader->inbox_obsolete, g_strdup(fetch->id));
        leader->inbox_progress = true;
    }
    else {
        leader->inbox_pass.failed++;
    }
    g_free(fetch->id);
    g_free(fetch);
    next_pass(leader);
}

static void
fetch_job(struct leader *leader, const char *id, bool cancel)
{
    if (leader->inbox_fetches >= FETCH_MAX) {
        leader->inbox_pass.left_out++;
        return;
    }
    leader->inbox_pass.fetched++;
    struct inbox_fetch *fetch = g_new0(struct inbox_fetch, 1);
    fetch->leader = leader;
    fetch->id = g_strdup(id);
    fetch->cancel = cancel;
    leader->inbox_fetches++;
    char *key = g_strconcat(RECORD_JOB_PREFIX, id, NULL);
    /* The calls of one connection wait for one another. */
    kv_get(leader->inbox_reads[leader->inbox_fetches % INBOX_READ_COUNT], key,
           (struct kv_done){.call = on_job, .ctx = fetch});
    g_free(key);
}

/* Handles one message; true once its effect is stored. */
static bool
message_handled(struct leader *leader, const char *id,
                const struct kv_item *item)
{
    const struct job *job = scheduler_find_job(leader->sched, id);
    bool cancel = strcmp(item->value, INBOX_CANCEL) == 0;
    if (job == NULL && g_hash_table_contains(leader->inbox_obsolete, id)) {
        return true;
    }
    if (job == NULL) {
        fetch_job(leader, id, cancel);
        return false;
    }
    if (cancel) {
        scheduler_cancel(leader->sched, id);
    }
    return job->stored_version == job->version;
}

/* Messages that were not deleted are read and handled again. */
static void
on_deleted(void *ctx, const struct kv_result *result)
{
    (void)ctx;
    (void)result;
}

/** struct inbox_deletes - messages to delete in one transaction */
struct inbox_deletes {
    struct leader *leader;
    struct kv_condition conditions[DELETES_MAX + 1];
    const char *keys[DELETES_MAX];
    size_t n_keys;
    uint32_t n_sent;
};

static void
deletes_send(struct inbox_deletes *deletes)
{
    struct leader *leader = deletes->leader;
    if (deletes->n_keys == 0) {
        return;
    }
    deletes->conditions[0] = (struct kv_condition){.key = RECORD_LEADER_KEY,
                                                   .revision = leader->token};
    struct kv_txn txn = {
        .conditions = deletes->conditions,
        .n_conditions = deletes->n_keys + 1,
        .deletes = deletes->keys,
        .n_deletes = deletes->n_keys,
    };
    kv_commit(leader->inbox_reads[deletes->n_sent++ % INBOX_READ_COUNT], &txn,
              (struct kv_done){.call = on_deleted, .ctx = leader});
    deletes->n_keys = 0;
}

static void
deletes_add(struct inbox_deletes *deletes, const struct kv_item *item)
{
    deletes->conditions[deletes->n_keys + 1] =
        (struct kv_condition){.key = item->key, .revision = item->revision};
    deletes->keys[deletes->n_keys++] = item->key;
    if (deletes->n_keys == DELETES_MAX) {
        deletes_send(deletes);
    }
}

static void
read_page(struct leader *leader, const char *after);

static void
on_inbox(void *ctx, const struct kv_result *result)
{
    struct leader *leader = ctx;
    if (result->outcome != KV_OK) {
        leader->inbox_reading = false;
        next_pass(leader);
        return;
    }
    leader_update_validity(leader);
    struct inbox_deletes deletes = {.leader = leader};
    leader->inbox_pass.messages += result->items->len;
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        const char *id = item->key + strlen(RECORD_INBOX_PREFIX);
        if (item->value != NULL && message_handled(leader, id, item)) {
            deletes_add(&deletes, item);
        }
    }
    deletes_send(&deletes);
    if (result->items->len > 0) {
        leader_schedule_tick(leader);
    }
    /* A cancel may stand on any page. */
    if (result->has_more && result->items->len > 0) {
        const struct kv_item *last =
            g_ptr_array_index(result->items, result->items->len - 1);
        read_page(leader, last->key);
        return;
    }
    scheduler_cancels_read(leader->sched, leader->inbox_requested_ms);
    leader->inbox_known_ms = leader->inbox_requested_ms;
    leader->inbox_reading = false;
    next_pass(leader);
}

static void
read_page(struct leader *leader, const char *after)
{
    kv_range(leader->inbox, RECORD_INBOX_PREFIX, after,
             (struct kv_done){.call = on_inbox, .ctx = leader});
}

void
leader_read_inbox(struct leader *leader)
{
    leader->inbox_pass = (struct inbox_pass){0};
    leader->inbox_progress = false;
    leader->inbox_reading = true;
    leader->inbox_requested_ms = node_now(leader->node);
    read_page(leader, NULL);
}

int64_t
leader_inbox_age_ms(const struct leader *leader)
{
    return leader->inbox_known_ms == 0
               ? -1
               : node_now(leader->node) - leader->inbox_known_ms;
}
