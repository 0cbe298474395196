/* HTTP server for health checks, metrics and the status of the fleet. */
#include "egretfleetd/fleet_status.h"

#include <libsoup/soup.h>
#include <string.h>

#include "common/json_write.h"
#include "common/request_auth.h"
#include "egretd/connections.h"

struct fleet_status {
    struct fleet_status_options options;
    SoupServer *server;
    struct connections *connections;
    uint16_t port;
};

static void
reply(SoupServerMessage *message, unsigned status, const char *type,
      char *text)
{
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, type, SOUP_MEMORY_TAKE, text,
                                     strlen(text));
    connection_response_ready(message, (int64_t)strlen(text));
}

static void
serve_unknown(SoupServer *server, SoupServerMessage *message, const char *path,
              GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    reply(message, SOUP_STATUS_NOT_FOUND, "text/plain",
          g_strdup("not found\n"));
}

static void
serve_health(SoupServer *server, SoupServerMessage *message, const char *path,
             GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    struct fleet_status *self = data;
    bool ready = self->options.ready(self->options.ctx);
    reply(message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
          "text/plain", g_strdup(ready ? "ok\n" : "not ready\n"));
}

static void
serve_metrics(SoupServer *server, SoupServerMessage *message, const char *path,
              GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    struct fleet_status *self = data;
    GString *text = g_string_new(NULL);
    self->options.refresh(self->options.ctx);
    connections_update_metrics(self->connections);
    counters_render(self->options.counters, text);
    reply(message, SOUP_STATUS_OK, "text/plain; version=0.0.4",
          g_string_free(text, FALSE));
}

static char *
build_text(struct fleet_status *self)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    self->options.build(self->options.ctx, builder);
    json_builder_end_object(builder);
    char *text = json_write_finish(builder, NULL);
    return text;
}

static void
serve_fleet(SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    struct fleet_status *self = data;
    const char *value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Egret-Auth");
    if (!request_auth_verify(self->options.secret,
                             soup_server_message_get_method(message), path,
                             NULL, value)) {
        reply(message, SOUP_STATUS_FORBIDDEN, "application/json",
              g_strdup("{\"error\":\"Egret-Auth is missing or wrong\"}"));
        return;
    }
    reply(message, SOUP_STATUS_OK, "application/json", build_text(self));
}

struct fleet_status *
fleet_status_create(const struct fleet_status_options *options,
                    struct status *status)
{
    struct fleet_status *self = g_new0(struct fleet_status, 1);
    self->options = *options;
    self->server = soup_server_new(NULL, NULL);
    self->connections = connections_create(&(struct connections_options){
        .server = self->server,
        .settings = options->settings,
        .counters = options->counters,
        .clock = ms_clock_system(),
        .discard_bodies = true,
    });
    if (self->connections == NULL) {
        status_set(status, STATUS_INTERNAL,
                   "cannot create an epoll descriptor");
        fleet_status_destroy(self);
        return NULL;
    }
    soup_server_add_handler(self->server, NULL, serve_unknown, self, NULL);
    soup_server_add_handler(self->server, "/healthz", serve_health, self,
                            NULL);
    soup_server_add_handler(self->server, "/metrics", serve_metrics, self,
                            NULL);
    soup_server_add_handler(self->server, "/v1/fleet", serve_fleet, self,
                            NULL);
    self->port = connections_listen(self->connections, status);
    if (self->port == 0) {
        fleet_status_destroy(self);
        return NULL;
    }
    return self;
}

void
fleet_status_destroy(struct fleet_status *self)
{
    if (self == NULL) {
        return;
    }
    soup_server_disconnect(self->server);
    g_object_unref(self->server);
    connections_destroy(self->connections);
    g_free(self);
}

uint16_t
fleet_status_port(const struct fleet_status *self)
{
    return self->port;
}

void
fleet_status_add_pool(JsonBuilder *builder,
                      const struct fleet_pool_report *report)
{
    json_write_int(builder, "hosts", report->hosts);
    json_write_int(builder, "usable", report->usable);
    json_write_int(builder, "incoming", report->incoming);
    json_write_int(builder, "available", report->available);
    json_write_int(builder, "disrupted", report->disrupted);
    json_write_int(builder, "failed", report->failed);
    json_write_int(builder, "budget", report->budget);
    json_write_int(builder, "reserve", report->reserve);
    json_write_int(builder, "need", report->needed);
    json_write_int(
        builder, "spare",
        report->usable > report->needed ? report->usable - report->needed : 0);
    json_write_int(builder, "demand_slots",
                   (int64_t)(report->demand_slots + 0.5));
    json_write_text(builder, "next_step", report->next_step);
    json_write_text(builder, "waits_for", report->waits_for);
    json_write_text(builder, "finding", report->finding);
}

void
fleet_status_add_wave(JsonBuilder *builder, const struct wave_record *wave)
{
    json_builder_begin_object(builder);
    json_write_int(builder, "number", (int64_t)wave->number);
    json_write_text(builder, "state", wave_state_name(wave->state));
    json_write_int(builder, "total", wave->total);
    json_write_int(builder, "done", wave->done);
    json_write_int(builder, "ends_s", wave->estimated_end_s);
    json_write_text(builder, "waits", wave->wait_reason);
    json_builder_set_member_name(builder, "held_out");
    json_builder_begin_object(builder);
    GHashTableIter iter;
    void *host = NULL;
    void *reason = NULL;
    g_hash_table_iter_init(&iter, wave->held_out);
    while (g_hash_table_iter_next(&iter, &host, &reason)) {
        json_write_text(builder, host, reason);
    }
    json_builder_end_object(builder);
    json_builder_end_object(builder);
}
