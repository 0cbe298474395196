/*
 * Messages for the scheduler about jobs and cancels that another process
 * stored while it could not reach the leader. The inbox is polled, since a
 * watch may miss a change. A message is deleted once its effect is stored.
 */
#include "egretjobd/leader_inbox.h"

#include <string.h>

#include "common/event_log.h"
#include "core/jobs/inbox_view.h"
#include "egretjobd/records.h"
#include "leader_state.h"

enum {
    CALL_TIMEOUT_MS = 1500,
    /* For a listing after one without an answer: many messages, a full link or
     * a slow core may have held it up, rather than its connection. */
    PATIENT_TIMEOUT_MS = 6000,
    LIST_INTERVAL_MS = 500,
    /* After a listing with messages that weren't known yet. */
    LIST_INTERVAL_BUSY_MS = 100,
    /* Connections that read jobs and delete messages. */
    CONNECTION_COUNT = 8,
    /* Reads open at once; the calls of one connection wait for one another. */
    READS_OPEN_MAX = 32,
    /* Per transaction: a condition and a deletion for each message, and a
     * condition on the leader's record. */
    DELETES_MAX = 15,
    /* Listings that take longer, or find jobs that have waited longer, are
     * logged; others take some milliseconds. */
    LISTING_LATE_MS = 1000,
};

/**
 * struct inbox_read - a job that a message names and that has to be read
 * @serial: of the listing that found the message
 * @revision: of the message
 */
struct inbox_read {
    struct leader_inbox *inbox;
    char *id;
    uint32_t serial;
    int64_t revision;
};

/**
 * struct leader_inbox - the messages and what is known of them
 * @list: connection that lists them
 * @patient_list: the same, which waits longer
 * @patient: the last listing got no answer
 * @calls: connections for reads and deletions
 * @n_calls: calls sent on them
 * @timer: begins the next listing
 * @view: how recent the known jobs are
 * @unknown: the open listing, else the last one, found messages about jobs
 *           that weren't known
 * @reads: id of a job to its struct inbox_read, waiting or open
 * @waiting: struct inbox_read that aren't sent yet, oldest message first
 * @n_open: reads that are sent
 * @cancels: ids of unknown jobs that messages cancel
 * @unreadable: id of a job whose record can't be read to the revision of its
 *              message
 * @obsolete: id of a job that isn't stored to the revision of its message
 * @listing: figures of the last listing
 */
struct leader_inbox {
    struct leader *leader;
    struct kv *list;
    struct kv *patient_list;
    bool patient;
    struct kv *calls[CONNECTION_COUNT];
    uint32_t n_calls;
    struct event *timer;
    struct inbox_view view;
    bool unknown;
    GHashTable *reads;
    GQueue waiting;
    uint32_t n_open;
    GHashTable *cancels;
    GHashTable *unreadable;
    GHashTable *obsolete;
    struct inbox_stats listing;
};

/** struct inbox_deletes - messages to delete in one transaction */
struct inbox_deletes {
    struct leader_inbox *inbox;
    struct kv_condition conditions[DELETES_MAX + 1];
    const char *keys[DELETES_MAX];
    size_t n_keys;
};

static struct kv *
next_call(struct leader_inbox *inbox)
{
    return inbox->calls[inbox->n_calls++ % CONNECTION_COUNT];
}

/* Notes how long a job that was found has waited to be read. */
static void
note_age(struct leader_inbox *inbox, const char *id)
{
    struct leader *leader = inbox->leader;
    const struct job *job = scheduler_find_job(leader->sched, id);
    if (job != NULL) {
        int64_t age_ms =
            ms_clock_now(&leader->node->unix_clock) - job->accepted_unix_ms;
        inbox->listing.oldest_ms = MAX(inbox->listing.oldest_ms, age_ms);
    }
}

static void
read_free(void *data)
{
    struct inbox_read *read = data;
    g_free(read->id);
    g_free(read);
}

static void
send_reads(struct leader_inbox *inbox);

/* @known: the job is known, or certainly not stored. */
static void
read_finish(struct inbox_read *read, bool known)
{
    struct leader_inbox *inbox = read->inbox;
    inbox_view_read_done(&inbox->view, read->serial, known);
    g_hash_table_remove(inbox->reads, read->id);
}

static void
note_revision(GHashTable *revisions, const struct inbox_read *read)
{
    g_hash_table_replace(revisions, g_strdup(read->id),
                         g_memdup2(&read->revision, sizeof(read->revision)));
}

static void
on_read(void *ctx, const struct kv_result *result)
{
    struct inbox_read *read = ctx;
    struct leader_inbox *inbox = read->inbox;
    struct leader *leader = inbox->leader;
    bool found = result->outcome == KV_OK && result->items->len > 0;
    if (found) {
        leader_add_stored_job(leader, read->id,
                              g_ptr_array_index(result->items, 0));
        note_age(inbox, read->id);
        leader_schedule_tick(leader);
    }
    bool known = scheduler_find_job(leader->sched, read->id) != NULL;
    if (!known && found) {
        /* The message stays for a version that can read the job. */
        note_revision(inbox->unreadable, read);
        known = true;
    }
    else if (!known && result->outcome == KV_NOT_FOUND) {
        /* The message has outlived its job. */
        g_hash_table_remove(inbox->cancels, read->id);
        note_revision(inbox->obsolete, read);
        known = true;
    }
    inbox->n_open--;
    read_finish(read, known);
    send_reads(inbox);
}

static void
send_reads(struct leader_inbox *inbox)
{
    struct leader *leader = inbox->leader;
    while (inbox->n_open < READS_OPEN_MAX &&
           !g_queue_is_empty(&inbox->waiting)) {
        struct inbox_read *read = g_queue_pop_head(&inbox->waiting);
        if (scheduler_find_job(leader->sched, read->id) != NULL) {
            read_finish(read, true);
            continue;
        }
        inbox->n_open++;
        char *key = g_strconcat(RECORD_JOB_PREFIX, read->id, NULL);
        kv_get(next_call(inbox), key,
               (struct kv_done){.call = on_read, .ctx = read});
        g_free(key);
    }
}

static int
compare_age(const void *a, const void *b, void *ctx)
{
    (void)ctx;
    const struct inbox_read *first = a;
    const struct inbox_read *second = b;
    return first->revision < second->revision
               ? -1
               : first->revision > second->revision;
}

static void
add_read(struct leader_inbox *inbox, const char *id,
         const struct kv_item *item)
{
    struct inbox_read *read = g_hash_table_lookup(inbox->reads, id);
    if (read != NULL) {
        return;
    }
    read = g_new0(struct inbox_read, 1);
    *read = (struct inbox_read){
        .inbox = inbox,
        .id = g_strdup(id),
        .serial = inbox_view_read(&inbox->view),
        .revision = item->revision,
    };
    g_hash_table_insert(inbox->reads, read->id, read);
    g_queue_insert_sorted(&inbox->waiting, read, compare_age, NULL);
}

/* Adds the job whose record the message holds. */
static void
add_named_job(struct leader_inbox *inbox, const char *id,
              const struct kv_item *item)
{
    struct leader *leader = inbox->leader;
    if (strcmp(item->value, INBOX_JOB) == 0) {
        return;
    }
    struct job *job =
        leader_decode_job(leader, id, item->value, item->value_bytes);
    if (job == NULL) {
        return;
    }
    /* Records of finished jobs are deleted after the retention time; a message
     * that is still there then must not start its job again. */
    int64_t age_ms =
        ms_clock_now(&leader->node->unix_clock) - job->accepted_unix_ms;
    if (age_ms < leader->node->settings->timings.retention_ms / 2) {
        leader_add_job(leader, job);
        note_age(inbox, id);
    }
    job_unref(job);
}

static bool
has_revision(GHashTable *revisions, const char *id, const struct kv_item *item)
{
    const int64_t *revision = g_hash_table_lookup(revisions, id);
    return revision != NULL && *revision == item->revision;
}

/* Handles one message; true once its effect is stored. */
static bool
message_handled(struct leader_inbox *inbox, const char *id,
                const struct kv_item *item)
{
    struct scheduler *sched = inbox->leader->sched;
    bool cancel = strcmp(item->value, INBOX_CANCEL) == 0;
    if (scheduler_find_job(sched, id) == NULL) {
        if (has_revision(inbox->obsolete, id, item)) {
            return true;
        }
        if (has_revision(inbox->unreadable, id, item)) {
            return false;
        }
        inbox->unknown = true;
        if (cancel) {
            g_hash_table_add(inbox->cancels, g_strdup(id));
        }
        else {
            add_named_job(inbox, id, item);
        }
    }
    const struct job *job = scheduler_find_job(sched, id);
    if (job == NULL) {
        add_read(inbox, id, item);
        return false;
    }
    if (cancel) {
        scheduler_cancel(sched, id);
    }
    return job->stored_version == job->version;
}

/* Messages that were not deleted are listed and handled again. */
static void
on_deleted(void *ctx, const struct kv_result *result)
{
    (void)ctx;
    (void)result;
}

static void
deletes_send(struct inbox_deletes *deletes)
{
    struct leader_inbox *inbox = deletes->inbox;
    if (deletes->n_keys == 0) {
        return;
    }
    deletes->conditions[0] = (struct kv_condition){
        .key = RECORD_LEADER_KEY, .revision = inbox->leader->token};
    struct kv_txn txn = {
        .conditions = deletes->conditions,
        .n_conditions = deletes->n_keys + 1,
        .deletes = deletes->keys,
        .n_deletes = deletes->n_keys,
    };
    kv_commit(next_call(inbox), &txn,
              (struct kv_done){.call = on_deleted, .ctx = inbox});
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
handle_messages(struct leader_inbox *inbox, const GPtrArray *items)
{
    struct inbox_deletes deletes = {.inbox = inbox};
    inbox->listing.messages += items->len;
    for (guint i = 0; i < items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(items, i);
        const char *id = item->key + strlen(RECORD_INBOX_PREFIX);
        if (item->value != NULL && message_handled(inbox, id, item)) {
            deletes_add(&deletes, item);
        }
    }
    deletes_send(&deletes);
    send_reads(inbox);
    if (items->len > 0) {
        leader_schedule_tick(inbox->leader);
    }
}

static void
begin_listing(struct leader_inbox *inbox, int64_t requested_ms)
{
    inbox->unknown = false;
    inbox->listing.messages = 0;
    inbox_view_begin(&inbox->view, requested_ms);
}

/* Logs a listing that was late or found jobs late. */
static void
end_listing(struct leader_inbox *inbox)
{
    struct inbox_stats *listing = &inbox->listing;
    struct leader *leader = inbox->leader;
    listing->listing_ms = node_now(leader->node) - inbox->view.begun_ms;
    listing->reads = g_hash_table_size(inbox->reads);
    if (listing->listing_ms >= LISTING_LATE_MS ||
        listing->oldest_ms >= LISTING_LATE_MS) {
        event_log("inbox_pass",
                  "\"took_ms\":%" G_GINT64_FORMAT ",\"messages\":%u,"
                  "\"reads\":%u,\"oldest_ms\":%" G_GINT64_FORMAT
                  ",\"age_ms\":%" G_GINT64_FORMAT,
                  listing->listing_ms, listing->messages, listing->reads,
                  listing->oldest_ms, leader_inbox_age_ms(inbox));
    }
    listing->oldest_ms = 0;
    inbox_view_end(&inbox->view, true);
    scheduler_cancels_read(leader->sched, inbox->view.begun_ms);
}

static void
list_page(struct leader_inbox *inbox, const char *after);

static void
on_page(void *ctx, const struct kv_result *result)
{
    struct leader_inbox *inbox = ctx;
    if (result->outcome != KV_OK) {
        inbox_view_end(&inbox->view, false);
        inbox->patient = !inbox->patient && result->outcome == KV_UNKNOWN;
        timer_set(inbox->timer, LIST_INTERVAL_MS);
        return;
    }
    leader_update_validity(inbox->leader);
    handle_messages(inbox, result->items);
    /* A cancel may stand on any page. */
    if (result->has_more && result->items->len > 0) {
        const struct kv_item *last =
            g_ptr_array_index(result->items, result->items->len - 1);
        list_page(inbox, last->key);
        return;
    }
    end_listing(inbox);
    inbox->patient = false;
    timer_set(inbox->timer,
              inbox->unknown ? LIST_INTERVAL_BUSY_MS : LIST_INTERVAL_MS);
}

static void
list_page(struct leader_inbox *inbox, const char *after)
{
    kv_range(inbox->patient ? inbox->patient_list : inbox->list,
             RECORD_INBOX_PREFIX, after,
             (struct kv_done){.call = on_page, .ctx = inbox});
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct leader_inbox *inbox = ctx;
    begin_listing(inbox, node_now(inbox->leader->node));
    list_page(inbox, NULL);
}

struct leader_inbox *
leader_inbox_create(struct leader *leader)
{
    struct leader_inbox *inbox = g_new0(struct leader_inbox, 1);
    struct node *node = leader->node;
    const char *store = node->settings->store_address;
    inbox->leader = leader;
    inbox->list = kv_create(node->base, store, CALL_TIMEOUT_MS,
                            store_route_any(node->store_route));
    inbox->patient_list = kv_create(node->base, store, PATIENT_TIMEOUT_MS,
                                    store_route_any(node->store_route));
    /* Starts wait for the cancels in it. */
    kv_set_urgent(inbox->list);
    kv_set_urgent(inbox->patient_list);
    for (size_t i = 0; i < CONNECTION_COUNT; i++) {
        inbox->calls[i] = kv_create(node->base, store, CALL_TIMEOUT_MS,
                                    store_route_any(node->store_route));
    }
    inbox->timer = evtimer_new(node->base, on_timer, inbox);
    inbox->reads =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, read_free);
    g_queue_init(&inbox->waiting);
    inbox->cancels =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    inbox->unreadable =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    inbox->obsolete =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return inbox;
}

void
leader_inbox_destroy(struct leader_inbox *inbox)
{
    event_free(inbox->timer);
    kv_destroy(inbox->list);
    kv_destroy(inbox->patient_list);
    for (size_t i = 0; i < CONNECTION_COUNT; i++) {
        kv_destroy(inbox->calls[i]);
    }
    g_queue_clear(&inbox->waiting);
    g_hash_table_unref(inbox->reads);
    g_hash_table_unref(inbox->cancels);
    g_hash_table_unref(inbox->unreadable);
    g_hash_table_unref(inbox->obsolete);
    g_free(inbox);
}

void
leader_inbox_start(struct leader_inbox *inbox, const GPtrArray *items,
                   int64_t jobs_requested_ms, int64_t requested_ms)
{
    inbox_view_loaded(&inbox->view, jobs_requested_ms);
    begin_listing(inbox, requested_ms);
    handle_messages(inbox, items);
    end_listing(inbox);
    timer_set(inbox->timer, 0);
}

void
leader_inbox_job_added(struct leader_inbox *inbox, const char *id)
{
    if (g_hash_table_remove(inbox->cancels, id)) {
        scheduler_cancel(inbox->leader->sched, id);
    }
}

int64_t
leader_inbox_age_ms(const struct leader_inbox *inbox)
{
    return inbox_view_age_ms(&inbox->view, node_now(inbox->leader->node));
}

void
leader_inbox_stats(const struct leader_inbox *inbox, struct inbox_stats *stats)
{
    *stats = inbox->listing;
    stats->reads = g_hash_table_size(inbox->reads);
    stats->age_ms = leader_inbox_age_ms(inbox);
}
