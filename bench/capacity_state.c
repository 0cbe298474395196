/* Generates a configuration and a host list of a given size. */
#include "capacity.h"
#include "common/config.h"
#include "common/key.h"

enum {
    DCS = 7,
    REGIONS = 3,
    RACK_HOSTS = 20,
    QUEUES_PER_POOL = 2,
    /* Port on which nothing listens. */
    CLOSED_PORT = 9,
};

static void
add_dc_name(GString *text, uint32_t i)
{
    if (i == 0) {
        g_string_append(text, "split-1");
        return;
    }
    g_string_append_printf(text, "dc-%u", i);
}

static void
add_dcs(GString *text)
{
    for (uint32_t i = 0; i < DCS; i++) {
        g_string_append(text, i == 0 ? "{\"name\": \"" : ", {\"name\": \"");
        add_dc_name(text, i);
        g_string_append_printf(text, "\", \"region\": \"region-%u\"}",
                               i % REGIONS);
    }
}

static void
add_pools(GString *text, const struct capacity_size *size)
{
    uint32_t per_pool = size->hosts / size->pools;
    for (uint32_t i = 0; i < size->pools; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\": \"pool-%u\", \"min_available_hosts\": %u,"
            " \"min_available_per_dc_hosts\": 0, \"host_slots\": 8,"
            " \"host_connections\": 64, \"min_hosts\": %u,"
            " \"max_hosts\": %u}",
            i == 0 ? "" : ", ", i, per_pool / 2, per_pool / 2, per_pool * 2);
    }
}

/* fleet_start() requires the queue "open". */
static void
add_queues(GString *text, const struct capacity_size *size)
{
    g_string_append(text, "{\"name\": \"open\", \"pool\": \"pool-0\","
                          " \"open_team\": \"public\","
                          " \"start_deadline_ms\": 5000,"
                          " \"max_run_ms\": 2000}");
    for (uint32_t i = 0; i < size->pools * QUEUES_PER_POOL; i++) {
        g_string_append_printf(text,
                               ", {\"name\": \"queue-%u\", \"pool\":"
                               " \"pool-%u\", \"start_deadline_ms\": 5000,"
                               " \"max_run_ms\": 2000}",
                               i, i / QUEUES_PER_POOL);
    }
}

static void
add_teams(GString *text, const struct capacity_size *size)
{
    g_string_append(text, "{\"name\": \"public\", \"share_permille\": 1,"
                          " \"max_running\": 40}");
    for (uint32_t i = 0; i + 1 < size->teams; i++) {
        g_string_append_printf(text,
                               ", {\"name\": \"team-%u\","
                               " \"share_permille\": 1,"
                               " \"max_running\": %u, \"keys\": [",
                               i, 10 + i);
        for (uint32_t k = 0; k < CAPACITY_KEYS_PER_TEAM; k++) {
            char hash[CONFIG_HASH_HEX_BYTES + 1];
            char id[KEY_ID_BYTES + 1];
            g_snprintf(id, sizeof(id), "k%05uid%04u", i, k);
            key_hash(id, hash);
            g_string_append_printf(text,
                                   "%s{\"id\": \"%s\", \"sha256\": \"%s\","
                                   " \"expires_s\": 1900000000}",
                                   k == 0 ? "" : ", ", id, hash);
        }
        g_string_append(text, "]}");
    }
}

char *
capacity_config(const struct capacity_size *size)
{
    GString *text =
        g_string_new("{\"service_unit\": \"task\", \"data_centres\": [");
    add_dcs(text);
    g_string_append(text, "], \"pools\": [");
    add_pools(text, size);
    g_string_append(text, "], \"queues\": [");
    add_queues(text, size);
    g_string_append(text, "], \"teams\": [");
    add_teams(text, size);
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

char *
capacity_hosts(const struct capacity_size *size, uint32_t failing)
{
    GString *text = g_string_new("[");
    for (uint32_t i = 0; i < size->hosts; i++) {
        g_string_append_printf(text,
                               "%s{\"Node\": {\"Node\": \"worker-%u\","
                               " \"Datacenter\": \"",
                               i == 0 ? "" : ", ", i);
        add_dc_name(text, i % DCS);
        g_string_append_printf(
            text,
            "\", \"Meta\": {\"rack\": \"rack-%u\"}}, \"Service\":"
            " {\"Address\": \"127.0.0.1\", \"Port\": %u, \"Meta\":"
            " {\"slots\": \"8\", \"connections\": \"64\","
            " \"state\": \"live\", \"pool\": \"pool-%u\"}},"
            " \"Checks\": [{\"Status\": \"%s\"}]}",
            i % DCS + i / (DCS * RACK_HOSTS) * DCS, CLOSED_PORT,
            i % size->pools, i < failing ? "critical" : "passing");
    }
    g_string_append(text, "]");
    return g_string_free(text, FALSE);
}
