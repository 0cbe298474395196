#include "egretjobd/peers.h"

#include <stdlib.h>
#include <string.h>

#include "egretjobd/config_feed.h"
#include "egretjobd/leader.h"
#include "net/http_server.h"
#include "platform/kv.h"

enum {
    /* Storing a job usually takes milliseconds. After this time without an
     * answer of the leader, this process calls the store. */
    CALL_TIMEOUT_MS = 700,
    /* Per peer, opened when needed. A call is open until the leader has stored
     * the job, which takes a quarter of a second on a slow store. */
    CONNECTION_COUNT = 8,
    /* Longer than the longest wait_ms of a relayed watch. */
    RELAY_TIMEOUT_MS = 2500,
    RELAY_STATUS_NO_ANSWER = 504,
    RELAY_STATUS_NOT_SENT = 503,
    PEER_HEADER_BYTES_MAX = 65536,
    /* A relayed write holds up to 15 jobs of 256 KB, which JSON may double. */
    PEER_BODY_BYTES_MAX = 16 * 1024 * 1024,
};

#define PATH_SUBMIT "/submit"
#define PATH_STATE "/state"
#define PATH_CANCEL "/cancel"
#define PATH_WAITING "/waiting"
#define PATH_OPERATOR_RECORDS "/orders"
#define HEADER_RETRY_AFTER_MS "Egret-Retry-After-Ms"

static const char *const paths[] = {
    [JOB_CALL_SUBMIT] = PATH_SUBMIT,
    [JOB_CALL_STATE] = PATH_STATE,
    [JOB_CALL_CANCEL] = PATH_CANCEL,
    [JOB_CALL_QUEUE_LENGTH] = PATH_WAITING,
};

/* Connections to one peer; the least busy is used. */
struct peer {
    struct http_client *clients[CONNECTION_COUNT];
};

struct peers {
    struct node *node;
    struct http_server *server;
    GHashTable *by_address;
};

/** struct relayed_call - a peer's call that was relayed to the store */
struct relayed_call {
    struct http_exchange *exchange;
    struct http_client *client;
};

/** struct forwarded_call - a caller's request that was sent to a peer */
struct forwarded_call {
    struct job_reply reply;
};

static void
peer_destroy(void *data)
{
    struct peer *peer = data;
    for (size_t i = 0; i < CONNECTION_COUNT; i++) {
        http_client_destroy(peer->clients[i]);
    }
    g_free(peer);
}

static void
on_answer(void *ctx, const struct job_answer *answer)
{
    struct http_exchange *exchange = ctx;
    if (answer->retry_after_ms > 0) {
        char text[24];
        g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
                   answer->retry_after_ms);
        http_exchange_add_header(exchange, HEADER_RETRY_AFTER_MS, text);
    }
    http_exchange_reply(exchange, answer->status, answer->body);
}

static void
serve_operator_records(struct peers *peers, struct http_exchange *exchange)
{
    char *body = config_feed_encode(peers->node->feed);
    http_exchange_reply(exchange, body == NULL ? 503 : 200, body);
    g_free(body);
}

static void
on_relayed(void *ctx, const struct http_reply *reply)
{
    struct relayed_call *relayed = ctx;
    /* An unanswered call is reported to the peer by a status code. */
    int status = reply->status;
    if (status == 0) {
        status =
            reply->never_sent ? RELAY_STATUS_NOT_SENT : RELAY_STATUS_NO_ANSWER;
    }
    http_exchange_reply_bytes(relayed->exchange, status,
                              reply->body_bytes == 0 ? NULL : reply->body,
                              reply->body_bytes);
    http_client_destroy(relayed->client);
    g_free(relayed);
}

/* Relays a peer's call to the store, which the peer can't reach. Each call has
 * a connection of its own, so that a long watch delays no other call. */
static void
relay_call(struct peers *peers, struct http_exchange *exchange,
           const char *path)
{
    struct relayed_call *relayed = g_new0(struct relayed_call, 1);
    relayed->exchange = exchange;
    relayed->client = http_client_create(peers->node->base,
                                         peers->node->settings->store_address,
                                         RELAY_TIMEOUT_MS);
    struct http_call call = {
        .method = http_exchange_method(exchange),
        .path = path,
        .done = on_relayed,
        .ctx = relayed,
    };
    call.body = http_exchange_body(exchange, &call.body_bytes);
    if (call.body_bytes == 0) {
        call.body = NULL;
    }
    http_client_send(relayed->client, &call);
}

static void
serve_call(struct peers *peers, struct http_exchange *exchange,
           enum job_call_kind kind)
{
    struct job_call call = {.kind = kind, .forwarded = true};
    struct job_call_headers headers;
    if (!job_call_headers_read(&headers, exchange, &call)) {
        http_exchange_reply(exchange, 400, NULL);
    }
    else {
        call.body = http_exchange_body(exchange, &call.body_bytes);
        leader_handle_call(
            peers->node->leader, &call,
            (struct job_reply){.call = on_answer, .ctx = exchange});
    }
    job_call_headers_clear(&headers);
}

static void
on_request(void *ctx, struct http_exchange *exchange)
{
    struct peers *peers = ctx;
    const char *path = http_exchange_path(exchange);
    if (g_str_has_prefix(path, KV_RELAY_PREFIX "/")) {
        relay_call(peers, exchange, path + strlen(KV_RELAY_PREFIX));
        return;
    }
    if (strcmp(path, PATH_OPERATOR_RECORDS) == 0) {
        serve_operator_records(peers, exchange);
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        if (strcmp(path, paths[i]) == 0) {
            serve_call(peers, exchange, (enum job_call_kind)i);
            return;
        }
    }
    http_exchange_reply(exchange, 404, NULL);
}

struct peers *
peers_create(struct node *node)
{
    struct peers *peers = g_new0(struct peers, 1);
    peers->node = node;
    peers->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_destroy);
    struct http_server_bounds bounds =
        connection_settings_bounds(&node->settings->connections, LISTEN_PEERS);
    bounds.retry_header = HEADER_RETRY_AFTER_MS;
    peers->server = http_server_create_bounded(
        node->base, node->settings->peer_address, &bounds, on_request, peers);
    if (peers->server == NULL) {
        peers_destroy(peers);
        return NULL;
    }
    /* One body never takes all memory of this address. */
    int64_t body_bytes = (int64_t)bounds.buffered_bytes_max / 4 * 3;
    http_server_limit(peers->server, PEER_HEADER_BYTES_MAX,
                      MIN(body_bytes, PEER_BODY_BYTES_MAX), 0);
    return peers;
}

void
peers_destroy(struct peers *peers)
{
    if (peers == NULL) {
        return;
    }
    http_server_destroy(peers->server);
    g_hash_table_unref(peers->by_address);
    g_free(peers);
}

void
peers_server_stats(const struct peers *peers, struct http_server_stats *stats)
{
    http_server_stats(peers->server, stats);
}

static struct http_client *
client_of(struct peers *peers, const char *address)
{
    struct peer *peer = g_hash_table_lookup(peers->by_address, address);
    if (peer == NULL) {
        peer = g_new0(struct peer, 1);
        for (size_t i = 0; i < CONNECTION_COUNT; i++) {
            peer->clients[i] = http_client_create(peers->node->base, address,
                                                  CALL_TIMEOUT_MS);
        }
        g_hash_table_insert(peers->by_address, g_strdup(address), peer);
    }
    return http_client_least_busy(peer->clients, CONNECTION_COUNT);
}

static void
on_reply(void *ctx, const struct http_reply *reply)
{
    struct forwarded_call *forwarded = ctx;
    char *body = reply->body_bytes == 0
                     ? NULL
                     : g_strndup(reply->body, reply->body_bytes);
    const char *retry_after = http_reply_header(reply, HEADER_RETRY_AFTER_MS);
    struct job_answer answer = {
        .status = reply->status,
        .body = body,
        .retry_after_ms =
            retry_after == NULL ? 0 : g_ascii_strtoll(retry_after, NULL, 10),
    };
    if (reply->status == 0) {
        answer.status =
            reply->never_sent ? JOB_ANSWER_USE_STORE : JOB_ANSWER_UNANSWERED;
    }
    forwarded->reply.call(forwarded->reply.ctx, &answer);
    g_free(body);
    g_free(forwarded);
}

void
peers_call(struct peers *peers, const char *address,
           const struct job_call *call, struct job_reply reply)
{
    struct job_call_headers headers;
    job_call_headers_init(&headers, call);
    struct forwarded_call *forwarded = g_new0(struct forwarded_call, 1);
    forwarded->reply = reply;
    struct http_call http = {
        .method = "POST",
        .path = paths[call->kind],
        .headers = headers.list,
        .body = call->body_bytes == 0 ? "" : call->body,
        .body_bytes = call->body_bytes,
        .done = on_reply,
        .ctx = forwarded,
    };
    http_client_send(client_of(peers, address), &http);
    job_call_headers_clear(&headers);
}

void
peers_fetch_operator_records(struct peers *peers, const char *address,
                             void (*done)(void *ctx,
                                          const struct http_reply *reply),
                             void *ctx)
{
    struct http_call http = {
        .method = "GET",
        .path = PATH_OPERATOR_RECORDS,
        .done = done,
        .ctx = ctx,
    };
    http_client_send(client_of(peers, address), &http);
}
