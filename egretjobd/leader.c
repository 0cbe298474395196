#include "leader_state.h"

#include <string.h>

#include "common/event_log.h"
#include "common/text.h"
#include "egretjobd/acceptor.h"
#include "egretjobd/config_feed.h"
#include "egretjobd/job_queries.h"
#include "egretjobd/leadership.h"
#include "egretjobd/records.h"
#include "egretjobd/store_route.h"
#include "platform/decode.h"

enum {
    READ_TIMEOUT_MS = 1500,
    WRITE_TIMEOUT_MS = 1200,
    BACKEND_WATCH_TIMEOUT_MS = 2000,
    /* Events within this time are handled by one scheduling pass. */
    TICK_DELAY_MS = 6,
    TICK_DELAY_PER_PASS = 5,
    TICK_DELAY_MAX_MS = 50,
    HOST_LIST_INTERVAL_MS = 1000,
    HOST_LIST_INTERVAL_SHED_MS = 3000,
    /* A scheduling pass that begins this late is logged, at most once in
     * LATE_LOG_INTERVAL_MS. */
    LOOP_LATE_MS = 200,
    LATE_LOG_INTERVAL_MS = 1000,
    /* A queue's length may be this old. */
    QUEUE_LENGTH_AGE_MAX_MS = 2000,
    /* A listing of the inbox is due each half second. */
    QUEUE_LENGTH_RETRY_AFTER_MS = 500,
};

void
leader_update_validity(struct leader *leader)
{
    struct leadership *leadership = leader->node->leadership;
    scheduler_set_leadership_valid(leader->sched,
                                   leadership_valid(leadership));
    scheduler_set_outage(leader->sched,
                         leadership_renewal_overdue(leadership));
}

static void
set_tick(struct leader *leader, int64_t delay_ms)
{
    leader->tick_due_ms = node_now(leader->node) + delay_ms;
    timer_set(leader->tick_timer, delay_ms);
}

void
leader_schedule_tick(struct leader *leader)
{
    if (leader->tick_scheduled || leader->stage < STAGE_READY) {
        return;
    }
    leader->tick_scheduled = true;
    set_tick(leader, leader->tick_delay_ms);
}

static void
log_late_pass(struct leader *leader, int64_t begin_ms, int64_t pass_ms)
{
    int64_t lag_ms = begin_ms - leader->tick_due_ms;
    if (lag_ms < LOOP_LATE_MS ||
        begin_ms - leader->late_logged_ms < LATE_LOG_INTERVAL_MS) {
        return;
    }
    leader->late_logged_ms = begin_ms;
    event_log("leader_late",
              "\"lag_ms\":%" G_GINT64_FORMAT ",\"pass_ms\":%" G_GINT64_FORMAT,
              lag_ms, pass_ms);
}

static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct leader *leader = ctx;
    leader->tick_scheduled = false;
    if (leader->stage < STAGE_READY) {
        return;
    }
    leader_update_validity(leader);
    int64_t begin_ms = node_now(leader->node);
    scheduler_loop_lag(leader->sched, begin_ms - leader->tick_due_ms);
    int64_t next_ms = scheduler_tick(leader->sched);
    /* Passes take a bounded fraction of a slow core. */
    int64_t pass_ms = node_now(leader->node) - begin_ms;
    log_late_pass(leader, begin_ms, pass_ms);
    leader->tick_delay_ms =
        CLAMP(pass_ms * TICK_DELAY_PER_PASS, TICK_DELAY_MS, TICK_DELAY_MAX_MS);
    if (scheduler_fenced(leader->sched)) {
        leadership_lose(leader->node->leadership,
                        "a backend server has seen a newer fencing token");
        return;
    }
    leader_store_changes(leader);
    leader_reserve_run_numbers(leader);
    leader_store_leases(leader);
    host_commands_flush(leader->host_commands);
    leader_store_wave_status(leader);
    if (!leader->tick_scheduled) {
        set_tick(leader, MAX(next_ms - node_now(leader->node), 1));
    }
}

static void
on_watch_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    leader_watch_backends(ctx);
}

static void
on_store_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    leader_store_changes(ctx);
}

static void
on_hosts_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct leader *leader = ctx;
    int64_t now_ms = node_now(leader->node);
    if (hosts_api_list(leader->hosts)) {
        leader->hosts_requested_ms = now_ms;
    }
    leader_drop_unused_clients(leader);
    struct sched_stats stats;
    scheduler_stats(leader->sched, &stats);
    timer_set(leader->hosts_timer, stats.shed >= SHED_HOST_MOVES
                                       ? HOST_LIST_INTERVAL_SHED_MS
                                       : HOST_LIST_INTERVAL_MS);
}

static void
on_hosts(void *ctx, const struct host_info *hosts, size_t n_hosts)
{
    struct leader *leader = ctx;
    if (hosts != NULL) {
        leader_update_validity(leader);
        scheduler_hosts_read(leader->sched, hosts, n_hosts,
                             leader->hosts_requested_ms);
    }
}

static void
on_host_command(void *ctx, const char *host, int64_t wave,
                enum host_command_result answer)
{
    struct leader *leader = ctx;
    leader_update_validity(leader);
    scheduler_on_host_command(leader->sched, host, wave, answer);
    leader_schedule_tick(leader);
}

static void
on_advice(void *ctx, const struct advice_answer *answer)
{
    struct leader *leader = ctx;
    leader_update_validity(leader);
    scheduler_on_advice(leader->sched, answer);
    leader_schedule_tick(leader);
}

static void
client_destroy(void *data)
{
    backend_client_destroy(data);
}

struct leader *
leader_create(struct node *node, int64_t token, uint32_t term,
              int64_t numbers_revision, int64_t leases_revision)
{
    struct leader *leader = g_new0(struct leader, 1);
    const char *store = node->settings->store_address;
    leader->node = node;
    leader->token = token;
    leader->numbers_revision = numbers_revision;
    leader->leases_revision = leases_revision;
    leader->tick_delay_ms = TICK_DELAY_MS;
    leader->reads = kv_create(node->base, store, READ_TIMEOUT_MS,
                              store_route_any(node->store_route));
    leader->writes = kv_create(node->base, store, WRITE_TIMEOUT_MS,
                               store_route_any(node->store_route));
    for (size_t i = 0; i < PROGRESS_TXN_COUNT; i++) {
        leader->progress_txns[i] = (struct progress_txn){
            .leader = leader,
            .committer = committer_create(node->base, store, WRITE_TIMEOUT_MS,
                                          store_route_any(node->store_route)),
        };
    }
    leader->backend_watch =
        kv_create(node->base, store, BACKEND_WATCH_TIMEOUT_MS,
                  store_route_any(node->store_route));
    leader->inbox = leader_inbox_create(leader);
    struct hosts_callbacks events = {
        .on_list = on_hosts,
        .may_command = host_commands_allowed,
        .on_command = on_host_command,
        .ctx = leader,
    };
    leader->hosts =
        hosts_api_create(node->base, node->settings->host_api_address,
                         node->settings->node_name, &events);
    if (node->settings->advice_address != NULL) {
        leader->advice = advice_api_create(
            node->base, node->settings->advice_address,
            (struct advice_callback){.call = on_advice, .ctx = leader});
    }
    leader->tick_timer = evtimer_new(node->base, on_tick, leader);
    leader->watch_timer = evtimer_new(node->base, on_watch_timer, leader);
    leader->hosts_timer = evtimer_new(node->base, on_hosts_timer, leader);
    leader->store_timer = evtimer_new(node->base, on_store_timer, leader);
    leader->backend_clients =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, client_destroy);
    leader->progress = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             kv_item_destroy);
    leader->early_jobs = g_ptr_array_new_with_free_func(kv_item_destroy);
    leader->listed_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    leader->unusable_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    leader->cancels = g_ptr_array_new();
    leader->wave_status =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    leader->wave_revisions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct sched_ops ops = leader_ops(leader);
    leader->sched = scheduler_create(&node->settings->timings, &ops, term,
                                     node->clock, node->unix_clock);
    scheduler_set_policy(leader->sched, &node->settings->policy);
    leader->host_commands = host_commands_create(leader);
    leader_load_records(leader);
    timer_set(leader->hosts_timer, 0);
    return leader;
}

static void
answer_pending_cancels(struct leader *leader)
{
    for (guint i = 0; i < leader->cancels->len; i++) {
        struct cancel_waiter *waiter = g_ptr_array_index(leader->cancels, i);
        struct job_answer answer = {.status = JOB_ANSWER_USE_STORE};
        waiter->reply.call(waiter->reply.ctx, &answer);
        job_unref(waiter->job);
        g_free(waiter);
    }
    g_ptr_array_unref(leader->cancels);
}

void
leader_destroy(struct leader *leader)
{
    if (leader == NULL) {
        return;
    }
    struct event *timers[] = {
        leader->tick_timer,
        leader->watch_timer,
        leader->hosts_timer,
        leader->store_timer,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(timers); i++) {
        event_free(timers[i]);
    }
    answer_pending_cancels(leader);
    kv_destroy(leader->reads);
    kv_destroy(leader->writes);
    kv_destroy(leader->backend_watch);
    leader_inbox_destroy(leader->inbox);
    leader_load_destroy(leader);
    hosts_api_destroy(leader->hosts);
    advice_api_destroy(leader->advice);
    host_commands_destroy(leader->host_commands);
    g_hash_table_unref(leader->backend_clients);
    g_hash_table_unref(leader->progress);
    g_ptr_array_unref(leader->early_jobs);
    g_hash_table_unref(leader->listed_ids);
    g_hash_table_unref(leader->unusable_ids);
    g_hash_table_unref(leader->wave_status);
    g_hash_table_unref(leader->wave_revisions);
    g_free(leader->wave_status_sent);
    for (size_t i = 0; i < PROGRESS_TXN_COUNT; i++) {
        committer_destroy(leader->progress_txns[i].committer);
        if (leader->progress_txns[i].batch != NULL) {
            scheduler_batch_stored(leader->sched,
                                   leader->progress_txns[i].batch, false, 0);
        }
    }
    scheduler_destroy(leader->sched);
    g_free(leader);
}

bool
leader_ready(const struct leader *leader)
{
    return leader != NULL && leader->stage == STAGE_READY;
}

void
leader_config_changed(struct leader *leader)
{
    if (leader == NULL) {
        return;
    }
    scheduler_configure(leader->sched,
                        config_feed_current(leader->node->feed));
    leader_schedule_tick(leader);
}

void
leader_operator_records_changed(struct leader *leader)
{
    if (leader == NULL) {
        return;
    }
    scheduler_set_out_of_service(
        leader->sched, config_feed_out_of_service(leader->node->feed));
    const GPtrArray *waves = config_feed_waves(leader->node->feed);
    for (guint i = 0; i < waves->len; i++) {
        scheduler_wave_set(leader->sched, g_ptr_array_index(waves, i));
    }
}

void
leader_job_stored(struct leader *leader, const char *id, const char *value,
                  size_t bytes)
{
    if (leader->stage < STAGE_READY) {
        /* Held back until the records are read: the job may have been
         * submitted before and have a progress record. */
        struct kv_item early = {
            .key = (char *)id, .value = (char *)value, .value_bytes = bytes};
        g_ptr_array_add(leader->early_jobs, kv_item_copy(&early));
        return;
    }
    if (scheduler_find_job(leader->sched, id) != NULL) {
        return;
    }
    struct job *job = leader_decode_job(leader, id, value, bytes);
    if (job == NULL) {
        return;
    }
    leader_add_job(leader, job);
    char *steps = job_describe(job);
    event_log("job_accepted",
              "\"job\":\"%s\",\"queue\":%s,\"pool\":%s,\"team\":%s,"
              "\"chain_ms\":%" G_GINT64_FORMAT ",\"steps\":\"%s\"",
              id, text_quote(job->queue), text_quote(job->pool),
              text_quote(job->team), job_critical_path_ms(job), steps);
    g_free(steps);
    job_unref(job);
    leader_schedule_tick(leader);
}

void
leader_add_early_jobs(struct leader *leader)
{
    for (guint i = 0; i < leader->early_jobs->len; i++) {
        const struct kv_item *item = g_ptr_array_index(leader->early_jobs, i);
        leader_job_stored(leader, item->key, item->value, item->value_bytes);
    }
    g_ptr_array_set_size(leader->early_jobs, 0);
}

static void
reply_with(const struct job_reply *reply, int status, const char *body)
{
    struct job_answer answer = {.status = status, .body = body};
    reply->call(reply->ctx, &answer);
}

bool
leader_explain(struct leader *leader, struct job *job,
               struct job_explanation *explanation)
{
    return leader_ready(leader) &&
           scheduler_explain(leader->sched, job, explanation);
}

/* Whether a new job is refused, because this process sheds new jobs or because
 * the job would finish too late to be of use. */
static bool
refuse_job(struct leader *leader, const struct job_call *call,
           struct job_answer *refusal)
{
    if (scheduler_refuses_jobs(leader->sched, &refusal->retry_after_ms)) {
        refusal->status = 503;
        return true;
    }
    if (!scheduler_pool_behind(leader->sched, call->pool)) {
        return false;
    }
    char *error = NULL;
    struct job *job = decode_job(call->body, call->body_bytes, &error);
    if (job == NULL) {
        g_free(error);
        return false;
    }
    job->queue = g_strdup(call->queue);
    job->team = g_strdup(call->team);
    refusal->status = 429;
    refusal->retry_after_ms =
        scheduler_refusal_ms(leader->sched, call->pool, job);
    job_unref(job);
    if (refusal->retry_after_ms == 0) {
        return false;
    }
    event_log("job_refused",
              "\"job\":\"%s\",\"queue\":%s,"
              "\"retry_after_ms\":%" G_GINT64_FORMAT,
              call->id, text_quote(call->queue), refusal->retry_after_ms);
    return true;
}

static void
handle_submit(struct leader *leader, const struct job_call *call,
              struct job_reply reply)
{
    const struct job *known = scheduler_find_job(leader->sched, call->id);
    if (known != NULL && !known->tombstone) {
        reply_with(&reply, 200, NULL);
        return;
    }
    struct job_answer refusal = {0};
    if (refuse_job(leader, call, &refusal)) {
        acceptor_refuse(leader->node->acceptor, call, reply, &refusal);
        return;
    }
    acceptor_submit(leader->node->acceptor, call, reply);
}

static void
handle_state(struct leader *leader, const struct job_call *call,
             struct job_reply reply)
{
    const struct job *job = scheduler_find_job(leader->sched, call->id);
    if (job == NULL && call->forwarded) {
        reply_with(&reply, JOB_ANSWER_USE_STORE, NULL);
        return;
    }
    if (job == NULL || job->tombstone ||
        strcmp(job->queue, call->queue) != 0) {
        job_queries_state(leader->node->job_queries, call->id, reply);
        return;
    }
    /* A final state is reported only once it is stored. */
    bool stored = job->stored_version == job->version;
    enum job_state state =
        stored || job->state == JOB_ACTIVE ? job->state : JOB_ACTIVE;
    reply_with(&reply, 200, encode_job_state(state, job->started));
}

static void
handle_cancel(struct leader *leader, const struct job_call *call,
              struct job_reply reply)
{
    struct job *job = scheduler_find_job(leader->sched, call->id);
    if (job == NULL && call->forwarded) {
        reply_with(&reply, JOB_ANSWER_USE_STORE, NULL);
        return;
    }
    if (job == NULL) {
        job_queries_cancel(leader->node->job_queries, call, reply);
        return;
    }
    if (job->tombstone) {
        reply_with(&reply, 410, NULL);
        return;
    }
    scheduler_cancel(leader->sched, call->id);
    if (job->stored_version == job->version) {
        reply_with(&reply, 200, NULL);
        return;
    }
    struct cancel_waiter *waiter = g_new0(struct cancel_waiter, 1);
    waiter->job = job_ref(job);
    waiter->reply = reply;
    g_ptr_array_add(leader->cancels, waiter);
    leader_store_changes(leader);
}

/* Answers only with a number that counts the jobs that other entry hosts have
 * accepted; the caller returns once their messages are read. */
static void
handle_queue_length(struct leader *leader, const struct job_call *call,
                    struct job_reply reply)
{
    int64_t age_ms = leader_inbox_age_ms(leader->inbox);
    if (age_ms < 0 || age_ms > QUEUE_LENGTH_AGE_MAX_MS) {
        struct job_answer refusal = {
            .status = 503, .retry_after_ms = QUEUE_LENGTH_RETRY_AFTER_MS};
        event_log("queue_length_unknown",
                  "\"queue\":%s,\"inbox_age_ms\":%" G_GINT64_FORMAT,
                  text_quote(call->queue), age_ms);
        reply.call(reply.ctx, &refusal);
        return;
    }
    char *body =
        encode_queue_length(scheduler_waiting(leader->sched, call->queue));
    reply_with(&reply, 200, body);
    g_free(body);
}

void
leader_handle_call(struct leader *leader, const struct job_call *call,
                   struct job_reply reply)
{
    if (!leader_ready(leader) || !leadership_valid(leader->node->leadership)) {
        reply_with(&reply, JOB_ANSWER_USE_STORE, NULL);
        return;
    }
    leader_update_validity(leader);
    switch (call->kind) {
    case JOB_CALL_SUBMIT:
        handle_submit(leader, call, reply);
        break;
    case JOB_CALL_STATE:
        handle_state(leader, call, reply);
        break;
    case JOB_CALL_CANCEL:
        handle_cancel(leader, call, reply);
        break;
    case JOB_CALL_QUEUE_LENGTH:
        handle_queue_length(leader, call, reply);
        break;
    }
}

void
leader_renewal_delay(struct leader *leader, int64_t delay_ms)
{
    if (leader != NULL) {
        scheduler_renewal_delay(leader->sched, delay_ms);
    }
}

bool
leader_exhausted(const struct leader *leader)
{
    return leader != NULL && scheduler_exhausted(leader->sched);
}

char *
leader_open_leases(struct leader *leader)
{
    if (!leader_ready(leader)) {
        /* Those of the previous leader aren't known yet. */
        return NULL;
    }
    struct open_leases *leases = scheduler_open_leases(leader->sched, true);
    char *record = record_leases_encode(leader->token, leases);
    open_leases_destroy(leases);
    return record;
}

void
leader_stats(const struct leader *leader, struct sched_stats *stats,
             struct inbox_stats *inbox)
{
    *stats = (struct sched_stats){0};
    *inbox = (struct inbox_stats){.age_ms = -1};
    if (leader != NULL) {
        scheduler_stats(leader->sched, stats);
        leader_inbox_stats(leader->inbox, inbox);
    }
}
