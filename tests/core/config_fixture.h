/* Builds configurations and host lists for tests and benchmarks of core. */
#ifndef TESTS_CORE_CONFIG_FIXTURE_H
#define TESTS_CORE_CONFIG_FIXTURE_H

#include <glib.h>
#include <string.h>

#include "common/config.h"
#include "core/dispatch.h"

enum {
    FIXTURE_NAME_BYTES = 24,
    FIXTURE_ADDRESS_BYTES = 32,
};

/**
 * struct fixture_size - number of entries of each kind
 * @slots: slots of each host
 */
struct fixture_size {
    uint32_t dcs;
    uint32_t pools;
    uint32_t teams;
    uint32_t hosts;
    uint32_t slots;
};

/**
 * struct fixture - a configuration and a list of hosts
 *
 * Names: data centres "dc-N", pools "pool-N", queues "queue-N" (work for pool
 * N), teams "team-N" with key "key-N" and equal shares, hosts "host-N". Hosts
 * go to the pools in turn, then to the data centres; a rack has four.
 */
struct fixture {
    struct config config;
    struct dispatch_host *hosts;
    size_t n_hosts;
};

static inline char *
fixture_name(const char *kind, uint32_t i)
{
    return g_strdup_printf("%s-%u", kind, i);
}

static inline void
fixture_add_team(struct config_team *team, uint32_t i, uint32_t n_teams)
{
    *team = (struct config_team){
        .name = fixture_name("team", i),
        .share_permille = 1000 / n_teams,
        .max_running = 1000000,
        .keys = g_new0(struct config_key, 1),
        .n_keys = 1,
    };
    team->keys[0].id = fixture_name("key", i);
    memset(team->keys[0].hash_hex, 'a', CONFIG_HASH_HEX_BYTES);
}

static inline void
fixture_add_host(struct dispatch_host *host, uint32_t i,
                 const struct fixture_size *size)
{
    uint32_t rack = i / 4;
    *host = (struct dispatch_host){
        .name = fixture_name("host", i),
        .address = fixture_name("address", i),
        .pool = fixture_name("pool", i % size->pools),
        .dc = fixture_name("dc", i / size->pools % size->dcs),
        .rack = fixture_name("rack", rack),
        .slots = size->slots,
        .connections = 64,
        .accepting = true,
    };
}

static inline void
fixture_add_pool(struct config *config, uint32_t i, uint32_t slots)
{
    config->pools[i] = (struct config_pool){
        .name = fixture_name("pool", i),
        .host_slots = slots,
        .host_connections = 64,
    };
    config->queues[i] = (struct config_queue){
        .name = fixture_name("queue", i),
        .pool = fixture_name("pool", i),
        .start_deadline_ms = 5000,
        .max_run_ms = 10000,
        .max_queued = 1000,
    };
}

static inline struct fixture *
fixture_create(const struct fixture_size *size)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    struct config *config = &fixture->config;
    config->unit = SERVICE_UNIT_SLOT_TIME;
    config->n_dcs = size->dcs;
    config->dcs = g_new0(struct config_dc, size->dcs);
    config->n_pools = size->pools;
    config->pools = g_new0(struct config_pool, size->pools);
    config->n_queues = size->pools;
    config->queues = g_new0(struct config_queue, size->pools);
    config->n_teams = size->teams;
    config->teams = g_new0(struct config_team, size->teams);
    fixture->n_hosts = size->hosts;
    fixture->hosts = g_new0(struct dispatch_host, size->hosts);
    for (uint32_t i = 0; i < size->dcs; i++) {
        config->dcs[i].name = fixture_name("dc", i);
    }
    for (uint32_t i = 0; i < size->pools; i++) {
        fixture_add_pool(config, i, size->slots);
    }
    for (uint32_t i = 0; i < size->teams; i++) {
        fixture_add_team(&config->teams[i], i, size->teams);
    }
    for (uint32_t i = 0; i < size->hosts; i++) {
        fixture_add_host(&fixture->hosts[i], i, size);
    }
    return fixture;
}

/** fixture_task() - task @id of team "team-N" in queue "queue-M", sent with
 * the team's key. */
static inline struct dispatch_task
fixture_task(const struct fixture *fixture, uint32_t team, uint32_t queue,
             uint64_t id)
{
    const struct config_team *owner = &fixture->config.teams[team];
    return (struct dispatch_task){
        .id = id,
        .team = owner->name,
        .queue = fixture->config.queues[queue].name,
        .key_id = owner->keys[0].id,
        .key_hash_hex = owner->keys[0].hash_hex,
        .idempotent = true,
    };
}

static inline void
fixture_destroy(struct fixture *fixture)
{
    struct config *config = &fixture->config;
    for (size_t i = 0; i < config->n_dcs; i++) {
        g_free(config->dcs[i].name);
    }
    for (size_t i = 0; i < config->n_pools; i++) {
        g_free(config->pools[i].name);
        g_free(config->queues[i].name);
        g_free(config->queues[i].pool);
    }
    for (size_t i = 0; i < config->n_teams; i++) {
        g_free(config->teams[i].name);
        g_free(config->teams[i].keys[0].id);
        g_free(config->teams[i].keys);
    }
    for (size_t i = 0; i < fixture->n_hosts; i++) {
        g_free((char *)fixture->hosts[i].name);
        g_free((char *)fixture->hosts[i].address);
        g_free((char *)fixture->hosts[i].pool);
        g_free((char *)fixture->hosts[i].dc);
        g_free((char *)fixture->hosts[i].rack);
    }
    g_free(config->dcs);
    g_free(config->pools);
    g_free(config->queues);
    g_free(config->teams);
    g_free(fixture->hosts);
    g_free(fixture);
}

#endif
