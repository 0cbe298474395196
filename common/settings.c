#include "common/settings.h"

#include <gio/gio.h>

#include "common/json_read.h"

enum {
    PORT_MAX = 65535,
    TIME_MAX_MS = 600000,
    SECRET_MIN_BYTES = 16,
    /* Four connections for each of the 4,096 concurrent requests that are
     * allowed by default. */
    CONNECTIONS_DEFAULT = 16384,
    /* 128 bodies of the largest size that is allowed by default. */
    BUFFERED_DEFAULT_BYTES = 1 << 30,
    /* 32 KiB of header at 1 KiB/s. */
    HEAD_TIMEOUT_DEFAULT_MS = 30000,
    /* Longer than TCP takes for six retransmissions of a lost segment. */
    STALL_TIMEOUT_DEFAULT_MS = 60000,
};

#define BUFFERED_MAX_BYTES (INT64_C(1) << 40)

static const char *const setting_names[] = {
    "name",
    "dc",
    "address",
    "http_port",
    "peer_port",
    "store_url",
    "hosts_url",
    "secret_file",
    "log_level",
    "support_ms",
    "heartbeat_ms",
    "store_timeout_ms",
    "watch_wait_ms",
    "connect_timeout_ms",
    "max_header_bytes",
    "max_body_bytes",
    "max_inflight",
    "max_connections",
    "max_buffered_bytes",
    "head_timeout_ms",
    "stall_timeout_ms",
    "shutdown_ms",
    "id_retention_ms",
    "fleet",
    NULL,
};

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static void
check_address(const struct json_place *place, const char *address)
{
    if (address == NULL) {
        return;
    }
    GInetAddress *parsed = g_inet_address_new_from_string(address);
    if (parsed == NULL) {
        findings_add(place->findings, place->file, "$.address",
                     "must be an IP address, got \"%s\"", address);
        return;
    }
    g_object_unref(parsed);
}

static char *
read_url(const struct json_place *place, const char *member, bool required)
{
    const char *text = json_read_string(place, member, required);
    if (text == NULL) {
        return NULL;
    }
    GError *error = NULL;
    GUri *uri = g_uri_parse(text, G_URI_FLAGS_NONE, &error);
    if (uri == NULL || g_strcmp0(g_uri_get_scheme(uri), "http") != 0) {
        char *path = g_strdup_printf("$.%s", member);
        findings_add(place->findings, place->file, path,
                     "must be an http:// URL, got \"%s\"", text);
        g_free(path);
    }
    g_clear_error(&error);
    g_clear_pointer(&uri, g_uri_unref);
    return g_strdup(text);
}

static enum log_level
read_level(const struct json_place *place)
{
    const char *text = json_read_string(place, "log_level", false);
    if (text == NULL) {
        return LOG_LEVEL_INFO;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (g_str_equal(text, level_names[i])) {
            return (enum log_level)i;
        }
    }
    findings_add(place->findings, place->file, "$.log_level",
                 "must be error, warn, info or debug, got \"%s\"", text);
    return LOG_LEVEL_INFO;
}

static int64_t
read_ms(const struct json_place *place, const char *member, int64_t fallback)
{
    return json_read_int(place, member, 1, TIME_MAX_MS, fallback, false);
}

static void
read_timeouts(const struct json_place *place, struct settings *settings)
{
    settings->quorum_lease_ms = read_ms(place, "support_ms", 2000);
    settings->heartbeat_ms = read_ms(place, "heartbeat_ms", 500);
    settings->store_timeout_ms = read_ms(place, "store_timeout_ms", 1000);
    settings->watch_wait_ms = read_ms(place, "watch_wait_ms", 10000);
    settings->connect_timeout_ms = read_ms(place, "connect_timeout_ms", 1000);
    settings->shutdown_ms = read_ms(place, "shutdown_ms", 60000);
    settings->id_retention_ms = read_ms(place, "id_retention_ms", 60000);
    if (settings->heartbeat_ms * 2 > settings->quorum_lease_ms) {
        findings_add(place->findings, place->file, "$.heartbeat_ms",
                     "must be at most half of support_ms");
    }
}

static void
read_limits(const struct json_place *place, struct settings *settings)
{
    settings->max_header_bytes =
        json_read_int(place, "max_header_bytes", 1024, 1 << 20, 32768, false);
    settings->max_body_bytes =
        json_read_int(place, "max_body_bytes", 1, 1 << 30, 8 << 20, false);
    settings->max_inflight = (uint32_t)json_read_int(place, "max_inflight", 1,
                                                     1000000, 4096, false);
}

static void
read_connection_limits(const struct json_place *place,
                       struct settings *settings)
{
    settings->max_connections = (uint32_t)json_read_int(
        place, "max_connections", 16, 1000000, CONNECTIONS_DEFAULT, false);
    settings->max_buffered_bytes = json_read_int(
        place, "max_buffered_bytes", 1, BUFFERED_MAX_BYTES,
        MAX(BUFFERED_DEFAULT_BYTES, 2 * settings->max_body_bytes), false);
    settings->head_timeout_ms =
        read_ms(place, "head_timeout_ms", HEAD_TIMEOUT_DEFAULT_MS);
    settings->stall_timeout_ms =
        read_ms(place, "stall_timeout_ms", STALL_TIMEOUT_DEFAULT_MS);
    if (settings->max_buffered_bytes < 2 * settings->max_body_bytes) {
        findings_add(place->findings, place->file, "$.max_buffered_bytes",
                     "must be at least twice max_body_bytes");
    }
}

static struct fleet_timings
read_fleet(const struct json_place *place)
{
    struct json_place fleet = *place;
    fleet.object = json_read_object(place, "fleet", false);
    fleet.path = "$.fleet";
    return fleet_timings_read(&fleet);
}

struct settings *
settings_read(const char *file, struct findings *findings)
{
    size_t before = findings_count(findings);
    JsonNode *root = json_read_file(file, findings);
    if (root == NULL) {
        return NULL;
    }
    struct json_place place = {
        .object = json_node_get_object(root),
        .file = file,
        .path = "$",
        .findings = findings,
    };
    struct settings *settings = g_new0(struct settings, 1);
    json_reject_unknown_members(&place, setting_names);
    settings->name = g_strdup(json_read_string(&place, "name", true));
    settings->dc = g_strdup(json_read_string(&place, "dc", true));
    settings->address = g_strdup(json_read_string(&place, "address", true));
    check_address(&place, settings->address);
    settings->http_port =
        (uint16_t)json_read_int(&place, "http_port", 0, PORT_MAX, 0, true);
    settings->peer_port =
        (uint16_t)json_read_int(&place, "peer_port", 0, PORT_MAX, 0, false);
    settings->store_url = read_url(&place, "store_url", true);
    settings->hosts_url = read_url(&place, "hosts_url", false);
    if (settings->hosts_url == NULL) {
        settings->hosts_url = g_strdup(settings->store_url);
    }
    settings->secret_file =
        g_strdup(json_read_string(&place, "secret_file", true));
    settings->log_level = read_level(&place);
    read_timeouts(&place, settings);
    read_limits(&place, settings);
    read_connection_limits(&place, settings);
    settings->fleet = read_fleet(&place);
    json_node_unref(root);
    if (findings_count(findings) > before) {
        settings_destroy(settings);
        return NULL;
    }
    return settings;
}

void
settings_destroy(struct settings *settings)
{
    if (settings == NULL) {
        return;
    }
    g_free(settings->name);
    g_free(settings->dc);
    g_free(settings->address);
    g_free(settings->store_url);
    g_free(settings->hosts_url);
    g_free(settings->secret_file);
    g_free(settings);
}

char *
settings_read_secret(const struct settings *settings,
                     struct findings *findings)
{
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(settings->secret_file, &text, NULL, &error)) {
        findings_add(findings, settings->secret_file, "$", "%s",
                     error->message);
        g_error_free(error);
        return NULL;
    }
    g_strstrip(text);
    if (strlen(text) < SECRET_MIN_BYTES) {
        findings_add(findings, settings->secret_file, "$",
                     "must have at least %d bytes", SECRET_MIN_BYTES);
        g_free(text);
        return NULL;
    }
    return text;
}
