#include <string.h>

#include "common/json_read.h"
#include "config_internal.h"

enum {
    HOSTS_MAX = 100000,
    SLOTS_MAX = 1024,
    CONNECTIONS_MAX = 65535,
    RUNNING_MAX = 1000000,
    SHARE_MAX_PERMILLE = 1000,
    QUEUED_MAX = 100000,
    DEADLINE_MAX_MS = 3600 * 1000,
    RUN_MAX_MS = 24 * 3600 * 1000,
    BODY_MAX_BYTES = 1 << 30,
    KEY_ID_MAX_BYTES = 64,
    DEFAULT_SLOTS = 8,
    DEFAULT_CONNECTIONS = 64,
    DEFAULT_QUEUED = 100,
    DEFAULT_BODY_BYTES = 1 << 20,
};

static const char *const root_members[] = {
    "service_unit", "data_centres", "pools", "queues", "teams", NULL,
};
static const char *const dc_members[] = {"name", "region", "state", NULL};
static const char *const pool_members[] = {
    "name",
    "spare",
    "min_available_hosts",
    "min_available_per_dc_hosts",
    "host_slots",
    "host_connections",
    "min_hosts",
    "max_hosts",
    NULL,
};
static const char *const queue_members[] = {
    "name",
    "pool",
    "open_team",
    "urgent",
    "start_deadline_ms",
    "max_run_ms",
    "max_queued",
    "max_body_bytes",
    NULL,
};
static const char *const team_members[] = {
    "name", "share_permille", "max_running", "keys", NULL,
};
static const char *const key_members[] = {"id", "sha256", "expires_s", NULL};

static void
add_finding(const struct json_place *place, const char *member,
            const char *reason)
{
    char *path = g_strdup_printf("%s.%s", place->path, member);
    findings_add(place->findings, place->file, path, "%s", reason);
    g_free(path);
}

static char *
read_name(const struct json_place *place, const char *member, bool required)
{
    const char *name = json_read_string(place, member, required);
    if (name != NULL && !config_name_valid(name)) {
        add_finding(place, member,
                    "must be 1 to 63 lower-case letters, digits and inner "
                    "hyphens");
        return NULL;
    }
    return g_strdup(name);
}

static uint32_t
read_u32(const struct json_place *place, const char *member, int64_t min,
         int64_t max, int64_t fallback, bool required)
{
    return (uint32_t)json_read_int(place, member, min, max, fallback,
                                   required);
}

static void
read_dc(const struct json_place *place, void *entry)
{
    struct config_dc *dc = entry;
    json_reject_unknown_members(place, dc_members);
    dc->name = read_name(place, "name", true);
    dc->region = read_name(place, "region", true);
    const char *state = json_read_string(place, "state", false);
    dc->state =
        g_strcmp0(state, "out") == 0 ? DC_OUT_OF_SERVICE : DC_IN_SERVICE;
    if (state != NULL && dc->state == DC_IN_SERVICE &&
        !g_str_equal(state, "in")) {
        add_finding(place, "state", "must be \"in\" or \"out\"");
    }
}

static void
read_pool(const struct json_place *place, void *entry)
{
    struct config_pool *pool = entry;
    json_reject_unknown_members(place, pool_members);
    pool->name = read_name(place, "name", true);
    pool->spare = json_read_bool(place, "spare", false);
    pool->min_available_hosts =
        read_u32(place, "min_available_hosts", 0, HOSTS_MAX, 0, false);
    pool->min_available_per_dc_hosts =
        read_u32(place, "min_available_per_dc_hosts", 0, HOSTS_MAX, 0, false);
    pool->host_slots =
        read_u32(place, "host_slots", 1, SLOTS_MAX, DEFAULT_SLOTS, false);
    pool->host_connections =
        read_u32(place, "host_connections", 1, CONNECTIONS_MAX,
                 DEFAULT_CONNECTIONS, false);
    pool->min_hosts = read_u32(place, "min_hosts", 0, HOSTS_MAX, 0, false);
    pool->max_hosts =
        read_u32(place, "max_hosts", 0, HOSTS_MAX, HOSTS_MAX, false);
}

static void
read_queue(const struct json_place *place, void *entry)
{
    struct config_queue *queue = entry;
    json_reject_unknown_members(place, queue_members);
    queue->name = read_name(place, "name", true);
    queue->pool = read_name(place, "pool", true);
    queue->open_team = read_name(place, "open_team", false);
    queue->urgent = json_read_bool(place, "urgent", false);
    queue->start_deadline_ms =
        json_read_int(place, "start_deadline_ms", 1, DEADLINE_MAX_MS, 1, true);
    queue->max_run_ms =
        json_read_int(place, "max_run_ms", 1, RUN_MAX_MS, 1, true);
    queue->max_queued =
        read_u32(place, "max_queued", 0, QUEUED_MAX, DEFAULT_QUEUED, false);
    queue->max_body_bytes = json_read_int(
        place, "max_body_bytes", 0, BODY_MAX_BYTES, DEFAULT_BODY_BYTES, false);
}

static bool
is_hash(const char *text)
{
    for (const char *c = text; *c != '\0'; c++) {
        if (!g_ascii_isdigit(*c) && (*c < 'a' || *c > 'f')) {
            return false;
        }
    }
    return strlen(text) == CONFIG_HASH_HEX_BYTES;
}

static bool
is_key_id(const char *text)
{
    for (const char *c = text; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && *c != '-' && *c != '_') {
            return false;
        }
    }
    return strlen(text) <= KEY_ID_MAX_BYTES;
}

static void
read_key(const struct json_place *place, void *entry)
{
    struct config_key *key = entry;
    json_reject_unknown_members(place, key_members);
    const char *id = json_read_string(place, "id", true);
    const char *hash = json_read_string(place, "sha256", true);
    key->expires_s = json_read_int(place, "expires_s", 0, INT64_MAX, 0, false);
    if (id != NULL && !is_key_id(id)) {
        add_finding(place, "id",
                    "must be at most 64 letters, digits, '-' and '_'");
    }
    if (hash != NULL && !is_hash(hash)) {
        add_finding(place, "sha256",
                    "must be 64 lower-case hexadecimal digits");
    }
    else if (hash != NULL) {
        memcpy(key->hash_hex, hash, CONFIG_HASH_HEX_BYTES + 1);
    }
    key->id = g_strdup(id);
}

/*
 * Reads the array @member into new entries of @entry_bytes each. An element
 * that is not an object leaves an empty entry, so that the array indexes in
 * findings match the document.
 */
static void *
read_entries(const struct json_place *place, const char *member, bool required,
             size_t entry_bytes,
             void (*read)(const struct json_place *place, void *entry),
             size_t *n_entries)
{
    JsonArray *array = json_read_array(place, member, required);
    if (array == NULL) {
        return NULL;
    }
    *n_entries = json_array_get_length(array);
    char *entries = g_malloc0_n(*n_entries + 1, entry_bytes);
    for (size_t i = 0; i < *n_entries; i++) {
        JsonNode *node = json_array_get_element(array, (guint)i);
        char *path = g_strdup_printf("%s.%s[%zu]", place->path, member, i);
        struct json_place inner = *place;
        inner.path = path;
        if (JSON_NODE_HOLDS_OBJECT(node)) {
            inner.object = json_node_get_object(node);
            read(&inner, entries + i * entry_bytes);
        }
        else {
            findings_add(place->findings, place->file, path,
                         "must be an object");
        }
        g_free(path);
    }
    return entries;
}

static void
read_team(const struct json_place *place, void *entry)
{
    struct config_team *team = entry;
    json_reject_unknown_members(place, team_members);
    team->name = read_name(place, "name", true);
    team->share_permille =
        read_u32(place, "share_permille", 0, SHARE_MAX_PERMILLE, 0, true);
    team->max_running =
        read_u32(place, "max_running", 0, RUNNING_MAX, 0, true);
    team->keys = read_entries(place, "keys", false, sizeof(*team->keys),
                              read_key, &team->n_keys);
}

static enum service_unit
read_unit(const struct json_place *place)
{
    const char *text = json_read_string(place, "service_unit", true);
    if (g_strcmp0(text, "slot_time") == 0) {
        return SERVICE_UNIT_SLOT_TIME;
    }
    if (text != NULL && !g_str_equal(text, "task")) {
        add_finding(place, "service_unit",
                    "must be \"task\" or \"slot_time\"");
    }
    return SERVICE_UNIT_TASK;
}

struct config *
config_parse(JsonNode *root, const char *file, struct findings *findings)
{
    size_t before = findings_count(findings);
    if (!JSON_NODE_HOLDS_OBJECT(root)) {
        findings_add(findings, file, "$", "must be a JSON object");
        return NULL;
    }
    struct json_place place = {
        .object = json_node_get_object(root),
        .file = file,
        .path = "$",
        .findings = findings,
    };
    struct config *config = g_new0(struct config, 1);
    json_reject_unknown_members(&place, root_members);
    config->unit = read_unit(&place);
    config->dcs = read_entries(&place, "data_centres", true,
                               sizeof(*config->dcs), read_dc, &config->n_dcs);
    config->pools = read_entries(&place, "pools", true, sizeof(*config->pools),
                                 read_pool, &config->n_pools);
    config->queues =
        read_entries(&place, "queues", true, sizeof(*config->queues),
                     read_queue, &config->n_queues);
    config->teams = read_entries(&place, "teams", true, sizeof(*config->teams),
                                 read_team, &config->n_teams);
    config_check(config, file, findings);
    if (findings_count(findings) > before) {
        config_destroy(config);
        return NULL;
    }
    config_sort(config);
    return config;
}
