/*
 * Orders about hosts on their way out. The hosts that they concern are stored
 * first: a holder that takes over waits with orders about those alone, since
 * two holders must not give orders about one host within a short time.
 */
#include "leader_state.h"

#include <string.h>

#include "common/event_log.h"
#include "egretjobd/leadership.h"
#include "egretjobd/records.h"

enum {
    /* A host stays in the record this long beyond the time in which two
     * holders may not both give orders about it. */
    RECORD_MARGIN_MS = 1000,
    WRITE_TIMEOUT_MS = 1200,
};

/** struct queued_order - an order that waits for its host to be recorded */
struct queued_order {
    char *host;
    char *pool;
    int64_t wave;
};

/**
 * struct host_orders - orders not sent yet and hosts ordered lately
 * @queue: struct queued_order
 * @recorded: how many at the head of the queue the open write covers
 * @recent: host to the time of its last order, on the leader's clock
 * @revision: revision of the record; 0: there is none
 */
struct host_orders {
    struct leader *leader;
    struct committer *committer;
    GPtrArray *queue;
    guint recorded;
    GHashTable *recent;
    int64_t revision;
    bool writing;
};

static void
queued_order_free(void *data)
{
    struct queued_order *order = data;
    g_free(order->host);
    g_free(order->pool);
    g_free(order);
}

struct host_orders *
host_orders_create(struct leader *leader)
{
    struct host_orders *orders = g_new0(struct host_orders, 1);
    struct node *node = leader->node;
    orders->leader = leader;
    orders->committer =
        committer_create(node->base, node->settings->store_address,
                         WRITE_TIMEOUT_MS, store_route_any(node->store_route));
    orders->queue = g_ptr_array_new_with_free_func(queued_order_free);
    orders->recent =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return orders;
}

void
host_orders_destroy(struct host_orders *orders)
{
    committer_destroy(orders->committer);
    g_ptr_array_unref(orders->queue);
    g_hash_table_unref(orders->recent);
    g_free(orders);
}

void
host_orders_load(struct host_orders *orders, const struct kv_item *item)
{
    if (strcmp(item->key, RECORD_HOST_COMMANDS_KEY) != 0 ||
        item->value == NULL) {
        return;
    }
    orders->revision = item->revision;
    char **hosts = g_strsplit(item->value, " ", 0);
    for (char **host = hosts; *host != NULL; host++) {
        if ((*host)[0] != '\0') {
            scheduler_host_ordered_before(orders->leader->sched, *host);
        }
    }
    g_strfreev(hosts);
}

void
host_orders_add(struct host_orders *orders, const char *host, const char *pool,
                int64_t wave)
{
    struct queued_order *order = g_new0(struct queued_order, 1);
    order->host = g_strdup(host);
    order->pool = g_strdup(pool);
    order->wave = wave;
    g_ptr_array_add(orders->queue, order);
}

static void
send_order(struct host_orders *orders, const struct queued_order *order)
{
    struct leader *leader = orders->leader;
    if (order->pool != NULL) {
        hosts_api_move(leader->hosts, order->host, order->pool, leader->token);
    }
    else {
        hosts_api_reboot(leader->hosts, order->host, order->wave,
                         leader->token);
    }
}

/* Sends what was recorded, or gives it back to the scheduler as not sent. */
static void
settle_recorded(struct host_orders *orders, bool recorded)
{
    struct leader *leader = orders->leader;
    leader_enter(leader);
    bool send = recorded && leadership_valid(leader->node->leadership);
    for (guint i = 0; i < orders->recorded; i++) {
        const struct queued_order *order = g_ptr_array_index(orders->queue, i);
        if (send) {
            send_order(orders, order);
        }
        else {
            scheduler_on_host_order(leader->sched, order->host, order->wave,
                                    HOST_ORDER_REFUSED);
        }
    }
    g_ptr_array_remove_range(orders->queue, 0, orders->recorded);
    orders->recorded = 0;
}

static void
on_recorded(void *ctx, const struct kv_result *result)
{
    struct host_orders *orders = ctx;
    struct leader *leader = orders->leader;
    orders->writing = false;
    if (result->outcome == KV_OK) {
        orders->revision = result->revision;
        settle_recorded(orders, true);
        host_orders_flush(orders);
        return;
    }
    if (result->outcome != KV_CONFLICT) {
        event_log("store_failed", "\"what\":\"host orders\",\"status\":%d",
                  result->status);
        settle_recorded(orders, false);
        return;
    }
    /* Another holder, or an earlier write of our own without an answer. */
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        if (strcmp(item->key, RECORD_LEADER_KEY) == 0 &&
            item->revision != leader->token) {
            leadership_lose(leader->node->leadership,
                            "another holder was found");
            return;
        }
        if (strcmp(item->key, RECORD_HOST_COMMANDS_KEY) == 0) {
            orders->revision = item->revision;
        }
    }
    orders->recorded = 0;
    host_orders_flush(orders);
}

static char *
encode_recent(struct host_orders *orders)
{
    int64_t now_ms = node_now(orders->leader->node);
    int64_t keep_ms = orders->leader->node->settings->timings.order_gap_ms +
                      RECORD_MARGIN_MS;
    for (guint i = 0; i < orders->queue->len; i++) {
        const struct queued_order *order = g_ptr_array_index(orders->queue, i);
        g_hash_table_replace(orders->recent, g_strdup(order->host),
                             g_memdup2(&now_ms, sizeof(now_ms)));
    }
    GString *text = g_string_new(NULL);
    GHashTableIter iter;
    void *host;
    void *at_ms;
    g_hash_table_iter_init(&iter, orders->recent);
    while (g_hash_table_iter_next(&iter, &host, &at_ms)) {
        if (now_ms - *(const int64_t *)at_ms > keep_ms) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        g_string_append_printf(text, "%s%s", text->len > 0 ? " " : "",
                               (const char *)host);
    }
    return g_string_free(text, FALSE);
}

void
host_orders_flush(struct host_orders *orders)
{
    if (orders->writing || orders->queue->len == 0) {
        return;
    }
    char *value = encode_recent(orders);
    struct kv_condition conditions[] = {
        {.key = RECORD_LEADER_KEY, .revision = orders->leader->token},
        {.key = RECORD_HOST_COMMANDS_KEY, .revision = orders->revision},
    };
    struct kv_put put = {.key = RECORD_HOST_COMMANDS_KEY, .value = value};
    struct kv_txn txn = {
        .conditions = conditions,
        .n_conditions = G_N_ELEMENTS(conditions),
        .puts = &put,
        .n_puts = 1,
    };
    orders->writing = true;
    orders->recorded = orders->queue->len;
    committer_commit(orders->committer, &txn,
                     (struct kv_done){.call = on_recorded, .ctx = orders});
    g_free(value);
}
