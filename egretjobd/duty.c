#include "egretjobd/duty.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/event_log.h"
#include "core/jobs/claim_turn.h"
#include "egretjobd/leader.h"
#include "egretjobd/records.h"
#include "egretjobd/store_path.h"
#include "platform/json_text.h"
#include "platform/kv.h"

enum {
    /* Bounds how long work waits after a holder's host is gone; several
     * renewals may fail before it ends. */
    DUTY_TTL_MS = 3000,
    RENEW_MS = 700,
    RENEW_RETRY_MS = 100,
    /* Without a renewal for this long the store is taken to be in trouble. */
    TROUBLE_MS = 1300,
    CALL_TIMEOUT_MS = 900,
    WATCH_MS = 1500,
    WATCH_TIMEOUT_MS = 2300,
    LOOK_RETRY_MS = 150,
    /* Our clock against the store's: 2 % over the time to live. */
    TTL_MARGIN_MS = 60,
};

enum duty_state {
    DUTY_LOOKING,
    DUTY_CLAIMING,
    DUTY_HELD,
};

struct duty {
    struct node *node;
    struct kv *kv;
    struct kv *watch;
    struct event *timer;
    enum duty_state state;
    char *claim_value;
    char *holder_peer;
    char *holder_node;
    uint32_t claims;
    int64_t revision;
    int64_t watch_from;
    int64_t lease;
    int64_t lease_sent_ms;
    int64_t renew_sent_ms;
    int64_t valid_until_ms;
    int64_t renewed_ms;
    int64_t token;
    int64_t term_revision;
    int64_t token_before;
    int64_t handover_token;
    int64_t handover_lease_ms;
    uint32_t term;
    bool watching;
    struct claim_turn turn;
    bool call_in_flight;
};

static void
look(struct duty *duty);
static void
claim(struct duty *duty);

static void
look_later(struct duty *duty, int64_t delay_ms)
{
    duty->state = DUTY_LOOKING;
    timer_set(duty->timer, delay_ms);
}

static void
set_holder(struct duty *duty, const struct kv_item *item)
{
    g_free(duty->holder_peer);
    g_free(duty->holder_node);
    duty->holder_peer = NULL;
    duty->holder_node = NULL;
    duty->revision = 0;
    if (item == NULL || item->deleted || item->value == NULL) {
        return;
    }
    cJSON *value = cJSON_ParseWithLength(item->value, item->value_bytes);
    duty->holder_peer = g_strdup(json_text_get(value, "peer"));
    duty->holder_node = g_strdup(json_text_get(value, "node"));
    duty->revision = item->revision;
    cJSON_Delete(value);
}

/* The duty is free, or held by an earlier incarnation of this very process. */
static bool
claimable(const struct duty *duty)
{
    return duty->revision == 0 ||
           g_strcmp0(duty->holder_node, duty->node->boot->node) == 0;
}

/* Counts takeovers; read along with the holder. */
static void
set_term(struct duty *duty, const struct kv_item *item)
{
    /* The record is written with each claim, so it has its token. */
    duty->token_before = item->revision;
    duty->term_revision = item->revision;
    duty->term = (uint32_t)g_ascii_strtoull(item->value, NULL, 10) + 1;
}

static void
set_handover(struct duty *duty, const struct kv_item *item)
{
    char *rest = NULL;
    duty->handover_token = g_ascii_strtoll(item->value, &rest, 10);
    duty->handover_lease_ms = g_ascii_strtoll(rest, NULL, 10);
}

static void
take_items(struct duty *duty, const struct kv_result *result)
{
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        if (strcmp(item->key, RECORD_DUTY_KEY) == 0) {
            set_holder(duty, item);
        }
        else if (strcmp(item->key, RECORD_TERM_KEY) == 0 &&
                 item->value != NULL) {
            set_term(duty, item);
        }
        else if (strcmp(item->key, RECORD_HANDOVER_KEY) == 0 &&
                 item->value != NULL) {
            set_handover(duty, item);
        }
    }
    duty->watch_from = MAX(duty->watch_from, result->as_of);
}

static void
claim_or_watch(struct duty *duty);

static void
on_watch(void *ctx, const struct kv_result *result)
{
    struct duty *duty = ctx;
    duty->watching = false;
    if (duty->state != DUTY_LOOKING) {
        return;
    }
    if (result->outcome != KV_OK) {
        look_later(duty, LOOK_RETRY_MS);
        return;
    }
    take_items(duty, result);
    if (duty->revision == 0) {
        claim_or_watch(duty);
        return;
    }
    /* Reads the record as well: a watch may have missed a change. */
    look_later(duty, 0);
}

static void
watch(struct duty *duty)
{
    if (duty->watching) {
        return;
    }
    duty->watching = true;
    kv_watch(duty->watch, RECORD_DUTY_PREFIX, duty->watch_from, WATCH_MS,
             (struct kv_done){.call = on_watch, .ctx = duty});
}

static void
on_look(void *ctx, const struct kv_result *result)
{
    struct duty *duty = ctx;
    duty->call_in_flight = false;
    if (duty->state != DUTY_LOOKING) {
        return;
    }
    if (result->outcome != KV_OK) {
        look_later(duty, LOOK_RETRY_MS);
        return;
    }
    set_holder(duty, NULL);
    take_items(duty, result);
    claim_or_watch(duty);
}

static void
claim_or_watch(struct duty *duty)
{
    int64_t delay_ms = 0;
    switch (claim_turn_next(
        &duty->turn, claimable(duty) && !duty->node->leaving,
        duty->node->boot->cores, g_random_double(), &delay_ms)) {
    case CLAIM_LEAVE:
        watch(duty);
        break;
    case CLAIM_WAIT:
        /* An earlier incarnation's duty of this very process has no rival. */
        look_later(duty, duty->revision == 0 ? delay_ms : 0);
        break;
    case CLAIM_NOW:
        claim(duty);
        break;
    }
}

static void
look(struct duty *duty)
{
    if (duty->call_in_flight) {
        return;
    }
    duty->call_in_flight = true;
    kv_range(duty->kv, RECORD_DUTY_PREFIX, NULL,
             (struct kv_done){.call = on_look, .ctx = duty});
}

static void
won(struct duty *duty, int64_t revision)
{
    duty->state = DUTY_HELD;
    duty->token = revision;
    duty->revision = revision;
    duty->renewed_ms = duty->lease_sent_ms;
    duty->valid_until_ms = duty->lease_sent_ms + DUTY_TTL_MS - TTL_MARGIN_MS;
    event_log("duty_won", "\"token\":%" G_GINT64_FORMAT ",\"term\":%u",
              duty->token, duty->term);
    timer_set(duty->timer, RENEW_MS);
    duty->node->leader = leader_create(duty->node, duty->token, duty->term);
}

static void
on_claim_read_back(void *ctx, const struct kv_result *result)
{
    struct duty *duty = ctx;
    const struct kv_item *item =
        result->outcome == KV_OK && result->items->len > 0
            ? g_ptr_array_index(result->items, 0)
            : NULL;
    if (item != NULL && g_strcmp0(item->value, duty->claim_value) == 0) {
        won(duty, item->revision);
        return;
    }
    look_later(duty, LOOK_RETRY_MS);
}

static void
on_claim(void *ctx, const struct kv_result *result)
{
    struct duty *duty = ctx;
    if (result->outcome == KV_OK) {
        won(duty, result->revision);
    }
    else if (result->outcome == KV_UNKNOWN) {
        kv_get(duty->kv, RECORD_DUTY_KEY,
               (struct kv_done){.call = on_claim_read_back, .ctx = duty});
    }
    else {
        look_later(duty, LOOK_RETRY_MS);
    }
}

static void
commit_claim(struct duty *duty)
{
    const struct boot *boot = duty->node->boot;
    GString *value = g_string_new("{\"node\":");
    json_text_add(value, boot->node);
    g_string_append(value, ",\"peer\":");
    json_text_add(value, boot->peer);
    g_string_append_printf(value, ",\"claim\":\"%d-%u\"}", (int)getpid(),
                           ++duty->claims);
    g_free(duty->claim_value);
    duty->claim_value = g_string_free(value, FALSE);
    char term[16];
    g_snprintf(term, sizeof(term), "%u", duty->term);
    struct kv_condition conditions[] = {
        {.key = RECORD_DUTY_KEY, .revision = duty->revision},
        {.key = RECORD_TERM_KEY, .revision = duty->term_revision},
    };
    struct kv_put puts[] = {
        {.key = RECORD_DUTY_KEY,
         .value = duty->claim_value,
         .lease = duty->lease},
        {.key = RECORD_TERM_KEY, .value = term},
    };
    struct kv_txn txn = {
        .conditions = conditions,
        .n_conditions = G_N_ELEMENTS(conditions),
        .puts = puts,
        .n_puts = G_N_ELEMENTS(puts),
    };
    kv_commit(duty->kv, &txn, (struct kv_done){.call = on_claim, .ctx = duty});
}

static void
on_lease(void *ctx, const struct kv_result *result)
{
    struct duty *duty = ctx;
    if (result->outcome != KV_OK) {
        look_later(duty, LOOK_RETRY_MS);
        return;
    }
    duty->lease = result->lease;
    commit_claim(duty);
}

static void
claim(struct duty *duty)
{
    duty->state = DUTY_CLAIMING;
    duty->lease_sent_ms = node_now(duty->node);
    kv_lease(duty->kv, DUTY_TTL_MS,
             (struct kv_done){.call = on_lease, .ctx = duty});
}

void
duty_lose(struct duty *duty, const char *why)
{
    if (duty->state != DUTY_HELD) {
        return;
    }
    event_log("duty_lost", "\"token\":%" G_GINT64_FORMAT ",\"why\":\"%s\"",
              duty->token, why);
    struct leader *leader = duty->node->leader;
    duty->node->leader = NULL;
    leader_destroy(leader);
    set_holder(duty, NULL);
    look_later(duty, LOOK_RETRY_MS);
}

static void
on_renewed(void *ctx, const struct kv_result *result)
{
    struct duty *duty = ctx;
    duty->call_in_flight = false;
    if (duty->state != DUTY_HELD) {
        return;
    }
    if (result->outcome == KV_NOT_FOUND) {
        duty_lose(duty, "the lease has ended");
        return;
    }
    if (result->outcome != KV_OK) {
        timer_set(duty->timer, RENEW_RETRY_MS);
        return;
    }
    duty->renewed_ms = duty->renew_sent_ms;
    duty->valid_until_ms = duty->renew_sent_ms + DUTY_TTL_MS - TTL_MARGIN_MS;
    timer_set(duty->timer, RENEW_MS);
}

static void
renew(struct duty *duty)
{
    if (duty->call_in_flight) {
        return;
    }
    duty->call_in_flight = true;
    duty->renew_sent_ms = node_now(duty->node);
    kv_keep(duty->kv, duty->lease,
            (struct kv_done){.call = on_renewed, .ctx = duty});
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct duty *duty = ctx;
    if (duty->state == DUTY_HELD) {
        renew(duty);
    }
    else if (duty->state == DUTY_LOOKING) {
        look(duty);
    }
}

struct duty *
duty_create(struct node *node)
{
    struct duty *duty = g_new0(struct duty, 1);
    duty->node = node;
    duty->kv = kv_create(node->base, node->boot->store, CALL_TIMEOUT_MS,
                         store_path_any(node->path));
    duty->watch = kv_create(node->base, node->boot->store, WATCH_TIMEOUT_MS,
                            store_path_any(node->path));
    duty->timer = evtimer_new(node->base, on_timer, duty);
    look_later(duty, 0);
    return duty;
}

void
duty_destroy(struct duty *duty)
{
    if (duty == NULL) {
        return;
    }
    event_free(duty->timer);
    kv_destroy(duty->kv);
    kv_destroy(duty->watch);
    g_free(duty->claim_value);
    g_free(duty->holder_peer);
    g_free(duty->holder_node);
    g_free(duty);
}

bool
duty_held(const struct duty *duty)
{
    return duty->state == DUTY_HELD;
}

bool
duty_valid(const struct duty *duty)
{
    return duty->state == DUTY_HELD &&
           node_now(duty->node) < duty->valid_until_ms;
}

bool
duty_troubled(const struct duty *duty)
{
    return node_now(duty->node) - duty->renewed_ms > TROUBLE_MS;
}

int64_t
duty_token(const struct duty *duty)
{
    return duty->token;
}

const char *
duty_holder(const struct duty *duty)
{
    return duty->holder_peer;
}

static void
on_released(void *ctx, const struct kv_result *result)
{
    (void)ctx;
    (void)result;
}

/* The next holder learns for how long leases of this one may be open. */
static void
store_handover(struct duty *duty, int64_t lease_ms)
{
    char value[48];
    g_snprintf(value, sizeof(value), "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
               duty->token, lease_ms);
    struct kv_condition condition = {.key = RECORD_DUTY_KEY,
                                     .revision = duty->token};
    struct kv_put put = {.key = RECORD_HANDOVER_KEY, .value = value};
    struct kv_txn txn = {
        .conditions = &condition,
        .n_conditions = 1,
        .puts = &put,
        .n_puts = 1,
    };
    kv_commit(duty->kv, &txn,
              (struct kv_done){.call = on_released, .ctx = duty});
}

void
duty_release(struct duty *duty)
{
    if (duty->state != DUTY_HELD) {
        return;
    }
    int64_t lease = duty->lease;
    int64_t lease_ms = leader_longest_lease_ms(duty->node->leader);
    duty_lose(duty, "released");
    store_handover(duty, lease_ms);
    kv_lease_end(duty->kv, lease,
                 (struct kv_done){.call = on_released, .ctx = duty});
}

int64_t
duty_inherited_lease_ms(const struct duty *duty)
{
    return duty->handover_token != 0 &&
                   duty->handover_token == duty->token_before
               ? duty->handover_lease_ms
               : duty->node->boot->timings.lease_max_ms;
}
