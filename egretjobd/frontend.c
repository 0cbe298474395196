#include "egretjobd/frontend.h"

#include <stdlib.h>
#include <string.h>

#include "common/event_log.h"
#include "common/text.h"
#include "egretjobd/acceptor.h"
#include "egretjobd/config_feed.h"
#include "egretjobd/explain_call.h"
#include "egretjobd/job_call.h"
#include "egretjobd/job_queries.h"
#include "egretjobd/leader.h"
#include "egretjobd/leadership.h"
#include "egretjobd/peers.h"
#include "egretjobd/records.h"
#include "egretjobd/scheduler_metrics.h"
#include "net/http_server.h"
#include "platform/decode.h"
#include "platform/ingress.h"

enum {
    METRICS_BYTES = 4096,
    /* Until the configuration is read, and for the addresses that it doesn't
     * limit. */
    HEADER_BYTES_MAX = 16384,
    BODY_BYTES_MAX = 262144,
    /* Health checks and requests for metrics have no body. */
    SMALL_BODY_BYTES_MAX = 16384,
};

struct frontend_counters {
    uint64_t requests;
    uint64_t accepted;
    uint64_t refused;
    uint64_t unauthorized;
    uint64_t not_found;
    uint64_t invalid;
    uint64_t unknown;
};

struct frontend {
    struct node *node;
    struct http_server *callers;
    struct http_server *health;
    struct http_server *metrics;
    struct frontend_counters counters;
};

/** struct caller_request - an open request; owns the texts of @call */
struct caller_request {
    struct frontend *frontend;
    struct http_exchange *exchange;
    struct job_call call;
    char *id;
    char *queue;
    char *pool;
    char *team;
    int64_t received_ms;
};

static void
request_free(struct caller_request *request)
{
    g_free(request->id);
    g_free(request->queue);
    g_free(request->pool);
    g_free(request->team);
    g_free(request);
}

static void
add_retry_after(struct http_exchange *exchange, int64_t retry_after_ms)
{
    char text[24];
    /* The header has whole seconds. */
    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
               (retry_after_ms + 999) / 1000);
    http_exchange_add_header(exchange, "Retry-After", text);
}

static void
request_answer(struct caller_request *request, const struct job_answer *answer)
{
    struct frontend *frontend = request->frontend;
    int status = answer->status;
    if (status == 429 || status == 503) {
        frontend->counters.refused++;
        add_retry_after(request->exchange, answer->retry_after_ms);
        event_log("request_refused",
                  "\"job\":\"%s\",\"queue\":%s,\"status\":%d,"
                  "\"after_ms\":%" G_GINT64_FORMAT,
                  request->id, text_quote(request->queue), status,
                  node_now(frontend->node) - request->received_ms);
    }
    else if (status == 504) {
        frontend->counters.unknown++;
        event_log("request_unknown", "\"job\":\"%s\",\"queue\":%s",
                  request->id, text_quote(request->queue));
    }
    else if (status == 200 && request->call.kind == JOB_CALL_SUBMIT) {
        frontend->counters.accepted++;
    }
    http_exchange_reply(request->exchange, status, answer->body);
    request_free(request);
}

static void
on_store_answer(void *ctx, const struct job_answer *answer)
{
    request_answer(ctx, answer);
}

/* Handles the request through the store, since no leader answers. */
static void
handle_in_store(struct caller_request *request)
{
    struct node *node = request->frontend->node;
    struct job_reply reply = {.call = on_store_answer, .ctx = request};
    struct job_answer refused = {.status = 503, .retry_after_ms = 200};
    switch (request->call.kind) {
    case JOB_CALL_SUBMIT:
        acceptor_submit(node->acceptor, &request->call, reply);
        break;
    case JOB_CALL_STATE:
        job_queries_state(node->job_queries, request->id, reply);
        break;
    case JOB_CALL_CANCEL:
        job_queries_cancel(node->job_queries, &request->call, reply);
        break;
    case JOB_CALL_QUEUE_LENGTH:
        request_answer(request, &refused);
        break;
    }
}

static void
on_scheduler_answer(void *ctx, const struct job_answer *answer)
{
    struct caller_request *request = ctx;
    if (answer->status == JOB_ANSWER_USE_STORE ||
        answer->status == JOB_ANSWER_UNANSWERED) {
        request->call.uncertain = answer->status == JOB_ANSWER_UNANSWERED;
        handle_in_store(request);
        return;
    }
    request_answer(request, answer);
}

static void
request_dispatch(struct caller_request *request)
{
    struct node *node = request->frontend->node;
    struct job_reply reply = {.call = on_scheduler_answer, .ctx = request};
    if (node->leader != NULL) {
        leader_handle_call(node->leader, &request->call, reply);
        return;
    }
    const char *leader_address = leadership_leader_address(node->leadership);
    if (leader_address != NULL &&
        strcmp(leader_address, node->settings->peer_address) != 0) {
        peers_call(node->peers, leader_address, &request->call, reply);
        return;
    }
    handle_in_store(request);
}

static void
refuse(struct frontend *frontend, struct http_exchange *exchange, int status,
       const char *why)
{
    if (status == 503) {
        frontend->counters.refused++;
        add_retry_after(exchange, 200);
    }
    event_log("request_rejected", "\"status\":%d,\"why\":\"%s\"", status, why);
    http_exchange_reply(exchange, status, NULL);
}

static bool
is_job_id(const char *text)
{
    for (size_t i = 0; i < JOB_ID_CHARS; i++) {
        if (!g_ascii_isxdigit(text[i])) {
            return false;
        }
    }
    return text[JOB_ID_CHARS] == '\0';
}

/* The path without its query; g_free(). */
static char *
copy_path(const struct http_exchange *exchange)
{
    const char *uri = http_exchange_path(exchange);
    return g_strndup(uri, strcspn(uri, "?"));
}

/* The Host header without its port; g_free(). */
static char *
copy_host(const struct http_exchange *exchange)
{
    const char *value = http_exchange_header(exchange, "Host");
    return value == NULL ? g_strdup("")
                         : g_strndup(value, strcspn(value, ":"));
}

static bool
find_call_kind(const char *method, const char *rest, enum job_call_kind *kind)
{
    if (rest[0] == '\0') {
        *kind = JOB_CALL_QUEUE_LENGTH;
        return strcmp(method, "GET") == 0;
    }
    if (strcmp(method, "POST") == 0) {
        *kind = JOB_CALL_SUBMIT;
    }
    else if (strcmp(method, "GET") == 0) {
        *kind = JOB_CALL_STATE;
    }
    else {
        *kind = JOB_CALL_CANCEL;
    }
    return method[0] != '\0';
}

static void
answer_invalid(struct frontend *frontend, struct http_exchange *exchange,
               int status, const char *error)
{
    frontend->counters.invalid++;
    event_log("request_invalid", "\"why\":%s", text_quote(error));
    char *body = g_strdup_printf("{\"error\":%s}", text_quote(error));
    http_exchange_reply(exchange, status, body);
    g_free(body);
}

/* Replies 400 to a malformed job, with the position of the error, and 413 to
 * one whose progress the store could never take. */
static bool
check_body(struct frontend *frontend, struct http_exchange *exchange)
{
    size_t bytes = 0;
    const char *body = http_exchange_body(exchange, &bytes);
    char *error = NULL;
    struct job *job = decode_job(body, bytes, &error);
    if (job == NULL) {
        answer_invalid(frontend, exchange, 400, error);
        g_free(error);
        return false;
    }
    size_t bytes_max = frontend->node->settings->value_bytes_max;
    bool storable = record_open_max(job, bytes_max) > 0;
    if (!storable) {
        char *why =
            g_strdup_printf("$.steps: progress of %u tasks doesn't fit into "
                            "%" G_GSIZE_FORMAT " bytes",
                            job_task_count(job), bytes_max);
        answer_invalid(frontend, exchange, 413, why);
        g_free(why);
    }
    job_unref(job);
    return storable;
}

static void
start_request(struct frontend *frontend, struct http_exchange *exchange,
              enum job_call_kind kind, const struct queue_config *queue,
              const char *team, const char *id)
{
    struct caller_request *request = g_new0(struct caller_request, 1);
    request->frontend = frontend;
    request->exchange = exchange;
    request->id = g_strdup(id);
    request->queue = g_strdup(queue->name);
    request->pool = g_strdup(queue->pool);
    request->team = g_strdup(team);
    request->received_ms = node_now(frontend->node);
    request->call = (struct job_call){
        .kind = kind,
        .id = request->id,
        .queue = request->queue,
        .pool = request->pool,
        .team = request->team,
        .attempts = queue->attempts,
    };
    request->call.body =
        http_exchange_body(exchange, &request->call.body_bytes);
    request_dispatch(request);
}

/* @rest: what follows the prefix of @queue in the path */
static void
serve_queue(struct frontend *frontend, struct http_exchange *exchange,
            const struct fleet_config *config,
            const struct queue_config *queue, const char *rest)
{
    const char *key = http_exchange_header(exchange, PLATFORM_KEY_HEADER);
    const struct team_config *team =
        key == NULL ? NULL : fleet_config_key_owner(config, key);
    if (!queue->open && team == NULL) {
        frontend->counters.unauthorized++;
        http_exchange_reply(exchange, 401, NULL);
        return;
    }
    enum job_call_kind kind;
    if (!find_call_kind(http_exchange_method(exchange), rest, &kind) ||
        (kind != JOB_CALL_QUEUE_LENGTH && !is_job_id(rest))) {
        answer_invalid(
            frontend, exchange, 400,
            "path does not end in a job id of 16 hexadecimal digits");
        return;
    }
    if (kind == JOB_CALL_SUBMIT && !check_body(frontend, exchange)) {
        return;
    }
    start_request(frontend, exchange, kind, queue,
                  team == NULL ? "" : team->name, rest);
}

static void
on_caller(void *ctx, struct http_exchange *exchange)
{
    struct frontend *frontend = ctx;
    frontend->counters.requests++;
    if (!config_feed_fresh(frontend->node->feed)) {
        refuse(frontend, exchange, 503,
               "configuration not confirmed recently");
        return;
    }
    const struct fleet_config *config =
        config_feed_current(frontend->node->feed);
    char *path = copy_path(exchange);
    char *host = copy_host(exchange);
    const struct queue_config *queue = fleet_config_match(config, host, path);
    if (queue == NULL) {
        frontend->counters.not_found++;
        http_exchange_reply(exchange, 404, NULL);
    }
    else {
        serve_queue(frontend, exchange, config, queue,
                    path + strlen(queue->prefix));
    }
    g_free(path);
    g_free(host);
}

static void
on_health(void *ctx, struct http_exchange *exchange)
{
    struct frontend *frontend = ctx;
    bool ready =
        strcmp(http_exchange_path(exchange), PLATFORM_READY_PATH) == 0 &&
        !frontend->node->stopping && config_feed_fresh(frontend->node->feed);
    http_exchange_reply(exchange, ready ? 200 : 503, NULL);
}

/* Lines about the limits of one address; the name of each begins with that of
 * the address. */
static void
add_server_metrics(GString *text, const char *name,
                   const struct http_server_stats *stats)
{
    g_string_append_printf(
        text,
        "%s_connections_open %u\n%s_buffered_bytes %" G_GSIZE_FORMAT "\n"
        "%s_receive_bytes %" G_GSIZE_FORMAT "\n"
        "%s_connections_closed_total %" G_GUINT64_FORMAT "\n"
        "%s_buffers_closed_total %" G_GUINT64_FORMAT "\n"
        "%s_buffers_refused_total %" G_GUINT64_FORMAT "\n"
        "%s_accept_failed_total %" G_GUINT64_FORMAT "\n",
        name, stats->open, name, stats->buffered_bytes, name,
        stats->receive_bytes, name, stats->closed_open, name,
        stats->closed_bytes, name, stats->refused, name,
        stats->accept_failures);
}

static void
add_connection_metrics(GString *text, const struct frontend *frontend)
{
    struct http_server_stats stats;
    http_server_stats(frontend->callers, &stats);
    add_server_metrics(text, "callers", &stats);
    peers_server_stats(frontend->node->peers, &stats);
    add_server_metrics(text, "peers", &stats);
    http_server_stats(frontend->health, &stats);
    add_server_metrics(text, "health", &stats);
    http_server_stats(frontend->metrics, &stats);
    add_server_metrics(text, "metrics", &stats);
}

static void
add_inbox_metrics(GString *text, const struct inbox_stats *stats)
{
    g_string_append_printf(text,
                           "inbox_age_ms %" G_GINT64_FORMAT "\n"
                           "inbox_pass_ms %" G_GINT64_FORMAT "\n"
                           "inbox_messages %u\n"
                           "inbox_reads %u\n",
                           stats->age_ms, stats->listing_ms, stats->messages,
                           stats->reads);
}

static void
on_metrics(void *ctx, struct http_exchange *exchange)
{
    struct frontend *frontend = ctx;
    if (explain_call_matches(exchange)) {
        explain_call_serve(frontend->node, exchange);
        return;
    }
    const struct frontend_counters *counters = &frontend->counters;
    struct sched_stats stats;
    struct inbox_stats inbox;
    leader_stats(frontend->node->leader, &stats, &inbox);
    GString *text = g_string_sized_new(METRICS_BYTES);
    g_string_printf(text,
                    "requests_total %" G_GUINT64_FORMAT "\n"
                    "jobs_accepted_total %" G_GUINT64_FORMAT "\n"
                    "requests_refused_total %" G_GUINT64_FORMAT "\n"
                    "requests_unauthorized_total %" G_GUINT64_FORMAT "\n"
                    "requests_not_found_total %" G_GUINT64_FORMAT "\n"
                    "requests_invalid_total %" G_GUINT64_FORMAT "\n"
                    "requests_unknown_total %" G_GUINT64_FORMAT "\n"
                    "scheduler_held %d\n"
                    "leadership_handovers_total %" G_GUINT64_FORMAT "\n"
                    "config_fresh %d\n",
                    counters->requests, counters->accepted, counters->refused,
                    counters->unauthorized, counters->not_found,
                    counters->invalid, counters->unknown,
                    leadership_held(frontend->node->leadership),
                    leadership_handovers(frontend->node->leadership),
                    config_feed_fresh(frontend->node->feed));
    scheduler_metrics_add(text, &stats);
    add_inbox_metrics(text, &inbox);
    add_connection_metrics(text, frontend);
    http_exchange_reply(exchange, 200, text->str);
    g_string_free(text, TRUE);
}

/* Listens at @text, within the limits of @address. */
static struct http_server *
server_open(struct frontend *frontend, enum listen_address address,
            const char *text, int64_t body_bytes,
            void (*handle)(void *ctx, struct http_exchange *exchange))
{
    struct node *node = frontend->node;
    const struct http_server_bounds bounds =
        connection_settings_bounds(&node->settings->connections, address);
    struct http_server *server = http_server_create_bounded(
        node->base, text, &bounds, handle, frontend);
    if (server != NULL) {
        http_server_limit(server, HEADER_BYTES_MAX, body_bytes, 0);
    }
    return server;
}

struct frontend *
frontend_create(struct node *node)
{
    struct frontend *frontend = g_new0(struct frontend, 1);
    frontend->node = node;
    const struct job_settings *settings = node->settings;
    frontend->callers =
        server_open(frontend, LISTEN_CALLERS, settings->caller_address,
                    BODY_BYTES_MAX, on_caller);
    frontend->health =
        server_open(frontend, LISTEN_HEALTH, settings->health_address,
                    SMALL_BODY_BYTES_MAX, on_health);
    frontend->metrics =
        server_open(frontend, LISTEN_METRICS, settings->metrics_address,
                    SMALL_BODY_BYTES_MAX, on_metrics);
    if (frontend->callers == NULL || frontend->health == NULL ||
        frontend->metrics == NULL) {
        frontend_destroy(frontend);
        return NULL;
    }
    return frontend;
}

void
frontend_destroy(struct frontend *frontend)
{
    if (frontend == NULL) {
        return;
    }
    http_server_destroy(frontend->callers);
    http_server_destroy(frontend->health);
    http_server_destroy(frontend->metrics);
    g_free(frontend);
}

void
frontend_config_changed(struct frontend *frontend,
                        const struct fleet_config *config)
{
    const struct ingress_limits *limits = &config->limits;
    http_server_limit(frontend->callers, limits->header_bytes,
                      limits->body_bytes, limits->idle_timeout_ms);
}

void
frontend_begin_shutdown(struct frontend *frontend)
{
    http_server_disable_keep_alive(frontend->callers);
}

bool
frontend_idle(const struct frontend *frontend)
{
    return http_server_open_exchanges(frontend->callers) == 0;
}
