#include "egretd/operator_api.h"

#include <string.h>

#include "common/json_write.h"
#include "common/request_auth.h"

enum {
    /* The parts of /v1/ids/{team}/{id}: "", "v1", "ids", team, id. */
    ID_PATH_PART_COUNT = 5,
};

static void
reply(SoupServerMessage *message, unsigned status, const char *type,
      char *text)
{
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, type, SOUP_MEMORY_TAKE, text,
                                     strlen(text));
}

static bool
check_operator(const struct frontend_options *options,
               SoupServerMessage *message, const char *path)
{
    const char *value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Egret-Auth");
    if (request_auth_verify(options->secret,
                            soup_server_message_get_method(message), path,
                            NULL, value)) {
        return true;
    }
    reply(message, SOUP_STATUS_FORBIDDEN, "application/json",
          g_strdup("{\"error\":\"Egret-Auth is missing or wrong\"}"));
    return false;
}

static void
reply_json(SoupServerMessage *message, JsonBuilder *builder)
{
    JsonNode *root = json_builder_get_root(builder);
    reply(message, SOUP_STATUS_OK, "application/json",
          json_to_string(root, FALSE));
    json_node_unref(root);
    g_object_unref(builder);
}

void
operator_health(const struct frontend_options *options,
                SoupServerMessage *message)
{
    bool healthy = options->healthy(options->ctx);
    reply(message, healthy ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
          "text/plain", g_strdup(healthy ? "ok\n" : "not taking work\n"));
}

void
operator_metrics(const struct frontend_options *options,
                 SoupServerMessage *message)
{
    GString *text = g_string_new(NULL);
    options->refresh(options->ctx);
    counters_render(options->counters, text);
    reply(message, SOUP_STATUS_OK, "text/plain; version=0.0.4",
          g_string_free(text, FALSE));
}

void
operator_status(const struct frontend_options *options,
                SoupServerMessage *message, const char *path)
{
    if (!check_operator(options, message, path)) {
        return;
    }
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    options->status(options->ctx, builder);
    json_builder_end_object(builder);
    reply_json(message, builder);
}

void
operator_explain(const struct frontend_options *options,
                 SoupServerMessage *message, const char *path,
                 const char *queue)
{
    struct dispatch_explanation why;
    if (!check_operator(options, message, path)) {
        return;
    }
    if (!dispatch_explain(engine_dispatch(options->engine), queue,
                          g_get_monotonic_time() / 1000, &why)) {
        reply(message, SOUP_STATUS_NOT_FOUND, "application/json",
              g_strdup("{\"error\":\"unknown queue\"}"));
        return;
    }
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_write_text(builder, "queue", queue);
    json_write_int(builder, "queued", why.queued);
    json_write_int(builder, "running", why.running);
    json_write_int(builder, "hosts", why.hosts);
    json_write_int(builder, "hosts_accepting", why.hosts_accepting);
    json_write_int(builder, "hosts_ejected", why.hosts_ejected);
    json_write_int(builder, "slots", why.slots);
    json_write_int(builder, "slots_busy", why.slots_busy);
    json_write_int(builder, "oldest_ms", why.oldest_ms);
    json_write_int(builder, "estimated_run_ms", why.estimated_run_ms);
    json_write_text(builder, "waits_for", reason_name(why.waits_for));
    json_builder_end_object(builder);
    reply_json(message, builder);
}

void
operator_id_query(const struct frontend_options *options,
                  SoupServerMessage *message, const char *path)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(message);
    const char *querier = soup_message_headers_get_one(headers, "Egret-Asker");
    const char *auth = soup_message_headers_get_one(headers, "Egret-Auth");
    char **parts = g_strsplit(path, "/", 0);
    if (querier == NULL ||
        !request_auth_verify(options->secret, SOUP_METHOD_GET, path, querier,
                             auth)) {
        reply(message, SOUP_STATUS_FORBIDDEN, "application/json",
              g_strdup("{\"error\":\"Egret-Auth is missing or wrong\"}"));
    }
    else if (g_strv_length(parts) != ID_PATH_PART_COUNT) {
        reply(message, SOUP_STATUS_NOT_FOUND, "application/json",
              g_strdup("{\"error\":\"expected /v1/ids/{team}/{id}\"}"));
    }
    else {
        reply(
            message, SOUP_STATUS_OK, "application/json",
            engine_answer_query(options->engine, parts[3], parts[4], querier));
    }
    g_strfreev(parts);
}
