#include "egretjobd/leadership.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/event_log.h"
#include "common/text.h"
#include "core/jobs/election_backoff.h"
#include "core/jobs/leader_fitness.h"
#include "egretjobd/config_feed.h"
#include "egretjobd/leader.h"
#include "egretjobd/loop_lag.h"
#include "egretjobd/records.h"
#include "egretjobd/store_route.h"
#include "platform/json_text.h"
#include "platform/kv.h"

enum {
    /* Limits how long jobs wait after the leader's host has failed. Several
     * renewals may fail before the lease expires. */
    LEADER_LEASE_TTL_MS = 3000,
    RENEW_INTERVAL_MS = 700,
    RENEW_RETRY_MS = 100,
    /* Renewals that may be open at once, each on its own connection. On a full
     * link one takes longer than the interval, and giving it up would lose
     * what is already on its way. */
    RENEWAL_COUNT = 4,
    RENEWAL_TIMEOUT_MS = 2800,
    /* Without a renewal for this long, the store counts as failing. */
    RENEWAL_OVERDUE_MS = 1300,
    CALL_TIMEOUT_MS = 900,
    WATCH_WAIT_MS = 1500,
    WATCH_TIMEOUT_MS = 2300,
    READ_RETRY_MS = 150,
    /* How often a host that yields looks whether there is a leader. */
    YIELD_READ_MS = 300,
    /* Drift of this host's clock against the store's: 2 % of the TTL. */
    CLOCK_DRIFT_MARGIN_MS = 60,
};

/**
 * enum leadership_state - state of this process
 * @LEADERSHIP_WATCHING: reads or watches the leader's record
 * @LEADERSHIP_CLAIMING: tries to write its own record
 * @LEADERSHIP_HELD: is the leader
 */
enum leadership_state {
    LEADERSHIP_WATCHING,
    LEADERSHIP_CLAIMING,
    LEADERSHIP_HELD,
};

/**
 * struct renewal - one connection for renewals
 * @sent_ms: when the open renewal was sent; 0: none is open
 */
struct renewal {
    struct leadership *leadership;
    struct kv *kv;
    int64_t sent_ms;
};

/**
 * struct leadership - state of the election in this process
 * @claim_value: value that this process last tried to write as the leader's
 *               record; unique for each attempt
 * @leader_peer: peer address of the leader, or NULL
 * @leader_node: name of the leader's process, or NULL
 * @record_revision: revision of the leader's record; 0: there is none
 * @lease: lease in the store to which the leader's record is attached
 * @valid_until_ms: no other process can be the leader before this time
 * @held_since_ms: when the leadership was won; answers to renewals of an
 *                 earlier one don't count
 * @renewed_ms: when the last successful renewal was sent
 * @token: fencing token of this process's leadership
 * @previous_token: fencing token of the previous leader
 * @handover_token: token of the leader that stored the last handover
 * @handover_lease_ms: longest lease that this leader had left open
 * @handover_left_ms: id of a backend server that it granted none to an
 *                    int64_t, how long earlier leases may still run there
 * @handover_revision: revision of the record of these; 0: there is none
 * @previous_lease_max_ms: longest lease that the previous leader granted or
 *                         inherited; 0: there was none
 * @term: number of the leadership that this process holds or would claim
 * @numbers_revision: revision of the record of reserved run numbers; 0: there
 *                    is none
 * @numbers_term: last term whose run numbers are reserved
 * @fitness: whether this host is fast enough to lead
 * @lag: how late the loop is, while this process is the leader
 * @idle_lag: how long the loop takes to have nothing left to do
 * @handovers: how often leadership was handed over because the host was slow
 */
struct leadership {
    struct node *node;
    struct kv *kv;
    struct kv *watch;
    struct event *timer;
    enum leadership_state state;
    char *claim_value;
    char *leader_peer;
    char *leader_node;
    uint32_t claim_count;
    int64_t record_revision;
    int64_t watch_after_revision;
    int64_t lease;
    int64_t lease_requested_ms;
    struct renewal renewals[RENEWAL_COUNT];
    int64_t valid_until_ms;
    int64_t held_since_ms;
    int64_t renewed_ms;
    int64_t token;
    int64_t term_revision;
    int64_t previous_token;
    int64_t handover_token;
    int64_t handover_lease_ms;
    GHashTable *handover_left_ms;
    int64_t handover_revision;
    int64_t previous_lease_max_ms;
    uint32_t term;
    int64_t numbers_revision;
    uint32_t numbers_term;
    bool watching;
    struct election_backoff backoff;
    bool call_in_flight;
    struct leader_fitness fitness;
    struct loop_lag *lag;
    struct loop_lag *idle_lag;
    uint64_t handovers;
};

static void
read_record(struct leadership *leadership);
static void
claim(struct leadership *leadership);

static void
read_record_later(struct leadership *leadership, int64_t delay_ms)
{
    leadership->state = LEADERSHIP_WATCHING;
    timer_set(leadership->timer, delay_ms);
}

static void
set_leader(struct leadership *leadership, const struct kv_item *item)
{
    g_free(leadership->leader_peer);
    g_free(leadership->leader_node);
    leadership->leader_peer = NULL;
    leadership->leader_node = NULL;
    leadership->record_revision = 0;
    if (item == NULL || item->deleted || item->value == NULL) {
        return;
    }
    cJSON *value = json_stored_read(item->value, item->value_bytes, NULL);
    leadership->leader_peer = g_strdup(json_text_get(value, "peer"));
    leadership->leader_node = g_strdup(json_text_get(value, "node"));
    leadership->record_revision = item->revision;
    cJSON_Delete(value);
}

/* There is no leader, or it is an earlier incarnation of this process. */
static bool
claimable(const struct leadership *leadership)
{
    return leadership->record_revision == 0 ||
           g_strcmp0(leadership->leader_node,
                     leadership->node->settings->node_name) == 0;
}

/* The term counts leaderships. */
static void
set_term(struct leadership *leadership, const struct kv_item *item)
{
    /* Each claim writes this record and the leader's in one transaction, so
     * its revision is the fencing token of the previous leader. */
    leadership->previous_token = item->revision;
    leadership->term_revision = item->revision;
    leader_fitness_term_seen(&leadership->fitness, node_now(leadership->node),
                             item->revision);
    char *rest = NULL;
    leadership->term = (uint32_t)g_ascii_strtoull(item->value, &rest, 10) + 1;
    int64_t lease_max_ms = g_ascii_strtoll(rest, NULL, 10);
    leadership->previous_lease_max_ms =
        lease_max_ms > 0 ? lease_max_ms : (int64_t)SCHED_ANY_LEASE_MAX_MS;
}

static void
set_handover(struct leadership *leadership, const struct kv_item *item)
{
    leadership->handover_revision = item->revision;
    leadership->handover_token =
        record_leases_decode(item->value, &leadership->handover_lease_ms,
                             leadership->handover_left_ms);
}

static void
set_run_numbers(struct leadership *leadership, const struct kv_item *item)
{
    leadership->numbers_revision = item->revision;
    leadership->numbers_term =
        (uint32_t)g_ascii_strtoull(item->value, NULL, 10);
}

static void
apply_records(struct leadership *leadership, const struct kv_result *result)
{
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        if (strcmp(item->key, RECORD_LEADER_KEY) == 0) {
            set_leader(leadership, item);
        }
        else if (strcmp(item->key, RECORD_TERM_KEY) == 0 &&
                 item->value != NULL) {
            set_term(leadership, item);
        }
        else if (strcmp(item->key, RECORD_HANDOVER_KEY) == 0 &&
                 item->value != NULL) {
            set_handover(leadership, item);
        }
        else if (strcmp(item->key, RECORD_RUN_NUMBERS_KEY) == 0 &&
                 item->value != NULL) {
            set_run_numbers(leadership, item);
        }
    }
    leadership->watch_after_revision =
        MAX(leadership->watch_after_revision, result->as_of);
}

static void
claim_or_watch(struct leadership *leadership);

static void
on_watch(void *ctx, const struct kv_result *result)
{
    struct leadership *leadership = ctx;
    leadership->watching = false;
    if (leadership->state != LEADERSHIP_WATCHING) {
        return;
    }
    if (result->outcome != KV_OK) {
        read_record_later(leadership, READ_RETRY_MS);
        return;
    }
    apply_records(leadership, result);
    if (leadership->record_revision == 0) {
        claim_or_watch(leadership);
        return;
    }
    /* A watch may miss a change, so the records are also read. */
    read_record_later(leadership, 0);
}

static void
watch_record(struct leadership *leadership)
{
    if (leadership->watching) {
        return;
    }
    leadership->watching = true;
    kv_watch(leadership->watch, RECORD_LEADERSHIP_PREFIX,
             leadership->watch_after_revision, WATCH_WAIT_MS,
             (struct kv_done){.call = on_watch, .ctx = leadership});
}

static void
on_record(void *ctx, const struct kv_result *result)
{
    struct leadership *leadership = ctx;
    leadership->call_in_flight = false;
    if (leadership->state != LEADERSHIP_WATCHING) {
        return;
    }
    if (result->outcome != KV_OK) {
        read_record_later(leadership, READ_RETRY_MS);
        return;
    }
    set_leader(leadership, NULL);
    apply_records(leadership, result);
    claim_or_watch(leadership);
}

static void
claim_or_watch(struct leadership *leadership)
{
    bool vacant = claimable(leadership) && !leadership->node->stopping;
    if (election_backoff_yields(&leadership->backoff, vacant,
                                node_now(leadership->node))) {
        read_record_later(leadership, YIELD_READ_MS);
        return;
    }
    int64_t delay_ms = 0;
    switch (election_backoff_next(
        &leadership->backoff, vacant, leadership->node->settings->cores,
        config_feed_strongest_cores(leadership->node->feed), g_random_double(),
        &delay_ms)) {
    case ELECTION_NONE:
        watch_record(leadership);
        break;
    case ELECTION_WAIT:
        /* No other process claims the record of an earlier incarnation of this
         * process, so no wait is needed. */
        read_record_later(leadership,
                          leadership->record_revision == 0 ? delay_ms : 0);
        break;
    case ELECTION_CAMPAIGN:
        claim(leadership);
        break;
    }
}

static void
read_record(struct leadership *leadership)
{
    if (leadership->call_in_flight) {
        return;
    }
    leadership->call_in_flight = true;
    kv_range(leadership->kv, RECORD_LEADERSHIP_PREFIX, NULL,
             (struct kv_done){.call = on_record, .ctx = leadership});
}

static void
become_leader(struct leadership *leadership, int64_t revision)
{
    leadership->state = LEADERSHIP_HELD;
    leadership->token = revision;
    leadership->record_revision = revision;
    leadership->renewed_ms = leadership->lease_requested_ms;
    leadership->held_since_ms = node_now(leadership->node);
    leadership->valid_until_ms = leadership->lease_requested_ms +
                                 LEADER_LEASE_TTL_MS - CLOCK_DRIFT_MARGIN_MS;
    leader_fitness_term_seen(&leadership->fitness, leadership->held_since_ms,
                             revision);
    leader_fitness_restart(&leadership->fitness);
    loop_lag_start(leadership->lag);
    loop_lag_start(leadership->idle_lag);
    event_log("duty_won", "\"token\":%" G_GINT64_FORMAT ",\"term\":%u",
              leadership->token, leadership->term);
    timer_set(leadership->timer, RENEW_INTERVAL_MS);
    leadership->node->leader = leader_create(
        leadership->node, leadership->token, leadership->term,
        leadership->numbers_revision, leadership->handover_revision);
}

static void
on_claim_read_back(void *ctx, const struct kv_result *result)
{
    struct leadership *leadership = ctx;
    const struct kv_item *item =
        result->outcome == KV_OK && result->items->len > 0
            ? g_ptr_array_index(result->items, 0)
            : NULL;
    if (item != NULL && g_strcmp0(item->value, leadership->claim_value) == 0) {
        become_leader(leadership, item->revision);
        return;
    }
    read_record_later(leadership, READ_RETRY_MS);
}

static void
on_claim(void *ctx, const struct kv_result *result)
{
    struct leadership *leadership = ctx;
    if (result->outcome == KV_OK) {
        become_leader(leadership, result->revision);
    }
    else if (result->outcome == KV_UNKNOWN) {
        kv_get(
            leadership->kv, RECORD_LEADER_KEY,
            (struct kv_done){.call = on_claim_read_back, .ctx = leadership});
    }
    else {
        read_record_later(leadership, READ_RETRY_MS);
    }
}

static void
commit_claim(struct leadership *leadership)
{
    const struct job_settings *settings = leadership->node->settings;
    GString *value = g_string_new("{\"node\":");
    text_add_json(value, settings->node_name);
    g_string_append(value, ",\"peer\":");
    text_add_json(value, settings->peer_address);
    g_string_append_printf(value, ",\"claim\":\"%d-%u\"}", (int)getpid(),
                           ++leadership->claim_count);
    g_free(leadership->claim_value);
    leadership->claim_value = g_string_free(value, FALSE);
    if (leadership->numbers_revision != 0) {
        leadership->term = MAX(leadership->term, leadership->numbers_term + 1);
    }
    char term[40];
    /* Longer leases of the previous leader may run as long as the next one
     * can tell. */
    g_snprintf(term, sizeof(term), "%u %" G_GINT64_FORMAT, leadership->term,
               MAX(sched_timings_lease_ms(&settings->timings),
                   leadership_inherited_lease_ms(leadership)));
    /* The previous leader may have written the last two since the records were
     * read. */
    struct kv_condition conditions[] = {
        {.key = RECORD_LEADER_KEY, .revision = leadership->record_revision},
        {.key = RECORD_TERM_KEY, .revision = leadership->term_revision},
        {.key = RECORD_RUN_NUMBERS_KEY,
         .revision = leadership->numbers_revision},
        {.key = RECORD_HANDOVER_KEY,
         .revision = leadership->handover_revision},
    };
    struct kv_put puts[] = {
        {.key = RECORD_LEADER_KEY,
         .value = leadership->claim_value,
         .lease = leadership->lease},
        {.key = RECORD_TERM_KEY, .value = term},
    };
    struct kv_txn txn = {
        .conditions = conditions,
        .n_conditions = G_N_ELEMENTS(conditions),
        .puts = puts,
        .n_puts = G_N_ELEMENTS(puts),
    };
    kv_commit(leadership->kv, &txn,
              (struct kv_done){.call = on_claim, .ctx = leadership});
}

static void
on_lease(void *ctx, const struct kv_result *result)
{
    struct leadership *leadership = ctx;
    if (result->outcome != KV_OK) {
        read_record_later(leadership, READ_RETRY_MS);
        return;
    }
    leadership->lease = result->lease;
    commit_claim(leadership);
}

static void
claim(struct leadership *leadership)
{
    leadership->state = LEADERSHIP_CLAIMING;
    leadership->lease_requested_ms = node_now(leadership->node);
    kv_lease_grant(leadership->kv, LEADER_LEASE_TTL_MS,
                   (struct kv_done){.call = on_lease, .ctx = leadership});
}

void
leadership_lose(struct leadership *leadership, const char *why)
{
    if (leadership->state != LEADERSHIP_HELD) {
        return;
    }
    event_log("duty_lost", "\"token\":%" G_GINT64_FORMAT ",\"why\":\"%s\"",
              leadership->token, why);
    leader_fitness_restart(&leadership->fitness);
    loop_lag_stop(leadership->lag);
    loop_lag_stop(leadership->idle_lag);
    struct leader *leader = leadership->node->leader;
    leadership->node->leader = NULL;
    leader_destroy(leader);
    set_leader(leadership, NULL);
    read_record_later(leadership, READ_RETRY_MS);
}

static void
on_released(void *ctx, const struct kv_result *result)
{
    (void)ctx;
    (void)result;
}

/* Stores for the next leader how long leases that this one granted may still
 * run. */
static void
store_handover(struct leadership *leadership, const char *value)
{
    struct kv_condition condition = {.key = RECORD_LEADER_KEY,
                                     .revision = leadership->token};
    struct kv_put put = {.key = RECORD_HANDOVER_KEY, .value = value};
    struct kv_txn txn = {
        .conditions = &condition,
        .n_conditions = 1,
        .puts = &put,
        .n_puts = 1,
    };
    kv_commit(leadership->kv, &txn,
              (struct kv_done){.call = on_released, .ctx = leadership});
}

static void
release(struct leadership *leadership, const char *why)
{
    int64_t lease = leadership->lease;
    char *leases = leader_open_leases(leadership->node->leader);
    leadership_lose(leadership, why);
    if (leases != NULL) {
        store_handover(leadership, leases);
    }
    g_free(leases);
    kv_lease_revoke(leadership->kv, lease,
                    (struct kv_done){.call = on_released, .ctx = leadership});
}

void
leadership_release(struct leadership *leadership)
{
    if (leadership->state == LEADERSHIP_HELD) {
        release(leadership, "released");
    }
}

/* Called with an answer of the store, so that a leader that can't reach the
 * store doesn't hand over. */
static void
judge_fitness(struct leadership *leadership)
{
    struct leader_fitness *fitness = &leadership->fitness;
    int64_t now_ms = node_now(leadership->node);
    struct lag_sample idle = loop_lag_take(leadership->idle_lag);
    if (leader_exhausted(leadership->node->leader)) {
        leader_fitness_exhausted(fitness, idle.mean_ms);
    }
    leader_fitness_lag(fitness, now_ms,
                       loop_lag_take(leadership->lag).worst_ms);
    if (leadership->node->stopping ||
        !leader_fitness_hand_over(fitness, now_ms)) {
        return;
    }
    event_log("leadership_handover",
              "\"why\":\"slow\",\"token\":%" G_GINT64_FORMAT
              ",\"samples\":%u,\"late_ms\":%" G_GINT64_FORMAT
              ",\"worst_lag_ms\":%" G_GINT64_FORMAT
              ",\"sustained_ms\":%" G_GINT64_FORMAT,
              leadership->token, fitness->late_samples,
              now_ms - fitness->late_since_ms, fitness->worst_lag_ms,
              leader_fitness_sustained_ms(fitness, now_ms));
    leadership->handovers++;
    election_backoff_slow(&leadership->backoff, now_ms);
    release(leadership, "slow");
}

static void
on_renewed(void *ctx, const struct kv_result *result)
{
    struct renewal *renewal = ctx;
    struct leadership *leadership = renewal->leadership;
    int64_t sent_ms = renewal->sent_ms;
    renewal->sent_ms = 0;
    if (leadership->state != LEADERSHIP_HELD ||
        sent_ms < leadership->held_since_ms) {
        return;
    }
    if (result->outcome == KV_NOT_FOUND) {
        leadership_lose(leadership, "lease expired");
        return;
    }
    if (result->outcome != KV_OK) {
        timer_set(leadership->timer, RENEW_RETRY_MS);
        return;
    }
    leader_renewal_delay(leadership->node->leader,
                         node_now(leadership->node) - sent_ms);
    /* Answers on different connections may overtake each other. */
    leadership->renewed_ms = MAX(leadership->renewed_ms, sent_ms);
    leadership->valid_until_ms =
        leadership->renewed_ms + LEADER_LEASE_TTL_MS - CLOCK_DRIFT_MARGIN_MS;
    judge_fitness(leadership);
}

static void
renew(struct leadership *leadership)
{
    timer_set(leadership->timer, RENEW_INTERVAL_MS);
    for (size_t i = 0; i < RENEWAL_COUNT; i++) {
        struct renewal *renewal = &leadership->renewals[i];
        if (renewal->sent_ms == 0) {
            renewal->sent_ms = node_now(leadership->node);
            kv_lease_renew(
                renewal->kv, leadership->lease,
                (struct kv_done){.call = on_renewed, .ctx = renewal});
            return;
        }
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct leadership *leadership = ctx;
    if (leadership->state == LEADERSHIP_HELD) {
        renew(leadership);
    }
    else if (leadership->state == LEADERSHIP_WATCHING) {
        read_record(leadership);
    }
}

struct leadership *
leadership_create(struct node *node)
{
    struct leadership *leadership = g_new0(struct leadership, 1);
    leadership->node = node;
    leadership->kv =
        kv_create(node->base, node->settings->store_address, CALL_TIMEOUT_MS,
                  store_route_any(node->store_route));
    leadership->watch =
        kv_create(node->base, node->settings->store_address, WATCH_TIMEOUT_MS,
                  store_route_any(node->store_route));
    for (size_t i = 0; i < RENEWAL_COUNT; i++) {
        leadership->renewals[i] = (struct renewal){
            .leadership = leadership,
            .kv = kv_create(node->base, node->settings->store_address,
                            RENEWAL_TIMEOUT_MS,
                            store_route_any(node->store_route)),
        };
    }
    leadership->timer = evtimer_new(node->base, on_timer, leadership);
    leadership->lag = loop_lag_create(node, LOOP_USUAL);
    leadership->idle_lag = loop_lag_create(node, LOOP_IDLE);
    leadership->handover_left_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    read_record_later(leadership, 0);
    return leadership;
}

void
leadership_destroy(struct leadership *leadership)
{
    if (leadership == NULL) {
        return;
    }
    event_free(leadership->timer);
    loop_lag_destroy(leadership->lag);
    loop_lag_destroy(leadership->idle_lag);
    kv_destroy(leadership->kv);
    for (size_t i = 0; i < RENEWAL_COUNT; i++) {
        kv_destroy(leadership->renewals[i].kv);
    }
    kv_destroy(leadership->watch);
    g_hash_table_unref(leadership->handover_left_ms);
    g_free(leadership->claim_value);
    g_free(leadership->leader_peer);
    g_free(leadership->leader_node);
    g_free(leadership);
}

bool
leadership_held(const struct leadership *leadership)
{
    return leadership->state == LEADERSHIP_HELD;
}

bool
leadership_valid(const struct leadership *leadership)
{
    return leadership->state == LEADERSHIP_HELD &&
           node_now(leadership->node) < leadership->valid_until_ms;
}

bool
leadership_renewal_overdue(const struct leadership *leadership)
{
    return node_now(leadership->node) - leadership->renewed_ms >
           RENEWAL_OVERDUE_MS;
}

int64_t
leadership_token(const struct leadership *leadership)
{
    return leadership->token;
}

uint64_t
leadership_handovers(const struct leadership *leadership)
{
    return leadership->handovers;
}

const char *
leadership_leader_address(const struct leadership *leadership)
{
    return leadership->leader_peer;
}

static bool
handed_over(const struct leadership *leadership)
{
    return leadership->handover_token != 0 &&
           leadership->handover_token == leadership->previous_token;
}

int64_t
leadership_inherited_lease_ms(const struct leadership *leadership)
{
    return handed_over(leadership) ? leadership->handover_lease_ms
                                   : leadership->previous_lease_max_ms;
}

bool
leadership_lease_left(const struct leadership *leadership, const char *id,
                      int64_t *left_ms)
{
    const int64_t *left =
        handed_over(leadership)
            ? g_hash_table_lookup(leadership->handover_left_ms, id)
            : NULL;
    if (left != NULL) {
        *left_ms = *left;
    }
    return left != NULL;
}
