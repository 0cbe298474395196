#include "egretjobd/explain_call.h"

#include <stdlib.h>
#include <string.h>

#include "common/text.h"
#include "core/jobs/explain.h"
#include "egretjobd/config_feed.h"
#include "egretjobd/leader.h"
#include "egretjobd/leadership.h"
#include "net/http_server.h"
#include "platform/decode.h"
#include "platform/json_text.h"

bool
explain_call_matches(const struct http_exchange *exchange)
{
    return strcmp(http_exchange_method(exchange), "POST") == 0 &&
           g_str_has_prefix(http_exchange_path(exchange), EXPLAIN_PATH "?");
}

static void
reply_error(struct http_exchange *exchange, int status, const char *error)
{
    char *body = g_strdup_printf("{\"error\":%s}", text_quote(error));
    http_exchange_reply(exchange, status, body);
    g_free(body);
}

/* Metrics are served one port above the one for peers. */
static char *
metrics_address(const char *peer_address)
{
    const char *colon = strrchr(peer_address, ':');
    if (colon == NULL) {
        return NULL;
    }
    return g_strdup_printf("%.*s:%d", (int)(colon - peer_address),
                           peer_address, atoi(colon + 1) + 1);
}

static void
refer_to_leader(const struct node *node, struct http_exchange *exchange)
{
    const char *leader = leadership_leader_address(node->leadership);
    char *address =
        leader == NULL || strcmp(leader, node->settings->peer_address) == 0
            ? NULL
            : metrics_address(leader);
    if (address == NULL) {
        reply_error(exchange, 503, "no leader can answer now");
        return;
    }
    char *body = g_strdup_printf("{\"leader\":%s}", text_quote(address));
    http_exchange_reply(exchange, 421, body);
    g_free(body);
    g_free(address);
}

static cJSON *
encode_step(uint32_t index, const struct job_step *step,
            const struct step_explanation *explanation)
{
    cJSON *row = cJSON_CreateObject();
    cJSON_AddNumberToObject(row, "step", index);
    cJSON_AddNumberToObject(row, "tasks", step->task_count);
    if (explanation->backend_id == NULL) {
        cJSON_AddStringToObject(row, "waits_for",
                                wait_reason_name(explanation->reason));
    }
    else {
        cJSON_AddStringToObject(row, "backend", explanation->backend_id);
    }
    cJSON_AddNumberToObject(row, "servers", explanation->servers);
    cJSON_AddNumberToObject(row, "usable", explanation->usable);
    cJSON_AddNumberToObject(row, "suitable", explanation->suitable);
    cJSON_AddNumberToObject(row, "fitting", explanation->fitting);
    cJSON_AddNumberToObject(row, "allowed", explanation->allowed);
    cJSON_AddNumberToObject(row, "most_free_milli",
                            (double)explanation->most_free_milli);
    return row;
}

static char *
encode(const struct job *job, const struct job_explanation *explanation)
{
    cJSON *body = cJSON_CreateObject();
    cJSON_AddStringToObject(body, "queue", job->queue);
    cJSON_AddStringToObject(body, "pool", explanation->pool);
    cJSON_AddStringToObject(body, "admission",
                            explanation->refusal_ms > 0 ? "refuse" : "accept");
    cJSON_AddNumberToObject(body, "retry_after_ms",
                            (double)explanation->refusal_ms);
    cJSON_AddNumberToObject(body, "waiting", (double)explanation->waiting);
    cJSON *steps = cJSON_AddArrayToObject(body, "steps");
    for (uint32_t s = 0; s < job->n_steps; s++) {
        cJSON_AddItemToArray(
            steps, encode_step(s, &job->steps[s], &explanation->steps[s]));
    }
    char *text = cJSON_PrintUnformatted(body);
    cJSON_Delete(body);
    return text;
}

static void
explain_job(const struct node *node, struct http_exchange *exchange,
            struct job *job)
{
    struct job_explanation *explanation = g_new0(struct job_explanation, 1);
    if (!leader_explain(node->leader, job, explanation)) {
        reply_error(exchange, 503, "the leader is still reading its records");
    }
    else {
        char *text = encode(job, explanation);
        http_exchange_reply(exchange, 200, text);
        cJSON_free(text);
    }
    g_free(explanation);
}

/* Sets queue and client account of @job; replies an error and returns false if
 * the configuration lacks one of them. */
static bool
set_origin(const struct node *node, struct http_exchange *exchange,
           GHashTable *parameters, struct job *job)
{
    const struct fleet_config *config = config_feed_current(node->feed);
    const char *queue_name = g_hash_table_lookup(parameters, "queue");
    const char *account = g_hash_table_lookup(parameters, "account");
    const struct queue_config *queue =
        config == NULL || queue_name == NULL
            ? NULL
            : fleet_config_queue(config, queue_name);
    if (queue == NULL) {
        reply_error(exchange, 404, "unknown queue");
        return false;
    }
    if (account != NULL && fleet_config_team(config, account) == NULL) {
        reply_error(exchange, 404, "unknown client account");
        return false;
    }
    job->queue = g_strdup(queue->name);
    job->pool = g_strdup(queue->pool);
    job->team = g_strdup(account == NULL ? "" : account);
    return true;
}

void
explain_call_serve(const struct node *node, struct http_exchange *exchange)
{
    if (node->leader == NULL) {
        refer_to_leader(node, exchange);
        return;
    }
    const char *query =
        http_exchange_path(exchange) + strlen(EXPLAIN_PATH "?");
    GHashTable *parameters =
        g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL);
    if (parameters == NULL) {
        reply_error(exchange, 400, "malformed query");
        return;
    }
    size_t bytes = 0;
    const char *body = http_exchange_body(exchange, &bytes);
    char *error = NULL;
    struct job *job = decode_job(body, bytes, &error);
    if (job == NULL) {
        reply_error(exchange, 400, error);
    }
    else if (set_origin(node, exchange, parameters, job)) {
        explain_job(node, exchange, job);
    }
    if (job != NULL) {
        job_unref(job);
    }
    g_free(error);
    g_hash_table_unref(parameters);
}
